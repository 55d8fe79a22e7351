package node

import (
	"net"
	"sync"
)

// drainListener is a listener that can be closed without resetting the
// connections that the kernel has established and that are not accepted yet.
type drainListener struct {
	*net.TCPListener
	mutex   sync.Mutex
	drained bool
	pending []net.Conn
}

// Accept returns the next connection. After drain it returns the connections
// that were pending at that time, and then net.ErrClosed.
func (l *drainListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if err == nil {
		return conn, nil
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.drained {
		return nil, err
	}
	if len(l.pending) == 0 {
		return nil, net.ErrClosed
	}
	next := l.pending[0]
	l.pending = l.pending[1:]
	return next, nil
}

// drain accepts the pending connections and closes the listener. Later
// connection attempts are refused, which shows those callers that no part of
// their request was processed.
func (l *drainListener) drain() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	pending, err := acceptPending(l.TCPListener)
	l.drained = true
	l.pending = pending
	if closeErr := l.Close(); err == nil {
		err = closeErr
	}
	return err
}
