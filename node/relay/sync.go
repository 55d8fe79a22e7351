package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/era"
	"github.com/primrosemount/primrosemount/core/freshness"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/telemetry"
)

const (
	// tickInterval is the interval of the periodic tasks.
	tickInterval = 250 * time.Millisecond
	// syncInterval is the time between two synchronizations with a peer.
	// Synchronization is anti-entropy: both nodes compare the digests of their
	// members and the versions of their configurations, and the sender receives
	// what it lacks.
	syncInterval = time.Second
	// syncTimeout limits the duration of one synchronization.
	syncTimeout = 700 * time.Millisecond
)

// peerView identifies the part of a peer's view of the members that this node has
// received: all changes up to a change count of one incarnation of the peer.
type peerView struct {
	incarnation uint64
	changes     uint64
}

// maxPeerViews limits the number of peers whose views are remembered. A peer whose
// view is not remembered sends its complete view again.
const maxPeerViews = 64

// isSelf reports whether a member is this node.
func (t *membersTask) isSelf(m *pb.RelayMember) bool { return m.GetVm() == t.self.GetVm() }

// isReader reports whether this node is one of the readers of its availability
// zone. Readers follow the store on behalf of the other nodes of the zone.
func (t *membersTask) isReader() bool {
	return slices.ContainsFunc(t.roster.Readers(t.self.GetZone()), t.isSelf)
}

// isPrimary reports whether other nodes of the zone rely on this node for the
// configuration.
func (t *membersTask) isPrimary() bool {
	return slices.ContainsFunc(t.roster.Primaries(t.self.GetZone()), t.isSelf)
}

// tick runs the periodic tasks that are due at now.
func (t *membersTask) tick(ctx context.Context, now time.Time) {
	t.ticks++
	t.chooseRole(now)
	if len(t.drainWaiters) > 0 {
		t.drainUnsent = true
		t.sendDrain(ctx)
	}
	t.repairStore(ctx, now)
	t.startQueries(ctx)
	t.releaseOverdue(now)
	if now.Before(t.comparesUntil) {
		t.syncWithRandomPeer(ctx)
	}
	storeUnresponsive := t.storeUnresponsive(now)
	interval := syncInterval
	if storeUnresponsive || t.zoneRole.Load().ReliesOnReaders() {
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

// chooseRole decides whether this node follows the members and the configuration on
// the store directly, rather than through peers.
func (t *membersTask) chooseRole(now time.Time) {
	zoneRole := freshness.ZoneRole{Members: t.roster.ZoneSize(t.self.GetZone()), Reader: t.isPrimary()}
	t.zoneRole.Store(&zoneRole)
	t.members.Store(int64(t.roster.Len()))
	reader := t.isReader()
	members := mustFollowMembers(reader, t.readerReported, now)
	config := t.rules.ReadsStore(zoneRole, t.config.tracker.Age(now))
	changed := t.role.set(members)
	if t.configRole.set(config) || changed {
		fields := []zap.Field{zap.Bool("follows_members", members), zap.Bool("follows_configuration", config), zap.Bool("reader", reader),
			zap.Int("zone_members", zoneRole.Members), zap.Duration("reader_heard", now.Sub(t.readerReported)), zap.Int("members", t.roster.Len())}
		t.logger.Info("The node changed how it receives configuration and member changes.", append(fields, t.config.ageFields()...)...)
	}
}

// storeUnresponsive reports whether the store has not responded to this node's
// reads of the configuration for too long.
func (t *membersTask) storeUnresponsive(now time.Time) bool {
	return t.configRole.active() && t.rules.StoreOverdue(*t.zoneRole.Load(), t.config.tracker.StoreAge(now))
}

// followsStore reports whether peers may rely on this node to follow the store. A
// missing response does not mean that nothing has changed on the store.
func (t *membersTask) followsStore() bool {
	return t.role.active() && t.storeResponds() && !t.storeUnresponsive(time.Now())
}

// syncWithNext synchronizes with the next peer. A primary reader selects any node at
// random. Other nodes select their primary reader, the next reader if that one does
// not respond, and, every randomPeerTurns times, any node in addition.
func (t *membersTask) syncWithNext(ctx context.Context) {
	t.syncs++
	readers := t.roster.Readers(t.self.GetZone())
	if len(readers) == 0 || t.isPrimary() {
		t.syncWithRandomPeer(ctx)
		return
	}
	primary := t.primary()
	fallback := readers[(primary+1)%len(readers)]
	if t.isSelf(fallback) {
		fallback = readers[primary]
	}
	t.syncWith(ctx, readers[primary].GetAddress(), fallback.GetAddress())
	if t.syncs%randomPeerTurns == 0 {
		t.syncWithRandomPeer(ctx)
	}
}

// primary returns the index of the reader on which this node relies. The hash of its
// name spreads the members of a zone over the primaries.
func (t *membersTask) primary() int {
	primaries := len(t.roster.Primaries(t.self.GetZone()))
	if primaries == 0 {
		return 0
	}
	return int(xxhash.Sum64String(t.vm) % uint64(primaries))
}

// syncWithRandomPeer synchronizes with a random peer.
func (t *membersTask) syncWithRandomPeer(ctx context.Context) {
	others := slices.DeleteFunc(t.roster.Members(), t.isSelf)
	if len(others) > 0 {
		t.syncWith(ctx, others[rand.IntN(len(others))].GetAddress(), "")
	}
}

// syncWith synchronizes with the node at address unless a synchronization with it
// is already in progress. If it fails, the node at the fallback address is tried.
func (t *membersTask) syncWith(ctx context.Context, address, fallback string) {
	if t.syncing[address] {
		return
	}
	t.syncing[address] = true
	seen := t.seen[address]
	request := &pb.SyncRequest{
		ConfigVersion: t.config.knownVersion(),
		SenderAddress: t.self.GetAddress(),
		Self:          t.self,
		MembersDigest: t.roster.Digest(),
		MembersSeen:   seen.changes,
		MembersSeenOf: seen.incarnation,
		StoreEra:      t.config.storeEra.Get().Number(),
	}
	go func() {
		requestedAt := time.Now()
		bounded, cancel := context.WithTimeout(ctx, syncTimeout)
		defer cancel()
		response, err := t.sync(bounded, address, request)
		t.events <- func() {
			if err == nil {
				t.notePeerHolds(address, request.GetSelf())
			}
			t.syncDone(ctx, address, fallback, requestedAt, response, err)
		}
	}()
}

// syncDone processes the result of a synchronization.
func (t *membersTask) syncDone(ctx context.Context, address, fallback string, requestedAt time.Time, response *pb.SyncResponse, err error) {
	delete(t.syncing, address)
	if err == nil {
		t.applySync(address, requestedAt, response)
		t.noteSurvivor(address, time.Duration(response.GetUptimeNanos()))
		t.startupQueryDone(ctx, address, response.GetConfigVersion() > 0)
		t.restorePrevious()
		return
	}
	t.startupQueryDone(ctx, address, false)
	t.logger.Debug("The synchronization with a peer failed.", zap.String("address", address), telemetry.ErrorField(err))
	if fallback != "" && fallback != address {
		t.syncWith(ctx, fallback, "")
	}
}

// applySync merges the response of a peer to a request sent at requestedAt.
func (t *membersTask) applySync(address string, requestedAt time.Time, response *pb.SyncResponse) {
	age := time.Duration(response.GetConfigAgeNanos())
	t.observeReportedEra(era.FromNumber(response.StoreEra), address)
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

// serveSync handles the synchronization request of a peer.
func (t *membersTask) serveSync(ctx context.Context, request *pb.SyncRequest, response *pb.SyncResponse) {
	done := make(chan struct{})
	t.events <- func() {
		defer close(done)
		if request.GetSelf() != nil {
			t.merge([]*pb.RelayMember{request.GetSelf()})
		}
		viewsDiffer := request.GetMembersDigest() != t.roster.Digest()
		t.observeReportedEra(era.FromNumber(request.StoreEra), request.GetSenderAddress())
		if request.GetConfigVersion() > t.config.knownVersion() || viewsDiffer && !t.followsStore() {
			t.syncWith(ctx, request.GetSenderAddress(), "")
		}
		t.addMissing(response, request, viewsDiffer)
		if drained := t.roster.EarlierDrain(request.GetSelf().GetVm()); drained != nil {
			response.Members = append(response.Members, drained)
		}
	}
	<-done
}

// addMissing adds to the response what the sender of the request lacks.
func (t *membersTask) addMissing(response *pb.SyncResponse, request *pb.SyncRequest, viewsDiffer bool) {
	// Read the age before the version: a version that is installed in between only
	// makes this replica fresher than the response states.
	response.ConfigAgeNanos = int64(t.config.tracker.Age(time.Now()))
	response.ConfigVersion = t.config.version()
	response.Config = t.config.documentNewerThan(request.GetConfigVersion())
	response.Incarnation = t.self.GetIncarnation()
	response.MembersCount = t.roster.Changes()
	response.FollowsStore = t.followsStore()
	response.StoreEra = t.config.storeEra.Get().Number()
	response.UptimeNanos = int64(time.Since(t.started))
	if !viewsDiffer {
		return
	}
	seen := uint64(0)
	if request.GetMembersSeenOf() == t.self.GetIncarnation() {
		seen = request.GetMembersSeen()
	}
	response.Members = t.roster.ChangedSince(seen)
}

// observeVersion starts a synchronization if a peer has a newer configuration
// version.
func (t *membersTask) observeVersion(ctx context.Context, address string, version uint64) {
	if version <= t.config.knownVersion() {
		return
	}
	select {
	case t.events <- func() { t.syncWith(ctx, address, "") }:
	default:
		// The queue is full. The peer's next response or the next synchronization
		// reports the version again.
	}
}
