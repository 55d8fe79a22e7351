package route

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/primrosemount/primrosemount/core/cost"
)

// A Config configures a Router.
type Config struct {
	// Self is the incarnation of this node. It seeds the choice of subsets.
	Self   uint64
	Zone   string
	Region string
	// SubsetSize is the maximum number of targets of one service that get calls
	// from this node. Zero means DefaultSubsetSize; values above MaxSubsetSize
	// count as MaxSubsetSize.
	SubsetSize int
	// Seed seeds the random choices among candidates.
	Seed uint64
	// Start is the origin of the router's clock. Times passed to the router
	// must not precede it.
	Start time.Time
	// Policy selects how a target is chosen; the zero value is TwoChoices.
	Policy Policy
	// Observer, if not nil, is called for each ejection and readmission, in the
	// goroutine that caused it. It must not block.
	Observer func(Event)
}

// clock converts times to nanoseconds since the start of the router, using the
// monotonic clock reading if there is one. The result is at least 1, because
// zero means "never" in the stored times.
type clock struct{ start time.Time }

func (c clock) nanos(t time.Time) int64 { return max(int64(t.Sub(c.start)), 1) }

// indexShards is the number of shards of the index by incarnation. A change of
// one target copies only one shard.
const indexShards = 256

// A Router chooses targets for the calls of one node.
type Router struct {
	config   Config
	clock    clock
	services atomic.Pointer[map[string]*service]
	totals   placementTotals
	index    [indexShards]atomic.Pointer[map[uint64]*Endpoint]
}

// service holds the routing state of one service that persists across snapshots
// of its targets.
type service struct {
	name          string
	clock         clock
	observer      func(Event)
	view          atomic.Pointer[view]
	random        random
	roundRobin    atomic.Uint64 // position of RoundRobin
	placed        atomic.Uint64 // number of requests that LeastWork has placed
	latencyMedian atomicFloat   // median of counters.latency, nanoseconds
	meanLatency   atomicFloat   // median of counters.meanLatency, nanoseconds
	refused       atomicFloat   // median of counters.refused
	panic         atomic.Bool
	// evaluating is true while a goroutine runs evaluate. Others skip the
	// evaluation instead of waiting.
	evaluating      atomic.Bool
	evaluatedAt     atomic.Int64
	lastDoomedTrial atomic.Int64
	// operations holds the learned costs, and mean the mean load of the targets; both
	// are used by LeastWork.
	operations cost.Operations
	mean       meanLoad
	totals     *placementTotals // of the router
}

// A view is an immutable snapshot of the subset of one service.
type view struct {
	ownZone      []*Endpoint // the node's own zone
	otherZones   []*Endpoint // other zones of the node's own region
	otherRegions []*Endpoint // other regions
	close        []*Endpoint // the node's own region: ownZone and otherZones
	all          []*Endpoint // the subset, ordered by tier
	// byIncarnation holds all targets of the service, also those outside of the
	// subset. Find and the next Update use it.
	byIncarnation map[uint64]*Endpoint
	// preferOwnZone is false if the node's own zone has too little capacity for
	// the callers in it.
	preferOwnZone bool
}

// New returns a Router without targets.
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

// Update replaces the targets of a service. Targets that were present before
// keep their counters. Under policies other than NearestCapacity and LeastWork, targets that
// are added to a service that already has targets start with a reduced share of
// calls that ramps up. A service without targets is removed. Update must not be
// called concurrently with itself.
func (r *Router) Update(now time.Time, name string, targets []Target) {
	s := r.serviceFor(name)
	old := s.view.Load()
	byIncarnation := r.endpoints(s, old, r.clock.nanos(now), targets)
	s.view.Store(r.newView(byIncarnation))
	r.reindex(old.byIncarnation, byIncarnation)
	if len(byIncarnation) == 0 {
		r.removeService(name)
	}
}

// serviceFor returns the named service, which it creates if needed.
func (r *Router) serviceFor(name string) *service {
	services := *r.services.Load()
	if s, ok := services[name]; ok {
		return s
	}
	s := &service{name: name, clock: r.clock, observer: r.config.Observer, totals: &r.totals}
	s.random.seed(r.config.Seed, name)
	s.view.Store(&view{})
	services = maps.Clone(services)
	services[name] = s
	r.services.Store(&services)
	return s
}

func (r *Router) removeService(name string) {
	services := maps.Clone(*r.services.Load())
	delete(services, name)
	r.services.Store(&services)
}

// endpoints returns one endpoint per incarnation. If targets has several
// entries with the same incarnation, the last one is used.
func (r *Router) endpoints(s *service, old *view, at int64, targets []Target) map[uint64]*Endpoint {
	byIncarnation := make(map[uint64]*Endpoint, len(targets))
	for _, t := range targets {
		byIncarnation[t.Incarnation] = r.endpoint(s, old, at, t)
	}
	return byIncarnation
}

// endpoint returns the endpoint of a target. It reuses the previous endpoint of
// the incarnation, or at least its counters.
func (r *Router) endpoint(s *service, old *view, at int64, t Target) *Endpoint {
	previous := old.byIncarnation[t.Incarnation]
	if previous != nil && previous.target == t {
		return previous
	}
	e := &Endpoint{target: t, tier: r.tierOf(t), slots: float64(max(t.Slots, 1)), service: s}
	if previous != nil {
		e.counters = previous.counters
		return e
	}
	e.counters = &counters{}
	if len(old.byIncarnation) > 0 && r.config.Policy != NearestCapacity && r.config.Policy != LeastWork {
		e.rampStartedAt.Store(at)
	}
	return e
}

func (r *Router) tierOf(t Target) tier {
	switch {
	case t.Region != r.config.Region:
		return tierOtherRegion
	case t.Zone != r.config.Zone:
		return tierOtherZone
	default:
		return tierOwnZone
	}
}

// newView returns a view whose subset is chosen from the given endpoints.
func (r *Router) newView(byIncarnation map[uint64]*Endpoint) *view {
	targets := make([]scoredTarget, 0, len(byIncarnation))
	for _, e := range byIncarnation {
		targets = append(targets, scoredTarget{target: e.target, tier: e.tier})
	}
	v := &view{byIncarnation: byIncarnation, preferOwnZone: prefersOwnZone(targets)}
	for _, chosen := range subset(r.config.Self, r.config.SubsetSize, targets) {
		v.all = append(v.all, byIncarnation[chosen.target.Incarnation])
	}
	v.split()
	return v
}

// split sets the lists by tier as parts of v.all, which is ordered by tier. The
// two counters are the numbers of targets in these tiers.
func (v *view) split() {
	ownZone, otherZones := 0, 0
	for _, e := range v.all {
		switch e.tier {
		case tierOwnZone:
			ownZone++
		case tierOtherZone:
			otherZones++
		}
	}
	v.ownZone = v.all[:ownZone]
	v.otherZones = v.all[ownZone : ownZone+otherZones]
	v.close = v.all[:ownZone+otherZones]
	v.otherRegions = v.all[ownZone+otherZones:]
}

// minZoneCapacityShare is the share of a zone's fair part of the region's
// capacity below which the zone gets no preference, because its callers would
// overload it.
const minZoneCapacityShare = 0.5

// prefersOwnZone reports whether the slots of the node's own zone suffice for the
// callers in it, assuming that callers are spread evenly over the zones of the
// region.
func prefersOwnZone(targets []scoredTarget) bool {
	zones := map[string]bool{}
	own, region := 0, 0
	for _, t := range targets {
		if t.tier == tierOtherRegion {
			continue
		}
		zones[t.target.Zone] = true
		region += max(t.target.Slots, 1)
		if t.tier == tierOwnZone {
			own += max(t.target.Slots, 1)
		}
	}
	return own > 0 && float64(own*len(zones)) >= minZoneCapacityShare*float64(region)
}

// reindex applies the difference between two sets of targets to the index by
// incarnation.
func (r *Router) reindex(old, byIncarnation map[uint64]*Endpoint) {
	changed := map[uint64]map[uint64]*Endpoint{}
	for id, e := range byIncarnation {
		if old[id] != e {
			r.shard(changed, id)[id] = e
		}
	}
	for id := range old {
		if _, present := byIncarnation[id]; !present {
			delete(r.shard(changed, id), id)
		}
	}
	for i, shard := range changed {
		r.index[i].Store(&shard)
	}
}

// shard returns the modifiable copy of the shard of id, which it makes on first
// use.
func (r *Router) shard(changed map[uint64]map[uint64]*Endpoint, id uint64) map[uint64]*Endpoint {
	i := shardOf(id)
	if changed[i] == nil {
		changed[i] = maps.Clone(*r.index[i].Load())
	}
	return changed[i]
}

func shardOf(incarnation uint64) uint64 { return mix(incarnation) % indexShards }

// Find returns the endpoint of an incarnation, also outside of the subset, or
// nil if there is none. It serves calls that must go to the executor of an
// idempotency key.
func (r *Router) Find(incarnation uint64) *Endpoint {
	return (*r.index[shardOf(incarnation)].Load())[incarnation]
}

// Services returns the sorted names of the services that have targets.
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

// InPanicMode reports whether ejections after comparison are ignored for a
// service.
func (r *Router) InPanicMode(name string) bool {
	s := (*r.services.Load())[name]
	return s != nil && s.panic.Load()
}
