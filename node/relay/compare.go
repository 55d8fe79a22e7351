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
type viewSeen struct {
	incarnation uint64
	changes     uint64
}

// maxSeen bounds the nodes whose view is remembered; without it a whole view is
// sent again.
const maxSeen = 64

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
	unanswered := t.unanswered(now)
	interval := syncInterval
	if unanswered || t.standing.Load().ReliesOnReaders() {
		interval = min(t.rules.Compare(), syncInterval)
	}
	if t.ticks%max(int(interval/tickInterval), 1) != 0 {
		return
	}
	t.compare(ctx)
	if unanswered {
		t.compareWithAny(ctx)
	}
}

// chooseRole decides whether this node follows the members and the configuration
// on the store itself.
func (t *membersTask) chooseRole(now time.Time) {
	standing := freshness.ZoneRole{Members: t.roster.ZoneSize(t.self.GetZone()), Reader: t.isReader()}
	t.standing.Store(&standing)
	members := followDue(standing.Reader, t.followed, now)
	config := t.rules.ReadsStore(standing, t.config.fresh.Age(now))
	changed := t.role.set(members)
	if t.configRole.set(config) || changed {
		fields := []zap.Field{zap.Bool("follows_members", members), zap.Bool("follows_configuration", config), zap.Bool("reader", standing.Reader),
			zap.Int("zone_members", standing.Members), zap.Duration("reader_heard", now.Sub(t.followed)), zap.Int("members", t.roster.Len())}
		t.logger.Info("The node changes how it learns of changes.", append(fields, t.config.ages()...)...)
	}
}

// unanswered tells whether the store leaves this node without an answer.
func (t *membersTask) unanswered(now time.Time) bool {
	return t.configRole.active() && t.rules.StoreOverdue(*t.standing.Load(), t.config.fresh.StoreAge(now))
}

// followsStore tells whether others may rely on this node to follow the store. An
// answer that did not come is no sign of a store in which nothing changes.
func (t *membersTask) followsStore() bool {
	return t.role.active() && t.storeAnswers() && !t.unanswered(time.Now())
}

// compare compares with another node: a reader with any node, others with the
// readers of their zone in turn, and now and then with any node besides.
func (t *membersTask) compare(ctx context.Context) {
	t.turn++
	readers := t.roster.Readers(t.self.GetZone())
	if len(readers) == 0 || slices.ContainsFunc(readers, t.isSelf) {
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
		asked := time.Now()
		bounded, cancel := context.WithTimeout(ctx, syncTimeout)
		defer cancel()
		response, err := t.sync(bounded, address, request)
		t.events <- func() { t.synced(ctx, address, otherwise, asked, response, err) }
	}()
}

// synced takes in the end of a comparison.
func (t *membersTask) synced(ctx context.Context, address, otherwise string, asked time.Time, response *pb.SyncResponse, err error) {
	delete(t.fetching, address)
	if err == nil {
		t.take(address, asked, response)
		return
	}
	t.logger.Debug("A node could not be compared with.", zap.String("address", address), telemetry.ErrorField(err))
	if otherwise != "" && otherwise != address {
		t.syncWith(ctx, otherwise, "")
	}
}

// take merges what another node, asked at a moment, sent.
func (t *membersTask) take(address string, asked time.Time, response *pb.SyncResponse) {
	age := time.Duration(response.GetConfigAgeNanos())
	if document := response.GetConfig(); len(document) > 0 {
		t.config.offer(document, origin{name: "peer", address: address, age: age})
	}
	if t.config.version() >= response.GetConfigVersion() {
		t.config.fresh.ConfirmPeer(asked, age)
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
	// The age is taken first: a version that comes in between only makes the copy
	// younger than is told.
	response.ConfigAgeNanos = int64(t.config.fresh.Age(time.Now()))
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
