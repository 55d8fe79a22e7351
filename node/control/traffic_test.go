package control

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

const (
	// maxTrafficPerNode is the design limit of the control traffic of a node.
	maxTrafficPerNode = 6000 // B/s
	// changeInterval corresponds to 27,000 catalogue changes per day.
	changeInterval = 3200 * time.Millisecond
	// announceInterval corresponds to 2,100 restarts per day, each of which is a
	// leave and a join.
	announceInterval = 20 * time.Second
)

// Guards against control traffic that grows with the fleet or exceeds the limit
// per node. It counts encoded messages without TLS, TCP and RPC headers.
func TestTrafficUnderTypicalLoad(t *testing.T) {
	t.Parallel()
	for _, size := range []int{60, 150, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { measureTypicalLoad(t, size) })
		})
	}
}

func measureTypicalLoad(t *testing.T, size int) {
	f := newFleet(t, 6)
	defer f.stopAll()
	for i := range size {
		f.start(i)
	}
	time.Sleep(20 * time.Second)
	before := f.usage()
	const seconds = 120
	f.applyTypicalLoad(seconds * time.Second)
	after := f.usage()
	for role, reader := range map[string]bool{"node": false, "reader": true} {
		bytes, messages, maxBytes := perSecond(before, after, reader, seconds)
		t.Logf("%d nodes, %s: %.0f B/s and %.1f messages/s on average, at most %.0f B/s", size, role, bytes, messages, maxBytes)
		require.Less(t, maxBytes, float64(maxTrafficPerNode))
	}
}

// applyTypicalLoad submits changes and announcements at the rates of a typical
// day for the duration d.
func (f *fleet) applyTypicalLoad(d time.Duration) {
	node := f.nodes()[0].control
	until := time.Now().Add(d)
	announce := time.Now()
	for i := 0; time.Now().Before(until); i++ {
		start := time.Now()
		entry := benchEntry(i % 20)
		revision := node.Snapshot().Catalogue.Revision(entry.GetService())
		c := &pb.Change{Id: changeID(uint64(i)), Operator: "ops", Service: entry.GetService(), BaseRevision: revision, Entry: entry}
		result, err := node.Submit(f.t.Context(), c)
		require.NoError(f.t, err)
		require.True(f.t, result.GetAccepted(), result.GetDetail())
		if !time.Now().Before(announce) {
			announce = announce.Add(announceInterval)
			f.announce(i)
		}
		time.Sleep(changeInterval - time.Since(start))
	}
}

// announce makes one node register again with a later time, which adds one record
// to the members stream.
func (f *fleet) announce(i int) {
	member := fakeMember(i%20+1, f.zones, 1)
	node := f.net.nodes[member.GetNodeAddress()]
	member.Incarnation = node.incarnation
	member.JoinedUnixNanos = int64(i + 2)
	require.NoError(f.t, node.control.Register(f.t.Context(), member))
}

// usage holds the traffic of each node since its start, by address.
type usage map[string]nodeUsage

type nodeUsage struct {
	reader          bool
	bytes, messages uint64
}

func (f *fleet) usage() usage {
	all := usage{}
	for address, node := range f.net.nodes {
		u := nodeUsage{reader: node.control.Snapshot().Reader}
		for _, kind := range Kinds() {
			count := node.control.Stats().Get(kind)
			u.bytes += count.BytesIn + count.BytesOut
			u.messages += count.Messages
		}
		all[address] = u
	}
	return all
}

// perSecond returns the average bytes and messages per second of the nodes that
// are readers, or of those that are not, and the maximum bytes per second.
func perSecond(before, after usage, reader bool, seconds float64) (bytes, messages, maxBytes float64) {
	nodes := 0.0
	for address, u := range after {
		if u.reader != reader {
			continue
		}
		nodes++
		b := float64(u.bytes-before[address].bytes) / seconds
		bytes += b
		messages += float64(u.messages-before[address].messages) / seconds
		maxBytes = max(maxBytes, b)
	}
	return bytes / nodes, messages / nodes, maxBytes
}

// Guards against kinds of messages that have no label value for metrics or share
// one.
func TestKindsHaveNames(t *testing.T) {
	seen := map[string]bool{}
	for _, kind := range Kinds() {
		require.NotEmpty(t, kind.String())
		seen[fmt.Sprint(kind)] = true
	}
	require.Len(t, seen, len(Kinds()))
}
