package membership

import (
	"fmt"
	"testing"
	"time"
)

// sizes are the numbers of members up to two years on.
var sizes = []int{300, 1200, 4800, 9600}

// spreadOut turns a small number into an incarnation that looks random.
func spreadOut(i int) uint64 { return uint64(i+1) * 0x9e3779b97f4a7c15 }

func filled(b *testing.B, n int) *State {
	s := NewState()
	for i := range n {
		apply(b, s, join(testMember(i, 6, spreadOut(i))))
	}
	s.Snapshot()
	return s
}

func forSizes(b *testing.B, run func(b *testing.B, s *State, n int)) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			s := filled(b, n)
			b.ReportAllocs()
			b.ResetTimer()
			run(b, s, n)
		})
	}
}

// BenchmarkRestart measures the records of one restart, a leave and a join,
// each with a new snapshot.
func BenchmarkRestart(b *testing.B) {
	forSizes(b, func(b *testing.B, s *State, n int) {
		for i := range b.N {
			apply(b, s, leave(spreadOut(i), 0))
			s.Snapshot()
			apply(b, s, join(testMember(i%n, 6, spreadOut(i+n))))
			s.Snapshot()
		}
	})
}

// BenchmarkReturnOfZone measures a batch of 256 joins with one snapshot.
func BenchmarkReturnOfZone(b *testing.B) {
	forSizes(b, func(b *testing.B, s *State, n int) {
		for i := range b.N {
			batch := NewBatcher()
			for j := range 256 {
				batch.Add(join(testMember(j, 6, spreadOut(n+256*i+j))))
			}
			apply(b, s, batch.TakeBatch(time.Unix(1000, 0))...)
			s.Snapshot()
		}
	})
}

// BenchmarkEncode measures a whole state; its size is reported as state-bytes.
func BenchmarkEncode(b *testing.B) {
	forSizes(b, func(b *testing.B, s *State, _ int) {
		for range b.N {
			b.ReportMetric(float64(len(s.Encode())), "state-bytes")
		}
	})
}

// BenchmarkRestore measures a start from a whole state, with its snapshot.
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

// BenchmarkEvictorStep measures one step with as many suspects as the bound of
// one zone allows.
func BenchmarkEvictorStep(b *testing.B) {
	forSizes(b, func(b *testing.B, s *State, n int) {
		view := s.Snapshot()
		e := NewEvictor(spreadOut(0), "zone-0")
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
