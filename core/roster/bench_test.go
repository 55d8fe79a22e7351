package roster_test

import (
	"fmt"
	"strconv"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/primrosemount/primrosemount/core/roster"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// newFilledRoster returns a roster of n members, 12 for each service, and the
// total size of their announcements.
func newFilledRoster(n int) (*roster.Roster, int) {
	r := roster.New()
	size := 0
	for i := range n {
		m := &pb.RelayMember{
			Vm: "sidecar-zone-" + strconv.Itoa(i), Zone: "zone-" + strconv.Itoa(i%6), Region: "region",
			Address: fmt.Sprintf("10.%d.%d.%d:7620", i>>16, i>>8&255, i&255), Service: "service-" + strconv.Itoa(i/12),
			TargetId: "i-" + strconv.Itoa(i), Slots: 100, Incarnation: 1 << 60, Revision: 1, TargetBornMillis: 1 << 40, TargetSequence: 1,
		}
		size += proto.Size(m)
		r.Merge(m)
	}
	return r, size
}

// BenchmarkChange measures the cost of one changed member at a node: the merge,
// the digest, and the list of members by service.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{75, 300, 1200, 9600} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			r, size := newFilledRoster(n)
			changed := r.Get("sidecar-zone-0")
			for i := range b.N {
				m := proto.CloneOf(changed)
				m.Revision = uint64(i + 2)
				r.Merge(m)
				r.Digest()
				r.ByService()
			}
			b.ReportMetric(float64(size)/float64(n), "B/member")
		})
	}
}
