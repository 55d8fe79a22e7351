package soak

import (
	"sync"
	"time"
)

// Route is a route of the soak's configuration.
type Route uint8

// Routes of the configuration.
const (
	// RouteView and RouteOrder lead to the service stock, whose targets call
	// RoutePrice; orders are not idempotent.
	RouteView Route = iota
	RouteOrder
	// RoutePrice and RouteDebit lead to the service prices; debits are not
	// idempotent.
	RoutePrice
	RouteDebit
	// RouteGeneration stands for routes that exist in one generation of the
	// configuration only. They show which generation a node has applied.
	RouteGeneration
)

// Idempotent reports whether requests of the route may run more than once.
func (r Route) Idempotent() bool { return r != RouteOrder && r != RouteDebit }

// Attempt is one request as its sender observed it.
type Attempt struct {
	ID    string
	Route Route
	// Generation is the generation whose route a request of RouteGeneration uses.
	Generation int
	// VM is the index of the VM to whose entry node the request was sent, and
	// Incarnation the number of that node's process at the time.
	VM, Incarnation      int
	Method, Target, Body string
	Deadline             time.Duration
	// Key is the key of a client account that the request carried, and ForgedAccount
	// the account name that the client stated, which the node must not pass on.
	Key, ForgedAccount string
	Sent, Ended        time.Time
	// Status is 0 if no complete response was received.
	Status       int
	ResponseBody string
	// Sealed reports that the response carries the seal that the target computes
	// for this request, so that it cannot belong to another one.
	Sealed bool
	// Unconnected reports that no connection could be opened.
	Unconnected bool
	// ReadLate reports that the sender paused before it read the response.
	ReadLate bool
	// GaveUp reports that the sender closed the connection before a response.
	GaveUp bool
	// BehindLast reports that the request was sent behind another one on its
	// connection, with whose response or absence the connection ended.
	BehindLast bool
}

// Arrival is one request as a target received it.
type Arrival struct {
	ID             string
	TargetID       string
	VM             int
	Service        string
	At             time.Time
	Method, Target string
	Body           string
	Caller         string
	Deadline       time.Duration
	// Account is the name of the client account that the node stated.
	Account string
	// KeyIn names the part of the request that contained a key, or is empty.
	KeyIn string
	// Ran is false if the target refused the request.
	Ran bool
}

// DrainNotice is an acknowledged announcement that a target drains.
type DrainNotice struct {
	TargetID string
	Acked    time.Time
}

// Change is a configuration change that the store acknowledged.
type Change struct {
	Generation  int
	Sent, Acked time.Time
	// Accounts holds the client accounts of the configuration.
	Accounts []Account
}

// allVMs is the VM of a disturbance that affects every VM.
const allVMs = -1

// Disturbance is the period in which one fault or planned work was in progress.
type Disturbance struct {
	Kind     Kind
	VM       int
	From, To time.Time
}

// History holds all observations of one run.
type History struct {
	mutex        sync.Mutex
	Attempts     []*Attempt
	Arrivals     []Arrival
	DrainNotices []DrainNotice
	Changes      []Change
	Disturbances []*Disturbance
	// UnexpectedExits describes processes that exited unexpectedly or exceeded
	// their memory limit.
	UnexpectedExits []string
	// LogLeaks describes the log files of nodes that contain a key.
	LogLeaks []string
	// FaultsEnded is the time at which the last fault ended.
	FaultsEnded time.Time
}

// add appends an item to a list of the history.
func add[T any](h *History, list *[]T, item T) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	*list = append(*list, item)
}

// The following methods record one observation each.

func (h *History) attempt(a *Attempt)         { add(h, &h.Attempts, a) }
func (h *History) arrival(a Arrival)          { add(h, &h.Arrivals, a) }
func (h *History) drainNotice(l DrainNotice)  { add(h, &h.DrainNotices, l) }
func (h *History) change(c Change)            { add(h, &h.Changes, c) }
func (h *History) unexpectedExit(what string) { add(h, &h.UnexpectedExits, what) }

// beginDisturbance records the start of a disturbance; the returned function
// records its end.
func (h *History) beginDisturbance(kind Kind, vm int) func() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	d := &Disturbance{Kind: kind, VM: vm, From: time.Now()}
	h.Disturbances = append(h.Disturbances, d)
	return func() {
		h.mutex.Lock()
		defer h.mutex.Unlock()
		d.To = time.Now()
	}
}

// noDisturbance reports whether no disturbance that concerns selects overlaps the
// period. The caller must hold the mutex.
func (h *History) noDisturbance(from, to time.Time, concerns func(d *Disturbance) bool) bool {
	for _, d := range h.Disturbances {
		over := !d.To.IsZero() && d.To.Before(from)
		if !over && d.From.Before(to) && concerns(d) {
			return false
		}
	}
	return true
}

// settleTime is how long a VM must have been free of disturbances before rules with
// a time bound apply to it.
const settleTime = 3 * time.Second

// vmHealthy reports whether no disturbance, other than a harmless one, affected the
// VM from settleTime before from until to.
func (h *History) vmHealthy(vm int, from, to time.Time) bool {
	return h.noDisturbance(from.Add(-settleTime), to, func(d *Disturbance) bool {
		return !d.Kind.harmless() && (d.VM == vm || d.VM == allVMs)
	})
}

// onlyPlannedWork reports whether all disturbances from settleTime before from
// until to were planned work or faults of the store.
func (h *History) onlyPlannedWork(from, to time.Time) bool {
	return h.noDisturbance(from.Add(-settleTime), to, func(d *Disturbance) bool {
		return !d.Kind.Planned() && !d.Kind.affectsStore()
	})
}

// harmless reports whether rules with a time bound also apply during disturbances of
// the kind.
func (k Kind) harmless() bool {
	return k == ConfigChange || k == TargetDrain || k == NodeReload || k.ofAccounts()
}

// affectsStore reports whether the kind is a fault of the store or of a link to it.
func (k Kind) affectsStore() bool {
	return k == StoreDown || k == StoreSlow || k == StoreLosesResponses || k == StoreLink || k == StoreReturns
}
