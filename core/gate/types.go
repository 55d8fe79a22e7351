package gate

import (
	"math"
	"time"

	"github.com/primrosemount/primrosemount/core/limit"
	"github.com/primrosemount/primrosemount/core/outcome"
)

// Default settings and constants.
const (
	// DefaultTargetDelay is the standing queue delay that is accepted. A queue of 5 ms
	// keeps all slots in use and is small compared with typical deadlines.
	DefaultTargetDelay = 5 * time.Millisecond
	// DefaultWindow is the minimum time between two adjustments of the threshold.
	DefaultWindow = 50 * time.Millisecond
	// DefaultMaxWait is the queue time after which a request is stale. It leaves the
	// caller time to try another target.
	DefaultMaxWait = 250 * time.Millisecond

	// minQueueSize is the minimum size of a queue whose size is not configured.
	minQueueSize = 8
	// minDelayIntervals is the standing queue length, in requests, that is always
	// accepted, because slow targets with few slots start requests less often than
	// every 5 ms.
	minDelayIntervals = 4
	// minDelayShare is the standing delay, as a share of the service time, that is
	// always accepted. Slow requests tend to end in bursts, and a shorter queue would
	// leave slots idle between them.
	minDelayShare = 0.5
	// hangServiceTimes is the number of service times without a finished request after
	// which the target may hang.
	hangServiceTimes = 4
	// minWindowOffers is the number of offers that make a window's counts reliable
	// enough to close it at its minimum length. After maxWindowLengths times the
	// minimum length, a window closes with fewer offers.
	minWindowOffers  = 20
	maxWindowLengths = 10
	// maxIdleWindows is the number of window lengths without any use after which a gate
	// admits all levels again.
	maxIdleWindows = 20
	// retryAfter is the suggested wait after a rejection for lack of capacity. It spans
	// several windows, so that the threshold has moved by then. lowClassRetryAfter
	// applies to classes of which nothing is admitted.
	retryAfter         = 200 * time.Millisecond
	lowClassRetryAfter = time.Second
	// never is a time that is not reached.
	never = time.Duration(math.MaxInt64 / 2)
)

// A Sample holds the measurements of one finished request.
type Sample = limit.Sample

// A Config holds the settings of a Gate. Zero values select the defaults.
type Config struct {
	// Slots is the number of requests that the target processes concurrently; the
	// default is limit.DefaultMax.
	Slots int
	// Queue is the number of requests that may be queued; the default is the number of
	// slots, but at least 8.
	Queue int
	// TargetDelay is the accepted standing queue delay; the default is
	// DefaultTargetDelay.
	TargetDelay time.Duration
	// MaxWait is the queue time after which a request is stale; the default is
	// DefaultMaxWait.
	MaxWait time.Duration
	// Window is the minimum time between two adjustments of the threshold; the default
	// is DefaultWindow.
	Window time.Duration
	// Limit configures the concurrency limit. Its Max is overridden by Slots.
	Limit limit.Config
	// AdmitAll keeps the threshold at the highest level. It is used as a baseline in
	// experiments.
	AdmitAll bool
}

// A Request describes a request that needs admission.
type Request struct {
	// ID is unique among the requests that are present in the gate.
	ID    uint64
	Level outcome.Level
	// PriorityBoost is the number of levels by which the request precedes others of its
	// level, within its class, for admission and in the queue. The threshold is
	// computed from the demand per level without the boost, so boosts do not move it.
	PriorityBoost outcome.Level
	// Deadline is the time by which the response has to be complete. The zero time
	// means that there is no deadline.
	Deadline time.Time
	// Operation is the number of the operation within its service. Service times are
	// estimated per operation.
	Operation uint32
}

// effectiveLevel returns the level at which the request is admitted and queued.
func (r Request) effectiveLevel() outcome.Level { return r.Level.Boosted(r.PriorityBoost) }

// A Kind is the kind of a decision or an event.
type Kind uint8

// The kinds of decisions.
const (
	// Start means that the request is sent to the target now.
	Start Kind = iota + 1
	// Queue means that the request waits; Poll reports the result.
	Queue
	// Refuse means that the request is rejected and does not run.
	Refuse
)

// String returns the kind in lower case.
func (k Kind) String() string {
	switch k {
	case Start:
		return "start"
	case Queue:
		return "queue"
	case Refuse:
		return "refuse"
	default:
		return "unknown"
	}
}

// A Decision is the result of an offer.
type Decision struct {
	Kind Kind
	// Reason is set if Kind is Refuse. The outcome of the request is then
	// outcome.NotRun.
	Reason outcome.Reason
	// RetryAfter is the suggested wait before a retry. Zero means no suggestion.
	RetryAfter time.Duration
}

// An Event reports that a queued request started or was rejected: its Kind is Start or
// Refuse.
type Event struct {
	ID uint64
	Decision
	// Waited is the time that the request spent in the queue.
	Waited time.Duration
}

// Err returns the typed error of a rejection, and nil for other decisions.
func (d Decision) Err() error {
	if d.Kind != Refuse {
		return nil
	}
	err := outcome.New(outcome.NotRun, d.Reason, "")
	err.RetryAfter = d.RetryAfter
	return err
}
