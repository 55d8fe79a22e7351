package node

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a graceful shutdown that resets connections which the kernel
// has established but the server has not accepted yet, or that continues to
// accept new ones.
func TestDrainListenerKeepsPendingConnections(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := &drainListener{TCPListener: inner.(*net.TCPListener)}
	const opened = 5
	var callers []net.Conn
	for range opened {
		caller, err := net.Dial("tcp", inner.Addr().String())
		require.NoError(t, err)
		defer caller.Close()
		callers = append(callers, caller)
	}

	require.NoError(t, listener.drain())

	_, err = net.DialTimeout("tcp", inner.Addr().String(), time.Second)
	require.ErrorContains(t, err, "refused")
	for range opened {
		accepted, err := listener.Accept()
		require.NoError(t, err)
		defer accepted.Close()
		_, err = accepted.Write([]byte("x"))
		require.NoError(t, err)
	}
	_, err = listener.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
	for _, caller := range callers {
		_, err := caller.Read(make([]byte, 1))
		require.NoError(t, err, "an established connection was reset")
	}
}
