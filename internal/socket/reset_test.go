package socket_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/internal/sockettest"
)

// resetRounds is the number of connections of each test of a reset. Which of a read and a
// write in progress learns of it first differs between them.
const resetRounds = 100

// blockedWriteBytes exceeds the buffers of a connection, so that the write is in progress
// until the connection ends.
const blockedWriteBytes = 8 << 20

// startBlockedWrite writes more than the peer takes, and returns the result of the write.
func startBlockedWrite(conn net.Conn) <-chan error {
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(make([]byte, blockedWriteBytes))
		written <- err
	}()
	return written
}

// reset closes a connection with a reset.
func reset(conn net.Conn) error {
	if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
		return err
	}
	return conn.Close()
}

// readToEnd reads until the connection ends. The error is nil at the end of the stream.
func readToEnd(conn net.Conn) (string, error) {
	data, err := io.ReadAll(conn)
	return string(data), err
}

// Guards against taking a reset for the end of the stream. The kernel reports a reset once,
// and then the end of the stream: a write in progress that gets the report hid the reset
// from the read, and a response without a length that was cut looked complete.
func TestResetDuringWriteIsNoEndOfStream(t *testing.T) {
	for name, pause := range map[string]time.Duration{"with the data": 0, "after the data": 5 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			for range resetRounds {
				c := openings["dialed"](t)
				written := startBlockedWrite(c.own)
				go func() {
					_, _ = io.ReadFull(c.peer, make([]byte, 1<<10))
					_, _ = c.peer.Write([]byte("part"))
					time.Sleep(pause)
					_ = reset(c.peer)
				}()
				_, err := readToEnd(c.own)
				require.ErrorIs(t, err, syscall.ECONNRESET)
				require.Error(t, <-written)
				require.NoError(t, c.own.Close())
			}
		})
	}
}

// Guards against the same if the write has failed before the read begins.
func TestResetBeforeReadIsNoEndOfStream(t *testing.T) {
	for range resetRounds {
		c := openings["dialed"](t)
		written := startBlockedWrite(c.own)
		_, err := c.peer.Write([]byte("part"))
		require.NoError(t, err)
		require.NoError(t, reset(c.peer))
		require.ErrorIs(t, <-written, syscall.ECONNRESET)
		for range 2 {
			data, err := readToEnd(c.own)
			require.ErrorIs(t, err, syscall.ECONNRESET, "%q", data)
		}
		require.NoError(t, c.own.Close())
	}
}

// Guards against the same if the connection ends because the peer has fallen silent.
func TestSilenceDuringWriteIsNoEndOfStream(t *testing.T) {
	t.Parallel()
	const connections = 20
	for range connections {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			c := openings["dialed"](t)
			defer c.own.Close()
			defer c.peer.Close()
			written := startBlockedWrite(c.own)
			_, err := c.peer.Write([]byte("part"))
			require.NoError(t, err)
			require.NoError(t, sockettest.Silence(c.peer.(syscall.Conn)))
			data, err := readToEnd(c.own)
			require.ErrorIs(t, err, syscall.ETIMEDOUT)
			require.Equal(t, "part", data)
			require.Error(t, <-written)
		})
	}
}

// Guards against taking the end of a stream for a reset: a peer may end its stream and then
// read on, or close the connection although more data is on its way, which resets it after
// the end.
func TestEndOfStreamDuringWrite(t *testing.T) {
	for name, end := range map[string]func(conn *net.TCPConn){
		"peer reads on": func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			time.Sleep(5 * time.Millisecond)
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close()
		},
		"reset after the end": func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_ = reset(conn)
		},
		"peer does not read": func(conn *net.TCPConn) { _ = conn.CloseWrite() },
	} {
		t.Run(name, func(t *testing.T) {
			for range resetRounds {
				c := openings["dialed"](t)
				written := startBlockedWrite(c.own)
				go func() {
					_, _ = c.peer.Write([]byte("whole"))
					end(c.peer.(*net.TCPConn))
				}()
				started := time.Now()
				data, err := readToEnd(c.own)
				require.NoError(t, err)
				require.Equal(t, "whole", data)
				require.Less(t, time.Since(started), time.Second, "the end waits for no write")
				require.NoError(t, c.own.Close())
				<-written
				_ = c.peer.Close()
			}
		})
	}
}
