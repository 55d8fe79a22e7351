package node_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"google.golang.org/protobuf/proto"

	"github.com/primrosemount/primrosemount/internal/fleet"
	"github.com/primrosemount/primrosemount/internal/standin/logservice"
	"github.com/primrosemount/primrosemount/internal/standin/target"
	"github.com/primrosemount/primrosemount/node"
	"github.com/primrosemount/primrosemount/node/control"
	"github.com/primrosemount/primrosemount/wire"
)

const testTime = 20 * time.Second

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTime)
	t.Cleanup(cancel)
	return ctx
}

// keysOf requests idempotency keys of the service orders at an entry node.
func keysOf(t *testing.T, address string, count int) []string {
	got := post(t, address, fmt.Sprintf("/v1/services/orders/keys?count=%d", count), "", nil)
	require.Equal(t, http.StatusOK, got.status, string(got.body))
	var decoded struct {
		Keys []string `json:"keys"`
	}
	require.NoError(t, json.Unmarshal(got.body, &decoded))
	return decoded.Keys
}

func withKey(key string) map[string]string { return map[string]string{wire.IdempotencyKeyHeader: key} }

// Guards against idempotency keys whose outcome is lost when their executor
// drains, and against a second execution by the successor.
func TestDrainHandsOverKeys(t *testing.T) {
	running := startFleet(t, twoTiers(time.Millisecond))
	orders := running.InstancesOf("orders")
	entryNode := running.InstancesOf("ledger")[0].Node.CallersAddress()
	keys := keysOf(t, entryNode, 20)
	responses := make(map[string][]byte)
	for n, key := range keys[:10] {
		got := post(t, entryNode, "/v1/services/orders/book", fmt.Sprintf("order-%d", n), withKey(key))
		require.Equal(t, http.StatusOK, got.status, string(got.body))
		responses[key] = got.body
	}

	require.NoError(t, running.Retire(testContext(t), orders[0]))

	for n, key := range keys[:10] {
		again := post(t, entryNode, "/v1/services/orders/book", fmt.Sprintf("order-%d", n), withKey(key))
		require.Equal(t, http.StatusOK, again.status, string(again.body))
		require.Equal(t, responses[key], again.body)
		require.Equal(t, 1, running.Ledger.Begun(target.Execution{Service: "orders", Operation: "book", ID: fmt.Sprintf("order-%d", n)}))
	}
	for n, key := range keys[10:] {
		id := fmt.Sprintf("late-%d", n)
		late := post(t, entryNode, "/v1/services/orders/book", id, withKey(key))
		execution := target.Execution{Service: "orders", Operation: "book", ID: id}
		if late.status == http.StatusOK {
			require.Equal(t, 1, running.Ledger.Begun(execution))
			continue
		}
		require.Equal(t, "not_run", late.problem.Outcome, string(late.body))
		require.Zero(t, running.Ledger.Begun(execution))
		require.NotEmpty(t, late.header.Get(wire.NextKeyHeader))
	}
}

// Guards against calls, drains or refusals of changes that do not work while the
// log is down.
func TestLogOutage(t *testing.T) {
	running := startFleet(t, twoTiers(time.Millisecond))
	ledgerNode := running.InstancesOf("ledger")[0].Node
	running.Log.SetFaults(logservice.Faults{Down: true})

	changed := proto.CloneOf(twoTiers(0)[0].Entry)
	changed.Limits.QueuePerTarget = 9
	ctx, cancel := context.WithTimeout(testContext(t), 5*time.Second)
	defer cancel()
	err := running.Apply(ctx, ledgerNode, changed, ledgerNode.Revision("orders"))
	require.ErrorIs(t, err, control.ErrLogDown)

	require.NoError(t, running.Retire(testContext(t), running.InstancesOf("orders")[0]))
	for n := range 20 {
		got := post(t, ledgerNode.CallersAddress(), "/v1/services/orders/book", fmt.Sprintf("o%d", n), nil)
		require.Equal(t, http.StatusOK, got.status, string(got.body))
	}

	running.Log.SetFaults(logservice.Faults{})
	require.Eventually(t, func() bool {
		return running.Apply(testContext(t), ledgerNode, changed, ledgerNode.Revision("orders")) == nil
	}, 5*time.Second, 50*time.Millisecond)
}

// Guards against a node that starts during an outage of the log and cannot
// serve calls although its peers have the catalogue.
func TestNodeStartsWhileLogIsDown(t *testing.T) {
	services := twoTiers(time.Millisecond)
	running := startFleet(t, services)
	running.Log.SetFaults(logservice.Faults{Down: true})
	added, err := running.Add(&services[0], "b")
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		return post(t, added.Node.CallersAddress(), "/v1/services/orders/list", "x", nil).status == http.StatusOK
	}, 5*time.Second, 20*time.Millisecond)
}

// Guards against calls that are accepted without a catalogue when an entire
// fleet restarts during an outage of the log.
func TestFleetRestartsWhileLogIsDown(t *testing.T) {
	services := twoTiers(time.Millisecond)
	running := startFleet(t, services)
	running.Log.SetFaults(logservice.Faults{Down: true})
	for _, instance := range running.Instances() {
		running.Crash(instance)
	}
	var restarted []*fleet.Instance
	for n := range services {
		for _, zone := range services[n].Zones {
			added, err := running.Add(&services[n], zone)
			require.NoError(t, err)
			restarted = append(restarted, added)
		}
	}
	address := restarted[0].Node.CallersAddress()
	refused := post(t, address, "/v1/services/orders/list", "x", nil)
	require.Equal(t, "catalogue_unknown", refused.problem.Reason, string(refused.body))
	require.Equal(t, "not_run", refused.problem.Outcome)

	running.Log.SetFaults(logservice.Faults{})
	require.Eventually(t, func() bool {
		return post(t, address, "/v1/services/orders/book", "y", nil).status == http.StatusOK
	}, 10*time.Second, 50*time.Millisecond)
}

// Guards against a target crash after which executed requests are reported as
// not run, and against a node that does not serve calls again when its target
// has restarted.
func TestTargetCrashAndRestart(t *testing.T) {
	services := twoTiers(300 * time.Millisecond)
	services[0].Zones = []string{"a"}
	running := startFleet(t, services)
	instance := running.InstancesOf("orders")[0]
	address := running.InstancesOf("ledger")[0].Node.CallersAddress()
	const calls = 4
	results := make([]callResult, calls)
	var wait sync.WaitGroup
	for n := range calls {
		wait.Add(1)
		go func() {
			defer wait.Done()
			results[n] = post(t, address, "/v1/services/orders/book", fmt.Sprintf("c%d", n), nil)
		}()
	}
	// The load on a target that has just started is ramped up, so not all calls
	// run at once.
	require.Eventually(t, func() bool { return instance.Target.Running() > 0 }, 2*time.Second, time.Millisecond)
	instance.Target.Crash()
	wait.Wait()
	for n, got := range results {
		begun := running.Ledger.Begun(target.Execution{Service: "orders", Operation: "book", ID: fmt.Sprintf("c%d", n)})
		if begun > 0 {
			require.Equal(t, "unknown", got.problem.Outcome, string(got.body))
		}
		require.LessOrEqual(t, begun, 1)
	}
	require.NoError(t, running.StartTarget(instance))
	require.Eventually(t, func() bool {
		return post(t, address, "/v1/services/orders/book", "after", nil).status == http.StatusOK
	}, 10*time.Second, 50*time.Millisecond)
}

// Guards against a target that continues to process an idempotent request after
// its caller has disconnected.
func TestDisconnectedCallerCancelsIdempotentWork(t *testing.T) {
	running := startFleet(t, twoTiers(2*time.Second))
	address := running.InstancesOf("ledger")[0].Node.CallersAddress()
	ctx, cancel := context.WithCancel(context.Background())
	request := newRequest(ctx, t, address, "/v1/services/orders/list", "gone", nil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			response.Body.Close()
		}
	}()
	runningCalls := func() int {
		total := 0
		for _, instance := range running.InstancesOf("orders") {
			total += instance.Target.Running()
		}
		return total
	}
	require.Eventually(t, func() bool { return runningCalls() == 1 }, 2*time.Second, time.Millisecond)
	cancel()
	<-done
	require.Eventually(t, func() bool { return runningCalls() == 0 }, 500*time.Millisecond, time.Millisecond)
}

// Guards against a catalogue change that takes longer than the goal of 3 s
// until all of some dozens of nodes have applied it, and against a change that
// is reverted.
func TestChangesReachEveryNode(t *testing.T) {
	services := twoTiers(time.Millisecond)
	services[0].Zones = slices.Repeat([]string{"a", "b", "c"}, 8)
	services[1].Zones = []string{"a", "b"}
	running := startFleet(t, services)
	const changes = 20
	maxDuration := 3 * time.Second
	var elapsed []time.Duration
	ledgerNode := running.InstancesOf("ledger")[0].Node
	for n := range changes {
		changed := proto.CloneOf(services[0].Entry)
		changed.Limits.QueuePerTarget = uint32(10 + n)
		start := time.Now()
		require.NoError(t, running.Apply(testContext(t), ledgerNode, changed, ledgerNode.Revision("orders")))
		revision := ledgerNode.Revision("orders")
		for _, instance := range running.Instances() {
			require.Eventually(t, func() bool { return instance.Node.Revision("orders") >= revision }, maxDuration, time.Millisecond)
		}
		elapsed = append(elapsed, time.Since(start))
	}
	slices.Sort(elapsed)
	t.Logf("%d nodes, %d changes: p50 %s, highest %s", len(running.Instances()), changes, elapsed[changes/2], elapsed[changes-1])
	require.Less(t, elapsed[changes-1], maxDuration)
}

// Guards against a drain that reaches its time limit and does not log the
// requests it aborts.
func TestIncompleteDrainLogsAbortedRequests(t *testing.T) {
	core, logs := observer.New(zap.WarnLevel)
	running, err := fleet.Start(testContext(t), fleet.Config{Services: twoTiers(5 * time.Second), Logger: zap.New(core)})
	require.NoError(t, err)
	t.Cleanup(running.Close)
	address := running.InstancesOf("ledger")[0].Node.CallersAddress()
	done := make(chan callResult, 1)
	go func() { done <- post(t, address, "/v1/services/orders/note", "slow", nil) }()
	var busy *fleet.Instance
	require.Eventually(t, func() bool {
		for _, instance := range running.InstancesOf("orders") {
			if instance.Target.Running() > 0 {
				busy = instance
			}
		}
		return busy != nil
	}, 2*time.Second, time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, busy.Node.Shutdown(ctx), node.ErrDrainIncomplete)
	got := <-done
	require.Equal(t, "unknown", got.problem.Outcome, string(got.body))
	named := logs.FilterMessage("node: the drain aborts a request").All()
	require.Len(t, named, 1)
	require.Equal(t, got.header.Get(wire.RootHeader), named[0].ContextMap()["request_id"])
}

// Guards against a drain by draining_vms that the other nodes apply and the
// draining node itself does not, and against a VM that does not receive work
// again when the drain is revoked.
func TestDrainByCatalogue(t *testing.T) {
	running := startFleet(t, twoTiers(time.Millisecond))
	ledgerNode := running.InstancesOf("ledger")[0].Node
	draining := running.InstancesOf("orders")[0]
	key := keysOf(t, ledgerNode.CallersAddress(), 1)[0]
	booked := post(t, ledgerNode.CallersAddress(), "/v1/services/orders/book", "before", withKey(key))
	require.Equal(t, http.StatusOK, booked.status, string(booked.body))

	changed := proto.CloneOf(twoTiers(0)[0].Entry)
	changed.DrainingVms = []string{draining.VM}
	require.NoError(t, running.Apply(testContext(t), ledgerNode, changed, ledgerNode.Revision("orders")))
	members := ledgerNode.Status().Members
	require.Eventually(t, func() bool { return ledgerNode.Status().Members == members-1 }, 10*time.Second, 10*time.Millisecond)
	received := draining.Target.Received()
	for n := range 20 {
		got := post(t, ledgerNode.CallersAddress(), "/v1/services/orders/book", fmt.Sprintf("during-%d", n), nil)
		require.Equal(t, http.StatusOK, got.status, string(got.body))
	}
	require.Equal(t, received, draining.Target.Received(), "a drained VM received new work")
	again := post(t, ledgerNode.CallersAddress(), "/v1/services/orders/book", "before", withKey(key))
	require.Equal(t, booked.body, again.body)

	changed.DrainingVms = nil
	require.NoError(t, running.Apply(testContext(t), ledgerNode, changed, ledgerNode.Revision("orders")))
	require.Eventually(t, func() bool { return ledgerNode.Status().Members == members }, 10*time.Second, 10*time.Millisecond)
}
