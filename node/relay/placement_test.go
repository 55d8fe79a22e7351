package relay

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/primrosemount/primrosemount/core/gate"
	"github.com/primrosemount/primrosemount/core/ingress"
	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/core/route"
	"github.com/primrosemount/primrosemount/core/threshold"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/telemetry"
)

// placingConfiguration returns a configuration in force, with or without placement by cost.
func placingConfiguration(byCost bool) *configuration {
	config := newConfiguration(nil, time.Now(), zap.NewNop())
	table := ingress.NewTable(1, nil, nil, ingress.Limits{})
	table.Features.PlaceByCost = byCost
	config.table.Store(table)
	return config
}

// Guards against reports that change for configurations that do not call for placement by
// cost, and against a report without the work of a known route.
func TestWorkIsReportedIfConfigured(t *testing.T) {
	for _, byCost := range []bool{false, true} {
		now := time.Now()
		task := newGateTask("a", "s", func(string) int { return 0 }, zap.NewNop(), func(gateView) {})
		task.gate.SetDown(false)
		config := placingConfiguration(byCost)
		task.reportsWork = config.placesByCost
		r := &receiver{gate: task, config: config, numbering: newOperationNumbers(), operations: threshold.NewOperations(threshold.NewDownstream(now))}
		for id := range uint64(20) {
			require.Equal(t, gate.Start, task.gate.Offer(now, gate.Request{ID: id, Operation: r.numbering.lookup("get")}).Kind)
			now = now.Add(10 * time.Millisecond)
			task.gate.Done(now, id, gate.Sample{Latency: 10 * time.Millisecond, Downstream: 4 * time.Millisecond})
		}
		task.gate.Offer(now, gate.Request{ID: 100, Operation: r.numbering.lookup("get")})
		task.publish()
		report := r.gateReport("get")
		require.Equal(t, uint32(1), report.GetInFlight())
		if !byCost {
			require.Zero(t, task.view.Load().work, "nothing reads the sum")
			require.Zero(t, report.GetWorkLeftMicros()+uint64(report.GetSlots())+report.GetServiceTimeMicros()+uint64(report.GetSpeedPermille()))
			continue
		}
		require.Equal(t, uint64(10_000), report.GetWorkLeftMicros())
		require.Equal(t, uint32(1), report.GetSlots())
		require.Equal(t, uint64(6_000), report.GetServiceTimeMicros())
		require.Equal(t, uint32(1000), report.GetSpeedPermille())
		require.Zero(t, r.gateReport("other").GetServiceTimeMicros())
		_, numbered := r.numbering.known("other")
		require.False(t, numbered, "a report does not number a route")
	}
}

// placingDispatcher returns a dispatcher with two targets, and its log lines.
func placingDispatcher(config *configuration) (*dispatcher, *observer.ObservedLogs) {
	core, lines := observer.New(zap.InfoLevel)
	start := time.Now()
	router := route.New(route.Config{Self: 1, Zone: "a", Region: "r", Start: start, Policy: route.NearestCapacity})
	router.Update(start, "s", []route.Target{{Incarnation: 1, VM: "vm-1", Zone: "a", Region: "r", Slots: 10}, {Incarnation: 2, VM: "vm-2", Zone: "a", Region: "r", Slots: 10}})
	return &dispatcher{router: router, placing: placing{config: config, logger: zap.New(core)}}, lines
}

// Guards against a switch of the placement that needs a restart, against a log line for each
// request, and against a retry at a target that was tried before.
func TestPlacementFollowsConfiguration(t *testing.T) {
	config := placingConfiguration(false)
	d, lines := placingDispatcher(config)
	o := &outgoing{message: &pb.ForwardRequest{Service: "s"}, route: &ingress.Route{Name: "get", TargetLatency: time.Second}, deadline: time.Now().Add(time.Minute)}
	choose := func() {
		endpoint, err := d.choose(o, []uint64{1})
		require.Nil(t, err)
		require.Equal(t, "vm-2", endpoint.Target().VM)
		o.placement.Begin()
		o.placement.End(time.Now(), route.Result{Latency: time.Millisecond, Outcome: outcome.Completed}, 0)
	}
	choose()
	require.False(t, o.placement.ByWork())
	require.Zero(t, lines.Len())
	config.table.Store(placingConfiguration(true).table.Load())
	for range 100 {
		choose()
	}
	require.True(t, o.placement.ByWork())
	require.Equal(t, 1, lines.FilterMessage("A request was placed.").Len())
	require.Contains(t, lines.All()[0].ContextMap(), "work_left")
	config.table.Store(placingConfiguration(false).table.Load())
	choose()
	require.False(t, o.placement.ByWork())
}

// Guards against a report of an earlier version, in which the fields are 0, that counts as
// no work left.
func TestReportWithoutWorkIsUnknown(t *testing.T) {
	report := route.ReportFromProto(&pb.GateReport{InFlight: 9, Limit: 10})
	require.Zero(t, report.WorkLeft)
	require.Zero(t, report.Speed)
	config := placingConfiguration(true)
	d, _ := placingDispatcher(config)
	d.router.Find(1).Report(time.Now(), report)
	d.router.Find(2).Report(time.Now(), route.ReportFromProto(&pb.GateReport{InFlight: 2, Limit: 10}))
	o := &outgoing{message: &pb.ForwardRequest{Service: "s"}, route: &ingress.Route{Name: "get"}, deadline: time.Now().Add(time.Minute)}
	fuller := 0
	for range 64 {
		endpoint, err := d.choose(o, nil)
		require.Nil(t, err)
		if endpoint.Target().VM == "vm-1" {
			fuller++
		}
	}
	require.LessOrEqual(t, fuller, 2, "the reported occupancy decides, except for one request in 32 that refreshes the estimates")
}

// Guards against a page that fails for proper parameters, that accepts wrong ones, or that
// does not tell whether placement by cost is in force.
func TestPlacementPage(t *testing.T) {
	config := placingConfiguration(true)
	d, _ := placingDispatcher(config)
	page := &placementPage{router: d.router, config: config, logger: zap.NewNop()}
	get := func(query string) *httptest.ResponseRecorder {
		response := httptest.NewRecorder()
		page.ServeHTTP(response, httptest.NewRequest(http.MethodGet, telemetry.PathPlacement+query, nil))
		return response
	}
	response := get("?service=s&operation=get&bytes=100&target_latency=10ms&remaining=1s&format=json")
	require.Equal(t, http.StatusOK, response.Code)
	var candidates route.Candidates
	require.NoError(t, json.Unmarshal(response.Body.Bytes(), &candidates))
	require.True(t, candidates.InForce)
	require.Len(t, candidates.Targets, 2)
	require.Contains(t, get("?service=s").Body.String(), "vm-1")
	require.Equal(t, http.StatusNotFound, get("?service=other").Code)
	for _, query := range []string{"", "?service=s&bytes=x", "?service=s&remaining=1", "?service=s&target_latency=x"} {
		require.Equal(t, http.StatusBadRequest, get(query).Code, query)
	}
}
