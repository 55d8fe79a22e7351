package retry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/primrosemount/primrosemount/core/outcome"
)

var start = time.Unix(1000, 0)

// Guards against an allowance that is credited twice for one grant, credited
// with more than the grant, or credited after it was closed.
func TestGrantIsSettledOnce(t *testing.T) {
	a := NewAllowance(5)
	g := a.Grant(1)
	require.EqualValues(t, 3, g.Count())
	require.True(t, g.Return(99))
	require.False(t, g.Return(3))
	require.EqualValues(t, 5, a.Available())
	lost := a.Grant(1)
	lost.Forfeit()
	require.False(t, lost.Return(3))
	require.EqualValues(t, 2, a.Available())
	late := a.Grant(1)
	require.EqualValues(t, 1, a.Close())
	require.False(t, late.Return(1))
	require.EqualValues(t, 1, a.Close())
	require.False(t, a.Spend())
}

// Guards against a retry of a failure on which services further down have
// already exhausted their attempts, and against a retry of non-idempotent work
// that may have run.
func TestRetryableFailures(t *testing.T) {
	refused := outcome.New(outcome.NotRun, outcome.Overloaded, "")
	lost := outcome.New(outcome.Unknown, outcome.AnswerLost, "")
	require.True(t, Failure{Err: refused, Granted: 2, Unspent: 1}.Retryable())
	require.True(t, Failure{Err: refused}.Retryable())
	require.False(t, Failure{Err: refused, Granted: 2}.Retryable())
	require.False(t, Failure{Err: lost}.Retryable())
	require.True(t, Failure{Err: lost, Idempotent: true}.Retryable())
}

// maxDepth is the depth of the longest call chain that the design allows for.
const maxDepth = 29

// tree runs one root request over a random call tree. It counts the retries
// made and the executions of each call independently of what the code under
// test reports.
type tree struct {
	t       *rapid.T
	retries int
	// executions holds the number of attempts that reached each call.
	executions map[string]int
	// steps is the number of executions so far, which bounds the size of the
	// tree.
	steps int
}

// execute simulates one execution of a call with the granted allowance and
// returns the unspent part that its response carries.
func (tr *tree) execute(name string, depth int, granted uint32) uint32 {
	tr.executions[name]++
	tr.steps++
	a := NewAllowance(granted)
	if depth < maxDepth && tr.steps < 400 {
		tr.children(name, depth, a)
	}
	return a.Close()
}

// children makes child calls one after the other or concurrently. Concurrent
// calls are interleaved: all attempts start before any response is processed.
func (tr *tree) children(name string, depth int, a *Allowance) {
	fanout := rapid.SampledFrom([]int{1, 1, 1, 1, 2, 3}).Draw(tr.t, "fanout")
	concurrent := rapid.Bool().Draw(tr.t, "concurrent")
	var responses []func()
	for i := range fanout {
		child := fmt.Sprintf("%s/%d", name, i)
		respond := tr.attempt(child, depth, a, fanout-i)
		if !concurrent {
			respond()
			continue
		}
		responses = append(responses, respond)
	}
	for _, respond := range rapid.Permutation(responses).Draw(tr.t, "order") {
		respond()
	}
}

// attempt sends one attempt and returns the function that processes its
// response. The response is good, failed, lost or duplicated. After a failure
// or a loss the call may be attempted again.
func (tr *tree) attempt(child string, depth int, a *Allowance, calls int) func() {
	g := a.Grant(calls)
	unspent := tr.execute(child, depth+1, g.Count())
	return func() {
		result := rapid.SampledFrom([]string{"good", "good", "failed", "lost", "duplicated"}).Draw(tr.t, "fate")
		switch result {
		case "lost":
			g.Forfeit()
			g.Return(unspent) // the late response of the abandoned attempt
		case "duplicated":
			g.Return(unspent)
			g.Return(unspent + 1)
		default:
			g.Return(unspent)
		}
		if (result == "failed" || result == "lost") && a.Spend() {
			tr.retries++
			tr.attempt(child, depth, a, calls)()
		}
	}
}

// Guards against exceeding the limit on retries and executions in call trees up
// to 29 deep with fan-out, concurrent children, lost and duplicated responses,
// and callers that retry.
func TestRetriesStayWithinAllowance(t *testing.T) {
	deepest := 0
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Uint32Range(0, 8).Draw(t, "limit")
		entry := NewCallerRetries(0, 0)
		tr := &tree{t: t, executions: map[string]int{}}
		attempts := rapid.Uint32Range(1, 12).Draw(t, "attempts of the caller")
		for n := range attempts {
			// The attempt number is stated by the caller and may be wrong.
			claim := Claim{Caller: "c", Identity: "k", Attempt: n * rapid.Uint32Range(0, 1).Draw(t, "honest")}
			a, err := entry.Admit(start, claim, limit)
			if err != nil {
				require.Equal(t, outcome.RetryBound, err.Reason)
				continue
			}
			if n > 0 {
				tr.retries++
			}
			tr.attempt("root", 0, a, 1)()
		}
		require.LessOrEqual(t, tr.retries, int(limit))
		for name, executions := range tr.executions {
			require.LessOrEqual(t, executions, int(limit)+1, name)
			deepest = max(deepest, len(name))
		}
	})
	require.Equal(t, len("root")+2*(maxDepth-1), deepest, "no tree was as deep as the longest chain")
}

// Guards against a cooperative caller that exceeds the bound by sending to many
// entry nodes. The caller keeps an Allowance and states the parts that it
// grants in its claims.
func TestCallerRetriesAcrossSeveralEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Uint32Range(0, 8).Draw(t, "limit")
		caller := NewAllowance(limit)
		tr := &tree{t: t, executions: map[string]int{}}
		for n := uint32(0); n == 0 || caller.Spend(); n++ {
			if n > 0 {
				tr.retries++
			}
			g := caller.Grant(1)
			entry := NewCallerRetries(0, 0)
			claim := Claim{Caller: "c", Identity: "k", Attempt: n, Remaining: g.Count(), HasRemaining: true}
			a, err := entry.Admit(start, claim, limit)
			require.Nil(t, err)
			tr.attempt("root", 0, a, 1)()
			if rapid.Bool().Draw(t, "answered") {
				g.Return(a.Available())
			}
		}
		require.LessOrEqual(t, tr.retries, int(limit))
	})
}

// chain sends a call down a chain whose last service refuses everything,
// retries as Failure permits, and returns the number of attempts that reached
// the last service.
func chain(depth int, granted uint32) (attempts int, unspent uint32, err *outcome.Error) {
	if depth == 0 {
		return 1, granted, outcome.New(outcome.NotRun, outcome.Overloaded, "")
	}
	a := NewAllowance(granted)
	for retries := 0; ; retries++ {
		g := a.Grant(1)
		n, left, err := chain(depth-1, g.Count())
		attempts += n
		g.Return(left)
		failure := Failure{Err: err, Granted: g.Count(), Unspent: left}
		if !failure.Retryable() || !a.Spend() {
			return attempts, a.Close(), failure.FinalError(retries)
		}
	}
}

// Guards against retries that multiply along the chain during an outage, and
// against services that retry what a service further down has already exhausted
// its attempts on.
func TestOutageAtLastServiceOfChain(t *testing.T) {
	for _, depth := range []int{1, 2, 4, 8, maxDepth} {
		for _, limit := range []uint32{0, 1, 3, 8} {
			attempts, _, err := chain(depth, limit)
			t.Logf("depth %d, allowance %d: %d attempts at the last service", depth, limit, attempts)
			require.LessOrEqual(t, attempts, int(limit)+1)
			require.Equal(t, limit == 0, err.Retryable(false))
		}
	}
}

// Guards against a table that exceeds its size, against records that outlive
// the retention, and against an attempt number above the limit that is
// admitted.
func TestCallerRetriesTableIsBounded(t *testing.T) {
	r := NewCallerRetries(100, time.Minute)
	for i := range 1000 {
		_, err := r.Admit(start, Claim{Caller: "c", Identity: fmt.Sprint(i)}, 3)
		require.Nil(t, err)
	}
	require.Equal(t, 100, r.Len())
	_, err := r.Admit(start.Add(time.Hour), Claim{Caller: "c", Identity: "new"}, 3)
	require.Nil(t, err)
	require.Equal(t, 1, r.Len())
	_, err = r.Admit(start, Claim{Caller: "c", Identity: "unseen", Attempt: 4}, 3)
	require.Equal(t, outcome.RetryBound, err.Reason)
}

// Guards against an edge that sends more retries than its ratio allows.
func TestEdgeBudgetHoldsRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0.01, 0.5).Draw(t, "ratio")
		b := NewEdgeBudget(start, ratio)
		now, first, retries := start, 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first") {
				b.RecordFirstAttempt(now)
				first++
			} else if b.Spend(now) {
				retries++
			}
		}
		bound := ratio*float64(first) + minRetriesPerSecond*now.Sub(start).Seconds() + maxTokens
		require.LessOrEqual(t, float64(retries), bound+1e-6)
	})
}

// Guards against delays outside of their range, and against equal delays that
// make callers retry at the same time.
func TestBackoffIsJittered(t *testing.T) {
	b := NewBackoff(1, 0, 0)
	seen := map[time.Duration]bool{}
	for n := range 100 {
		delay := b.Delay(n, 0)
		seen[delay] = true
		require.GreaterOrEqual(t, delay, DefaultBaseDelay/2)
		require.LessOrEqual(t, delay, DefaultMaxDelay)
		suggested := b.Delay(n, time.Second)
		require.GreaterOrEqual(t, suggested, time.Second)
		require.LessOrEqual(t, suggested, 3*time.Second/2)
	}
	require.Greater(t, len(seen), 90)
}

func BenchmarkGrantAndReturn(b *testing.B) {
	a := NewAllowance(5)
	b.ReportAllocs()
	for b.Loop() {
		g := a.Grant(1)
		g.Return(g.Count())
	}
}

// Guards against a retry that is not deducted from the budgets, that cannot
// finish in time, or that waits although another target can take the call.
func TestCallSpendsBudgetForRetries(t *testing.T) {
	sender := Sender{Budget: NewEdgeBudget(start, 0.1), Backoff: NewBackoff(1, 0, 0)}
	a := NewAllowance(2)
	c := NewCall(sender, a, 1)
	require.EqualValues(t, 1, c.Attempt(start))
	c.NotSent()
	down := Failure{Err: outcome.New(outcome.NotRun, outcome.ConnectFailed, "")}
	wait, err := c.Retry(start, down, time.Second)
	require.Nil(t, err)
	require.Zero(t, wait)
	c.Attempt(start)
	c.ResponseLost()
	refused := Failure{Err: outcome.New(outcome.NotRun, outcome.Overloaded, "")}
	_, err = c.Retry(start, refused, time.Second)
	require.Equal(t, outcome.RetryBound, err.Reason)
	require.Equal(t, 1, c.Retries())
	_, err = NewCall(sender, NewAllowance(2), 1).Retry(start, refused, time.Millisecond)
	require.Equal(t, outcome.Overloaded, err.Reason)
	for sender.Budget.Spend(start) {
	}
	_, err = NewCall(sender, NewAllowance(2), 1).Retry(start, refused, time.Second)
	require.Equal(t, outcome.Overloaded, err.Reason)
}
