package catalogue

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// sizes are the numbers of services from today to two years on.
var sizes = []int{24, 192, 770}

// typicalEntry has eight operations and six callers.
func typicalEntry(service string) *pb.Entry {
	e := &pb.Entry{
		Service: service, Owner: "team-" + service, Class: pb.Class_CLASS_NORMAL,
		Limits:   &pb.Limits{SlotsPerTarget: 200, ConnectionsPerTarget: 1300, RequestBytes: 1 << 20, AnswerBytes: 1 << 22},
		Deadline: durationpb.New(3 * time.Second), Retry: &pb.RetryPolicy{Allowance: 3, EdgeRatio: 0.1},
		Objective: &pb.Objective{Goodput: 0.999, Latency: durationpb.New(time.Second)},
	}
	for i := range 8 {
		e.Operations = append(e.Operations, &pb.Operation{Name: fmt.Sprintf("operation-%d", i), Idempotent: i%2 == 0, Deadline: durationpb.New(time.Second)})
	}
	for i := range 6 {
		e.AllowedCallers = append(e.AllowedCallers, fmt.Sprintf("service-%03d", i))
	}
	return e
}

// filled returns a state with n services, MaxRecent results and a quarter as
// many tombstones as services.
func filled(b *testing.B, n int) *State {
	s := NewState()
	id := uint64(0)
	edit := func(service string, entry *pb.Entry) {
		id++
		apply(b, s, &pb.Change{Id: testID(id), Operator: "team-" + service, Service: service, BaseRevision: s.Snapshot().Revision(service), Entry: entry})
	}
	for i := range n / 4 {
		service := fmt.Sprintf("old-%03d", i)
		edit(service, typicalEntry(service))
		edit(service, nil)
	}
	for i := 0; s.Next() < MaxRecentResults+uint64(n); i++ {
		service := fmt.Sprintf("service-%03d", i%n)
		edit(service, typicalEntry(service))
	}
	return s
}

// forSizes runs a benchmark for each number of services.
func forSizes(b *testing.B, run func(b *testing.B, s *State)) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("services=%d", n), func(b *testing.B) {
			s := filled(b, n)
			b.ReportAllocs()
			b.ResetTimer()
			run(b, s)
		})
	}
}

// BenchmarkChange measures one change: fold and new snapshot.
func BenchmarkChange(b *testing.B) {
	forSizes(b, func(b *testing.B, s *State) {
		service := "service-000"
		for i := range b.N {
			c := &pb.Change{Id: testID(1e9 + uint64(i)), Operator: "team-" + service, Service: service, BaseRevision: s.Snapshot().Revision(service), Entry: typicalEntry(service)}
			if effect, err := s.Apply(s.Next(), ChangeRecord(c)); err != nil || !effect.Result.GetAccepted() {
				b.Fatal(effect, err)
			}
			s.Snapshot()
		}
	})
}

// BenchmarkEncode measures a whole state; its size is reported as state-bytes.
func BenchmarkEncode(b *testing.B) {
	forSizes(b, func(b *testing.B, s *State) {
		for range b.N {
			b.ReportMetric(float64(len(s.Encode())), "state-bytes")
		}
	})
}

// BenchmarkRestore measures a start from a whole state, with its snapshot.
func BenchmarkRestore(b *testing.B) {
	forSizes(b, func(b *testing.B, s *State) {
		data := s.Encode()
		b.ResetTimer()
		for range b.N {
			restored, err := Restore(data)
			if err != nil {
				b.Fatal(err)
			}
			restored.Snapshot()
		}
	})
}

// BenchmarkLookUp measures what a call needs: service, operation and caller.
func BenchmarkLookUp(b *testing.B) {
	forSizes(b, func(b *testing.B, s *State) {
		view := s.Snapshot()
		b.ResetTimer()
		for range b.N {
			service, _ := view.Service("service-001")
			_, _ = service.Operation("operation-3")
			_ = view.Allowed(service, "service-005")
		}
	})
}
