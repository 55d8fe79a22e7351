package relay

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/primrosemount/primrosemount/core/freshness"
	"github.com/primrosemount/primrosemount/core/roster"
	"github.com/primrosemount/primrosemount/core/route"
	"github.com/primrosemount/primrosemount/core/targetstate"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/telemetry"
)

const (
	// memberEvents is the number of messages that may wait for the members task.
	memberQueueSize = 256
	// publishTimeout bounds one write to the store.
	publishTimeout = 2 * time.Second
	// publishPause gathers changes that come close together into one write.
	publishDelay = 50 * time.Millisecond
	// targetWait is how long the first announcement of a node waits for that of
	// its target, which comes within one heartbeat.
	targetWait = 2 * time.Second
)

// membersTask owns the view of all members and what this node says about
// itself. Only its own goroutine touches the unexported fields below changed.
type membersTask struct {
	events chan func()
	topic  Topic
	// vm is the name of this node's VM.
	vm     string
	router *route.Router
	sync   syncFunc
	config *configuration
	logger *zap.Logger
	// recall passes on what an earlier life of this node had published; it is
	// called once.
	restore func(published targetstate.Announcement, final bool)

	roster *roster.Roster
	self   *pb.RelayMember
	// routed holds the services that the router knows.
	routedServices map[string]bool
	// published is the revision that the store has.
	published uint64
	loaded    bool
	// earlier is what an earlier life of this node said last, until the store
	// was read.
	previous *pb.RelayMember
	writing  bool
	// started is when this task was made.
	started time.Time
	// fetching holds the addresses of comparisons under way.
	syncing map[string]bool
	// role and configRole are what chooseRole decides: whether this node follows the
	// members, and the configuration, on the store itself.
	role       *storeRole
	configRole *storeRole
	// rules tell how the copy of the configuration is kept current, standing the
	// place of this node in its zone.
	rules    freshness.Rules
	standing atomic.Pointer[freshness.Standing]
	// storeAnswers tells whether the store answers about the members.
	storeResponds func() bool
	// followed is when a reader last told that it follows the store.
	readerReported time.Time
	// ticks counts the looks at what is due, turn the comparisons.
	ticks, syncs int
	// seen holds how much of the view of other nodes this one has, by address.
	seen map[string]peerView
}

// syncFunc compares with the node at an address, see transport.Pool.Sync.
type syncFunc func(ctx context.Context, address string, request *pb.SyncRequest) (*pb.SyncResponse, error)

func newMembersTask(self *pb.RelayMember, topic Topic, router *route.Router, sync syncFunc, config *configuration, rules freshness.Rules, logger *zap.Logger) *membersTask {
	t := &membersTask{
		events:         make(chan func(), memberQueueSize),
		topic:          topic,
		vm:             self.GetVm(),
		router:         router,
		sync:           sync,
		config:         config,
		logger:         logger,
		roster:         roster.New(),
		self:           self,
		routedServices: make(map[string]bool),
		syncing:        make(map[string]bool),
		started:        time.Now(),
		role:           newStoreRole(),
		rules:          rules,
		seen:           make(map[string]peerView),
		// followers sets the real one.
		storeResponds: func() bool { return true },
		configRole:    newStoreRole(),
	}
	t.standing.Store(&freshness.Standing{})
	return t
}

// run applies messages until the context ends.
func (t *membersTask) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-t.events:
			event()
		case <-ticker.C:
			t.tick(ctx, time.Now())
		}
		t.publish(ctx)
	}
}

// targetChanged takes in a change of the target or of this node's own state.
func (t *membersTask) targetChanged(view gateView) {
	t.events <- func() {
		t.self = proto.CloneOf(t.self)
		t.self.Service = view.target.Service
		t.self.TargetId = view.target.TargetID
		t.self.Slots = uint32(max(view.target.Slots, 1))
		t.self.Draining = view.draining
		t.self.TargetLeaving = view.targetDraining
		t.self.TargetBornMillis = view.target.BornMillis
		t.self.TargetSequence = view.target.Sequence
		if !view.serving && !view.draining {
			t.self.TargetId = ""
		}
		t.self.Revision++
		t.merge([]*pb.RelayMember{t.self})
	}
}

// records takes in records of the store.
func (t *membersTask) records(records []Record) {
	members := make([]*pb.RelayMember, 0, len(records))
	// ownLost tells that the newest record of this node's key is not its own.
	ownRecordReplaced := false
	for _, record := range records {
		own := record.Key == t.vm
		if len(record.Value) == 0 {
			ownRecordReplaced = ownRecordReplaced || own
			continue
		}
		m, err := roster.Decode(record.Key, record.Value)
		if err != nil {
			t.logger.Warn("A member record cannot be read and is ignored.", zap.String("key", record.Key), telemetry.ErrorField(err))
			ownRecordReplaced = ownRecordReplaced || own
			continue
		}
		members = append(members, m)
	}
	t.events <- func() {
		t.merge(members)
		if ownRecordReplaced {
			t.reannounce()
		}
	}
}

// announceAgain writes this node's announcement once more, because another writer
// has replaced its record.
func (t *membersTask) reannounce() {
	if !t.loaded {
		// The first announcement of this life is still to come.
		return
	}
	t.self = proto.CloneOf(t.self)
	t.self.Revision++
	t.merge([]*pb.RelayMember{t.self})
}

// storeRead notes that the whole topic was read once.
func (t *membersTask) storeLoaded() {
	t.events <- func() {
		t.loaded = true
		t.restorePrevious()
	}
}

// recallSelf passes on what an earlier life of this node had published.
func (t *membersTask) restorePrevious() {
	if t.restore == nil {
		return
	}
	t.merge([]*pb.RelayMember{t.self})
	if t.previous.GetStopped() {
		// The announcement of the stop may be relied on once only. This life
		// replaces it on the store first, and passes it on when that is done;
		// otherwise the next life would rely on it after a drain that this one
		// acknowledged.
		t.self = proto.CloneOf(t.self)
		t.self.Revision++
		t.merge([]*pb.RelayMember{t.self})
		return
	}
	t.finishRestore()
}

// passOnEarlier ends the recall of what the earlier life had published.
func (t *membersTask) finishRestore() {
	if t.restore == nil {
		return
	}
	published := targetstate.Announcement{}
	if t.previous != nil {
		published = announcementOf(t.previous)
	}
	t.restore(published, t.previous.GetStopped())
	t.restore = nil
}

func announcementOf(m *pb.RelayMember) targetstate.Announcement {
	phase := targetstate.Ready
	if m.GetTargetLeaving() {
		phase = targetstate.Draining
	}
	return targetstate.Announcement{
		TargetID:   m.GetTargetId(),
		BornMillis: m.GetTargetBornMillis(),
		Slots:      int(m.GetSlots()),
		Phase:      phase,
		Sequence:   m.GetTargetSequence(),
	}
}

// merge takes in announcements and updates routing if the view changed.
func (t *membersTask) merge(members []*pb.RelayMember) {
	changed := false
	for _, m := range members {
		if m.GetVm() == t.self.GetVm() && m != t.self {
			changed = t.refute(m) || changed
			continue
		}
		changed = t.roster.Merge(m) || changed
	}
	if !changed {
		return
	}
	t.route()
}

// refute answers an announcement about this node that it did not make in this
// life. Before the store was read it is kept for recallSelf.
func (t *membersTask) refute(m *pb.RelayMember) bool {
	if m.GetIncarnation() == t.self.GetIncarnation() && m.GetRevision() <= t.self.GetRevision() {
		return false
	}
	if !t.loaded && (t.previous == nil || roster.Newer(m, t.previous)) {
		t.previous = m
	}
	if m.GetIncarnation() >= t.self.GetIncarnation() {
		t.self = proto.CloneOf(t.self)
		t.self.Incarnation = m.GetIncarnation() + 1
		t.self.Revision++
		t.logger.Warn("Another life of this node has a later incarnation; a higher one is taken.",
			zap.Uint64("incarnation", t.self.GetIncarnation()))
		return t.roster.Merge(t.self)
	}
	return false
}

// route passes the members on to the router.
func (t *membersTask) route() {
	now := time.Now()
	services := t.roster.ByService()
	for name := range t.routedServices {
		if _, still := services[name]; !still {
			t.router.Update(now, name, nil)
			delete(t.routedServices, name)
		}
	}
	for name, members := range services {
		t.routedServices[name] = true
		t.router.Update(now, name, routeTargets(members))
	}
}

func routeTargets(members []*pb.RelayMember) []route.Target {
	targets := make([]route.Target, 0, len(members))
	for _, m := range members {
		targets = append(targets, route.Target{
			Incarnation: roster.Identity(m.GetVm(), m.GetIncarnation()),
			VM:          m.GetVm(),
			Zone:        m.GetZone(),
			Region:      m.GetRegion(),
			Address:     m.GetAddress(),
			Slots:       int(m.GetSlots()),
		})
	}
	return targets
}

// publish writes this node's announcement if the store does not have it.
func (t *membersTask) publish(ctx context.Context) {
	if t.writing || !t.loaded || t.published >= t.self.GetRevision() || t.awaitsTarget() {
		return
	}
	t.writing = true
	go t.write(ctx)
}

// awaitsTarget tells whether the first announcement of this node waits for that
// of its target, which spares a write. A last announcement of an earlier life is
// replaced at once.
func (t *membersTask) awaitsTarget() bool {
	return t.published == 0 && t.self.GetTargetId() == "" && !t.self.GetStopped() && !t.previous.GetStopped() &&
		time.Since(t.started) < targetWait
}

// write puts the newest announcement on the store and reports back.
func (t *membersTask) write(ctx context.Context) {
	sleep(ctx, publishDelay)
	pending := make(chan *pb.RelayMember, 1)
	t.events <- func() { pending <- t.self }
	self := <-pending
	err := t.put(ctx, self)
	if err != nil {
		t.logger.Warn("The announcement of this node is not on the store yet.", telemetry.ErrorField(err))
		sleep(ctx, maxRetryWait)
	}
	t.events <- func() {
		t.writing = false
		if err == nil {
			t.logger.Info("The announcement of this node is on the store.", zap.Uint64("incarnation", self.GetIncarnation()),
				zap.Uint64("revision", self.GetRevision()), zap.String("target", self.GetTargetId()), zap.Bool("draining", self.GetDraining()))
			t.published = self.GetRevision()
			t.finishRestore()
		}
	}
}

func (t *membersTask) put(ctx context.Context, self *pb.RelayMember) error {
	record, err := roster.Encode(self)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	_, err = t.topic.Put(ctx, self.GetVm(), record)
	return err
}

// announceStop publishes that this node has stopped and waits until the store
// has it, or for the time.
func (t *membersTask) announceStop(wait time.Duration) {
	deadline := time.Now().Add(wait)
	revision := make(chan uint64, 1)
	t.events <- func() {
		t.self = proto.CloneOf(t.self)
		t.self.Draining = true
		t.self.Stopped = true
		t.self.Revision++
		t.merge([]*pb.RelayMember{t.self})
		revision <- t.self.GetRevision()
	}
	wanted := <-revision
	for time.Now().Before(deadline) {
		done := make(chan bool, 1)
		t.events <- func() { done <- t.published >= wanted }
		if <-done {
			return
		}
		time.Sleep(stopPollInterval)
	}
	t.logger.Warn("The store does not have the last announcement of this node.")
}
