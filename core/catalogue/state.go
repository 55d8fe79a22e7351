package catalogue

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

const (
	// MaxRecentResults bounds the results kept; at 27,000 changes a day this is about
	// 3.6 hours, longer than the log outage of an hour that a repeated append
	// has to survive.
	MaxRecentResults = 4096
	// MaxTombstones bounds the deleted entries that are remembered, five times
	// the number of services planned.
	MaxTombstones = 4096
	// MaxCatalogueBytes bounds the encoded entries, five times the size of 770
	// typical ones. Every node holds them, and a checkpoint is one record.
	MaxCatalogueBytes = 2 << 20
	// ChangeIDBytes is the length of the id of a change.
	ChangeIDBytes = 16
	// maxDetailBytes bounds the reason of a rejection, because it is part of
	// every checkpoint.
	maxDetailBytes = 256
)

// Kinds of errors; match them with errors.Is.
var (
	// ErrGap marks a record above the next offset.
	ErrGap = errors.New("catalogue: records are missing before this one; read from the next offset, or install a whole state")
	// ErrSkipped marks a record without effect because it is not valid.
	ErrSkipped = errors.New("catalogue: the record is not valid and was skipped; check who writes to the stream")
	// ErrBadState marks a whole state that cannot be used.
	ErrBadState = errors.New("catalogue: the encoded state is not valid; ask another peer, or fold the stream")
)

// Effect is what the fold did with one record.
type Effect struct {
	// Result is set for a change that had not been seen before.
	Result *pb.ChangeResult
	// Checkpoint is set for a checkpoint record, and Covered is its offset.
	Checkpoint       bool
	CheckpointOffset uint64
	// Duplicate is set for a change id that was decided before.
	Duplicate bool
	// Skipped matches ErrSkipped when the record is not valid.
	Skipped error
}

// State is the fold of the catalogue stream. The zero value is not usable; see NewState.
type State struct {
	next       uint64
	bytes      int
	entries    map[string]*pb.EntryState
	tombstones map[string]*pb.Tombstone
	recent     []*pb.ChangeResult
	byID       map[string]*pb.ChangeResult
	dirty      map[string]struct{}
	view       *Snapshot
}

// NewState returns the state before offset 0.
func NewState() *State {
	return &State{
		entries:    map[string]*pb.EntryState{},
		tombstones: map[string]*pb.Tombstone{},
		byID:       map[string]*pb.ChangeResult{},
		dirty:      map[string]struct{}{},
		view:       &Snapshot{},
	}
}

// Next returns the offset after the last folded record.
func (s *State) Next() uint64 { return s.next }

// Result returns what was decided about a change id, if it is still kept.
func (s *State) Result(id []byte) (*pb.ChangeResult, bool) {
	r, ok := s.byID[string(id)]
	return r, ok
}

// Apply folds the record at offset. A record below Next has no effect; a
// record above it yields an error that matches ErrGap and changes nothing.
func (s *State) Apply(offset uint64, data []byte) (Effect, error) {
	if offset < s.next {
		return Effect{}, nil
	}
	if offset > s.next {
		return Effect{}, errors.Wrapf(ErrGap, "record %d after %d", offset, s.next)
	}
	s.next++
	record := &pb.CatalogueRecord{}
	if err := proto.Unmarshal(data, record); err != nil {
		return skipped(offset, err.Error()), nil
	}
	switch r := record.GetRecord().(type) {
	case *pb.CatalogueRecord_Checkpoint:
		return Effect{Checkpoint: true, CheckpointOffset: r.Checkpoint.GetNextOffset()}, nil
	case *pb.CatalogueRecord_Change:
		return s.change(offset, r.Change), nil
	default:
		return skipped(offset, "it has no known kind"), nil
	}
}

func skipped(offset uint64, detail string) Effect {
	return Effect{Skipped: errors.Wrapf(ErrSkipped, "record %d: %s", offset, detail)}
}

func (s *State) change(offset uint64, c *pb.Change) Effect {
	if len(c.GetId()) != ChangeIDBytes {
		return skipped(offset, fmt.Sprintf("the change id has %d bytes instead of %d", len(c.GetId()), ChangeIDBytes))
	}
	if _, ok := s.byID[string(c.GetId())]; ok {
		return Effect{Duplicate: true}
	}
	result := s.decide(offset, c)
	s.remember(result)
	if result.GetAccepted() {
		s.put(offset, c)
	}
	return Effect{Result: result}
}

func (s *State) decide(offset uint64, c *pb.Change) *pb.ChangeResult {
	result := &pb.ChangeResult{
		ChangeId: c.GetId(),
		Offset:   offset,
		Service:  clip(c.GetService()),
		Operator: clip(c.GetOperator()),
	}
	if err := ValidateChange(c); err != nil {
		result.Detail = clip(err.Error())
		return result
	}
	if revision, by, id := s.present(c.GetService()); revision != c.GetBaseRevision() {
		result.Winner = by
		result.WinnerChangeId = id
		result.Detail = stale(c.GetBaseRevision(), revision, by)
		return result
	}
	if owner := s.owner(c); owner != c.GetOperator() {
		result.Detail = clip(fmt.Sprintf("the entry belongs to %q; ask this owner to make the change or to pass the entry on", owner))
		return result
	}
	if c.GetEntry() == nil && s.entries[c.GetService()] == nil {
		result.Detail = "there is no entry to delete; nothing needs to be done"
		return result
	}
	if total := s.bytes + s.growth(c); total > MaxCatalogueBytes {
		result.Detail = fmt.Sprintf("the catalogue would have %d bytes instead of at most %d; shorten or delete entries", total, MaxCatalogueBytes)
		return result
	}
	result.Accepted = true
	return result
}

// growth returns by how many bytes a change makes the encoded entries longer.
func (s *State) growth(c *pb.Change) int {
	return proto.Size(c.GetEntry()) - proto.Size(s.entries[c.GetService()].GetEntry())
}

func stale(base, present uint64, by string) string {
	if by == "" {
		return clip(fmt.Sprintf("the change is based on revision %d, but no such entry exists; read the catalogue and make the change again", base))
	}
	return clip(fmt.Sprintf("the change is based on revision %d, but %q changed the entry to revision %d; read it and make the change again", base, by, present))
}

// present returns the revision of an entry or of its tombstone, 0 if there is neither.
func (s *State) present(service string) (uint64, string, []byte) {
	if e := s.entries[service]; e != nil {
		return e.GetRevision(), e.GetChangedBy(), e.GetChangeId()
	}
	if t := s.tombstones[service]; t != nil {
		return t.GetRevision(), t.GetChangedBy(), t.GetChangeId()
	}
	return 0, "", nil
}

// owner returns who may make the change: the owner of the present entry, or
// the owner that a new entry names.
func (s *State) owner(c *pb.Change) string {
	if e := s.entries[c.GetService()]; e != nil {
		return e.GetEntry().GetOwner()
	}
	if c.GetEntry() == nil {
		return c.GetOperator()
	}
	return c.GetEntry().GetOwner()
}

// ValidateChange checks a change without regard to the state. Every writer
// calls it before it appends.
func ValidateChange(c *pb.Change) error {
	check := &checker{}
	if len(c.GetId()) != ChangeIDBytes {
		check.add("id", fmt.Sprintf("has %d bytes", len(c.GetId())), fmt.Sprintf("draw %d random bytes", ChangeIDBytes))
	}
	check.name("operator", c.GetOperator(), ownerPattern, "name the operator or team that makes the change")
	check.name("service", c.GetService(), servicePattern, "use lower-case letters, digits, '.', '_' and '-'")
	if err := check.result(c.GetService()); err != nil {
		return err
	}
	if c.GetEntry() == nil {
		return nil
	}
	if c.GetEntry().GetService() != c.GetService() {
		check.add("entry.service", fmt.Sprintf("is %q", c.GetEntry().GetService()), fmt.Sprintf("use %q as in the change", c.GetService()))
		return check.result(c.GetService())
	}
	return Validate(c.GetEntry())
}

func (s *State) put(offset uint64, c *pb.Change) {
	service := c.GetService()
	s.dirty[service] = struct{}{}
	s.bytes += s.growth(c)
	if c.GetEntry() == nil {
		delete(s.entries, service)
		s.bury(&pb.Tombstone{Service: service, Revision: offset + 1, ChangedBy: c.GetOperator(), ChangeId: c.GetId()})
		return
	}
	delete(s.tombstones, service)
	s.entries[service] = &pb.EntryState{Entry: c.GetEntry(), Revision: offset + 1, ChangedBy: c.GetOperator(), ChangeId: c.GetId()}
}

func (s *State) bury(t *pb.Tombstone) {
	s.tombstones[t.GetService()] = t
	if len(s.tombstones) <= MaxTombstones {
		return
	}
	oldest := t
	for _, other := range s.tombstones {
		if other.GetRevision() < oldest.GetRevision() {
			oldest = other
		}
	}
	delete(s.tombstones, oldest.GetService())
	s.dirty[oldest.GetService()] = struct{}{}
}

func (s *State) remember(r *pb.ChangeResult) {
	s.recent = append(s.recent, r)
	s.byID[string(r.GetChangeId())] = r
	if len(s.recent) <= MaxRecentResults {
		return
	}
	delete(s.byID, string(s.recent[0].GetChangeId()))
	s.recent[0] = nil
	s.recent = s.recent[1:]
}

// clip bounds a text and removes a character that the cut has split, because
// protobuf strings must be valid UTF-8.
func clip(text string) string {
	if len(text) <= maxDetailBytes {
		return text
	}
	cut := maxDetailBytes
	for cut > 0 && text[cut]&0xc0 == 0x80 {
		cut--
	}
	return text[:cut]
}
