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
	// maxReaderFailures is the number of readers that have to fail before a node
	// appends its registration to the log itself.
	maxReaderFailures = 6
	// maxRegisterBackoff is the maximum delay before a registration is sent
	// again, in units of Intervals.Register. The delay grows with each attempt,
	// so that a fleet whose registrations fail does not flood the log.
	maxRegisterBackoff = 15
	// evictStepInterval is the time between two steps of the eviction policy.
	evictStepInterval = time.Second
)

// A registration is the join or leave of this node that the member table is to
// show, and the state of sending it.
type registration struct {
	join  *pb.Member
	leave *pb.Leave
	// dueAt is the time of the next attempt.
	dueAt    time.Time
	attempts int
	// sentTo is the address of the reader that has not responded yet, if any.
	sentTo string
	// readerFailures is the number of readers that failed or were busy since the
	// node last appended the registration itself.
	readerFailures int
}

// register is the message of Control.Register.
type register struct {
	member *pb.Member
	reply  chan<- error
}

func (register) kind() Kind { return KindSubmit }

func (m register) handle(t *task) {
	if _, retired := t.mem.State.Retired(m.member.GetIncarnation()); retired {
		m.reply <- ErrEvicted
		return
	}
	if m.member.GetIncarnation() != t.self.GetIncarnation() {
		t.registered = false
		t.evictionNotified = false
		t.evictor = membership.NewEvictor(m.member.GetIncarnation(), m.member.GetAvailabilityZone())
	}
	t.self = t.withLaterTime(m.member)
	t.desired = registration{join: t.self}
	t.refreshedAt = time.Time{}
	m.reply <- nil
	t.registerIfDue(time.Now())
}

// withLaterTime returns the member, with its time moved past that of its entry in
// the member table if necessary. The table ignores an update that is not later
// than the entry, which would happen after the clock of the VM was set back. A
// member that differs from the entry in nothing but the time is returned
// unchanged.
func (t *task) withLaterTime(member *pb.Member) *pb.Member {
	old, ok := t.mem.State.Member(member.GetIncarnation())
	if !ok || member.GetJoinedUnixNanos() > old.Joined {
		return member
	}
	updated := proto.CloneOf(member)
	updated.JoinedUnixNanos = old.Joined
	if proto.Equal(updated, old.Proto()) {
		return member
	}
	updated.JoinedUnixNanos++
	return updated
}

// leave is the message of Control.Leave.
type leave struct {
	successor uint64
	reply     chan error
}

func (leave) kind() Kind { return KindSubmit }

func (m leave) handle(t *task) {
	t.desired = registration{leave: &pb.Leave{Incarnation: t.self.GetIncarnation(), Successor: m.successor}}
	t.leaveWaiters = append(t.leaveWaiters, m.reply)
	t.registerIfDue(time.Now())
}

// missingRecord returns the record of the desired registration, or nil if the
// member table shows it already or the incarnation is retired.
func (t *task) missingRecord() *pb.MembersRecord {
	switch {
	case t.desired.leave != nil:
		if _, retired := t.mem.State.Retired(t.desired.leave.GetIncarnation()); retired {
			return nil
		}
		return &pb.MembersRecord{Record: &pb.MembersRecord_Leave{Leave: t.desired.leave}}
	case t.desired.join != nil:
		return t.missingJoin()
	default:
		return nil
	}
}

// missingJoin returns the join record that missingRecord returns for a join.
func (t *task) missingJoin() *pb.MembersRecord {
	join := t.desired.join
	if _, retired := t.mem.State.Retired(join.GetIncarnation()); retired {
		return nil
	}
	if m, ok := t.mem.State.Member(join.GetIncarnation()); ok && m.Joined >= join.GetJoinedUnixNanos() {
		return nil
	}
	return &pb.MembersRecord{Record: &pb.MembersRecord_Join{Join: &pb.Join{Member: join}}}
}

// registerIfDue sends the registration if it is time and the member table does
// not show it. A node that does not have the member table yet waits, because it
// cannot determine the readers: otherwise each node would append a record to the
// log after a restart of the entire fleet.
func (t *task) registerIfDue(now time.Time) {
	if now.Before(t.desired.dueAt) || !t.stream(streamlog.MembersStream).replica.Known() {
		return
	}
	missingRecord := t.missingRecord()
	if missingRecord == nil {
		return
	}
	t.desired.attempts++
	wait := time.Duration(min(t.desired.attempts, maxRegisterBackoff)) * t.cfg.Intervals.Register
	t.desired.dueAt = now.Add(t.jitter(wait))
	t.sendRegistration(now, missingRecord)
}

// sendRegistration sends a registration to the next reader of this zone, then of
// other zones. If enough of them have failed, or if this node is a reader, it
// queues the registration for an append by this node.
func (t *task) sendRegistration(now time.Time, record *pb.MembersRecord) {
	readers := t.registrationReaders()
	if t.reader || t.desired.readerFailures >= min(maxReaderFailures, len(readers)) {
		t.desired.readerFailures = 0
		t.batcher.Add(record)
		return
	}
	reader := readers[t.desired.readerFailures%len(readers)]
	if t.links.get(reader.Address).busy {
		t.desired.readerFailures++
		t.desired.dueAt = now
		return
	}
	request := t.request()
	request.WantState = false
	request.Registrations = []*pb.MembersRecord{record}
	t.desired.sentTo = reader.Address
	t.sendExchange(reader.Address, reader.Incarnation, request, 0)
}

// registrationReaders returns the readers of this zone, then those of other zones.
// The order differs between nodes, which balances the load on the readers.
func (t *task) registrationReaders() []*membership.Member {
	members := t.members()
	ownZone := t.self.GetAvailabilityZone()
	readers := rotate(spread.Readers(members, ownZone), t.self.GetIncarnation())
	var otherZones []*membership.Member
	for _, zone := range members.Zones() {
		if zone != ownZone {
			otherZones = append(otherZones, spread.Readers(members, zone)...)
		}
	}
	readers = append(readers, rotate(otherZones, t.self.GetIncarnation())...)
	return slices.DeleteFunc(readers, func(m *membership.Member) bool {
		return m.Address == t.self.GetNodeAddress()
	})
}

// rotate returns a copy of the list that starts with the element at offset, modulo
// the length.
func rotate(list []*membership.Member, offset uint64) []*membership.Member {
	if len(list) == 0 {
		return nil
	}
	first := int(offset % uint64(len(list)))
	return append(slices.Clone(list[first:]), list[:first]...)
}

// handleRegistrationResult makes the next attempt due at once if the reader has
// failed or rejected the registration.
func (t *task) handleRegistrationResult(m exchangeDone) {
	if len(m.request.GetRegistrations()) == 0 || m.address != t.desired.sentTo {
		return
	}
	t.desired.sentTo = ""
	if m.err == nil && m.response.GetRegistrationsAccepted() {
		return
	}
	t.desired.readerFailures++
	t.desired.dueAt = time.Time{}
}

// acceptRegistrations queues the registrations of other nodes and reports whether
// it has accepted all. An eviction among them only reports that the probes of
// another node have failed; this node probes the member too before it evicts it.
func (t *task) acceptRegistrations(now time.Time, records []*pb.MembersRecord) bool {
	accepted := len(records) > 0
	for _, record := range records {
		if e := record.GetEvict(); e != nil {
			t.acceptReport(now, e)
			continue
		}
		accepted = t.batcher.Add(record) && accepted
	}
	return accepted
}

// acceptReport adds the report of another node to the suspects.
func (t *task) acceptReport(now time.Time, e *pb.Evict) {
	dead, present := t.mem.State.Member(e.GetIncarnation())
	reporter, known := t.mem.State.Member(e.GetRequestedBy())
	if present && known {
		t.evictor.ReportSuspect(now, dead, reporter)
	}
}

// checkRegistration compares the member table with the desired registration.
func (t *task) checkRegistration() {
	t.completeLeave()
	t.detectEviction()
}

// completeLeave replies to the callers of Leave once the member table shows the
// leave.
func (t *task) completeLeave() {
	if t.desired.leave == nil {
		return
	}
	if _, retired := t.mem.State.Retired(t.desired.leave.GetIncarnation()); !retired {
		return
	}
	for _, reply := range t.leaveWaiters {
		reply <- nil
	}
	t.leaveWaiters = nil
}

// detectEviction calls OnEvicted once if this node was evicted, that is, if its
// incarnation is retired or no longer in the member table.
func (t *task) detectEviction() {
	id := t.self.GetIncarnation()
	_, present := t.mem.State.Member(id)
	t.registered = t.registered || present
	if present || t.evictionNotified || t.desired.join == nil {
		return
	}
	if _, retired := t.mem.State.Retired(id); !retired && !t.registered {
		return
	}
	t.evictionNotified = true
	t.logger.Warn("control: this incarnation was evicted", zap.Uint64("incarnation", id))
	t.desired = registration{}
	onEvicted := t.cfg.OnEvicted
	t.c.requests.Go(func() { onEvicted(id) })
}

// suspectReport is the message of Control.ReportSuspect.
type suspectReport struct{ incarnation uint64 }

func (suspectReport) kind() Kind { return KindProbe }

func (m suspectReport) handle(t *task) { t.reportSuspect(time.Now(), m.incarnation) }

// evictIfDue performs one step of the eviction policy if it is time and there are
// suspects.
func (t *task) evictIfDue(now time.Time) {
	if t.evictor.Suspects() == 0 || now.Before(t.nextEvictStepAt) {
		return
	}
	t.nextEvictStepAt = now.Add(evictStepInterval)
	actions := t.evictor.Step(now, t.members(), t.reader)
	for _, m := range actions.Probe {
		t.probe(m)
	}
	for _, m := range actions.Forward {
		t.forwardSuspect(m)
	}
	for _, m := range actions.Evict {
		t.logger.Info("control: evicting", zap.Stringer("member", m))
		t.batcher.Add(t.evictRecord(m))
	}
	for _, zone := range actions.BlockedZones {
		t.logger.Debug("control: evictions in a zone are blocked because too many of its members are suspect or recently evicted", zap.String("zone", zone))
	}
}

func (t *task) evictRecord(m *membership.Member) *pb.MembersRecord {
	evict := &pb.Evict{Incarnation: m.Incarnation, RequestedBy: t.self.GetIncarnation()}
	return &pb.MembersRecord{Record: &pb.MembersRecord_Evict{Evict: evict}}
}

// forwardSuspect reports a suspect to a random reader of another zone, or of this
// zone if no reader of another zone is available.
func (t *task) forwardSuspect(suspect *membership.Member) {
	ownZone := t.self.GetAvailabilityZone()
	var candidates, sameZone []*membership.Member
	for _, m := range t.registrationReaders() {
		if m.Incarnation == suspect.Incarnation || t.links.get(m.Address).busy {
			continue
		}
		if m.Zone == ownZone {
			sameZone = append(sameZone, m)
		} else {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		candidates = sameZone
	}
	if len(candidates) == 0 {
		return
	}
	reader := candidates[t.rng.IntN(len(candidates))]
	request := t.request()
	request.WantState = false
	request.Registrations = []*pb.MembersRecord{t.evictRecord(suspect)}
	t.sendExchange(reader.Address, reader.Incarnation, request, 0)
}

// probe starts a probe of a member, which fails if another incarnation responds.
func (t *task) probe(m *membership.Member) {
	request := &pb.ProbeRequest{Sender: t.self.GetIncarnation()}
	peers, timeout := t.cfg.Peers, t.cfg.Intervals.PeerTimeout
	t.spawn(func(ctx context.Context) message {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		response, err := peers.Probe(ctx, m.Address, request)
		if err == nil && response.GetGate().GetIncarnation() != m.Incarnation {
			err = errOtherIncarnation
		}
		return probeDone{m, err}
	})
}

// probeDone is the result of a probe.
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
