package transport

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"runtime/debug"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/memory"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/internal/socket"
)

// handshakeTimeout closes a connection whose peer stalls in the TLS handshake.
const handshakeTimeout = 3 * time.Second

// A Handler serves the methods that nodes call on each other. The context is
// canceled when the connection of the calling node is lost. Methods fill the
// response and are called concurrently.
type Handler interface {
	Call(ctx context.Context, request *pb.CallRequest, response *pb.CallResponse)
	Cancel(request *pb.CancelRequest, response *pb.CancelResponse)
	Probe(request *pb.ProbeRequest, response *pb.ProbeResponse)
	Exchange(ctx context.Context, request *pb.ExchangeRequest, response *pb.ExchangeResponse) error
	Handover(request *pb.HandoverRequest, response *pb.HandoverResponse)
	Explain(request *pb.ExplainRequest, response *pb.ExplainResponse)
	Burn(request *pb.BurnRequest, response *pb.BurnResponse)
}

// A RelayHandler serves the methods of nodes that relay HTTP requests. The
// context is canceled when the connection of the calling node is lost. Methods
// fill the response and are called concurrently.
type RelayHandler interface {
	Forward(ctx context.Context, request *pb.ForwardRequest, response *pb.ForwardResponse)
	CancelForward(request *pb.CancelRequest, response *pb.CancelResponse)
	Sync(request *pb.SyncRequest, response *pb.SyncResponse)
	ExchangeQuota(request *pb.QuotaRequest, response *pb.QuotaResponse)
}

// Authorize decides whether a peer may connect; it returns an error to refuse
// the peer. A nil state means a connection without TLS.
type Authorize func(state *tls.ConnectionState) error

// A ServerConfig configures a Server.
type ServerConfig struct {
	// Handler may be nil if Relay is set.
	Handler Handler
	// Relay may be nil if Handler is set.
	Relay RelayHandler
	// TLS is nil for plain connections.
	TLS *tls.Config
	// Authorize may be nil. Then every peer that completes the handshake is
	// accepted.
	Authorize Authorize
	// MaxBodyBytes bounds the body of one call.
	MaxBodyBytes int64
	// MaxConnections bounds the number of simultaneous connections.
	MaxConnections int
	// Memory accounts for large messages. It may be nil.
	Memory *memory.Budget
	// Logger may be nil.
	Logger *zap.Logger
}

// A Server accepts connections from other nodes.
type Server struct {
	config ServerConfig
	mutex  sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
	wait   sync.WaitGroup
}

// NewServer returns a Server that serves no listener yet.
func NewServer(config ServerConfig) *Server {
	if config.Logger == nil {
		config.Logger = zap.NewNop()
	}
	return &Server{config: config, conns: make(map[net.Conn]struct{})}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	return socket.Accept(listener, s.config.Logger, func(conn net.Conn) {
		if !s.track(conn) {
			_ = conn.Close()
			return
		}
		go s.serveConn(conn)
	})
}

// Close closes all connections and waits for their handlers to return.
func (s *Server) Close() {
	s.mutex.Lock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mutex.Unlock()
	s.wait.Wait()
}

// track registers a connection. It returns false if the server is closed or has
// too many connections.
func (s *Server) track(conn net.Conn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed || len(s.conns) >= s.config.MaxConnections {
		return false
	}
	s.conns[conn] = struct{}{}
	s.wait.Add(1)
	return true
}

func (s *Server) untrack(conn net.Conn) {
	s.mutex.Lock()
	delete(s.conns, conn)
	s.mutex.Unlock()
	s.wait.Done()
}

// serveConn serves the calls of one connection until it is closed.
func (s *Server) serveConn(conn net.Conn) {
	defer s.untrack(conn)
	defer conn.Close()
	tlsConn, err := s.handshake(conn)
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	accounts := &messageAccounts{}
	server, err := s.newRPCServer(ctx, accounts)
	if err != nil {
		return
	}
	calls := &connServer{rpc: server, budget: s.config.Memory, codec: &cancelingCodec{
		serverCodec: serverCodec{frames: newFrames(tlsConn, s.config.MaxBodyBytes), budget: s.config.Memory, accounts: accounts},
		cancelCalls: cancel,
	}}
	calls.serve()
}

// newRPCServer returns a net/rpc server for one connection. The context is
// passed to the handlers.
func (s *Server) newRPCServer(ctx context.Context, accounts *messageAccounts) (*rpc.Server, error) {
	server := rpc.NewServer()
	if s.config.Handler != nil {
		if err := server.RegisterName(serviceName, &endpoint{guard: guard{s.config.Logger}, ctx: ctx, handler: s.config.Handler}); err != nil {
			return nil, err
		}
	}
	if s.config.Relay != nil {
		if err := server.RegisterName(relayServiceName, &relayEndpoint{guard: guard{s.config.Logger}, ctx: ctx, handler: s.config.Relay, accounts: accounts}); err != nil {
			return nil, err
		}
	}
	return server, nil
}

// handshake performs the TLS handshake, if TLS is configured, and authorizes the
// peer.
func (s *Server) handshake(conn net.Conn) (net.Conn, error) {
	if s.config.TLS == nil {
		return conn, s.authorize(nil)
	}
	tlsConn := tls.Server(conn, s.config.TLS)
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		return nil, err
	}
	state := tlsConn.ConnectionState()
	return tlsConn, s.authorize(&state)
}

func (s *Server) authorize(state *tls.ConnectionState) error {
	if s.config.Authorize == nil {
		return nil
	}
	return s.config.Authorize(state)
}

// cancelingCodec cancels the calls of a connection as soon as the connection is
// lost. connServer.serve waits for running calls before it returns, so the
// cancellation cannot be left to the end of serveConn.
type cancelingCodec struct {
	serverCodec
	cancelCalls context.CancelFunc
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *cancelingCodec) ReadRequestHeader(r *rpc.Request) error {
	err := c.serverCodec.ReadRequestHeader(r)
	if err != nil {
		c.cancelCalls()
	}
	return err
}

// serviceName is the net/rpc service under which a node serves its methods.
const serviceName = "Node"

// errHandlerFailed is the response to a call whose handler panicked.
var errHandlerFailed = errors.New("transport: the handler failed unexpectedly; the request may have run")

// guard keeps a panic of a handler from ending the process, which net/rpc does not.
type guard struct{ logger *zap.Logger }

// recover is deferred by the methods that call handlers. It turns a panic into an
// error response.
func (g guard) recover(err *error) {
	if cause := recover(); cause != nil {
		g.logger.Error("A call failed unexpectedly; report this to the developers.",
			zap.Any("cause", cause), zap.ByteString("stack", debug.Stack()))
		*err = errHandlerFailed
	}
}

// endpoint is the net/rpc receiver of one connection.
type endpoint struct {
	guard
	ctx     context.Context
	handler Handler
}

func (e *endpoint) Call(request *pb.CallRequest, response *pb.CallResponse) (err error) {
	defer e.recover(&err)
	e.handler.Call(e.ctx, request, response)
	return nil
}

func (e *endpoint) Cancel(request *pb.CancelRequest, response *pb.CancelResponse) (err error) {
	defer e.recover(&err)
	e.handler.Cancel(request, response)
	return nil
}

func (e *endpoint) Probe(request *pb.ProbeRequest, response *pb.ProbeResponse) (err error) {
	defer e.recover(&err)
	e.handler.Probe(request, response)
	return nil
}

func (e *endpoint) Exchange(request *pb.ExchangeRequest, response *pb.ExchangeResponse) (err error) {
	defer e.recover(&err)
	return e.handler.Exchange(e.ctx, request, response)
}

func (e *endpoint) Handover(request *pb.HandoverRequest, response *pb.HandoverResponse) (err error) {
	defer e.recover(&err)
	e.handler.Handover(request, response)
	return nil
}

func (e *endpoint) Explain(request *pb.ExplainRequest, response *pb.ExplainResponse) (err error) {
	defer e.recover(&err)
	e.handler.Explain(request, response)
	return nil
}

func (e *endpoint) Burn(request *pb.BurnRequest, response *pb.BurnResponse) (err error) {
	defer e.recover(&err)
	e.handler.Burn(request, response)
	return nil
}

// relayServiceName is the net/rpc service under which nodes serve relayed HTTP
// requests.
const relayServiceName = "Relay"

// relayEndpoint is the net/rpc receiver of one connection from a relaying node.
type relayEndpoint struct {
	guard
	ctx      context.Context
	handler  RelayHandler
	accounts *messageAccounts
}

func (e *relayEndpoint) Forward(request *pb.ForwardRequest, response *pb.ForwardResponse) (err error) {
	defer e.recover(&err)
	defer e.accounts.release(request)
	e.handler.Forward(e.ctx, request, response)
	return nil
}

func (e *relayEndpoint) Cancel(request *pb.CancelRequest, response *pb.CancelResponse) (err error) {
	defer e.recover(&err)
	e.handler.CancelForward(request, response)
	return nil
}

func (e *relayEndpoint) ExchangeQuota(request *pb.QuotaRequest, response *pb.QuotaResponse) (err error) {
	defer e.recover(&err)
	e.handler.ExchangeQuota(request, response)
	return nil
}

func (e *relayEndpoint) Sync(request *pb.SyncRequest, response *pb.SyncResponse) (err error) {
	defer e.recover(&err)
	e.handler.Sync(request, response)
	return nil
}
