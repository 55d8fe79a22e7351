package relay

import "time"

// reportMembers passes the members that may own quotas to the quota task, once all of them
// are known, and after each change.
func (t *membersTask) reportMembers() {
	if t.announced.IsZero() && t.published > 0 {
		t.announced, t.reportedChanges = time.Now(), 0
	}
	if !t.loaded && !t.queries.answered || t.reportedChanges == t.roster.Changes()+1 {
		return
	}
	t.reportedChanges = t.roster.Changes() + 1
	members := &quotaMembers{addresses: make(map[string]string, t.roster.Len()), rejoining: t.previous != nil && !t.previous.GetStopped(), announced: t.announced}
	for _, m := range t.roster.Members() {
		if !m.GetStopped() && m.GetVm() != t.vm {
			members.vms = append(members.vms, m.GetVm())
			members.addresses[m.GetVm()] = m.GetAddress()
		}
	}
	if !t.self.GetStopped() {
		// The announcement of this node may not have been merged yet.
		members.vms = append(members.vms, t.vm)
	}
	t.membersChanged(members)
}
