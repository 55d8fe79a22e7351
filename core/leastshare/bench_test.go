package leastshare_test

import (
	"testing"
	"time"

	"github.com/primrosemount/primrosemount/core/leastshare"
)

// BenchmarkArrivalAndResult measures the cost that the accounts add to a root request.
func BenchmarkArrivalAndResult(b *testing.B) {
	tracker := leastshare.New()
	now := time.Unix(1000, 0)
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(time.Millisecond)
		operation := orders
		if i%2 == 0 {
			operation = checks
		}
		assured := tracker.RecordArrival(now, operation, leastshare.Default)
		tracker.RecordResult(now, operation, assured, leastshare.Served)
	}
}
