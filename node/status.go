package node

import (
	"context"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// Status is a summary of what a node knows.
type Status struct {
	VM          string
	Service     string
	Incarnation uint64
	// Services counts the entries of the catalogue in force.
	Services          int
	Members           int
	CatalogueKnown    bool
	CataloguePosition uint64
	MembersPosition   uint64
	LogDown           bool
	Draining          bool
	// Connections counts open connections to other nodes.
	Connections int
}

// Status returns the present summary.
func (n *Node) Status() Status {
	snapshot := n.control.Snapshot()
	return Status{
		VM:                n.settings.GetVm(),
		Service:           n.settings.GetService(),
		Incarnation:       n.current().Incarnation(),
		Services:          snapshot.Catalogue.Len(),
		Members:           snapshot.Members.Len(),
		CatalogueKnown:    snapshot.CatalogueKnown,
		CataloguePosition: snapshot.CataloguePosition,
		MembersPosition:   snapshot.MembersPosition,
		LogDown:           snapshot.LogDown,
		Draining:          n.draining.Load(),
		Connections:       n.pool.Connections(),
	}
}

// Submit appends a change of the catalogue and returns what was decided.
func (n *Node) Submit(ctx context.Context, change *pb.Change) (*pb.ChangeResult, error) {
	return n.control.Submit(ctx, change)
}

// Revision returns the base revision that the next change of a service must
// name.
func (n *Node) Revision(service string) uint64 {
	return n.control.Snapshot().Catalogue.Revision(service)
}
