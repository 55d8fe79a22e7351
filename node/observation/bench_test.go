package observation

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/journal"
	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/telemetry"
)

// BenchmarkCall is what a call over two nodes costs in observation: one
// request in the metrics, one in the burn counters, and three journal entries.
func BenchmarkCall(b *testing.B) {
	metrics, err := telemetry.NewMetrics()
	require.NoError(b, err)
	defer func() { require.NoError(b, metrics.Close()) }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	observer := New(Config{Node: "bench", Entries: 4096, Objective: func(string) float64 { return 0 }})
	go observer.Run(ctx)
	entry := journal.Entry{Part: "entry", Root: journal.RootID{1}, Service: "orders", Outcome: outcome.Completed, Class: outcome.Normal}
	b.ReportAllocs()
	for b.Loop() {
		metrics.Request("orders", outcome.Normal, outcome.Completed, 0, time.Millisecond)
		observer.CountRequest("orders", outcome.Normal, true)
		for range 3 {
			observer.Record(entry)
		}
	}
}
