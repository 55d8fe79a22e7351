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
	response.Body, response.HeaderLines, response.Headers = n.response.GetBody(), n.response.GetHeaderLines(), n.response.GetHeaders()
	response.Gate, response.ReachedTarget = n.response.GetGate(), n.response.GetReachedTarget()
}
func (fixedNode) CancelForward(*pb.CancelRequest, *pb.CancelResponse) {}
func (fixedNode) Sync(*pb.SyncRequest, *pb.SyncResponse)              {}
func (fixedNode) ExchangeQuota(*pb.QuotaRequest, *pb.QuotaResponse)   {}

// exchangeWithNode returns what a dispatcher makes of a response of another node.
func exchangeWithNode(t *testing.T, response *pb.ForwardResponse) *pb.ForwardResponse {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := transport.NewServer(transport.ServerConfig{MaxBodyBytes: 1 << 20, MaxConnections: 4, Relay: fixedNode{response}})
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	defer listener.Close()
	d := &dispatcher{pool: transport.NewPool(transport.ClientConfig{MaxBodyBytes: 1 << 20, IdleTimeout: time.Minute}), self: func() string { return "self" }, events: newEventLog(zap.NewNop())}
	defer d.pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	o := &outgoing{responseMemory: memory.NewBudget(1 << 20).Open(memory.Responses)}
	return d.exchange(ctx, listener.Addr().String(), &pb.ForwardRequest{Id: &pb.CallId{Sender: 1, Sequence: 1}, RemainingNanos: int64(time.Second)}, o)
}

// requireBroken requires that a response counts as a broken one of the target, and that the
// report of the gate is kept.
func requireBroken(t *testing.T, got *pb.ForwardResponse, message any) {
	t.Helper()
	require.Equal(t, pb.Outcome_OUTCOME_UNKNOWN, got.GetOutcome(), message)
	require.Equal(t, pb.Reason_REASON_ANSWER_TRUNCATED, got.GetReason(), message)
	require.Zero(t, got.GetStatus())
	require.Empty(t, got.GetBody())
	require.Empty(t, got.GetHeaderLines())
	require.True(t, got.GetReachedTarget())
	require.Equal(t, uint32(7), got.GetGate().GetLimit())
}

// Guards against a response of another node, which may run an earlier version, whose
// status the entry would write to its client.
func TestInvalidStatusFromNodeIsBrokenResponse(t *testing.T) {
	for _, status := range []uint32{0, 99, 100, 101, 199, 600, 999, 1 << 31} {
		requireBroken(t, exchangeWithNode(t, &pb.ForwardResponse{
			Outcome: pb.Outcome_OUTCOME_COMPLETED, Status: status, Body: []byte("forged"), HeaderLines: []byte("Seal: s\r\n"),
			Gate: &pb.GateReport{Limit: 7}, ReachedTarget: true,
		}), status)
	}
}

// Guards against a response of a node that runs an earlier version, which has not checked
// the head of its target: the entry would write the malformed line to its client, and the
// body may have another framing than the target meant.
func TestMalformedHeadersFromNodeAreBrokenResponse(t *testing.T) {
	for _, line := range []string{"Bad name: 1\r\n", "Content-Length : 7\r\n", "Tab\t: 1\r\n", "Bad\x01name: 1\r\n", " Folded: 1\r\n", ": 1\r\n", "No colon\r\n"} {
		requireBroken(t, exchangeWithNode(t, &pb.ForwardResponse{
			Outcome: pb.Outcome_OUTCOME_COMPLETED, Status: http.StatusOK, Body: []byte("ente"), HeaderLines: []byte("Seal: s\r\n" + line + "Note: 1\r\n"),
			Gate: &pb.GateReport{Limit: 7}, ReachedTarget: true,
		}), line)
	}
	requireBroken(t, exchangeWithNode(t, &pb.ForwardResponse{
		Outcome: pb.Outcome_OUTCOME_COMPLETED, Status: http.StatusOK, Body: []byte("ente"), Headers: []*pb.Header{{Name: "Bad name", Value: "1"}},
		Gate: &pb.GateReport{Limit: 7}, ReachedTarget: true,
	}), "a message for each header")
	got := exchangeWithNode(t, &pb.ForwardResponse{
		Outcome: pb.Outcome_OUTCOME_COMPLETED, Status: http.StatusOK, Body: []byte("entered"), HeaderLines: []byte("Seal: s\r\nNote: \xe4 b\r\nEmpty:\r\n"),
		Gate: &pb.GateReport{Limit: 7}, ReachedTarget: true,
	})
	require.Equal(t, pb.Outcome_OUTCOME_COMPLETED, got.GetOutcome())
	require.Equal(t, "Seal: s\r\nNote: \xe4 b\r\nEmpty:\r\n", string(got.GetHeaderLines()))
}
