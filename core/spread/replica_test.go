package spread

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/primrosemount/primrosemount/core/catalogue"
	"github.com/primrosemount/primrosemount/core/era"
	"github.com/primrosemount/primrosemount/core/membership"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

func catalogueReplica() *Replica {
	return NewReplica("catalogue", &CatalogueFold{State: catalogue.NewState()})
}

func membersReplica() *Replica {
	return NewReplica("members", &MembersFold{State: membership.NewState()})
}

// writer produces a stream and keeps the encoded state after each record.
type writer struct {
	fold    Fold
	records []Record
	states  [][]byte
	// delayed holds checkpoint records that were encoded but not appended yet.
	delayed [][]byte
	id      uint64
	// era is the era of the log.
	era era.Era
}

func (w *writer) append(data []byte) {
	r := Record{Offset: w.fold.Next(), Data: data}
	w.records = append(w.records, r)
	_ = w.fold.ApplyRecord(r)
	w.states = append(w.states, w.fold.Encode())
}

// change appends a change of one of three services, often with a stale base
// revision.
func (w *writer) change(t *rapid.T) {
	w.id++
	id := make([]byte, catalogue.ChangeIDBytes)
	binary.LittleEndian.PutUint64(id, rapid.Uint64Range(max(w.id, 3)-3, w.id).Draw(t, "id"))
	service := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "service")
	c := &pb.Change{Id: id, Operator: "ops", Service: service}
	if rapid.IntRange(0, 4).Draw(t, "stale") > 0 {
		c.BaseRevision = w.fold.(*CatalogueFold).State.Snapshot().Revision(service)
	}
	if rapid.IntRange(0, 3).Draw(t, "delete") > 0 {
		c.Entry = &pb.Entry{Service: service, Owner: "ops", Operations: []*pb.Operation{{Name: "read"}}}
	}
	w.append(catalogue.ChangeRecord(c))
}

// registration appends a batch of joins, leaves and evictions of a few nodes.
func (w *writer) registration(t *rapid.T) {
	var batch []*pb.MembersRecord
	for range rapid.IntRange(1, 4).Draw(t, "batch") {
		node := rapid.Uint64Range(1, 12).Draw(t, "node")
		switch rapid.IntRange(0, 3).Draw(t, "kind") {
		case 0:
			batch = append(batch, &pb.MembersRecord{Record: &pb.MembersRecord_Leave{Leave: &pb.Leave{Incarnation: node, Successor: 1}}})
		case 1:
			batch = append(batch, &pb.MembersRecord{Record: &pb.MembersRecord_Evict{Evict: &pb.Evict{Incarnation: node}}})
		default:
			m := testMember(int(node)%5, 2, node)
			m.JoinedUnixNanos = rapid.Int64Range(0, 3).Draw(t, "joined")
			batch = append(batch, &pb.MembersRecord{Record: &pb.MembersRecord_Join{Join: &pb.Join{Member: m}}})
		}
	}
	w.append(membership.BatchRecord(batch))
}

// step appends one record: a change or registration, a new checkpoint, or a
// checkpoint that a paused writer had encoded long before and may append more
// than once.
func (w *writer) step(t *rapid.T) {
	switch rapid.IntRange(0, 9).Draw(t, "step") {
	case 0:
		w.append(w.fold.CheckpointRecord())
	case 1:
		w.delayed = append(w.delayed, w.fold.CheckpointRecord())
	case 2:
		if len(w.delayed) > 0 {
			w.append(rapid.SampledFrom(w.delayed).Draw(t, "late"))
		}
	default:
		if _, ok := w.fold.(*CatalogueFold); ok {
			w.change(t)
			return
		}
		w.registration(t)
	}
}

// reader follows the log of a writer while the log drops old records.
type reader struct {
	replica  *Replica
	earliest uint64
	highest  uint64
	lastErr  error
}

// read performs one read of the log. It returns an error if the replica
// violates an invariant.
func (r *reader) read(w *writer, limit int) error {
	from := r.replica.NextReadOffset()
	var records []Record
	for at := max(from, r.earliest); at < uint64(len(w.records)) && len(records) < limit; at++ {
		records = append(records, w.records[at])
	}
	_, r.lastErr = r.replica.ApplyLogRead(from, records, r.earliest, uint64(len(w.records)), w.era)
	return r.check(w)
}

func (r *reader) check(w *writer) error {
	position, ok := r.replica.Position()
	if !ok {
		return nil
	}
	if position.GetNextOffset() < r.highest {
		return errors.Newf("the applied offset fell from %d to %d", r.highest, position.GetNextOffset())
	}
	r.highest = position.GetNextOffset()
	if r.highest == 0 {
		return nil
	}
	if !bytes.Equal(r.replica.fold.Encode(), w.states[r.highest-1]) {
		return errors.Newf("the state at %d differs from applying all records", r.highest)
	}
	return nil
}

// retainedSuffice reports whether the retained records suffice for a new
// reader.
func retainedSuffice(w *writer, earliest uint64) bool {
	if earliest == 0 {
		return true
	}
	for _, record := range w.records[earliest:] {
		covered, ok := w.fold.CheckpointOffset(record.Data)
		if ok && covered >= earliest && covered <= record.Offset {
			return true
		}
	}
	return false
}

// history runs a reader that starts at any point of the stream, with any suffix
// of the log retained, while the log grows and drops records.
func history(t *rapid.T, replica *Replica, w *writer) error {
	r := &reader{replica: replica}
	replica.tail = rapid.Uint64Range(1, 50).Draw(t, "tail")
	for range rapid.IntRange(1, 40).Draw(t, "before") {
		w.step(t)
	}
	for range rapid.IntRange(0, 12).Draw(t, "reads") {
		r.earliest = rapid.Uint64Range(r.earliest, uint64(len(w.records))).Draw(t, "earliest")
		if err := r.read(w, rapid.IntRange(1, 9).Draw(t, "limit")); err != nil {
			return err
		}
		for range rapid.IntRange(0, 6).Draw(t, "more") {
			w.step(t)
		}
	}
	return finish(r, w)
}

// finish lets the reader read to the end of the log. It returns an error unless
// the reader has caught up, or reports ErrNoCheckpoint because the retained
// records do not suffice.
func finish(r *reader, w *writer) error {
	for range 3 * (len(w.records) + 2) {
		if err := r.read(w, 7); err != nil {
			return err
		}
	}
	if r.replica.Next() == uint64(len(w.records)) && r.replica.Known() {
		return nil
	}
	if retainedSuffice(w, r.earliest) {
		return errors.Newf("the reader is at %d of %d, although the log from %d on suffices", r.replica.Next(), len(w.records), r.earliest)
	}
	if !errors.Is(r.lastErr, ErrNoCheckpoint) {
		return errors.Newf("the reader cannot follow and does not report ErrNoCheckpoint: %v", r.lastErr)
	}
	return nil
}

// Guards against a reader that arrives at a different state than the others,
// moves back to an older one, or does not report that it lacks records. The
// histories include late and repeated checkpoints.
func TestReaderReachesSameStateOrReportsMissingCheckpoint(t *testing.T) {
	for name, start := range streamCases {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				replica, w := start()
				require.NoError(t, history(t, replica, w))
			})
		})
	}
}

var streamCases = map[string]func() (*Replica, *writer){
	"catalogue": func() (*Replica, *writer) {
		return catalogueReplica(), &writer{fold: &CatalogueFold{State: catalogue.NewState()}}
	},
	"members": func() (*Replica, *writer) {
		return membersReplica(), &writer{fold: &MembersFold{State: membership.NewState()}}
	},
}

// gapFold violates the checkpoint rule on purpose: it installs a checkpoint as
// if it covered the records that the log has dropped since.
type gapFold struct {
	Fold
	replica *Replica
}

func (f *gapFold) Install(state []byte) error {
	if _, ok := f.Fold.(*CatalogueFold); ok {
		p := &pb.CatalogueState{}
		_ = proto.Unmarshal(state, p)
		p.NextOffset = max(p.GetNextOffset(), f.replica.earliest)
		state, _ = proto.Marshal(p)
		return f.Fold.Install(state)
	}
	p := &pb.MembersState{}
	_ = proto.Unmarshal(state, p)
	p.NextOffset = max(p.GetNextOffset(), f.replica.earliest)
	state, _ = proto.Marshal(p)
	return f.Fold.Install(state)
}

func allowGaps(r *Replica) {
	r.usable = func(covered, _, offset uint64) bool { return covered <= offset }
	r.fold = &gapFold{Fold: r.fold, replica: r}
}

func rejectCheckpoints(r *Replica) {
	r.usable = func(_, _, _ uint64) bool { return false }
}

// Guards against a property test that cannot fail: if a reader uses a
// checkpoint although later records have been dropped, or never uses any
// checkpoint, some history must detect it.
func TestHistoriesDetectBrokenCheckpointRule(t *testing.T) {
	for stream, start := range streamCases {
		require.Zero(t, countFailures(func(*Replica) {}, start), stream)
		gaps, none := countFailures(allowGaps, start), countFailures(rejectCheckpoints, start)
		t.Logf("%s: of 200 histories, %d detect a checkpoint with a gap and %d detect an unused checkpoint", stream, gaps, none)
		require.NotZero(t, gaps, stream)
		require.NotZero(t, none, stream)
	}
}

// countFailures returns how many of 200 histories detect a violated rule.
func countFailures(breakRule func(*Replica), start func() (*Replica, *writer)) int {
	failures := 0
	run := rapid.Custom(func(t *rapid.T) error {
		replica, w := start()
		breakRule(replica)
		return history(t, replica, w)
	})
	for seed := range 200 {
		if run.Example(seed) != nil {
			failures++
		}
	}
	return failures
}

// Guards against peer records that leave a gap or move the state back, and
// against the installation of a full state below the applied offset.
func TestPeerRecordsLeadToSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &writer{fold: &CatalogueFold{State: catalogue.NewState()}}
		for range rapid.IntRange(1, 30).Draw(t, "records") {
			w.step(t)
		}
		peer := &reader{replica: catalogueReplica()}
		require.NoError(t, finish(peer, w))
		r := &reader{replica: catalogueReplica()}
		for range rapid.IntRange(1, 20).Draw(t, "messages") {
			receiveMessage(t, r, peer, w)
			require.NoError(t, r.check(w))
		}
		position, _ := peer.replica.Position()
		r.replica.ObservePeerPosition(position)
		_, err := r.replica.InstallState(peer.replica.State())
		require.NoError(t, err)
		require.NoError(t, r.check(w))
		require.Equal(t, peer.replica.Next(), r.replica.Next())
		require.True(t, r.replica.Known())
	})
}

// receiveMessage passes on records that start at any offset, or an old full
// state.
func receiveMessage(t *rapid.T, r, peer *reader, w *writer) {
	at := rapid.Uint64Range(0, uint64(len(w.records))).Draw(t, "at")
	if rapid.Bool().Draw(t, "state") && at > 0 {
		_, err := r.replica.InstallState(&pb.StreamState{Stream: "catalogue", NextOffset: at, State: w.states[at-1]})
		require.NoError(t, err)
		return
	}
	r.replica.ApplyPeerRecords(peer.replica.Records(at, rapid.IntRange(0, 2000).Draw(t, "bytes")))
}

// Guards against a buffer or a message that grows without bound.
func TestBufferAndMessagesAreBounded(t *testing.T) {
	b := &buffer{}
	for i := range uint64(3 * MaxBufferRecords) {
		b.add(Record{Offset: i, Data: make([]byte, 3000)})
		require.LessOrEqual(t, len(b.records), MaxBufferRecords)
		require.LessOrEqual(t, b.bytes, MaxBufferBytes)
	}
	require.Equal(t, uint64(3*MaxBufferRecords), b.next)
	require.Empty(t, b.from(0, MaxMessageBytes))
	require.Len(t, b.from(b.oldest(), MaxMessageBytes), MaxMessageBytes/3000)
	require.Len(t, b.from(b.oldest(), 1), 1)
}

// Guards against a log that has lost records without being reported.
func TestLogBehindIsReported(t *testing.T) {
	w := &writer{fold: &MembersFold{State: membership.NewState()}}
	w.append(w.fold.CheckpointRecord())
	r := &reader{replica: membersReplica()}
	require.NoError(t, finish(r, w))
	_, err := r.replica.ApplyLogRead(1, nil, 0, 0, era.Unknown)
	require.ErrorIs(t, err, ErrLogBehind)
	require.Equal(t, uint64(1), r.replica.Next())
}

func testMember(i, zones int, incarnation uint64) *pb.Member {
	return &pb.Member{
		Incarnation:      incarnation,
		Vm:               fmt.Sprintf("vm-%04d", i),
		Service:          fmt.Sprintf("service-%d", i%770),
		AvailabilityZone: fmt.Sprintf("zone-%d", i%zones),
		Region:           "region-1",
		NodeAddress:      fmt.Sprintf("10.%d.%d.1:7000", i/250, i%250),
		Slots:            100,
		JoinedUnixNanos:  1,
	}
}
