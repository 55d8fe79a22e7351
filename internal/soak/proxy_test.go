package soak

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// echo starts a server that echoes all bytes, and returns its address.
func echo(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

// echoes reports whether bytes written to the connection are echoed within the time.
func echoes(t *testing.T, conn net.Conn, within time.Duration) bool {
	t.Helper()
	_ = conn.SetDeadline(time.Now().Add(within))
	if _, err := conn.Write([]byte("ping")); err != nil {
		return false
	}
	_, err := io.ReadFull(conn, make([]byte, 4))
	return err == nil
}

// echoTimeout is longer than an echo takes over a link that forwards bytes, with
// linkDelay in both directions.
const echoTimeout = 300 * time.Millisecond

// Guards against link faults that have no effect, or another one than intended.
func TestLinkFaults(t *testing.T) {
	cases := []struct {
		fault LinkFault
		// open and fresh state whether an open and a new connection carry bytes
		// during the fault.
		open, fresh bool
		// after states whether the open one does after the fault.
		after bool
	}{
		{LinkHealthy, true, true, true},
		{LinkDelay, true, true, true},
		{LinkReset, false, true, false},
		{LinkCutForward, false, false, false},
		{LinkCutBack, false, false, false},
		{LinkSilence, false, true, false},
		{LinkBlackhole, false, false, true},
	}
	for _, c := range cases {
		t.Run(c.fault.String(), func(t *testing.T) {
			t.Parallel()
			p, err := newProxy("127.0.0.1:0", echo(t))
			require.NoError(t, err)
			t.Cleanup(p.close)
			open, err := net.Dial("tcp", p.address())
			require.NoError(t, err)
			require.True(t, echoes(t, open, echoTimeout))
			p.set(c.fault)
			require.Equal(t, c.open, echoes(t, open, echoTimeout))
			fresh, err := net.Dial("tcp", p.address())
			require.NoError(t, err)
			require.Equal(t, c.fresh, echoes(t, fresh, echoTimeout))
			p.set(LinkHealthy)
			require.Equal(t, c.after, echoes(t, open, echoTimeout))
		})
	}
}
