package relay

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/primrosemount/primrosemount/core/era"
	"github.com/primrosemount/primrosemount/core/freshness"
	"github.com/primrosemount/primrosemount/core/roster"
	"github.com/primrosemount/primrosemount/core/route"
	"github.com/primrosemount/primrosemount/core/targetstate"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/telemetry"
)

const (
	// memberQueueSize is the number of events that may be queued for the members
	// task.
	memberQueueSize = 256
	// publishTimeout limits the duration of one write to the store.
	publishTimeout = 2 * time.Second
	// publishDelay combines changes that occur in quick succession into one write.
	publishDelay = 50 * time.Millisecond
	// targetWait is how long the first announcement of a node waits for the first
	// announcement of its target, which normally arrives within one heartbeat.
	targetWait = 2 * time.Second
)

// membersTask owns this node's view of all members and its announcement. Only the
// goroutine that runs run accesses the fields from roster on, except those that are
// safe for concurrent use.
type membersTask struct {
	events chan func()
	// targetView is the latest view of the gate that has not been applied yet.
	// targetChange has an element if there may be one.
	targetView   atomic.Pointer[gateView]
	targetChange chan struct{}
	topic        Topic
	// vm is the name of this node's VM.
	vm     string
	router *route.Router
	sync   syncFunc
	config *configuration
	logger *zap.Logger
	// restore passes on the target state that an earlier incarnation of this node
	// had published. It is called once.
	restore func(published targetstate.Announcement, final bool)
	// recordDraining passes on that an earlier incarnation of this node had published
	// that the target is draining.
	recordDraining func(published targetstate.Announcement)
	// recordDrained passes on which other targets had drained by then.
	recordDrained func(drained []targetstate.Incarnation)

	roster *roster.Roster
	// self is this node's announcement. It is replaced, not modified.
	self *pb.RelayMember
	// routedServices holds the services that have been passed to the router.
	routedServices map[string]bool
	// published is the revision of this node's announcement on the store, in the latest
	// era of the store.
	published uint64
	// rewriteAfter is when an announcement that was on the store in an earlier era is
	// written again, and rewriteRevision is its revision.
	rewriteAfter    time.Time
	rewriteRevision uint64
	// returnSeen is when this node saw that the store had returned from a copy.
	returnSeen time.Time
	// stored is what the store has of the members, as far as this node reads it.
	stored storedMembers
	// storeRates are the limits of the store on the calls of all nodes together.
	storeRates StoreRates
	// heldByPeer is the highest revision of this node's announcement that a holder has
	// received.
	heldByPeer uint64
	// drainWaiters wait until an announcement is held outside this process.
	drainWaiters []drainWaiter
	// drainTarget is the target that was announced to be draining, and drainCalled is
	// when that was first waited for.
	drainTarget string
	drainCalled time.Time
	// drainUnsent is set until an announcement that is waited for has been sent to
	// another node.
	drainUnsent bool
	// loaded is set once the members topic has been read completely.
	loaded bool
	// loadedEra is the era in which the members topic was read completely.
	loadedEra era.Era
	// previous is the last announcement of an earlier incarnation of this node. It
	// is collected until restore is called.
	previous *pb.RelayMember
	// writing is set while a write of the announcement is in progress.
	writing bool
	// started is when this task was created.
	started time.Time
	// syncing holds the addresses of synchronizations in progress.
	syncing map[string]bool
	// role and configRole hold the decisions of chooseRole: whether this node
	// follows the members and the configuration on the store directly.
	role       *storeRole
	configRole *storeRole
	// members is the number of members of the roster, for other goroutines.
	members atomic.Int64
	// rules decide how the local copy of the configuration is kept current.
	// zoneRole is the input of the rules: the number of members of this node's zone
	// and whether this node is a reader.
	rules    freshness.Rules
	zoneRole atomic.Pointer[freshness.ZoneRole]
	// startEra makes the followers read their topics again after the store has returned
	// from a copy.
	startEra func(era.Era)
	// storeResponds reports whether the store responds to reads of the members, and
	// storeFailed whether such a read has failed since the start.
	storeResponds func() bool
	storeFailed   func() bool
	// readerReported is when a reader last reported that it follows the store.
	readerReported time.Time
	// comparesUntil is the end of the comparisons with other nodes after the store has
	// returned from a copy.
	comparesUntil time.Time
	// queries are the comparisons of a node that starts.
	queries startupQueries
	// memory is what a node that starts knows about drains that its earlier incarnation
	// may have acknowledged without the store.
	memory drainMemory
	// membersChanged receives the members for the quotas. reportedChanges is the number
	// of changes of the roster that it has received, plus 1.
	membersChanged  func(*quotaMembers)
	reportedChanges uint64
	// announced is when an announcement of this incarnation was first on the store.
	announced time.Time
	// ticks counts calls of tick, syncs counts calls of syncWithNext.
	ticks, syncs int
	// seen holds the part of each peer's view that this node has received, by
	// address.
	seen map[string]peerView
}

// syncFunc synchronizes with the node at an address. See transport.Pool.Sync.
type syncFunc func(ctx context.Context, address string, request *pb.SyncRequest) (*pb.SyncResponse, error)

func newMembersTask(self *pb.RelayMember, topic Topic, router *route.Router, sync syncFunc, config *configuration, rules freshness.Rules, logger *zap.Logger) *membersTask {
	t := &membersTask{
		events:         make(chan func(), memberQueueSize),
		targetChange:   make(chan struct{}, 1),
		topic:          topic,
		vm:             self.GetVm(),
		router:         router,
		sync:           sync,
		config:         config,
		logger:         logger,
		roster:         roster.New(),
		self:           self,
		stored:         newStoredMembers(),
		routedServices: make(map[string]bool),
		syncing:        make(map[string]bool),
		started:        time.Now(),
		role:           newStoreRole(),
		rules:          rules,
		seen:           make(map[string]peerView),
		// The caller replaces these functions.
		recordDraining: func(targetstate.Announcement) {},
		recordDrained:  func([]targetstate.Incarnation) {},
		membersChanged: func(*quotaMembers) {},
		// The method followers replaces these functions.
		storeResponds: func() bool { return true },
		storeFailed:   func() bool { return false },
		startEra:      func(era.Era) {},
		configRole:    newStoreRole(),
	}
	t.zoneRole.Store(&freshness.ZoneRole{})
	t.config.hold()
	return t
}

// run processes events until the context ends.
func (t *membersTask) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-t.events:
			// The sender of the event may rely on a change that it has made before.
			t.applyTargetChange()
			event()
		case <-t.targetChange:
			t.applyTargetChange()
		case <-ticker.C:
			t.tick(ctx, time.Now())
		}
		if t.loaded {
			t.startQueries(ctx)
		}
		t.reportMembers()
		t.publish(ctx)
		t.sendDrain(ctx)
		t.notifyDrainWaiters(time.Now())
	}
}

// targetChanged passes on a change of the target or of the gate. It never blocks: the
// gate task calls it, and the members task sends events to the gate task.
func (t *membersTask) targetChanged(view gateView) {
	t.targetView.Store(&view)
	select {
	case t.targetChange <- struct{}{}:
	default:
	}
}

// applyTargetChange updates this node's announcement from the latest view that
// targetChanged was called with, if it has not done so yet.
func (t *membersTask) applyTargetChange() {
	view := t.targetView.Swap(nil)
	if view == nil {
		return
	}
	t.self = proto.CloneOf(t.self)
	t.self.Service = view.target.Service
	t.self.TargetId = view.target.TargetID
	t.self.Slots = uint32(max(view.target.Slots, 1))
	t.self.Draining = view.draining
	t.self.TargetLeaving = view.targetDraining
	t.self.TargetBornMillis = view.target.StartMillis
	t.self.TargetSequence = view.target.Sequence
	t.self.DrainedTargets = drainedTargets(view.drained)
	if !view.serving && !view.draining {
		t.self.TargetId = ""
	}
	t.self.Revision++
	t.merge([]*pb.RelayMember{t.self})
}

// records applies the member records that the store has before a position.
func (t *membersTask) records(records []Record, next era.Position) {
	members := make([]*pb.RelayMember, 0, len(records))
	// ownRecordReplaced is set if another writer deleted this node's record or
	// replaced it with one that cannot be decoded. merge handles valid records.
	ownRecordReplaced := false
	for _, record := range records {
		own := record.Key == t.vm
		if len(record.Value) == 0 {
			ownRecordReplaced = ownRecordReplaced || own
			continue
		}
		m, err := roster.Decode(record.Key, record.Value)
		if err != nil {
			t.logger.Warn("A member record cannot be decoded and is ignored.", zap.String("key", record.Key), telemetry.ErrorField(err))
			ownRecordReplaced = ownRecordReplaced || own
			continue
		}
		members = append(members, m)
	}
	t.events <- func() {
		t.stored.apply(records, members, next)
		t.noteOwnRecord(members, next.Era)
		t.merge(members)
		if ownRecordReplaced {
			t.reannounce()
		}
	}
}

// reannounce writes this node's announcement again, because another writer has
// replaced its record.
func (t *membersTask) reannounce() {
	if !t.loaded {
		// This incarnation has not announced itself yet.
		return
	}
	t.self = proto.CloneOf(t.self)
	t.self.Revision++
	t.merge([]*pb.RelayMember{t.self})
}

// storeLoaded records that the complete topic has been read in an era.
func (t *membersTask) storeLoaded(e era.Era) {
	t.events <- func() {
		t.loaded = true
		t.loadedEra = e
		t.memory.storeFailed = t.storeFailed()
		t.restorePrevious()
	}
}

// isPreviousCurrent reports whether the store has the last announcement of the earlier
// incarnation of this node. It may have lost it if it has returned from a copy since the
// one that it has was written.
func (t *membersTask) isPreviousCurrent() bool {
	return t.loadedEra == era.Unknown || t.previous != nil && era.FromNumber(t.previous.StoreEra) == t.loadedEra
}

// knowsPrevious reports whether this node knows what its earlier incarnation had
// announced: from the store, or from another node that keeps drains. If nobody knows, the
// target shows by a second announcement that it is not draining.
func (t *membersTask) knowsPrevious() bool {
	return t.loaded && !t.memory.mayBeLost(time.Since(t.started)) && (t.isPreviousCurrent() || t.queries.answered)
}

// hasOthers reports whether other nodes are known.
func (t *membersTask) hasOthers() bool {
	return t.roster.Len() > 1 || t.roster.Len() == 1 && t.roster.Get(t.vm) == nil
}

// restorePrevious passes on the state that an earlier incarnation of this node had
// published, once it is known.
func (t *membersTask) restorePrevious() {
	if t.restore == nil || !t.knowsPrevious() {
		return
	}
	t.merge([]*pb.RelayMember{t.self})
	if t.previous.GetStopped() && t.isPreviousCurrent() {
		// The announcement of a stop may be relied on only once. Replace it on the
		// store before passing it on. Otherwise the next incarnation would rely on
		// it, although the target may have drained since and this incarnation
		// acknowledged that.
		t.self = proto.CloneOf(t.self)
		t.self.Revision++
		t.merge([]*pb.RelayMember{t.self})
		return
	}
	t.finishRestore()
}

// finishRestore passes on the published state, at most once.
func (t *membersTask) finishRestore() {
	if t.restore == nil {
		return
	}
	published := targetstate.Announcement{}
	if t.previous != nil {
		published = announcementOf(t.previous)
	}
	t.restore(published, t.previous.GetStopped() && t.isPreviousCurrent())
	t.restore = nil
}

// announcementOf returns the state of the target that a member announcement
// contains.
func announcementOf(m *pb.RelayMember) targetstate.Announcement {
	phase := targetstate.Ready
	if m.GetTargetLeaving() {
		phase = targetstate.Draining
	}
	return targetstate.Announcement{
		TargetID:    m.GetTargetId(),
		StartMillis: m.GetTargetBornMillis(),
		Slots:       int(m.GetSlots()),
		Phase:       phase,
		Sequence:    m.GetTargetSequence(),
	}
}

// merge applies announcements and updates the router if the view changed.
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

// refute handles an announcement about this node that this incarnation did not
// make: it switches to a higher incarnation number if necessary. Until the store
// has been read, the newest such announcement is kept for restorePrevious.
func (t *membersTask) refute(m *pb.RelayMember) bool {
	if m.GetIncarnation() == t.self.GetIncarnation() && m.GetRevision() <= t.self.GetRevision() {
		return false
	}
	t.applyEarlierDrain(m)
	if t.restore != nil && t.supersedesPrevious(m) {
		t.previous = m
	}
	if m.GetIncarnation() >= t.self.GetIncarnation() {
		t.self = proto.CloneOf(t.self)
		t.self.Incarnation = m.GetIncarnation() + 1
		t.self.Revision++
		t.logger.Warn("Another incarnation of this node has a higher number; this node takes the next one above it.",
			zap.Uint64("incarnation", t.self.GetIncarnation()))
		return t.roster.Merge(t.self)
	}
	return false
}

// supersedesPrevious reports whether an announcement of an earlier incarnation of this
// node is newer than the known one, or is the same as read from the store in a later era.
func (t *membersTask) supersedesPrevious(m *pb.RelayMember) bool {
	if t.previous == nil || roster.Newer(m, t.previous) {
		return true
	}
	return !roster.Newer(t.previous, m) && era.FromNumber(m.StoreEra) > era.FromNumber(t.previous.StoreEra)
}

// route passes the members to the router.
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

// routeTargets returns the members as targets of the router.
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

			ReadsHeaderLines: m.GetReadsHeaderLines(),
		})
	}
	return targets
}
