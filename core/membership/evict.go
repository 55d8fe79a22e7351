package membership

import (
	"slices"
	"time"
)

const (
	// MinProbes is the number of own probes that have to fail.
	MinProbes = 3
	// ConfirmAfter is the time from the first report to an eviction. It is
	// longer than a pause by garbage collection or live migration.
	ConfirmAfter = 20 * time.Second
	// ProbeInterval is the time between two probes of one suspect.
	ProbeInterval = 5 * time.Second
	// ForwardInterval is the time between two requests to other readers.
	ForwardInterval = 15 * time.Second
	// SuspectFor is the time after which a suspect without new report is dropped.
	SuspectFor = 2 * time.Minute
	// EvictWindow is the time for which evictions of a zone count.
	EvictWindow = 10 * time.Minute
	// ZoneShare is the share of a zone that may be suspect or evicted in the
	// window; more means a lost zone or a partition, where nobody is evicted.
	ZoneShare = 0.05
	// EvictInterval is the shortest time between two evictions in the fleet
	// as seen by one reader.
	EvictInterval = 5 * time.Second
	// MaxProbesPerStep bounds the probes of one step.
	MaxProbesPerStep = 8
	// MaxSuspects bounds the memory; more suspects mean a lost zone.
	MaxSuspects = 1024
)

// Actions are what the owner of an Evictor has to do.
type Actions struct {
	// Probe lists members to probe; report each result.
	Probe []*Member
	// Forward lists suspects to report to readers, one of them in another zone.
	Forward []*Member
	// Evict lists members to evict by a record; empty for non-readers.
	Evict []*Member
	// Held lists zones whose suspects exceed the bound.
	Held []string
}

// Evictor decides about evictions from reports of dead peers. A member is
// evicted if it has been suspect for ConfirmAfter, own probes failed, a node in
// another zone confirms (any other node if there is one zone), another member
// of its zone has answered since, and the bound of the zone and the rate allow it.
type Evictor struct {
	self     uint64
	zone     string
	suspects map[uint64]*suspect
	answered map[string]time.Time
	evicted  []eviction
}

type suspect struct {
	since     time.Time
	reported  time.Time
	probed    time.Time
	forwarded time.Time
	failed    int
	// reporters holds the zones of the nodes whose own probes failed.
	reporters map[uint64]string
}

type eviction struct {
	at   time.Time
	zone string
}

// NewEvictor returns an Evictor for the node with this incarnation and zone.
func NewEvictor(self uint64, zone string) *Evictor {
	return &Evictor{self: self, zone: zone, suspects: map[uint64]*suspect{}, answered: map[string]time.Time{}}
}

// Report notes that a member seems dead. Reporter is 0 for the own node, whose
// word counts only after its probes have failed, else a node whose probes failed.
func (e *Evictor) Report(now time.Time, dead, reporter uint64, zone string) {
	s := e.suspects[dead]
	if s == nil {
		if len(e.suspects) >= MaxSuspects || dead == e.self {
			return
		}
		s = &suspect{since: now, reporters: map[uint64]string{}}
		e.suspects[dead] = s
	}
	s.reported = now
	if reporter != 0 && reporter != e.self {
		s.reporters[reporter] = zone
	}
}

// Alive notes an answer of a member.
func (e *Evictor) Alive(now time.Time, m *Member) {
	delete(e.suspects, m.Incarnation)
	e.answered[m.Zone] = now
}

// ProbeFailed notes that a probe got no answer, or the answer of another incarnation.
func (e *Evictor) ProbeFailed(now time.Time, incarnation uint64) {
	if s := e.suspects[incarnation]; s != nil {
		s.failed++
		s.reported = now
	}
}

// Evicted notes an eviction in the fold, by whichever reader.
func (e *Evictor) Evicted(now time.Time, m *Member) {
	delete(e.suspects, m.Incarnation)
	e.evicted = append(e.evicted, eviction{at: now, zone: m.Zone})
}

// Suspects returns the number of suspects.
func (e *Evictor) Suspects() int { return len(e.suspects) }

// Step returns what to do now. Reader tells whether this node may evict.
func (e *Evictor) Step(now time.Time, members *Snapshot, reader bool) Actions {
	e.expire(now, members)
	actions := Actions{}
	held := e.heldZones(members)
	for _, id := range e.order() {
		m, _ := members.Member(id)
		e.stepOne(now, members, m, held[m.Zone], reader, &actions)
	}
	for zone := range held {
		actions.Held = append(actions.Held, zone)
	}
	slices.Sort(actions.Held)
	return actions
}

func (e *Evictor) stepOne(now time.Time, members *Snapshot, m *Member, held, reader bool, actions *Actions) {
	s := e.suspects[m.Incarnation]
	if now.Sub(s.probed) >= ProbeInterval && len(actions.Probe) < MaxProbesPerStep {
		s.probed = now
		actions.Probe = append(actions.Probe, m)
	}
	if held || s.failed < MinProbes || now.Sub(s.since) < ConfirmAfter {
		return
	}
	if reader && e.confirmed(members, m, s) && e.allowed(now) {
		actions.Evict = append(actions.Evict, m)
		e.Evicted(now, m)
		return
	}
	if now.Sub(s.forwarded) >= ForwardInterval {
		s.forwarded = now
		actions.Forward = append(actions.Forward, m)
	}
}

// confirmed tells whether the evidence comes from more than one place.
func (e *Evictor) confirmed(members *Snapshot, m *Member, s *suspect) bool {
	if e.answered[m.Zone].Before(s.since) {
		return false
	}
	single := len(members.zones) == 1
	for reporter, zone := range s.reporters {
		if reporter == m.Incarnation {
			continue
		}
		if single || zone != e.zone {
			return true
		}
	}
	return false
}

func (e *Evictor) allowed(now time.Time) bool {
	if len(e.evicted) == 0 {
		return true
	}
	return now.Sub(e.evicted[len(e.evicted)-1].at) >= EvictInterval
}

// heldZones returns the zones with more suspects and recent evictions than the bound.
func (e *Evictor) heldZones(members *Snapshot) map[string]bool {
	counts := map[string]int{}
	for id := range e.suspects {
		m, _ := members.Member(id)
		counts[m.Zone]++
	}
	for _, ev := range e.evicted {
		counts[ev.zone]++
	}
	held := map[string]bool{}
	for zone, n := range counts {
		if n > ZoneBound(len(members.zones[zone])) {
			held[zone] = true
		}
	}
	return held
}

// ZoneBound returns how many members of a zone of this size may be suspect or
// recently evicted before evictions in the zone stop.
func ZoneBound(size int) int {
	return max(1, int(float64(size)*ZoneShare))
}

func (e *Evictor) expire(now time.Time, members *Snapshot) {
	for id, s := range e.suspects {
		if _, ok := members.Member(id); !ok || now.Sub(s.reported) > SuspectFor {
			delete(e.suspects, id)
		}
	}
	e.evicted = slices.DeleteFunc(e.evicted, func(ev eviction) bool { return now.Sub(ev.at) > EvictWindow })
}

// order returns the suspects, longest suspected first.
func (e *Evictor) order() []uint64 {
	ids := make([]uint64, 0, len(e.suspects))
	for id := range e.suspects {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b uint64) int {
		if c := e.suspects[a].probed.Compare(e.suspects[b].probed); c != 0 {
			return c
		}
		if a < b {
			return -1
		}
		return 1
	})
	return ids
}
