package relay

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/gate"
	"github.com/primrosemount/primrosemount/core/limit"
	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/core/targetstate"
)

const (
	// gateQueueSize is the number of events that may be queued for the gate task.
	gateQueueSize = 256
	// downPeriod is how long nothing is sent to the target after it refused a
	// connection.
	downPeriod = 300 * time.Millisecond
	// slotReserveDivisor is the fraction of the slots, as a divisor, that is kept
	// free. See usableSlots.
	slotReserveDivisor = 13
	// defaultSlots applies until the target has announced its number of slots, that
	// is, of requests that it can process at the same time.
	defaultSlots = 1
)

// gateView is a snapshot of the gate's state for other goroutines.
type gateView struct {
	// target is the latest announcement of the target. It is replaced, not modified.
	target *targetstate.Announcement
	// serving is set if new requests may be sent to the target.
	serving bool
	// draining is set if the target is draining or the node is stopping.
	draining bool
	// targetDraining is set if the target has announced that it is draining.
	targetDraining bool
	// drained holds other incarnations of the target that have drained. It is replaced, not
	// modified.
	drained []targetstate.Incarnation
	// down is set for downPeriod after the target refused a connection.
	down      bool
	threshold outcome.Level
	inFlight  int
	queued    int
	limit     int
	// work is the work that the target has left. It is zero unless reports carry it.
	work gate.Work
}

// admission is the decision of the gate about one request.
type admission struct {
	gate.Decision
	// id is the number of the request at the gate.
	id uint64
	// targetID is the incarnation of the target to which the request may be sent.
	targetID string
	waited   time.Duration
}

// gateTask owns the gate in front of the target and the state of the target. Only
// the goroutine that runs run accesses the fields from gate on.
type gateTask struct {
	events chan func(now time.Time)
	view   atomic.Pointer[gateView]
	// changed is called in the goroutine of the task when the announced state of
	// the target changes.
	changed func(gateView)

	// maxConnections returns the number of connections that a target of a service
	// accepts, or 0 if it is unknown.
	maxConnections func(service string) int
	// reportsWork reports whether reports carry the work left. Its sum takes time with
	// each change of the gate.
	reportsWork func() bool

	gate  *gate.Gate
	state *targetstate.State
	// target and drained are the values in the snapshots, as of the last change of state.
	target  *targetstate.Announcement
	drained []targetstate.Incarnation
	// sequence is the number of the last request offered to the gate.
	sequence uint64
	// waiting holds the requests that wait for a decision, by number.
	waiting   map[uint64]chan admission
	stopping  bool
	downUntil time.Time
	// logger logs changes of the threshold and of the target's state, and the load.
	logger *zap.Logger
	// loggedThreshold is the threshold as of the last log line about it.
	loggedThreshold outcome.Level
	load            loadMeter
}

func newGateTask(address, service string, maxConnections func(string) int, logger *zap.Logger, changed func(gateView)) *gateTask {
	now := time.Now()
	t := &gateTask{
		events:         make(chan func(time.Time), gateQueueSize),
		changed:        changed,
		maxConnections: maxConnections,
		// The caller replaces this function.
		reportsWork: func() bool { return false },
		gate: gate.New(gate.Config{
			Slots: defaultSlots,
			// The limit is fixed at the announced slots, which are reliable. An
			// adaptive limit would measure the wrong thing: the latency of a
			// request includes waits for deeper services, which do not depend on
			// the target's own concurrency.
			Limit: limit.Config{Fixed: true},
		}, now),
		state:           targetstate.New(address, service),
		waiting:         make(map[uint64]chan admission),
		logger:          logger,
		loggedThreshold: outcome.MaxLevel,
		load:            loadMeter{since: now},
	}
	t.load.reported.Store(&gateTotals{})
	t.target = &targetstate.Announcement{}
	t.gate.SetDown(true)
	t.publish()
	return t
}

// run processes events until the context ends.
func (t *gateTask) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var timerEnds time.Time
	for {
		now := time.Now()
		t.advance(now)
		// A timer that ends early only costs one more turn of the loop, so it is set
		// again only if it would end too late.
		if wake := t.nextWake(now); wake.Before(timerEnds) || !timerEnds.After(now) {
			timer.Reset(wake.Sub(now))
			timerEnds = wake
		}
		select {
		case <-ctx.Done():
			return
		case event := <-t.events:
			now := time.Now()
			t.state.Advance(now)
			event(now)
		case <-timer.C:
			timerEnds = time.Time{}
		}
	}
}

// advance delivers the decisions that the gate has made by now.
func (t *gateTask) advance(now time.Time) {
	if !t.downUntil.IsZero() && now.After(t.downUntil) {
		t.downUntil = time.Time{}
		t.applyState()
	}
	for _, e := range t.gate.Poll(now) {
		t.respond(e.ID, admission{Decision: e.Decision, waited: e.Waited})
	}
	t.publish()
	t.logThreshold()
	t.logLoad(now)
}

// logThreshold writes a log line when the gate starts or stops shedding a class.
func (t *gateTask) logThreshold() {
	threshold := t.gate.Threshold()
	if threshold.Class() == t.loggedThreshold.Class() && (threshold == outcome.MaxLevel) == (t.loggedThreshold == outcome.MaxLevel) {
		return
	}
	t.logger.Info("The gate changes what it admits.", zap.Uint16("threshold", uint16(threshold)),
		zap.Uint16("before", uint16(t.loggedThreshold)), zap.Int("in_flight", t.gate.InFlight()),
		zap.Int("queued", t.gate.Queued()), zap.Int("limit", t.gate.Limit()))
	t.loggedThreshold = threshold
}

func (t *gateTask) respond(id uint64, a admission) {
	reply, ok := t.waiting[id]
	if !ok {
		return
	}
	delete(t.waiting, id)
	a.id = id
	a.targetID = t.target.TargetID
	reply <- a
}

// nextWake returns the time at which the state of the gate may change without an event,
// at most a second after now.
func (t *gateTask) nextWake(now time.Time) time.Time {
	wake := now.Add(time.Second)
	if next := t.gate.NextWake(now); !next.IsZero() && next.Before(wake) {
		wake = next
	}
	if !t.downUntil.IsZero() && t.downUntil.Before(wake) {
		wake = t.downUntil
	}
	return wake
}

// publish updates the snapshot of the gate's state for other goroutines.
func (t *gateTask) publish() {
	view := &gateView{
		target:         t.target,
		serving:        t.state.Serving() && !t.stopping,
		draining:       t.state.IsDraining() || t.stopping,
		targetDraining: t.state.IsDraining(),
		drained:        t.drained,
		down:           !t.downUntil.IsZero(),
		threshold:      t.gate.Threshold(),
		inFlight:       t.gate.InFlight(),
		queued:         t.gate.Queued(),
		limit:          t.gate.Limit(),
	}
	if t.reportsWork() {
		view.work = t.gate.Work()
	}
	t.view.Store(view)
}

// offer requests admission and waits for the decision. A request whose context ends
// while it waits is removed from the queue.
func (t *gateTask) offer(ctx context.Context, request gate.Request) (admission, bool) {
	reply := make(chan admission, 1)
	var id uint64
	t.events <- func(now time.Time) {
		t.sequence++
		id = t.sequence
		request.ID = id
		t.waiting[id] = reply
		decision := t.gate.Offer(now, request)
		if decision.Kind != gate.Queue {
			t.respond(id, admission{Decision: decision})
		}
	}
	select {
	case a := <-reply:
		return a, true
	case <-ctx.Done():
		return t.cancelOffer(reply, &id)
	}
}

// cancelOffer removes a request from the queue. If the request was admitted in the
// meantime, the admission is returned and the caller must end it with done.
func (t *gateTask) cancelOffer(reply chan admission, id *uint64) (admission, bool) {
	removed := make(chan bool, 1)
	t.events <- func(now time.Time) {
		found := t.gate.Cancel(now, *id)
		if found {
			delete(t.waiting, *id)
		}
		removed <- found
	}
	if <-removed {
		return admission{}, false
	}
	return <-reply, true
}

// done ends an admitted request.
func (t *gateTask) done(id uint64, sample gate.Sample, end runSummary) {
	t.events <- func(now time.Time) {
		t.gate.Done(now, id, sample)
		t.load.add(end)
	}
}

// unreachable records that the target refused a connection.
func (t *gateTask) unreachable(targetID string) {
	t.events <- func(now time.Time) {
		if t.state.Current().TargetID != targetID {
			return
		}
		t.downUntil = now.Add(downPeriod)
		t.applyState()
	}
}

// announce applies an announcement of the target and returns once it is in effect.
func (t *gateTask) announce(a targetstate.Announcement) error {
	result := make(chan error, 1)
	t.events <- func(time.Time) {
		changed, err := t.state.Apply(a)
		if err == nil && changed {
			t.downUntil = time.Time{}
			t.applyState()
			t.notify()
		}
		result <- err
	}
	return <-result
}

// drainTarget records that an incarnation of the target is draining and returns once that
// is in effect. It returns targetstate.ErrDrainIgnored if it is not.
func (t *gateTask) drainTarget(left targetstate.Incarnation) error {
	result := make(chan error, 1)
	t.events <- func(time.Time) {
		changed, err := t.state.Leave(left)
		t.stateChanged(changed)
		result <- err
	}
	return <-result
}

// stateChanged passes on a change of the current announcement of the target, or of the
// incarnations that have drained.
func (t *gateTask) stateChanged(changed bool) {
	if changed || !slices.Equal(t.drained, t.state.Drained()) {
		t.applyState()
		t.notify()
	}
}

// restore applies the state of the target that an earlier incarnation of this node
// had published.
func (t *gateTask) restore(published targetstate.Announcement, final bool) {
	t.events <- func(time.Time) {
		t.state.Restore(published, final)
		t.applyState()
		t.notify()
	}
}

// recordDraining applies a record of an earlier incarnation of this node which says
// that the target is draining.
func (t *gateTask) recordDraining(published targetstate.Announcement) {
	t.events <- func(time.Time) { t.stateChanged(t.state.RecordDraining(published)) }
}

// recordDrained applies a record of an earlier incarnation of this node about other
// incarnations of the target that have drained.
func (t *gateTask) recordDrained(drained []targetstate.Incarnation) {
	t.events <- func(time.Time) { t.stateChanged(t.state.RecordDrained(drained)) }
}

// reconfigure replaces the target after a change of the settings.
func (t *gateTask) reconfigure(address, service string) {
	t.events <- func(time.Time) {
		t.state.Reconfigure(address, service)
		t.applyState()
		t.notify()
	}
}

// stop makes the gate refuse all new requests, because this node is stopping.
func (t *gateTask) stop() {
	done := make(chan struct{})
	t.events <- func(time.Time) {
		t.stopping = true
		t.applyState()
		t.publish()
		close(done)
	}
	<-done
}

// applyState updates the gate from the state of the target.
func (t *gateTask) applyState() {
	current := t.state.Current()
	t.target, t.drained = &current, t.state.Drained()
	slots := current.Slots
	if bound := t.maxConnections(current.Service); bound > 0 {
		slots = min(slots, bound)
	}
	t.gate.SetCapacity(usableSlots(slots), 0)
	t.gate.SetDraining(t.state.IsDraining() || t.stopping)
	t.gate.SetDown(!t.state.Serving() && !t.state.IsDraining() || !t.downUntil.IsZero())
}

// usableSlots keeps some slots free: targets slow down when they are nearly full,
// and health checks and new connections occupy a slot for a short time.
func usableSlots(slots int) int {
	return max(slots-slots/slotReserveDivisor, defaultSlots)
}

func (t *gateTask) notify() {
	t.publish()
	view := t.view.Load()
	t.logger.Info("The state of the target changes.", zap.String("target", view.target.TargetID), zap.Uint64("sequence", view.target.Sequence),
		zap.Int64("born", view.target.StartMillis), zap.Int("slots", view.target.Slots), zap.Bool("serving", view.serving),
		zap.Bool("leaving", view.targetDraining), zap.Bool("recalled", t.state.Restored()), zap.Int("others_left", len(view.drained)))
	t.changed(*view)
}
