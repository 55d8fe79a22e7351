package relay

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/gate"
	"github.com/primrosemount/primrosemount/core/limit"
	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/core/targetstate"
)

const (
	// gateEvents is the number of messages that may wait for the gate task.
	gateQueueSize = 256
	// downFor is the time without sends after the target refused a connection.
	downPeriod = 300 * time.Millisecond
	// slotReserve is the part of the slots, as a divisor, that is left free.
	slotReserveDivisor = 13
	// defaultSlots holds until the target has told its slots.
	defaultSlots = 1
)

// gateView is a copy of the gate's state for other tasks.
type gateView struct {
	target  targetstate.Announcement
	serving bool
	// leaving tells that the target leaves or the node stops.
	draining bool
	// targetLeaving tells that the target said so itself.
	targetDraining bool
	down           bool
	threshold      outcome.Level
	inFlight       int
	queued         int
	limit          int
}

// admission is the answer to one request for admission.
type admission struct {
	gate.Decision
	// id is the number of the request at the gate.
	id uint64
	// targetID is the life of the target that the request may be sent to.
	targetID string
	waited   time.Duration
}

// gateTask owns the gate in front of the target and the state of the target.
// Only its own goroutine touches the unexported fields below events and view.
type gateTask struct {
	events chan func(now time.Time)
	view   atomic.Pointer[gateView]
	// changed is called in the goroutine of the task when the announced state of
	// the target changed.
	changed func(gateView)

	// connections returns how many connections a target of a service accepts; 0
	// if that is not known.
	maxConnections func(service string) int

	gate      *gate.Gate
	state     *targetstate.State
	sequence  uint64
	waiting   map[uint64]chan admission
	stopping  bool
	downUntil time.Time
	// logger tells of changes of what the gate admits.
	logger *zap.Logger
	// logged is the threshold of the last line about it.
	logged outcome.Level
	load   loadMeter
}

func newGateTask(address, service string, maxConnections func(string) int, logger *zap.Logger, changed func(gateView)) *gateTask {
	now := time.Now()
	t := &gateTask{
		events:         make(chan func(time.Time), gateQueueSize),
		changed:        changed,
		maxConnections: maxConnections,
		gate: gate.New(gate.Config{
			Slots: defaultSlots,
			// The target tells its slots and does not lie about them, and the time
			// of a request contains waits for deeper services, which says nothing
			// about the target's own concurrency.
			Limit: limit.Config{Fixed: true},
		}, now),
		state:   targetstate.New(address, service),
		waiting: make(map[uint64]chan admission),
		logger:  logger,
		logged:  outcome.MaxLevel,
		load:    loadMeter{since: now},
	}
	t.load.reported.Store(&gateTotals{})
	t.gate.SetDown(true)
	t.publish()
	return t
}

// run applies messages until the context ends.
func (t *gateTask) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := time.Now()
		t.advance(now)
		timer.Reset(t.untilWake(now))
		select {
		case <-ctx.Done():
			return
		case event := <-t.events:
			event(time.Now())
		case <-timer.C:
		}
	}
}

// advance answers the requests that the gate has decided about.
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

// logThreshold writes a line when the gate begins or ceases to shed a class.
func (t *gateTask) logThreshold() {
	threshold := t.gate.Threshold()
	if threshold.Class() == t.logged.Class() && (threshold == outcome.MaxLevel) == (t.logged == outcome.MaxLevel) {
		return
	}
	t.logger.Info("The gate changes what it admits.", zap.Uint16("threshold", uint16(threshold)),
		zap.Uint16("before", uint16(t.logged)), zap.Int("in_flight", t.gate.InFlight()),
		zap.Int("queued", t.gate.Queued()), zap.Int("limit", t.gate.Limit()))
	t.logged = threshold
}

func (t *gateTask) respond(id uint64, a admission) {
	reply, ok := t.waiting[id]
	if !ok {
		return
	}
	delete(t.waiting, id)
	a.id = id
	a.targetID = t.state.Current().TargetID
	reply <- a
}

func (t *gateTask) untilWake(now time.Time) time.Duration {
	wake := now.Add(time.Second)
	if next := t.gate.NextWake(now); !next.IsZero() && next.Before(wake) {
		wake = next
	}
	if !t.downUntil.IsZero() && t.downUntil.Before(wake) {
		wake = t.downUntil
	}
	return max(wake.Sub(now), 0)
}

func (t *gateTask) publish() {
	t.view.Store(&gateView{
		target:         t.state.Current(),
		serving:        t.state.Serving() && !t.stopping,
		draining:       t.state.Leaving() || t.stopping,
		targetDraining: t.state.Leaving(),
		down:           !t.downUntil.IsZero(),
		threshold:      t.gate.Threshold(),
		inFlight:       t.gate.InFlight(),
		queued:         t.gate.Queued(),
		limit:          t.gate.Limit(),
	})
}

// offer asks for admission and waits for the decision. A request whose context
// ends while it waits is taken out of the queue.
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

// withdraw takes a request out of the queue. If it was admitted meanwhile, the
// admission is returned and must be ended by done.
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

// unreachable notes that the target refused a connection.
func (t *gateTask) unreachable(targetID string) {
	t.events <- func(now time.Time) {
		if t.state.Current().TargetID != targetID {
			return
		}
		t.downUntil = now.Add(downPeriod)
		t.applyState()
	}
}

// announce takes in an announcement of the target and waits until it counts.
func (t *gateTask) announce(a targetstate.Announcement) error {
	result := make(chan error, 1)
	t.events <- func(time.Time) {
		changed, err := t.state.Announce(a)
		if err == nil && changed {
			t.downUntil = time.Time{}
			t.applyState()
			t.notify()
		}
		result <- err
	}
	return <-result
}

// leave takes in that the target leaves and waits until it counts.
func (t *gateTask) drainTarget(targetID string) {
	result := make(chan struct{})
	t.events <- func(time.Time) {
		if t.state.Leave(targetID) {
			t.applyState()
			t.notify()
		}
		close(result)
	}
	<-result
}

// recall passes on what an earlier life of this node had published.
func (t *gateTask) restore(published targetstate.Announcement, final bool) {
	t.events <- func(time.Time) {
		t.state.Recall(published, final)
		t.applyState()
		t.notify()
	}
}

// reconfigure changes the target after a change of the settings.
func (t *gateTask) reconfigure(address, service string) {
	t.events <- func(time.Time) {
		t.state.Reconfigure(address, service)
		t.applyState()
		t.notify()
	}
}

// stop refuses new work from now on, for the stop of this node.
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

// applyState passes the state of the target on to the gate.
func (t *gateTask) applyState() {
	current := t.state.Current()
	slots := current.Slots
	if bound := t.maxConnections(current.Service); bound > 0 {
		slots = min(slots, bound)
	}
	t.gate.SetCapacity(usableSlots(slots), 0)
	t.gate.SetDraining(t.state.Leaving() || t.stopping)
	t.gate.SetDown(!t.state.Serving() && !t.state.Leaving() || !t.downUntil.IsZero())
}

// usableSlots leaves some slots free: targets slow down when they are nearly
// full, and a health check or a new connection holds a slot for a moment.
func usableSlots(slots int) int {
	return max(slots-slots/slotReserveDivisor, defaultSlots)
}

func (t *gateTask) notify() {
	t.publish()
	view := t.view.Load()
	t.logger.Info("The state of the target changes.", zap.String("target", view.target.TargetID), zap.Uint64("sequence", view.target.Sequence),
		zap.Int64("born", view.target.BornMillis), zap.Int("slots", view.target.Slots), zap.Bool("serving", view.serving),
		zap.Bool("leaving", view.targetDraining), zap.Bool("recalled", t.state.Recalled()))
	t.changed(*view)
}
