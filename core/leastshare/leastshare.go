// Package leastshare decides which root requests are served before the order of
// classes counts.
//
// Model. In the order of classes a lower class gets what the higher ones leave. While
// a service deep in the call graph has less room than even these ask for, that is
// nothing, for as long as it lasts. Each operation therefore has a least share of the
// requests that arrive. Above the least shares the order of classes holds.
//
// Reaction. The entry keeps an account for each operation of which root requests
// arrive there. An arrival adds the least share to what is owed, a request that was
// served takes one off. When a whole request is owed, the next one is assured: it gets
// a level before those of all classes, and keeps it in all services. An operation that
// is served anyway is never owed anything, so the least share costs nothing while
// demand fits.
//
// Bounds. The least share is at least a quarter and at most half of the share of all
// requests that the entry saw served lately. The first bound keeps an operation from
// being the only one that is not served. The second one keeps a large operation of a
// low class from taking the place of more important ones when hardly anything is left.
//
// Memory. Credit of an operation that was served beyond its share fades with
// creditLife, so a short burst need not pay, and a long one pays from some seconds on.
// Debt is bounded: requests that could not be served are not made up for later, and
// an operation whose requests fail for another reason takes no more than its share.
//
// The accounts are those of one entry. No entry needs to know of the others, because
// each one keeps the shares of its own requests. Callers that send a refused request
// again count each time.
package leastshare

import (
	"math"
	"sync"
	"time"
)

const (
	// Default is the least share of an operation for which operators set none.
	// Callers who send a refused request once more are served about twice as often.
	Default = 0.1
	// creditLife is the time in which credit fades to a third.
	creditLife = 2 * time.Second
	// recentLife is the time in which the counts of recent requests fade to a third. It
	// is short, because at the onset of a fault the bounds must come down at once.
	recentLife = 500 * time.Millisecond
	// mostOwed is the number of requests that can be owed at a time.
	mostOwed = 2
	// leastOfAll and MaxRelativeShare bound a least share relative to the share of all
	// requests that is served.
	leastOfAll       = 0.25
	MaxRelativeShare = 0.5
	// alone is the part of all arrivals from which on an operation is the only one
	// at the entry, so that its own share is no measure for it.
	alone = 0.98
	// maxOperations bounds the accounts; requests of further operations are not
	// assured. Accounts without arrivals for idleLife are dropped, since operations
	// come and go with changes of the configuration.
	maxOperations = 8192
	idleLife      = time.Minute
)

// Result is what became of a root request.
type Result uint8

// Results of root requests.
const (
	// Served is a whole answer.
	Served Result = iota + 1
	// Refused is a request that did not run.
	Refused
	// Failed is any other end.
	Failed
)

// Tracker holds the accounts of the operations of which root requests arrive at one
// entry. It is safe for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	accounts map[string]*account
	all      recent
	// reported is the time of the last report, swept that of the last look for idle
	// accounts.
	reported time.Time
	swept    time.Time
}

// New returns a Tracker without accounts.
func New() *Tracker { return &Tracker{accounts: make(map[string]*account)} }

// RecordArrival takes in a root request and tells whether it is assured. least is the least
// share that operators set for the operation; at 0 nothing is assured.
func (l *Tracker) RecordArrival(now time.Time, operation string, least float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all.arrive(now)
	a := l.account(now, operation)
	if a == nil {
		return false
	}
	a.recent.arrive(now)
	a.fade(now)
	a.counts.Arrived++
	a.counts.LeastShare = l.bounded(a, least)
	a.add(a.counts.LeastShare)
	if a.owed < 1 {
		return false
	}
	a.owed--
	a.counts.Assured++
	return true
}

// RecordResult takes in what became of a root request that Arrive had taken in.
func (l *Tracker) RecordResult(now time.Time, operation string, assured bool, result Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if result == Served {
		l.all.serve(now)
	}
	a := l.accounts[operation]
	if a == nil {
		return
	}
	a.counts.end(result)
	a.fade(now)
	switch {
	case assured && result == Refused:
		a.add(1)
	case !assured && result == Served:
		a.add(-1)
	}
}

// bounded returns the least share that is in force.
func (l *Tracker) bounded(a *account, least float64) float64 {
	if least <= 0 || a.recent.arrived >= alone*l.all.arrived {
		return least
	}
	all := l.all.served / l.all.arrived
	return math.Min(math.Max(least, leastOfAll*all), MaxRelativeShare*all)
}

// account returns the account of an operation, a new one if needed; nil if there are
// too many.
func (l *Tracker) account(now time.Time, operation string) *account {
	a := l.accounts[operation]
	if a != nil {
		return a
	}
	l.sweep(now)
	if len(l.accounts) >= maxOperations {
		return nil
	}
	a = &account{}
	l.accounts[operation] = a
	return a
}

// sweep drops accounts of operations that no longer come.
func (l *Tracker) sweep(now time.Time) {
	if now.Sub(l.swept) < idleLife {
		return
	}
	l.swept = now
	for operation, a := range l.accounts {
		if now.Sub(a.recent.updated) > idleLife {
			delete(l.accounts, operation)
		}
	}
}

// account is what is known about one operation.
type account struct {
	// owed is the number of requests that are due to the operation; negative while it
	// was served beyond its share.
	owed    float64
	updated time.Time
	recent  recent
	// counts since the last report.
	counts Counts
}

func (a *account) add(requests float64) { a.owed = math.Min(a.owed+requests, mostOwed) }

// fade lets credit fade.
func (a *account) fade(now time.Time) {
	faded := fading(&a.updated, now, creditLife)
	if a.owed < 0 {
		a.owed *= faded
	}
}

// recent counts requests, the latest ones most.
type recent struct {
	arrived float64
	served  float64
	updated time.Time
}

func (r *recent) arrive(now time.Time) {
	r.fade(now)
	r.arrived++
}

func (r *recent) serve(now time.Time) {
	r.fade(now)
	r.served++
}

func (r *recent) fade(now time.Time) {
	faded := fading(&r.updated, now, recentLife)
	r.arrived *= faded
	r.served *= faded
}

// fading moves updated to now and returns what is left of a value since then.
func fading(updated *time.Time, now time.Time, life time.Duration) float64 {
	age := now.Sub(*updated)
	if age <= 0 {
		return 1
	}
	*updated = now
	return math.Exp(-float64(age) / float64(life))
}

// ShareWithRetries returns what a least share of the requests that arrive comes to for
// callers that send a request up to so many times until it is served.
func ShareWithRetries(least float64, sends int) float64 { return 1 - math.Pow(1-least, float64(sends)) }
