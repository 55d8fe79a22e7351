package relay

import (
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/account"
	"github.com/primrosemount/primrosemount/core/ingress"
	"github.com/primrosemount/primrosemount/core/roster"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/telemetry"
)

// freeAddress returns an address of the loopback interface that is not in use.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	return listener.Addr().String()
}

// Guards against nodes that do not exchange quotas over their sockets after a restart,
// because the members, the configuration or the handler are not passed on: three nodes that
// the store knows admit requests within the quota soon, and count their exchanges.
func TestRestartedNodesExchangeQuotas(t *testing.T) {
	const nodes = 3
	limited := limitedAccount(100)
	directory, err := account.NewDirectory([]account.Account{limited})
	require.NoError(t, err)
	store := &simStore{era: 1, changed: make(chan struct{}), acked: make(map[uint64]time.Time)}
	store.config.records = []Record{{Key: "config", Value: []byte("1")}}
	store.config.written = []time.Time{time.Now()}
	var addresses []string
	for i := range nodes {
		addresses = append(addresses, freeAddress(t))
		record, err := roster.Encode(&pb.RelayMember{Vm: "vm-" + strconv.Itoa(i), Address: addresses[i], Incarnation: 1})
		require.NoError(t, err)
		store.members.records = append(store.members.records, Record{Key: "vm-" + strconv.Itoa(i), Value: record, Offset: uint64(i)})
		store.members.written = append(store.members.written, time.Now())
	}
	var relays []*Relay
	for i := range nodes {
		metrics, err := telemetry.NewMetrics()
		require.NoError(t, err)
		n := &simNode{vm: "vm-" + strconv.Itoa(i)}
		r, err := Start(Options{
			VM: n.vm, EntryAddress: freeAddress(t), PeerAddress: addresses[i], TargetAddress: "127.0.0.1:1", MemoryBytes: 64 << 20,
			Config: &simClient{store: store, node: n, topic: &store.config}, Members: &simClient{store: store, node: n, topic: &store.members},
			Decode: func([]byte) (*ingress.Table, error) { return &ingress.Table{Version: 1, Accounts: directory}, nil },
			Redact: func(document []byte) ([]byte, error) { return document, nil },
			Logger: zap.NewNop(), Metrics: metrics,
		})
		require.NoError(t, err)
		t.Cleanup(r.Abort)
		relays = append(relays, r)
	}
	for _, r := range relays {
		require.Eventually(t, func() bool { return r.quotas.take(time.Now(), &limited) == nil }, 10*time.Second, 20*time.Millisecond)
		require.Eventually(t, func() bool { return r.quotas.counts.exchanged.Load() > 10 }, 10*time.Second, 20*time.Millisecond)
	}
}
