package retry

import (
	"math"
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
)

const (
	// steadyTime and steadySamples bound the evidence of the steady estimate: it decays
	// with this time constant, and about the latest samples alone count if there are
	// many. Its noise moves the limit, so it is slow.
	steadyTime    = time.Second
	steadySamples = 128
	// quickTime and quickSamples are the same for the quick estimate, which notices the
	// begin and the end of a fault before much of the budget is spent.
	quickTime    = 250 * time.Millisecond
	quickSamples = 16
	// changeMargin is the difference between the two estimates that proves a change,
	// about three standard deviations of the quick one. The steady estimate then begins
	// anew with the evidence of the quick one, if that has minSamples.
	changeMargin = 0.25
	// minSamples is the number of results needed for a limit. Fewer may be a coincidence.
	minSamples = 8
	// endChance is the greatest chance of a series of results without a refusal that
	// counts as proof that the refusals have ended. The estimates then begin anew.
	endChance = 0.001
	// evidenceTime is the age of the latest result from which on there is no evidence.
	evidenceTime = 2 * time.Second
	// priorSamples is the weight of the share of all classes in the share of one class.
	// A class with few results therefore has the share of all, while refusals that
	// concern only low classes do not count against high ones.
	priorSamples = 8
)

// refusals measures the share of sends that targets refuse, by class.
type refusals struct {
	steady, quick byClass
	latest        time.Time
	// run is the number of results since the latest refusal.
	run int
	// since is when the share became significant; it is zero while it is not.
	since time.Time
}

// byClass holds decaying counts of results for each class.
type byClass [classCount]tally

type tally struct{ refused, total float64 }

// record adds a result and lets the earlier ones decay.
func (c *byClass) record(class outcome.Class, refused bool, elapsed, timeConstant time.Duration, samples float64) {
	factor := math.Exp(-float64(elapsed)/float64(timeConstant)) * (1 - 1/samples)
	for i := range c {
		c[i] = tally{c[i].refused * factor, c[i].total * factor}
	}
	c[class].total++
	if refused {
		c[class].refused++
	}
}

// all returns the counts of all classes.
func (c *byClass) all() tally {
	var sum tally
	for _, t := range c {
		sum.refused += t.refused
		sum.total += t.total
	}
	return sum
}

func (t tally) share() float64 { return t.refused / math.Max(t.total, 1) }

// record counts the result of one send that reached a target.
func (r *refusals) record(now time.Time, class outcome.Class, refused bool) {
	elapsed := max(now.Sub(r.latest), 0)
	r.latest = now
	r.steady.record(class, refused, elapsed, steadyTime, steadySamples)
	r.quick.record(class, refused, elapsed, quickTime, quickSamples)
	r.run++
	if refused {
		r.run = 0
	}
	if math.Pow(1-r.share(now), float64(r.run)) < endChance {
		r.steady, r.quick = byClass{}, byClass{}
	}
	quick := r.quick.all()
	if quick.total >= minSamples && math.Abs(quick.share()-r.steady.all().share()) > changeMargin {
		r.steady = r.quick
	}
}

// share returns the share of sends that are refused, or 0 without evidence.
func (r *refusals) share(now time.Time) float64 {
	if now.Sub(r.latest) > evidenceTime {
		return 0
	}
	return r.steady.all().share()
}

// significant reports whether there is evidence that targets refuse more than single
// sends.
func (r *refusals) significant(now time.Time) bool {
	few := r.since.IsZero() && r.steady.all().total < minSamples
	if few || r.share(now) < minRefusalShare {
		r.since = time.Time{}
		return false
	}
	if r.since.IsZero() {
		r.since = now
	}
	return true
}

// repeats returns the expected number of repeats of a call of a class, and the share of
// calls that need none.
func (r *refusals) repeats(now time.Time, class outcome.Class) (repeats, passed float64) {
	own := r.steady[class]
	p := (own.refused + priorSamples*r.share(now)) / (own.total + priorSamples)
	power := 1.0
	for range maxRepeats {
		power *= p
		repeats += power
	}
	return repeats, 1 - p
}
