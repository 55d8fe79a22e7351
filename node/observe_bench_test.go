package node_test

import (
	"context"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/primrosemount/primrosemount/internal/fleet"
	"github.com/primrosemount/primrosemount/telemetry"
	"github.com/primrosemount/primrosemount/wire"
)

// BenchmarkObservation compares calls over two nodes with and without
// observation: metrics, journal, burn counters and log lines. Both fleets run
// in one process and only one of them receives calls at a time.
func BenchmarkObservation(b *testing.B) {
	logger, err := telemetry.NewLogger("info", telemetry.WithOutput(zapcore.AddSync(io.Discard)))
	require.NoError(b, err)
	on := startObserved(b, logger, false)
	off := startObserved(b, zap.NewNop(), true)
	b.Run("on", func(b *testing.B) { measureLatency(b, listURL(on), nil) })
	b.Run("off", func(b *testing.B) { measureLatency(b, listURL(off), nil) })
}

func startObserved(b *testing.B, logger *zap.Logger, unobserved bool) *fleet.Fleet {
	ctx, cancel := context.WithTimeout(context.Background(), testTime)
	defer cancel()
	config := fleet.Config{Services: twoTiers(0), Seed: 1, Logger: logger, Unobserved: unobserved}
	running, err := fleet.Start(ctx, config)
	require.NoError(b, err)
	b.Cleanup(running.Close)
	return running
}

func listURL(running *fleet.Fleet) string {
	return "http://" + running.InstancesOf("ledger")[0].Node.CallersAddress() + wire.ServicesPath + "orders/list"
}
