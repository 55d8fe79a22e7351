package spread

import (
	"github.com/cockroachdb/errors"

	"github.com/primrosemount/primrosemount/core/era"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// Errors returned by this package; match them with errors.Is.
var (
	// ErrNoCheckpoint reports that the records retained by the log do not
	// suffice to build the state.
	ErrNoCheckpoint = errors.New("spread: the log retains no usable checkpoint for the records that are missing; ask a peer for a full state")
	// ErrLogBehind reports that the log ends below the applied offset.
	ErrLogBehind = errors.New("spread: the log ends below the applied offset; check whether the log service has lost records")
)

const (
	// CheckpointRecords is the number of records after which a checkpoint is
	// due. It limits the records that a starting reader has to read to about
	// this number.
	CheckpointRecords = 4096
	// initialTail is how many records before the end of the log a starting
	// reader begins to read. While it finds no usable checkpoint, it starts
	// again with a tail that is tailFactor times as long. Hourly checkpoints
	// are about 560 records apart in the catalogue stream and 90 in the members
	// stream.
	initialTail = 128
	tailFactor  = 4
	// maxPending limits the records that a starting reader keeps while it
	// searches for a checkpoint. The oldest are dropped first, so that only
	// older checkpoints become unusable.
	maxPending = 4 * CheckpointRecords
)

// A Fold is the state that results from applying the records of one stream.
type Fold interface {
	// Next returns the offset of the next record to apply.
	Next() uint64
	// ApplyRecord applies the record at offset Next.
	ApplyRecord(r Record) error
	// Encode returns the encoded full state for peers.
	Encode() []byte
	// Install replaces the state by an encoded full state. If it returns an
	// error, the state is unchanged.
	Install(state []byte) error
	// CheckpointOffset returns the offset up to which a checkpoint record
	// covers the stream: its state includes every record below that offset. ok
	// is false if data is not a checkpoint record.
	CheckpointOffset(data []byte) (covered uint64, ok bool)
	// CheckpointState returns the encoded state in a checkpoint record.
	CheckpointState(data []byte) []byte
	// CheckpointRecord returns a checkpoint record for the stream that holds
	// the full state.
	CheckpointRecord() []byte
	// StripCheckpoint returns a checkpoint record without its state, and any
	// other record unchanged.
	StripCheckpoint(data []byte) []byte
}

// A Replica is the local copy of one stream at one node.
type Replica struct {
	stream string
	fold   Fold
	// hasState is true once the fold holds a state of the stream. caughtUp is
	// true once that state has also reached goal, which is the end of the
	// stream when the replica first received a state.
	hasState bool
	caughtUp bool
	goal     uint64
	buffer   buffer
	search   search
	// encoded caches the encoded state until the next change.
	encoded []byte
	// usable decides whether a checkpoint can be used. Tests replace it to
	// prove that they detect a wrong rule.
	usable func(covered, earliest, offset uint64) bool
	// tail is initialTail, or less in tests.
	tail uint64
	// covered is the highest offset up to which a checkpoint in the log covers
	// the stream, and coveredAt is the offset of that checkpoint record. Both
	// are valid if checkpointed is true.
	covered      uint64
	coveredAt    uint64
	checkpointed bool
	// earliest and end are the bounds of the log at the latest read: the offset
	// of the earliest retained record and the offset after the last one.
	earliest uint64
	end      uint64
	// era is the era of the log in which the applied offset holds.
	era      era.Era
	returned returned
}

// search collects records from the log until a usable checkpoint is found.
type search struct {
	active bool
	// complete is true if the search began at the earliest retained record.
	// tail is how many records before the end of the log it was to begin.
	complete bool
	tail     uint64
	// pending holds the records read so far, without gaps. next is the offset
	// of the next record to read.
	pending []Record
	next    uint64
}

// NewReplica returns a replica that has no state yet.
func NewReplica(stream string, fold Fold) *Replica {
	return &Replica{stream: stream, fold: fold, usable: usable, tail: initialTail}
}

// Stream returns the name of the stream.
func (r *Replica) Stream() string { return r.stream }

// Known reports whether the replica has a state, and that state includes all
// records that the stream had when the replica first received a state.
func (r *Replica) Known() bool {
	r.caughtUp = r.caughtUp || (r.hasState && r.Next() >= r.goal)
	return r.caughtUp
}

// Next returns the applied offset: the state includes all records below it.
func (r *Replica) Next() uint64 { return r.fold.Next() }

// LogEnd returns the end of the log at the latest read.
func (r *Replica) LogEnd() uint64 { return r.end }

// Position returns the applied offset and the oldest buffered offset. ok is
// false if the replica has no state yet.
func (r *Replica) Position() (p *pb.StreamPosition, ok bool) {
	if !r.hasState {
		return nil, false
	}
	return &pb.StreamPosition{Stream: r.stream, NextOffset: r.Next(), OldestHeld: r.buffer.oldest(), Era: uint64(r.era)}, true
}

// NextReadOffset returns the offset at which the next read of the log starts.
// The first read of a replica without state starts at offset 0 and returns the
// bounds of the log.
func (r *Replica) NextReadOffset() uint64 {
	if r.Verifying() {
		return r.compareFrom()
	}
	if r.search.active || !r.hasState {
		return r.search.next
	}
	return r.Next()
}

// ApplyLogRead processes the result of reading the log at the offset from, with
// the bounds and the era of the log at that time. It reports whether the applied
// offset has advanced. A returned error matches ErrNoCheckpoint, ErrLogBehind or
// ErrLogDiverged.
func (r *Replica) ApplyLogRead(from uint64, records []Record, earliest, end uint64, e era.Era) (bool, error) {
	r.earliest = earliest
	r.end = end
	r.observeEra(e)
	if r.Verifying() {
		return false, r.verify(from, records)
	}
	r.recordCheckpoints(records)
	if r.search.active || !r.hasState {
		return r.searchFrom(from, records)
	}
	if end < r.Next() {
		return false, errors.Wrapf(ErrLogBehind, "stream %s: the log ends at %d, the applied offset is %d", r.stream, end, r.Next())
	}
	advanced := r.advance(records)
	if earliest > r.Next() {
		r.startSearch(r.tail)
	}
	return advanced, nil
}

// advance applies records in order up to the first gap and reports whether the
// applied offset has advanced.
func (r *Replica) advance(records []Record) bool {
	before := r.Next()
	for _, record := range records {
		if record.Offset < r.Next() {
			continue
		}
		if record.Offset > r.Next() || r.fold.ApplyRecord(record) != nil {
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

// tryCheckpoint reports whether the record is a usable checkpoint. If so, it
// installs the checkpoint and applies the pending records from the covered
// offset on.
func (r *Replica) tryCheckpoint(record Record, pending []Record) bool {
	covered, ok := r.fold.CheckpointOffset(record.Data)
	if !ok || !r.usable(covered, pending[0].Offset, record.Offset) {
		return false
	}
	if r.hasState && covered <= r.Next() {
		return false
	}
	if r.fold.Install(r.fold.CheckpointState(record.Data)) != nil {
		return false
	}
	r.stateInstalled(r.end)
	r.advance(pending)
	return true
}

// stateInstalled updates the replica after the fold has received a new state.
func (r *Replica) stateInstalled(goal uint64) {
	if !r.hasState {
		r.goal = goal
	}
	r.hasState = true
	r.search = search{}
	r.encoded = nil
	r.buffer.reset(r.Next())
}

// usable reports whether a checkpoint that covers the stream up to an offset
// can be used: every record from the covered offset on must be available, and
// the checkpoint must not claim to cover records after itself.
func usable(covered, earliest, offset uint64) bool {
	return covered >= earliest && covered <= offset
}

// recordCheckpoints updates the best known checkpoint of the log. It ignores
// checkpoints that claim to cover records after themselves.
func (r *Replica) recordCheckpoints(records []Record) {
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

// searchFrom collects records until it finds a state from which all later
// records are available. It begins near the end of the log and starts again
// further back while it finds no usable checkpoint. A replica that has an older
// state keeps using it meanwhile.
func (r *Replica) searchFrom(from uint64, records []Record) (bool, error) {
	if !r.search.active {
		r.startSearch(r.tail)
	}
	if from != r.search.next && len(records) > 0 {
		return false, nil
	}
	r.addPending(records)
	if r.findState(records) {
		return true, nil
	}
	s := &r.search
	if s.next < r.earliest {
		// The log has dropped records that were not read yet.
		s.pending = nil
		s.next = r.earliest
	}
	if s.next < r.end {
		return false, nil
	}
	if !s.complete {
		r.startSearch(s.tail * tailFactor)
		return false, nil
	}
	return false, errors.Wrapf(ErrNoCheckpoint, "stream %s: the log holds offsets %d to %d", r.stream, r.earliest, r.end)
}

// addPending keeps the records of a search without gaps. A gap makes the
// records before it useless, so they are dropped.
func (r *Replica) addPending(records []Record) {
	s := &r.search
	for _, record := range records {
		if record.Offset != s.next {
			s.pending = nil
		}
		s.pending = append(s.pending, record)
		s.next = record.Offset + 1
	}
	if len(s.pending) > maxPending {
		s.pending = append([]Record(nil), s.pending[len(s.pending)-maxPending:]...)
	}
}

// findState searches for a state from which the pending records can be applied:
// the beginning of the stream or a usable checkpoint among the fresh records.
// It reports whether it has found one.
func (r *Replica) findState(fresh []Record) bool {
	pending := r.search.pending
	empty := r.earliest == 0 && r.end == 0
	fromStart := len(pending) > 0 && pending[0].Offset == 0
	if !r.hasState && (empty || fromStart) {
		r.stateInstalled(r.end)
		r.advance(pending)
		return true
	}
	for _, record := range fresh {
		if r.tryCheckpoint(record, pending) {
			return true
		}
	}
	return false
}

// startSearch starts a search the given number of records before the end of the
// log.
func (r *Replica) startSearch(tail uint64) {
	r.search = search{active: true, tail: tail, next: r.earliest}
	r.search.complete = r.end <= r.earliest+tail
	if !r.search.complete {
		r.search.next = r.end - tail
	}
}

// ObservePeerPosition takes into account the stream position of a peer; it is
// called before the records of that peer are applied. A peer at offset 0 proves
// that the stream was empty so far, so the empty state is valid.
// ObservePeerPosition reports whether that made the state available.
func (r *Replica) ObservePeerPosition(p *pb.StreamPosition) bool {
	if !r.hasState && r.era == era.Unknown {
		r.era = era.Era(p.GetEra())
	}
	if !r.Known() {
		r.goal = max(r.goal, p.GetNextOffset())
	}
	if r.hasState || p.GetNextOffset() != 0 {
		return false
	}
	r.stateInstalled(0)
	return true
}

// ApplyPeerRecords applies records received from a peer and reports whether the
// applied offset has advanced. Records after a gap have no effect.
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
	if !r.hasState && own[0].Offset != 0 {
		return false
	}
	if !r.hasState {
		r.stateInstalled(r.goal)
	}
	if !r.advance(own) {
		return false
	}
	r.search = search{}
	return true
}

// InstallState installs a full state received from a peer and reports whether
// it did. A state that is not above the applied offset has no effect.
func (r *Replica) InstallState(s *pb.StreamState) (bool, error) {
	if r.hasState && s.GetNextOffset() <= r.Next() {
		return false, nil
	}
	if err := r.fold.Install(s.GetState()); err != nil {
		return false, err
	}
	r.stateInstalled(r.Next())
	return true, nil
}

// State returns the full state for a peer, or nil if there is none. The
// encoding is cached until the next record, so that many starting nodes can be
// served at low cost.
func (r *Replica) State() *pb.StreamState {
	if !r.hasState {
		return nil
	}
	if r.encoded == nil {
		r.encoded = r.fold.Encode()
	}
	return &pb.StreamState{Stream: r.stream, NextOffset: r.Next(), State: r.encoded}
}

// Records returns the records from offset on for a peer, up to maxBytes in
// total but at least one. It returns none if the buffer does not hold the
// record at offset.
func (r *Replica) Records(offset uint64, maxBytes int) []*pb.StreamRecord {
	if !r.hasState {
		return nil
	}
	buffered := r.buffer.from(offset, maxBytes)
	records := make([]*pb.StreamRecord, len(buffered))
	for i, record := range buffered {
		records[i] = &pb.StreamRecord{Stream: r.stream, Offset: record.Offset, Data: record.Data}
	}
	return records
}

// HasRecordsFrom reports whether the buffer holds every record from offset on.
func (r *Replica) HasRecordsFrom(offset uint64) bool {
	return r.hasState && offset >= r.buffer.oldest()
}

// CheckpointRecord returns a checkpoint record for the stream that holds the
// full state.
func (r *Replica) CheckpointRecord() []byte { return r.fold.CheckpointRecord() }

// BestCheckpoint returns the highest offset up to which a checkpoint in the log
// covers the stream, and the offset of that checkpoint record.
func (r *Replica) BestCheckpoint() (covered, at uint64, ok bool) {
	return r.covered, r.coveredAt, r.checkpointed
}

// CheckpointDue returns how many records the best checkpoint is behind the
// applied offset. urgent is true if the log has dropped records and a starting
// reader would not find a usable checkpoint.
func (r *Replica) CheckpointDue() (behind uint64, urgent bool) {
	if !r.Known() {
		return 0, false
	}
	behind = r.Next() - min(r.covered, r.Next())
	found := r.checkpointed && r.covered >= r.earliest
	return behind, r.earliest > 0 && !found
}
