// Package leastshare decides which root requests are admitted before the order of
// classes counts.
//
// Model. In the order of classes, a lower class gets the capacity that the higher
// classes leave. While a service deep in the call graph has less capacity than the
// higher classes demand, a lower class gets nothing for as long as the shortage lasts.
// Each operation therefore has a least share: the minimum share of its requests that is
// admitted before the order of classes counts. Above the least shares the order of
// classes applies.
//
// Reaction. The entry node keeps an account for each operation of which it receives
// root requests. An arriving request adds the least share to the deficit of the
// operation; a served request subtracts one. When the deficit reaches a whole request,
// the next request is assured: it gets a level before those of all classes and keeps
// this level in all services. An operation whose requests are served anyway has no
// deficit, so the least share costs nothing while the demand fits the capacity.
//
// Bounds. The least share is at least a quarter and at most half of the share of all
// requests at the entry node that were served recently. The lower bound prevents an
// operation from being the only one that is not served. The upper bound prevents a
// large operation of a low class from displacing more important ones when little
// capacity is left.
//
// Memory. The credit of an operation that was served beyond its share decays with
// creditDecayTime. During a short shortage the operation therefore still has credit and
// gets no assured requests, but after some seconds it does. The deficit is bounded:
// requests that could not be served are not compensated later, and an operation whose
// requests fail for another reason gets no more than its share.
//
// Each entry node keeps only its own accounts and maintains the shares of its own
// requests, so entry nodes do not need to coordinate. A rejected request that its
// caller sends again counts as a new arrival.
package leastshare

import (
	"math"
	"sync"
	"time"
)

const (
	// Default is the least share of an operation for which operators set none. Callers
	// that send a rejected request once more are served about twice as often.
	Default = 0.1
	// creditDecayTime is the decay time constant of credit: the time after which about
	// a third is left.
	creditDecayTime = 2 * time.Second
	// recentDecayTime is the decay time constant of the counts of recent requests. It
	// is short, because the bounds have to fall as soon as a fault occurs.
	recentDecayTime = 500 * time.Millisecond
	// maxDeficit is the maximum deficit of an operation, in requests.
	maxDeficit = 2
	// minRelativeShare and MaxRelativeShare limit the least share relative to the share
	// of all requests that is served.
	minRelativeShare = 0.25
	MaxRelativeShare = 0.5
	// soleOperationShare is the share of all arrivals above which an operation is
	// considered the only one at the entry node. The share of all requests that is
	// served is then its own share, which cannot serve as a limit for it.
	soleOperationShare = 0.98
	// maxOperations limits the number of accounts; requests of further operations are
	// not assured. Accounts without arrivals for accountTTL are removed, because
	// operations are added and removed with configuration changes.
	maxOperations = 8192
	accountTTL    = time.Minute
)

// A Result is the result of a root request.
type Result uint8

// The results of root requests.
const (
	// Served means that a complete response was received.
	Served Result = iota + 1
	// Refused means that the request was rejected and did not run.
	Refused
	// Failed means any other result.
	Failed
)

// A Tracker holds the accounts of the operations of which an entry node receives root
// requests. It is safe for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	accounts map[string]*account
	overall  recentCounts
	// lastReport is the time of the last report, and lastSweep that of the last search
	// for idle accounts.
	lastReport time.Time
	lastSweep  time.Time
}

// New returns a Tracker without accounts.
func New() *Tracker { return &Tracker{accounts: make(map[string]*account)} }

// RecordArrival records the arrival of a root request and reports whether the request
// is assured. leastShare is the least share that operators set for the operation; at 0
// no request is assured.
func (t *Tracker) RecordArrival(now time.Time, operation string, leastShare float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.overall.addArrival(now)
	a := t.account(now, operation)
	if a == nil {
		return false
	}
	a.recentCounts.addArrival(now)
	a.decay(now)
	a.counts.Arrived++
	a.counts.LeastShare = t.effectiveShare(a, leastShare)
	a.addDeficit(a.counts.LeastShare)
	if a.deficit < 1 {
		return false
	}
	a.deficit--
	a.counts.Assured++
	return true
}

// RecordResult records the result of a root request that was passed to RecordArrival.
func (t *Tracker) RecordResult(now time.Time, operation string, assured bool, result Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if result == Served {
		t.overall.addServed(now)
	}
	a := t.accounts[operation]
	if a == nil {
		return
	}
	a.counts.addResult(result)
	a.decay(now)
	switch {
	case assured && result == Refused:
		a.addDeficit(1)
	case !assured && result == Served:
		a.addDeficit(-1)
	}
}

// effectiveShare returns the least share of an operation after applying the bounds.
func (t *Tracker) effectiveShare(a *account, leastShare float64) float64 {
	if leastShare <= 0 || a.recentCounts.arrived >= soleOperationShare*t.overall.arrived {
		return leastShare
	}
	overall := t.overall.served / t.overall.arrived
	return math.Min(math.Max(leastShare, minRelativeShare*overall), MaxRelativeShare*overall)
}

// account returns the account of an operation and creates it if needed. It returns nil
// if there are too many accounts.
func (t *Tracker) account(now time.Time, operation string) *account {
	a := t.accounts[operation]
	if a != nil {
		return a
	}
	t.sweep(now)
	if len(t.accounts) >= maxOperations {
		return nil
	}
	a = &account{}
	t.accounts[operation] = a
	return a
}

// sweep removes the accounts of operations without recent arrivals.
func (t *Tracker) sweep(now time.Time) {
	if now.Sub(t.lastSweep) < accountTTL {
		return
	}
	t.lastSweep = now
	for operation, a := range t.accounts {
		if now.Sub(a.recentCounts.updated) > accountTTL {
			delete(t.accounts, operation)
		}
	}
}

// account is the state of one operation.
type account struct {
	// deficit is the number of requests missing to the least share of the operation. A
	// negative value is credit: the operation was served beyond its share.
	deficit      float64
	updated      time.Time
	recentCounts recentCounts
	// counts are the counts since the last report.
	counts Counts
}

func (a *account) addDeficit(requests float64) { a.deficit = math.Min(a.deficit+requests, maxDeficit) }

// decay reduces credit according to the elapsed time. A deficit does not decay.
func (a *account) decay(now time.Time) {
	factor := decayFactor(&a.updated, now, creditDecayTime)
	if a.deficit < 0 {
		a.deficit *= factor
	}
}

// recentCounts holds exponentially decaying counts of requests.
type recentCounts struct {
	arrived float64
	served  float64
	updated time.Time
}

func (r *recentCounts) addArrival(now time.Time) {
	r.decay(now)
	r.arrived++
}

func (r *recentCounts) addServed(now time.Time) {
	r.decay(now)
	r.served++
}

func (r *recentCounts) decay(now time.Time) {
	factor := decayFactor(&r.updated, now, recentDecayTime)
	r.arrived *= factor
	r.served *= factor
}

// decayFactor sets updated to now and returns the factor by which a value has decayed
// since updated.
func decayFactor(updated *time.Time, now time.Time, timeConstant time.Duration) float64 {
	age := now.Sub(*updated)
	if age <= 0 {
		return 1
	}
	*updated = now
	return math.Exp(-float64(age) / float64(timeConstant))
}

// ShareWithRetries returns the share of requests that are served at a given least share
// if callers send each request up to maxSends times until it is served.
func ShareWithRetries(leastShare float64, maxSends int) float64 {
	return 1 - math.Pow(1-leastShare, float64(maxSends))
}
