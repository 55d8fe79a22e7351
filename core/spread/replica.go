package spread

import (
	"github.com/cockroachdb/errors"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// Kinds of errors; match them with errors.Is.
var (
	// ErrNoCheckpoint marks a reader that the retained records do not serve.
	ErrNoCheckpoint = errors.New("spread: the log retains no usable checkpoint for the records that are missing; ask a peer for a whole state")
	// ErrLogBehind marks a log that ends below the offset in force.
	ErrLogBehind = errors.New("spread: the log ends below the offset in force; check whether the log service has lost records")
)

const (
	// CheckpointRecords is the number of records after which a checkpoint is
	// due, so that a starting reader needs at most about this many.
	CheckpointRecords = 4096
	// firstTail is how far before the end of the log a starting reader begins;
	// it goes back tailFactor times as far until a checkpoint is usable. Hourly
	// checkpoints are about 560 records away in the catalogue and 90 in members.
	firstTail  = 128
	tailFactor = 4
	// maxHeld bounds the records that a starting reader holds; the oldest go
	// first, so that only older checkpoints become unusable.
	maxHeld = 4 * CheckpointRecords
)

// Fold is the state of one stream.
type Fold interface {
	// Next returns the offset after the last folded record.
	Next() uint64
	// Apply folds the record at offset Next.
	Apply(r Record) error
	// Encode returns the whole state for peers.
	Encode() []byte
	// Install replaces the state by an encoded whole state, or leaves it as it
	// is and returns an error.
	Install(state []byte) error
	// CheckpointOffset returns the offset that a checkpoint record covers.
	CheckpointOffset(data []byte) (covered uint64, ok bool)
	// CheckpointState returns the encoded state in a checkpoint record.
	CheckpointState(data []byte) []byte
	// CheckpointRecord returns the whole state as a record for the stream.
	CheckpointRecord() []byte
	// StripCheckpoint returns the record without the content of a checkpoint.
	StripCheckpoint(data []byte) []byte
}

// Replica holds one stream at one node.
type Replica struct {
	stream string
	fold   Fold
	// known tells that the fold holds a state; reached, that it has caught up
	// with goal, the end of the stream when the state became known.
	known   bool
	reached bool
	goal    uint64
	buffer  buffer
	search  search
	encoded []byte
	// usable is the rule of checkpoints; tests replace it to check the checks.
	usable func(covered, earliest, offset uint64) bool
	// tail is firstTail; tests use less.
	tail uint64
	// covered is the offset that the best checkpoint on the log covers, and
	// coveredAt the offset of its record.
	covered      uint64
	coveredAt    uint64
	checkpointed bool
	// earliest and end are the bounds of the log as last read.
	earliest uint64
	end      uint64
}

// search collects records until a usable checkpoint is found.
type search struct {
	active bool
	// whole tells that the search began at the earliest retained record, tail
	// how far before the end it was to begin.
	whole bool
	tail  uint64
	held  []Record
	next  uint64
}

// NewReplica returns a replica that does not know the state yet.
func NewReplica(stream string, fold Fold) *Replica {
	return &Replica{stream: stream, fold: fold, usable: usable, tail: firstTail}
}

// Stream returns the name of the stream.
func (r *Replica) Stream() string { return r.stream }

// CaughtUp tells whether the state is known and has caught up with the stream as
// it was when the state became known.
func (r *Replica) CaughtUp() bool {
	r.reached = r.reached || (r.known && r.Next() >= r.goal)
	return r.reached
}

// Next returns the offset in force: all records below it are in the state.
func (r *Replica) Next() uint64 { return r.fold.Next() }

// LogEnd returns the end of the log as last read.
func (r *Replica) LogEnd() uint64 { return r.end }

// Position returns what the node has; ok is false while it has no state.
func (r *Replica) Position() (p *pb.StreamPosition, ok bool) {
	if !r.known {
		return nil, false
	}
	return &pb.StreamPosition{Stream: r.stream, NextOffset: r.Next(), OldestHeld: r.buffer.oldest()}, true
}

// NextReadOffset returns the offset from which to read the log. A replica without
// state that has not read yet asks for offset 0 and learns the bounds of the log.
func (r *Replica) NextReadOffset() uint64 {
	if r.search.active || !r.known {
		return r.search.next
	}
	return r.Next()
}

// ApplyLogRead takes the result of a read from offset from. It returns whether the
// offset in force has moved. The error matches ErrUnreachable or ErrLogBehind.
func (r *Replica) ApplyLogRead(from uint64, records []Record, earliest, end uint64) (bool, error) {
	r.earliest = earliest
	r.end = end
	r.noteCheckpoints(records)
	if r.search.active || !r.known {
		return r.searchFrom(from, records)
	}
	if end < r.Next() {
		return false, errors.Wrapf(ErrLogBehind, "stream %s: the log ends at %d, in force is %d", r.stream, end, r.Next())
	}
	moved := r.advance(records)
	if earliest > r.Next() {
		r.begin(r.tail)
	}
	return moved, nil
}

// advance folds records in order up to the first gap.
func (r *Replica) advance(records []Record) bool {
	before := r.Next()
	for _, record := range records {
		if record.Offset < r.Next() {
			continue
		}
		if record.Offset > r.Next() || r.fold.Apply(record) != nil {
			break
		}
		r.buffer.add(Record{Offset: record.Offset, Data: r.fold.StripCheckpoint(record.Data)})
	}
	if r.Next() == before {
		return false
	}
	r.encoded = nil
	return true
}

// use installs the checkpoint in record, if it is one that is usable with the
// held records, and folds the records after the offset that it covers.
func (r *Replica) use(record Record, held []Record) bool {
	covered, ok := r.fold.CheckpointOffset(record.Data)
	if !ok || !r.usable(covered, held[0].Offset, record.Offset) {
		return false
	}
	if r.known && covered <= r.Next() {
		return false
	}
	if r.fold.Install(r.fold.CheckpointState(record.Data)) != nil {
		return false
	}
	r.adopt(r.end)
	r.advance(held)
	return true
}

// adopt notes that the fold holds a newly installed state.
func (r *Replica) adopt(goal uint64) {
	if !r.known {
		r.goal = goal
	}
	r.known = true
	r.search = search{}
	r.encoded = nil
	r.buffer.reset(r.Next())
}

// usable is the rule of checkpoints: every record from the covered offset on
// is at hand, and the checkpoint does not claim records after itself.
func usable(covered, earliest, offset uint64) bool {
	return covered >= earliest && covered <= offset
}

func (r *Replica) noteCheckpoints(records []Record) {
	for _, record := range records {
		covered, ok := r.fold.CheckpointOffset(record.Data)
		if !ok || covered > record.Offset {
			continue
		}
		if !r.checkpointed || covered >= r.covered {
			r.covered = covered
			r.coveredAt = record.Offset
			r.checkpointed = true
		}
	}
}

// searchFrom collects records until there is a state from which all later
// records are at hand. It begins near the end of the log and goes back further
// while no checkpoint is usable there. A replica that has an older state keeps
// it in force meanwhile.
func (r *Replica) searchFrom(from uint64, records []Record) (bool, error) {
	if !r.search.active {
		r.begin(r.tail)
	}
	if from != r.search.next && len(records) > 0 {
		return false, nil
	}
	r.hold(records)
	if r.found(records) {
		return true, nil
	}
	s := &r.search
	if s.next < r.earliest {
		// The log has dropped records that were not read yet.
		s.held = nil
		s.next = r.earliest
	}
	if s.next < r.end {
		return false, nil
	}
	if !s.whole {
		r.begin(s.tail * tailFactor)
		return false, nil
	}
	return false, errors.Wrapf(ErrNoCheckpoint, "stream %s: the log holds offsets %d to %d", r.stream, r.earliest, r.end)
}

// hold keeps records without gaps; a gap makes the records before it useless.
func (r *Replica) hold(records []Record) {
	s := &r.search
	for _, record := range records {
		if record.Offset != s.next {
			s.held = nil
		}
		s.held = append(s.held, record)
		s.next = record.Offset + 1
	}
	if len(s.held) > maxHeld {
		s.held = append([]Record(nil), s.held[len(s.held)-maxHeld:]...)
	}
}

// found looks for a way to the state in the held records: the beginning of the
// stream, or a usable checkpoint among the fresh records.
func (r *Replica) found(fresh []Record) bool {
	held := r.search.held
	empty := r.earliest == 0 && r.end == 0
	begins := len(held) > 0 && held[0].Offset == 0
	if !r.known && (empty || begins) {
		r.adopt(r.end)
		r.advance(held)
		return true
	}
	for _, record := range fresh {
		if r.use(record, held) {
			return true
		}
	}
	return false
}

// begin starts a search this far before the end of the log.
func (r *Replica) begin(tail uint64) {
	r.search = search{active: true, tail: tail, next: r.earliest}
	r.search.whole = r.end <= r.earliest+tail
	if !r.search.whole {
		r.search.next = r.end - tail
	}
}

// ObservePeerPosition notes the position of a peer before its records are taken. A
// peer at offset 0 proves that the stream was empty so far.
func (r *Replica) ObservePeerPosition(p *pb.StreamPosition) bool {
	if !r.CaughtUp() {
		r.goal = max(r.goal, p.GetNextOffset())
	}
	if r.known || p.GetNextOffset() != 0 {
		return false
	}
	r.adopt(0)
	return true
}

// ApplyPeerRecords folds records that a peer has passed on and returns whether the
// offset in force has moved. Records after a gap have no effect.
func (r *Replica) ApplyPeerRecords(records []*pb.StreamRecord) bool {
	var own []Record
	for _, record := range records {
		if record.GetStream() == r.stream {
			own = append(own, Record{Offset: record.GetOffset(), Data: record.GetData()})
		}
	}
	if len(own) == 0 {
		return false
	}
	if !r.known && own[0].Offset != 0 {
		return false
	}
	if !r.known {
		r.adopt(r.goal)
	}
	if !r.advance(own) {
		return false
	}
	r.search = search{}
	return true
}

// InstallState takes a whole state of a peer. A state that is not above the
// offset in force has no effect.
func (r *Replica) InstallState(s *pb.StreamState) (bool, error) {
	if r.known && s.GetNextOffset() <= r.Next() {
		return false, nil
	}
	if err := r.fold.Install(s.GetState()); err != nil {
		return false, err
	}
	r.adopt(r.Next())
	return true, nil
}

// State returns the whole state for a peer; nil while there is none. The
// encoding is kept until the next record, so that many starting nodes can be
// served.
func (r *Replica) State() *pb.StreamState {
	if !r.known {
		return nil
	}
	if r.encoded == nil {
		r.encoded = r.fold.Encode()
	}
	return &pb.StreamState{Stream: r.stream, NextOffset: r.Next(), State: r.encoded}
}

// Records returns the records from offset on for a peer, up to maxBytes but at
// least one; none if the buffer does not reach back to offset.
func (r *Replica) Records(offset uint64, maxBytes int) []*pb.StreamRecord {
	if !r.known {
		return nil
	}
	held := r.buffer.from(offset, maxBytes)
	records := make([]*pb.StreamRecord, len(held))
	for i, record := range held {
		records[i] = &pb.StreamRecord{Stream: r.stream, Offset: record.Offset, Data: record.Data}
	}
	return records
}

// HasRecordsFrom tells whether the buffer holds every record from offset on.
func (r *Replica) HasRecordsFrom(offset uint64) bool {
	return r.known && offset >= r.buffer.oldest()
}

// CheckpointRecord returns the whole state as a record for the stream.
func (r *Replica) CheckpointRecord() []byte { return r.fold.CheckpointRecord() }

// BestCheckpoint returns the offset that the best checkpoint on the log covers
// and the offset of its record.
func (r *Replica) BestCheckpoint() (covered, at uint64, ok bool) {
	return r.covered, r.coveredAt, r.checkpointed
}

// CheckpointDue returns how many records the best checkpoint lacks, and
// whether a starting reader would find no usable one.
func (r *Replica) CheckpointDue() (behind uint64, urgent bool) {
	if !r.CaughtUp() {
		return 0, false
	}
	behind = r.Next() - min(r.covered, r.Next())
	found := r.checkpointed && r.covered >= r.earliest
	return behind, r.earliest > 0 && !found
}
