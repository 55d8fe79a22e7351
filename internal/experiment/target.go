package experiment

import (
	"math"
	"time"

	"github.com/primrosemount/primrosemount/core/gate"
	"github.com/primrosemount/primrosemount/core/limit"
	"github.com/primrosemount/primrosemount/core/outcome"
)

// contentionExponent is the exponent by which the self time increases when a target
// processes more requests than it has processors. Above 1, throughput decreases with
// further load.
const contentionExponent = 1.2

// unlimitedSlots is the number of slots of a gate that admits all requests.
const unlimitedSlots = 1 << 16

// target is one target with its node: a gate of the core in front of a model of the
// process.
type target struct {
	node
	run      *run
	spec     *serviceSpec
	index    int
	zone     int
	gate     *gate.Gate
	calls    map[uint64]*call
	nextWake time.Duration // time of the earliest scheduled wake-up; 0 if none

	up bool
	// coldSince is the time of the last cold start; 0 if there was none.
	coldSince time.Duration
	// heldSlots is the number of slots in use, working the number of requests in their
	// self time.
	heldSlots int
	working   int
	// backlog holds the started calls that wait for a slot.
	backlog []*call
	// latency is a moving average of the latency of responses, used by the router.
	latency float64
}

// call is one attempt of one operation at one target.
type call struct {
	id            uint64
	attempt       *attempt
	op            *operation
	target        *target
	reply         func(result)
	started       time.Duration
	priorityBoost outcome.Level
	// downstream is the time that the call has waited for its own calls.
	downstream time.Duration
	state      callState
}

// callState is the state of a call: waiting in the queue of the gate, running in the
// process, or ended.
type callState uint8

const (
	waiting callState = iota
	running
	ended
)

// result is the result of a call as its caller sees it.
type result struct {
	ok     bool
	reason outcome.Reason
	// notRun reports that the target did not start the call.
	notRun     bool
	retryAfter time.Duration
	// threshold is the highest level that is admitted for the operation, taking into
	// account the services that it calls.
	threshold outcome.Level
}

func newTarget(r *run, service, index int) *target {
	spec := &r.graph.services[service]
	t := &target{run: r, spec: spec, index: index, zone: index % r.graph.zones, up: true}
	t.calls = make(map[uint64]*call)
	t.node.init(r)
	config := gate.Config{Slots: spec.slots, Limit: limit.Config{Fixed: !r.policy.adaptiveLimit}}
	if !r.policy.gate {
		config = gate.Config{Slots: unlimitedSlots, AdmitAll: true, Limit: limit.Config{Fixed: true}}
	}
	t.gate = gate.New(config, r.clock.time())
	return t
}

// offerCall passes a call to the gate.
func (t *target) offerCall(c *call) {
	t.run.nextID++
	c.id = t.run.nextID
	c.target = t
	c.attempt.activeCalls = append(c.attempt.activeCalls, c)
	t.calls[c.id] = c
	request := gate.Request{ID: c.id, Level: t.run.level(c.attempt), Operation: c.op.number, PriorityBoost: c.priorityBoost}
	if t.run.policy.gate {
		request.Deadline = epoch.Add(c.attempt.deadline)
	}
	switch d := t.gate.Offer(t.run.clock.time(), request); d.Kind {
	case gate.Start:
		t.startCall(c)
	case gate.Refuse:
		t.refuse(c, d)
	}
	t.handleDecisions()
}

// handleDecisions starts and refuses queued calls as the gate has decided.
func (t *target) handleDecisions() {
	for _, e := range t.gate.Poll(t.run.clock.time()) {
		c := t.calls[e.ID]
		if e.Kind == gate.Start {
			t.startCall(c)
			continue
		}
		t.refuse(c, e.Decision)
	}
	t.schedule()
}

// schedule sets a timer for the next wake-up that the gate requests.
func (t *target) schedule() {
	next := t.gate.NextWake(t.run.clock.time())
	if next.IsZero() {
		return
	}
	at := next.Sub(epoch)
	if t.nextWake > t.run.clock.now && t.nextWake <= at {
		return
	}
	t.nextWake = at
	t.run.clock.after(at-t.run.clock.now, func() {
		if t.nextWake == at {
			t.nextWake = 0
			t.handleDecisions()
		}
	})
}

// refuse responds to a call that was not started.
func (t *target) refuse(c *call, d gate.Decision) {
	t.endCall(c, result{reason: d.Reason, notRun: true, retryAfter: d.RetryAfter})
}

// endCall removes a call and sends its response.
func (t *target) endCall(c *call, res result) {
	c.state = ended
	delete(t.calls, c.id)
	c.attempt.close(c)
	res.threshold = t.operationThreshold(c.op)
	c.reply(res)
}

// startCall passes a call to the process, which queues it if all slots are in use and
// refuses it if all connections are.
func (t *target) startCall(c *call) {
	c.state = running
	c.started = t.run.clock.now
	if t.heldSlots < t.spec.slots {
		t.process(c)
		return
	}
	if len(t.backlog) >= t.spec.connections-t.spec.slots {
		t.finish(c, result{reason: outcome.TargetRefused, notRun: true}, limit.Sample{Refused: true})
		return
	}
	t.backlog = append(t.backlog, c)
}

// process occupies a slot for the first half of the self time, the calls, and the
// second half of the self time.
func (t *target) process(c *call) {
	t.heldSlots++
	t.work(c, func() { t.callNext(c, 0) })
}

// work simulates half of the self time of a call.
func (t *target) work(c *call, then func()) {
	t.working++
	duration := t.selfTime(c.op) / 2
	t.run.clock.after(duration, func() {
		if c.state == ended {
			return
		}
		t.working--
		c.attempt.root.work += duration
		then()
	})
	c.attempt.working = true
	c.attempt.workFrom = t.run.clock.now
}

// selfTime returns a random duration of the self time of an operation under the current
// conditions.
func (t *target) selfTime(op *operation) time.Duration {
	work := float64(op.work) * t.run.gamma()
	work *= t.run.slowdown(t)
	processors := float64(t.spec.slots) * t.run.processors(t)
	if overcommit := float64(t.working) / processors; overcommit > 1 {
		work *= math.Pow(overcommit, contentionExponent)
	}
	return time.Duration(work)
}

// callNext makes the calls of an operation one after the other, starting with the call
// of index i.
func (t *target) callNext(c *call, i int) {
	c.attempt.working = false
	if i == len(c.op.calls) {
		t.work(c, func() { t.finish(c, result{ok: true}, limit.Sample{}) })
		return
	}
	from := t.run.clock.now
	t.send(c.attempt, c.op.calls[i], func(res result) {
		if c.state == ended {
			return
		}
		c.downstream += t.run.clock.now - from
		if !res.ok {
			res = result{reason: outcome.DoomedDownstream, retryAfter: res.retryAfter}
			t.finish(c, res, limit.Sample{Failed: true})
			return
		}
		c.attempt.completedCalls++
		t.callNext(c, i+1)
	})
}

// finish ends a started call, frees its slot and reports the sample to the gate.
func (t *target) finish(c *call, res result, s limit.Sample) {
	if !s.Refused {
		t.releaseSlot()
	}
	s.Latency = t.run.clock.now - c.started
	s.Downstream = c.downstream
	t.observeLatency(s)
	t.gate.Done(t.run.clock.time(), c.id, s)
	t.endCall(c, res)
	t.handleDecisions()
}

// observeLatency updates the average latency that the router uses.
func (t *target) observeLatency(s limit.Sample) {
	if s.Failed || s.Refused {
		return
	}
	if t.latency == 0 {
		t.latency = float64(s.Latency)
	}
	t.latency += (float64(s.Latency) - t.latency) / 16
}

// releaseSlot frees a slot and starts calls of the backlog that have not been canceled.
func (t *target) releaseSlot() {
	t.heldSlots--
	for len(t.backlog) > 0 && t.heldSlots < t.spec.slots {
		next := t.backlog[0]
		t.backlog = t.backlog[1:]
		if next.state == running {
			t.process(next)
		}
	}
}

// cancel ends a call whose root request has reached its deadline.
func (t *target) cancel(c *call) {
	switch c.state {
	case waiting:
		t.gate.Cancel(t.run.clock.time(), c.id)
		t.endCall(c, result{reason: outcome.Cancelled, notRun: true})
		t.handleDecisions()
	case running:
		if c.attempt.working {
			t.working--
			c.attempt.working = false
			c.attempt.root.work += t.run.clock.now - c.attempt.workFrom
		}
		t.finish(c, result{reason: outcome.Cancelled}, limit.Sample{Failed: true})
	}
}
