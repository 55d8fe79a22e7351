package client

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/primrosemount/primrosemount/core/once"
	"github.com/primrosemount/primrosemount/core/outcome"
)

const (
	testRoot     = "000102030405060708090a0b0c0d0e0f"
	testDeadline = 5 * time.Second
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// receivedRequest is one request as a node received it.
type receivedRequest struct {
	node                                            int
	path, body                                      string
	key, attempt, root, allowance, deadline, parent string
	length                                          int64
}

// fakeNodes runs a number of HTTP servers that act as nodes. The requests are handled
// by the handlers of script in turn, and later requests get a normal response.
type fakeNodes struct {
	t       *testing.T
	mu      sync.Mutex
	script  []http.HandlerFunc
	calls   []receivedRequest
	keys    int
	fetches int
	servers []*httptest.Server
}

func newFakeNodes(t *testing.T, nodes int, script ...http.HandlerFunc) *fakeNodes {
	f := &fakeNodes{t: t, script: script}
	for i := range nodes {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.serve(i, w, r) }))
		f.servers = append(f.servers, server)
		t.Cleanup(server.Close)
	}
	return f
}

func (f *fakeNodes) client(options Options) *Client {
	for _, server := range f.servers {
		options.Nodes = append(options.Nodes, server.URL)
	}
	c, err := New(options)
	require.NoError(f.t, err)
	f.t.Cleanup(c.Close)
	return c
}

func (f *fakeNodes) serve(node int, w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "/keys") {
		f.issueKeys(w, r)
		return
	}
	body, _ := io.ReadAll(r.Body)
	f.mu.Lock()
	h := r.Header
	f.calls = append(f.calls, receivedRequest{
		node: node, path: r.URL.Path, body: string(body), length: r.ContentLength,
		key: h.Get("Idempotency-Key"), attempt: h.Get("Primrosemount-Attempt"), root: h.Get("Primrosemount-Root"),
		allowance: h.Get("Primrosemount-Retry-Allowance"), deadline: h.Get("Primrosemount-Deadline"), parent: h.Get("Traceparent"),
	})
	handler := respond("done")
	if len(f.script) > 0 {
		handler = f.script[0]
		f.script = f.script[1:]
	}
	f.mu.Unlock()
	handler(w, r)
}

// issueKeys responds to a request for keys. The keys alternate between two executors.
func (f *fakeNodes) issueKeys(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fetches++
	count, _ := strconv.Atoi(r.URL.Query().Get("count"))
	var quoted []string
	for range count {
		f.keys++
		key, _ := once.NewKey("orders", uint64(f.keys%2), time.Unix(int64(f.keys), 0), [once.RandomBytes]byte{})
		quoted = append(quoted, strconv.Quote(key.String()))
	}
	fmt.Fprintf(w, `{"keys":[%s]}`, strings.Join(quoted, ","))
}

func (f *fakeNodes) requests() []receivedRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]receivedRequest(nil), f.calls...)
}

func respond(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Primrosemount-Root", testRoot)
		io.WriteString(w, body)
	}
}

// respondProblem responds with a problem document as a node does. headers are pairs
// of a name and a value.
func respondProblem(result, reason string, headers ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for i := 0; i < len(headers); i += 2 {
			w.Header().Set(headers[i], headers[i+1])
		}
		w.Header().Set("Primrosemount-Root", testRoot)
		w.Header().Set("Content-Type", "application/problem+json")
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprintf(w, `{"type":"about:blank","title":"t","status":503,"detail":"d","outcome":%q,"reason":%q,"request_id":%q,"remedy":"r"}`, result, reason, testRoot)
	}
}

// rawResponse writes the given bytes and closes the connection.
func rawResponse(response string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		io.WriteString(conn, response)
	}
}

var (
	dropConnection  = rawResponse("")
	truncatedBody   = rawResponse("HTTP/1.1 200 OK\r\nPrimrosemount-Root: 00\r\nContent-Length: 10\r\n\r\nshort")
	truncatedChunks = rawResponse("HTTP/1.1 200 OK\r\nPrimrosemount-Root: 00\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n")
	noFraming       = rawResponse("HTTP/1.1 200 OK\r\nPrimrosemount-Root: 00\r\n\r\nshort")
	malformedName   = rawResponse("HTTP/1.1 200 OK\r\nPrimrosemount-Root: 00\r\nBad name: 1\r\nContent-Length: 5\r\n\r\nshort")
	invalidStatus   = rawResponse("HTTP/1.1 000 Status\r\nPrimrosemount-Root: 00\r\nContent-Length: 5\r\n\r\nshort")
	notFromNode     = rawResponse("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello")
)

// hang sends no response until the client cancels the request or testDeadline expires.
func hang(w http.ResponseWriter, r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-time.After(testDeadline):
	}
}

// placeOrder calls the operation that the tests use.
func placeOrder(t *testing.T, c *Client, options ...CallOption) (*Answer, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testDeadline)
	defer cancel()
	return c.Call(ctx, "orders", "place", []byte("crates"), options...)
}

// requireError requires an *Error with the given outcome and reason, and returns it.
func requireError(t *testing.T, err error, o outcome.Outcome, r outcome.Reason) *Error {
	t.Helper()
	var e *Error
	require.ErrorAs(t, err, &e)
	require.Equal(t, o.String()+" "+r.String(), e.Problem.Outcome.String()+" "+e.Problem.Reason.String(), "%v", err)
	var inner *outcome.Error
	require.ErrorAs(t, err, &inner)
	require.Equal(t, o, OutcomeOf(err))
	return e
}

// Guards against a first attempt that lacks a header, sends a wrong deadline, or
// lets the caller override the key.
func TestFirstAttempt(t *testing.T) {
	f := newFakeNodes(t, 1)
	c := f.client(Options{})
	got, err := placeOrder(t, c, WithTraceparent("00-aa-bb-01"), WithHeader("Idempotency-Key", "ignored"))
	require.NoError(t, err)
	require.Equal(t, "done", string(got.Body))
	require.Equal(t, testRoot, got.RequestID)
	require.Equal(t, 1, got.Attempts)
	s := f.requests()[0]
	require.Equal(t, "/v1/services/orders/place", s.path)
	require.Equal(t, "crates", s.body)
	require.Equal(t, int64(6), s.length)
	require.Equal(t, got.Key, s.key)
	require.Equal(t, "0", s.attempt)
	require.Equal(t, "00-aa-bb-01", s.parent)
	require.Empty(t, s.root+s.allowance)
	remaining, err := time.ParseDuration(s.deadline)
	require.NoError(t, err)
	require.Greater(t, remaining, testDeadline/2)
	require.LessOrEqual(t, remaining, testDeadline)
}

// Guards against a second execution, or a replay that the retry allowance does not
// count, after a response was lost in any way. The first calls leave idle
// connections, because http.Transport replays requests only on reused ones.
func TestUnknownIsRetriedWithSameKey(t *testing.T) {
	for name, fault := range map[string]http.HandlerFunc{
		"lost": dropConnection, "length": truncatedBody, "chunks": truncatedChunks, "no length": noFraming, "not from node": notFromNode,
		"malformed name": malformedName, "invalid status": invalidStatus,
		"in progress": respondProblem("unknown", "in_progress"), "unknown reason": respondProblem("unknown", "new_reason"),
	} {
		t.Run(name, func(t *testing.T) {
			for _, body := range []string{"crates", ""} {
				f := newFakeNodes(t, 2, respond("1"), respond("2"), fault, fault)
				c := f.client(Options{})
				for range 2 {
					_, err := placeOrder(t, c)
					require.NoError(t, err)
				}
				got, err := c.Call(t.Context(), "orders", "place", []byte(body))
				require.NoError(t, err)
				require.Equal(t, 3, got.Attempts)
				calls := f.requests()[2:]
				require.Len(t, calls, 3)
				for i, s := range calls {
					require.Equal(t, got.Key, s.key)
					require.Equal(t, strconv.Itoa(i), s.attempt)
					require.Equal(t, body, s.body)
					require.Equal(t, lengthOf(body), s.length)
				}
				require.NotEqual(t, calls[0].node, calls[1].node)
			}
		})
	}
}

// lengthOf returns the Content-Length that a node receives; -1 means a chunked body.
func lengthOf(body string) int64 {
	if body == "" {
		return -1
	}
	return int64(len(body))
}

// Guards against a new key after outcome unknown, and against an unbounded number of
// attempts.
func TestUnknownAfterMaxAttempts(t *testing.T) {
	f := newFakeNodes(t, 2, dropConnection, dropConnection, dropConnection, dropConnection, dropConnection)
	_, err := placeOrder(t, f.client(Options{MaxAttempts: 3}))
	e := requireError(t, err, outcome.Unknown, outcome.AnswerLost)
	require.Error(t, e.Cause)
	calls := f.requests()
	require.Len(t, calls, 3)
	for _, s := range calls {
		require.Equal(t, e.Key, s.key)
	}
}

// Guards against a key that is used again after a rejection that is final for it.
func TestNotRunIsRetriedWithNextKey(t *testing.T) {
	f := newFakeNodes(t, 2,
		respondProblem("not_run", "overloaded", "Primrosemount-Next-Key", "next", "Primrosemount-Retry-Allowance", "7"),
		respondProblem("not_run", "key_expired"))
	got, err := placeOrder(t, f.client(Options{}))
	require.NoError(t, err)
	calls := f.requests()
	require.Len(t, calls, 3)
	require.Equal(t, "next", calls[1].key)
	require.NotContains(t, []string{"", "next", calls[0].key}, calls[2].key)
	require.Equal(t, got.Key, calls[2].key)
	require.Equal(t, "7", calls[1].allowance)
	require.Equal(t, testRoot, calls[1].root)
	require.NotEqual(t, calls[0].node, calls[1].node)
}

// Guards against retries that the retry allowance or the Retry-After forbids, or that
// cannot succeed.
func TestFinalFailuresAreNotRetried(t *testing.T) {
	next := []string{"Primrosemount-Next-Key", "next"}
	cases := map[string]struct {
		handler http.HandlerFunc
		options []CallOption
		outcome outcome.Outcome
		reason  outcome.Reason
	}{
		"allowance":   {respondProblem("not_run", "overloaded", "Primrosemount-Retry-Allowance", "0"), nil, outcome.NotRun, outcome.Overloaded},
		"not allowed": {respondProblem("not_run", "not_allowed", next...), nil, outcome.NotRun, outcome.NotAllowed},
		"conflict":    {respondProblem("not_run", "key_conflict", next...), nil, outcome.NotRun, outcome.KeyConflict},
		"expired":     {respondProblem("unknown", "key_expired", next...), nil, outcome.Unknown, outcome.KeyExpired},
		"retry after": {respondProblem("not_run", "overloaded", "Retry-After", "60"), nil, outcome.NotRun, outcome.Overloaded},
		"own key":     {respondProblem("not_run", "overloaded", next...), []CallOption{WithKey("own")}, outcome.NotRun, outcome.Overloaded},
		"not kept":    {respondProblem("completed", "too_large"), nil, outcome.Completed, outcome.TooLarge},
		"too large":   {respond(strings.Repeat("x", 100)), nil, outcome.Unknown, outcome.TooLarge},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFakeNodes(t, 2, test.handler)
			_, err := placeOrder(t, f.client(Options{MaxAnswerBytes: 99}), test.options...)
			e := requireError(t, err, test.outcome, test.reason)
			require.Len(t, f.requests(), 1)
			require.Equal(t, f.requests()[0].key, e.Key)
			require.Equal(t, testRoot, e.Problem.RequestID)
		})
	}
}

// Guards against a problem document of the target that is mistaken for a rejection by
// a node.
func TestProblemDocumentOfTargetIsResponse(t *testing.T) {
	f := newFakeNodes(t, 1, respondProblem("", "sold_out"))
	got, err := placeOrder(t, f.client(Options{}))
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, got.Status)
}

// Guards against an idempotent call that requests or sends keys, or that is not
// retried after outcome unknown.
func TestIdempotentCallUsesNoKey(t *testing.T) {
	f := newFakeNodes(t, 2, dropConnection, respondProblem("not_run", "overloaded"), truncatedBody)
	got, err := placeOrder(t, f.client(Options{}), Idempotent())
	require.NoError(t, err)
	require.Equal(t, 4, got.Attempts)
	for _, s := range f.requests() {
		require.Empty(t, s.key)
	}
	require.Zero(t, f.fetches)
}

// Guards against outcome "not run" for a call of which an earlier attempt may have
// run.
func TestUnknownIsKeptAfterNotRun(t *testing.T) {
	f := newFakeNodes(t, 1, dropConnection, respondProblem("not_run", "overloaded"))
	_, err := placeOrder(t, f.client(Options{MaxAttempts: 2}), Idempotent())
	requireError(t, err, outcome.Unknown, outcome.Overloaded)

	f = newFakeNodes(t, 1, func(w http.ResponseWriter, r *http.Request) {
		f.servers[0].Listener.Close()
		dropConnection(w, r)
	})
	_, err = placeOrder(t, f.client(Options{}))
	requireError(t, err, outcome.Unknown, outcome.ConnectFailed)
	require.Len(t, f.requests(), 1)
}

// Guards against a node that does not respond and uses up the deadline of the call.
func TestAttemptTimeoutSwitchesNode(t *testing.T) {
	f := newFakeNodes(t, 2, hang)
	c := f.client(Options{AttemptTimeout: 50 * time.Millisecond})
	got, err := placeOrder(t, c)
	require.NoError(t, err)
	require.Equal(t, 2, got.Attempts)
	calls := f.requests()
	require.Equal(t, calls[0].key, calls[1].key)
	require.NotEqual(t, calls[0].node, calls[1].node)
}

// Guards against a wrong outcome or reason for a call that exceeds its deadline or is
// canceled, before or after its request was sent.
func TestDeadlineAndCancel(t *testing.T) {
	f := newFakeNodes(t, 1, hang, hang)
	c := f.client(Options{MaxAttempts: 1})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := c.Call(ctx, "orders", "place", nil)
	e := requireError(t, err, outcome.Unknown, outcome.DeadlineExceeded)
	require.ErrorIs(t, e.Cause, context.DeadlineExceeded)
	ctx, cancel = context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err = c.Call(ctx, "orders", "place", nil)
	requireError(t, err, outcome.Unknown, outcome.Cancelled)
	_, err = c.Call(ctx, "orders", "place", nil)
	requireError(t, err, outcome.NotRun, outcome.Cancelled)
}

// closedAddress returns a base address on which nothing listens.
func closedAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	return "http://" + listener.Addr().String()
}

// Guards against calls that fail because one node is unreachable, and against outcome
// unknown if no byte was sent.
func TestFailover(t *testing.T) {
	f := newFakeNodes(t, 1)
	c := f.client(Options{Nodes: []string{closedAddress(t)}})
	for range 4 {
		_, err := placeOrder(t, c)
		require.NoError(t, err)
	}
	require.Len(t, f.requests(), 4)
	unreachable, err := New(Options{Nodes: []string{closedAddress(t), closedAddress(t)}})
	require.NoError(t, err)
	defer unreachable.Close()
	_, err = placeOrder(t, unreachable)
	requireError(t, err, outcome.NotRun, outcome.ConnectFailed)
	_, err = placeOrder(t, unreachable, WithKey("own"))
	requireError(t, err, outcome.NotRun, outcome.ConnectFailed)
}

// Guards against a separate request for a key with every call.
func TestKeysAreFetchedInBatches(t *testing.T) {
	f := newFakeNodes(t, 1)
	c := f.client(Options{KeyBatch: 8})
	used := make(map[string]bool)
	for range 40 {
		got, err := placeOrder(t, c)
		require.NoError(t, err)
		require.False(t, used[got.Key])
		used[got.Key] = true
		c.refills.Wait()
	}
	require.LessOrEqual(t, f.fetches, 40/8+1)
}

// Guards against the use of keys that are too old to start a request, or whose
// executor has been removed.
func TestPoolDropsUnusableKeys(t *testing.T) {
	f := newFakeNodes(t, 1, respondProblem("unknown", "executor_gone"))
	c := f.client(Options{KeyBatch: 16, MaxAttempts: 1})
	_, err := placeOrder(t, c)
	e := requireError(t, err, outcome.Unknown, outcome.ExecutorGone)
	failedKey, _ := once.ParseKey(e.Key)
	for _, k := range c.keys.keys["orders"] {
		remaining, _ := once.ParseKey(k.key)
		require.NotEqual(t, failedKey.Executor, remaining.Executor)
	}
	require.NotEmpty(t, c.keys.keys["orders"])
	key, _ := c.keys.take("orders", time.Now().Add(maxKeyAge+time.Second))
	require.Empty(t, key)
}

// Guards against node addresses that fail only at the first call.
func TestNewRejectsInvalidOptions(t *testing.T) {
	for _, nodes := range [][]string{nil, {"10.0.0.1:80"}, {"ftp://10.0.0.1"}} {
		_, err := New(Options{Nodes: nodes})
		require.Error(t, err)
	}
}

// Guards against a Retry-After header that is ignored or misread.
func TestRetryAfter(t *testing.T) {
	now := time.Unix(1790000000, 0)
	require.Equal(t, 3*time.Second, parseRetryAfter("3", now))
	require.Equal(t, time.Minute, parseRetryAfter(now.Add(time.Minute).UTC().Format(http.TimeFormat), now))
	require.Zero(t, parseRetryAfter("-1", now))
}
