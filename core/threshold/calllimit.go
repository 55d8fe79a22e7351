package threshold

import (
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// A CallLimit returns the highest level whose calls of an operation this node can
// complete, for a reason that is not a threshold of the called operation: for example,
// because the retries that further calls need exceed the retry budget.
type CallLimit func(now time.Time, called Dependency) outcome.Level

// LimitCalls sets the limit of the calls. It lowers what Threshold returns for the
// operations for which the calls are essential; the calls themselves are not refused,
// because the requests that make them are running. It must be called before any other
// method.
func (o *Operations) LimitCalls(limit CallLimit) { o.callLimit = limit }

// callThreshold returns the highest level up to which a call is assumed to succeed.
func (o *Operations) callThreshold(now time.Time, called Dependency) outcome.Level {
	learned := o.downstream.Threshold(now, called)
	if o.callLimit == nil {
		return learned
	}
	return min(learned, o.callLimit(now, called))
}
