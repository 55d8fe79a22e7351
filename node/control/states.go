package control

import (
	"context"

	"google.golang.org/protobuf/proto"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// States returns the whole states of both streams, for operators. The error
// matches ErrStopped, or is that of the context.
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

// encodedStates leave the task as bytes, so that nothing is shared with it.
type encodedStates struct {
	catalogue []byte
	members   []byte
}

type statesRequest struct {
	reply chan<- encodedStates
}

func (statesRequest) kind() Kind { return KindSubmit }

func (m statesRequest) handle(t *task) {
	m.reply <- encodedStates{catalogue: t.cat.Encode(), members: t.mem.Encode()}
}
