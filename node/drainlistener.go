package node

import (
	"net"
	"sync"
)

// drainListener is a listener that can be closed without a reset of the
// connections that the kernel has opened and that wait to be accepted.
type drainListener struct {
	*net.TCPListener
	mutex   sync.Mutex
	ended   bool
	waiting []net.Conn
}

// Accept returns the next connection, after the end those that were waiting,
// and then net.ErrClosed.
func (l *drainListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if err == nil {
		return conn, nil
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.ended {
		return nil, err
	}
	if len(l.waiting) == 0 {
		return nil, net.ErrClosed
	}
	next := l.waiting[0]
	l.waiting = l.waiting[1:]
	return next, nil
}

// drain accepts what waits, ends listening and closes the listener. Callers
// that come later are refused, which proves to them that nothing was sent.
func (l *drainListener) drain() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	waiting, err := acceptWaiting(l.TCPListener)
	l.ended = true
	l.waiting = waiting
	if closeErr := l.Close(); err == nil {
		err = closeErr
	}
	return err
}
