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
	// tickInterval is the resolution of all intervals of the task.
	tickInterval = 100 * time.Millisecond
	// refreshInterval bounds how often readers and partners are chosen anew; it
	// takes a pass over all members.
	refreshInterval = time.Second
)

// task owns all state of the control task.
type task struct {
	c            *Control
	cfg          *Config
	ctx          context.Context
	rng          *rand.Rand
	logger       *zap.Logger
	self         *pb.Member
	cat          *spread.CatalogueFold
	mem          *spread.MembersFold
	streams      []*stream
	batcher      *membership.Batcher
	evictor      *membership.Evictor
	links        links
	startup      startup
	desired      registration
	waiters      []*resultWaiter
	leaveWaiters []chan error
	reader       bool
	logDown      bool
	dirty        bool
	nextAppendAt time.Time
	// appending tells that an append of registrations is in progress.
	appending       bool
	nextEvictStepAt time.Time
	refreshedAt     time.Time
	refreshedOffset uint64
	// seen tells that the fold has shown the registered incarnation; told, that
	// its eviction was reported.
	registered       bool
	evictionNotified bool
}

// stream is one stream and the state of its reads and checkpoints.
type stream struct {
	name       string
	replica    *spread.Replica
	reading    bool
	nextReadAt time.Time
	failures   int
	// warned is the last fault of a read that was logged.
	lastReadError string
	// pushFrom is the lowest offset to push; valid if pushing.
	pushing  bool
	pushFrom uint64
	// dueSince is when a checkpoint became due; zero if it is not due.
	checkpointDueSince  time.Time
	checkpointing       bool
	checkpointWrittenAt time.Time
	// coveredAt is when the best checkpoint on the log was first seen.
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

func (t *task) handle(m message) {
	start := time.Now()
	m.handle(t)
	changed := t.dirty
	// The snapshot comes before the answers, so that whoever got the result of
	// a change or of a registration finds it in the snapshot.
	t.publish()
	if changed {
		t.handleStateChange()
	}
	t.c.stats.addProcessing(m.kind(), time.Since(start))
}

// spawn runs a request outside the task; its result is the next message.
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

// jitter returns d plus or minus a third, so that nodes do not act in step.
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

// moved notes that the offset in force of a stream has moved from before.
// Records that were learned while the stream was known are pushed.
func (t *task) advanced(s *stream, before uint64, push bool) {
	t.dirty = true
	if !push || s.pushing {
		return
	}
	s.pushing = true
	s.pushFrom = before
}

// settle does what follows from a changed state.
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

// refresh chooses readers and partners anew after a change of the members.
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

// isReader compares addresses as well, because after a restart the table
// still holds the earlier incarnation of this node.
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
