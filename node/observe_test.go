package node_test

import (
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/primrosemount/primrosemount/core/burn"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/internal/fleet"
	"github.com/primrosemount/primrosemount/internal/standin/logservice"
	"github.com/primrosemount/primrosemount/internal/standin/target"
	"github.com/primrosemount/primrosemount/node"
	"github.com/primrosemount/primrosemount/operator"
	"github.com/primrosemount/primrosemount/wire"
)

// sampledRoot is a root ID that is sampled: all nodes keep its completed calls
// in the journal.
const sampledRoot = "00000000000000000000000000000007"

func operatorClient(t *testing.T, n *node.Node) *operator.Client {
	client, err := operator.NewClient("http://"+n.OperatorsAddress(), nil, testTime)
	require.NoError(t, err)
	t.Cleanup(client.Close)
	return client
}

func explain(t *testing.T, n *node.Node, request *pb.ExplainRequest) *pb.ExplainReport {
	request.MaxEntries = 100
	report, err := operatorClient(t, n).Explain(testContext(t), request)
	require.NoError(t, err)
	return report
}

func explainRoot(t *testing.T, n *node.Node, root string) *pb.ExplainReport {
	id, err := hex.DecodeString(root)
	require.NoError(t, err)
	return explain(t, n, &pb.ExplainRequest{RootId: id})
}

// scrape returns the lines of the metrics page that have the prefix.
func scrape(t *testing.T, n *node.Node, prefix string) []string {
	response, err := http.Get("http://" + n.OperatorsAddress() + operator.PathMetrics)
	require.NoError(t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	var found []string
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, prefix) {
			found = append(found, strings.TrimSpace(line))
		}
	}
	return found
}

// burnOf returns the good and bad requests per service in the longest window.
func burnOf(t *testing.T, n *node.Node) map[string][2]uint64 {
	report, err := operatorClient(t, n).Burn(testContext(t))
	require.NoError(t, err)
	counts := make(map[string][2]uint64)
	for _, c := range report.GetCounters() {
		if c.GetWindowSeconds() != int64(burn.LongWindow.Seconds()) {
			continue
		}
		sum := counts[c.GetService()]
		counts[c.GetService()] = [2]uint64{sum[0] + c.GetGood(), sum[1] + c.GetBad()}
	}
	return counts
}

// Guards against rejections at the entry node that are missing in metrics or
// journal, are counted twice, create metric labels from names that a caller
// chose, or count against the objective of a service although the caller is at
// fault.
func TestEntryRejectionsAreObservedOnce(t *testing.T) {
	services := twoTiers(300 * time.Millisecond)
	services[0].Entry.Limits.InProgressPerCaller = 1
	services[0].Entry.Limits.RequestBytes = 1024
	running := startFleet(t, services)
	entryNode := running.InstancesOf("orders")[0].Node
	address := entryNode.CallersAddress()
	const list = "/v1/services/orders/list"
	for _, test := range []struct {
		path   string
		id     string
		header map[string]string
	}{
		{"/v1/services/nothing-1/book", "x", nil},
		{"/v1/services/nothing-2/book", "x", nil},
		{"/v1/services/orders/nothing", "x", nil},
		{"/v1/services/ledger/debit", "x", nil},
		{list, "x", map[string]string{wire.DeadlineHeader: "soon"}},
		{list, strings.Repeat("x", 2000), nil},
		{list, "x", map[string]string{wire.AttemptHeader: "9", wire.RootHeader: sampledRoot}},
	} {
		got := post(t, address, test.path, test.id, test.header)
		require.NotEmpty(t, got.problem.Reason, string(got.body))
		report := explainRoot(t, entryNode, got.problem.RequestID)
		require.Equal(t, []string{"entry answered the caller " + got.problem.Reason}, eventsOf(report), "request %s", got.problem.RequestID)
	}
	limited := callWhileBusy(t, running, address, list)
	require.Equal(t, "caller_limit", limited.problem.Reason)

	metrics := strings.Join(scrape(t, entryNode, "primrosemount_requests_total"), "\n")
	for _, want := range []string{
		`{class="normal",outcome="not_run",reason="unknown_service",service="(unknown)"} 2`,
		`{class="normal",outcome="not_run",reason="unknown_operation",service="orders"} 1`,
		`{class="critical",outcome="not_run",reason="not_allowed",service="ledger"} 1`,
		`{class="sheddable",outcome="not_run",reason="bad_request",service="orders"} 1`,
		`{class="sheddable",outcome="not_run",reason="too_large",service="orders"} 1`,
		`{class="sheddable",outcome="not_run",reason="retry_bound",service="orders"} 1`,
		`{class="sheddable",outcome="not_run",reason="caller_limit",service="orders"} 1`,
		`{class="sheddable",outcome="completed",reason="none",service="orders"} 1`,
	} {
		require.Contains(t, metrics, want)
	}
	require.Len(t, strings.Split(metrics, "\n"), 8, metrics)
	require.Equal(t, map[string][2]uint64{"orders": {1, 0}}, burnOf(t, entryNode))
}

// callWhileBusy makes a call while another call of the same caller is in
// progress.
func callWhileBusy(t *testing.T, running *fleet.Fleet, address, path string) callResult {
	done := make(chan callResult, 1)
	go func() { done <- post(t, address, path, "first", nil) }()
	require.Eventually(t, func() bool { return runningCalls(running, "orders") == 1 }, 2*time.Second, time.Millisecond)
	second := post(t, address, path, "second", nil)
	first := <-done
	require.Equal(t, http.StatusOK, first.status, string(first.body))
	return second
}

func runningCalls(running *fleet.Fleet, service string) int {
	total := 0
	for _, instance := range running.InstancesOf(service) {
		total += instance.Target.Running()
	}
	return total
}

// Guards against requests that a node rejects for lack of a catalogue and that
// appear in no report.
func TestRejectionWithoutCatalogueIsObserved(t *testing.T) {
	services := twoTiers(time.Millisecond)
	running := startFleet(t, services)
	running.Log.SetFaults(logservice.Faults{Down: true})
	for _, instance := range running.Instances() {
		running.Crash(instance)
	}
	added, err := running.Add(&services[0], "a")
	require.NoError(t, err)
	got := post(t, added.Node.CallersAddress(), "/v1/services/orders/list", "x", nil)
	require.Equal(t, "catalogue_unknown", got.problem.Reason)
	require.Equal(t,
		[]string{`primrosemount_requests_total{class="normal",outcome="not_run",reason="catalogue_unknown",service="(unknown)"} 1`},
		scrape(t, added.Node, "primrosemount_requests_total"))
	require.Equal(t, [2]uint64{0, 1}, burnOf(t, added.Node)["(unknown)"])
}

// eventsOf returns part, event and reason of all entries.
func eventsOf(report *pb.ExplainReport) []string {
	var events []string
	for _, response := range report.GetAnswers() {
		for _, e := range response.GetEntries() {
			reason := strings.ToLower(strings.TrimPrefix(e.GetReason().String(), "REASON_"))
			events = append(events, fmt.Sprintf("%s %s %s", e.GetPart(), e.GetEvent(), reason))
		}
	}
	return events
}

// threeTiers returns the call chain front, middle, back, in which only back
// does work.
func threeTiers(work time.Duration) []fleet.Service {
	tier := func(name string, callers []string, calls []target.Downstream, work time.Duration) fleet.Service {
		return fleet.Service{
			Entry:      entry(name, callers, &pb.Operation{Name: "run", Class: pb.Class_CLASS_CRITICAL, Idempotent: true}),
			Zones:      []string{"a", "b"},
			Slots:      8,
			Operations: []target.Operation{{Name: "run", Work: work, Calls: calls}},
		}
	}
	return []fleet.Service{
		tier("front", []string{"*"}, []target.Downstream{{Service: "middle", Operation: "run"}}, 0),
		tier("middle", []string{"front"}, []target.Downstream{{Service: "back", Operation: "run"}}, 0),
		tier("back", []string{"middle"}, nil, work),
	}
}

// Guards against an explanation that misses a part of a call chain, and against
// a count of responses that omits nodes without entries.
func TestExplainFollowsTheCallChain(t *testing.T) {
	running := startFleet(t, threeTiers(time.Millisecond))
	entryNode := running.InstancesOf("front")[0].Node
	got := post(t, entryNode.CallersAddress(), "/v1/services/front/run", "x", map[string]string{wire.RootHeader: sampledRoot})
	require.Equal(t, http.StatusOK, got.status, string(got.body))
	for _, instance := range running.Instances() {
		report := explainRoot(t, instance.Node, sampledRoot)
		gates := make(map[string]int)
		for _, response := range report.GetAnswers() {
			for _, e := range response.GetEntries() {
				if e.GetPart() == "gate" {
					gates[e.GetService()]++
				}
			}
		}
		require.Equal(t, map[string]int{"front": 1, "middle": 1, "back": 1}, gates, "queried at %s", instance.VM)
		require.Len(t, report.GetAnswers(), int(report.GetNodesAsked()), "all nodes are up, so all must respond")
	}
}

// Guards against an explanation of a rejected request that does not report
// where and why it was rejected.
func TestExplainReportsRejection(t *testing.T) {
	running := startFleet(t, threeTiers(time.Millisecond))
	for _, instance := range running.InstancesOf("back") {
		instance.Target.Crash()
	}
	entryNode := running.InstancesOf("front")[0].Node
	require.Eventually(t, func() bool {
		got := post(t, entryNode.CallersAddress(), "/v1/services/front/run", "x", map[string]string{wire.RootHeader: sampledRoot})
		return got.status != http.StatusOK
	}, 5*time.Second, 50*time.Millisecond)
	report := explainRoot(t, entryNode, sampledRoot)
	var rejections []string
	for _, response := range report.GetAnswers() {
		for _, e := range response.GetEntries() {
			if e.GetService() == "back" && e.GetOutcome() != pb.Outcome_OUTCOME_COMPLETED {
				rejections = append(rejections, e.GetReason().String())
			}
		}
	}
	require.NotEmpty(t, rejections, "%v", eventsOf(report))
	t.Logf("%v", eventsOf(report))
}

// explainTarget returns the events that all nodes have recorded about a VM.
func explainTarget(t *testing.T, n *node.Node, vm string) string {
	return strings.Join(eventsOf(explain(t, n, &pb.ExplainRequest{Target: vm})), "\n")
}

// Guards against a target that gets no requests and whose explanation does not
// report that it is draining, down or ejected.
func TestExplainReportsWhyTargetGetsNoRequests(t *testing.T) {
	services := twoTiers(time.Millisecond)
	services[0].Zones = []string{"a", "a", "a", "a"}
	running := startFleet(t, services)
	entryNode := running.InstancesOf("ledger")[0].Node
	orders := running.InstancesOf("orders")
	load := func() { post(t, entryNode.CallersAddress(), "/v1/services/orders/list", "x", nil) }
	explains := func(t *testing.T, vm, want string) {
		deadline := time.Now().Add(8 * time.Second)
		events := ""
		for time.Now().Before(deadline) && !strings.Contains(events, want) {
			load()
			events = explainTarget(t, entryNode, vm)
		}
		require.Contains(t, events, want)
	}
	t.Run("down", func(t *testing.T) {
		orders[0].Target.Crash()
		explains(t, orders[0].VM, "target_down")
	})
	t.Run("ejected", func(t *testing.T) {
		running.Crash(orders[1])
		explains(t, orders[1].VM, "ejected")
	})
	t.Run("drained by the target", func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), testTime)
		defer cancel()
		require.NoError(t, orders[2].Target.Drain(ctx))
		explains(t, orders[2].VM, "told of its drain draining")
		explains(t, orders[2].VM, "gets no work no_target")
	})
	t.Run("drained by the catalogue", func(t *testing.T) {
		changed := proto.CloneOf(services[0].Entry)
		changed.DrainingVms = []string{orders[3].VM}
		require.NoError(t, running.Apply(testContext(t), entryNode, changed, entryNode.Revision("orders")))
		explains(t, orders[3].VM, "gets no work draining")
	})
}
