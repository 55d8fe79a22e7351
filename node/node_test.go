package node_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/internal/fleet"
	"github.com/primrosemount/primrosemount/internal/standin/target"
	"github.com/primrosemount/primrosemount/wire"
)

func entry(service string, callers []string, operations ...*pb.Operation) *pb.Entry {
	return &pb.Entry{
		Service:        service,
		Owner:          fleet.Operator,
		Class:          pb.Class_CLASS_NORMAL,
		Operations:     operations,
		AllowedCallers: callers,
		Deadline:       durationpb.New(2 * time.Second),
		Limits:         &pb.Limits{Drain: durationpb.New(10 * time.Second)},
		Retry:          &pb.RetryPolicy{Allowance: 3, EdgeRatio: 0.1},
	}
}

// twoTiers returns the services orders, which calls ledger, and ledger, in which
// each operation takes the given time.
func twoTiers(work time.Duration) []fleet.Service {
	return []fleet.Service{
		{
			Entry: entry("orders", []string{"*"},
				&pb.Operation{Name: "book", Class: pb.Class_CLASS_CRITICAL},
				&pb.Operation{Name: "note", Class: pb.Class_CLASS_CRITICAL},
				&pb.Operation{Name: "list", Class: pb.Class_CLASS_SHEDDABLE, Idempotent: true}),
			Zones: []string{"a", "b"},
			Slots: 8,
			Operations: []target.Operation{
				{Name: "book", Work: work, Calls: []target.Downstream{{Service: "ledger", Operation: "debit"}}},
				{Name: "note", Work: work, FillerBytes: 200},
				{Name: "list", Work: work, FillerBytes: 200},
			},
		},
		{
			Entry:      entry("ledger", []string{"orders"}, &pb.Operation{Name: "debit", Class: pb.Class_CLASS_CRITICAL}),
			Zones:      []string{"a", "b"},
			Slots:      8,
			Operations: []target.Operation{{Name: "debit", Work: work}},
		},
	}
}

func startFleet(t testing.TB, services []fleet.Service) *fleet.Fleet {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	running, err := fleet.Start(ctx, fleet.Config{Services: services, Seed: 1, Logger: zap.NewNop()})
	require.NoError(t, err)
	t.Cleanup(running.Close)
	return running
}

type callResult struct {
	status  int
	header  http.Header
	body    []byte
	problem wire.Problem
}

func newRequest(ctx context.Context, t *testing.T, address, path, id string, header map[string]string) *http.Request {
	body, err := json.Marshal(target.Request{ID: id})
	require.NoError(t, err)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	require.NoError(t, err)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	return request
}

func post(t *testing.T, address, path, id string, header map[string]string) callResult {
	request := newRequest(context.Background(), t, address, path, id, header)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	result := callResult{status: response.StatusCode, header: response.Header, body: data}
	if response.Header.Get("Content-Type") == wire.ProblemType {
		require.NoError(t, json.Unmarshal(data, &result.problem))
	}
	return result
}

// Guards against a break in the path of a call: entry node, routing, gate,
// target, nested call, and the complete response back to the caller.
func TestCallThroughTwoTiers(t *testing.T) {
	running := startFleet(t, twoTiers(time.Millisecond))
	entryNode := running.InstancesOf("orders")[0].Node
	got := post(t, entryNode.CallersAddress(), "/v1/services/orders/book", "o1", nil)
	require.Equal(t, http.StatusOK, got.status, string(got.body))
	var decoded target.Response
	require.NoError(t, json.Unmarshal(got.body, &decoded))
	require.Equal(t, "o1", decoded.ID)
	require.Equal(t, 1, running.Ledger.Done(target.Execution{Service: "ledger", Operation: "debit", ID: "o1"}))

	key := got.header.Get(wire.IdempotencyKeyHeader)
	require.NotEmpty(t, key)
	other := running.InstancesOf("ledger")[0].Node
	again := post(t, other.CallersAddress(), "/v1/services/orders/book", "o1", map[string]string{wire.IdempotencyKeyHeader: key})
	require.Equal(t, http.StatusOK, again.status, string(again.body))
	require.Equal(t, "true", again.header.Get(wire.ReplayedHeader))
	require.Equal(t, got.body, again.body)
	require.Equal(t, 1, running.Ledger.Begun(target.Execution{Service: "orders", Operation: "book", ID: "o1"}))
}

// Guards against invalid input that causes a panic, is accepted, or is answered
// without outcome, reason and remedy.
func TestBadInputReturnsTypedProblem(t *testing.T) {
	running := startFleet(t, twoTiers(time.Millisecond))
	address := running.InstancesOf("orders")[0].Node.CallersAddress()
	for _, test := range []struct {
		name   string
		path   string
		header map[string]string
		status int
		reason string
	}{
		{"unknown service", "/v1/services/nothing/book", nil, 404, "unknown_service"},
		{"unknown operation", "/v1/services/orders/nothing", nil, 404, "unknown_operation"},
		{"internal service", "/v1/services/ledger/debit", nil, 403, "not_allowed"},
		{"bad deadline", "/v1/services/orders/list", map[string]string{wire.DeadlineHeader: "soon"}, 400, "bad_request"},
		{"bad attempt", "/v1/services/orders/list", map[string]string{wire.AttemptHeader: "-1"}, 400, "bad_request"},
		{"bad root", "/v1/services/orders/list", map[string]string{wire.RootHeader: "zz"}, 400, "bad_request"},
		{"foreign key", "/v1/services/orders/book", map[string]string{wire.IdempotencyKeyHeader: "my-own-key"}, 400, "key_malformed"},
		{"no such path", "/v2/other", nil, 400, "bad_request"},
		{"too many keys", "/v1/services/orders/keys?count=1000", nil, 400, "bad_request"},
		{"too many attempts", "/v1/services/orders/list", map[string]string{
			wire.AttemptHeader: "9", wire.RootHeader: "00112233445566778899aabbccddeeff",
		}, 429, "retry_bound"},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := post(t, address, test.path, "x", test.header)
			require.Equal(t, test.status, got.status, string(got.body))
			require.Equal(t, test.reason, got.problem.Reason)
			require.Equal(t, "not_run", got.problem.Outcome)
			require.NotEmpty(t, got.problem.Remedy)
		})
	}
	require.Zero(t, running.Ledger.Total("orders"))
	require.Zero(t, running.Ledger.Total("ledger"))
}

// Guards against a rejection at the entry node that reports an operation as not
// run although an earlier request with the same key has run it.
func TestEntryRejectionDoesNotContradictKey(t *testing.T) {
	running := startFleet(t, twoTiers(time.Millisecond))
	entryNode := running.InstancesOf("orders")[0].Node
	got := post(t, entryNode.CallersAddress(), "/v1/services/orders/book", "o1", nil)
	require.Equal(t, http.StatusOK, got.status, string(got.body))

	key := got.header.Get(wire.IdempotencyKeyHeader)
	other := running.InstancesOf("ledger")[1].Node
	beyond := map[string]string{wire.IdempotencyKeyHeader: key, wire.AttemptHeader: "9"}
	again := post(t, other.CallersAddress(), "/v1/services/orders/book", "o1", beyond)
	require.Equal(t, http.StatusOK, again.status, "the stored response must be returned beyond the retry bound too: %s", again.body)
	require.Equal(t, got.body, again.body)

	bad := map[string]string{wire.IdempotencyKeyHeader: key, wire.DeadlineHeader: "soon"}
	refused := post(t, other.CallersAddress(), "/v1/services/orders/book", "o1", bad)
	require.Equal(t, "bad_request", refused.problem.Reason)
	require.Equal(t, "unknown", refused.problem.Outcome)
}
