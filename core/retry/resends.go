package retry

import (
	"container/list"
	"sync"
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
)

const (
	// DefaultMaxRoots is the number of root requests that an entry remembers.
	DefaultMaxRoots = 16384
	// DefaultRetention is how long an entry remembers a root request after its
	// latest attempt. A later resend is charged by its attempt number alone.
	DefaultRetention = time.Minute
)

// Claim is what a caller says about an attempt at the entry.
type Claim struct {
	// Caller is the authenticated name of the caller.
	Caller string
	// Identity names the request within the caller: its idempotency key or its
	// root id. Empty means that every attempt is a new root request.
	Identity string
	// Attempt is the attempt number header, 0 for the first attempt.
	Attempt uint32
	// Remaining is the remaining allowance header, used if HasRemaining is true.
	Remaining    uint32
	HasRemaining bool
}

// CallerRetries recognises attempts of callers that belong to the same root
// request, so that all of them use one Allowance. The first attempt of a root
// request is free, every further one costs one retry.
//
// A resend that reaches the same entry is recognised by caller and identity,
// whatever its headers claim. A resend that reaches another entry is recognised
// by its headers only: the attempts made so far are subtracted from the limit,
// and the claimed remainder can lower the result further, never raise it. A
// caller with the client package therefore stays within the bound across all
// entries; a caller that hides its resends does so per entry.
//
// It is owned by the entry and safe for concurrent use. Memory is bounded: the
// request with the oldest latest attempt is forgotten when the table is full.
type CallerRetries struct {
	mu       sync.Mutex
	size     int
	remember time.Duration
	records  map[rootKey]*list.Element
	// byAge holds *rootRecord, latest attempt first.
	byAge *list.List
}

type rootKey struct{ caller, identity string }

type rootRecord struct {
	key       rootKey
	latest    time.Time
	allowance *Allowance
}

// NewCallerRetries returns an empty table. A size or time of zero or less means
// the default.
func NewCallerRetries(size int, remember time.Duration) *CallerRetries {
	if size <= 0 {
		size = DefaultMaxRoots
	}
	if remember <= 0 {
		remember = DefaultRetention
	}
	return &CallerRetries{
		size:     size,
		remember: remember,
		records:  make(map[rootKey]*list.Element),
		byAge:    list.New(),
	}
}

// Admit returns the allowance that an attempt of a caller uses. The limit is the
// allowance in the catalogue. The error has outcome not run and reason
// retry_bound. The entry must not close the allowance, because a resend may
// follow; it tells the caller Remaining as the remainder.
func (r *CallerRetries) Admit(now time.Time, claim Claim, limit uint32) (*Allowance, *outcome.Error) {
	if claim.Identity == "" {
		return fromHeaders(claim, limit)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	key := rootKey{claim.Caller, claim.Identity}
	if element, ok := r.records[key]; ok {
		return r.resend(now, element)
	}
	allowance, err := fromHeaders(claim, limit)
	if err != nil {
		return nil, err
	}
	r.add(&rootRecord{key: key, latest: now, allowance: allowance})
	return allowance, nil
}

// Len returns the number of remembered root requests.
func (r *CallerRetries) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.records)
}

// resend charges a recognised resend.
func (r *CallerRetries) resend(now time.Time, element *list.Element) (*Allowance, *outcome.Error) {
	record := element.Value.(*rootRecord)
	record.latest = now
	r.byAge.MoveToFront(element)
	if !record.allowance.Spend() {
		return nil, bound()
	}
	return record.allowance, nil
}

// fromHeaders derives the allowance of a request that is not remembered.
func fromHeaders(claim Claim, limit uint32) (*Allowance, *outcome.Error) {
	limit = min(limit, MaxAllowance)
	if claim.Attempt > limit {
		return nil, bound()
	}
	left := limit - claim.Attempt
	if claim.HasRemaining {
		left = min(left, claim.Remaining)
	}
	return NewAllowance(left), nil
}

func bound() *outcome.Error {
	return outcome.New(outcome.NotRun, outcome.RetryBound, "the retry allowance of the request is spent")
}

func (r *CallerRetries) add(record *rootRecord) {
	if len(r.records) >= r.size {
		r.remove(r.byAge.Back())
	}
	r.records[record.key] = r.byAge.PushFront(record)
}

// expire forgets requests whose latest attempt is too old.
func (r *CallerRetries) expire(now time.Time) {
	for e := r.byAge.Back(); e != nil; e = r.byAge.Back() {
		if now.Sub(e.Value.(*rootRecord).latest) < r.remember {
			return
		}
		r.remove(e)
	}
}

func (r *CallerRetries) remove(element *list.Element) {
	record := r.byAge.Remove(element).(*rootRecord)
	delete(r.records, record.key)
}
