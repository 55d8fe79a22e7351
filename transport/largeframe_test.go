package transport

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/memory"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// echoRelay responds with the body of the request, or with one of responseBytes if that
// is set.
type echoRelay struct{ responseBytes int }

func (e echoRelay) Forward(_ context.Context, request *pb.ForwardRequest, response *pb.ForwardResponse) {
	response.Id = request.GetId()
	response.Body = request.GetBody()
	if e.responseBytes > 0 {
		response.Body = make([]byte, e.responseBytes)
	}
}
func (echoRelay) CancelForward(*pb.CancelRequest, *pb.CancelResponse) {}
func (echoRelay) ExchangeQuota(*pb.QuotaRequest, *pb.QuotaResponse)   {}
func (echoRelay) Sync(*pb.SyncRequest, *pb.SyncResponse)              {}

// startRelay starts a server and a pool, whose messages the budgets account for.
func startRelay(t *testing.T, relay RelayHandler, server, client *memory.Budget) (string, *Pool) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := NewServer(ServerConfig{Relay: relay, MaxBodyBytes: 8 << 20, MaxConnections: 8, Memory: server})
	go func() { _ = s.Serve(listener) }()
	pool := NewPool(ClientConfig{MaxBodyBytes: 8 << 20, IdleTimeout: time.Minute, Memory: client})
	t.Cleanup(func() {
		pool.Close()
		require.NoError(t, listener.Close())
		s.Close()
	})
	return listener.Addr().String(), pool
}

// requireReleased requires that no message holds memory any more.
func requireReleased(t *testing.T, budgets ...*memory.Budget) {
	t.Helper()
	for _, budget := range budgets {
		require.Eventually(t, func() bool { return budget.Usage().Held == [3]int64{} }, time.Second, time.Millisecond)
	}
}

// Guards against a node that runs out of memory by the messages of many others, that
// reports a request which it has discarded unread as possibly run, or that ends the
// connection and so the other calls on it.
func TestRequestBeyondMemoryIsNotHandled(t *testing.T) {
	server, client := memory.NewBudget(16<<20), memory.NewBudget(64<<20)
	address, pool := startRelay(t, echoRelay{}, server, client)
	held := server.Open(memory.Frames)
	require.True(t, held.Ensure(server.Max(memory.Frames)))
	large := make([]byte, 1<<20)
	for sequence := range uint64(3) {
		_, err := pool.Forward(t.Context(), address, &pb.ForwardRequest{Id: callID(2 * sequence), Body: large})
		require.ErrorIs(t, err, ErrNotSent)
		require.NotErrorIs(t, err, ErrResponseLost)
		response, err := pool.Forward(t.Context(), address, &pb.ForwardRequest{Id: callID(2*sequence + 1), Body: []byte("small")})
		require.NoError(t, err)
		require.Equal(t, "small", string(response.GetBody()))
	}
	require.Equal(t, 1, pool.Connections())
	held.Release()
	response, err := pool.Forward(t.Context(), address, &pb.ForwardRequest{Id: callID(100), Body: large})
	require.NoError(t, err)
	require.Len(t, response.GetBody(), len(large))
	requireReleased(t, server, client)
}

// Guards against a response beyond the memory of the caller that ends the connection, or
// that is taken for an empty one.
func TestResponseBeyondMemoryFailsOnlyItsCall(t *testing.T) {
	server, client := memory.NewBudget(64<<20), memory.NewBudget(16<<20)
	address, pool := startRelay(t, echoRelay{responseBytes: 1 << 20}, server, client)
	held := client.Open(memory.Responses)
	require.True(t, held.Ensure(client.Max(memory.Responses)))
	_, err := pool.Forward(t.Context(), address, &pb.ForwardRequest{Id: callID(1)})
	require.ErrorIs(t, err, ErrResponseLost)
	_, err = pool.Sync(t.Context(), address, &pb.SyncRequest{})
	require.NoError(t, err)
	held.Release()
	response, err := pool.Forward(t.Context(), address, &pb.ForwardRequest{Id: callID(2)})
	require.NoError(t, err)
	require.Len(t, response.GetBody(), 1<<20)
	require.Equal(t, 1, pool.Connections())
	requireReleased(t, server, client)
}

// Guards against a request that is encoded although no memory is left for that, and
// against memory that stays reserved by requests that were never written.
func TestRequestIsNotEncodedWithoutMemory(t *testing.T) {
	server, client := memory.NewBudget(64<<20), memory.NewBudget(16<<20)
	address, pool := startRelay(t, echoRelay{}, server, client)
	held := client.Open(memory.Frames)
	require.True(t, held.Ensure(client.Max(memory.Frames)))
	_, err := pool.Forward(t.Context(), address, &pb.ForwardRequest{Id: callID(1), Body: make([]byte, 1<<20)})
	require.ErrorIs(t, err, ErrNotSent)
	held.Release()
	requireReleased(t, server, client)
}
