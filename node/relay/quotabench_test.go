package relay

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/account"
	"github.com/primrosemount/primrosemount/core/memory"
	"github.com/primrosemount/primrosemount/core/quota"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/transport"
)

// BenchmarkExchangeQuota measures exchanges of four demands over loopback without TLS, and
// the processor time of both sides together.
func BenchmarkExchangeQuota(b *testing.B) {
	const demands, loopbackBodyBytes = 4, 1 << 20
	owner := newQuotaTask(Options{VM: "vm-0", Logger: zap.NewNop()}, 1, time.Now().Add(-time.Minute), nil, newConfiguration(nil, time.Now(), nil).table.Load)
	limited := limitedAccount(723)
	part := quota.NewOwner("vm-0", 1, time.Now().Add(-time.Minute), true)
	part.SetView(time.Now(), quota.NewView("vm-0", []string{"vm-0"}, []*account.Account{&limited}, owner.rules))
	owner.owner.Store(part)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	budget := memory.NewBudget(64 << 20)
	server := transport.NewServer(transport.ServerConfig{Relay: &receiver{quotas: owner}, MaxBodyBytes: loopbackBodyBytes, MaxConnections: 8, Memory: budget})
	go func() { _ = server.Serve(listener) }()
	pool := transport.NewPool(transport.ClientConfig{MaxBodyBytes: loopbackBodyBytes, IdleTimeout: time.Minute, Memory: budget})
	b.Cleanup(func() {
		pool.Close()
		require.NoError(b, listener.Close())
		server.Close()
	})
	request := &pb.QuotaRequest{}
	for range demands {
		request.Demands = append(request.Demands, &pb.QuotaDemand{Account: limited.Name, Arrived: 1, Wanted: 1})
	}
	before := processorTime(b)
	b.ResetTimer()
	for range b.N {
		_, err := pool.ExchangeQuota(b.Context(), listener.Addr().String(), request)
		require.NoError(b, err)
	}
	b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "cpu-µs/op")
}

// processorTime returns the processor time that the process has used.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
