package node

import (
	"time"

	"github.com/primrosemount/primrosemount/core/route"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/node/control"
)

// watchMembers passes changes of the member table and the catalogue to the
// router, and starts the drain of this node when the catalogue requires it.
func (n *Node) watchMembers() {
	known := make(map[string]bool)
	for {
		changed := n.control.Changes()
		n.updateRoutes(known)
		if n.joined.Load() && n.drainingByCatalogue() {
			n.beginDrain()
		}
		select {
		case <-changed:
		case <-n.ctx.Done():
			return
		}
	}
}

// updateRoutes passes the targets of each service to the router. known holds
// the services that the router has, so that those without members can be
// removed from it.
func (n *Node) updateRoutes(known map[string]bool) {
	snapshot := n.control.Snapshot()
	now := time.Now()
	present := make(map[string]bool)
	for _, service := range snapshot.Members.Services() {
		present[service] = true
		known[service] = true
		n.router.Update(now, service, targetsOf(snapshot, service))
		n.reportDrainingVMs(now, snapshot, service)
	}
	for service := range known {
		if !present[service] {
			n.router.Update(now, service, nil)
			delete(known, service)
		}
	}
}

func targetsOf(snapshot control.Snapshot, service string) []route.Target {
	members := snapshot.Members.Service(service)
	targets := make([]route.Target, 0, len(members))
	for _, member := range members {
		targets = append(targets, route.Target{
			Incarnation: member.Incarnation,
			VM:          member.VM,
			Zone:        member.Zone,
			Region:      member.Region,
			Address:     member.Address,
			Slots:       int(member.Slots),
		})
	}
	return targets
}

// reportDrainingVMs marks the VMs in draining_vms of the catalogue as draining
// in the router, so that they get no new work. They remain in the router,
// because their nodes still serve requests with their idempotency keys.
func (n *Node) reportDrainingVMs(now time.Time, snapshot control.Snapshot, service string) {
	entry, ok := snapshot.Catalogue.Service(service)
	if !ok {
		return
	}
	for _, member := range snapshot.Members.Service(service) {
		if !entry.Draining(member.VM) {
			continue
		}
		if endpoint := n.router.Find(member.Incarnation); endpoint != nil {
			endpoint.Report(now, route.Report{Draining: true})
		}
	}
}

// drainingByCatalogue reports whether the catalogue lists the VM of this node
// in draining_vms.
func (n *Node) drainingByCatalogue() bool {
	entry, ok := n.control.Snapshot().Catalogue.Service(n.settings.GetService())
	return ok && entry.Draining(n.settings.GetVm())
}

// keyHolder returns the incarnation that holds the idempotency keys of a
// removed one.
func (n *Node) keyHolder(incarnation uint64) (uint64, bool) {
	if successor, ok := n.successors.resolve(incarnation); ok {
		return successor, true
	}
	member, ok := n.control.Snapshot().Members.KeyHolder(incarnation)
	if !ok {
		return 0, false
	}
	return member.Incarnation, true
}

// applyPeerReport passes the gate report that a peer sent about itself to the
// router, and records its successor.
func (n *Node) applyPeerReport(incarnation uint64, report *pb.GateReport) {
	n.successors.record(incarnation, report.GetSuccessor())
	if endpoint := n.router.Find(incarnation); endpoint != nil {
		endpoint.Report(time.Now(), route.ReportFromProto(report))
		n.observeDrainReport(endpoint.Target(), report)
	}
}
