package httpserver_test

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/transport/httpserver"
)

// pipeListener accepts connections without buffers, as those of a client whose buffers
// are full.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe", Net: "pipe"} }

// Guards against a stop that waits for a client which neither reads nor closes its
// connection: the shutdown waited up to the write timeout of a minute, and the process
// was killed at the end of the grace period.
func TestShutdownDoesNotWaitForClientThatDoesNotRead(t *testing.T) {
	for name, head := range map[string]string{
		"interim response": "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n",
		"response":         "GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			listener := newPipeListener()
			handler := &echo{}
			server := httpserver.New(httpserver.Config{
				Handler: handler, HeaderTimeout: testTimeout, BodyTimeout: testTimeout,
				IdleTimeout: testTimeout, WriteTimeout: testTimeout, MaxHeaderBytes: 8 << 10, Logger: zap.NewNop(),
			})
			done := make(chan error, 1)
			go func() { done <- server.Serve(listener) }()
			client, accepted := net.Pipe()
			defer client.Close()
			listener.conns <- accepted
			_, err := io.WriteString(client, head)
			require.NoError(t, err)
			require.Eventually(t, func() bool { return handler.running.Load() == 1 }, testTimeout, time.Millisecond)
			time.Sleep(50 * time.Millisecond)

			const grace = 200 * time.Millisecond
			ctx, cancel := context.WithTimeout(context.Background(), grace)
			defer cancel()
			started := time.Now()
			require.Error(t, server.Shutdown(ctx))
			require.NoError(t, server.Close())
			require.Less(t, time.Since(started), testTimeout/2)
			require.NoError(t, <-done)
			require.Eventually(t, func() bool { return handler.running.Load() == 0 }, testTimeout, time.Millisecond, "a request was not released")
		})
	}
}
