package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/primrosemount/primrosemount/core/account"
	"github.com/primrosemount/primrosemount/core/callgraph"
	"github.com/primrosemount/primrosemount/core/fairshare"
	"github.com/primrosemount/primrosemount/core/ingress"
	"github.com/primrosemount/primrosemount/core/leastshare"
	"github.com/primrosemount/primrosemount/core/memory"
	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/core/route"
	"github.com/primrosemount/primrosemount/core/shutdown"
	"github.com/primrosemount/primrosemount/core/threshold"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/telemetry"
	"github.com/primrosemount/primrosemount/transport/httpserver"
)

// keyCodec is testCodec with a header for keys.
type keyCodec struct{ testCodec }

func (keyCodec) ReadRequest(h http.Header) (Envelope, error) {
	return Envelope{AttemptID: h.Get("Id"), Key: h.Get("Key")}, nil
}

// countedQuotas counts the calls of an entry. refused is the refusal of all requests.
type countedQuotas struct {
	taken, refunded int
	refused         *outcome.Error
	relative        float64
}

func (q *countedQuotas) take(time.Time, *account.Account) *outcome.Error {
	if q.refused == nil {
		q.taken++
	}
	return q.refused
}
func (q *countedQuotas) refund(time.Time, *account.Account) { q.refunded++ }
func (q *countedQuotas) load(time.Time, *account.Account) (float64, bool) {
	return q.relative, q.relative > 0
}

const testMaxBody = 100

// accountEntry returns an entry with three accounts, of which the first has a quota, and
// a route for which there is no target. A request with the ID "parent" is running.
func accountEntry(t *testing.T) (*entry, *countedQuotas, *observer.ObservedLogs) {
	t.Helper()
	directory, err := account.NewDirectory([]account.Account{
		{Name: "limited", Keys: []account.Digest{account.DigestOf("key-l")}, RatePerSecond: 10, Burst: 10},
		{Name: "free", Keys: []account.Digest{account.DigestOf("key-f")}},
		{Name: "low", Keys: []account.Digest{account.DigestOf("key-p")}, Priority: 2, HasPriority: true},
	})
	require.NoError(t, err)
	table := ingress.NewTable(3, []ingress.Route{
		{Name: "r", Host: "h", PathPrefix: "/r/", Priority: 1, Destinations: []ingress.Destination{{Service: "s"}}},
		{Name: "p", Host: "h", PathPrefix: "/p/", Public: true, Destinations: []ingress.Destination{{Service: "s"}}},
	}, nil, ingress.Limits{})
	table.Accounts = directory
	now := time.Now()
	core, lines := observer.New(zap.InfoLevel)
	config := newConfiguration(nil, now, zap.NewNop())
	config.table.Store(table)
	config.recordResponse(time.Now(), time.Now())
	metrics, err := telemetry.NewMetrics()
	require.NoError(t, err)
	graph, downstream, quotas := callgraph.New(), threshold.NewDownstream(now), &countedQuotas{}
	graph.Start("parent", callgraph.Parent{Route: "r", Account: "free", Run: threshold.NewOperations(downstream).Start("r", 130)})
	events := newEventLog(zap.New(core))
	return &entry{
		wire: keyCodec{}, config: config, graph: graph, shares: leastshare.New(), quotas: quotas, fair: fairshare.New(), use: newAccountUse(),
		originService: func() string { return "s" }, metrics: metrics, events: events,
		budget: memory.NewBudget(1 << 20), sizes: newResponseSizes(), maxBodyBytes: testMaxBody,
		dispatcher: &dispatcher{
			router: route.New(route.Config{Start: now}), downstream: downstream, budgets: newBudgets(1, 1), events: events, placing: placing{config: config},
			self: func() string { return "self" },
		},
	}, quotas, lines
}

// keyRequest returns a request with a key.
func keyRequest(path, id, key string, body io.Reader) *http.Request {
	r := httptest.NewRequest(http.MethodPost, path, body)
	r.Host = "h"
	r.Header.Set("Id", id)
	if key != "" {
		r.Header.Set("Key", key)
	}
	return r
}

// Guards against a quota that is used by requests that have none, are not authenticated
// or are not routed, and against calls that use it again.
func TestQuotaIsTakenOncePerRootRequest(t *testing.T) {
	for _, c := range []struct {
		name, path, id, key, account string
		taken                        int
		refused                      *outcome.Error
	}{
		{"limited", "/r/", "a", "key-l", "limited", 1, nil},
		{"limited, public route", "/p/", "a", "key-l", "limited", 1, nil},
		{"unlimited", "/r/", "a", "key-f", "free", 0, nil},
		{"no key, public route", "/p/", "a", "", "", 0, nil},
		{"call with a key", "/r/", "parent.1", "key-l", "free", 0, nil},
		{"call", "/r/", "parent.1", "", "free", 0, nil},
		{"call of an unknown parent", "/r/", "gone.1", "", "", 0, errUnknownParent},
		{"unknown key", "/r/", "a", "key-x", "", 0, errUnknownKey},
		{"no key", "/r/", "a", "", "", 0, errNoKey},
	} {
		t.Run(c.name, func(t *testing.T) {
			e, quotas, _ := accountEntry(t)
			o, refused := e.accept(keyRequest(c.path, c.id, c.key, strings.NewReader("x")), time.Now())
			require.Equal(t, c.refused, refused)
			require.Equal(t, c.taken, quotas.taken)
			if o != nil {
				require.Equal(t, c.account, o.message.GetAccount())
			}
		})
	}
}

// failingReader is a body that must not be read.
type failingReader struct{ t *testing.T }

func (r failingReader) Read([]byte) (int, error) {
	require.Fail(r.t, "the body was read")
	return 0, io.EOF
}

// Guards against a body that is read before the request is authenticated or within its
// quota, and against a refusal whose status, delay or log line hide the cause.
func TestRequestOverQuotaIsRefused(t *testing.T) {
	e, quotas, lines := accountEntry(t)
	quotas.refused = &outcome.Error{Outcome: outcome.NotRun, Reason: outcome.QuotaExceeded, RetryAfter: 300 * time.Millisecond}
	_, refused := e.accept(keyRequest("/r/", "a", "key-l", failingReader{t}), time.Now())
	require.Same(t, quotas.refused, refused)
	_, refused = e.accept(keyRequest("/r/", "a", "key-x", failingReader{t}), time.Now())
	require.Same(t, errUnknownKey, refused)

	server := httpserver.New(httpserver.Config{Handler: e, HeaderTimeout: time.Second, BodyTimeout: time.Second, WriteTimeout: time.Second, IdleTimeout: time.Second, MaxHeaderBytes: 1 << 10, Logger: zap.NewNop()})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	for reason, status := range map[outcome.Reason]int{outcome.QuotaExceeded: http.StatusTooManyRequests, outcome.QuotaUnknown: http.StatusServiceUnavailable} {
		quotas.refused = &outcome.Error{Outcome: outcome.NotRun, Reason: reason, RetryAfter: 300 * time.Millisecond}
		r, err := http.NewRequest(http.MethodGet, "http://"+listener.Addr().String()+"/r/", nil)
		require.NoError(t, err)
		r.Host, r.Header = "h", http.Header{"Id": {"over"}, "Key": {"key-l"}}
		response, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, status, response.StatusCode)
		require.Equal(t, "1", response.Header.Get("Retry-After"), "the value of the codec")
		line := lines.FilterField(zap.String("reason", reason.String())).All()
		require.Len(t, line, 1)
		require.Equal(t, "limited", line[0].ContextMap()["account"])
		require.Contains(t, line[0].ContextMap(), "config_age")
	}
	require.Zero(t, quotas.refunded, "nothing was taken")
}

// Guards against quota that is lost by requests that have not run, or that is returned by
// requests that may have run, or twice.
func TestQuotaOfRequestsThatHaveNotRunIsReturned(t *testing.T) {
	accepted := func(t *testing.T, e *entry) *acceptedRequest {
		o, refused := e.accept(keyRequest("/r/", "a", "key-l", strings.NewReader("x")), time.Now())
		require.Nil(t, refused)
		return &acceptedRequest{entry: e, outgoing: o}
	}
	respond := func(a *acceptedRequest) { a.Respond(context.Background(), &httpserver.Response{}) }
	for _, c := range []struct {
		name string
		end  func(t *testing.T, e *entry)
	}{
		{"the body is too large", func(_ *testing.T, e *entry) {
			_, _ = e.accept(keyRequest("/r/", "a", "key-l", bytes.NewReader(make([]byte, testMaxBody+1))), time.Now())
		}},
		{"the body is cut", func(_ *testing.T, e *entry) {
			_, _ = e.accept(keyRequest("/r/", "a", "key-l", io.MultiReader(strings.NewReader("x"), brokenReader{})), time.Now())
		}},
		{"the client has left before the turn of the request", func(t *testing.T, e *entry) { accepted(t, e).Release(nil) }},
		{"the node stops", func(t *testing.T, e *entry) {
			a := accepted(t, e)
			schedule := shutdown.NewSchedule(time.Now(), time.Second)
			e.stop.Store(&schedule)
			respond(a)
			a.Release(nil)
		}},
		{"no memory", func(t *testing.T, e *entry) {
			a := accepted(t, e)
			e.sizes.observe("r", 1<<30)
			respond(a)
			a.Release(nil)
		}},
		{"no target", func(t *testing.T, e *entry) {
			a := accepted(t, e)
			respond(a)
			a.Release(nil)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			e, quotas, _ := accountEntry(t)
			c.end(t, e)
			require.Equal(t, 1, quotas.taken)
			require.Equal(t, 1, quotas.refunded)
		})
	}
	for _, result := range []outcome.Outcome{outcome.Completed, outcome.Unknown} {
		e, quotas, _ := accountEntry(t)
		a := accepted(t, e)
		use := a.outgoing.quota.dispatched()
		use.settle(&pb.ForwardResponse{Outcome: result.Proto()})
		a.Release(errors.New("the client has left"))
		require.Zero(t, quotas.refunded, result.String())
	}
}

// Guards against more requests in one window than the quota allows, because those of
// earlier seconds, whose bodies arrived slowly, run at the same time, or because their
// tokens are returned and used then.
func TestExpiredTokensAreNeitherUsedNorReturned(t *testing.T) {
	for _, c := range []struct {
		name            string
		refused         *outcome.Error
		taken, refunded int
		line            string
	}{
		{"another token", nil, 2, 1, "The request failed."},
		{"no token", &outcome.Error{Outcome: outcome.NotRun, Reason: outcome.QuotaExceeded}, 1, 0, "The request was refused because its quota was used up before it was complete."},
	} {
		t.Run(c.name, func(t *testing.T) {
			e, quotas, lines := accountEntry(t)
			o, refused := e.accept(keyRequest("/r/", "a", "key-l", strings.NewReader("x")), time.Now())
			require.Nil(t, refused)
			o.quota.taken = o.quota.taken.Add(-2 * tokenLifetime)
			quotas.refused = c.refused
			a := &acceptedRequest{entry: e, outgoing: o}
			a.Respond(t.Context(), &httpserver.Response{})
			a.Release(nil)
			require.Equal(t, c.taken, quotas.taken)
			require.Equal(t, c.refunded, quotas.refunded, "the second token only")
			require.Equal(t, 1, lines.FilterMessage(c.line).Len())
		})
	}
	e, quotas, _ := accountEntry(t)
	o, refused := e.accept(keyRequest("/r/", "a", "key-l", strings.NewReader("x")), time.Now())
	require.Nil(t, refused)
	use := o.quota.dispatched()
	use.taken = use.taken.Add(-2 * tokenLifetime)
	use.settle(notRun(outcome.Overloaded, 0))
	require.Zero(t, quotas.refunded)
}

// brokenReader is a reader that fails.
type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, errors.New("cut") }

// Guards against a priority of an account that the priority of the route overrides, and
// against a load that does not determine the cohorts.
func TestLevelFollowsFromTheAccount(t *testing.T) {
	e, quotas, _ := accountEntry(t)
	quotas.relative = 0.5
	classes := map[string]outcome.Class{"key-l": outcome.Normal, "key-p": outcome.Sheddable}
	for range 200 {
		for key, class := range classes {
			o, refused := e.accept(keyRequest("/r/", "a", key, nil), time.Now())
			require.Nil(t, refused)
			if o.level.Class() == outcome.Assured {
				continue
			}
			require.Equal(t, class, o.level.Class())
			require.Equal(t, class, classOf(o.route, o.account))
			if key == "key-l" {
				require.Less(t, o.level.Cohort(), uint32(outcome.Cohorts/2))
			}
		}
	}
}

// Guards against a key in the document that a node keeps and passes on, and against a
// document that is put in force although it cannot be passed on.
func TestKeptConfigurationHoldsNoKeys(t *testing.T) {
	const secret = "secret"
	directory, err := account.NewDirectory([]account.Account{{Name: "a", Keys: []account.Digest{account.DigestOf(secret)}}})
	require.NoError(t, err)
	decode := func(document []byte) (*ingress.Table, error) {
		table := ingress.NewTable(uint64(len(document)), nil, nil, ingress.Limits{})
		table.Accounts = directory
		return table, nil
	}
	for _, holding := range []bool{false, true} {
		c := newConfiguration(decode, time.Now(), zap.NewNop())
		c.redact = func(document []byte) ([]byte, error) {
			return bytes.ReplaceAll(document, []byte(secret), []byte("digest")), nil
		}
		c.storeEra.Observe(1)
		if holding {
			c.hold()
		}
		c.offer([]byte(secret), storeOrigin)
		c.release()
		require.Equal(t, "digest", string(c.documentNewerThan(0)))
	}
	c := newConfiguration(decode, time.Now(), zap.NewNop())
	c.redact = func([]byte) ([]byte, error) { return nil, errors.New("malformed") }
	c.offer([]byte(secret), storeOrigin)
	require.Zero(t, c.version())
}
