package membership

import (
	"slices"
	"time"
)

const (
	// MinProbes is the number of own probes that have to fail.
	MinProbes = 3
	// SuspicionTimeout is the time from the first report to an eviction. It is
	// longer than a pause by garbage collection or live migration.
	SuspicionTimeout = 20 * time.Second
	// ProbeInterval is the time between two probes of one suspect.
	ProbeInterval = 5 * time.Second
	// ForwardInterval is the time between two requests to other readers.
	ForwardInterval = 15 * time.Second
	// SuspectTTL is the time after which a suspect without new report is dropped.
	SuspectTTL = 2 * time.Minute
	// ZoneSilenceTimeout is the time after which a zone without answer counts as lost
	// or cut off. Probes that fail meanwhile prove nothing about one member,
	// also not when the zone is back.
	ZoneSilenceTimeout = 3 * ProbeInterval
	// ReportTTL is the time for which the report of another node counts.
	ReportTTL = 2 * ForwardInterval
	// EvictWindow is the time for which evictions of a zone count.
	EvictWindow = 10 * time.Minute
	// MaxZoneShare is the share of a zone that may be suspect or evicted in the
	// window; more means a lost zone or a partition, where nobody is evicted.
	MaxZoneShare = 0.05
	// EvictInterval is the shortest time between two evictions in the fleet
	// as seen by one reader.
	EvictInterval = 5 * time.Second
	// MaxProbesPerStep bounds the suspects probed in one step; each may bring a
	// probe of a witness.
	MaxProbesPerStep = 8
	// MaxSuspects bounds the memory; more suspects mean a lost zone.
	MaxSuspects = 1024
)

// Actions are what the owner of an Evictor has to do.
type Actions struct {
	// Probe lists suspects and witnesses to probe; report each result.
	Probe []*Member
	// Forward lists suspects to report to readers, one of them in another zone.
	Forward []*Member
	// Evict lists members to evict by a record; empty for non-readers.
	Evict []*Member
	// BlockedZones lists zones whose suspects exceed the bound.
	BlockedZones []string
}

// Evictor decides about evictions from reports of dead peers. A member is
// evicted if it has been suspect for ConfirmAfter, own probes failed while other
// members of its zone answered, a node in another zone confirms (any other node
// if there is one zone), and the bound of the zone and the rate allow it.
type Evictor struct {
	self     uint64
	zone     string
	suspects map[uint64]*suspect
	answered map[string]time.Time
	evicted  []eviction
}

type suspect struct {
	zone      string
	since     time.Time
	reported  time.Time
	probed    time.Time
	forwarded time.Time
	failed    int
	// reports holds the latest report of each node whose own probes failed.
	reports map[uint64]report
}

type report struct {
	at   time.Time
	zone string
}

// restart forgets the evidence.
func (s *suspect) restart(now time.Time) {
	s.since = now
	s.failed = 0
	clear(s.reports)
}

type eviction struct {
	at          time.Time
	incarnation uint64
	zone        string
}

// NewEvictor returns an Evictor for the node with this incarnation and zone.
func NewEvictor(self uint64, zone string) *Evictor {
	return &Evictor{self: self, zone: zone, suspects: map[uint64]*suspect{}, answered: map[string]time.Time{}}
}

// ReportSuspect notes that a member seems dead. Reporter is nil for the own node, whose
// word counts only after its probes have failed, else a node whose probes failed.
func (e *Evictor) ReportSuspect(now time.Time, dead, reporter *Member) {
	s := e.suspects[dead.Incarnation]
	if s == nil {
		if len(e.suspects) >= MaxSuspects || dead.Incarnation == e.self {
			return
		}
		s = &suspect{zone: dead.Zone, since: now, reports: map[uint64]report{}}
		e.suspects[dead.Incarnation] = s
	}
	s.reported = now
	if reporter != nil && reporter.Incarnation != e.self && reporter.Incarnation != dead.Incarnation {
		s.reports[reporter.Incarnation] = report{at: now, zone: reporter.Zone}
	}
}

// ReportAlive notes an answer of a member. If its zone was silent, the evidence
// against other members of the zone starts anew.
func (e *Evictor) ReportAlive(now time.Time, m *Member) {
	delete(e.suspects, m.Incarnation)
	if e.silent(now, m.Zone) {
		for _, s := range e.suspects {
			if s.zone == m.Zone {
				s.restart(now)
			}
		}
	}
	e.answered[m.Zone] = now
}

func (e *Evictor) silent(now time.Time, zone string) bool {
	return now.Sub(e.answered[zone]) > ZoneSilenceTimeout
}

// ReportProbeFailure notes that a probe got no answer, or the answer of another
// incarnation.
func (e *Evictor) ReportProbeFailure(now time.Time, incarnation uint64) {
	s := e.suspects[incarnation]
	if s == nil {
		return
	}
	s.reported = now
	if e.silent(now, s.zone) {
		s.restart(now)
		return
	}
	s.failed++
}

// RecordEviction notes an eviction that this node decided or the fold shows, by
// whichever reader.
func (e *Evictor) RecordEviction(now time.Time, m *Member) {
	delete(e.suspects, m.Incarnation)
	for _, ev := range e.evicted {
		if ev.incarnation == m.Incarnation {
			return
		}
	}
	e.evicted = append(e.evicted, eviction{at: now, incarnation: m.Incarnation, zone: m.Zone})
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
		actions.BlockedZones = append(actions.BlockedZones, zone)
	}
	slices.Sort(actions.BlockedZones)
	return actions
}

func (e *Evictor) stepOne(now time.Time, members *Snapshot, m *Member, held, reader bool, actions *Actions) {
	s := e.suspects[m.Incarnation]
	if now.Sub(s.probed) >= ProbeInterval && len(actions.Probe) < 2*MaxProbesPerStep {
		s.probed = now
		actions.Probe = append(actions.Probe, m)
		e.probeWitness(now, members, s, actions)
	}
	if held || s.failed < MinProbes || now.Sub(s.since) < SuspicionTimeout {
		return
	}
	if reader && e.confirmed(now, members, s) && e.allowed(now) {
		actions.Evict = append(actions.Evict, m)
		e.RecordEviction(now, m)
		return
	}
	if now.Sub(s.forwarded) >= ForwardInterval {
		s.forwarded = now
		actions.Forward = append(actions.Forward, m)
	}
}

// probeWitness probes another member of the zone of a suspect, if none has
// answered of late.
func (e *Evictor) probeWitness(now time.Time, members *Snapshot, s *suspect, actions *Actions) {
	if now.Sub(e.answered[s.zone]) < ProbeInterval {
		return
	}
	zone := members.Zone(s.zone)
	start := int(now.Unix()) % len(zone)
	for i := range zone {
		witness := zone[(start+i)%len(zone)]
		if witness.Incarnation != e.self && e.suspects[witness.Incarnation] == nil {
			actions.Probe = append(actions.Probe, witness)
			return
		}
	}
}

// confirmed tells whether the evidence comes from more than one place.
func (e *Evictor) confirmed(now time.Time, members *Snapshot, s *suspect) bool {
	if e.silent(now, s.zone) {
		return false
	}
	single := len(members.zones) == 1
	for _, r := range s.reports {
		if now.Sub(r.at) <= ReportTTL && (single || r.zone != e.zone) {
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

// heldZones returns the zones with more suspects and recent evictions than the
// bound. The evicted count towards the size, so that the bound does not shrink
// with each eviction.
func (e *Evictor) heldZones(members *Snapshot) map[string]bool {
	evicted := map[string]int{}
	for _, ev := range e.evicted {
		evicted[ev.zone]++
	}
	suspects := map[string]int{}
	for _, s := range e.suspects {
		suspects[s.zone]++
	}
	held := map[string]bool{}
	for zone, n := range suspects {
		size := len(members.zones[zone]) + evicted[zone]
		if n+evicted[zone] > MaxZoneSuspects(size) {
			held[zone] = true
		}
	}
	return held
}

// MaxZoneSuspects returns how many members of a zone of this size may be suspect or
// recently evicted before evictions in the zone stop.
func MaxZoneSuspects(size int) int {
	return max(1, int(float64(size)*MaxZoneShare))
}

func (e *Evictor) expire(now time.Time, members *Snapshot) {
	for id, s := range e.suspects {
		if _, ok := members.Member(id); !ok || now.Sub(s.reported) > SuspectTTL {
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
