package control

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/primrosemount/primrosemount/core/membership"
	"github.com/primrosemount/primrosemount/core/spread"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/streamlog"
)

const (
	// directAfter is the number of readers that have to fail before a node
	// appends its registration itself.
	directAfter = 6
	// maxRegisterFactor bounds the wait before a registration is repeated, in
	// units of Intervals.Register. The wait grows, so that a fleet whose
	// registrations do not get through does not flood the log.
	maxRegisterFactor = 15
	// evictInterval is the time between two steps of the eviction policy.
	evictInterval = time.Second
)

// registration is what the node wants the fold to show about it.
type registration struct {
	join     *pb.Member
	leave    *pb.Leave
	dueAt    time.Time
	sent     int
	sentTo   string
	failures int
}

type register struct {
	member *pb.Member
	reply  chan<- error
}

func (register) kind() Kind { return KindSubmit }

func (m register) handle(t *task) {
	if _, gone := t.mem.State.Retired(m.member.GetIncarnation()); gone {
		m.reply <- ErrEvicted
		return
	}
	if m.member.GetIncarnation() != t.self.GetIncarnation() {
		t.seen = false
		t.told = false
		t.evictor = membership.NewEvictor(m.member.GetIncarnation(), m.member.GetAvailabilityZone())
	}
	t.self = t.ordered(m.member)
	t.want = registration{join: t.self}
	t.refreshed = time.Time{}
	m.reply <- nil
	t.registerDue(time.Now())
}

// ordered returns the announcement with a time after the one in the fold, if
// it says something new: the clock of the VM may have been set back.
func (t *task) ordered(member *pb.Member) *pb.Member {
	old, ok := t.mem.State.Member(member.GetIncarnation())
	if !ok || member.GetJoinedUnixNanos() > old.Joined {
		return member
	}
	later := proto.CloneOf(member)
	later.JoinedUnixNanos = old.Joined
	if proto.Equal(later, old.Proto()) {
		return member
	}
	later.JoinedUnixNanos++
	return later
}

type leave struct {
	successor uint64
	reply     chan error
}

func (leave) kind() Kind { return KindSubmit }

func (m leave) handle(t *task) {
	t.want = registration{leave: &pb.Leave{Incarnation: t.self.GetIncarnation(), Successor: m.successor}}
	t.leaving = append(t.leaving, m.reply)
	t.registerDue(time.Now())
}

// record returns the registration that the fold lacks, or nil.
func (t *task) record() *pb.MembersRecord {
	switch {
	case t.want.leave != nil:
		if _, gone := t.mem.State.Retired(t.want.leave.GetIncarnation()); gone {
			return nil
		}
		return &pb.MembersRecord{Record: &pb.MembersRecord_Leave{Leave: t.want.leave}}
	case t.want.join != nil:
		return t.joinRecord()
	default:
		return nil
	}
}

func (t *task) joinRecord() *pb.MembersRecord {
	join := t.want.join
	if _, gone := t.mem.State.Retired(join.GetIncarnation()); gone {
		return nil
	}
	if m, ok := t.mem.State.Member(join.GetIncarnation()); ok && m.Joined >= join.GetJoinedUnixNanos() {
		return nil
	}
	return &pb.MembersRecord{Record: &pb.MembersRecord_Join{Join: &pb.Join{Member: join}}}
}

// registerDue sends the registration until the fold shows it. A node that does
// not know the members waits, because it knows no reader: after a restart of
// the whole fleet each node would append its own record.
func (t *task) registerDue(now time.Time) {
	if now.Before(t.want.dueAt) || !t.stream(streamlog.MembersStream).replica.CaughtUp() {
		return
	}
	record := t.record()
	if record == nil {
		return
	}
	t.want.sent++
	wait := time.Duration(min(t.want.sent, maxRegisterFactor)) * t.cfg.Intervals.Register
	t.want.dueAt = now.Add(t.jitter(wait))
	t.sendRegistration(now, record)
}

// sendRegistration passes a registration to a reader of the zone, then to
// readers of other zones, and appends it itself when these have failed.
func (t *task) sendRegistration(now time.Time, record *pb.MembersRecord) {
	readers := t.registrars()
	if t.reader || t.want.failures >= min(directAfter, len(readers)) {
		t.want.failures = 0
		t.batcher.Add(record)
		return
	}
	reader := readers[t.want.failures%len(readers)]
	if t.links.at(reader.Address).busy {
		t.want.failures++
		t.want.dueAt = now
		return
	}
	request := t.request()
	request.WantState = false
	request.Registrations = []*pb.MembersRecord{record}
	t.want.sentTo = reader.Address
	t.exchange(reader.Address, reader.Incarnation, request, 0)
}

// registrars returns the readers of the own zone in the order of this node,
// then those of other zones.
func (t *task) registrars() []*membership.Member {
	members := t.members()
	own := t.self.GetAvailabilityZone()
	readers := rotate(spread.Readers(members, own), t.self.GetIncarnation())
	var others []*membership.Member
	for _, zone := range members.Zones() {
		if zone != own {
			others = append(others, spread.Readers(members, zone)...)
		}
	}
	readers = append(readers, rotate(others, t.self.GetIncarnation())...)
	return slices.DeleteFunc(readers, func(m *membership.Member) bool {
		return m.Address == t.self.GetNodeAddress()
	})
}

func rotate(list []*membership.Member, by uint64) []*membership.Member {
	if len(list) == 0 {
		return nil
	}
	at := int(by % uint64(len(list)))
	return append(slices.Clone(list[at:]), list[:at]...)
}

// registrationSent tries the next reader at once when one has failed.
func (t *task) registrationSent(m exchangeDone) {
	if len(m.request.GetRegistrations()) == 0 || m.address != t.want.sentTo {
		return
	}
	t.want.sentTo = ""
	if m.err == nil && m.response.GetRegistrationsAccepted() {
		return
	}
	t.want.failures++
	t.want.dueAt = time.Time{}
}

// accept queues the registrations of other nodes. Evictions are reports of
// nodes whose probes have failed; this node checks them itself.
func (t *task) accept(now time.Time, records []*pb.MembersRecord) bool {
	accepted := len(records) > 0
	for _, record := range records {
		if e := record.GetEvict(); e != nil {
			t.reported(now, e)
			continue
		}
		accepted = t.batcher.Add(record) && accepted
	}
	return accepted
}

func (t *task) reported(now time.Time, e *pb.Evict) {
	dead, present := t.mem.State.Member(e.GetIncarnation())
	reporter, known := t.mem.State.Member(e.GetRequestedBy())
	if present && known {
		t.evictor.ReportSuspect(now, dead, reporter)
	}
}

// settleRegistration compares the fold with what the node wants.
func (t *task) settleRegistration() {
	t.settleLeave()
	t.settleEviction()
}

func (t *task) settleLeave() {
	if t.want.leave == nil {
		return
	}
	if _, gone := t.mem.State.Retired(t.want.leave.GetIncarnation()); !gone {
		return
	}
	for _, reply := range t.leaving {
		reply <- nil
	}
	t.leaving = nil
}

func (t *task) settleEviction() {
	id := t.self.GetIncarnation()
	_, present := t.mem.State.Member(id)
	t.seen = t.seen || present
	if present || t.told || t.want.join == nil {
		return
	}
	if _, gone := t.mem.State.Retired(id); !gone && !t.seen {
		return
	}
	t.told = true
	t.logger.Warn("control: this incarnation was evicted", zap.Uint64("incarnation", id))
	t.want = registration{}
	evicted := t.cfg.OnEvicted
	t.c.io.Go(func() { evicted(id) })
}

type reportDead struct{ incarnation uint64 }

func (reportDead) kind() Kind { return KindProbe }

func (m reportDead) handle(t *task) { t.suspect(time.Now(), m.incarnation) }

// evictDue takes one step of the eviction policy.
func (t *task) evictDue(now time.Time) {
	if t.evictor.Suspects() == 0 || now.Before(t.evictAt) {
		return
	}
	t.evictAt = now.Add(evictInterval)
	actions := t.evictor.Step(now, t.members(), t.reader)
	for _, m := range actions.Probe {
		t.probe(m)
	}
	for _, m := range actions.Forward {
		t.forward(m)
	}
	for _, m := range actions.Evict {
		t.logger.Info("control: evicting", zap.Stringer("member", m))
		t.batcher.Add(t.evictRecord(m))
	}
	for _, zone := range actions.BlockedZones {
		t.logger.Debug("control: evictions are held", zap.String("zone", zone))
	}
}

func (t *task) evictRecord(m *membership.Member) *pb.MembersRecord {
	evict := &pb.Evict{Incarnation: m.Incarnation, RequestedBy: t.self.GetIncarnation()}
	return &pb.MembersRecord{Record: &pb.MembersRecord_Evict{Evict: evict}}
}

// forward reports a suspect to a reader of another zone, or of the own zone
// where there is no other.
func (t *task) forward(suspect *membership.Member) {
	own := t.self.GetAvailabilityZone()
	var far, near []*membership.Member
	for _, m := range t.registrars() {
		if m.Incarnation == suspect.Incarnation || t.links.at(m.Address).busy {
			continue
		}
		if m.Zone == own {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	if len(far) == 0 {
		far = near
	}
	if len(far) == 0 {
		return
	}
	reader := far[t.rng.IntN(len(far))]
	request := t.request()
	request.WantState = false
	request.Registrations = []*pb.MembersRecord{t.evictRecord(suspect)}
	t.exchange(reader.Address, reader.Incarnation, request, 0)
}

func (t *task) probe(m *membership.Member) {
	request := &pb.ProbeRequest{Sender: t.self.GetIncarnation()}
	peers, timeout := t.cfg.Peers, t.cfg.Intervals.PeerTimeout
	t.spawn(func(ctx context.Context) message {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		response, err := peers.Probe(ctx, m.Address, request)
		if err == nil && response.GetGate().GetIncarnation() != m.Incarnation {
			err = errNoAnswer
		}
		return probeDone{m, err}
	})
}

type probeDone struct {
	member *membership.Member
	err    error
}

func (probeDone) kind() Kind { return KindProbe }

func (m probeDone) handle(t *task) {
	now := time.Now()
	t.c.stats.message(KindProbe, 0, 0, m.err)
	if m.err != nil {
		t.evictor.ReportProbeFailure(now, m.member.Incarnation)
		return
	}
	t.evictor.ReportAlive(now, m.member)
}
