package executor

import (
	"context"
	"time"

	"github.com/primrosemount/primrosemount/core/gate"
	"github.com/primrosemount/primrosemount/core/once"
	"github.com/primrosemount/primrosemount/core/outcome"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// expireInterval is the time between removals of expired keys from the
// deduplication table.
const expireInterval = time.Second

// event is a message to the task.
type event interface {
	apply(t *task, now time.Time)
}

// activeCall is a call that the gate has queued or started.
type activeCall struct {
	id      uint64
	call    *Call
	admit   chan admission
	running *RunningCall
}

// admission is the task's decision about one attempt. Exactly one field is set:
// start if the call was started, replay if its key has a stored outcome, wait
// if an earlier attempt with the same key is in progress, err if it was
// refused.
type admission struct {
	start  *RunningCall
	replay *once.Result
	wait   chan once.Result
	err    *outcome.Error
}

// task owns the gate, the deduplication table and the active calls. Its fields
// are accessed only by the goroutine that executes run.
type task struct {
	executor *Executor
	gate     *gate.Gate
	table    *once.Table
	sequence uint64
	calls    map[uint64]*activeCall
	tokens   map[string]*RunningCall
	waiters  map[string][]chan once.Result
	target   *pb.Announcement
	down     bool
	draining bool
	expireAt time.Time
}

// run processes events until the context is done.
func (t *task) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := time.Now()
		t.advance(now)
		timer.Reset(t.untilNextWake(now))
		select {
		case <-ctx.Done():
			t.abort()
			return
		case e := <-t.executor.events:
			e.apply(t, time.Now())
		case <-timer.C:
		}
	}
}

// advance applies the decisions that the gate has made since the last call,
// removes expired keys and publishes the state of the gate.
func (t *task) advance(now time.Time) {
	for _, e := range t.gate.Poll(now) {
		t.applyDecision(now, t.calls[e.ID], e.Decision)
	}
	if now.After(t.expireAt) {
		t.table.Expire(now)
		t.expireAt = now.Add(expireInterval)
	}
	t.publish()
}

// untilNextWake returns the time until the gate or the table needs the next call
// of advance.
func (t *task) untilNextWake(now time.Time) time.Duration {
	wake := t.expireAt
	if next := t.gate.NextWake(now); !next.IsZero() && next.Before(wake) {
		wake = next
	}
	return max(wake.Sub(now), 0)
}

// abort refuses the queued calls. Started calls are canceled through their
// context.
func (t *task) abort() {
	for _, p := range t.calls {
		if p.running == nil {
			p.admit <- admission{err: outcome.New(outcome.NotRun, outcome.Draining, "the node stops")}
		}
	}
}

// offer is an attempt that requests admission. The task sends the ID of the
// call to id, then its decision to reply.
type offer struct {
	call  *Call
	reply chan admission
	id    chan uint64
}

// apply offers a call without a key to the gate. For a call with a key, the
// deduplication table decides first whether it may start.
func (o *offer) apply(t *task, now time.Time) {
	t.sequence++
	o.id <- t.sequence
	p := &activeCall{id: t.sequence, call: o.call, admit: o.reply}
	if !o.call.keyed() {
		t.admit(now, p)
		return
	}
	request := o.call.Request
	decision := t.lookup(now, o.call)
	switch decision.Kind {
	case once.Start:
		t.admit(now, p)
	case once.Replay:
		o.reply <- admission{replay: decision.Result}
	case once.Wait:
		result := make(chan once.Result, 1)
		t.waiters[request.GetKey()] = append(t.waiters[request.GetKey()], result)
		o.reply <- admission{wait: result}
	default:
		o.reply <- admission{err: decision.Err}
	}
}

// lookup looks up the key of the call in the deduplication table. Unless the
// sender requests only the outcome, it begins the execution for a new key.
func (t *task) lookup(now time.Time, call *Call) once.Decision {
	key := call.Request.GetKey()
	if call.Request.GetQueryOnly() {
		return t.table.Resolve(now, key, call.fingerprint())
	}
	return t.table.Begin(now, key, call.fingerprint(), call.Retention)
}

// admit offers the call to the gate.
func (t *task) admit(now time.Time, p *activeCall) {
	t.calls[p.id] = p
	decision := t.gate.Offer(now, gate.Request{
		ID:            p.id,
		Level:         p.call.level(),
		PriorityBoost: p.call.priorityBoost(),
		Deadline:      p.call.Deadline,
		Operation:     p.call.OperationNumber,
	})
	if decision.Kind != gate.Queue {
		t.applyDecision(now, p, decision)
	}
}

// applyDecision starts or refuses a call as the gate has decided.
func (t *task) applyDecision(now time.Time, p *activeCall, decision gate.Decision) {
	if p == nil {
		return
	}
	if decision.Kind == gate.Start {
		p.running = t.executor.newRunning(p.call, now)
		t.tokens[p.running.Token] = p.running
		p.admit <- admission{start: p.running}
		return
	}
	t.refuse(now, p, &outcome.Error{
		Outcome:    outcome.NotRun,
		Reason:     decision.Reason,
		Detail:     "the gate of the target refused the request",
		RetryAfter: decision.RetryAfter,
	})
}

// refuse ends a call that was not started. It records the outcome of its key and
// passes it to the waiting attempts.
func (t *task) refuse(now time.Time, p *activeCall, err *outcome.Error) {
	delete(t.calls, p.id)
	if p.call.keyed() {
		key := p.call.Request.GetKey()
		t.table.MarkNotStarted(now, key, err.Reason)
		t.notifyWaiters(key, once.Result{Outcome: outcome.NotRun, Reason: err.Reason})
	}
	p.admit <- admission{err: err}
}

// notifyWaiters passes the result of a key to the attempts that wait for it.
func (t *task) notifyWaiters(key string, result once.Result) {
	for _, waiter := range t.waiters[key] {
		waiter <- result
	}
	delete(t.waiters, key)
}

// withdrawal removes a queued attempt whose sender stopped waiting.
type withdrawal struct {
	id uint64
}

func (w *withdrawal) apply(t *task, now time.Time) {
	p, ok := t.calls[w.id]
	if !ok || p.running != nil {
		return
	}
	t.gate.Cancel(now, w.id)
	t.refuse(now, p, outcome.New(outcome.NotRun, outcome.Cancelled, "the sender gave up while the request waited"))
}

// finished reports the end of a started call. The task closes applied when it
// has recorded the result.
type finished struct {
	id       uint64
	received targetResponse
	applied  chan struct{}
}

// apply passes the result of the call to the gate, to the deduplication table,
// and to the attempts that wait for it.
func (f *finished) apply(t *task, now time.Time) {
	defer close(f.applied)
	p, ok := t.calls[f.id]
	if !ok {
		return
	}
	delete(t.calls, f.id)
	delete(t.tokens, p.running.Token)
	t.gate.Done(now, f.id, gate.Sample{
		Operation:  p.call.OperationNumber,
		Latency:    now.Sub(p.running.Started),
		Downstream: p.running.downstreamTime(),
		Refused:    f.received.refused,
		Failed:     f.received.result.Outcome == outcome.Unknown,
	})
	if p.call.keyed() {
		key := p.call.Request.GetKey()
		t.table.Finish(now, key, f.received.result)
		t.notifyWaiters(key, f.received.result)
	}
	if f.received.unreachable {
		t.setDown(true)
	}
}

func (t *task) setDown(down bool) {
	if t.down == down {
		return
	}
	t.down = down
	t.gate.SetDown(down)
	t.executor.logger.Info("target changed state", targetFields(t.target, down)...)
}

// findRunning requests the running call with a token.
type findRunning struct {
	token string
	reply chan *RunningCall
}

func (f *findRunning) apply(t *task, _ time.Time) { f.reply <- t.tokens[f.token] }

// announcement is an update of the target's description and state.
type announcement struct {
	message *pb.Announcement
	slots   int
	queue   int
	reply   chan int
}

// apply updates the target. The gate ramps up if the target is new, has moved to
// another address, or was down.
func (a *announcement) apply(t *task, now time.Time) {
	first := t.target == nil
	moved := !first && t.target.GetAddress() != a.message.GetAddress()
	t.target = a.message
	t.executor.address.Store(a.message.GetAddress())
	t.gate.SetCapacity(a.slots, a.queue)
	ready := a.message.GetState() == pb.TargetState_TARGET_STATE_READY
	if ready && (first || moved || t.down) {
		t.gate.StartRampUp(now)
	}
	if ready || a.message.GetState() == pb.TargetState_TARGET_STATE_DRAINING {
		t.setDown(false)
	} else {
		t.setDown(true)
	}
	a.reply <- len(t.calls)
}

// closing makes the task refuse new calls.
type closing struct {
	reply chan struct{}
}

func (c *closing) apply(t *task, now time.Time) {
	t.draining = true
	t.gate.SetDraining(true)
	t.table.Close(now)
	c.reply <- struct{}{}
}

// export requests the handover messages of the closed deduplication table.
type export struct {
	reply chan []*pb.HandoverRequest
}

func (e *export) apply(t *task, now time.Time) {
	var chunks []*pb.HandoverRequest
	for chunk := range t.table.Export(now) {
		chunks = append(chunks, chunk)
	}
	e.reply <- chunks
}

// listing requests the root ids of the active calls.
type listing struct {
	limit int
	reply chan []string
}

func (l *listing) apply(t *task, _ time.Time) {
	ids := make([]string, 0, min(l.limit, len(t.calls)))
	for _, p := range t.calls {
		if len(ids) == l.limit {
			break
		}
		ids = append(ids, hexID(p.call.Request.GetContext().GetRootId()))
	}
	l.reply <- ids
}

// adoption is one chunk of the deduplication table of another incarnation.
type adoption struct {
	request *pb.HandoverRequest
	reply   chan *pb.HandoverResponse
}

func (a *adoption) apply(t *task, now time.Time) { a.reply <- t.table.Adopt(now, a.request) }

// publish stores the state of the gate, so that it can be read without an event
// to the task.
func (t *task) publish() {
	t.executor.state.Store(&State{
		Threshold:  t.gate.Threshold(),
		InFlight:   t.gate.InFlight(),
		Queued:     t.gate.Queued(),
		Limit:      t.gate.Limit(),
		InProgress: len(t.calls),
		Down:       t.down || t.target == nil,
		Closed:     t.draining,
	})
}
