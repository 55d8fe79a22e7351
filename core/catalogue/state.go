package catalogue

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

const (
	// MaxRecentResults is the number of results that are kept. At 27,000
	// changes a day, they cover about 3.6 hours. That is longer than the log
	// outage of one hour after which a repeated append must still be
	// recognized.
	MaxRecentResults = 4096
	// MaxTombstones is the number of deleted entries that are remembered, five
	// times the planned number of services.
	MaxTombstones = 4096
	// MaxCatalogueBytes limits the encoded size of all entries to five times
	// that of 770 typical entries. Every node holds all entries in memory, and
	// a checkpoint of them must fit into one record.
	MaxCatalogueBytes = 2 << 20
	// ChangeIDBytes is the length of the ID of a change.
	ChangeIDBytes = 16
	// maxDetailBytes limits the stored reason for a rejection, because it is
	// part of every checkpoint.
	maxDetailBytes = 256
)

// Errors returned by this package; match them with errors.Is.
var (
	// ErrGap reports a record whose offset is above the next one to apply.
	ErrGap = errors.New("catalogue: records are missing before this one; read from the next offset, or install a full state")
	// ErrSkipped reports a record that had no effect because it is not valid.
	ErrSkipped = errors.New("catalogue: the record is not valid and was skipped; check who writes to the stream")
	// ErrBadState reports an encoded state that cannot be decoded or is not
	// valid.
	ErrBadState = errors.New("catalogue: the encoded state is not valid; request it from another peer, or rebuild it from the stream")
)

// An Effect describes what applying one record has changed.
type Effect struct {
	// Result is the result of a change that was applied for the first time,
	// otherwise nil.
	Result *pb.ChangeResult
	// Checkpoint is true if the record is a checkpoint. CheckpointOffset is
	// then the offset up to which the checkpoint covers the stream.
	Checkpoint       bool
	CheckpointOffset uint64
	// Duplicate is true if the record is a change whose ID is among the recent
	// results.
	Duplicate bool
	// Skipped matches ErrSkipped if the record is not valid.
	Skipped error
}

// A State is the state that results from applying the catalogue stream. The
// zero value is not usable; call NewState.
type State struct {
	next       uint64
	entryBytes int
	entries    map[string]*pb.EntryState
	tombstones map[string]*pb.Tombstone
	// recent holds the latest results, oldest first; resultByID indexes them.
	recent     []*pb.ChangeResult
	resultByID map[string]*pb.ChangeResult
	// dirty holds the services that have changed since view was compiled.
	dirty map[string]struct{}
	view  *Snapshot
}

// NewState returns the state before offset 0 of the stream.
func NewState() *State {
	return &State{
		entries:    map[string]*pb.EntryState{},
		tombstones: map[string]*pb.Tombstone{},
		resultByID: map[string]*pb.ChangeResult{},
		dirty:      map[string]struct{}{},
		view:       &Snapshot{},
	}
}

// Next returns the offset of the next record to apply.
func (s *State) Next() uint64 { return s.next }

// Result returns the result of the change with the given ID, if it is among the
// recent results.
func (s *State) Result(id []byte) (*pb.ChangeResult, bool) {
	r, ok := s.resultByID[string(id)]
	return r, ok
}

// Apply applies the record at the given offset. A record below Next has no
// effect. A record above Next changes nothing and returns an error that matches
// ErrGap.
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
		return skippedEffect(offset, err.Error()), nil
	}
	switch r := record.GetRecord().(type) {
	case *pb.CatalogueRecord_Checkpoint:
		return Effect{Checkpoint: true, CheckpointOffset: r.Checkpoint.GetNextOffset()}, nil
	case *pb.CatalogueRecord_Change:
		return s.applyChange(offset, r.Change), nil
	default:
		return skippedEffect(offset, "the record is of an unknown kind"), nil
	}
}

func skippedEffect(offset uint64, detail string) Effect {
	return Effect{Skipped: errors.Wrapf(ErrSkipped, "record %d: %s", offset, detail)}
}

// applyChange decides about a change, remembers the result, and updates the
// entry if the change is accepted. A change whose ID is among the recent
// results has no effect.
func (s *State) applyChange(offset uint64, c *pb.Change) Effect {
	if len(c.GetId()) != ChangeIDBytes {
		return skippedEffect(offset, fmt.Sprintf("the change id has %d bytes instead of %d", len(c.GetId()), ChangeIDBytes))
	}
	if _, ok := s.resultByID[string(c.GetId())]; ok {
		return Effect{Duplicate: true}
	}
	result := s.decide(offset, c)
	s.addResult(result)
	if result.GetAccepted() {
		s.put(offset, c)
	}
	return Effect{Result: result}
}

// decide returns the result of a change without applying it.
func (s *State) decide(offset uint64, c *pb.Change) *pb.ChangeResult {
	result := &pb.ChangeResult{
		ChangeId: c.GetId(),
		Offset:   offset,
		Service:  truncate(c.GetService()),
		Operator: truncate(c.GetOperator()),
	}
	if err := ValidateChange(c); err != nil {
		result.Detail = truncate(err.Error())
		return result
	}
	if revision, by, id := s.current(c.GetService()); revision != c.GetBaseRevision() {
		result.Winner = by
		result.WinnerChangeId = id
		result.Detail = staleDetail(c.GetBaseRevision(), revision, by)
		return result
	}
	if owner := s.owner(c); owner != c.GetOperator() {
		result.Detail = truncate(fmt.Sprintf("the entry belongs to %q; ask this owner to make the change or to pass the entry on", owner))
		return result
	}
	if c.GetEntry() == nil && s.entries[c.GetService()] == nil {
		result.Detail = "there is no entry to delete; nothing needs to be done"
		return result
	}
	if total := s.entryBytes + s.sizeDelta(c); total > MaxCatalogueBytes {
		result.Detail = fmt.Sprintf("the catalogue would have %d bytes instead of at most %d; shorten or delete entries", total, MaxCatalogueBytes)
		return result
	}
	result.Accepted = true
	return result
}

// sizeDelta returns by how many bytes a change increases the encoded size of
// all entries.
func (s *State) sizeDelta(c *pb.Change) int {
	return proto.Size(c.GetEntry()) - proto.Size(s.entries[c.GetService()].GetEntry())
}

func staleDetail(base, current uint64, by string) string {
	if by == "" {
		return truncate(fmt.Sprintf("the change is based on revision %d, but no such entry exists; read the catalogue and make the change again", base))
	}
	return truncate(fmt.Sprintf("the change is based on revision %d, but %q changed the entry to revision %d; read it and make the change again", base, by, current))
}

// current returns the revision, operator and ID of the latest change of an
// entry or of its tombstone. The revision is 0 if there is neither.
func (s *State) current(service string) (uint64, string, []byte) {
	if e := s.entries[service]; e != nil {
		return e.GetRevision(), e.GetChangedBy(), e.GetChangeId()
	}
	if t := s.tombstones[service]; t != nil {
		return t.GetRevision(), t.GetChangedBy(), t.GetChangeId()
	}
	return 0, "", nil
}

// owner returns who may make the change: the owner of the current entry, or for
// a new entry the owner that it names.
func (s *State) owner(c *pb.Change) string {
	if e := s.entries[c.GetService()]; e != nil {
		return e.GetEntry().GetOwner()
	}
	if c.GetEntry() == nil {
		return c.GetOperator()
	}
	return c.GetEntry().GetOwner()
}

// ValidateChange checks a change without regard to the state. Each writer calls
// it before it appends the change.
func ValidateChange(c *pb.Change) error {
	check := &validator{}
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

// put applies an accepted change: it replaces the entry, or deletes it and
// leaves a tombstone.
func (s *State) put(offset uint64, c *pb.Change) {
	service := c.GetService()
	s.dirty[service] = struct{}{}
	s.entryBytes += s.sizeDelta(c)
	if c.GetEntry() == nil {
		delete(s.entries, service)
		s.addTombstone(&pb.Tombstone{Service: service, Revision: offset + 1, ChangedBy: c.GetOperator(), ChangeId: c.GetId()})
		return
	}
	delete(s.tombstones, service)
	s.entries[service] = &pb.EntryState{Entry: c.GetEntry(), Revision: offset + 1, ChangedBy: c.GetOperator(), ChangeId: c.GetId()}
}

// addTombstone adds a tombstone. If there are then more than MaxTombstones, it
// drops the one with the lowest revision.
func (s *State) addTombstone(t *pb.Tombstone) {
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

// addResult remembers a result. If there are then more than MaxRecentResults,
// it drops the oldest one.
func (s *State) addResult(r *pb.ChangeResult) {
	s.recent = append(s.recent, r)
	s.resultByID[string(r.GetChangeId())] = r
	if len(s.recent) <= MaxRecentResults {
		return
	}
	delete(s.resultByID, string(s.recent[0].GetChangeId()))
	s.recent[0] = nil
	s.recent = s.recent[1:]
}

// truncate limits the length of a text. It removes a character that the limit
// would split, because protobuf strings must be valid UTF-8.
func truncate(text string) string {
	if len(text) <= maxDetailBytes {
		return text
	}
	cut := maxDetailBytes
	for cut > 0 && text[cut]&0xc0 == 0x80 {
		cut--
	}
	return text[:cut]
}
