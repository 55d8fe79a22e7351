package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/era"
	"github.com/primrosemount/primrosemount/core/route"
	"github.com/primrosemount/primrosemount/core/targetstate"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// simNode is one VM: a node process, which can be killed and started again, and its
// target.
type simNode struct {
	fleet   *simFleet
	vm      string
	zone    string
	service string
	// mode is how the store and other nodes treat the node. The mutex of the store
	// guards it.
	mode storeMode
	// The mutex of the fleet guards the fields from task on.
	task   *membersTask
	cancel context.CancelFunc
	state  *targetstate.State
	// sequence is the number of the target's last announcement, and draining is set
	// once it drains. acked is set once that was acknowledged.
	sequence uint64
	draining bool
	acked    bool
	// incarnation counts the starts of the node. highest is the highest version that
	// the present one has had in force.
	incarnation uint64
	highest     uint64
	// disturbed is when the node was last disturbed.
	disturbed time.Time
	// era is the latest era of the store that the node has seen, since eraSince.
	era      era.Era
	eraSince time.Time
}

// simFleet is a fleet of simulated VMs.
type simFleet struct {
	ctx   context.Context
	rng   *rand.Rand
	store *simStore
	mu    sync.Mutex
	nodes []*simNode
	group sync.WaitGroup
	// killed is when a node was last killed. gone is the number of killed nodes that stay
	// away.
	killed time.Time
	gone   int
	// known is when each version was first seen at a node.
	known map[uint64]time.Time
	// violations holds what went wrong, without repetitions.
	violations map[string]bool
	logger     *zap.Logger
	// rates are the limits of the store, and counter counts the calls if it is set.
	rates   StoreRates
	counter *callCounter
}

// client returns the connection of a node to a topic.
func (f *simFleet) client(n *simNode, topic *simTopic) Topic {
	client := &simClient{store: f.store, node: n, topic: topic}
	if f.counter == nil {
		return client
	}
	return countedClient{simClient: client, counter: f.counter}
}

func (f *simFleet) violate(format string, arguments ...any) {
	f.violations[fmt.Sprintf(format, arguments...)] = true
}

// find returns the running node at an address, or nil.
func (f *simFleet) find(address string) (*simNode, *membersTask) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		if n.vm+replayPort == address && n.task != nil {
			return n, n.task
		}
	}
	return nil, nil
}

// isUnreachable reports whether other nodes cannot reach the node.
func (f *simFleet) isUnreachable(n *simNode) bool {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	return n.mode == unreachable
}

// start starts the process of a node.
func (f *simFleet) start(n *simNode) {
	ctx, cancel := context.WithCancel(f.ctx)
	n.incarnation++
	self := &pb.RelayMember{Vm: n.vm, Address: n.vm + replayPort, Zone: n.zone, Service: n.service, Incarnation: n.incarnation}
	sync := func(ctx context.Context, address string, request *pb.SyncRequest) (*pb.SyncResponse, error) {
		return f.deliver(ctx, n, address, request)
	}
	task := newMembersTask(self, f.client(n, &f.store.members), route.New(route.Config{Start: time.Now()}), sync,
		newConfiguration(decodeDocument, time.Now(), f.logger.Named(n.vm)), testRules, f.logger.Named(n.vm))
	task.storeRates = f.rates
	state := targetstate.New(n.vm, n.service)
	task.restore = func(published targetstate.Announcement, final bool) {
		f.apply(n, task, state, func() bool {
			state.Restore(published, final)
			return true
		})
	}
	task.recordDraining = func(published targetstate.Announcement) {
		f.apply(n, task, state, func() bool { return state.RecordDraining(published) })
	}
	f.logger.Named(n.vm).Info("started")
	f.mu.Lock()
	n.task, n.state, n.cancel, n.highest, n.disturbed = task, state, cancel, 0, time.Now()
	f.mu.Unlock()
	config, members := task.followers(f.client(n, &f.store.config))
	for _, run := range []func(context.Context){task.run, config.run, members.run} {
		f.group.Go(func() { run(ctx) })
	}
	f.group.Go(func() {
		// Events that arrive after the end of the task are dropped, so that their
		// senders end.
		<-ctx.Done()
		for {
			select {
			case event := <-task.events:
				event()
			case <-time.After(scheduleLength):
				return
			}
		}
	})
}

// apply changes the state of the target and passes it on, as the gate task does.
func (f *simFleet) apply(n *simNode, task *membersTask, state *targetstate.State, change func() bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !change() {
		return
	}
	current := state.Current()
	task.targetChanged(gateView{target: &current, serving: state.Serving(), draining: state.IsDraining(), targetDraining: state.IsDraining()})
}

// kill ends the process of a node.
func (f *simFleet) kill(n *simNode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n.task == nil {
		return
	}
	f.logger.Named(n.vm).Info("killed")
	n.cancel()
	n.task, n.state = nil, nil
	f.killed = time.Now()
}

// deliver passes a synchronization request to another node.
func (f *simFleet) deliver(ctx context.Context, from *simNode, address string, request *pb.SyncRequest) (*pb.SyncResponse, error) {
	sleep(ctx, peerLatency)
	node, task := f.find(address)
	if node == nil || f.isUnreachable(from) || f.isUnreachable(node) {
		return nil, ErrUnavailable
	}
	response := &pb.SyncResponse{}
	done := make(chan struct{})
	go func() {
		defer close(done)
		task.serveSync(f.ctx, request, response)
	}()
	select {
	case <-done:
		return response, ctx.Err()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// announce delivers an announcement of the target and, if it drains, waits for the
// acknowledgement.
func (f *simFleet) announce(n *simNode, phase targetstate.Phase, sequence uint64) {
	f.mu.Lock()
	task, state := n.task, n.state
	f.mu.Unlock()
	if task == nil {
		return
	}
	announcement := targetstate.Announcement{TargetID: "i-" + n.vm, StartMillis: 1, Address: n.vm, Service: n.service, Slots: 4, Phase: phase, Sequence: sequence}
	var err error
	f.apply(n, task, state, func() (changed bool) {
		changed, err = state.Apply(announcement)
		return changed && err == nil
	})
	if phase != targetstate.Draining || err != nil {
		return
	}
	if task.awaitDrainRecorded(announcement.TargetID) != nil {
		return
	}
	held := make(chan bool, 1)
	task.events <- func() { held <- task.heldByPeer >= task.self.GetRevision() }
	// A drain that only the store held, because other nodes could not be reached for
	// longer than a call, may be lost with the store's records.
	if !<-held {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	n.acked = n.acked || n.task == task
}

// runTarget announces the target until the schedule ends.
func (f *simFleet) runTarget(n *simNode) {
	for f.ctx.Err() == nil {
		f.mu.Lock()
		n.sequence++
		sequence, phase := n.sequence, targetstate.Ready
		if n.draining {
			phase = targetstate.Draining
		}
		f.mu.Unlock()
		f.announce(n, phase, sequence)
		sleep(f.ctx, heartbeatInterval)
	}
}
