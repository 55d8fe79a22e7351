package relay

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/callgraph"
	"github.com/primrosemount/primrosemount/core/ingress"
	"github.com/primrosemount/primrosemount/core/leastshare"
	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/core/threshold"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// Guards against shedding calls of a request that is nearly done before the first
// calls of other requests. If one of ten calls is refused, the other nine are
// wasted.
func TestCompletedCallsBoostNextCall(t *testing.T) {
	now := time.Now()
	downstream := threshold.NewDownstream(now)
	level := outcome.LevelOf(outcome.Critical, 100)
	run := threshold.NewOperations(downstream).Start("order", level)
	graph := callgraph.New()
	graph.Start("a", callgraph.Parent{Route: "order", Level: level, PriorCompletedCalls: 1, Run: run})
	e := &entry{graph: graph, shares: leastshare.New(), wire: testCodec{}, originService: func() string { return "orders" }}
	route := &ingress.Route{Name: "limit", Destinations: []ingress.Destination{{Service: "credit"}}}
	call := func() *outgoing {
		return e.outgoing(httptest.NewRequest("GET", "/limit/", nil), route, e.senderOf(Envelope{AttemptID: "a.1"}), "/limit/", nil, 1, now)
	}
	require.Equal(t, level.Boosted(threshold.BoostPerCall), call().effectiveLevel())

	d := &dispatcher{downstream: downstream}
	d.observe(call(), &pb.ForwardResponse{Outcome: pb.Outcome_OUTCOME_COMPLETED, Status: 200, CompletedCalls: 2})
	next := call()
	require.Equal(t, uint32(4), next.message.GetCompletedCalls(), "one call before, this call and the two calls it made")
	require.Equal(t, level.Boosted(4*threshold.BoostPerCall), next.effectiveLevel())
	require.Equal(t, level, next.level, "thresholds are based on the levels of root requests, without the boost")

	d.observe(next, &pb.ForwardResponse{Outcome: pb.Outcome_OUTCOME_NOT_RUN})
	require.Equal(t, uint32(4), call().message.GetCompletedCalls())
}
