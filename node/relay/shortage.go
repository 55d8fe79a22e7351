package relay

import (
	"math/rand/v2"
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/core/retry"
	"github.com/primrosemount/primrosemount/core/threshold"
)

// ownShortage returns how long an operation of this node's target has been refused for
// some level, in milliseconds, as the gate report carries it.
func (l *retryLimits) ownShortage(now time.Time, route string, admits outcome.Level) uint64 {
	if !l.active() {
		return 0
	}
	age := l.own.Observe(now, threshold.Dependency{Operation: route}, admits, 0)
	return uint64(age.Milliseconds())
}

// observeShortage records the threshold of the operation that a request calls and the
// age of its shortage as reported, in milliseconds, and returns the age.
func (l *retryLimits) observeShortage(o *outgoing, admits outcome.Level, reportedMillis uint64) time.Duration {
	if !l.active() {
		return 0
	}
	reported := time.Duration(min(reportedMillis, maxShortageMillis)) * time.Millisecond
	return l.called.Observe(time.Now(), o.dependency(), admits, reported)
}

// maxShortageMillis bounds a reported age, which another process supplies. Older
// shortages are treated alike.
const maxShortageMillis = uint64(time.Hour / time.Millisecond)

// retryAfter returns the wait to suggest to a client whose request failed. told is the
// wait that the refusing node suggested; it is kept unless a shortage is the cause and
// its age is known.
func (l *retryLimits) retryAfter(o *outgoing, reason outcome.Reason, told time.Duration) time.Duration {
	if !l.active() || !causedByShortage(reason) {
		return told
	}
	now := time.Now()
	age := l.called.Age(now, o.dependency())
	if limit := l.find(o.message.GetService()); limit != nil {
		age = max(age, limit.State(now).RefusedFor)
	}
	if age == 0 {
		return told
	}
	return retry.RetryAfter(age, rand.Float64())
}

// causedByShortage reports whether a request was refused because more was asked for than
// the targets accept, so that the refusal lasts as long as the shortage.
func causedByShortage(reason outcome.Reason) bool {
	switch reason {
	case outcome.Overloaded, outcome.EvictedFromQueue, outcome.DeadlineUnmeetable, outcome.DoomedDownstream, outcome.TargetRefused:
		return true
	default:
		return false
	}
}
