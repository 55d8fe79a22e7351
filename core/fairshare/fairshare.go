// Package fairshare draws the cohorts of root requests so that, under overload, the load
// of one client account does not displace that of the others in its class.
//
// Model. Gates under overload shed whole cohorts, the highest first, in all services
// alike. The cohort of a request is drawn uniformly from [0, 128 x p), where p is the
// position of its account: its load relative to what it is entitled to. Each cohort then
// holds the same part of each account's entitlement. If gates admit the cohorts below c,
// an account gets the smaller of its load and c/128 of its entitlement, however many
// requests it sends. Sending refused requests again raises p and moves the account's own
// requests to higher cohorts. Draws beyond the last cohort are spread over the highest
// ones.
//
// Position. For an account with a quota, p is its load on the whole fleet divided by its
// rate, as reported by the owners of the quota. It may exceed 1, although the account runs
// no more than its quota: a request that is shed returns its token, so that the requests
// for which cohorts are drawn are not limited by the quota. Without a quota, or while the
// load is unknown, p is the account's part of the requests that this entry node has
// received recently, divided by an equal part for each active account.
//
// Bounds. No account is served less than a quarter as often as all requests, not counting
// those beyond its quota. For this, the position of a known load is at least minKnown, and
// that of a counted load at most maxCounted, or 1 while other accounts have known loads.
// Let M(c) be the share of all requests that is served when cohorts below c are admitted.
// Without known loads, M(c) is at most c/128 x (1 + 1/maxCounted): each of n active
// accounts adds at most c/128 x 1/n, and those beyond the maximum add their part of the
// requests, which is at most 1, divided by maxCounted. With known loads, M(c) is at most
// c/128 x (1 + 1/minKnown). The account with the highest position gets c/128 / maxCounted,
// or c/128. Both are at least a quarter of M(c).
package fairshare

import (
	"sync"
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
)

const (
	// minKnown is the minimum position of an account whose load is known.
	minKnown = 1.0 / 3
	// maxCounted is the maximum position of an account whose load is counted here.
	maxCounted = 3
	// excessCohorts is the number of highest cohorts over which requests beyond the
	// entitlement of an account are spread. In a single cohort, they would be admitted
	// or shed together.
	excessCohorts = 8
	// knownPeriod is how long after a request with a known load others are taken to have
	// known loads, too.
	knownPeriod = 2 * time.Second
	// countWindow is the length of the counting window. Counts cover the present window
	// and a part of the one before. It is long enough for an account with one request a
	// second, and lets eight times the load of an account show within one second.
	countWindow = 4 * time.Second
	// maxAccounts limits the number of accounts that are counted in one window. Requests
	// of further accounts are spread over all cohorts.
	maxAccounts = 10_000
)

// A Load is the load of an account on all entry nodes together, divided by its rate.
type Load struct {
	Relative float64
	// Known is false if the account has no rate, or if its load has not been reported or
	// the report is too old.
	Known bool
}

// A Tracker draws cohorts and counts the requests of each account for this. It is safe
// for concurrent use.
type Tracker struct {
	mu sync.Mutex
	// present and before are the counts of the window that started at since and of the
	// one before.
	present, before window
	since           time.Time
	// inBoth is the number of accounts in both windows.
	inBoth int
	// knownUntil is the time until which some account has a known load.
	knownUntil time.Time
}

// window holds the counts of one window.
type window struct {
	accounts map[string]*counts
	total    float64
}

// counts holds the counts of one account in the present window, and in the one before.
type counts struct{ present, before float64 }

// New returns an empty Tracker.
func New() *Tracker {
	return &Tracker{present: newWindow(), before: newWindow()}
}

func newWindow() window { return window{accounts: make(map[string]*counts)} }

// Cohort records a root request of an account and returns its cohort. draw is a random
// number in [0, 1).
func (t *Tracker) Cohort(now time.Time, account string, load Load, draw float64) uint32 {
	return cohortAt(t.record(now, account, load), draw)
}

// cohortAt returns the cohort for a draw from [0, 128 x position).
func cohortAt(position, draw float64) uint32 {
	point := draw * position
	if point < 1 {
		return uint32(point * outcome.Cohorts)
	}
	excess := (point - 1) / (position - 1)
	return outcome.Cohorts - excessCohorts + min(uint32(excess*excessCohorts), excessCohorts-1)
}

// record counts a request of an account and returns the position of the account.
func (t *Tracker) record(now time.Time, account string, load Load) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	c := t.countsOf(account)
	t.present.total++
	if c == nil {
		return 1
	}
	c.present++
	if load.Known {
		t.knownUntil = now.Add(knownPeriod)
		return max(load.Relative, minKnown)
	}
	return min(t.counted(now, c), t.maxPosition(now))
}

// maxPosition returns the maximum position of a counted load.
func (t *Tracker) maxPosition(now time.Time) float64 {
	if now.Before(t.knownUntil) {
		return 1
	}
	return maxCounted
}

// counted returns the account's part of the recent requests divided by an equal part for
// each active account.
func (t *Tracker) counted(now time.Time, c *counts) float64 {
	weight := min(max(1-float64(now.Sub(t.since))/float64(countWindow), 0), 1)
	active := len(t.present.accounts) + len(t.before.accounts) - t.inBoth
	total := t.present.total + weight*t.before.total
	return (c.present + weight*c.before) * float64(active) / total
}

// advance begins new windows that are due. The counts of windows without requests are 0.
func (t *Tracker) advance(now time.Time) {
	elapsed := now.Sub(t.since)
	if elapsed < countWindow {
		return
	}
	t.before = t.present
	t.since = t.since.Add(countWindow)
	if elapsed >= 2*countWindow {
		t.before = newWindow()
		t.since = now
	}
	t.present = newWindow()
	t.inBoth = 0
}

// countsOf returns the counts of an account in the present window, or nil if too many
// accounts are counted.
func (t *Tracker) countsOf(account string) *counts {
	if c := t.present.accounts[account]; c != nil {
		return c
	}
	if len(t.present.accounts) >= maxAccounts {
		return nil
	}
	c := &counts{}
	if earlier := t.before.accounts[account]; earlier != nil {
		c.before = earlier.present
		t.inBoth++
	}
	t.present.accounts[account] = c
	return c
}
