package soak

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// echo listens and returns what it gets.
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

// answered tells whether bytes come back over the connection within the time.
func echoes(t *testing.T, conn net.Conn, within time.Duration) bool {
	t.Helper()
	_ = conn.SetDeadline(time.Now().Add(within))
	if _, err := conn.Write([]byte("ping")); err != nil {
		return false
	}
	_, err := io.ReadFull(conn, make([]byte, 4))
	return err == nil
}

// soon is longer than any sound link takes, and shorter than a test may last.
const echoTimeout = 300 * time.Millisecond

// Guards against faults of links that do nothing.
func TestLinkFaults(t *testing.T) {
	cases := []struct {
		fault LinkFault
		// open and fresh tell whether an open and a new connection carry bytes.
		open, fresh bool
		// after tells whether the open one does when the fault is over.
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
