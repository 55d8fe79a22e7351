package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/memory"
	"github.com/primrosemount/primrosemount/core/outcome"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/transport"
)

// Guards against passing on a response with a status that HTTP does not define, against
// taking the body of one for the next response, and against reusing its connection.
func TestInvalidStatusEndsConnection(t *testing.T) {
	var connections atomic.Int64
	address := scriptedTarget(t, func(conn net.Conn, request *http.Request, number int) bool {
		if number == 0 {
			connections.Add(1)
		}
		id := request.Header.Get("Id")
		status, refusal, _ := strings.Cut(id, " ")
		if refusal != "" {
			refusal = "Not-Run: 1\r\n"
		}
		body := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Length: 6\r\n\r\nforged", id)
		fmt.Fprintf(conn, "HTTP/1.1 %s Status\r\nId: %s\r\nSeal: s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, refusal, len(body), body)
		return true
	})
	c := newTargetClient(testCodec{}, responseBudget(1<<20))
	defer c.closeIdle()
	for _, status := range []string{"000", "001", "020", "099", "+20", "-00", "101", "600", "999", "000 refused", "600 refused"} {
		before := connections.Load()
		got := sendOne(t, c, address, status)
		require.Equal(t, outcome.Unknown, got.outcome, status)
		require.Equal(t, outcome.AnswerTruncated, got.reason, status)
		require.Empty(t, got.body, status)
		require.Zero(t, got.status, status)
		require.True(t, got.sent, status)
		require.Equal(t, before+1, connections.Load(), "the connection of an earlier response was reused for %s", status)
	}
	for _, status := range []string{"1000", "20", "2x0", "-1", ""} {
		require.Equal(t, outcome.Unknown, sendOne(t, c, address, status).outcome, status)
	}
	for _, status := range []int{200, 299, 302, 404, 599} {
		got := sendOne(t, c, address, fmt.Sprint(status))
		require.Equal(t, outcome.Completed, got.outcome)
		require.Equal(t, status, got.status)
	}
}

// Guards against a target that keeps a connection beyond the deadline by beginning an
// interim response.
func TestUnfinishedInterimResponseEndsWithDeadline(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	address := scriptedTarget(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		fmt.Fprint(conn, "HTTP/1.1 103 Early Hints\r\nLink: ")
		<-release
		return false
	})
	c := newTargetClient(testCodec{}, responseBudget(1<<20))
	started := time.Now()
	got := sendUntil(c, address, "1", 100*time.Millisecond)
	require.Less(t, time.Since(started), time.Second)
	require.Equal(t, outcome.Unknown, got.outcome)
	require.Equal(t, outcome.DeadlineExceeded, got.reason)
}

// fixedNode is a node that responds to each request with the same response.
type fixedNode struct{ response *pb.ForwardResponse }

func (n fixedNode) Forward(_ context.Context, request *pb.ForwardRequest, response *pb.ForwardResponse) {
	response.Id = request.GetId()
	response.Outcome, response.Status = n.response.GetOutcome(), n.response.GetStatus()
	response.Body, response.HeaderLines = n.response.GetBody(), n.response.GetHeaderLines()
	response.Gate, response.ReachedTarget = n.response.GetGate(), n.response.GetReachedTarget()
}
func (fixedNode) CancelForward(*pb.CancelRequest, *pb.CancelResponse) {}
func (fixedNode) Sync(*pb.SyncRequest, *pb.SyncResponse)              {}
func (fixedNode) ExchangeQuota(*pb.QuotaRequest, *pb.QuotaResponse)   {}

// Guards against a response of another node, which may run an earlier version, whose
// status the entry would write to its client.
func TestInvalidStatusFromNodeIsBrokenResponse(t *testing.T) {
	for _, status := range []uint32{0, 99, 100, 101, 199, 600, 999, 1 << 31} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		server := transport.NewServer(transport.ServerConfig{MaxBodyBytes: 1 << 20, MaxConnections: 4, Relay: fixedNode{&pb.ForwardResponse{
			Outcome: pb.Outcome_OUTCOME_COMPLETED, Status: status, Body: []byte("forged"), HeaderLines: []byte("Seal: s\r\n"),
			Gate: &pb.GateReport{Limit: 7}, ReachedTarget: true,
		}}})
		go func() { _ = server.Serve(listener) }()
		d := &dispatcher{pool: transport.NewPool(transport.ClientConfig{MaxBodyBytes: 1 << 20, IdleTimeout: time.Minute}), self: func() string { return "self" }, events: newEventLog(zap.NewNop())}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		o := &outgoing{responseMemory: memory.NewBudget(1 << 20).Open(memory.Responses)}
		got := d.exchange(ctx, listener.Addr().String(), &pb.ForwardRequest{Id: &pb.CallId{Sender: 1, Sequence: 1}, RemainingNanos: int64(time.Second)}, o)
		cancel()
		d.pool.Close()
		require.NoError(t, listener.Close())
		server.Close()
		require.Equal(t, pb.Outcome_OUTCOME_UNKNOWN, got.GetOutcome(), status)
		require.Equal(t, pb.Reason_REASON_ANSWER_TRUNCATED, got.GetReason(), status)
		require.Zero(t, got.GetStatus())
		require.Empty(t, got.GetBody())
		require.Empty(t, got.GetHeaderLines())
		require.True(t, got.GetReachedTarget())
		require.Equal(t, uint32(7), got.GetGate().GetLimit(), "the report of the gate is kept")
	}
}
