package node

import (
	"context"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// Status is a summary of the state of a node.
type Status struct {
	VM          string
	Service     string
	Incarnation uint64
	// Services is the number of services in the applied catalogue.
	Services          int
	Members           int
	CatalogueKnown    bool
	CataloguePosition uint64
	MembersPosition   uint64
	// CatalogueEra is the era of the log in which the position holds, or 0 if the log
	// does not tell it.
	CatalogueEra uint64
	LogDown      bool
	Draining     bool
	// Connections is the number of open connections to other nodes.
	Connections int
}

// Status returns the current status.
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
		CatalogueEra:      uint64(snapshot.CatalogueEra),
		LogDown:           snapshot.LogDown,
		Draining:          n.draining.Load(),
		Connections:       n.pool.Connections(),
	}
}

// Submit appends a change of the catalogue to the log and returns the result.
func (n *Node) Submit(ctx context.Context, change *pb.Change) (*pb.ChangeResult, error) {
	return n.control.Submit(ctx, change)
}

// Revision returns the base revision that the next change of the service must
// name.
func (n *Node) Revision(service string) uint64 {
	return n.control.Snapshot().Catalogue.Revision(service)
}
