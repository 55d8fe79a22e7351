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

// seen is one request as a node received it.
type seen struct {
	node                                            int
	path, body                                      string
	key, attempt, root, allowance, deadline, parent string
	length                                          int64
}

// fleet is some nodes that play the behaviours of a script in turn, and then
// answer.
type fleet struct {
	t       *testing.T
	mu      sync.Mutex
	script  []http.HandlerFunc
	calls   []seen
	keys    int
	fetches int
	servers []*httptest.Server
}

func newFleet(t *testing.T, nodes int, script ...http.HandlerFunc) *fleet {
	f := &fleet{t: t, script: script}
	for i := range nodes {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.serve(i, w, r) }))
		f.servers = append(f.servers, server)
		t.Cleanup(server.Close)
	}
	return f
}

func (f *fleet) client(options Options) *Client {
	for _, server := range f.servers {
		options.Nodes = append(options.Nodes, server.URL)
	}
	c, err := New(options)
	require.NoError(f.t, err)
	f.t.Cleanup(c.Close)
	return c
}

func (f *fleet) serve(node int, w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "/keys") {
		f.issue(w, r)
		return
	}
	body, _ := io.ReadAll(r.Body)
	f.mu.Lock()
	h := r.Header
	f.calls = append(f.calls, seen{
		node: node, path: r.URL.Path, body: string(body), length: r.ContentLength,
		key: h.Get("Idempotency-Key"), attempt: h.Get("Primrosemount-Attempt"), root: h.Get("Primrosemount-Root"),
		allowance: h.Get("Primrosemount-Retry-Allowance"), deadline: h.Get("Primrosemount-Deadline"), parent: h.Get("Traceparent"),
	})
	play := answer("done")
	if len(f.script) > 0 {
		play = f.script[0]
		f.script = f.script[1:]
	}
	f.mu.Unlock()
	play(w, r)
}

func (f *fleet) issue(w http.ResponseWriter, r *http.Request) {
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

func (f *fleet) requests() []seen {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]seen(nil), f.calls...)
}

func answer(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Primrosemount-Root", testRoot)
		io.WriteString(w, body)
	}
}

// problem answers like a node; headers are pairs of name and value.
func problem(result, reason string, headers ...string) http.HandlerFunc {
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

// raw sends bytes and closes the connection.
func raw(response string) http.HandlerFunc {
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
	lose        = raw("")
	cutLength   = raw("HTTP/1.1 200 OK\r\nPrimrosemount-Root: 00\r\nContent-Length: 10\r\n\r\nshort")
	cutChunks   = raw("HTTP/1.1 200 OK\r\nPrimrosemount-Root: 00\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n")
	noLength    = raw("HTTP/1.1 200 OK\r\nPrimrosemount-Root: 00\r\n\r\nshort")
	notFromNode = raw("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello")
)

func slow(w http.ResponseWriter, r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-time.After(testDeadline):
	}
}

func place(t *testing.T, c *Client, options ...CallOption) (*Answer, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testDeadline)
	defer cancel()
	return c.Call(ctx, "orders", "place", []byte("crates"), options...)
}

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

func TestFirstAttempt(t *testing.T) {
	f := newFleet(t, 1)
	c := f.client(Options{})
	got, err := place(t, c, WithTraceparent("00-aa-bb-01"), WithHeader("Idempotency-Key", "ignored"))
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
	left, err := time.ParseDuration(s.deadline)
	require.NoError(t, err)
	require.Greater(t, left, testDeadline/2)
	require.LessOrEqual(t, left, testDeadline)
}

// Guards against a second execution, or a replay that the retry allowance does
// not count, after an answer was lost in any way. The first call leaves an idle
// connection, which is the case in which http.Transport replays.
func TestUnknownIsSentAgainWithSameKey(t *testing.T) {
	for name, fault := range map[string]http.HandlerFunc{
		"lost": lose, "length": cutLength, "chunks": cutChunks, "no length": noLength, "not from node": notFromNode,
		"in progress": problem("unknown", "in_progress"), "unknown reason": problem("unknown", "new_reason"),
	} {
		t.Run(name, func(t *testing.T) {
			for _, body := range []string{"crates", ""} {
				f := newFleet(t, 2, answer("1"), answer("2"), fault, fault)
				c := f.client(Options{})
				for range 2 {
					_, err := place(t, c)
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

// lengthOf returns the Content-Length that a node sees; -1 stands for chunks.
func lengthOf(body string) int64 {
	if body == "" {
		return -1
	}
	return int64(len(body))
}

// Guards against a new key after unknown, and an unbounded number of attempts.
func TestUnknownStaysUnknown(t *testing.T) {
	f := newFleet(t, 2, lose, lose, lose, lose, lose)
	_, err := place(t, f.client(Options{MaxAttempts: 3}))
	e := requireError(t, err, outcome.Unknown, outcome.AnswerLost)
	require.Error(t, e.Cause)
	calls := f.requests()
	require.Len(t, calls, 3)
	for _, s := range calls {
		require.Equal(t, e.Key, s.key)
	}
}

// Guards against a key that is used again after its final refusal.
func TestNotRunTakesNextKey(t *testing.T) {
	f := newFleet(t, 2,
		problem("not_run", "overloaded", "Primrosemount-Next-Key", "next", "Primrosemount-Retry-Allowance", "7"),
		problem("not_run", "key_expired"))
	got, err := place(t, f.client(Options{}))
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

// Guards against retries that the system did not allow, or that can't help.
func TestEndsAfterOneAttempt(t *testing.T) {
	next := []string{"Primrosemount-Next-Key", "next"}
	cases := map[string]struct {
		play    http.HandlerFunc
		options []CallOption
		outcome outcome.Outcome
		reason  outcome.Reason
	}{
		"allowance":   {problem("not_run", "overloaded", "Primrosemount-Retry-Allowance", "0"), nil, outcome.NotRun, outcome.Overloaded},
		"not allowed": {problem("not_run", "not_allowed", next...), nil, outcome.NotRun, outcome.NotAllowed},
		"conflict":    {problem("not_run", "key_conflict", next...), nil, outcome.NotRun, outcome.KeyConflict},
		"expired":     {problem("unknown", "key_expired", next...), nil, outcome.Unknown, outcome.KeyExpired},
		"retry after": {problem("not_run", "overloaded", "Retry-After", "60"), nil, outcome.NotRun, outcome.Overloaded},
		"own key":     {problem("not_run", "overloaded", next...), []CallOption{WithKey("own")}, outcome.NotRun, outcome.Overloaded},
		"not kept":    {problem("completed", "too_large"), nil, outcome.Completed, outcome.TooLarge},
		"too large":   {answer(strings.Repeat("x", 100)), nil, outcome.Unknown, outcome.TooLarge},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2, test.play)
			_, err := place(t, f.client(Options{MaxAnswerBytes: 99}), test.options...)
			e := requireError(t, err, test.outcome, test.reason)
			require.Len(t, f.requests(), 1)
			require.Equal(t, f.requests()[0].key, e.Key)
			require.Equal(t, testRoot, e.Problem.RequestID)
		})
	}
}

// Guards against a target's own problem document that is taken for a refusal.
func TestProblemOfTargetIsAnswer(t *testing.T) {
	f := newFleet(t, 1, problem("", "sold_out"))
	got, err := place(t, f.client(Options{}))
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, got.Status)
}

func TestIdempotentNeedsNoKey(t *testing.T) {
	f := newFleet(t, 2, lose, problem("not_run", "overloaded"), cutLength)
	got, err := place(t, f.client(Options{}), Idempotent())
	require.NoError(t, err)
	require.Equal(t, 4, got.Attempts)
	for _, s := range f.requests() {
		require.Empty(t, s.key)
	}
	require.Zero(t, f.fetches)
}

// Guards against not run for a call of which an earlier attempt may have run.
func TestEarlierUnknownIsKept(t *testing.T) {
	f := newFleet(t, 1, lose, problem("not_run", "overloaded"))
	_, err := place(t, f.client(Options{MaxAttempts: 2}), Idempotent())
	requireError(t, err, outcome.Unknown, outcome.Overloaded)

	f = newFleet(t, 1, func(w http.ResponseWriter, r *http.Request) {
		f.servers[0].Listener.Close()
		lose(w, r)
	})
	_, err = place(t, f.client(Options{}))
	requireError(t, err, outcome.Unknown, outcome.ConnectFailed)
	require.Len(t, f.requests(), 1)
}

// Guards against a paused node that uses up the deadline of the call.
func TestSlowNodeIsLeft(t *testing.T) {
	f := newFleet(t, 2, slow)
	c := f.client(Options{AttemptTimeout: 50 * time.Millisecond})
	got, err := place(t, c)
	require.NoError(t, err)
	require.Equal(t, 2, got.Attempts)
	calls := f.requests()
	require.Equal(t, calls[0].key, calls[1].key)
	require.NotEqual(t, calls[0].node, calls[1].node)
}

func TestDeadlineAndCancel(t *testing.T) {
	f := newFleet(t, 1, slow, slow)
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

// Guards against a dead node that makes calls fail, and against unknown where
// no byte was sent.
func TestFailover(t *testing.T) {
	f := newFleet(t, 1)
	c := f.client(Options{Nodes: []string{closedAddress(t)}})
	for range 4 {
		_, err := place(t, c)
		require.NoError(t, err)
	}
	require.Len(t, f.requests(), 4)
	dead, err := New(Options{Nodes: []string{closedAddress(t), closedAddress(t)}})
	require.NoError(t, err)
	defer dead.Close()
	_, err = place(t, dead)
	requireError(t, err, outcome.NotRun, outcome.ConnectFailed)
	_, err = place(t, dead, WithKey("own"))
	requireError(t, err, outcome.NotRun, outcome.ConnectFailed)
}

// Guards against one request for keys per call.
func TestKeysAreFetchedAhead(t *testing.T) {
	f := newFleet(t, 1)
	c := f.client(Options{KeyBatch: 8})
	used := make(map[string]bool)
	for range 40 {
		got, err := place(t, c)
		require.NoError(t, err)
		require.False(t, used[got.Key])
		used[got.Key] = true
		c.refills.Wait()
	}
	require.LessOrEqual(t, f.fetches, 40/8+1)
}

// Guards against keys that are too old to start, or whose executor is gone.
func TestStockDropsUselessKeys(t *testing.T) {
	f := newFleet(t, 1, problem("unknown", "executor_gone"))
	c := f.client(Options{KeyBatch: 16, MaxAttempts: 1})
	_, err := place(t, c)
	e := requireError(t, err, outcome.Unknown, outcome.ExecutorGone)
	gone, _ := once.ParseKey(e.Key)
	for _, k := range c.keys.keys["orders"] {
		left, _ := once.ParseKey(k.key)
		require.NotEqual(t, gone.Executor, left.Executor)
	}
	require.NotEmpty(t, c.keys.keys["orders"])
	key, _ := c.keys.take("orders", time.Now().Add(keyMaxAge+time.Second))
	require.Empty(t, key)
}

func TestNewRefusesOptions(t *testing.T) {
	for _, nodes := range [][]string{nil, {"10.0.0.1:80"}, {"ftp://10.0.0.1"}} {
		_, err := New(Options{Nodes: nodes})
		require.Error(t, err)
	}
}

func TestRetryAfter(t *testing.T) {
	now := time.Unix(1790000000, 0)
	require.Equal(t, 3*time.Second, retryAfter("3", now))
	require.Equal(t, time.Minute, retryAfter(now.Add(time.Minute).UTC().Format(http.TimeFormat), now))
	require.Zero(t, retryAfter("-1", now))
}
