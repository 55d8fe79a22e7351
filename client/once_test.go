package client

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/once"
	"github.com/primrosemount/primrosemount/core/outcome"
)

const (
	faultySeed    = 1
	faultyCallers = 8
	faultyCalls   = 60
)

// faultyNodes simulates entry nodes in front of one executor with a real
// deduplication table. It drops requests and responses, truncates responses, rejects
// requests, restarts the executor with an empty table, and delivers earlier requests
// a second time.
type faultyNodes struct {
	mu          sync.Mutex
	random      *rand.Rand
	table       *once.Table
	incarnation uint64
	keys        uint64
	runs        map[string]int
	delivered   [][2]string
}

// restart starts a new incarnation of the executor with an empty deduplication table.
func (f *faultyNodes) restart() {
	f.incarnation++
	f.table = once.New(once.Config{Service: "orders", Executor: f.incarnation}, time.Now())
}

func (f *faultyNodes) newKey() string {
	f.keys++
	var random [once.RandomBytes]byte
	binary.BigEndian.PutUint64(random[:], f.keys)
	key, _ := once.NewKey("orders", f.incarnation, time.Now(), random)
	return key.String()
}

func (f *faultyNodes) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	f.mu.Lock()
	defer f.mu.Unlock()
	if strings.HasSuffix(r.URL.Path, "/keys") {
		fmt.Fprintf(w, `{"keys":[%q,%q,%q]}`, f.newKey(), f.newKey(), f.newKey())
		return
	}
	key := r.Header.Get("Idempotency-Key")
	if f.random.IntN(10) == 0 {
		dropConnection(w, r)
		f.delivered = append(f.delivered, [2]string{key, string(body)})
		return
	}
	f.reply(f.execute(key, string(body)))(w, r)
	f.delivered = append(f.delivered, [2]string{key, string(body)})
	duplicate := f.delivered[f.random.IntN(len(f.delivered))]
	f.execute(duplicate[0], duplicate[1])
	if f.random.IntN(100) == 0 {
		f.restart()
	}
}

// execute runs an operation as the gate and its target do.
func (f *faultyNodes) execute(key, body string) once.Decision {
	now := time.Now()
	fp := once.FingerprintOf("orders", "place", "clerk", []byte(body))
	d := f.table.Begin(now, key, fp, time.Hour)
	if d.Kind != once.Start {
		return d
	}
	if f.random.IntN(4) == 0 {
		f.table.MarkNotStarted(now, key, outcome.Overloaded)
		return f.table.Begin(now, key, fp, time.Hour)
	}
	f.runs[body]++
	f.table.Finish(now, key, once.Result{Outcome: outcome.Completed, Status: 200, Body: []byte(body)})
	return f.table.Begin(now, key, fp, time.Hour)
}

// reply returns the response to a request. It drops or truncates some complete responses.
func (f *faultyNodes) reply(d once.Decision) http.HandlerFunc {
	err := d.Err
	if d.Kind == once.Replay {
		err = d.Result.Err()
	}
	if err != nil {
		return respondProblem(err.Outcome.String(), err.Reason.String(), "Primrosemount-Next-Key", f.newKey())
	}
	return []http.HandlerFunc{respond(string(d.Result.Body)), respond(string(d.Result.Body)), dropConnection, truncatedBody, truncatedChunks}[f.random.IntN(5)]
}

// Guards against a call that runs twice, a call that ran but is reported as not run,
// and a response to another call, with the real deduplication table behind a faulty
// network.
func TestCallsRunAtMostOnce(t *testing.T) {
	f := &faultyNodes{random: rand.New(rand.NewPCG(faultySeed, 1)), runs: make(map[string]int)}
	f.restart()
	var nodes []string
	for range 2 {
		server := httptest.NewServer(f)
		defer server.Close()
		nodes = append(nodes, server.URL)
	}
	c, err := New(Options{Nodes: nodes, KeyBatch: 3, MinBackoff: time.Microsecond, MaxBackoff: time.Millisecond})
	require.NoError(t, err)
	defer c.Close()
	results := make([]error, faultyCallers*faultyCalls)
	var callers sync.WaitGroup
	for caller := range faultyCallers {
		callers.Go(func() {
			for i := range faultyCalls {
				n := caller*faultyCalls + i
				results[n] = callWithNumber(c, n)
			}
		})
	}
	callers.Wait()
	requireAtMostOnce(t, f, results)
}

// callWithNumber calls the operation with the body n. It panics if the response is not
// the one to this call.
func callWithNumber(c *Client, n int) error {
	ctx, cancel := context.WithTimeout(context.Background(), testDeadline)
	defer cancel()
	body := strconv.Itoa(n)
	got, err := c.Call(ctx, "orders", "place", []byte(body))
	if err == nil && string(got.Body) != body {
		panic("call " + body + " got the response " + string(got.Body))
	}
	return err
}

func requireAtMostOnce(t *testing.T, f *faultyNodes, results []error) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	outcomes := make(map[outcome.Outcome]int)
	for n, err := range results {
		runs := f.runs[strconv.Itoa(n)]
		outcomes[OutcomeOf(err)]++
		switch OutcomeOf(err) {
		case outcome.Completed:
			require.Equal(t, 1, runs, "call %d", n)
		case outcome.NotRun:
			require.Zero(t, runs, "call %d: %v", n, err)
		default:
			require.LessOrEqual(t, runs, 1, "call %d: %v", n, err)
		}
	}
	t.Logf("%d completed, %d not run, %d unknown", outcomes[outcome.Completed], outcomes[outcome.NotRun], outcomes[outcome.Unknown])
	require.NotZero(t, outcomes[outcome.Completed])
	require.NotZero(t, outcomes[outcome.Unknown])
}
