package gate

import (
	"math"
	"time"

	"github.com/primrosemount/primrosemount/core/limit"
	"github.com/primrosemount/primrosemount/core/outcome"
)

// Defaults and constants.
const (
	// DefaultTargetDelay is the standing queue delay that is accepted. A queue
	// of 5 ms keeps all slots in use and is small against usual deadlines.
	DefaultTargetDelay = 5 * time.Millisecond
	// DefaultWindow is the shortest time between two moves of the threshold.
	DefaultWindow = 50 * time.Millisecond
	// DefaultMaxWait is the time after which a queued request is stale. Its
	// caller then has time left to try another target.
	DefaultMaxWait = 250 * time.Millisecond

	// leastQueue is the smallest default queue.
	leastQueue = 8
	// delayIntervals is the standing queue in requests that is always accepted,
	// because slow targets with few slots start less often than every 5 ms.
	delayIntervals = 4
	// delayShare is the standing delay, as a share of the service time, that
	// is always accepted. Ends of slow requests come in bursts, and a shorter
	// queue would leave slots idle between them.
	delayShare = 0.5
	// hangTimes is the number of service times without any end after which a
	// target may hang.
	hangTimes = 4
	// windowOffers is the number of offers that closes a window early enough
	// for a good count; patience is the number of window lengths after which a
	// window closes with fewer.
	windowOffers = 20
	patience     = 10
	// longestGap is the number of window lengths after which an unused gate is
	// open for all levels.
	longestGap = 20
	// retryAfter is the suggested wait after a refusal for lack of room: some
	// windows, so that the threshold has moved. lowClassRetryAfter is for
	// classes of which nothing is admitted.
	retryAfter         = 200 * time.Millisecond
	lowClassRetryAfter = time.Second
	// never is a time that is not reached.
	never = time.Duration(math.MaxInt64 / 2)
)

// Sample is what the owner observed about one finished request.
type Sample = limit.Sample

// Config sets sizes and times of a Gate. Zero values select the defaults.
type Config struct {
	// Slots is the number of requests that the target processes at a time;
	// default limit.DefaultMax.
	Slots int
	// Queue is the number of requests that may wait; default as many as Slots.
	Queue int
	// TargetDelay is the accepted standing delay; default DefaultTargetDelay.
	TargetDelay time.Duration
	// MaxWait is the longest time in the queue; default DefaultMaxWait.
	MaxWait time.Duration
	// Window is the shortest time between two moves of the threshold; default
	// DefaultWindow.
	Window time.Duration
	// Limit configures the concurrency limit. Its Max is taken from Slots.
	Limit limit.Config
	// AdmitAll keeps the threshold at the highest level. It is for comparisons.
	AdmitAll bool
}

// Request is a request that asks for admission.
type Request struct {
	// ID is unique among the requests that are present.
	ID    uint64
	Level outcome.Level
	// PriorityBoost is the number of levels by which the request comes before others of its
	// level, within its class, for admission and in the queue. The threshold is
	// found from the demand by level, so it moves as if there were no leads.
	PriorityBoost outcome.Level
	// Deadline is the time by which the answer must be there; zero means none.
	Deadline time.Time
	// Operation is a number of the operation within its service. Service times
	// are estimated for each operation.
	Operation uint32
}

// place returns the level at which the request is admitted and queued.
func (r Request) place() outcome.Level { return r.Level.Boosted(r.PriorityBoost) }

// Kind is the kind of a decision or an event.
type Kind uint8

// Kinds of decisions.
const (
	// Start tells that the request goes to the target now.
	Start Kind = iota + 1
	// Queue tells that the request waits; Poll reports what follows.
	Queue
	// Refuse tells that the request does not run.
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

// Decision is the answer to an offer.
type Decision struct {
	Kind Kind
	// Reason is set for Refuse. The outcome is then not run.
	Reason outcome.Reason
	// RetryAfter is the suggested wait before a retry; 0: no suggestion.
	RetryAfter time.Duration
}

// Event is what became of a queued request: Start or Refuse.
type Event struct {
	ID uint64
	Decision
	// Waited is the time in the queue.
	Waited time.Duration
}

// Err returns the typed error of a refusal, and nil otherwise.
func (d Decision) Err() error {
	if d.Kind != Refuse {
		return nil
	}
	err := outcome.New(outcome.NotRun, d.Reason, "")
	err.RetryAfter = d.RetryAfter
	return err
}
