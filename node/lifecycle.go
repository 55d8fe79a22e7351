package node

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/membership"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/node/executor"
	"github.com/primrosemount/primrosemount/telemetry"
)

const (
	// drainGrace is how long a leaving target still takes work after its peers
	// were told, so that calls on their way are not refused. With the push to the
	// peers it stays below the goal of 2 s without new work.
	drainGrace = 750 * time.Millisecond
	// pushTimeout bounds one message to a peer about the drain.
	pushTimeout = 300 * time.Millisecond
	// handoverTimeout bounds one chunk of a handover.
	handoverTimeout = 2 * time.Second
	// leaveTimeout bounds the wait for the leave record; eviction removes the
	// member otherwise.
	leaveTimeout = 2 * time.Second
	// idleCheckInterval is the time between two looks for the end of the last
	// call in progress.
	idleCheckInterval = 10 * time.Millisecond
	// maxPushes bounds the peers that are told of a drain at one time.
	maxPushes = 32
	// maxReportedCuts bounds the aborted requests that are named in the log.
	maxReportedCuts = 64
	// maxEarlierExecutors bounds the earlier incarnations that a node keeps.
	maxEarlierExecutors = 3
)

// ErrDrainIncomplete reports that a drain reached its time limit while calls were
// still in progress.
var ErrDrainIncomplete = errors.New("node: the drain reached its longest duration; raise limits.drain in the catalogue if calls may take longer")

// announce takes news of the target beside the node.
func (n *Node) announce(ctx context.Context, message *pb.Announcement) *pb.AnnouncementAnswer {
	previous := n.target.Swap(message)
	if n.drained.Load() && message.GetState() == pb.TargetState_TARGET_STATE_READY && !n.leavesByCatalogue() {
		n.renew("a new target announced itself")
	}
	slots, queue := n.capacity(message)
	inProgress := n.current().Announce(message, slots, queue)
	switch message.GetState() {
	case pb.TargetState_TARGET_STATE_READY:
		n.join(ctx, previous, message)
	case pb.TargetState_TARGET_STATE_DRAINING:
		n.beginDrain()
	}
	return &pb.AnnouncementAnswer{Drained: n.drained.Load(), InProgress: uint32(inProgress)}
}

// capacity caps what the target announced by the catalogue.
func (n *Node) capacity(message *pb.Announcement) (slots, queue int) {
	slots = int(message.GetSlots())
	service, err := n.ownService()
	if err != nil {
		return slots, 0
	}
	if limit := service.Limits.SlotsPerTarget; limit > 0 && limit < slots {
		slots = limit
	}
	return slots, service.Limits.QueuePerTarget
}

// join registers the node when its target is ready for the first time, or with
// other slots.
func (n *Node) join(ctx context.Context, previous, message *pb.Announcement) {
	same := previous.GetSlots() == message.GetSlots() && previous.GetConnections() == message.GetConnections()
	if n.draining.Load() || n.joined.Load() && same {
		return
	}
	if err := n.control.Register(ctx, n.member(n.current().Incarnation())); err != nil {
		n.logger.Warn("node: the registration was not taken over; it is repeated with the next announcement", telemetry.ErrorField(err))
		return
	}
	n.joined.Store(true)
}

// beginDrain starts the drain in the background, once.
func (n *Node) beginDrain() {
	if n.draining.Swap(true) {
		return
	}
	n.spawn(func() {
		if err := n.drain(n.ctx); err != nil {
			n.logger.Warn("node: the drain was cut", telemetry.ErrorField(err))
		}
	})
}

// drain tells the peers, ends the acceptance of new calls, waits for the calls
// in progress, hands the at-most-once table over and leaves.
func (n *Node) drain(ctx context.Context) error {
	n.logger.Info("node: drain started")
	n.observeOwn("drain started", "")
	ctx, cancel := context.WithTimeout(ctx, n.drainLimit())
	defer cancel()
	leaving := n.current()
	n.pushReport(ctx)
	sleep(ctx, drainGrace)
	leaving.Close()
	idle := poll(ctx, func() bool { return leaving.State().InProgress == 0 })
	if !idle {
		n.reportCut(leaving)
	}
	n.handOver(leaving)
	// The peers learn the successor before this node stops to answer for its
	// keys, also while the log is down.
	n.pushReport(context.WithoutCancel(ctx))
	n.leave()
	n.drained.Store(true)
	n.logger.Info("node: drain ended", zap.Bool("cut", !idle))
	n.observeOwn("drain ended", "")
	if !idle {
		return ErrDrainIncomplete
	}
	return nil
}

// reportCut names the requests that the end of the drain aborts.
func (n *Node) reportCut(leaving *executor.Executor) {
	for _, id := range leaving.InProgress(maxReportedCuts) {
		n.logger.Warn("node: the drain aborts a request", zap.String("request_id", id))
	}
	n.observeOwn("drain aborted requests", strconv.Itoa(leaving.State().InProgress)+" in progress")
}

func (n *Node) drainLimit() time.Duration {
	service, err := n.ownService()
	if err != nil {
		return defaultDrain
	}
	return service.Limits.Drain
}

// defaultDrain applies while the catalogue is not known.
const defaultDrain = 30 * time.Second

// pushReport tells the nodes that may send calls that this one leaves, and its
// successor once there is one. It does not depend on the log. Nodes that it
// misses learn it from the next answer.
func (n *Node) pushReport(ctx context.Context) {
	addresses := n.peerAddresses()
	slots := make(chan struct{}, maxPushes)
	var wait sync.WaitGroup
	for _, address := range addresses {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			n.pushTo(ctx, address)
		})
	}
	wait.Wait()
	n.logger.Info("node: state pushed to peers", zap.Int("peers", len(addresses)))
}

// pushTo tells one node the state of the gate. A node that cannot be reached
// learns it from an answer.
func (n *Node) pushTo(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	current := n.current()
	request := &pb.ProbeRequest{Sender: current.Incarnation(), SenderGate: n.gateReport(current, "")}
	_, _ = n.pool.Probe(ctx, address, request)
}

// peerAddresses lists the nodes that called this one lately.
func (n *Node) peerAddresses() []string {
	members := n.control.Snapshot().Members
	var addresses []string
	for _, incarnation := range n.senders.recent(time.Now()) {
		if member, ok := members.Member(incarnation); ok {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// poll waits until the condition holds; it returns false if the context ends
// first.
func poll(ctx context.Context, condition func() bool) bool {
	for !condition() {
		if ctx.Err() != nil {
			return false
		}
		sleep(ctx, idleCheckInterval)
	}
	return true
}

// handOver gives the closed table to a successor, which then answers for the
// keys of this incarnation. Without a successor these keys become unknown when
// the node ends.
func (n *Node) handOver(leaving *executor.Executor) {
	chunks := leaving.Export()
	for _, candidate := range n.handoverCandidates() {
		if n.sendTable(candidate.Address, chunks) {
			n.successor.Store(candidate.Incarnation)
			n.logger.Info("node: table handed over", zap.String("successor", candidate.VM), zap.Int("chunks", len(chunks)))
			return
		}
	}
	n.logger.Warn("node: no successor took the table; keys of this incarnation become unknown when the node ends")
}

// handoverCandidates lists the members of the own service, those of the own zone first.
func (n *Node) handoverCandidates() []*membership.Member {
	self := n.current().Incarnation()
	var near, far []*membership.Member
	for _, member := range n.control.Snapshot().Members.Service(n.settings.GetService()) {
		switch {
		case member.Incarnation == self:
		case member.Zone == n.settings.GetAvailabilityZone():
			near = append(near, member)
		default:
			far = append(far, member)
		}
	}
	return append(near, far...)
}

func (n *Node) sendTable(address string, chunks []*pb.HandoverRequest) bool {
	for _, chunk := range chunks {
		if !n.sendChunk(address, chunk) {
			return false
		}
	}
	return len(chunks) > 0
}

func (n *Node) sendChunk(address string, chunk *pb.HandoverRequest) bool {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	response, err := n.pool.Handover(ctx, address, chunk)
	return err == nil && response.GetAccepted()
}

// leave appends the leave record. While the log is down, eviction removes the
// member later.
func (n *Node) leave() {
	if !n.joined.Swap(false) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := n.control.Leave(ctx, n.successor.Load()); err != nil {
		n.logger.Warn("node: the leave record is not in the log yet", telemetry.ErrorField(err))
	}
}

// evicted is called when the member table shows that this incarnation was
// evicted while the node was paused or cut off.
func (n *Node) evicted(incarnation uint64) {
	if n.draining.Load() || n.current().Incarnation() != incarnation {
		return
	}
	n.renew("this incarnation was evicted")
	target := n.target.Load()
	if target == nil {
		return
	}
	n.announce(n.ctx, target)
}

// renew starts a new incarnation. The earlier executor accepts nothing new and
// still answers for its keys.
func (n *Node) renew(reason string) {
	n.current().Close()
	fresh := n.newExecutor(newIncarnation())
	n.executorsMutex.Lock()
	n.executors = append([]*executor.Executor{fresh}, n.executors...)
	var dropped []*executor.Executor
	if len(n.executors) > maxEarlierExecutors+1 {
		dropped = n.executors[maxEarlierExecutors+1:]
		n.executors = n.executors[:maxEarlierExecutors+1]
	}
	n.executorsMutex.Unlock()
	for _, e := range dropped {
		e.Stop()
	}
	n.joined.Store(false)
	n.draining.Store(false)
	n.drained.Store(false)
	n.successor.Store(0)
	n.observeOwn("new incarnation", reason)
	n.logger.Info("node: new incarnation", zap.String("reason", reason), zap.Uint64("incarnation", fresh.Incarnation()))
}

// Shutdown leaves gracefully: it drains, closes keep-alive connections of
// callers politely and stops. If the context ends first, what still runs is
// cut and the error matches ErrDrainIncomplete.
func (n *Node) Shutdown(ctx context.Context) error {
	var err error
	if !n.draining.Swap(true) {
		err = n.drain(ctx)
	} else if !poll(ctx, n.drained.Load) {
		err = ErrDrainIncomplete
	}
	n.shutdownHTTP(ctx)
	n.Close()
	return err
}

// Close ends the node at once, as a crash does; calls in progress are cut.
func (n *Node) Close() {
	n.stop()
	n.listeners.close()
	n.closeHTTP()
	n.server.Close()
	n.pool.Close()
	n.executorsMutex.Lock()
	executors := n.executors
	n.executorsMutex.Unlock()
	for _, e := range executors {
		e.Stop()
	}
	n.background.Wait()
	// The error only tells that the metrics were closed before.
	_ = n.metrics.Close()
	if closer, ok := n.log.(interface{ Close() }); ok {
		closer.Close()
	}
}
