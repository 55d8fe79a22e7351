package catalogue

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

var deterministic = proto.MarshalOptions{Deterministic: true}

// Encode returns the whole state as an encoded CatalogueState. Equal states
// have equal encodings.
func (s *State) Encode() []byte {
	return mustMarshal(s.proto())
}

// CheckpointRecord returns the whole state as a record for the stream.
func (s *State) CheckpointRecord() []byte {
	return mustMarshal(&pb.CatalogueRecord{Record: &pb.CatalogueRecord_Checkpoint{Checkpoint: s.proto()}})
}

// ChangeRecord returns a change as a record for the stream.
func ChangeRecord(c *pb.Change) []byte {
	return mustMarshal(&pb.CatalogueRecord{Record: &pb.CatalogueRecord_Change{Change: c}})
}

// CheckpointOffset returns the offset that a checkpoint record covers; ok is false for
// other records.
func CheckpointOffset(data []byte) (covered uint64, ok bool) {
	checkpoint := decode(data)
	return checkpoint.GetNextOffset(), checkpoint != nil
}

// CheckpointState returns the encoded state in a checkpoint record, or nil.
func CheckpointState(data []byte) []byte {
	checkpoint := decode(data)
	if checkpoint == nil {
		return nil
	}
	return mustMarshal(checkpoint)
}

// decode returns the checkpoint of a record, or nil.
func decode(data []byte) *pb.CatalogueState {
	record := &pb.CatalogueRecord{}
	if proto.Unmarshal(data, record) != nil {
		return nil
	}
	return record.GetCheckpoint()
}

// StripCheckpoint returns the record without the content of a checkpoint. The fold does
// not use the content, so peers pass on the short form.
func StripCheckpoint(data []byte) []byte {
	checkpoint := decode(data)
	if checkpoint == nil {
		return data
	}
	short := &pb.CatalogueState{NextOffset: checkpoint.GetNextOffset()}
	return mustMarshal(&pb.CatalogueRecord{Record: &pb.CatalogueRecord_Checkpoint{Checkpoint: short}})
}

// Restore decodes a whole state. The error matches ErrBadState.
func Restore(data []byte) (*State, error) {
	p := &pb.CatalogueState{}
	if err := proto.Unmarshal(data, p); err != nil {
		return nil, errors.Wrapf(ErrBadState, "decoding: %v", err)
	}
	s := NewState()
	s.next = p.GetNextOffset()
	for _, e := range p.GetEntries() {
		if e.GetRevision() == 0 || e.GetRevision() > s.next || Validate(e.GetEntry()) != nil {
			return nil, errors.Wrapf(ErrBadState, "entry %q", e.GetEntry().GetService())
		}
		s.entries[e.GetEntry().GetService()] = e
		s.bytes += proto.Size(e.GetEntry())
		s.dirty[e.GetEntry().GetService()] = struct{}{}
	}
	for _, t := range p.GetTombstones() {
		s.tombstones[t.GetService()] = t
		s.dirty[t.GetService()] = struct{}{}
	}
	for _, r := range p.GetRecent() {
		s.remember(r)
	}
	return s, nil
}

func (s *State) proto() *pb.CatalogueState {
	p := &pb.CatalogueState{NextOffset: s.next, Recent: s.recent}
	for _, e := range s.entries {
		p.Entries = append(p.Entries, e)
	}
	slices.SortFunc(p.Entries, func(a, b *pb.EntryState) int {
		return strings.Compare(a.GetEntry().GetService(), b.GetEntry().GetService())
	})
	for _, t := range s.tombstones {
		p.Tombstones = append(p.Tombstones, t)
	}
	slices.SortFunc(p.Tombstones, func(a, b *pb.Tombstone) int {
		return strings.Compare(a.GetService(), b.GetService())
	})
	return p
}

// mustMarshal panics only for strings that are not valid UTF-8; all strings of
// the state come from decoded messages or pass Validate.
func mustMarshal(m proto.Message) []byte {
	data, err := deterministic.Marshal(m)
	if err != nil {
		panic(err)
	}
	return data
}
