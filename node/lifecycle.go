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
	// drainGrace is the time during which a draining target still accepts calls
	// after the peers were notified, so that calls in transit are not rejected.
	// Together with the time to notify the peers it stays below 2 s, the goal for
	// the time until a draining target receives no new work.
	drainGrace = 750 * time.Millisecond
	// pushTimeout limits one notification of a peer about the drain.
	pushTimeout = 300 * time.Millisecond
	// handoverTimeout limits the transfer of one chunk of a handover.
	handoverTimeout = 2 * time.Second
	// leaveTimeout limits the wait until the leave record is in the log. If it is
	// not written, the member is removed by eviction later.
	leaveTimeout = 2 * time.Second
	// conditionCheckInterval is the interval at which waitUntil checks its
	// condition, such as the end of the last call in progress.
	conditionCheckInterval = 10 * time.Millisecond
	// maxConcurrentPushes limits the peers that are notified of a drain at the
	// same time.
	maxConcurrentPushes = 32
	// maxReportedAborts limits the aborted requests that are named in the log.
	maxReportedAborts = 64
	// maxEarlierExecutors limits the executors of earlier incarnations that a
	// node keeps.
	maxEarlierExecutors = 3
)

// ErrDrainIncomplete reports that a drain reached its time limit while calls
// were still in progress.
var ErrDrainIncomplete = errors.New("node: the drain timed out with calls in progress; raise limits.drain in the catalogue if calls may take longer")

// handleAnnouncement processes an announcement of the target beside the node. It
// registers the node as a member if the target is ready, and starts the drain if
// the target is draining. If the target is ready again after a drain has ended,
// the node starts a new incarnation, unless the catalogue requires it to drain.
func (n *Node) handleAnnouncement(ctx context.Context, message *pb.Announcement) *pb.AnnouncementAnswer {
	previous := n.target.Swap(message)
	if n.drained.Load() && message.GetState() == pb.TargetState_TARGET_STATE_READY && !n.drainingByCatalogue() {
		n.startNewIncarnation("a new target announced itself")
	}
	slots, queue := n.capacity(message)
	inProgress := n.current().Announce(message, slots, queue)
	switch message.GetState() {
	case pb.TargetState_TARGET_STATE_READY:
		n.registerIfChanged(ctx, previous, message)
	case pb.TargetState_TARGET_STATE_DRAINING:
		n.beginDrain()
	}
	return &pb.AnnouncementAnswer{Drained: n.drained.Load(), InProgress: uint32(inProgress)}
}

// capacity returns the number of slots, which is the announced one or the limit
// in the catalogue if that is lower, and the queue size from the catalogue.
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

// registerIfChanged registers the node as a member when its target is ready for
// the first time, or when the number of slots or connections has changed. A
// draining node does not register.
func (n *Node) registerIfChanged(ctx context.Context, previous, message *pb.Announcement) {
	unchanged := previous.GetSlots() == message.GetSlots() && previous.GetConnections() == message.GetConnections()
	if n.draining.Load() || n.joined.Load() && unchanged {
		return
	}
	if err := n.control.Register(ctx, n.member(n.current().Incarnation())); err != nil {
		n.logger.Warn("node: the registration failed; it is retried with the next announcement", telemetry.ErrorField(err))
		return
	}
	n.joined.Store(true)
}

// beginDrain starts the drain in the background unless it has already begun.
func (n *Node) beginDrain() {
	if n.draining.Swap(true) {
		return
	}
	n.spawn(func() {
		if err := n.drain(n.ctx); err != nil {
			n.logger.Warn("node: the drain was incomplete", telemetry.ErrorField(err))
		}
	})
}

// drain notifies the peers, closes the executor to new calls, waits for the
// calls in progress, hands the deduplication table over to a successor and
// appends the leave record.
func (n *Node) drain(ctx context.Context) error {
	n.logger.Info("node: drain started")
	n.recordNodeEvent("drain started", "")
	ctx, cancel := context.WithTimeout(ctx, n.drainTimeout())
	defer cancel()
	draining := n.current()
	n.pushGateReport(ctx)
	sleep(ctx, drainGrace)
	draining.Close()
	idle := waitUntil(ctx, func() bool { return draining.State().InProgress == 0 })
	if !idle {
		n.reportAborted(draining)
	}
	n.handOver(draining)
	// The peers must be notified of the successor before this node stops serving
	// requests with its keys, even if the log is down and the leave record does
	// not reach them.
	n.pushGateReport(context.WithoutCancel(ctx))
	n.leave()
	n.drained.Store(true)
	n.logger.Info("node: drain ended", zap.Bool("cut", !idle))
	n.recordNodeEvent("drain ended", "")
	if !idle {
		return ErrDrainIncomplete
	}
	return nil
}

// reportAborted logs the requests that are aborted because the drain reached
// its time limit.
func (n *Node) reportAborted(draining *executor.Executor) {
	for _, id := range draining.InProgress(maxReportedAborts) {
		n.logger.Warn("node: the drain aborts a request", zap.String("request_id", id))
	}
	n.recordNodeEvent("drain aborted requests", strconv.Itoa(draining.State().InProgress)+" in progress")
}

func (n *Node) drainTimeout() time.Duration {
	service, err := n.ownService()
	if err != nil {
		return defaultDrainTimeout
	}
	return service.Limits.Drain
}

// defaultDrainTimeout applies while the catalogue is not known.
const defaultDrainTimeout = 30 * time.Second

// pushGateReport notifies the nodes that may send calls that this node is
// draining and, once it is known, which node is its successor. It does not
// depend on the log. A node that the notification does not reach receives the
// same report with the next response.
func (n *Node) pushGateReport(ctx context.Context) {
	addresses := n.recentSenderAddresses()
	slots := make(chan struct{}, maxConcurrentPushes)
	var wait sync.WaitGroup
	for _, address := range addresses {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			n.pushGateReportTo(ctx, address)
		})
	}
	wait.Wait()
	n.logger.Info("node: state pushed to peers", zap.Int("peers", len(addresses)))
}

// pushGateReportTo sends the state of the gate to one node. Errors are ignored,
// because the node receives the state with the next response too.
func (n *Node) pushGateReportTo(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	current := n.current()
	request := &pb.ProbeRequest{Sender: current.Incarnation(), SenderGate: n.gateReport(current, "")}
	_, _ = n.pool.Probe(ctx, address, request)
}

// recentSenderAddresses returns the addresses of the members that sent messages
// to this node recently.
func (n *Node) recentSenderAddresses() []string {
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

// waitUntil waits until the condition holds. It returns false if the context
// ends first.
func waitUntil(ctx context.Context, condition func() bool) bool {
	for !condition() {
		if ctx.Err() != nil {
			return false
		}
		sleep(ctx, conditionCheckInterval)
	}
	return true
}

// handOver sends the deduplication table of a closed executor to a successor,
// which then serves requests with the idempotency keys of this incarnation. If
// no member accepts the table, the outcomes of these keys become unknown when
// the node stops.
func (n *Node) handOver(draining *executor.Executor) {
	chunks := draining.Export()
	for _, candidate := range n.handoverCandidates() {
		if n.sendTable(candidate.Address, chunks) {
			n.successor.Store(candidate.Incarnation)
			n.logger.Info("node: table handed over", zap.String("successor", candidate.VM), zap.Int("chunks", len(chunks)))
			return
		}
	}
	n.logger.Warn("node: no successor took the table; keys of this incarnation become unknown when the node ends")
}

// handoverCandidates returns the other members of the node's service, those in
// the same availability zone first.
func (n *Node) handoverCandidates() []*membership.Member {
	self := n.current().Incarnation()
	var ownZone, otherZone []*membership.Member
	for _, member := range n.control.Snapshot().Members.Service(n.settings.GetService()) {
		switch {
		case member.Incarnation == self:
		case member.Zone == n.settings.GetAvailabilityZone():
			ownZone = append(ownZone, member)
		default:
			otherZone = append(otherZone, member)
		}
	}
	return append(ownZone, otherZone...)
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

// leave appends the leave record. If the log is down, the member is removed by
// eviction later.
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

// handleEviction is called when the member table shows that an incarnation of
// this node was evicted, for example because the node was paused or
// disconnected from its peers. It continues with a new incarnation.
func (n *Node) handleEviction(incarnation uint64) {
	if n.draining.Load() || n.current().Incarnation() != incarnation {
		return
	}
	n.startNewIncarnation("this incarnation was evicted")
	target := n.target.Load()
	if target == nil {
		return
	}
	n.handleAnnouncement(n.ctx, target)
}

// startNewIncarnation replaces the current executor by one with a new
// incarnation. The earlier executor accepts no new calls, but still serves
// requests with the idempotency keys it has issued.
func (n *Node) startNewIncarnation(reason string) {
	n.current().Close()
	replacement := n.newExecutor(newIncarnation())
	n.executorsMutex.Lock()
	n.executors = append([]*executor.Executor{replacement}, n.executors...)
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
	n.recordNodeEvent("new incarnation", reason)
	n.logger.Info("node: new incarnation", zap.String("reason", reason), zap.Uint64("incarnation", replacement.Incarnation()))
}

// Shutdown stops the node gracefully: it drains, closes the keep-alive
// connections of callers after their current response, and closes the node. If
// the context ends or the drain reaches its time limit first, the remaining
// calls are aborted and the error matches ErrDrainIncomplete.
func (n *Node) Shutdown(ctx context.Context) error {
	var err error
	if !n.draining.Swap(true) {
		err = n.drain(ctx)
	} else if !waitUntil(ctx, n.drained.Load) {
		err = ErrDrainIncomplete
	}
	n.shutdownHTTP(ctx)
	n.Close()
	return err
}

// Close stops the node immediately, as a crash would. Calls in progress are
// aborted.
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
	// Close fails only if the metrics were closed before.
	_ = n.metrics.Close()
	if closer, ok := n.log.(interface{ Close() }); ok {
		closer.Close()
	}
}
