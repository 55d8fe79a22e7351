package route

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"
)

// Config configures a Router.
type Config struct {
	// Self is the incarnation of this node; it seeds the choice of subsets.
	Self   uint64
	Zone   string
	Region string
	// SubsetSize bounds the targets of one service that get calls from this
	// node; zero means DefaultSubsetSize, and larger values count as MaxSubsetSize.
	SubsetSize int
	// Seed seeds the random choices.
	Seed uint64
	// Start is the origin of the router's clock; no later time may precede it.
	Start time.Time
	// Policy is the choice among candidates; zero is TwoChoices.
	Policy Policy
	// Observer is told of ejections and returns in the goroutine that caused
	// them; nil means nobody. It must not block.
	Observer func(Event)
}

// clock converts times to nanoseconds since the start of the router. It uses
// the monotonic reading if there is one.
type clock struct{ start time.Time }

func (c clock) nanos(t time.Time) int64 { return max(int64(t.Sub(c.start)), 1) }

// indexShards is the number of parts of the index by incarnation, so that a
// change of one member copies a small part only.
const indexShards = 256

// Router chooses targets for the calls of one node.
type Router struct {
	config   Config
	clock    clock
	services atomic.Pointer[map[string]*service]
	index    [indexShards]atomic.Pointer[map[uint64]*Endpoint]
}

// service is the state of routing to one service that outlives snapshots.
type service struct {
	name     string
	clock    clock
	observer func(Event)
	view     atomic.Pointer[view]
	random   random
	turn     atomic.Uint64 // round robin
	median   float         // of latency, nanoseconds
	steady   float         // of steady, nanoseconds
	refused  float         // of refused
	panic    atomic.Bool
	// evaluating guards evaluate; it is never waited for.
	evaluating  atomic.Bool
	evaluatedAt atomic.Int64
	doomedTrial atomic.Int64
}

// view is the immutable snapshot of the subset of one service.
type view struct {
	own   []*Endpoint
	near  []*Endpoint
	far   []*Endpoint
	close []*Endpoint // own and near
	all   []*Endpoint
	// known holds all targets of the service, for Find and for the next Update.
	known map[uint64]*Endpoint
	// preferOwn is false if the own zone is too small to serve its callers.
	preferOwn bool
}

// New returns a Router that knows no targets.
func New(config Config) *Router {
	if config.SubsetSize <= 0 {
		config.SubsetSize = DefaultSubsetSize
	}
	config.SubsetSize = min(config.SubsetSize, MaxSubsetSize)
	r := &Router{config: config, clock: clock{config.Start}}
	r.services.Store(&map[string]*service{})
	for i := range r.index {
		r.index[i].Store(&map[uint64]*Endpoint{})
	}
	return r
}

// Update replaces the targets of a service. Targets that stay keep their
// counters. Targets that are new to a service already in use start with a ramp.
// A service without targets is forgotten. Update must not be called
// concurrently with itself.
func (r *Router) Update(now time.Time, name string, targets []Target) {
	s := r.serviceFor(name)
	old := s.view.Load()
	known := r.endpoints(s, old, r.clock.nanos(now), targets)
	s.view.Store(r.newView(known))
	r.reindex(old.known, known)
	if len(known) == 0 {
		r.forget(name)
	}
}

// serviceFor returns the service and adds it if needed.
func (r *Router) serviceFor(name string) *service {
	services := *r.services.Load()
	if s, ok := services[name]; ok {
		return s
	}
	s := &service{name: name, clock: r.clock, observer: r.config.Observer}
	s.random.seed(r.config.Seed, name)
	s.view.Store(&view{})
	services = maps.Clone(services)
	services[name] = s
	r.services.Store(&services)
	return s
}

func (r *Router) forget(name string) {
	services := maps.Clone(*r.services.Load())
	delete(services, name)
	r.services.Store(&services)
}

// endpoints returns one endpoint per incarnation; the last entry of an
// incarnation counts.
func (r *Router) endpoints(s *service, old *view, at int64, targets []Target) map[uint64]*Endpoint {
	known := make(map[uint64]*Endpoint, len(targets))
	for _, t := range targets {
		known[t.Incarnation] = r.endpoint(s, old, at, t)
	}
	return known
}

func (r *Router) endpoint(s *service, old *view, at int64, t Target) *Endpoint {
	previous := old.known[t.Incarnation]
	if previous != nil && previous.target == t {
		return previous
	}
	e := &Endpoint{target: t, tier: r.tierOf(t), slots: float64(max(t.Slots, 1)), service: s}
	if previous != nil {
		e.counters = previous.counters
		return e
	}
	e.counters = &counters{}
	if len(old.known) > 0 && r.config.Policy != NearestCapacity {
		e.rampFrom.Store(at)
	}
	return e
}

func (r *Router) tierOf(t Target) tier {
	switch {
	case t.Region != r.config.Region:
		return tierFar
	case t.Zone != r.config.Zone:
		return tierNear
	default:
		return tierOwn
	}
}

func (r *Router) newView(known map[uint64]*Endpoint) *view {
	targets := make([]scored, 0, len(known))
	for _, e := range known {
		targets = append(targets, scored{target: e.target, tier: e.tier})
	}
	v := &view{known: known, preferOwn: prefersOwn(targets)}
	for _, chosen := range subset(r.config.Self, r.config.SubsetSize, targets) {
		v.all = append(v.all, known[chosen.target.Incarnation])
	}
	v.split()
	return v
}

// split cuts the list, which is ordered by tier, into its tiers.
func (v *view) split() {
	own, near := 0, 0
	for _, e := range v.all {
		switch e.tier {
		case tierOwn:
			own++
		case tierNear:
			near++
		}
	}
	v.own = v.all[:own]
	v.near = v.all[own : own+near]
	v.close = v.all[:own+near]
	v.far = v.all[own+near:]
}

// smallZone is the share of the fair capacity of a zone below which the zone
// gets no preference: callers of such a zone would overload it.
const smallZone = 0.5

// prefersOwn tells whether the slots of the own zone suffice for its callers,
// assuming that callers are spread evenly over the zones of the region.
func prefersOwn(targets []scored) bool {
	zones := map[string]bool{}
	own, region := 0, 0
	for _, t := range targets {
		if t.tier == tierFar {
			continue
		}
		zones[t.target.Zone] = true
		region += max(t.target.Slots, 1)
		if t.tier == tierOwn {
			own += max(t.target.Slots, 1)
		}
	}
	return own > 0 && float64(own*len(zones)) >= smallZone*float64(region)
}

// reindex brings the index by incarnation up to date.
func (r *Router) reindex(old, known map[uint64]*Endpoint) {
	changed := map[uint64]map[uint64]*Endpoint{}
	for id, e := range known {
		if old[id] != e {
			r.shard(changed, id)[id] = e
		}
	}
	for id := range old {
		if _, stays := known[id]; !stays {
			delete(r.shard(changed, id), id)
		}
	}
	for i, shard := range changed {
		r.index[i].Store(&shard)
	}
}

// shard returns the copy of a part of the index that is being changed.
func (r *Router) shard(changed map[uint64]map[uint64]*Endpoint, id uint64) map[uint64]*Endpoint {
	i := shardOf(id)
	if changed[i] == nil {
		changed[i] = maps.Clone(*r.index[i].Load())
	}
	return changed[i]
}

func shardOf(incarnation uint64) uint64 { return mix(incarnation) % indexShards }

// Find returns the endpoint of an incarnation, also outside of the subset; nil
// if it is not known. It serves calls that are bound to the executor of a key.
func (r *Router) Find(incarnation uint64) *Endpoint {
	return (*r.index[shardOf(incarnation)].Load())[incarnation]
}

// Services returns the names of the services that have targets, in order.
func (r *Router) Services() []string {
	return slices.Sorted(maps.Keys(*r.services.Load()))
}

// Each calls f for each endpoint of the subset of a service.
func (r *Router) Each(name string, f func(*Endpoint)) {
	s := (*r.services.Load())[name]
	if s == nil {
		return
	}
	for _, e := range s.view.Load().all {
		f(e)
	}
}

// InPanicMode tells whether ejection is ignored for a service.
func (r *Router) InPanicMode(name string) bool {
	s := (*r.services.Load())[name]
	return s != nil && s.panic.Load()
}
