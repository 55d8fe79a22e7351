package node_test

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/transport"
)

// probeRecorder is a peer that records the probes it receives and serves
// nothing else.
type probeRecorder struct {
	transport.Handler
	probes chan *pb.ProbeRequest
}

func (r *probeRecorder) Probe(request *pb.ProbeRequest, _ *pb.ProbeResponse) {
	r.probes <- request
}

// Guards against a peer that connects after the drain has started, is therefore
// not among the peers notified at its start, and sends its first call to a node
// that has stopped.
func TestPeerConnectingDuringDrainIsNotified(t *testing.T) {
	running := startFleet(t, twoTiers(time.Millisecond))
	draining := running.InstancesOf("orders")[0]
	go func() { _ = running.Retire(testContext(t), draining) }()
	require.Eventually(t, func() bool { return draining.Node.Status().Draining }, testTime, time.Millisecond)

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	recorder := &probeRecorder{probes: make(chan *pb.ProbeRequest, 16)}
	server := transport.NewServer(transport.ServerConfig{Handler: recorder, MaxBodyBytes: 1 << 20, MaxConnections: 4})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		server.Close()
	})
	pool := transport.NewPool(transport.ClientConfig{MaxBodyBytes: 1 << 20, IdleTimeout: time.Minute})
	t.Cleanup(pool.Close)
	_, err = pool.Exchange(testContext(t), draining.Node.NodesAddress(), &pb.ExchangeRequest{
		Sender:        12345,
		SenderAddress: listener.Addr().String(),
	})
	require.NoError(t, err)
	select {
	case probe := <-recorder.probes:
		require.True(t, probe.GetSenderGate().GetDraining())
		require.Equal(t, draining.Node.Status().Incarnation, probe.GetSender())
	case <-time.After(2 * time.Second):
		t.Fatal("the peer was not notified of the drain")
	}
}
