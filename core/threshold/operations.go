package threshold

import (
	"slices"
	"sync"
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
)

const (
	// essentialShare is the share of requests that fail when a call is refused
	// from which on the call counts as needed. It is below 1 because requests
	// also succeed by chance, for example from a cache of the target.
	essentialShare = 0.8
	// essentialEvidence is the number of failed requests needed before a call
	// counts; one alone may be a coincidence.
	essentialEvidence = 2
	// usedEvidence is the number of requests that made a call from which on it
	// counts as needed while nothing is known about refusals.
	usedEvidence = 4
	// evidenceDecay multiplies the evidence with each new request, so that about
	// the latest 20 requests count.
	evidenceDecay = 0.95
	// evidenceLife is the time after which evidence without new requests is
	// dropped, since a new version of the target may behave differently.
	evidenceLife = 10 * time.Minute
	// maxDependencies bounds the calls that are kept per operation.
	maxDependencies = 256
)

// Operations learns on which calls the operations of the own target depend.
type Operations struct {
	downstream *Downstream
	mu         sync.Mutex
	operations map[string]map[Dependency]*evidence
	// successes holds the share of failed requests of each operation.
	successes map[string]*success
}

// evidence counts requests during which a call was refused.
type evidence struct {
	failed   float64
	survived float64
	// used counts requests that made the call, whatever became of it.
	used   float64
	latest time.Time
}

// NewOperations returns an empty table over the learned thresholds of the calls.
func NewOperations(downstream *Downstream) *Operations {
	return &Operations{
		downstream: downstream,
		operations: make(map[string]map[Dependency]*evidence),
		successes:  make(map[string]*success),
	}
}

// Threshold returns the operation threshold to report: the lowest of own, the
// threshold of the own gate, what the success of the operation's requests allows,
// and the learned thresholds of the calls that the operation needs. An own threshold of zero means that none is known.
func (o *Operations) Threshold(now time.Time, operation string, own outcome.Level) outcome.Level {
	lowest := own
	if lowest == 0 {
		lowest = outcome.MaxLevel
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if s := o.successes[operation]; s != nil {
		lowest = min(lowest, s.at(now))
	}
	for called, e := range o.operations[operation] {
		if e.essential(now) {
			lowest = min(lowest, o.downstream.Threshold(now, called))
		}
	}
	return lowest
}

// Essential tells whether requests of the operation are known to fail when the
// call is refused.
func (o *Operations) Essential(now time.Time, operation string, called Dependency) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	e := o.operations[operation][called]
	return e != nil && e.essential(now)
}

func (e *evidence) essential(now time.Time) bool {
	if now.Sub(e.latest) > evidenceLife {
		return false
	}
	if e.failed < essentialEvidence*evidenceDecay {
		// A call that is always made counts as needed until a request survives
		// its refusal; waiting for failures would cost the first ones.
		return e.used >= usedEvidence && e.survived == 0
	}
	return e.failed >= essentialShare*(e.failed+e.survived)
}

// Run is one request of an operation of the own target.
type Run struct {
	operations *Operations
	operation  string
	level      outcome.Level
	// refused holds the calls that were refused because of their level, in the
	// order of the refusals. It is guarded by the lock of operations.
	refused []Dependency
	called  []Dependency
	// callFailed is set when a call of the request failed for any reason.
	callFailed bool
	// completed counts the calls that were completed for the request, at all levels
	// below it.
	completed uint32
}

// Start begins a request of a level. Requests that are not finished leave nothing
// behind.
func (o *Operations) Start(operation string, level outcome.Level) *Run {
	return &Run{operations: o, operation: operation, level: level}
}

// CallRefused notes that a call of this request finally failed because of its level:
// the sender refused it, or Response.Doomed is true.
func (r *Run) CallRefused(called Dependency) {
	r.operations.mu.Lock()
	defer r.operations.mu.Unlock()
	r.refused = append(r.refused, called)
}

// CallStarted notes that the request made a call.
func (r *Run) CallStarted(called Dependency) {
	r.operations.mu.Lock()
	defer r.operations.mu.Unlock()
	if !slices.Contains(r.called, called) {
		r.called = append(r.called, called)
	}
}

// CallFailed notes that a call of this request failed.
func (r *Run) CallFailed() {
	r.operations.mu.Lock()
	defer r.operations.mu.Unlock()
	r.callFailed = true
}

// CallCompleted notes that a call of this request was completed, and below the
// calls that were completed for that one.
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

// HadFailedCall tells whether a call of this request failed, so that a failure of
// the request says nothing about the target.
func (r *Run) HadFailedCall() bool {
	r.operations.mu.Lock()
	defer r.operations.mu.Unlock()
	return r.callFailed
}

// Finish ends the request. It failed if its answer has an error status or is
// missing. After a failure only the latest refusal is blamed, because the request
// went on after the earlier ones; with several refusals it counts for less, since
// concurrent calls may be refused in any order.
func (r *Run) Finish(now time.Time, failed bool) {
	r.operations.mu.Lock()
	defer r.operations.mu.Unlock()
	refused := r.refused
	r.refused = nil
	for _, called := range r.called {
		if e := r.operations.evidence(now, r.operation, called); e != nil {
			e.used = e.used*evidenceDecay + 1
			e.latest = now
		}
	}
	r.operations.noteSuccess(now, r, failed)
	r.called = nil
	if len(refused) == 0 {
		return
	}
	if failed {
		latest := refused[len(refused)-1]
		r.operations.note(now, r.operation, latest, 1/float64(len(refused)), 0)
		return
	}
	for _, called := range refused {
		r.operations.note(now, r.operation, called, 0, 1)
	}
}

// noteSuccess counts a finished request of an operation that makes calls.
func (o *Operations) noteSuccess(now time.Time, r *Run, failed bool) {
	if len(r.called) == 0 {
		return
	}
	s := o.successes[r.operation]
	if s == nil {
		if len(o.successes) >= maxOperations {
			return
		}
		s = &success{}
		o.successes[r.operation] = s
	}
	s.note(now, r.level, failed && r.callFailed)
}

// note adds evidence about a call.
func (o *Operations) note(now time.Time, operation string, called Dependency, failed, survived float64) {
	e := o.evidence(now, operation, called)
	if e == nil {
		return
	}
	e.failed = e.failed*evidenceDecay + failed
	e.survived = e.survived*evidenceDecay + survived
	e.latest = now
}

// evidence returns the evidence about a call, empty if it is new or old; nil if
// the operation has too many calls.
func (o *Operations) evidence(now time.Time, operation string, called Dependency) *evidence {
	calls := o.operations[operation]
	if calls == nil {
		calls = make(map[Dependency]*evidence)
		o.operations[operation] = calls
	}
	e := calls[called]
	if e != nil && now.Sub(e.latest) <= evidenceLife {
		return e
	}
	if e == nil && len(calls) >= maxDependencies {
		return nil
	}
	e = &evidence{latest: now}
	calls[called] = e
	return e
}
