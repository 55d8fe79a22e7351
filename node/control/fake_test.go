package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/primrosemount/primrosemount/core/era"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/streamlog"
)

// fakeLog is an in-memory log that can show the faults of the platform's log:
// delays, outages, appends with an unknown result, dropped old records and a limit
// of the append rate.
type fakeLog struct {
	mu      sync.Mutex
	rng     *rand.Rand
	streams map[string]*fakeStream
	// delay is the maximum time that a request waits before it takes effect, and
	// that an append waits again before it returns.
	delay time.Duration
	// down makes every request fail.
	down bool
	// lossRate is the share of appends whose result is unknown to the caller.
	// Half of these take effect.
	lossRate float64
	// maxRetained is the maximum number of retained records per stream; 0 means no
	// limit.
	maxRetained int
	// maxAppendRate is the maximum number of appends per second; 0 means no limit.
	// appends counts the appends that took effect, peakAppends is the maximum
	// number of appends in one second.
	maxAppendRate   int
	currentSecond   int64
	appendsInSecond int
	appends         int
	peakAppends     int
	// lastAppend is when the last append took effect.
	lastAppend time.Time
	// era is the era of the log; 0 means that it does not tell it.
	era era.Era
	// markedEnds holds the end of each stream at the call of mark, and
	// bytesReadBeforeMark the bytes of the records below these ends that each
	// address has read since.
	markedEnds          map[string]uint64
	bytesReadBeforeMark map[string]int
}

type fakeStream struct {
	earliest uint64
	records  [][]byte
	// history holds all records, including those that are no longer retained.
	history [][]byte
}

func newFakeLog(seed uint64) *fakeLog {
	return &fakeLog{rng: rand.New(rand.NewPCG(seed, 1)), streams: map[string]*fakeStream{}}
}

func (l *fakeLog) stream(name string) *fakeStream {
	if l.streams[name] == nil {
		l.streams[name] = &fakeStream{}
	}
	return l.streams[name]
}

func (s *fakeStream) next() uint64 { return s.earliest + uint64(len(s.records)) }

// update changes settings of the log while it is in use.
func (l *fakeLog) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

// simulateDelay waits for a random time below delay, or until ctx is done.
func (l *fakeLog) simulateDelay(ctx context.Context) error {
	l.mu.Lock()
	delay := l.delay
	if delay > 0 {
		delay = time.Duration(l.rng.Int64N(int64(delay)))
	}
	l.mu.Unlock()
	if delay <= 0 {
		return ctx.Err()
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *fakeLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	if l.simulateDelay(ctx) != nil {
		return 0, streamlog.ErrAppendUnknown
	}
	offset, err := l.append(stream, data)
	if err != nil {
		return 0, err
	}
	if l.simulateDelay(ctx) != nil {
		return 0, streamlog.ErrAppendUnknown
	}
	return offset, nil
}

func (l *fakeLog) append(stream string, data []byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, errors.Wrap(streamlog.ErrRefused, "the log is down")
	}
	if now := time.Now().Unix(); now != l.currentSecond {
		l.currentSecond, l.appendsInSecond = now, 0
	}
	l.appendsInSecond++
	if l.maxAppendRate > 0 && l.appendsInSecond > l.maxAppendRate {
		return 0, errors.Wrap(streamlog.ErrRefused, "too many appends")
	}
	lost := l.rng.Float64() < l.lossRate
	if lost && l.rng.IntN(2) == 0 {
		return 0, streamlog.ErrAppendUnknown
	}
	l.appends++
	l.peakAppends = max(l.peakAppends, l.appendsInSecond)
	s := l.stream(stream)
	s.records = append(s.records, data)
	s.history = append(s.history, data)
	l.lastAppend = time.Now()
	if l.maxRetained > 0 && len(s.records) > l.maxRetained {
		s.records = s.records[1:]
		s.earliest++
	}
	if lost {
		return 0, streamlog.ErrAppendUnknown
	}
	return s.next() - 1, nil
}

func (l *fakeLog) AppendAt(ctx context.Context, stream string, records [][]byte, end uint64) error {
	if l.simulateDelay(ctx) != nil {
		return streamlog.ErrAppendUnknown
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	switch {
	case l.down:
		return streamlog.ErrRefused
	case s.next() != end:
		return streamlog.ErrConflict
	}
	s.records = append(s.records, records...)
	return nil
}

// returnFromCopy starts the next era without the latest records of a stream.
func (l *fakeLog) returnFromCopy(stream string, lost int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	s.records = slices.Clone(s.records[:len(s.records)-lost])
	l.era++
}

func (l *fakeLog) Read(ctx context.Context, stream string, from uint64, limit int) (streamlog.Batch, error) {
	if err := l.simulateDelay(ctx); err != nil {
		return streamlog.Batch{}, errors.Wrapf(streamlog.ErrUnavailable, "%v", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return streamlog.Batch{}, streamlog.ErrUnavailable
	}
	s := l.stream(stream)
	batch := streamlog.Batch{Earliest: s.earliest, Next: s.next(), Era: l.era}
	for at := max(from, s.earliest); at < s.next() && len(batch.Records) < limit; at++ {
		batch.Records = append(batch.Records, streamlog.Record{Offset: at, Data: s.records[at-s.earliest]})
	}
	return batch, nil
}

// nodeLog is the log as used by one node. While the node is paused, its requests
// time out. An append made during the pause takes effect after it.
type nodeLog struct {
	*fakeLog
	net     *fakeNet
	address string
}

func (l nodeLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	if !l.net.isPaused(l.address) {
		return l.fakeLog.Append(ctx, stream, data)
	}
	go func() {
		for l.net.isPaused(l.address) {
			time.Sleep(50 * time.Millisecond)
		}
		_, _ = l.fakeLog.append(stream, data)
	}()
	<-ctx.Done()
	return 0, streamlog.ErrAppendUnknown
}

func (l nodeLog) Read(ctx context.Context, stream string, from uint64, limit int) (streamlog.Batch, error) {
	if l.net.isPaused(l.address) {
		<-ctx.Done()
		return streamlog.Batch{}, streamlog.ErrUnavailable
	}
	batch, err := l.fakeLog.Read(ctx, stream, from, limit)
	l.update(func() { l.countReadBeforeMark(l.address, stream, batch) })
	return batch, err
}

// mark starts counting the bytes that are read of the records present now, and
// returns the total size of the retained ones.
func (l *fakeLog) mark() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.markedEnds = map[string]uint64{}
	l.bytesReadBeforeMark = map[string]int{}
	total := 0
	for name, s := range l.streams {
		l.markedEnds[name] = s.next()
		for _, record := range s.records {
			total += len(record)
		}
	}
	return total
}

// readsBeforeMark returns the number of addresses that have read records from
// before the mark, and the total number of bytes read of these records.
func (l *fakeLog) readsBeforeMark() (readers, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range l.bytesReadBeforeMark {
		bytes += n
	}
	return len(l.bytesReadBeforeMark), bytes
}

func (l *fakeLog) countReadBeforeMark(address, stream string, batch streamlog.Batch) {
	for _, r := range batch.Records {
		if r.Offset < l.markedEnds[stream] {
			l.bytesReadBeforeMark[address] += len(r.Data)
		}
	}
}

// fakeNet is the network between the control tasks of one test.
type fakeNet struct {
	mu    sync.Mutex
	nodes map[string]*fakeNode
	// isCut reports whether messages from one address to another are lost; nil
	// means that none are.
	isCut func(from, to string) bool
}

type fakeNode struct {
	control     *Control
	incarnation uint64
	stop        context.CancelFunc
	paused      bool
}

func newFakeNet() *fakeNet { return &fakeNet{nodes: map[string]*fakeNode{}} }

func (n *fakeNet) isPaused(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	node := n.nodes[address]
	return node != nil && node.paused
}

func (n *fakeNet) setPaused(address string, paused bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if node := n.nodes[address]; node != nil {
		node.paused = paused
	}
}

// route returns the node at the address to. If the network is cut or one of the
// nodes is paused, it blocks until ctx is done and returns its error.
func (n *fakeNet) route(ctx context.Context, from, to string) (*fakeNode, error) {
	n.mu.Lock()
	node := n.nodes[to]
	isCut := n.isCut != nil && n.isCut(from, to)
	sender := n.nodes[from]
	paused := node != nil && node.paused || sender != nil && sender.paused
	n.mu.Unlock()
	if node == nil {
		return nil, errors.New("connection refused")
	}
	if isCut || paused {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return node, nil
}

// fakePeers implements Peers for the node at one address.
type fakePeers struct {
	net  *fakeNet
	from string
}

func (p fakePeers) Exchange(ctx context.Context, address string, request *pb.ExchangeRequest) (*pb.ExchangeResponse, error) {
	node, err := p.net.route(ctx, p.from, address)
	if err != nil {
		return nil, err
	}
	return node.control.HandleExchange(ctx, request)
}

func (p fakePeers) Probe(ctx context.Context, address string, _ *pb.ProbeRequest) (*pb.ProbeResponse, error) {
	node, err := p.net.route(ctx, p.from, address)
	if err != nil {
		return nil, err
	}
	return &pb.ProbeResponse{Gate: &pb.GateReport{Incarnation: node.incarnation}}, nil
}

// fakeMember returns member i of a fleet, with its zone and address.
func fakeMember(i, zones int, incarnation uint64) *pb.Member {
	return &pb.Member{
		Incarnation:      incarnation,
		Vm:               fmt.Sprintf("vm-%04d", i),
		Service:          fmt.Sprintf("service-%d", i%7),
		AvailabilityZone: fmt.Sprintf("zone-%d", i%zones),
		Region:           "region-1",
		NodeAddress:      fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1),
		Slots:            100,
		JoinedUnixNanos:  1,
	}
}

// decodeBatches returns the registrations in records of the members stream.
func decodeBatches(t require.TestingT, records [][]byte) []*pb.MembersRecord {
	var all []*pb.MembersRecord
	for _, data := range records {
		batch := &pb.MembersBatch{}
		require.NoError(t, proto.Unmarshal(data, batch))
		all = append(all, batch.GetRecords()...)
	}
	return all
}
