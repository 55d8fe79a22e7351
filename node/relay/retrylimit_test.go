package relay

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/primrosemount/primrosemount/core/callgraph"
	"github.com/primrosemount/primrosemount/core/ingress"
	"github.com/primrosemount/primrosemount/core/memory"
	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/core/retry"
	"github.com/primrosemount/primrosemount/core/route"
	"github.com/primrosemount/primrosemount/core/targetstate"
	"github.com/primrosemount/primrosemount/core/threshold"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/transport/httpserver"
)

// limitsWith returns limits of a node with 1,000 first attempts of calls to "deep".
func limitsWith(enabled bool) *retryLimits {
	l := newRetryLimits(newBudgets(0.1, 1), func() bool { return enabled }, zap.NewNop())
	for range 1000 {
		l.budgets.get("deep").RecordFirstAttempt(time.Now())
	}
	return l
}

func deepCall(level outcome.Level) *outgoing {
	return &outgoing{
		message: &pb.ForwardRequest{Service: "deep"}, route: &ingress.Route{Name: "op"}, level: level, started: time.Now(),
		parent: &callgraph.Parent{Route: "caller"},
	}
}

var targetRefusal = &pb.ForwardResponse{Outcome: outcome.NotRun.Proto(), Reason: outcome.TargetRefused.Proto(), ReachedTarget: true}

// Guards against effects of the limit where the configuration does not call for it: then
// the budget decides on repeats alone, thresholds and reports stay, and callers are told
// what they were told before.
func TestRetryLimitIsOffByDefault(t *testing.T) {
	l := limitsWith(false)
	o := deepCall(500)
	for range 100 {
		l.firstAttempt(o)
		l.result(o, targetRefusal)
	}
	require.Nil(t, l.find("deep"))
	require.Equal(t, outcome.MaxLevel, l.Limit(time.Now(), o.dependency()))
	require.Zero(t, l.observeShortage(o, 100, 5000))
	require.Zero(t, l.ownShortage(time.Now(), "op", 100))
	require.Equal(t, time.Second, l.retryAfter(o, outcome.Overloaded, time.Second))
	require.Empty(t, l.sample())
	expected := retry.NewWindowBudget(time.Now(), 0.1, 1)
	for range 1000 {
		expected.RecordFirstAttempt(time.Now())
	}
	budget := l.budgets.get("deep")
	for range 200 {
		require.Equal(t, expected.Spend(time.Now(), retry.Kind{Class: outcome.Sheddable, ChildCall: true}), l.spend(o, budget))
	}
	var none *retryLimits
	none.firstAttempt(o)
	none.result(o, targetRefusal)
	require.Equal(t, time.Second, none.retryAfter(o, outcome.Overloaded, time.Second))
	require.False(t, (&configuration{}).limitByRetryBudget())
}

// Guards against limits that the node does not report, log or show in metrics. The lines
// tell the begin and the end.
func TestRetryLimitIsLoggedAndReported(t *testing.T) {
	core, lines := observer.New(zapcore.InfoLevel)
	l := limitsWith(true)
	l.logger = zap.New(core)
	for i := range 3000 {
		l.firstAttempt(deepCall(outcome.Level(384 + i%outcome.Cohorts)))
	}
	time.Sleep(150 * time.Millisecond)
	for range 64 {
		l.result(deepCall(500), targetRefusal)
	}
	require.Eventually(t, func() bool {
		l.result(deepCall(500), targetRefusal)
		return lines.Len() == 1
	}, time.Second, 10*time.Millisecond)
	require.Equal(t, "The retry budget begins to limit the calls to a service.", lines.All()[0].Message)
	require.Less(t, l.Limit(time.Now(), deepCall(500).dependency()), outcome.MaxLevel)
	require.Len(t, l.sample(), 1)
	require.Less(t, l.sample()[0].Level, int64(outcome.MaxLevel))
	require.Eventually(t, func() bool {
		l.result(deepCall(500), &pb.ForwardResponse{Outcome: outcome.Completed.Proto(), ReachedTarget: true})
		return lines.FilterMessage("The retry budget no longer limits the calls to a service.").Len() == 1
	}, 3*time.Second, 10*time.Millisecond)
}

// Guards against waits that do not depend on the cause and the age of a shortage.
func TestRetryAfterDependsOnCauseAndAge(t *testing.T) {
	l := limitsWith(true)
	o := deepCall(500)
	require.Equal(t, 200*time.Millisecond, l.retryAfter(o, outcome.Overloaded, 200*time.Millisecond), "the age is not known")
	require.Equal(t, 4*time.Second, l.observeShortage(o, 100, 4000).Round(time.Second))
	for range 20 {
		wait := l.retryAfter(o, outcome.DoomedDownstream, 200*time.Millisecond)
		require.InDelta(t, 4, wait.Seconds(), 2.1)
	}
	require.Zero(t, l.retryAfter(o, outcome.NoTarget, 0), "the cause is no shortage")
	require.LessOrEqual(t, l.observeShortage(o, 100, 1<<63), time.Hour+time.Second, "the age comes from another process")
}

// Guards against results of targets that do not reach the limiter of their service. The
// target beside this node refuses everything, and the wait that a client is told follows
// from how long it has done so.
func TestRefusalsOfTargetsAreMeasured(t *testing.T) {
	address := scriptedTarget(t, func(conn net.Conn, request *http.Request, _ int) bool {
		fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", request.Header.Get("Id"))
		return true
	})
	gate := newGateTask(address, "deep", func(string) int { return 0 }, zap.NewNop(), func(gateView) {})
	go gate.run(t.Context())
	gate.restore(targetstate.Announcement{}, false)
	require.NoError(t, gate.announce(targetstate.Announcement{TargetID: "i", Address: address, Service: "deep", Slots: 8, Sequence: 1, Phase: targetstate.Ready}))
	start, events, memoryBudget, l := time.Now(), newEventLog(zap.NewNop()), responseBudget(1<<20), limitsWith(true)
	downstream := threshold.NewDownstream(start)
	router := route.New(route.Config{Self: 1, Start: start, Policy: route.NearestCapacity})
	router.Update(start, "deep", []route.Target{{Incarnation: 1, Address: "self", Slots: 8, ReadsHeaderLines: true}})
	d := &dispatcher{
		router: router, self: func() string { return "self" }, downstream: downstream, budgets: l.budgets, limits: l, events: events, placing: placing{config: newConfiguration(nil, start, zap.NewNop())}, versionReported: func(string, uint64) {},
		local: &receiver{
			gate: gate, targets: newTargetClient(testCodec{}, memoryBudget), operations: threshold.NewOperations(downstream), numbering: newOperationNumbers(), graph: callgraph.New(),
			address: func() string { return address }, config: newConfiguration(nil, start, zap.NewNop()), events: events, budget: memoryBudget, limits: l,
		},
	}
	var o *outgoing
	refusedFor := func() time.Duration {
		o = deepCall(500)
		o.parent, o.deadline, o.responseMemory = nil, o.started.Add(time.Second), memoryBudget.Open(memory.Responses)
		o.message.Method, o.message.Target, o.message.Host, o.message.AttemptId = []byte(http.MethodGet), []byte("/"), []byte("h"), []byte("a")
		response := d.dispatch(t.Context(), o)
		require.Equal(t, outcome.TargetRefused, outcome.Reason(response.GetReason()))
		return l.get("deep").State(time.Now()).RefusedFor
	}
	require.Eventually(t, func() bool { return refusedFor() > 700*time.Millisecond }, 5*time.Second, 10*time.Millisecond)
	require.Greater(t, l.sample()[0].RefusalShare, 0.9)
	require.Greater(t, l.retryAfter(o, outcome.TargetRefused, 0), 350*time.Millisecond)
}

// waitCodec records the wait of a refusal.
type waitCodec struct {
	testCodec
	wait *time.Duration
}

func (c waitCodec) RefusalHeader(wait time.Duration) (name, value string) {
	*c.wait = wait
	return "Retry-After", "1"
}

// Guards against refusals whose own wait, as that of a quota, is replaced.
func TestRefusalKeepsItsRetryAfter(t *testing.T) {
	refused := outcome.New(outcome.NotRun, outcome.QuotaUnknown, "no owner")
	refused.RetryAfter = 730 * time.Millisecond
	var wait time.Duration
	(&entry{wire: waitCodec{wait: &wait}}).writeFailure(&httpserver.Response{}, refused, 0)
	require.Equal(t, refused.RetryAfter, wait)
}

// Guards against a request that runs although a call of it would be refused, and against
// a request of a client that is sent to one node after another for it. Trials pass.
func TestDoomedRequestIsRefusedOnArrival(t *testing.T) {
	l := limitsWith(true)
	operations := threshold.NewOperations(threshold.NewDownstream(time.Now()))
	operations.LimitCalls(arrivalLimits{l})
	for range 8 {
		run := operations.Start("caller", 400)
		run.CallStarted(threshold.Dependency{Service: "deep", Operation: "op"})
		run.Finish(time.Now(), false)
	}
	r := &receiver{operations: operations}
	request := &pb.ForwardRequest{Route: "caller", Level: 390}
	require.True(t, r.doomed(request))
	request.Level = 1 << 16
	require.True(t, r.doomed(request), "a level beyond all others is the least important one")
	request.Level, request.CompletedCalls = 390, 1
	require.False(t, r.doomed(request), "the boost for completed calls applies")
	request.CompletedCalls, request.Trial = 0, true
	require.False(t, r.doomed(request))

	o := deepCall(390)
	o.deadline = o.started.Add(time.Minute)
	d := &dispatcher{limits: l}
	require.True(t, d.shouldRetry(t.Context(), o, notRun(outcome.DoomedDownstream, 0), 0, 1, l.budgets.get("deep")), "another node may have more of its budget left")
	o.parent = nil
	require.False(t, d.shouldRetry(t.Context(), o, notRun(outcome.DoomedDownstream, 0), 0, 1, l.budgets.get("deep")))
	require.True(t, d.shouldRetry(t.Context(), o, notRun(outcome.Overloaded, 0), 0, 1, l.budgets.get("deep")))
}

// arrivalLimits are limits at a fixed level.
type arrivalLimits struct{ *retryLimits }

// Limit implements threshold.CallLimits.
func (arrivalLimits) Limit(time.Time, threshold.Dependency) outcome.Level { return 389 }
