package quota

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// Period is the time between two regular exchanges with an owner.
	Period = 200 * time.Millisecond
	// contactPeriod is how long the response of an owner allows credit: two further
	// exchanges may fail.
	contactPeriod = 600 * time.Millisecond
	// holdPeriod is the time for which an entry wants to hold tokens. An entry with less
	// than one request in twice this time holds none: it would lie there while another
	// entry needs it.
	holdPeriod = 300 * time.Millisecond
	// idlePeriod is how long an entry keeps an account without requests.
	idlePeriod = 10 * time.Second
	// loadExpiry is how long a load that an owner has reported is used.
	loadExpiry = 2 * time.Second
	// seriesPeriod is the time without refusals after which a new series of refusals
	// begins.
	seriesPeriod = time.Second
	// awayPeriod is how long a lease of another owner than the preferred one is renewed.
	awayPeriod = time.Second
	// minReturn is the minimum wait that a refused client is told: one exchange.
	minReturn = Period / 2
	// returnShare is the part of the tokens that clients that come back may expect; the
	// others go to new requests.
	returnShare = 0.3
	// returnWindows limits the wait that a refused client is told, in windows.
	returnWindows = 2
)

// A Verdict is the decision about one root request.
type Verdict uint8

// The verdicts.
const (
	// Admitted requests may run.
	Admitted Verdict = iota
	// Exceeded requests are over the quota of their account.
	Exceeded
	// Unknown means that no owner is in reach and there is no token.
	Unknown
)

// A Decision is the result of Take.
type Decision struct {
	Verdict Verdict
	// RetryAfter is when a refused request is expected to be admitted.
	RetryAfter time.Duration
	// Urgent is true if an exchange should not wait for the regular time.
	Urgent bool
	// Exhausted is true if the request is the first of a series that is refused.
	Exhausted bool
	// Age is the time since an owner last responded about the account; negative if none
	// has. It is set for refused requests.
	Age time.Duration
}

// An Entry decides which root requests of this node run. It is safe for concurrent use.
type Entry struct {
	// mu guards the maps and the view; each account has its own mutex. An account's
	// mutex is locked after mu.
	mu       sync.RWMutex
	view     *View
	accounts map[string]*entryAccount
	// list holds the accounts in the order in which they were added, and perhaps some
	// that have been removed.
	list     []*entryAccount
	contacts map[string]*contact
	// regular holds the members that this node asks in each period, and asked is when each
	// was asked last.
	regular []string
	asked   map[string]time.Time
	// confirmed is when the latest request was sent to which a member has responded that
	// it knows the candidates of the view in force.
	confirmed map[string]time.Time
	// joining is set until this node may use its first part.
	joining bool
	window  time.Duration
	seed    uint64

	urgentMu sync.Mutex
	// urgent holds the accounts that may need an exchange before the next round.
	urgent []*entryAccount
}

// contact is what the last response of an owner said about credit.
type contact struct {
	at time.Time
	// exhausted holds the accounts without credit, and all is true if there is no
	// credit for any.
	exhausted map[uint32]bool
	all       bool
	// view identifies the owners of quotas in the view of the owner.
	view uint64
}

// NewEntry returns the entry's side. It needs a view before it admits requests. The seed
// should differ between nodes, so that they tell refused clients different times.
func NewEntry(rules Rules, seed uint64) *Entry {
	return &Entry{
		accounts: make(map[string]*entryAccount), contacts: make(map[string]*contact),
		asked: make(map[string]time.Time), confirmed: make(map[string]time.Time),
		window: rules.Window, seed: seed,
	}
}

// SetView puts a view in force.
func (e *Entry) SetView(view *View) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.view == nil || e.view.candidatesHash != view.candidatesHash {
		clear(e.confirmed)
	}
	e.view = view
	e.regular = view.asked(e.joining)
	for name := range e.accounts {
		if _, limited := view.limits[name]; !limited {
			delete(e.accounts, name)
		}
	}
	for vm := range e.contacts {
		if !slices.Contains(view.candidates, vm) && !slices.Contains(view.first, vm) {
			delete(e.contacts, vm)
			delete(e.asked, vm)
		}
	}
}

// Take decides about a root request of an account with a quota, and uses a token or credit
// if the request may run.
func (e *Entry) Take(now time.Time, name string) Decision {
	e.mu.RLock()
	defer e.mu.RUnlock()
	a := e.accounts[name]
	if a == nil {
		if a = e.addAccount(name); a == nil {
			return Decision{Verdict: Unknown, RetryAfter: minReturn, Urgent: true}
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.arrived++
	a.demand.add(now, 1)
	d := e.decide(now, a)
	if d.Urgent {
		e.hasten(a)
	}
	return d
}

func (e *Entry) decide(now time.Time, a *entryAccount) Decision {
	if a.takeToken(now) {
		return a.admit(now, !a.short && a.tokens(now) == 0)
	}
	if a.credit == 0 && e.hasCredit(now, a) {
		a.credit = 1
		return a.admit(now, true)
	}
	return e.refuse(now, a)
}

// hasten makes Urgent consider an account.
func (e *Entry) hasten(a *entryAccount) {
	e.urgentMu.Lock()
	defer e.urgentMu.Unlock()
	e.urgent = append(e.urgent, a)
}

// addAccount adds an account, or returns nil if it has no quota in the view in force. The
// read lock is held, and is held again on return.
func (e *Entry) addAccount(name string) *entryAccount {
	e.mu.RUnlock()
	defer e.mu.RLock()
	e.mu.Lock()
	defer e.mu.Unlock()
	if a := e.accounts[name]; a != nil {
		return a
	}
	if e.view == nil {
		return nil
	}
	if _, limited := e.view.limits[name]; !limited {
		return nil
	}
	hash := nameHash(name)
	a := &entryAccount{name: name, hash: hash, random: rand.New(rand.NewPCG(e.seed, uint64(hash)))}
	a.follow(e.view)
	e.accounts[name] = a
	e.list = append(e.list, a)
	return a
}

// hasCredit reports whether the owner to ask gives credit. If it does not and another one
// does, that one becomes the one to ask. The read lock and the account's are held.
func (e *Entry) hasCredit(now time.Time, a *entryAccount) bool {
	a.follow(e.view)
	if len(a.owners) == 0 || a.inFlight {
		return len(a.owners) > 0 && e.allowsCredit(now, a, a.current)
	}
	for i := range a.owners {
		index := (a.current + i) % len(a.owners)
		if e.allowsCredit(now, a, index) {
			a.ask(index)
			return true
		}
	}
	return false
}

func (e *Entry) allowsCredit(now time.Time, a *entryAccount, owner int) bool {
	c := e.contacts[a.owners[owner]]
	return c != nil && now.Sub(c.at) < contactPeriod && c.view == e.view.hash && !c.all && !c.exhausted[a.hash]
}

// Refund returns what Take used for a request that has not run and will not run.
func (e *Entry) Refund(now time.Time, name string) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	a := e.accounts[name]
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	// The token may have been reported as spent, so the owner has to take it back before
	// it is used again.
	a.unused++
	a.used.add(now, -1)
}

// Load returns the arrivals of an account at all entries divided by its rate, and false if
// they are not known.
func (e *Entry) Load(now time.Time, name string) (float64, bool) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	a := e.accounts[name]
	if a == nil {
		return 0, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.loadAt.IsZero() || now.Sub(a.loadAt) >= loadExpiry {
		return 0, false
	}
	return a.load, true
}
