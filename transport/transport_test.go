package transport

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

const testBodyBytes = 1 << 20

// echo responds to calls with their own body, after waiting for the channel
// wait if it is set.
type echo struct {
	cancelled atomic.Int64
	lost      atomic.Int64
	wait      chan struct{}
}

func (e *echo) Call(ctx context.Context, request *pb.CallRequest, response *pb.CallResponse) {
	if e.wait != nil {
		select {
		case <-e.wait:
		case <-ctx.Done():
			e.lost.Add(1)
		}
	}
	response.Id = request.GetId()
	response.Body = request.GetBody()
}

func (e *echo) Cancel(*pb.CancelRequest, *pb.CancelResponse)       { e.cancelled.Add(1) }
func (e *echo) Probe(*pb.ProbeRequest, *pb.ProbeResponse)          {}
func (e *echo) Handover(*pb.HandoverRequest, *pb.HandoverResponse) {}
func (e *echo) Explain(*pb.ExplainRequest, *pb.ExplainResponse)    {}
func (e *echo) Burn(*pb.BurnRequest, *pb.BurnResponse)             {}
func (e *echo) Exchange(context.Context, *pb.ExchangeRequest, *pb.ExchangeResponse) error {
	return errors.New("refused for the test")
}

func startServer(t *testing.T, handler Handler) (string, *Server) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := NewServer(ServerConfig{Handler: handler, MaxBodyBytes: testBodyBytes, MaxConnections: 8})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		require.NoError(t, listener.Close())
		server.Close()
	})
	return listener.Addr().String(), server
}

func newTestPool(t *testing.T) *Pool {
	pool := NewPool(ClientConfig{MaxBodyBytes: testBodyBytes, IdleTimeout: time.Minute})
	t.Cleanup(pool.Close)
	return pool
}

func callID(sequence uint64) *pb.CallId { return &pb.CallId{Sender: 7, Sequence: sequence} }

// Guards against delivering a response to another call, and against an error
// response that breaks the connection for later calls.
func TestResponsesMatchTheirCalls(t *testing.T) {
	address, _ := startServer(t, &echo{})
	pool := newTestPool(t)
	ctx := context.Background()
	for i := uint64(1); i <= 20; i++ {
		request := &pb.CallRequest{Id: callID(i), Body: []byte{byte(i)}}
		response, err := pool.Call(ctx, address, request)
		require.NoError(t, err)
		require.Equal(t, []byte{byte(i)}, response.GetBody())
		_, err = pool.Exchange(ctx, address, &pb.ExchangeRequest{})
		require.ErrorContains(t, err, "refused for the test")
	}
	require.Equal(t, 1, pool.Connections())
}

// Guards against reporting a sent request as not sent, and against reporting a
// request that was not sent as sent.
func TestErrorsShowWhetherTheRequestWasSent(t *testing.T) {
	handler := &echo{wait: make(chan struct{})}
	address, server := startServer(t, handler)
	pool := newTestPool(t)

	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := pool.Call(ctx, address, &pb.CallRequest{Id: callID(1)})
	require.ErrorIs(t, err, ErrResponseLost)
	require.Eventually(t, func() bool { return handler.cancelled.Load() == 1 }, time.Second, time.Millisecond)

	go server.Close()
	require.Eventually(t, func() bool { return handler.lost.Load() >= 1 }, time.Second, time.Millisecond)

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closed := listener.Addr().String()
	require.NoError(t, listener.Close())
	_, err = pool.Call(context.Background(), closed, &pb.CallRequest{Id: callID(2)})
	require.ErrorIs(t, err, ErrNotSent)
	require.NotErrorIs(t, err, ErrResponseLost)
}

// panicking fails unexpectedly in every call with a body.
type panicking struct{ echo }

func (p *panicking) Call(ctx context.Context, request *pb.CallRequest, response *pb.CallResponse) {
	if len(request.GetBody()) > 0 {
		panic("the handler fails")
	}
	p.echo.Call(ctx, request, response)
}

// Guards against a panic of a handler that ends the process, the connection or the
// calls beside it, and against reporting the call as not sent.
func TestPanicFailsOnlyItsCall(t *testing.T) {
	address, _ := startServer(t, &panicking{})
	pool := newTestPool(t)
	for i := uint64(1); i <= 5; i++ {
		_, err := pool.Call(context.Background(), address, &pb.CallRequest{Id: callID(2 * i), Body: []byte("x")})
		require.ErrorIs(t, err, ErrResponseLost)
		_, err = pool.Call(context.Background(), address, &pb.CallRequest{Id: callID(2*i + 1)})
		require.NoError(t, err)
	}
	require.Equal(t, 1, pool.Connections())
}

// unencodable responds with text that protobuf cannot encode.
type unencodable struct{ echo }

func (u *unencodable) Call(_ context.Context, request *pb.CallRequest, response *pb.CallResponse) {
	response.Id = request.GetId()
	response.Detail = "\xff"
}

// Guards against a caller that waits until its deadline for a response that cannot be
// encoded, and against a request that cannot be encoded and ends the connection.
func TestMessageThatCannotBeEncodedFailsOnlyItsCall(t *testing.T) {
	address, _ := startServer(t, &unencodable{})
	pool := newTestPool(t)
	started := time.Now()
	_, err := pool.Call(context.Background(), address, &pb.CallRequest{Id: callID(1)})
	require.ErrorIs(t, err, ErrResponseLost)
	_, err = pool.Call(context.Background(), address, &pb.CallRequest{Id: callID(2), Operation: "\xff"})
	require.ErrorIs(t, err, ErrNotSent)
	_, err = pool.Probe(context.Background(), address, &pb.ProbeRequest{})
	require.NoError(t, err)
	require.Equal(t, 1, pool.Connections())
	require.Less(t, time.Since(started), time.Second)
}

// Guards against writing a request after its caller was notified that it was
// not sent.
func TestAbandonedRequestIsNeverWritten(t *testing.T) {
	out := &outgoing{message: &pb.CallRequest{}}
	require.True(t, out.abandon())
	codec := &clientCodec{}
	require.ErrorIs(t, codec.WriteRequest(nil, out), errAbandoned)

	started := &outgoing{message: &pb.CallRequest{}}
	require.True(t, started.start())
	require.False(t, started.abandon())
}

// Guards against a peer that makes the receiver allocate memory without limit.
func TestOversizedFrameEndsTheConnection(t *testing.T) {
	address, _ := startServer(t, &echo{})
	pool := newTestPool(t)
	body := make([]byte, controlMessageBytes+frameOverheadBytes+1)
	_, err := pool.Call(context.Background(), address, &pb.CallRequest{Id: callID(1), Body: body})
	require.ErrorIs(t, err, ErrResponseLost)
	require.Eventually(t, func() bool { return pool.Connections() == 0 }, time.Second, time.Millisecond,
		"the server must end the connection, because the position in the stream is lost")
	_, err = pool.Call(context.Background(), address, &pb.CallRequest{Id: callID(2)})
	require.NoError(t, err, "the pool must dial again after a lost connection")
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// silentListener accepts connections and reads nothing from the first one, as
// if a network device acknowledged keep-alive probes but forwarded nothing.
type silentListener struct {
	net.Listener
	accepted atomic.Int64
	closed   chan struct{}
}

func (l *silentListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil && l.accepted.Add(1) == 1 {
		return &silentConn{Conn: conn, closed: l.closed}, nil
	}
	return conn, err
}

// silentConn reads nothing until the test ends.
type silentConn struct {
	net.Conn
	closed chan struct{}
}

func (c *silentConn) Read([]byte) (int, error) {
	<-c.closed
	return 0, net.ErrClosed
}

// Guards against losing one call after another on a connection on which the
// peer has stopped responding without closing it (seen in soak runs with seeds
// 509 and 510).
func TestSilentConnectionIsRetired(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := &silentListener{Listener: inner, closed: make(chan struct{})}
	server := NewServer(ServerConfig{Handler: &echo{}, MaxBodyBytes: testBodyBytes, MaxConnections: 8})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		require.NoError(t, inner.Close())
		close(listener.closed)
		server.Close()
	})
	pool := newTestPool(t)
	call := func(sequence uint64, wait time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), wait)
		defer cancel()
		_, err := pool.Call(ctx, inner.Addr().String(), &pb.CallRequest{Id: callID(sequence)})
		return err
	}
	require.ErrorIs(t, call(1, silenceTimeout/2), ErrResponseLost)
	require.ErrorIs(t, call(2, silenceTimeout/2), ErrResponseLost, "too early to distinguish a silent connection from a slow call")
	require.ErrorIs(t, call(3, silenceTimeout+50*time.Millisecond), ErrResponseLost)
	require.NoError(t, call(4, silenceTimeout))
	require.Equal(t, int64(2), listener.accepted.Load())
}

// Guards against retiring a connection because one call on it is slow while
// other calls receive responses.
func TestSlowCallDoesNotRetireTheConnection(t *testing.T) {
	handler := &echo{wait: make(chan struct{})}
	address, _ := startServer(t, handler)
	pool := newTestPool(t)
	ctx, cancel := context.WithTimeout(context.Background(), silenceTimeout+200*time.Millisecond)
	defer cancel()
	slow := make(chan error, 1)
	go func() {
		_, err := pool.Call(ctx, address, &pb.CallRequest{Id: callID(1)})
		slow <- err
	}()
	for ctx.Err() == nil {
		_, err := pool.Probe(context.Background(), address, &pb.ProbeRequest{})
		require.NoError(t, err)
		time.Sleep(20 * time.Millisecond)
	}
	require.ErrorIs(t, <-slow, ErrResponseLost)
	require.Equal(t, 1, pool.Connections())
	close(handler.wait)
}
