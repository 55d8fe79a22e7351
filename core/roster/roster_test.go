package roster_test

import (
	"math/rand/v2"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/primrosemount/primrosemount/core/roster"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

func member(vm string, incarnation, revision uint64) *pb.RelayMember {
	return &pb.RelayMember{Vm: vm, Address: vm + ":1", Service: "s", TargetId: "t", Incarnation: incarnation, Revision: revision}
}

// Guards against an older, repeated or invalid announcement that changes the view.
func TestNewestAnnouncementWins(t *testing.T) {
	r := roster.New()
	require.True(t, r.Merge(member("a", 2, 1)))
	require.False(t, r.Merge(member("a", 1, 9)), "an earlier incarnation")
	require.False(t, r.Merge(member("a", 2, 1)), "the same announcement")
	require.True(t, r.Merge(member("a", 2, 2)))
	require.False(t, r.Merge(&pb.RelayMember{Vm: "b"}), "no address")
	require.Equal(t, 1, r.Len())
}

// Guards against requests that are routed to a member that is draining or has no
// target.
func TestDrainingMembersReceiveNoRequests(t *testing.T) {
	r := roster.New()
	drainingMember := member("a", 1, 1)
	drainingMember.Draining = true
	idle := member("b", 1, 1)
	idle.TargetId = ""
	r.Merge(drainingMember)
	r.Merge(idle)
	r.Merge(member("c", 1, 1))
	services := r.ByService()
	require.Len(t, services["s"], 1)
	require.Equal(t, "c", services["s"][0].GetVm())
}

// Guards against a view that depends on the order in which announcements
// arrive.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 30).Draw(t, "count")
		members := make([]*pb.RelayMember, 0, count)
		for range count {
			vm := strconv.Itoa(rapid.IntRange(0, 4).Draw(t, "vm"))
			members = append(members, member(vm, rapid.Uint64Range(1, 3).Draw(t, "incarnation"), rapid.Uint64Range(1, 3).Draw(t, "revision")))
		}
		one, other := roster.New(), roster.New()
		for _, m := range members {
			one.Merge(m)
		}
		seed := rapid.Uint64().Draw(t, "seed")
		rand.New(rand.NewPCG(seed, 1)).Shuffle(count, func(i, j int) { members[i], members[j] = members[j], members[i] })
		for _, m := range append(members, members...) {
			other.Merge(m)
		}
		require.Equal(t, one.Digest(), other.Digest())
		require.Equal(t, one.Len(), other.Len())
	})
}

// Guards against an announcement that is changed by encoding and decoding it, and
// against a record that is accepted under the key of another VM.
func TestRecordsRoundTrip(t *testing.T) {
	data, err := roster.Encode(member("a", 3, 4))
	require.NoError(t, err)
	decoded, err := roster.Decode("a", data)
	require.NoError(t, err)
	require.Equal(t, uint64(3), decoded.GetIncarnation())
	_, err = roster.Decode("a", []byte{0xff})
	require.ErrorIs(t, err, roster.ErrInvalidRecord)
	_, err = roster.Decode("b", data)
	require.ErrorIs(t, err, roster.ErrInvalidRecord)
}

// Guards against a fleet in which every node reads the store, in which a zone
// has no reader, or in which nodes determine different readers.
func TestReadersAreFewAndEqualOnAllNodes(t *testing.T) {
	one, other := roster.New(), roster.New()
	var members []*pb.RelayMember
	for i := range 300 {
		m := member("vm-"+strconv.Itoa(i), 1, 1)
		m.Zone = "zone-" + strconv.Itoa(i%3)
		members = append(members, m)
		one.Merge(m)
	}
	for i := range members {
		other.Merge(members[len(members)-1-i])
	}
	for zone, want := range map[string]int{"zone-0": 7, "zone-1": 7, "zone-2": 7, "elsewhere": 0} {
		require.Len(t, one.Readers(zone), want)
		require.Equal(t, one.Readers(zone), other.Readers(zone))
	}
	stopped := one.Readers("zone-0")[0]
	stoppedMember := member(stopped.GetVm(), 1, 2)
	stoppedMember.Zone, stoppedMember.Stopped = "zone-0", true
	one.Merge(stoppedMember)
	require.Len(t, one.Readers("zone-0"), 7)
	require.NotContains(t, one.Readers("zone-0"), stoppedMember)
}

// Guards against a change that a node never receives although it compares
// regularly.
func TestChangedSinceReturnsMissingMembers(t *testing.T) {
	r := roster.New()
	r.Merge(member("a", 1, 1))
	r.Merge(member("b", 1, 1))
	seen := r.Changes()
	require.Len(t, r.ChangedSince(0), 2)
	require.Empty(t, r.ChangedSince(seen))
	r.Merge(member("a", 1, 1))
	require.Empty(t, r.ChangedSince(seen), "a known announcement is not a change")
	r.Merge(member("a", 1, 2))
	r.Merge(member("a", 1, 3))
	changed := r.ChangedSince(seen)
	require.Len(t, changed, 1)
	require.Equal(t, uint64(3), changed[0].GetRevision())
}

// Guards against nodes that are mistaken for each other when requests are
// routed or calls are canceled, because they started at the same time.
func TestIdentityDistinguishesNodesAndIncarnations(t *testing.T) {
	require.NotEqual(t, roster.Identity("a", 1), roster.Identity("b", 1))
	require.NotEqual(t, roster.Identity("a", 1), roster.Identity("a", 2))
	require.Equal(t, roster.Identity("a", 1), roster.Identity("a", 1))
}

// Guards against malformed records of other writers that are accepted as
// members.
func FuzzDecode(f *testing.F) {
	data, err := roster.Encode(member("a", 3, 4))
	require.NoError(f, err)
	f.Add("a", data)
	f.Fuzz(func(t *testing.T, key string, record []byte) {
		m, err := roster.Decode(key, record)
		if err != nil {
			require.ErrorIs(t, err, roster.ErrInvalidRecord)
			return
		}
		require.Equal(t, key, m.GetVm())
		require.LessOrEqual(t, m.GetSlots(), uint32(1<<20))
		require.Greater(t, m.GetIncarnation()+1, m.GetIncarnation())
		require.True(t, roster.New().Merge(m))
	})
}

// Guards against requests to a target whose node had announced that it is draining, was
// killed, and does not know it any more, whichever announcement arrives first.
func TestEarlierDrainIsKeptAcrossRestart(t *testing.T) {
	drained := &pb.RelayMember{Vm: "a", Address: "a:1", Service: "s", TargetId: "t", TargetBornMillis: 5, Incarnation: 1, Revision: 3, TargetLeaving: true, Draining: true}
	restarted := &pb.RelayMember{Vm: "a", Address: "a:1", Service: "s", TargetId: "t", TargetBornMillis: 5, Incarnation: 2, Revision: 1}
	for _, order := range [][]*pb.RelayMember{{drained, restarted}, {restarted, drained}} {
		r := roster.New()
		for _, m := range order {
			require.True(t, r.Merge(m))
		}
		require.False(t, r.Merge(drained))
		require.Equal(t, drained, r.EarlierDrain("a"))
		require.Empty(t, r.ByService()["s"])
		confirmed := proto.CloneOf(restarted)
		confirmed.Revision, confirmed.TargetLeaving = 2, true
		require.True(t, r.Merge(confirmed))
		require.Nil(t, r.EarlierDrain("a"))
	}
}

// Guards against a new incarnation of a target, or another target on the same VM, that
// gets no requests because the earlier one was draining.
func TestEarlierDrainConcernsOnlyItsTarget(t *testing.T) {
	drained := &pb.RelayMember{Vm: "a", Address: "a:1", Service: "s", TargetId: "t", TargetBornMillis: 5, Incarnation: 1, Revision: 3, TargetLeaving: true}
	for _, next := range []*pb.RelayMember{
		{Vm: "a", Address: "a:1", Service: "s", TargetId: "t", TargetBornMillis: 9, Incarnation: 1, Revision: 4},
		{Vm: "a", Address: "a:1", Service: "s", TargetId: "u", TargetBornMillis: 5, Incarnation: 2, Revision: 1},
	} {
		r := roster.New()
		require.True(t, r.Merge(drained))
		require.True(t, r.Merge(next))
		require.Nil(t, r.EarlierDrain("a"))
		require.Len(t, r.ByService()["s"], 1)
		restarted := &pb.RelayMember{Vm: "a", Address: "a:1", Service: "s", Incarnation: 9, Revision: 1}
		require.True(t, r.Merge(restarted))
		require.Nil(t, r.EarlierDrain("a"), "the drain of a target that was replaced is forgotten")
	}
}

// Guards against a restarted node that is not told of another target that its earlier
// incarnation knew to have left, and against requests to that target when its late
// announcements make the node take it for its present one.
func TestDrainOfOtherTargetIsKeptAcrossRestart(t *testing.T) {
	left := &pb.DrainedTarget{TargetId: "u", BornMillis: 9}
	told := &pb.RelayMember{Vm: "a", Address: "a:1", Service: "s", TargetId: "t", TargetBornMillis: 5, Incarnation: 1, Revision: 3, DrainedTargets: []*pb.DrainedTarget{left}}
	restarted := &pb.RelayMember{Vm: "a", Address: "a:1", Service: "s", TargetId: "t", TargetBornMillis: 5, Incarnation: 2, Revision: 1}
	for _, order := range [][]*pb.RelayMember{{told, restarted}, {restarted, told}} {
		r := roster.New()
		for _, m := range order {
			require.True(t, r.Merge(m))
		}
		require.Equal(t, told, r.EarlierDrain("a"))
		require.Len(t, r.ByService()["s"], 1, "the present target has not left")
		mistaken := proto.CloneOf(restarted)
		mistaken.Revision, mistaken.TargetId, mistaken.TargetBornMillis = 2, "u", 9
		require.True(t, r.Merge(mistaken))
		require.Empty(t, r.ByService()["s"])
		confirmed := proto.CloneOf(restarted)
		confirmed.Revision, confirmed.DrainedTargets = 3, told.DrainedTargets
		require.True(t, r.Merge(confirmed))
		require.Nil(t, r.EarlierDrain("a"))
		require.Len(t, r.ByService()["s"], 1)
		next := proto.CloneOf(restarted)
		next.Revision, next.TargetId, next.TargetBornMillis = 4, "v", 10
		require.True(t, r.Merge(next))
		require.Nil(t, r.EarlierDrain("a"), "announcements of the target that left are outdated")
	}
}
