package retry

import (
	"math"
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
)

const (
	// refusalTime and refusalSamples bound the evidence: it decays with this time
	// constant, and the latest samples alone count if there are many. A busy node
	// therefore measures a new share within some 100 ms, before much of the budget is
	// spent, and a quiet one has forgotten it after 2 s.
	refusalTime    = 500 * time.Millisecond
	refusalSamples = 64
	// evidenceTime is the age of the latest result from which on there is no evidence.
	evidenceTime = 2 * time.Second
	// minSamples is the number of results needed for a limit. Fewer may be a coincidence.
	minSamples = 6
	// priorSamples is the weight of the share of all classes in the share of one class.
	// A class with few results therefore has the share of all, while refusals that
	// concern only low classes do not count against high ones.
	priorSamples = 8
)

// refusals measures the share of sends that targets refuse, by class.
type refusals struct {
	classes [classCount]tally
	latest  time.Time
	// since is when the share became significant; it is zero while it is not.
	since time.Time
}

// tally holds decaying counts of results.
type tally struct{ refused, total float64 }

func (t tally) scaled(factor float64) tally { return tally{t.refused * factor, t.total * factor} }

// record counts the result of one send that reached a target.
func (r *refusals) record(now time.Time, class outcome.Class, refused bool) {
	factor := r.decay(now) * (1 - 1.0/refusalSamples)
	for i := range r.classes {
		r.classes[i] = r.classes[i].scaled(factor)
	}
	r.latest = now
	r.classes[class].total++
	if refused {
		r.classes[class].refused++
	}
}

// decay returns the factor by which the evidence has decayed since the latest result.
func (r *refusals) decay(now time.Time) float64 {
	return math.Exp(-float64(max(now.Sub(r.latest), 0)) / float64(refusalTime))
}

// all returns the counts of all classes at the time of the latest result.
func (r *refusals) all() tally {
	var sum tally
	for _, t := range r.classes {
		sum.refused += t.refused
		sum.total += t.total
	}
	return sum
}

// share returns the share of sends that are refused, or 0 without evidence.
func (r *refusals) share(now time.Time) float64 {
	sum := r.all()
	if now.Sub(r.latest) > evidenceTime || sum.total == 0 {
		return 0
	}
	return sum.refused / sum.total
}

// significant reports whether there is evidence that targets refuse more than single
// sends.
func (r *refusals) significant(now time.Time) bool {
	evidence := r.since.IsZero() && r.all().total < minSamples
	if evidence || r.share(now) < minRefusalShare {
		r.since = time.Time{}
		return false
	}
	if r.since.IsZero() {
		r.since = now
	}
	return true
}

// repeats returns the expected number of repeats of a call of a class.
func (r *refusals) repeats(now time.Time, class outcome.Class) float64 {
	own := r.classes[class]
	p := (own.refused + priorSamples*r.share(now)) / (own.total + priorSamples)
	sum, power := 0.0, 1.0
	for range maxRepeats {
		power *= p
		sum += power
	}
	return sum
}
