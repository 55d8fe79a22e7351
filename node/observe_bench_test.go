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

// BenchmarkObservation compares a call over two nodes with metrics, journal,
// burn counters and log lines, and without. Both fleets run in one process, so
// only one of them has work at a time.
func BenchmarkObservation(b *testing.B) {
	logger, err := telemetry.NewLogger("info", telemetry.WithOutput(zapcore.AddSync(io.Discard)))
	require.NoError(b, err)
	on := startObserved(b, logger, false)
	off := startObserved(b, zap.NewNop(), true)
	b.Run("on", func(b *testing.B) { measure(b, listURL(on), nil) })
	b.Run("off", func(b *testing.B) { measure(b, listURL(off), nil) })
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
