package quota

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// entryAccount is what an entry knows of one account.
type entryAccount struct {
	mu   sync.Mutex
	name string
	hash uint32
	// view is the view from which owners were derived. home is the index of the
	// preferred owner and current that of the one to ask next.
	view          *View
	random        *rand.Rand
	owners        []string
	home, current int
	// awaySince is when another owner than the preferred one was first asked.
	awaySince time.Time
	// tries is the number of owners that have failed in a row.
	tries    int
	inFlight bool

	// lease is held from the current owner. loose tokens are of leases that will not be
	// renewed.
	lease lease
	loose tokens
	// credit is the number of requests on credit that no owner has confirmed.
	credit uint32
	// unused is the number of admitted requests that did not run.
	unused  uint32
	arrived uint32
	demand  decayingCount
	used    decayingCount
	// refused is set if a request was refused since the last report, and refusing if the
	// last decision was a refusal.
	refused, refusing bool
	refusedAt         time.Time
	// short is set if the last response contained fewer tokens than wanted.
	short bool
	// answered is when an owner last responded, and waitUntil is when it expected to
	// have tokens again. nextReturn is the latest time that a refused client was told.
	answered, waitUntil, nextReturn time.Time
	supply                          decayingCount
	load                            float64
	loadAt                          time.Time
}

// tokens are tokens with a common expiry.
type tokens struct {
	count   uint32
	expires time.Time
}

// lease is a lease on tokens of one owner.
type lease struct {
	tokens
	id uint64
	// spent is the number of tokens spent since the last report.
	spent uint32
}

// follow derives the owners from a view.
func (a *entryAccount) follow(view *View) {
	if a.view == view {
		return
	}
	owners := view.Owners(a.name)
	a.view = view
	if slices.Equal(a.owners, owners) {
		return
	}
	a.detach()
	a.owners, a.tries = owners, 0
	a.home = 0
	if len(owners) > 0 {
		a.home = view.home % len(owners)
	}
	a.current = a.home
}

// takeToken spends a token if there is one.
func (a *entryAccount) takeToken(now time.Time) bool {
	if a.loose.expire(now); a.loose.count > 0 {
		a.loose.count--
		return true
	}
	if a.lease.expire(now); a.lease.count > 0 {
		a.lease.count--
		a.lease.spent++
		return true
	}
	return false
}

// tokens returns the number of tokens held.
func (a *entryAccount) tokens(now time.Time) uint32 {
	a.loose.expire(now)
	a.lease.expire(now)
	return a.loose.count + a.lease.count
}

func (t *tokens) expire(now time.Time) {
	if t.count > 0 && !now.Before(t.expires) {
		t.count = 0
	}
}

// detach ends the renewal of the lease, so that a part of it is never reported twice. Its
// tokens can be spent until they expire.
func (a *entryAccount) detach() {
	if a.lease.count > 0 {
		if a.loose.count == 0 || a.lease.expires.Before(a.loose.expires) {
			a.loose.expires = a.lease.expires
		}
		a.loose.count += a.lease.count
	}
	a.lease = lease{}
}

func (a *entryAccount) admit(now time.Time, urgent bool) Decision {
	a.used.add(now, 1)
	a.refusing = false
	return Decision{Verdict: Admitted, Urgent: urgent}
}

// ask makes an owner the one to ask next.
func (a *entryAccount) ask(owner int) {
	if owner != a.current {
		a.detach()
		a.current = owner
	}
}

func (a *entryAccount) age(now time.Time) time.Duration {
	if a.answered.IsZero() {
		return -1
	}
	return now.Sub(a.answered)
}
