package leastshare_test

import (
	"testing"
	"time"

	"github.com/primrosemount/primrosemount/core/leastshare"
)

// BenchmarkRequest measures what the accounts add to one root request.
func BenchmarkRequest(b *testing.B) {
	l := leastshare.New()
	now := time.Unix(1000, 0)
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(time.Millisecond)
		operation := orders
		if i%2 == 0 {
			operation = checks
		}
		assured := l.RecordArrival(now, operation, leastshare.Default)
		l.RecordResult(now, operation, assured, leastshare.Served)
	}
}
