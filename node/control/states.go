package control

import (
	"context"

	"google.golang.org/protobuf/proto"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// States returns the full states of both streams, for operators. A returned
// error matches ErrStopped, or is the error of ctx or of decoding a state.
func (c *Control) States(ctx context.Context) (*pb.CatalogueState, *pb.MembersState, error) {
	reply := make(chan encodedStates, 1)
	encoded, err := call(ctx, c, statesRequest{reply}, reply)
	if err != nil {
		return nil, nil, err
	}
	entries, members := &pb.CatalogueState{}, &pb.MembersState{}
	if err := proto.Unmarshal(encoded.catalogue, entries); err != nil {
		return nil, nil, err
	}
	return entries, members, proto.Unmarshal(encoded.members, members)
}

// encodedStates holds the states in encoded form, so that the caller shares no
// memory with the task.
type encodedStates struct {
	catalogue []byte
	members   []byte
}

// statesRequest is the message of Control.States.
type statesRequest struct {
	reply chan<- encodedStates
}

func (statesRequest) kind() Kind { return KindSubmit }

func (m statesRequest) handle(t *task) {
	m.reply <- encodedStates{catalogue: t.cat.Encode(), members: t.mem.Encode()}
}
