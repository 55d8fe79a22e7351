// Package httpserver serves HTTP/1.1 connections on which clients may send further
// requests before earlier ones have been answered (pipelining, RFC 9112 section
// 9.3.2). It uses the request parser of net/http.
//
// The server of net/http is not used because it serves such requests one after the
// other, does not notice that a client has disconnected while further requests
// are unread, and resets a connection that it closes with unread requests, so that
// the client may lose the response before them.
//
// Each connection has one goroutine that always reads, so that a disconnect is
// noticed at once, and goroutines that run requests and write their responses.
package httpserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/memory"
	"github.com/primrosemount/primrosemount/internal/socket"
)

// A Handler receives the requests of all connections. It must be safe for concurrent
// use.
type Handler interface {
	// Receive is called in the order of the requests of a connection. It reads the
	// body as far as it needs it; the body must not be used afterwards. While
	// Receive runs, the server does not notice that the client disconnects.
	Receive(r *http.Request) Request
}

// A Request is a request that a Handler has received.
type Request interface {
	// Concurrent reports whether the request may run while earlier requests of the
	// connection run. It must be idempotent, because the client may send it again
	// if the connection ends early.
	Concurrent() bool
	// Respond runs the request and fills the response. It is called at most once.
	// The context ends when the client disconnects.
	Respond(ctx context.Context, response *Response)
	// Release is called once, after the response has been written or when it is
	// certain that it will not be. writeErr is the error of writing the response, or
	// nil.
	Release(writeErr error)
}

// A Config configures a Server.
type Config struct {
	Handler Handler
	// HeaderTimeout limits the time to receive the head of a request, and
	// BodyTimeout the time to receive its body.
	HeaderTimeout, BodyTimeout time.Duration
	// IdleTimeout is the time without requests after which a connection is closed.
	IdleTimeout time.Duration
	// WriteTimeout limits the time to write a response.
	WriteTimeout time.Duration
	// MaxHeaderBytes limits the size of the head of a request.
	MaxHeaderBytes int64
	// Memory accounts for large heads. It may be nil.
	Memory *memory.Budget
	Logger *zap.Logger
}

// A Server serves the connections of one listener.
type Server struct {
	config Config
	mu     sync.Mutex
	// listener is nil until Serve is called.
	listener net.Listener
	conns    map[*conn]struct{}
	// stopping is set once Shutdown or Close was called.
	stopping bool
	// empty is closed when stopping is set and no connection is left.
	empty chan struct{}
}

// New returns a Server that serves no listener yet.
func New(config Config) *Server {
	return &Server{config: config, conns: make(map[*conn]struct{}), empty: make(chan struct{})}
}

// Serve accepts connections until the listener is closed or the server is stopped.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.listener = listener
	stopping := s.stopping
	s.mu.Unlock()
	if stopping {
		return listener.Close()
	}
	return socket.Accept(listener, s.config.Logger, s.serveConn)
}

// serveConn starts to serve a connection.
func (s *Server) serveConn(netConn net.Conn) {
	c := newConn(s, netConn)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		_ = netConn.Close()
		return
	}
	s.conns[c] = struct{}{}
	go c.serve()
}

// remove forgets a closed connection.
func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.signalEmpty()
}

// signalEmpty closes empty if the server has stopped and no connection is left.
func (s *Server) signalEmpty() {
	if !s.stopping || len(s.conns) > 0 {
		return
	}
	select {
	case <-s.empty:
	default:
		close(s.empty)
	}
}

// stop closes the listener and returns the open connections.
func (s *Server) stop() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	s.signalEmpty()
	open := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	return open
}

// Shutdown closes the listener, lets the requests that have been started finish, and
// closes each connection after its last response. Requests that were sent behind
// these are not run. It returns the error of the context if connections are still
// open when the context ends.
func (s *Server) Shutdown(ctx context.Context) error {
	for _, c := range s.stop() {
		c.shutdown()
	}
	select {
	case <-s.empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close closes the listener and all connections without waiting for running
// requests. Responses that have been written are still delivered.
func (s *Server) Close() error {
	for _, c := range s.stop() {
		c.close()
	}
	return nil
}
