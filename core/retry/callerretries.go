package retry

import (
	"container/list"
	"sync"
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
)

const (
	// DefaultMaxRoots is the default maximum number of root requests that an
	// entry node remembers.
	DefaultMaxRoots = 16384
	// DefaultRetention is the default time for which an entry node remembers a
	// root request after its latest attempt. A later retry is charged by its
	// attempt number alone.
	DefaultRetention = time.Minute
)

// A Claim is what a caller states about an attempt that it sends to an entry
// node. Only Caller is verified.
type Claim struct {
	// Caller is the authenticated name of the caller.
	Caller string
	// Identity identifies the request among those of the caller. It is its
	// idempotency key or its root ID. If it is empty, every attempt is a new
	// root request.
	Identity string
	// Attempt is the value of the attempt number header, 0 for the first
	// attempt.
	Attempt uint32
	// Remaining is the value of the remaining allowance header. It is used only
	// if HasRemaining is true.
	Remaining    uint32
	HasRemaining bool
}

// CallerRetries recognizes attempts of callers that belong to the same root
// request, so that all of them use one Allowance. The first attempt of a root
// request costs nothing; every further one costs one retry.
//
// A retry that reaches the same entry node is recognized by caller and
// identity, whatever its headers claim. A retry that reaches another entry node
// is recognized only by its headers: the attempts made so far are subtracted
// from the limit, and the claimed remainder can only lower the result further.
// A caller that uses the client package therefore stays within the bound across
// all entry nodes; for a caller that conceals its retries, the bound holds for
// each entry node separately.
//
// CallerRetries is safe for concurrent use. Its memory is bounded: when the
// table is full, the request whose latest attempt is oldest is removed.
type CallerRetries struct {
	mu        sync.Mutex
	size      int
	retention time.Duration
	records   map[rootKey]*list.Element
	// byRecency holds *rootRecord values, ordered by latest attempt, the most
	// recent first.
	byRecency *list.List
}

type rootKey struct{ caller, identity string }

type rootRecord struct {
	key       rootKey
	latest    time.Time
	allowance *Allowance
}

// NewCallerRetries returns an empty table. A size or retention of zero or less
// means the default.
func NewCallerRetries(size int, retention time.Duration) *CallerRetries {
	if size <= 0 {
		size = DefaultMaxRoots
	}
	if retention <= 0 {
		retention = DefaultRetention
	}
	return &CallerRetries{
		size:      size,
		retention: retention,
		records:   make(map[rootKey]*list.Element),
		byRecency: list.New(),
	}
}

// Admit returns the allowance that an attempt of a caller uses; limit is the
// retry allowance of the root request in the catalogue. If the allowance is
// exhausted, the error has outcome not run and reason retry_bound. The entry
// node must not close the allowance, because a retry of the caller may follow;
// it reports Available to the caller as the remaining allowance.
func (r *CallerRetries) Admit(now time.Time, claim Claim, limit uint32) (*Allowance, *outcome.Error) {
	if claim.Identity == "" {
		return fromHeaders(claim, limit)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	key := rootKey{claim.Caller, claim.Identity}
	if element, ok := r.records[key]; ok {
		return r.chargeRetry(now, element)
	}
	allowance, err := fromHeaders(claim, limit)
	if err != nil {
		return nil, err
	}
	r.add(&rootRecord{key: key, latest: now, allowance: allowance})
	return allowance, nil
}

// Len returns the number of root requests in the table.
func (r *CallerRetries) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.records)
}

// chargeRetry charges one retry to the allowance of a known root request.
func (r *CallerRetries) chargeRetry(now time.Time, element *list.Element) (*Allowance, *outcome.Error) {
	record := element.Value.(*rootRecord)
	record.latest = now
	r.byRecency.MoveToFront(element)
	if !record.allowance.Spend() {
		return nil, allowanceExhausted()
	}
	return record.allowance, nil
}

// fromHeaders derives the allowance of a root request that is not in the table.
func fromHeaders(claim Claim, limit uint32) (*Allowance, *outcome.Error) {
	limit = min(limit, MaxAllowance)
	if claim.Attempt > limit {
		return nil, allowanceExhausted()
	}
	left := limit - claim.Attempt
	if claim.HasRemaining {
		left = min(left, claim.Remaining)
	}
	return NewAllowance(left), nil
}

func allowanceExhausted() *outcome.Error {
	return outcome.New(outcome.NotRun, outcome.RetryBound, "the retry allowance of the request is spent")
}

func (r *CallerRetries) add(record *rootRecord) {
	if len(r.records) >= r.size {
		r.remove(r.byRecency.Back())
	}
	r.records[record.key] = r.byRecency.PushFront(record)
}

// expire removes root requests whose latest attempt is older than the
// retention.
func (r *CallerRetries) expire(now time.Time) {
	for e := r.byRecency.Back(); e != nil; e = r.byRecency.Back() {
		if now.Sub(e.Value.(*rootRecord).latest) < r.retention {
			return
		}
		r.remove(e)
	}
}

func (r *CallerRetries) remove(element *list.Element) {
	record := r.byRecency.Remove(element).(*rootRecord)
	delete(r.records, record.key)
}
