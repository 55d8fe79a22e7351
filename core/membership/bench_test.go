package membership

import (
	"fmt"
	"testing"
	"time"
)

// sizes are the fleet sizes measured, from today's to the one planned in two
// years.
var sizes = []int{300, 1200, 4800, 9600}

// scatter maps a small integer to an incarnation that is spread over the 64-bit
// range like a random one.
func scatter(i int) uint64 { return uint64(i+1) * 0x9e3779b97f4a7c15 }

func newFilledState(b *testing.B, n int) *State {
	s := NewState()
	for i := range n {
		apply(b, s, join(testMember(i, 6, scatter(i))))
	}
	s.Snapshot()
	return s
}

func forSizes(b *testing.B, run func(b *testing.B, s *State, n int)) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			s := newFilledState(b, n)
			b.ReportAllocs()
			b.ResetTimer()
			run(b, s, n)
		})
	}
}

// BenchmarkRestart measures applying the leave and the join of one node
// restart, with a new snapshot after each of them.
func BenchmarkRestart(b *testing.B) {
	forSizes(b, func(b *testing.B, s *State, n int) {
		for i := range b.N {
			apply(b, s, leave(scatter(i), 0))
			s.Snapshot()
			apply(b, s, join(testMember(i%n, 6, scatter(i+n))))
			s.Snapshot()
		}
	})
}

// BenchmarkReturnOfZone measures applying a batch of 256 joins, as after a zone
// outage, with one snapshot.
func BenchmarkReturnOfZone(b *testing.B) {
	forSizes(b, func(b *testing.B, s *State, n int) {
		for i := range b.N {
			batch := NewBatcher()
			for j := range 256 {
				batch.Add(join(testMember(j, 6, scatter(n+256*i+j))))
			}
			apply(b, s, batch.TakeBatch(time.Unix(1000, 0))...)
			s.Snapshot()
		}
	})
}

// BenchmarkEncode measures encoding the full state and reports its size as
// state-bytes.
func BenchmarkEncode(b *testing.B) {
	forSizes(b, func(b *testing.B, s *State, _ int) {
		for range b.N {
			b.ReportMetric(float64(len(s.Encode())), "state-bytes")
		}
	})
}

// BenchmarkRestore measures decoding a full state and building its snapshot.
func BenchmarkRestore(b *testing.B) {
	forSizes(b, func(b *testing.B, s *State, _ int) {
		data := s.Encode()
		b.ResetTimer()
		for range b.N {
			restored, err := Restore(data)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(restored.Snapshot().Bytes()), "counted-bytes")
		}
	})
}

// BenchmarkEvictorStep measures one step with as many suspects as one zone may
// have before its evictions are blocked.
func BenchmarkEvictorStep(b *testing.B) {
	forSizes(b, func(b *testing.B, s *State, n int) {
		view := s.Snapshot()
		e := NewEvictor(scatter(0), "zone-0")
		now := time.Unix(1000, 0)
		for _, m := range view.Zone("zone-1")[:MaxZoneSuspects(n/6)] {
			e.ReportSuspect(now, m, nil)
		}
		b.ResetTimer()
		for range b.N {
			e.Step(now, view, true)
		}
	})
}
