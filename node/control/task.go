package control

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/catalogue"
	"github.com/primrosemount/primrosemount/core/membership"
	"github.com/primrosemount/primrosemount/core/spread"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/streamlog"
	"github.com/primrosemount/primrosemount/telemetry"
)

const (
	// tickInterval is the time between two checks for due actions, and thus the
	// resolution of all intervals of the task.
	tickInterval = 100 * time.Millisecond
	// refreshInterval is the minimum time between two selections of readers and
	// partners, because each iterates over all members.
	refreshInterval = time.Second
)

// task owns all state of the control task. Only its goroutine accesses it.
type task struct {
	c   *Control
	cfg *Config
	// ctx is the context of the requests that the task starts.
	ctx    context.Context
	rng    *rand.Rand
	logger *zap.Logger
	self   *pb.Member
	// cat and mem hold the states of the catalogue and members streams.
	cat     *spread.CatalogueFold
	mem     *spread.MembersFold
	streams []*stream
	batcher *membership.Batcher
	evictor *membership.Evictor
	links   links
	startup startup
	// desired is the registration that the member table is to show.
	desired registration
	// waiters are the pending calls that wait for the result of a change,
	// leaveWaiters the replies to pending calls of Leave.
	waiters      []*resultWaiter
	leaveWaiters []chan error
	// reader is true while this node polls the log on behalf of its zone.
	reader bool
	// logDown is true if the latest read of the log failed.
	logDown bool
	// dirty is true if the published snapshot is out of date.
	dirty        bool
	nextAppendAt time.Time
	// appending is true while an append of registrations is in progress.
	appending       bool
	nextEvictStepAt time.Time
	// refreshedAt is the time of the latest selection of readers and partners,
	// refreshedOffset the applied offset of the members stream at that time.
	refreshedAt     time.Time
	refreshedOffset uint64
	// registered is true once the member table has shown the incarnation of this
	// node, evictionNotified once its eviction was detected and OnEvicted called.
	registered       bool
	evictionNotified bool
}

// A stream holds the replica of one stream and the state of its reads, pushes and
// checkpoints.
type stream struct {
	name       string
	replica    *spread.Replica
	reading    bool
	nextReadAt time.Time
	// restoring is true while records that the log has lost are being appended.
	restoring bool
	// failures is the number of consecutive failed reads.
	failures int
	// lastReadError is the error of the latest read that returned records which
	// could not be applied; empty if the latest ones could.
	lastReadError string
	// pushing is true if records from the offset pushFrom on are to be pushed to
	// partners.
	pushing  bool
	pushFrom uint64
	// checkpointDueSince is the time at which a checkpoint became due; it is zero
	// while none is due. checkpointing is true while an append of a checkpoint is
	// in progress, and checkpointWrittenAt is the start of the latest one.
	checkpointDueSince  time.Time
	checkpointing       bool
	checkpointWrittenAt time.Time
	// checkpointOffset is the offset up to which the best checkpoint in the log
	// covers the stream, checkpointSeenAt the time when the node first read it (or
	// first looked for one, if there is none).
	checkpointOffset uint64
	checkpointSeenAt time.Time
}

func newTask(c *Control) *task {
	cfg := &c.cfg
	t := &task{
		c:       c,
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, cfg.Self.GetIncarnation())),
		logger:  cfg.Logger,
		self:    cfg.Self,
		cat:     &spread.CatalogueFold{State: catalogue.NewState()},
		mem:     &spread.MembersFold{State: membership.NewState()},
		batcher: membership.NewBatcher(),
		evictor: membership.NewEvictor(cfg.Self.GetIncarnation(), cfg.Self.GetAvailabilityZone()),
		links:   newLinks(),
		reader:  true,
	}
	t.cat.OnEffect = t.handleCatalogueEffect
	t.mem.OnEffect = t.handleMembersEffect
	t.streams = []*stream{
		{name: streamlog.CatalogueStream, replica: spread.NewReplica(streamlog.CatalogueStream, t.cat)},
		{name: streamlog.MembersStream, replica: spread.NewReplica(streamlog.MembersStream, t.mem)},
	}
	return t
}

// run handles messages and ticks until ctx is done.
func (t *task) run(ctx context.Context) {
	t.ctx = ctx
	t.scheduleFirstRead(time.Now())
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	t.handle(tick{})
	for {
		select {
		case m := <-t.c.inbox:
			t.handle(m)
		case <-ticker.C:
			t.handle(tick{})
		case <-ctx.Done():
			return
		}
	}
}

// handle handles one message and then publishes a new snapshot if necessary.
func (t *task) handle(m message) {
	start := time.Now()
	m.handle(t)
	changed := t.dirty
	// The snapshot is published before callers receive replies, so that a caller
	// that has received the result of a change or leave finds it in the snapshot.
	t.publish()
	if changed {
		t.handleStateChange()
	}
	t.c.stats.addProcessing(m.kind(), time.Since(start))
}

// spawn runs a request in a new goroutine, which sends the result to the task as a
// message.
func (t *task) spawn(request func(ctx context.Context) message) {
	ctx := t.ctx
	t.c.requests.Go(func() {
		m := request(ctx)
		select {
		case t.c.inbox <- m:
		case <-t.c.done:
		}
	})
}

// jitter returns a random duration between 2/3 and 4/3 of d, so that the actions
// of different nodes do not coincide.
func (t *task) jitter(d time.Duration) time.Duration {
	third := int64(d / 3)
	return d + time.Duration(t.rng.Int64N(2*third+1)-third)
}

func (t *task) stream(name string) *stream {
	for _, s := range t.streams {
		if s.name == name {
			return s
		}
	}
	return nil
}

func (t *task) members() *membership.Snapshot { return t.mem.State.Snapshot() }

// advanced records that the applied offset of a stream has advanced from before.
// If push is true, the newly applied records are pushed to partners.
func (t *task) advanced(s *stream, before uint64, push bool) {
	t.dirty = true
	if !push || s.pushing {
		return
	}
	s.pushing = true
	s.pushFrom = before
}

// handleStateChange replies to callers and checks the registration after a change
// of the state.
func (t *task) handleStateChange() {
	t.replyToWaiters()
	t.checkRegistration()
}

func (t *task) handleCatalogueEffect(effect catalogue.Effect) {
	if effect.Skipped != nil {
		t.logger.Warn("control: skipped a catalogue record", telemetry.ErrorField(effect.Skipped))
	}
}

func (t *task) handleMembersEffect(effect membership.Effect) {
	if effect.Skipped != nil {
		t.logger.Warn("control: skipped a members record", telemetry.ErrorField(effect.Skipped))
	}
	for _, d := range effect.Removed {
		if d.Evicted {
			t.evictor.Evicted(time.Now(), d.Member)
		}
	}
}

func (t *task) snapshot() Snapshot {
	cat := t.stream(streamlog.CatalogueStream).replica
	mem := t.stream(streamlog.MembersStream).replica
	return Snapshot{
		Catalogue:         t.cat.State.Snapshot(),
		Members:           t.mem.State.Snapshot(),
		CatalogueKnown:    cat.Known(),
		MembersKnown:      mem.Known(),
		CataloguePosition: cat.Next(),
		MembersPosition:   mem.Next(),
		CatalogueEra:      cat.Era(),
		MembersEra:        mem.Era(),
		Reader:            t.reader,
		LogDown:           t.logDown,
	}
}

func (t *task) publish() {
	if !t.dirty {
		return
	}
	t.dirty = false
	old := t.c.current.Load()
	t.c.current.Store(&published{snapshot: t.snapshot(), replaced: make(chan struct{})})
	close(old.replaced)
}

// tick is the message that is handled every tickInterval.
type tick struct{}

func (tick) kind() Kind { return KindTick }

func (tick) handle(t *task) {
	now := time.Now()
	t.refresh(now)
	t.pollLog(now)
	t.exchangeIfDue(now)
	t.pushRecords()
	t.registerIfDue(now)
	t.appendIfDue(now)
	t.evictIfDue(now)
	t.checkpointIfDue(now)
}

// refresh selects readers and partners after a change of the member table.
func (t *task) refresh(now time.Time) {
	next := t.mem.State.Next()
	if now.Sub(t.refreshedAt) < refreshInterval || (next == t.refreshedOffset && !t.refreshedAt.IsZero()) {
		return
	}
	t.refreshedAt = now
	t.refreshedOffset = next
	members := t.members()
	t.links.setPartners(spread.Partners(members, t.self.GetIncarnation(), t.self.GetAvailabilityZone()))
	t.setReader(t.isReader(members))
}

func (t *task) setReader(reader bool) {
	if reader != t.reader {
		t.dirty = true
	}
	t.reader = reader
}

// isReader reports whether this node is a reader of its zone, which is also the
// case while the zone has no members. It compares addresses as well, because after
// a restart the table still contains the previous incarnation of this node.
func (t *task) isReader(members *membership.Snapshot) bool {
	readers := spread.Readers(members, t.self.GetAvailabilityZone())
	if len(readers) == 0 {
		return true
	}
	for _, m := range readers {
		if m.Incarnation == t.self.GetIncarnation() || m.Address == t.self.GetNodeAddress() {
			return true
		}
	}
	return false
}
