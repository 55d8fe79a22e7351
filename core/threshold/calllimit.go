package threshold

import (
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// CallLimits limits the calls of a node for a reason that is not a threshold of the
// called operation: for example, because the retries that further calls need exceed the
// retry budget.
type CallLimits interface {
	// Enabled reports whether calls are limited where necessary.
	Enabled() bool
	// Limit returns the highest level whose calls of an operation this node can complete.
	Limit(now time.Time, called Dependency) outcome.Level
}

// LimitCalls sets the limits of the calls. They lower what Threshold returns for the
// operations for which the calls are essential; the calls themselves are not refused,
// because the requests that make them are running. It must be called before any other
// method.
func (o *Operations) LimitCalls(limits CallLimits) { o.callLimits = limits }

func (o *Operations) limitsCalls() bool { return o.callLimits != nil && o.callLimits.Enabled() }

// callThreshold returns the highest level up to which the essential calls of an
// operation are assumed to succeed.
func (o *Operations) callThreshold(now time.Time, operation string) outcome.Level {
	lowest, limited := outcome.MaxLevel, o.limitsCalls()
	for called, e := range o.operations[operation] {
		if !e.essential(now) {
			continue
		}
		lowest = min(lowest, o.downstream.Threshold(now, called))
		if limited {
			lowest = min(lowest, o.callLimits.Limit(now, called))
		}
	}
	return lowest
}

// limited reports whether the essential calls of an operation are limited. Failures of
// its requests then do not lower the threshold further: the limit takes them into
// account, and requests that run when it begins would otherwise close the operation also
// for the levels that it admits.
func (o *Operations) limited(now time.Time, operation string) bool {
	return o.limitsCalls() && o.callThreshold(now, operation) < outcome.MaxLevel
}

// Doomed reports whether a request that has arrived at this node would fail because of a
// call. The sender may not know that yet: an entry node that sends few requests of an
// operation learns of a threshold only with its next response. level includes the
// priority boost. It returns false unless calls are limited.
func (o *Operations) Doomed(now time.Time, operation string, level outcome.Level) bool {
	if !o.limitsCalls() {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return level > o.callThreshold(now, operation)
}
