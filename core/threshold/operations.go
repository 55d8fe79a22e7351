package threshold

import (
	"slices"
	"sync"
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
)

const (
	// essentialShare is the minimum share of requests that fail when a call is rejected
	// for the call to be essential. It is below 1 because requests also succeed by
	// chance, for example because the target has cached a response.
	essentialShare = 0.8
	// minFailures is the number of failed requests needed before a call is considered
	// essential. A single failure may be a coincidence.
	minFailures = 2
	// minCalls is the number of requests that made a call from which on the call is
	// considered essential while nothing is known about rejections.
	minCalls = 4
	// evidenceDecay multiplies the evidence with each new request, so that about the
	// latest 20 requests count.
	evidenceDecay = 0.95
	// evidenceTTL is the time without new requests after which evidence is dropped,
	// because a new version of the target may behave differently.
	evidenceTTL = 10 * time.Minute
	// maxDependencies limits the number of calls tracked per operation.
	maxDependencies = 256
)

// Operations learns on which calls the operations of the node's own target depend, and
// determines the operation thresholds to report.
type Operations struct {
	downstream *Downstream
	callLimits CallLimits
	mu         sync.Mutex
	operations map[string]map[Dependency]*evidence
	// successRates tracks the failed requests of each operation.
	successRates map[string]*successRate
}

// evidence counts requests during which a call was rejected, by whether they failed.
type evidence struct {
	failed    float64
	succeeded float64
	// callCount counts requests that made the call, whatever its result.
	callCount float64
	latest    time.Time
}

// NewOperations returns an Operations without evidence that uses the learned thresholds
// in downstream.
func NewOperations(downstream *Downstream) *Operations {
	return &Operations{
		downstream:   downstream,
		operations:   make(map[string]map[Dependency]*evidence),
		successRates: make(map[string]*successRate),
	}
}

// Threshold returns the operation threshold to report. It is the minimum of
// gateThreshold, which is the threshold of the node's own gate, of the threshold
// derived from the share of failed requests of the operation, and of the learned
// thresholds and the limits of the calls that are essential for the operation. A gateThreshold of zero
// means that none is known.
func (o *Operations) Threshold(now time.Time, operation string, gateThreshold outcome.Level) outcome.Level {
	lowest := gateThreshold
	if lowest == 0 {
		lowest = outcome.MaxLevel
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if s := o.successRates[operation]; s != nil {
		lowest = min(lowest, s.at(now))
	}
	return min(lowest, o.callThreshold(now, operation))
}

// Essential reports whether the evidence shows that requests of the operation fail when
// the call is rejected.
func (o *Operations) Essential(now time.Time, operation string, called Dependency) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	e := o.operations[operation][called]
	return e != nil && e.essential(now)
}

// essential reports whether requests fail when the call is rejected.
func (e *evidence) essential(now time.Time) bool {
	if now.Sub(e.latest) > evidenceTTL {
		return false
	}
	if e.failed < minFailures*evidenceDecay {
		// A call that is made regularly counts as essential until a request succeeds
		// despite its rejection. Waiting for failures would waste the work of the first
		// requests.
		return e.callCount >= minCalls && e.succeeded == 0
	}
	return e.failed >= essentialShare*(e.failed+e.succeeded)
}

// A Run is one request of an operation of the node's own target.
type Run struct {
	operations *Operations
	operation  string
	level      outcome.Level
	// refused holds the calls that were rejected because of their level, in the order
	// of the rejections. It is guarded by the mutex of operations.
	refused []Dependency
	// called holds the calls that the request made.
	called []Dependency
	// callFailed is set when a call of the request failed for any reason.
	callFailed bool
	// completed counts the calls that were completed for the request, including the
	// calls made further downstream.
	completed uint32
	waits     waits
}

// Start begins a request of a level. A request that is never finished leaves no state.
func (o *Operations) Start(operation string, level outcome.Level) *Run {
	return &Run{operations: o, operation: operation, level: level}
}

// CallRefused records that a call of this request finally failed because of its level:
// the sender rejected it, or Response.Doomed is true.
func (r *Run) CallRefused(called Dependency) {
	r.operations.mu.Lock()
	defer r.operations.mu.Unlock()
	r.refused = append(r.refused, called)
}

// CallStarted records that the request made a call.
func (r *Run) CallStarted(called Dependency) {
	r.operations.mu.Lock()
	defer r.operations.mu.Unlock()
	if !slices.Contains(r.called, called) {
		r.called = append(r.called, called)
	}
}

// CallFailed records that a call of this request failed.
func (r *Run) CallFailed() {
	r.operations.mu.Lock()
	defer r.operations.mu.Unlock()
	r.callFailed = true
}

// CallCompleted records that a call of this request was completed, and that below
// further calls were completed downstream for that call.
func (r *Run) CallCompleted(below uint32) {
	r.operations.mu.Lock()
	defer r.operations.mu.Unlock()
	r.completed += 1 + below
}

// CompletedCalls returns the number of calls that were completed for this request.
func (r *Run) CompletedCalls() uint32 {
	r.operations.mu.Lock()
	defer r.operations.mu.Unlock()
	return r.completed
}

// HadFailedCall reports whether a call of this request failed, in which case a failure
// of the request does not indicate a fault of the target.
func (r *Run) HadFailedCall() bool {
	r.operations.mu.Lock()
	defer r.operations.mu.Unlock()
	return r.callFailed
}

// Finish ends the request. A request has failed if its response has an error status or
// is missing. A failure is attributed only to the latest rejected call, because the
// request continued after the earlier ones. If several calls were rejected, the
// evidence has a lower weight, because concurrent calls may be rejected in any order.
func (r *Run) Finish(now time.Time, failed bool) {
	r.operations.mu.Lock()
	defer r.operations.mu.Unlock()
	refused := r.refused
	r.refused = nil
	for _, called := range r.called {
		if e := r.operations.evidence(now, r.operation, called); e != nil {
			e.callCount = e.callCount*evidenceDecay + 1
			e.latest = now
		}
	}
	r.operations.recordFinished(now, r, failed)
	r.called = nil
	if len(refused) == 0 {
		return
	}
	if failed {
		latest := refused[len(refused)-1]
		r.operations.addEvidence(now, r.operation, latest, 1/float64(len(refused)), 0)
		return
	}
	for _, called := range refused {
		r.operations.addEvidence(now, r.operation, called, 0, 1)
	}
}

// recordFinished counts a finished request of an operation that makes calls.
func (o *Operations) recordFinished(now time.Time, r *Run, failed bool) {
	if len(r.called) == 0 || failed && o.limited(now, r.operation) {
		return
	}
	s := o.successRates[r.operation]
	if s == nil {
		if len(o.successRates) >= maxOperations {
			return
		}
		s = &successRate{}
		o.successRates[r.operation] = s
	}
	s.record(now, r.level, failed && r.callFailed)
}

// addEvidence adds evidence about a rejected call.
func (o *Operations) addEvidence(now time.Time, operation string, called Dependency, failed, succeeded float64) {
	e := o.evidence(now, operation, called)
	if e == nil {
		return
	}
	e.failed = e.failed*evidenceDecay + failed
	e.succeeded = e.succeeded*evidenceDecay + succeeded
	e.latest = now
}

// evidence returns the evidence about a call, which is empty if none exists or it has
// expired. It returns nil if the operation has too many calls.
func (o *Operations) evidence(now time.Time, operation string, called Dependency) *evidence {
	calls := o.operations[operation]
	if calls == nil {
		calls = make(map[Dependency]*evidence)
		o.operations[operation] = calls
	}
	e := calls[called]
	if e != nil && now.Sub(e.latest) <= evidenceTTL {
		return e
	}
	if e == nil && len(calls) >= maxDependencies {
		return nil
	}
	e = &evidence{latest: now}
	calls[called] = e
	return e
}
