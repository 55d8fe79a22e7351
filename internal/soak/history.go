package soak

import (
	"sync"
	"time"
)

// Route is one of the routes that the soak's configuration has.
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
	// RouteGeneration exists in one configuration only. It shows which one a node
	// has in force.
	RouteGeneration
)

// Idempotent tells whether requests of the route may run more than once.
func (r Route) Idempotent() bool { return r != RouteOrder && r != RouteDebit }

// Attempt is one request as its sender saw it.
type Attempt struct {
	ID    string
	Route Route
	// Generation is the configuration of a request of RouteGeneration.
	Generation int
	// VM is the index of the VM whose entry took the request, Incarnation the number of
	// its node's process.
	VM, Incarnation      int
	Method, Target, Body string
	Deadline             time.Duration
	Sent, Ended          time.Time
	// Status is 0 if no whole answer came.
	Status       int
	ResponseBody string
	Sealed       bool
	// Unconnected tells that no connection could be opened.
	Unconnected bool
	// GaveUp tells that the sender closed the connection before an answer.
	GaveUp bool
}

// Arrival is one request as a target saw it.
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
	// Ran is false if the target refused the request.
	Ran bool
}

// DrainNotice is a target's announcement that it leaves, once acknowledged.
type DrainNotice struct {
	TargetID string
	Acked    time.Time
}

// Change is a configuration that the store acknowledged.
type Change struct {
	Generation  int
	Sent, Acked time.Time
}

// allVMs is the VM of a disturbance that concerns every VM.
const allVMs = -1

// Disturbance is a time in which something was not as it should be.
type Disturbance struct {
	Kind     Kind
	VM       int
	From, To time.Time
}

// History is all that was seen in one run.
type History struct {
	mutex        sync.Mutex
	Attempts     []*Attempt
	Arrivals     []Arrival
	DrainNotices []DrainNotice
	Changes      []Change
	Disturbances []*Disturbance
	// UnexpectedExits are processes that ended by themselves.
	UnexpectedExits []string
	// FaultsEnded is when the last fault was over.
	FaultsEnded time.Time
}

// add appends to one of the lists of a history.
func add[T any](h *History, list *[]T, item T) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	*list = append(*list, item)
}

func (h *History) attempt(a *Attempt)         { add(h, &h.Attempts, a) }
func (h *History) arrival(a Arrival)          { add(h, &h.Arrivals, a) }
func (h *History) drainNotice(l DrainNotice)  { add(h, &h.DrainNotices, l) }
func (h *History) change(c Change)            { add(h, &h.Changes, c) }
func (h *History) unexpectedExit(what string) { add(h, &h.UnexpectedExits, what) }

// disturb begins a disturbance; the returned function ends it.
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

// calm tells whether no disturbance that the filter picks overlaps a time.
func (h *History) noDisturbance(from, to time.Time, concerns func(d *Disturbance) bool) bool {
	for _, d := range h.Disturbances {
		over := !d.To.IsZero() && d.To.Before(from)
		if !over && d.From.Before(to) && concerns(d) {
			return false
		}
	}
	return true
}

// contact is how long a VM must have been without disturbance to be bound by
// rules with a time bound.
const settleTime = 3 * time.Second

// inTouch tells whether nothing disturbed the VM from contact before from until
// to.
func (h *History) vmHealthy(vm int, from, to time.Time) bool {
	return h.noDisturbance(from.Add(-settleTime), to, func(d *Disturbance) bool {
		return !d.Kind.harmless() && (d.VM == vm || d.VM == allVMs)
	})
}

// undisturbed tells whether there was planned work only, and faults of the
// store, from contact before from until to.
func (h *History) onlyPlannedWork(from, to time.Time) bool {
	return h.noDisturbance(from.Add(-settleTime), to, func(d *Disturbance) bool {
		return !d.Kind.Planned() && !d.Kind.affectsStore()
	})
}

// harmless kinds leave a VM in touch.
func (k Kind) harmless() bool { return k == ConfigChange || k == TargetDrain || k == NodeReload }

func (k Kind) affectsStore() bool {
	return k == StoreDown || k == StoreSlow || k == StoreLosesResponses || k == StoreLink
}
