package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/freshness"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/telemetry"
)

const (
	// tickInterval is the time between two looks at what is due.
	tickInterval = 250 * time.Millisecond
	// syncInterval is the time between two comparisons with another node.
	syncInterval = time.Second
	// syncTimeout bounds one comparison.
	syncTimeout = 700 * time.Millisecond
)

// viewSeen is a part of the view of another node: all that had changed when its
// view had seen that many changes.
type peerView struct {
	incarnation uint64
	changes     uint64
}

// maxSeen bounds the nodes whose view is remembered; without it a whole view is
// sent again.
const maxPeerViews = 64

// isSelf tells whether a member is this node.
func (t *membersTask) isSelf(m *pb.RelayMember) bool { return m.GetVm() == t.self.GetVm() }

// isReader tells whether this node is one of the readers of its zone.
func (t *membersTask) isReader() bool {
	return slices.ContainsFunc(t.roster.Readers(t.self.GetZone()), t.isSelf)
}

// tick does what is due at a moment.
func (t *membersTask) tick(ctx context.Context, now time.Time) {
	t.ticks++
	t.chooseRole(now)
	storeUnresponsive := t.storeUnresponsive(now)
	interval := syncInterval
	if storeUnresponsive || t.standing.Load().Relies() {
		interval = min(t.rules.Compare(), syncInterval)
	}
	if t.ticks%max(int(interval/tickInterval), 1) != 0 {
		return
	}
	t.syncWithNext(ctx)
	if storeUnresponsive {
		t.syncWithRandomPeer(ctx)
	}
}

// chooseRole decides whether this node follows the members and the configuration
// on the store itself.
func (t *membersTask) chooseRole(now time.Time) {
	standing := freshness.Standing{Members: t.roster.ZoneSize(t.self.GetZone()), Reader: t.isReader()}
	t.standing.Store(&standing)
	members := mustFollowMembers(standing.Reader, t.readerReported, now)
	config := t.rules.Follows(standing, t.config.tracker.Age(now))
	changed := t.role.set(members)
	if t.configRole.set(config) || changed {
		fields := []zap.Field{zap.Bool("follows_members", members), zap.Bool("follows_configuration", config), zap.Bool("reader", standing.Reader),
			zap.Int("zone_members", standing.Members), zap.Duration("reader_heard", now.Sub(t.readerReported)), zap.Int("members", t.roster.Len())}
		t.logger.Info("The node changes how it learns of changes.", append(fields, t.config.ageFields()...)...)
	}
}

// unanswered tells whether the store leaves this node without an answer.
func (t *membersTask) storeUnresponsive(now time.Time) bool {
	return t.configRole.active() && t.rules.Unanswered(*t.standing.Load(), t.config.tracker.StoreAge(now))
}

// followsStore tells whether others may rely on this node to follow the store. An
// answer that did not come is no sign of a store in which nothing changes.
func (t *membersTask) followsStore() bool {
	return t.role.active() && t.storeResponds() && !t.storeUnresponsive(time.Now())
}

// compare compares with another node: a reader with any node, others with the
// readers of their zone in turn, and now and then with any node besides.
func (t *membersTask) syncWithNext(ctx context.Context) {
	t.syncs++
	readers := t.roster.Readers(t.self.GetZone())
	if len(readers) == 0 || slices.ContainsFunc(readers, t.isSelf) {
		t.syncWithRandomPeer(ctx)
		return
	}
	first := readers[t.syncs%len(readers)].GetAddress()
	second := readers[(t.syncs+1)%len(readers)].GetAddress()
	t.syncWith(ctx, first, second)
	if t.syncs%randomPeerTurns == 0 {
		t.syncWithRandomPeer(ctx)
	}
}

// compareWithAny compares with one other node.
func (t *membersTask) syncWithRandomPeer(ctx context.Context) {
	others := slices.DeleteFunc(t.roster.Members(), t.isSelf)
	if len(others) > 0 {
		t.syncWith(ctx, others[rand.IntN(len(others))].GetAddress(), "")
	}
}

// syncWith compares with the node at the address, unless a comparison with it
// is under way. If it fails, the node at the other address is asked.
func (t *membersTask) syncWith(ctx context.Context, address, fallback string) {
	if t.syncing[address] {
		return
	}
	t.syncing[address] = true
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
		requestedAt := time.Now()
		bounded, cancel := context.WithTimeout(ctx, syncTimeout)
		defer cancel()
		response, err := t.sync(bounded, address, request)
		t.events <- func() { t.syncDone(ctx, address, fallback, requestedAt, response, err) }
	}()
}

// synced takes in the end of a comparison.
func (t *membersTask) syncDone(ctx context.Context, address, fallback string, requestedAt time.Time, response *pb.SyncResponse, err error) {
	delete(t.syncing, address)
	if err == nil {
		t.applySync(address, requestedAt, response)
		return
	}
	t.logger.Debug("A node could not be compared with.", zap.String("address", address), telemetry.ErrorField(err))
	if fallback != "" && fallback != address {
		t.syncWith(ctx, fallback, "")
	}
}

// take merges what another node, asked at a moment, sent.
func (t *membersTask) applySync(address string, requestedAt time.Time, response *pb.SyncResponse) {
	age := time.Duration(response.GetConfigAgeNanos())
	if document := response.GetConfig(); len(document) > 0 {
		t.config.offer(document, origin{name: "peer", address: address, age: age})
	}
	if t.config.version() >= response.GetConfigVersion() {
		t.config.tracker.ConfirmPeer(requestedAt, age)
	}
	t.merge(response.GetMembers())
	if len(t.seen) >= maxPeerViews {
		clear(t.seen)
	}
	t.seen[address] = peerView{incarnation: response.GetIncarnation(), changes: response.GetMembersCount()}
	if response.GetFollowsStore() {
		t.readerReported = time.Now()
		t.chooseRole(t.readerReported)
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
		viewsDiffer := request.GetMembersDigest() != t.roster.Digest()
		if request.GetConfigVersion() > t.config.version() || viewsDiffer && !t.followsStore() {
			t.syncWith(ctx, request.GetSenderAddress(), "")
		}
		t.addMissing(response, request, viewsDiffer)
	}
	<-done
}

// fill writes what the sender of the request lacks.
func (t *membersTask) addMissing(response *pb.SyncResponse, request *pb.SyncRequest, viewsDiffer bool) {
	// The age is taken first: a version that comes in between only makes the copy
	// younger than is told.
	response.ConfigAgeNanos = int64(t.config.tracker.Age(time.Now()))
	response.ConfigVersion = t.config.version()
	response.Config = t.config.documentNewerThan(request.GetConfigVersion())
	response.Incarnation = t.self.GetIncarnation()
	response.MembersCount = t.roster.Changes()
	response.FollowsStore = t.followsStore()
	if !viewsDiffer {
		return
	}
	seen := uint64(0)
	if request.GetMembersSeenOf() == t.self.GetIncarnation() {
		seen = request.GetMembersSeen()
	}
	response.Members = t.roster.ChangedSince(seen)
}

// noticed tells of a configuration version that another node has.
func (t *membersTask) observeVersion(ctx context.Context, address string, version uint64) {
	if version <= t.config.version() {
		return
	}
	select {
	case t.events <- func() { t.syncWith(ctx, address, "") }:
	default:
		// The next answer of the node, or the next comparison, tells it again.
	}
}
