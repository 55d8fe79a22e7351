package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/core/retry"
	"github.com/primrosemount/primrosemount/core/route"
	"github.com/primrosemount/primrosemount/core/threshold"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/transport"
)

const (
	selfIncarnation = 99
	allowedRetries  = 5
)

// reply returns the fake node's response to one attempt.
type reply func(request *pb.CallRequest) (*pb.CallResponse, error)

// fakeRemote responds to attempts with its replies in order; the last one
// repeats.
type fakeRemote struct {
	replies  []reply
	requests []*pb.CallRequest
}

func (f *fakeRemote) Call(_ context.Context, _ string, request *pb.CallRequest) (*pb.CallResponse, error) {
	next := f.replies[min(len(f.requests), len(f.replies)-1)]
	f.requests = append(f.requests, request)
	return next(request)
}

// Serve implements Local. The tests have no target beside the node.
func (f *fakeRemote) Serve(context.Context, *pb.CallRequest, *pb.CallResponse) {
	panic("a call was served locally")
}

func responseLost(*pb.CallRequest) (*pb.CallResponse, error) {
	return nil, &transport.Error{Kind: transport.ErrResponseLost, Cause: errors.New("cut")}
}

func notSent(*pb.CallRequest) (*pb.CallResponse, error) {
	return nil, &transport.Error{Kind: transport.ErrNotSent, Cause: errors.New("refused")}
}

// respond returns a reply with a gate report, as the executor itself sends it.
func respond(o outcome.Outcome, reason outcome.Reason) reply {
	return func(request *pb.CallRequest) (*pb.CallResponse, error) {
		return &pb.CallResponse{
			Outcome:          o.Proto(),
			Reason:           reason.Proto(),
			Status:           200,
			UnspentAllowance: request.GetContext().GetRetryAllowance(),
			Gate:             &pb.GateReport{Incarnation: request.GetExecutor()},
		}, nil
	}
}

func call(replies []reply, idempotent bool, key string) (Result, *fakeRemote) {
	start := time.Now()
	remote := &fakeRemote{replies: replies}
	router := route.New(route.Config{Self: selfIncarnation, Zone: "a", Region: "r", Start: start})
	router.Update(start, "orders", []route.Target{
		{Incarnation: 1, VM: "one", Zone: "a", Region: "r", Address: "one", Slots: 4},
		{Incarnation: 2, VM: "two", Zone: "a", Region: "r", Address: "two", Slots: 4},
	})
	dispatcher := New(Config{
		Self:          func() uint64 { return selfIncarnation },
		Router:        router,
		Downstream:    threshold.NewDownstream(start),
		Local:         remote,
		Remote:        remote,
		Successor:     func(uint64) (uint64, bool) { return 0, false },
		OnUnreachable: func(uint64) {},
		Observe:       func(Attempt) {},
	})
	if key == "issue" {
		key, _ = dispatcher.IssueKey("orders")
	}
	result := dispatcher.Do(context.Background(), &Request{
		Context:    &pb.RequestContext{RootId: make([]byte, outcome.RootIDBytes), Class: pb.Class_CLASS_CRITICAL},
		Service:    "orders",
		Operation:  "book",
		Key:        key,
		Deadline:   time.Now().Add(2 * time.Second),
		Idempotent: idempotent,
		Allowance:  retry.NewAllowance(allowedRetries),
	})
	return result, remote
}

// Guards against reporting "not run" although an earlier attempt may have run,
// and against issuing a second key while the outcome of the first one is
// unknown.
func TestOutcomeOfSeveralAttempts(t *testing.T) {
	refused := respond(outcome.NotRun, outcome.Overloaded)
	completed := respond(outcome.Completed, 0)
	for _, test := range []struct {
		name       string
		replies    []reply
		idempotent bool
		key        string
		want       outcome.Outcome
		// keys is the number of distinct keys that the attempts carried.
		keys int
	}{
		{"idempotent: lost, then refused", []reply{responseLost, refused}, true, "", outcome.Unknown, 0},
		{"idempotent: lost, then not sent", []reply{responseLost, notSent}, true, "", outcome.Unknown, 0},
		{"idempotent: refused only", []reply{refused}, true, "", outcome.NotRun, 0},
		{"idempotent: lost, then completed", []reply{responseLost, completed}, true, "", outcome.Completed, 0},
		{"issued key: refused, then completed", []reply{refused, completed}, false, "", outcome.Completed, 2},
		{"issued key: not sent, then completed", []reply{notSent, completed}, false, "", outcome.Completed, 2},
		{"issued key: lost, then not sent", []reply{responseLost, notSent}, false, "", outcome.Unknown, 1},
		{"issued key: lost, then completed", []reply{responseLost, completed}, false, "", outcome.Completed, 1},
		{"issued key: lost, then another incarnation", []reply{responseLost, respond(outcome.Unknown, outcome.ExecutorGone)}, false, "", outcome.Unknown, 1},
		{"caller's key: not sent", []reply{notSent}, false, "issue", outcome.Unknown, 1},
		{"caller's key: refused by the executor", []reply{refused}, false, "issue", outcome.NotRun, 1},
		{"caller's key: lost, then refused by the executor", []reply{responseLost, refused}, false, "issue", outcome.NotRun, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			result, remote := call(test.replies, test.idempotent, test.key)
			require.Equal(t, test.want, outcome.FromProto(result.Response.GetOutcome()))
			require.LessOrEqual(t, len(remote.requests), 1+allowedRetries)
			keys := make(map[string]bool)
			for _, request := range remote.requests {
				if request.GetKey() != "" {
					keys[request.GetKey()] = true
				}
			}
			require.Len(t, keys, test.keys)
		})
	}
}

// Guards against shedding calls of a root request with completed calls, whose
// work would be wasted, before the first calls of other root requests.
func TestCompletedCallsBoostPriority(t *testing.T) {
	root := make([]byte, outcome.RootIDBytes)
	root[outcome.RootIDBytes-1] = 100
	request := &Request{Context: &pb.RequestContext{RootId: root, Cohort: outcome.CohortOf(root), Class: pb.Class_CLASS_NORMAL}}
	require.Equal(t, outcome.LevelOf(outcome.Normal, 100), request.effectiveLevel())
	request.Context.CompletedCalls = 2
	require.Equal(t, outcome.LevelOf(outcome.Normal, 100).Boosted(2*threshold.BoostPerCall), request.effectiveLevel())
	request.Context.CompletedCalls = 1 << 20
	require.Equal(t, outcome.LevelOf(outcome.Normal, 0), request.effectiveLevel(), "the boost must not move a call into a higher class")
}

// Guards against a response of another node, which may run an earlier version, whose
// status would reach the caller although HTTP does not define it.
func TestInvalidStatusFromNodeIsBrokenResponse(t *testing.T) {
	for _, status := range []uint32{0, 99, 100, 101, 600, 999} {
		invalid := func(request *pb.CallRequest) (*pb.CallResponse, error) {
			response, err := respond(outcome.Completed, 0)(request)
			response.Status, response.Body = status, []byte("forged")
			return response, err
		}
		result, remote := call([]reply{invalid, respond(outcome.Completed, 0)}, true, "")
		require.Equal(t, uint32(200), result.Response.GetStatus(), "an idempotent call is sent again")
		require.Len(t, remote.requests, 2)
		result, _ = call([]reply{invalid}, false, "")
		require.Equal(t, outcome.Unknown.Proto(), result.Response.GetOutcome(), status)
		require.Equal(t, outcome.AnswerTruncated.Proto(), result.Response.GetReason())
		require.Empty(t, result.Response.GetBody())
	}
}

// Guards against passing on the response of a node that runs an earlier version, which has
// not checked the head of its target, with a body that may have another framing than the
// target meant.
func TestMalformedHeadersFromNodeAreBrokenResponse(t *testing.T) {
	for _, name := range []string{"Bad name", "Content-Length ", "Tab\t", "Bad\x01name", ""} {
		malformed := func(request *pb.CallRequest) (*pb.CallResponse, error) {
			response, err := respond(outcome.Completed, 0)(request)
			response.Headers = []*pb.Header{{Name: "Note", Value: "1"}, {Name: name, Value: "1"}}
			return response, err
		}
		result, _ := call([]reply{malformed}, false, "")
		require.Equal(t, outcome.Unknown.Proto(), result.Response.GetOutcome(), "%q", name)
		require.Equal(t, outcome.AnswerTruncated.Proto(), result.Response.GetReason())
		require.Empty(t, result.Response.GetHeaders())
	}
}

// Guards against taking the omitted response of a completed call, which has no status,
// for a broken one.
func TestOmittedResponseOfNodeIsComplete(t *testing.T) {
	omitted := func(request *pb.CallRequest) (*pb.CallResponse, error) {
		response, err := respond(outcome.Completed, 0)(request)
		response.Status, response.BodyOmitted = 0, true
		return response, err
	}
	result, remote := call([]reply{omitted}, true, "")
	require.Equal(t, outcome.Completed.Proto(), result.Response.GetOutcome())
	require.True(t, result.Response.GetBodyOmitted())
	require.Len(t, remote.requests, 1)
}
