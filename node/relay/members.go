package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/primrosemount/primrosemount/core/roster"
	"github.com/primrosemount/primrosemount/core/route"
	"github.com/primrosemount/primrosemount/core/targetstate"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/telemetry"
	"github.com/primrosemount/primrosemount/transport"
)

const (
	// memberEvents is the number of messages that may wait for the members task.
	memberEvents = 256
	// syncInterval is the time between two comparisons with another node.
	syncInterval = time.Second
	// syncTimeout bounds one comparison.
	syncTimeout = 700 * time.Millisecond
	// publishTimeout bounds one write to the store.
	publishTimeout = 2 * time.Second
	// publishPause gathers changes that come close together into one write.
	publishPause = 50 * time.Millisecond
	// targetWait is how long the first announcement of a node waits for that of
	// its target, which comes within one heartbeat.
	targetWait = 2 * time.Second
)

// membersTask owns the view of all members and what this node says about
// itself. Only its own goroutine touches the unexported fields below changed.
type membersTask struct {
	events chan func()
	topic  Topic
	router *route.Router
	pool   *transport.Pool
	config *configuration
	logger *zap.Logger
	// recall passes on what an earlier life of this node had published; it is
	// called once.
	recall func(published targetstate.Announcement, final bool)

	roster *roster.Roster
	self   *pb.RelayMember
	// routed holds the services that the router knows.
	routed map[string]bool
	// published is the revision that the store has.
	published uint64
	loaded    bool
	// earlier is what an earlier life of this node said last, until the store
	// was read.
	earlier *pb.RelayMember
	writing bool
	// started is when this task was made.
	started time.Time
	// fetching holds the addresses of comparisons under way.
	fetching map[string]bool
	// role is what chooseRole decides.
	role *storeRole
	// storeAnswers tells whether the followers of this node get answers.
	storeAnswers func() bool
	// followed is when a reader last told that it follows the store.
	followed time.Time
	// turn counts the comparisons that were due.
	turn int
	// seen holds how much of the view of other nodes this one has, by address.
	seen map[string]viewSeen
}

// viewSeen is a part of the view of another node: all that had changed when its
// view had seen that many changes.
type viewSeen struct {
	incarnation uint64
	changes     uint64
}

// maxSeen bounds the nodes whose view is remembered; without it a whole view is
// sent again.
const maxSeen = 64

func newMembersTask(self *pb.RelayMember, topic Topic, router *route.Router, pool *transport.Pool, config *configuration, logger *zap.Logger) *membersTask {
	return &membersTask{
		events:   make(chan func(), memberEvents),
		topic:    topic,
		router:   router,
		pool:     pool,
		config:   config,
		logger:   logger,
		roster:   roster.New(),
		self:     self,
		routed:   make(map[string]bool),
		fetching: make(map[string]bool),
		started:  time.Now(),
		role:     newStoreRole(),
		seen:     make(map[string]viewSeen),
		// relay.go sets the real one once the followers exist.
		storeAnswers: func() bool { return true },
	}
}

// run applies messages until the context ends.
func (t *membersTask) run(ctx context.Context) {
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-t.events:
			event()
		case <-ticker.C:
			t.chooseRole(time.Now())
			t.compare(ctx)
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
		t.self.Draining = view.leaving
		t.self.TargetLeaving = view.targetLeaving
		t.self.TargetBornMillis = view.target.BornMillis
		t.self.TargetSequence = view.target.Sequence
		if !view.serving && !view.leaving {
			t.self.TargetId = ""
		}
		t.self.Revision++
		t.merge([]*pb.RelayMember{t.self})
	}
}

// records takes in records of the store.
func (t *membersTask) records(records []Record) {
	members := make([]*pb.RelayMember, 0, len(records))
	for _, record := range records {
		if len(record.Value) == 0 {
			continue
		}
		m, err := roster.Decode(record.Value)
		if err != nil {
			t.logger.Warn("A member record cannot be read and is ignored.", zap.String("key", record.Key), telemetry.ErrorField(err))
			continue
		}
		members = append(members, m)
	}
	t.events <- func() { t.merge(members) }
}

// storeRead notes that the whole topic was read once.
func (t *membersTask) storeRead() {
	t.events <- func() {
		t.loaded = true
		t.recallSelf()
	}
}

// recallSelf passes on what an earlier life of this node had published.
func (t *membersTask) recallSelf() {
	if t.recall == nil {
		return
	}
	t.merge([]*pb.RelayMember{t.self})
	if t.earlier.GetStopped() {
		// The announcement of the stop may be relied on once only. This life
		// replaces it on the store first, and passes it on when that is done;
		// otherwise the next life would rely on it after a drain that this one
		// acknowledged.
		t.self = proto.CloneOf(t.self)
		t.self.Revision++
		t.merge([]*pb.RelayMember{t.self})
		return
	}
	t.passOnEarlier()
}

// passOnEarlier ends the recall of what the earlier life had published.
func (t *membersTask) passOnEarlier() {
	if t.recall == nil {
		return
	}
	published := targetstate.Announcement{}
	if t.earlier != nil {
		published = announcementOf(t.earlier)
	}
	t.recall(published, t.earlier.GetStopped())
	t.recall = nil
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
	if !t.loaded && (t.earlier == nil || roster.Newer(m, t.earlier)) {
		t.earlier = m
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
	for name := range t.routed {
		if _, still := services[name]; !still {
			t.router.Update(now, name, nil)
			delete(t.routed, name)
		}
	}
	for name, members := range services {
		t.routed[name] = true
		t.router.Update(now, name, routeTargets(members))
	}
}

func routeTargets(members []*pb.RelayMember) []route.Target {
	targets := make([]route.Target, 0, len(members))
	for _, m := range members {
		targets = append(targets, route.Target{
			Incarnation: m.GetIncarnation(),
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
	return t.published == 0 && t.self.GetTargetId() == "" && !t.self.GetStopped() && !t.earlier.GetStopped() &&
		time.Since(t.started) < targetWait
}

// write puts the newest announcement on the store and reports back.
func (t *membersTask) write(ctx context.Context) {
	sleep(ctx, publishPause)
	pending := make(chan *pb.RelayMember, 1)
	t.events <- func() { pending <- t.self }
	self := <-pending
	err := t.put(ctx, self)
	if err != nil {
		t.logger.Warn("The announcement of this node is not on the store yet.", telemetry.ErrorField(err))
		sleep(ctx, retryLongest)
	}
	t.events <- func() {
		t.writing = false
		if err == nil {
			t.published = self.GetRevision()
			t.passOnEarlier()
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
		time.Sleep(stopPoll)
	}
	t.logger.Warn("The store does not have the last announcement of this node.")
}

// isSelf tells whether a member is this node.
func (t *membersTask) isSelf(m *pb.RelayMember) bool { return m.GetVm() == t.self.GetVm() }

// isReader tells whether this node is one of the readers of its zone.
func (t *membersTask) isReader() bool {
	return slices.ContainsFunc(t.roster.Readers(t.self.GetZone()), t.isSelf)
}

// chooseRole decides whether this node follows the store itself.
func (t *membersTask) chooseRole(now time.Time) {
	reader := t.isReader()
	follows := followDue(reader, t.followed, now)
	if t.role.set(follows) {
		t.logger.Info("The node changes how it learns of changes.", zap.Bool("follows_store", follows),
			zap.Bool("reader", reader), zap.Duration("reader_heard", now.Sub(t.followed)), zap.Int("members", t.roster.Len()))
	}
}

// followsStore tells whether others may rely on this node to follow the store.
func (t *membersTask) followsStore() bool { return t.role.active() && t.storeAnswers() }

// compare compares with another node: a reader with any node, others with the
// readers of their zone in turn, and now and then with any node besides.
func (t *membersTask) compare(ctx context.Context) {
	t.turn++
	readers := slices.DeleteFunc(t.roster.Readers(t.self.GetZone()), t.isSelf)
	if t.isReader() || len(readers) == 0 {
		t.compareWithAny(ctx)
		return
	}
	first := readers[t.turn%len(readers)].GetAddress()
	second := readers[(t.turn+1)%len(readers)].GetAddress()
	t.syncWith(ctx, first, second)
	if t.turn%strangerTurns == 0 {
		t.compareWithAny(ctx)
	}
}

// compareWithAny compares with one other node.
func (t *membersTask) compareWithAny(ctx context.Context) {
	others := slices.DeleteFunc(t.roster.Members(), t.isSelf)
	if len(others) > 0 {
		t.syncWith(ctx, others[rand.IntN(len(others))].GetAddress(), "")
	}
}

// syncWith compares with the node at the address, unless a comparison with it
// is under way. If it fails, the node at the other address is asked.
func (t *membersTask) syncWith(ctx context.Context, address, otherwise string) {
	if t.fetching[address] {
		return
	}
	t.fetching[address] = true
	seen := t.seen[address]
	request := &pb.SyncRequest{
		ConfigVersion: t.config.version(),
		SenderAddress: t.self.GetAddress(),
		Self:          t.self,
		MembersDigest: t.roster.Digest(),
		MembersSeen:   seen.changes,
		MembersSeenOf: seen.incarnation,
	}
	go func() {
		bounded, cancel := context.WithTimeout(ctx, syncTimeout)
		defer cancel()
		response, err := t.pool.Sync(bounded, address, request)
		t.events <- func() { t.synced(ctx, address, otherwise, response, err) }
	}()
}

// synced takes in the end of a comparison.
func (t *membersTask) synced(ctx context.Context, address, otherwise string, response *pb.SyncResponse, err error) {
	delete(t.fetching, address)
	if err == nil {
		t.take(address, response)
		return
	}
	t.logger.Debug("A node could not be compared with.", zap.String("address", address), telemetry.ErrorField(err))
	if otherwise != "" && otherwise != address {
		t.syncWith(ctx, otherwise, "")
	}
}

// take merges what another node sent.
func (t *membersTask) take(address string, response *pb.SyncResponse) {
	if document := response.GetConfig(); len(document) > 0 {
		t.config.offer(document, "peer")
	}
	t.merge(response.GetMembers())
	if len(t.seen) >= maxSeen {
		clear(t.seen)
	}
	t.seen[address] = viewSeen{incarnation: response.GetIncarnation(), changes: response.GetMembersCount()}
	if response.GetFollowsStore() {
		t.followed = time.Now()
		t.chooseRole(t.followed)
	}
}

// serveSync answers the comparison of another node.
func (t *membersTask) serveSync(ctx context.Context, request *pb.SyncRequest, response *pb.SyncResponse) {
	done := make(chan struct{})
	t.events <- func() {
		defer close(done)
		if request.GetSelf() != nil {
			t.merge([]*pb.RelayMember{request.GetSelf()})
		}
		differs := request.GetMembersDigest() != t.roster.Digest()
		if request.GetConfigVersion() > t.config.version() || differs && !t.followsStore() {
			t.syncWith(ctx, request.GetSenderAddress(), "")
		}
		t.fill(response, request, differs)
	}
	<-done
}

// fill writes what the sender of the request lacks.
func (t *membersTask) fill(response *pb.SyncResponse, request *pb.SyncRequest, differs bool) {
	response.ConfigVersion = t.config.version()
	response.Config = t.config.newerThan(request.GetConfigVersion())
	response.Incarnation = t.self.GetIncarnation()
	response.MembersCount = t.roster.Changes()
	response.FollowsStore = t.followsStore()
	if !differs {
		return
	}
	seen := uint64(0)
	if request.GetMembersSeenOf() == t.self.GetIncarnation() {
		seen = request.GetMembersSeen()
	}
	response.Members = t.roster.ChangedSince(seen)
}

// noticed tells of a configuration version that another node has.
func (t *membersTask) noticed(ctx context.Context, address string, version uint64) {
	if version <= t.config.version() {
		return
	}
	select {
	case t.events <- func() { t.syncWith(ctx, address, "") }:
	default:
		// The next answer of the node, or the next comparison, tells it again.
	}
}
