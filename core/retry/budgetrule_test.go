package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/core/retry"
)

const (
	// ruleStep is the time between two steps of a random load. It does not divide the slots
	// of the budget.
	ruleStep  = 30 * time.Millisecond
	ruleSteps = int(60 * time.Second / ruleStep)
)

// randomRates returns a rate for each step: bursts, steps and silences of 0.5 to 8 s.
func randomRates(r *rand.Rand, rates []float64) []float64 {
	result := make([]float64, 0, ruleSteps)
	for len(result) < ruleSteps {
		rate := rates[r.IntN(len(rates))]
		for range int((0.5 + 7.5*r.Float64()) * float64(time.Second) / float64(ruleStep)) {
			result = append(result, rate)
		}
	}
	return result[:ruleSteps]
}

// eventsIn returns a random number of events in a step at a rate per second.
func eventsIn(r *rand.Rand, perSecond float64) int {
	mean := perSecond * ruleStep.Seconds()
	count := int(mean)
	if r.Float64() < mean-float64(count) {
		count++
	}
	return count
}

// playBudgets plays a random load on nodes, of which each sends an equal share, and returns
// the first attempts and the retries by step.
func playBudgets(r *rand.Rand, nodes int, ratio, slack float64) (first, retries [ruleSteps]int) {
	budgets := make([]*retry.WindowBudget, nodes)
	for i := range budgets {
		budgets[i] = retry.NewWindowBudget(windowStart, ratio, slack)
	}
	load, wanted := randomRates(r, []float64{0, 20, 200, 1000}), randomRates(r, []float64{0, 0, 50, 500, 2000})
	for step := range ruleSteps {
		now := windowStart.Add(time.Duration(step) * ruleStep)
		for range eventsIn(r, load[step]) {
			budgets[r.IntN(nodes)].RecordFirstAttempt(now)
			first[step]++
		}
		for range eventsIn(r, wanted[step]) {
			kind := retry.Kind{Class: outcome.Class(r.IntN(int(outcome.Sheddable) + 1)), ChildCall: r.IntN(2) == 0}
			if budgets[r.IntN(nodes)].Spend(now, kind) {
				retries[step]++
			}
		}
	}
	return first, retries
}

// requireBudgetRule checks for every begin of a window that its retries are at most ratio
// times the first attempts of the window, the one half a window before it or the one that
// ended with its begin, plus slack.
func requireBudgetRule(t *testing.T, first, retries []int, ratio, slack float64) {
	// count returns the events at or after one time and before another.
	count := func(counts []int, from, until time.Duration) (total int) {
		step := func(at time.Duration) int { return min(max(int((at+ruleStep-1)/ruleStep), 0), len(counts)) }
		for _, n := range counts[step(from):step(until)] {
			total += n
		}
		return total
	}
	const window = retry.BudgetWindow
	for begin := -window; begin < time.Duration(len(first))*ruleStep; begin += ruleStep / 3 {
		earned := max(count(first, begin, begin+window), count(first, begin-window/2, begin+window/2), count(first, begin-window, begin))
		require.LessOrEqual(t, float64(count(retries, begin, begin+window)), ratio*float64(earned)+slack+1e-9, "window that begins at %v", begin)
	}
}

// Guards against a window with more retries than its own first attempts permit: what an
// earlier burst earned was spent early in a window for which the burst does not count.
func TestBudgetRuleInEveryWindow(t *testing.T) {
	for seed := range uint64(200) {
		first, retries := playBudgets(rand.New(rand.NewPCG(seed, 56)), 1, 0.2, 3)
		requireBudgetRule(t, first[:], retries[:], 0.2, 3)
	}
}

// Guards against nodes that each keep the rule and together break it, if all of them send
// an equal share of the load. Each node may use 0.85 of the ratio and a slack of 1.
func TestBudgetRuleInEveryWindowOfManyNodes(t *testing.T) {
	for seed := range uint64(40) {
		first, retries := playBudgets(rand.New(rand.NewPCG(seed, 5640)), 40, 0.17, 1)
		requireBudgetRule(t, first[:], retries[:], 0.2, 40)
	}
}

// Measures a decision while the budget is in use.
func BenchmarkWindowBudgetSpend(b *testing.B) {
	budget := retry.NewWindowBudget(windowStart, 0.2, 10)
	now := windowStart
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		budget.RecordFirstAttempt(now)
		budget.Spend(now, critical)
	}
}
