package membership

import (
	"slices"
	"time"
)

const (
	// MinProbes is the number of probes by a node that must have failed before
	// the node evicts a suspect or reports it to other readers.
	MinProbes = 3
	// SuspicionTimeout is the minimum time from the first report of a suspect
	// to its eviction. It is longer than a pause for garbage collection or live
	// migration.
	SuspicionTimeout = 20 * time.Second
	// ProbeInterval is the minimum time between two probes of one suspect.
	ProbeInterval = 5 * time.Second
	// ForwardInterval is the minimum time between two reports of one suspect to
	// other readers.
	ForwardInterval = 15 * time.Second
	// SuspectTTL is the time after the latest report or failed probe at which a
	// suspect is dropped.
	SuspectTTL = 2 * time.Minute
	// ZoneSilenceTimeout is the time without a response from any member of a
	// zone after which the zone counts as lost or partitioned. A probe that
	// fails meanwhile says nothing about the single member, so it does not
	// count after the zone has recovered either.
	ZoneSilenceTimeout = 3 * ProbeInterval
	// ReportTTL is the time for which the report of another node confirms a
	// suspect.
	ReportTTL = 2 * ForwardInterval
	// EvictWindow is the time for which an eviction counts toward MaxZoneShare.
	EvictWindow = 10 * time.Minute
	// MaxZoneShare is the maximum share of a zone that may be suspect or
	// evicted within EvictWindow. A larger share indicates a zone outage or a
	// network partition, in which no member may be evicted.
	MaxZoneShare = 0.05
	// EvictInterval is the minimum time between two evictions in the fleet, as
	// observed by one reader.
	EvictInterval = 5 * time.Second
	// MaxProbesPerStep is the maximum number of suspects probed in one step.
	// Each of them may add the probe of a witness, another member of its zone.
	MaxProbesPerStep = 8
	// MaxSuspects limits the memory for suspects. A larger number of them
	// indicates a zone outage, in which no member may be evicted.
	MaxSuspects = 1024
)

// Actions holds the actions that the caller of Evictor.Step has to carry out.
type Actions struct {
	// Probe lists the suspects and witnesses to probe. The result of each probe
	// is passed to ReportAlive or ReportProbeFailure.
	Probe []*Member
	// Forward lists the suspects to report to other readers, at least one of
	// which is in another zone.
	Forward []*Member
	// Evict lists the members to evict by a record in the members stream. It is
	// empty on a node that is not a reader.
	Evict []*Member
	// BlockedZones lists the zones in which evictions are blocked because too
	// many members are suspect or recently evicted; see MaxZoneSuspects.
	BlockedZones []string
}

// An Evictor decides which members to evict, given reports of unresponsive
// members. It evicts a member if all of these hold:
//   - The member has been suspect for SuspicionTimeout.
//   - MinProbes probes by this node have failed while other members of the zone
//     responded.
//   - A node in another zone reports the member as well (any other node if
//     there is only one zone).
//   - The zone has no more than MaxZoneSuspects suspects and recent evictions.
//   - The latest eviction is at least EvictInterval ago.
type Evictor struct {
	self         uint64
	zone         string
	suspects     map[uint64]*suspect
	lastResponse map[string]time.Time
	evicted      []eviction
}

type suspect struct {
	zone      string
	since     time.Time
	reported  time.Time
	probed    time.Time
	forwarded time.Time
	failed    int
	// reports holds the latest report of each other node whose own probes of
	// the suspect have failed.
	reports map[uint64]report
}

type report struct {
	at   time.Time
	zone string
}

// resetEvidence discards the failed probes and reports collected so far.
func (s *suspect) resetEvidence(now time.Time) {
	s.since = now
	s.failed = 0
	clear(s.reports)
}

type eviction struct {
	at          time.Time
	incarnation uint64
	zone        string
}

// NewEvictor returns an Evictor for the node with the given incarnation and
// zone.
func NewEvictor(self uint64, zone string) *Evictor {
	return &Evictor{self: self, zone: zone, suspects: map[uint64]*suspect{}, lastResponse: map[string]time.Time{}}
}

// ReportSuspect records that a member may have failed. The reporter is nil if
// this node suspects the member; this counts as evidence only after probes by
// this node have failed. Otherwise the reporter is another node, whose probes
// have failed.
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

// ReportAlive records a response of a member, which is then no longer suspect.
// If its zone was silent, the evidence against the other members of the zone is
// discarded, because it may be due to the outage of the zone.
func (e *Evictor) ReportAlive(now time.Time, m *Member) {
	delete(e.suspects, m.Incarnation)
	if e.zoneSilent(now, m.Zone) {
		for _, s := range e.suspects {
			if s.zone == m.Zone {
				s.resetEvidence(now)
			}
		}
	}
	e.lastResponse[m.Zone] = now
}

func (e *Evictor) zoneSilent(now time.Time, zone string) bool {
	return now.Sub(e.lastResponse[zone]) > ZoneSilenceTimeout
}

// ReportProbeFailure records that a probe received no response, or a response
// of another incarnation.
func (e *Evictor) ReportProbeFailure(now time.Time, incarnation uint64) {
	s := e.suspects[incarnation]
	if s == nil {
		return
	}
	s.reported = now
	if e.zoneSilent(now, s.zone) {
		s.resetEvidence(now)
		return
	}
	s.failed++
}

// Evicted records an eviction that this node has decided or that the members
// stream contains, whichever reader decided it.
func (e *Evictor) Evicted(now time.Time, m *Member) {
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

// Step returns the actions that are due. The argument reader reports whether
// this node is a reader, as only readers evict.
func (e *Evictor) Step(now time.Time, members *Snapshot, reader bool) Actions {
	e.expire(now, members)
	actions := Actions{}
	blocked := e.blockedZones(members)
	for _, id := range e.probeOrder() {
		m, _ := members.Member(id)
		e.stepSuspect(now, members, m, blocked[m.Zone], reader, &actions)
	}
	for zone := range blocked {
		actions.BlockedZones = append(actions.BlockedZones, zone)
	}
	slices.Sort(actions.BlockedZones)
	return actions
}

// stepSuspect adds to actions what is due for one suspect: a probe, and either
// its eviction or a report to other readers.
func (e *Evictor) stepSuspect(now time.Time, members *Snapshot, m *Member, blocked, reader bool, actions *Actions) {
	s := e.suspects[m.Incarnation]
	if now.Sub(s.probed) >= ProbeInterval && len(actions.Probe) < 2*MaxProbesPerStep {
		s.probed = now
		actions.Probe = append(actions.Probe, m)
		e.probeWitness(now, members, s, actions)
	}
	if blocked || s.failed < MinProbes || now.Sub(s.since) < SuspicionTimeout {
		return
	}
	if reader && e.confirmed(now, members, s) && e.evictionAllowed(now) {
		actions.Evict = append(actions.Evict, m)
		e.Evicted(now, m)
		return
	}
	if now.Sub(s.forwarded) >= ForwardInterval {
		s.forwarded = now
		actions.Forward = append(actions.Forward, m)
	}
}

// probeWitness probes another member of the zone of a suspect if no member of
// the zone has responded within ProbeInterval. The response of a witness shows
// that the zone itself is reachable.
func (e *Evictor) probeWitness(now time.Time, members *Snapshot, s *suspect, actions *Actions) {
	if now.Sub(e.lastResponse[s.zone]) < ProbeInterval {
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

// confirmed reports whether another node confirms the suspect while its zone is
// reachable. If the fleet has several zones, that node must be in another zone
// than this one, so that a partition between two zones cannot cause an
// eviction.
func (e *Evictor) confirmed(now time.Time, members *Snapshot, s *suspect) bool {
	if e.zoneSilent(now, s.zone) {
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

func (e *Evictor) evictionAllowed(now time.Time) bool {
	if len(e.evicted) == 0 {
		return true
	}
	return now.Sub(e.evicted[len(e.evicted)-1].at) >= EvictInterval
}

// blockedZones returns the zones that have more suspects and recent evictions
// than MaxZoneSuspects. Evicted members count toward the size of their zone, so
// that the limit does not shrink with each eviction.
func (e *Evictor) blockedZones(members *Snapshot) map[string]bool {
	evicted := map[string]int{}
	for _, ev := range e.evicted {
		evicted[ev.zone]++
	}
	suspects := map[string]int{}
	for _, s := range e.suspects {
		suspects[s.zone]++
	}
	blocked := map[string]bool{}
	for zone, n := range suspects {
		size := len(members.zones[zone]) + evicted[zone]
		if n+evicted[zone] > MaxZoneSuspects(size) {
			blocked[zone] = true
		}
	}
	return blocked
}

// MaxZoneSuspects returns how many members of a zone of the given size may be
// suspect or recently evicted before evictions in the zone are blocked.
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

// probeOrder returns the suspects in the order in which they are probed, least
// recently probed first.
func (e *Evictor) probeOrder() []uint64 {
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
