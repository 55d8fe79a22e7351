package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

func testMember(i, zones int, incarnation uint64) *pb.Member {
	return &pb.Member{
		Incarnation:      incarnation,
		Vm:               fmt.Sprintf("vm-%04d", i),
		Service:          fmt.Sprintf("service-%d", i%770),
		AvailabilityZone: fmt.Sprintf("zone-%d", i%zones),
		Region:           "region-1",
		NodeAddress:      fmt.Sprintf("10.%d.%d.1:7000", i/250, i%250),
		Slots:            100,
		Connections:      900,
		JoinedUnixNanos:  1,
	}
}

func join(m *pb.Member) *pb.MembersRecord {
	return &pb.MembersRecord{Record: &pb.MembersRecord_Join{Join: &pb.Join{Member: m}}}
}

func leave(incarnation, successor uint64) *pb.MembersRecord {
	return &pb.MembersRecord{Record: &pb.MembersRecord_Leave{Leave: &pb.Leave{Incarnation: incarnation, Successor: successor}}}
}

func evict(incarnation uint64) *pb.MembersRecord {
	return &pb.MembersRecord{Record: &pb.MembersRecord_Evict{Evict: &pb.Evict{Incarnation: incarnation, RequestedBy: 1}}}
}

func apply(t require.TestingT, s *State, records ...*pb.MembersRecord) Effect {
	effect, err := s.Apply(s.Next(), BatchRecord(records))
	require.NoError(t, err)
	return effect
}

// fleet returns a state with n members that are spread over the zones and have
// the incarnations 1 to n.
func fleet(t require.TestingT, n, zones int) *State {
	s := NewState()
	for i := range n {
		apply(t, s, join(testMember(i, zones, uint64(i+1))))
	}
	return s
}

// Guards against a repeated or late join that adds a retired incarnation again.
func TestRetiredIncarnationCannotJoinAgain(t *testing.T) {
	s := fleet(t, 3, 1)
	apply(t, s, leave(1, 2), evict(3))
	apply(t, s, join(testMember(0, 1, 1)), join(testMember(2, 1, 3)))
	require.Equal(t, 1, s.Snapshot().Len())
	apply(t, s, leave(9, 0), join(testMember(8, 1, 9)))
	require.Equal(t, 1, s.Snapshot().Len())
	apply(t, s, join(testMember(2, 1, 4)))
	_, ok := s.Snapshot().Member(4)
	require.True(t, ok)
}

// Guards against a late eviction that removes the next incarnation of a VM, and
// against a table that keeps the previous incarnation beside the new one.
func TestJoinReplacesMemberWithSameAddress(t *testing.T) {
	s := fleet(t, 2, 1)
	effect := apply(t, s, join(testMember(0, 1, 7)))
	require.Equal(t, uint64(1), effect.Removed[0].Member.Incarnation)
	require.False(t, effect.Removed[0].Evicted)
	require.Empty(t, apply(t, s, evict(1)).Removed)
	require.Equal(t, 2, s.Snapshot().Len())

	sameName := testMember(0, 1, 8)
	sameName.NodeAddress = "10.9.9.9:7000"
	require.Empty(t, apply(t, s, join(sameName)).Removed, "an equal VM name alone must not remove a member")
	require.Equal(t, 3, s.Snapshot().Len())
}

// Guards against an older announcement that overwrites a newer one.
func TestNewerAnnouncementWins(t *testing.T) {
	s := fleet(t, 1, 1)
	newer := testMember(0, 1, 1)
	newer.JoinedUnixNanos = 5
	newer.Slots = 7
	apply(t, s, join(newer))
	apply(t, s, join(testMember(0, 1, 1)))
	m, _ := s.Snapshot().Member(1)
	require.Equal(t, uint32(7), m.Slots)
	require.Equal(t, 1, s.Snapshot().Len())
}

// Guards against an idempotency key whose holder is not found after several
// handovers, and against an endless loop when faulty records form a cycle of
// successors.
func TestKeyHolderFollowsSuccessors(t *testing.T) {
	s := fleet(t, 5, 1)
	apply(t, s, leave(1, 2), leave(2, 3), leave(4, 5), leave(5, 4))
	view := s.Snapshot()
	holder, ok := view.KeyHolder(1)
	require.True(t, ok)
	require.Equal(t, uint64(3), holder.Incarnation)
	_, ok = view.KeyHolder(4)
	require.False(t, ok)
}

// Guards against a snapshot that changes after it was taken, and against
// indexes of a snapshot that contradict each other.
func TestSnapshotsAreImmutable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState()
		type seen struct {
			view  *Snapshot
			count int
			ids   map[uint64]bool
		}
		var views []seen
		for range rapid.IntRange(1, 40).Draw(t, "records") {
			id := rapid.Uint64Range(1, 20).Draw(t, "id")
			apply(t, s, rapid.SampledFrom([]*pb.MembersRecord{join(testMember(int(id)%9, 3, id)), leave(id, 1), evict(id)}).Draw(t, "record"))
			now := seen{view: s.Snapshot(), ids: map[uint64]bool{}}
			now.view.All(func(m *Member) bool { now.ids[m.Incarnation] = true; return true })
			now.count = now.view.Len()
			views = append(views, now)
		}
		for _, old := range views {
			require.Len(t, old.ids, old.count)
			byService := 0
			for _, service := range old.view.Services() {
				byService += len(old.view.Service(service))
			}
			require.Equal(t, old.count, byService)
			for id := range old.ids {
				_, ok := old.view.Member(id)
				require.True(t, ok)
			}
		}
		restored, err := Restore(s.Encode())
		require.NoError(t, err)
		require.Equal(t, s.Encode(), restored.Encode())
	})
}

// Guards against a list of retired incarnations that grows without bound.
func TestRetiredIncarnationsAreBounded(t *testing.T) {
	s := NewState()
	for i := range uint64(MaxRetired + 5) {
		apply(t, s, leave(i+1, 0))
	}
	require.Len(t, s.retired, MaxRetired)
	_, retired := s.Retired(1)
	require.False(t, retired)
	require.ErrorIs(t, apply(t, s, leave(0, 0)).Skipped, ErrSkipped)
	effect, err := s.Apply(s.Next(), []byte{0xff})
	require.NoError(t, err)
	require.ErrorIs(t, effect.Skipped, ErrSkipped)
}

// evictionSim drives the Evictor of one reader in a fleet in which a given set
// of members has failed.
type evictionSim struct {
	t       *testing.T
	state   *State
	evictor *Evictor
	now     time.Time
	dead    map[uint64]bool
	// reporters are the members that confirm the dead ones.
	reporters []uint64
	evicted   []uint64
}

func newEvictionSim(t *testing.T, members, zones int, reporters ...uint64) *evictionSim {
	return &evictionSim{
		t: t, state: fleet(t, members, zones), evictor: NewEvictor(1, "zone-0"),
		now: time.Unix(1000, 0), dead: map[uint64]bool{}, reporters: reporters,
	}
}

// run advances the time in steps of one second. In each step, all dead members
// are reported, and every probe of a live member receives a response.
func (s *evictionSim) run(d time.Duration) {
	for range int(d / time.Second) {
		s.now = s.now.Add(time.Second)
		for id := range s.dead {
			s.report(id)
		}
		actions := s.evictor.Step(s.now, s.state.Snapshot(), true)
		for _, m := range actions.Probe {
			s.probe(m)
		}
		for _, m := range actions.Evict {
			s.evicted = append(s.evicted, m.Incarnation)
			apply(s.t, s.state, evict(m.Incarnation))
		}
	}
}

func (s *evictionSim) report(id uint64) {
	dead, ok := s.state.Member(id)
	if !ok {
		return
	}
	s.evictor.ReportSuspect(s.now, dead, nil)
	for _, reporter := range s.reporters {
		m, _ := s.state.Member(reporter)
		s.evictor.ReportSuspect(s.now, dead, m)
	}
}

func (s *evictionSim) probe(m *Member) {
	if s.dead[m.Incarnation] {
		s.evictor.ReportProbeFailure(s.now, m.Incarnation)
		return
	}
	s.evictor.ReportAlive(s.now, m)
}

// failZone marks all members of a zone as dead.
func (s *evictionSim) failZone(zone string) {
	for _, m := range s.state.Snapshot().Zone(zone) {
		s.dead[m.Incarnation] = true
	}
}

// Guards against a dead member that is never evicted although other nodes
// confirm it.
func TestConfirmedDeadMemberIsEvicted(t *testing.T) {
	s := newEvictionSim(t, 60, 3, 3)
	s.dead[5] = true
	s.run(SuspicionTimeout - time.Second)
	require.Empty(t, s.evicted)
	s.run(30 * time.Second)
	require.Equal(t, []uint64{5}, s.evicted)
}

// Guards against an eviction that is based on the reports of a single zone or
// node.
func TestReportsFromOneZoneDoNotEvict(t *testing.T) {
	s := newEvictionSim(t, 60, 3, 4, 7) // Both are in the zone of the Evictor.
	s.dead[5] = true
	s.run(10 * time.Minute)
	require.Empty(t, s.evicted)
}

// Guards against evictions during a zone outage or a network partition.
func TestZoneOutageEvictsNoMember(t *testing.T) {
	for _, size := range []int{6, 60, 600} {
		s := newEvictionSim(t, size, 3, 3)
		s.failZone("zone-1")
		s.run(time.Hour)
		require.Empty(t, s.evicted, "%d members", size)
	}
}

// Guards against evictions at the moment when a lost or partitioned zone
// recovers: some of its members respond before the others have been probed
// again.
func TestRecoveringZoneEvictsNoMember(t *testing.T) {
	s := newEvictionSim(t, 600, 3, 3)
	for _, id := range []uint64{5, 8} {
		s.dead[id] = true
	}
	s.failZone("zone-1")
	s.run(time.Hour)
	delete(s.dead, 2)
	member, _ := s.state.Member(2)
	s.evictor.ReportAlive(s.now, member)
	for id := range s.dead {
		if id != 5 {
			delete(s.dead, id)
			m, _ := s.state.Member(id)
			s.evictor.ReportAlive(s.now, m)
		}
	}
	s.run(SuspicionTimeout - time.Second)
	require.Empty(t, s.evicted)
}

// Guards against evictions beyond the limit for a zone when most of the zone
// fails but some of it still responds.
func TestEvictionsInOneZoneAreBounded(t *testing.T) {
	s := newEvictionSim(t, 600, 3, 3)
	s.failZone("zone-1")
	for _, id := range []uint64{2, 5, 8, 11, 14} {
		delete(s.dead, id)
	}
	s.run(5 * time.Minute)
	require.Empty(t, s.evicted)

	partial := newEvictionSim(t, 600, 3, 3)
	for i := range uint64(MaxZoneSuspects(200)) {
		partial.dead[2+3*i] = true
	}
	partial.run(5 * time.Minute)
	require.Len(t, partial.evicted, MaxZoneSuspects(200))
}

// Guards against the eviction of a member that only paused.
func TestShortPauseDoesNotEvict(t *testing.T) {
	s := newEvictionSim(t, 60, 3, 3)
	s.dead[5] = true
	s.run(SuspicionTimeout - 5*time.Second)
	delete(s.dead, 5)
	s.run(5 * time.Minute)
	require.Empty(t, s.evicted)
	require.Zero(t, s.evictor.Suspects())
}

// Guards against registrations that are lost, that use free capacity when they
// are repeated, or that queue up without bound.
func TestBatcherKeepsEveryRegistrationWithinItsBound(t *testing.T) {
	b := NewBatcher()
	now := time.Unix(1000, 0)
	for i := range MaxQueued {
		require.True(t, b.Add(join(testMember(i, 1, uint64(i+1)))))
	}
	require.False(t, b.Add(join(testMember(1, 1, MaxQueued+1))))
	require.True(t, b.Add(join(testMember(1, 1, 1))), "a repeated registration needs no free slot")
	require.False(t, b.Add(&pb.MembersRecord{}))
	require.Len(t, b.TakeBatch(now), MaxBatch)
	require.Nil(t, b.TakeBatch(now.Add(MinAppendInterval-1)))
	total := MaxBatch
	for b.Len() > 0 {
		now = now.Add(MinAppendInterval)
		total += len(b.TakeBatch(now))
	}
	require.Equal(t, MaxQueued, total)
}
