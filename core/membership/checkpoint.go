package membership

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

var deterministic = proto.MarshalOptions{Deterministic: true}

// Encode returns the full state as an encoded MembersState. Equal states have
// equal encodings.
func (s *State) Encode() []byte {
	return mustMarshal(s.proto())
}

// CheckpointRecord returns a checkpoint record for the stream that holds the
// full state.
func (s *State) CheckpointRecord() []byte {
	return checkpointRecord(s.proto())
}

// BatchRecord returns a stream record that holds joins, leaves and evictions.
func BatchRecord(records []*pb.MembersRecord) []byte {
	return mustMarshal(&pb.MembersBatch{Records: records})
}

func checkpointRecord(state *pb.MembersState) []byte {
	return BatchRecord([]*pb.MembersRecord{{Record: &pb.MembersRecord_Checkpoint{Checkpoint: state}}})
}

// CheckpointOffset returns the offset up to which a checkpoint record covers
// the stream: its state includes every record below that offset. ok is false if
// data is not a checkpoint record.
func CheckpointOffset(data []byte) (covered uint64, ok bool) {
	checkpoint := decode(data)
	return checkpoint.GetNextOffset(), checkpoint != nil
}

// CheckpointState returns the encoded state in a checkpoint record, or nil if
// data is not a checkpoint record.
func CheckpointState(data []byte) []byte {
	checkpoint := decode(data)
	if checkpoint == nil {
		return nil
	}
	return mustMarshal(checkpoint)
}

// StripCheckpoint returns a checkpoint record without its state, and any other
// record unchanged. State.Apply ignores the state in a checkpoint, so peers
// exchange the short form.
func StripCheckpoint(data []byte) []byte {
	checkpoint := decode(data)
	if checkpoint == nil {
		return data
	}
	return checkpointRecord(&pb.MembersState{NextOffset: checkpoint.GetNextOffset()})
}

// decode returns the checkpoint in a record that contains no other item, or
// nil.
func decode(data []byte) *pb.MembersState {
	batch := &pb.MembersBatch{}
	if proto.Unmarshal(data, batch) != nil || len(batch.GetRecords()) != 1 {
		return nil
	}
	return batch.GetRecords()[0].GetCheckpoint()
}

// Restore decodes a full state. A returned error matches ErrBadState.
func Restore(data []byte) (*State, error) {
	p := &pb.MembersState{}
	if err := proto.Unmarshal(data, p); err != nil {
		return nil, errors.Wrapf(ErrBadState, "decoding: %v", err)
	}
	s := NewState()
	s.next = p.GetNextOffset()
	for _, l := range p.GetSuccessors() {
		s.retire(l.GetIncarnation(), l.GetSuccessor())
	}
	effect := &Effect{}
	for _, m := range p.GetMembers() {
		if err := ValidateMember(m); err != nil {
			return nil, errors.Wrapf(ErrBadState, "%v", err)
		}
		s.add(m, effect)
	}
	return s, nil
}

func (s *State) proto() *pb.MembersState {
	p := &pb.MembersState{NextOffset: s.next, Successors: s.retired}
	for _, m := range s.table.all() {
		p.Members = append(p.Members, m.Proto())
	}
	return p
}

// mustMarshal panics only if a string is not valid UTF-8, which cannot happen
// here because all strings of the state come from decoded messages.
func mustMarshal(m proto.Message) []byte {
	data, err := deterministic.Marshal(m)
	if err != nil {
		panic(err)
	}
	return data
}
