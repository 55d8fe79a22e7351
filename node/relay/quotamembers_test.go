package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/route"
	"github.com/primrosemount/primrosemount/core/targetstate"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// Guards against quotas that are divided among members that have stopped or before all
// members are known, and against a node that takes over its part at once although others
// have used it since its stop.
func TestMembersAreReportedForQuotas(t *testing.T) {
	for _, c := range []struct {
		name      string
		previous  *pb.RelayMember
		rejoining bool
	}{
		{"new", nil, false},
		{"killed", &pb.RelayMember{Vm: "vm", Address: "vm:1", Incarnation: 1}, true},
		{"stopped", &pb.RelayMember{Vm: "vm", Address: "vm:1", Incarnation: 1, Stopped: true}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			self := &pb.RelayMember{Vm: "vm", Address: "vm:1", Incarnation: testIncarnation}
			task := newMembersTask(self, nil, route.New(route.Config{Start: time.Now()}), nil, newConfiguration(nil, time.Now(), zap.NewNop()), testRules, zap.NewNop())
			var reports []*quotaMembers
			task.membersChanged = func(m *quotaMembers) { reports = append(reports, m) }
			known := []*pb.RelayMember{{Vm: "a", Address: "a:1", Incarnation: 1}, {Vm: "b", Address: "b:1", Incarnation: 1, Stopped: true}}
			if c.previous != nil {
				known = append(known, c.previous)
			}
			task.restore = func(targetstate.Announcement, bool) {}
			task.merge(known)
			task.reportMembers()
			require.Empty(t, reports, "the members are not complete yet")
			task.loaded = true
			task.reportMembers()
			task.reportMembers()
			require.Len(t, reports, 1)
			require.ElementsMatch(t, []string{"a", "vm"}, reports[0].vms)
			require.Equal(t, "a:1", reports[0].addresses["a"])
			require.Equal(t, c.rejoining, reports[0].rejoining)
			task.merge([]*pb.RelayMember{{Vm: "c", Address: "c:1", Incarnation: 1}})
			task.reportMembers()
			require.Len(t, reports, 2)
		})
	}
}
