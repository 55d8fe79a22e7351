package httpserver_test

import (
	"io"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/transport/httpserver"
)

// interruptedConn passes on only the beginning of its first write, which then fails like
// one to a client that has not read in time. Later writes succeed.
type interruptedConn struct {
	net.Conn
	interrupted atomic.Bool
}

func (c *interruptedConn) Write(data []byte) (int, error) {
	if !c.interrupted.CompareAndSwap(false, true) {
		return c.Conn.Write(data)
	}
	n, err := c.Conn.Write(data[:len(data)/2])
	if err == nil {
		err = os.ErrDeadlineExceeded
	}
	return n, err
}

// Guards against a response that follows a part of an interim response or of another
// response: the client would read bytes of both as one.
func TestNothingFollowsPartOfResponse(t *testing.T) {
	for name, test := range map[string]struct{ request, prefix string }{
		"interim response": {"POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n", "HTTP/1.1 100"},
		"response":         {getA + getA, "HTTP/1.1 200"},
	} {
		t.Run(name, func(t *testing.T) {
			listener := newPipeListener()
			server := httpserver.New(httpserver.Config{
				Handler: &echo{}, HeaderTimeout: testTimeout, BodyTimeout: testTimeout,
				IdleTimeout: testTimeout, WriteTimeout: testTimeout, MaxHeaderBytes: 8 << 10, Logger: zap.NewNop(),
			})
			done := make(chan error, 1)
			go func() { done <- server.Serve(listener) }()
			client, accepted := net.Pipe()
			defer client.Close()
			listener.conns <- &interruptedConn{Conn: accepted}
			go func() { _, _ = io.WriteString(client, test.request) }()
			require.NoError(t, client.SetReadDeadline(time.Now().Add(testTimeout)))
			received, err := io.ReadAll(client)
			require.NoError(t, err, "the connection is still open")
			require.Contains(t, string(received), test.prefix)
			require.NotContains(t, string(received[len(test.prefix):]), "HTTP/1.1")
			require.NoError(t, server.Close())
			require.NoError(t, <-done)
		})
	}
}
