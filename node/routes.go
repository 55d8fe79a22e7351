package node

import (
	"time"

	"github.com/primrosemount/primrosemount/core/route"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/node/control"
)

// followMembers passes changes of the member table to the router.
func (n *Node) followMembers() {
	known := make(map[string]bool)
	for {
		changed := n.control.Changes()
		n.updateRoutes(known)
		if n.joined.Load() && n.leavesByCatalogue() {
			n.beginDrain()
		}
		select {
		case <-changed:
		case <-n.ctx.Done():
			return
		}
	}
}

// updateRoutes gives the router the targets of each service. known holds the
// services that the router has, so that vanished ones are removed.
func (n *Node) updateRoutes(known map[string]bool) {
	snapshot := n.control.Snapshot()
	now := time.Now()
	present := make(map[string]bool)
	for _, service := range snapshot.Members.Services() {
		present[service] = true
		known[service] = true
		n.router.Update(now, service, targetsOf(snapshot, service))
		n.followDrains(now, snapshot, service)
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

// followDrains stops new work for the VMs that the catalogue wants to leave.
// They stay known to the router, because their keys are still answered there.
func (n *Node) followDrains(now time.Time, snapshot control.Snapshot, service string) {
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

// leavesByCatalogue tells whether the catalogue wants the own target to leave.
func (n *Node) leavesByCatalogue() bool {
	entry, ok := n.control.Snapshot().Catalogue.Service(n.settings.GetService())
	return ok && entry.Draining(n.settings.GetVm())
}

// holder returns the incarnation that holds the keys of one that has left.
func (n *Node) holder(incarnation uint64) (uint64, bool) {
	if successor, ok := n.successors.of(incarnation); ok {
		return successor, true
	}
	member, ok := n.control.Snapshot().Members.KeyHolder(incarnation)
	if !ok {
		return 0, false
	}
	return member.Incarnation, true
}

// takeReport uses what a peer says about its own gate.
func (n *Node) takeReport(incarnation uint64, report *pb.GateReport) {
	n.successors.note(incarnation, report.GetSuccessor())
	if endpoint := n.router.Find(incarnation); endpoint != nil {
		endpoint.Report(time.Now(), route.ReportFromProto(report))
		n.observeReport(endpoint.Target(), report)
	}
}
