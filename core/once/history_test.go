package once

import (
	"container/heap"
	"flag"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/outcome"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// The history check runs callers, entry nodes, executors with real tables, and
// targets in simulated time under random faults. It compares the replies that
// callers received with what the targets executed.

var (
	historySeed = flag.Uint64("history.seed", 0, "run only the schedule with this seed")
	historyRuns = flag.Uint64("history.runs", 2500, "number of schedules")
)

const (
	vmCount      = 3
	entryCount   = 3
	requestCount = 14
	callTimeout  = 5 * time.Second
	maxSteps     = 100_000
)

// mutation is a protection that is disabled on purpose, to show that the check
// detects its absence.
type mutation int

const (
	none mutation = iota
	restartKeepsIncarnation
	refusalNotRecorded
	incompleteAdoptionCountsAsComplete
	finishedRecordDropped
	startFloorReset
	runningKeysNotExported
	adoptedTableOpen
	fingerprintNotChecked
	droppedUpToReset
	chunksReassigned
	evictedWithoutWatermarks
	omittedBodyNotMarked
	droppedUpToNotHandedOver
	runningRecordEvicted
)

// process is anything that executes steps and can be paused or stopped.
type process struct {
	pausedUntil time.Time
	stopped     bool
}

// event is a step that is due at a point of simulated time.
type event struct {
	at       time.Time
	sequence int
	action   func()
}

// eventQueue implements heap.Interface; events at the same time keep the order
// in which they were scheduled.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// faults holds the probabilities of faults and the parameters of one schedule.
type faults struct {
	loseMessage, duplicateMessage, delayMessage, pauseProcess,
	gateRefusal, crashTarget, changeBody, issueOldKey, interruptHandover float64
	requests, vmFaults int
	tableBytes         int64
	// paddingBytes makes responses large, so that tables run short of memory.
	paddingBytes int
	// startSpan is the period in which requests start; startWindow, retention
	// and minEvictionAge configure the tables.
	startSpan, startWindow, retention, minEvictionAge time.Duration
}

// attempt is one request with a key. If query is set, it requests the outcome
// and does not start the operation.
type attempt struct {
	request, body int
	key           string
	query         bool
}

func (a attempt) fingerprint() Fingerprint {
	return FingerprintOf(testService, "place", strconv.Itoa(a.request), []byte{byte(a.body)})
}

// reply is what an attempt receives. response is the number of the execution
// whose response it contains, or responseOmitted.
type reply struct {
	outcome  outcome.Outcome
	response int
}

// responseOmitted means that the operation completed and its response was not
// stored.
const responseOmitted = -1

var replyUnknown = reply{outcome: outcome.Unknown}

// simulation is the state of one schedule.
type simulation struct {
	random   *rand.Rand
	now      time.Time
	queue    eventQueue
	sequence int
	clock    int64
	mutation mutation
	faults   faults
	entries  []*entryNode
	vms      []*executor
	targets  []*process
	// holders lists the nodes that have, or may have, the table of each
	// incarnation.
	holders             map[uint64][]*executor
	incarnation         uint64
	keys                uint64
	history             []porcupine.Operation
	executionsOfKey     map[string]int
	executionsOfRequest map[int]int
	// counts holds the number of occurrences of each case.
	counts map[string]int
}

// entryNode is a node where requests enter. skew is the offset of its clock.
type entryNode struct {
	process
	skew time.Duration
}

// executor is a node that runs operations. pendingReplies holds the attempts
// that wait for the result of a key.
type executor struct {
	process
	vm             int
	incarnation    uint64
	table          *Table
	pendingReplies map[string][]func(reply)
}

func newSimulation(seed uint64, m mutation) *simulation {
	sim := &simulation{
		random:              rand.New(rand.NewPCG(seed, 1)),
		now:                 testEpoch,
		mutation:            m,
		holders:             make(map[uint64][]*executor),
		executionsOfKey:     make(map[string]int),
		executionsOfRequest: make(map[int]int),
		counts:              make(map[string]int),
	}
	sim.faults = sim.randomFaults()
	for range entryCount {
		skew := time.Duration(sim.random.Int64N(int64(time.Minute))) - 30*time.Second
		sim.entries = append(sim.entries, &entryNode{skew: skew})
	}
	for vm := range vmCount {
		sim.targets = append(sim.targets, &process{})
		sim.vms = append(sim.vms, sim.newExecutor(vm, sim.nextIncarnation()))
	}
	return sim
}

func (sim *simulation) randomFaults() faults {
	// Schedules with few faults give more definite outcomes, and so more to
	// check.
	scale := []float64{0.1, 1}[sim.random.IntN(2)]
	fraction := func(limit float64) float64 { return sim.random.Float64() * limit }
	f := faults{
		loseMessage: scale * fraction(0.25), duplicateMessage: fraction(0.4), delayMessage: scale * fraction(0.25), pauseProcess: scale * fraction(0.05),
		gateRefusal: fraction(0.5), crashTarget: fraction(0.3), changeBody: fraction(0.3), issueOldKey: fraction(0.4),
		interruptHandover: fraction(0.9), requests: 8 + sim.random.IntN(24), vmFaults: sim.random.IntN(6), tableBytes: DefaultMaxBytes,
		startSpan:   sim.pick(5*time.Second, 5*time.Minute, 40*time.Minute),
		startWindow: sim.pick(time.Minute, DefaultStartWindow),
		retention:   sim.pick(0, time.Minute, 20*time.Minute),
	}
	if sim.chance(0.3) {
		f.tableBytes = int64(2+sim.random.IntN(4)) * (recordBytes + responseReserveBytes)
		f.paddingBytes = []int{0, 200, 1500}[sim.random.IntN(3)]
		f.minEvictionAge = sim.pick(time.Second, 20*time.Second, DefaultMinEvictionAge)
	}
	return f
}

func (sim *simulation) nextIncarnation() uint64 {
	sim.incarnation++
	return sim.incarnation
}

func (sim *simulation) newExecutor(vm int, incarnation uint64) *executor {
	config := Config{
		Service: testService, Executor: incarnation,
		StartWindow: sim.faults.startWindow, MaxBytes: sim.faults.tableBytes, ChunkBytes: recordBytes + 10,
		MinEvictionAge: sim.faults.minEvictionAge,
	}
	x := &executor{
		vm:             vm,
		incarnation:    incarnation,
		table:          New(config, sim.now),
		pendingReplies: make(map[string][]func(reply)),
	}
	sim.holders[incarnation] = append(sim.holders[incarnation], x)
	return x
}

// chance returns true with probability p.
func (sim *simulation) chance(p float64) bool { return sim.random.Float64() < p }

// pick returns a random element of choices.
func (sim *simulation) pick(choices ...time.Duration) time.Duration {
	return choices[sim.random.IntN(len(choices))]
}

// randomDuration returns a random duration below d.
func (sim *simulation) randomDuration(d time.Duration) time.Duration {
	return time.Duration(sim.random.Int64N(int64(d)))
}

// schedule runs an action after d.
func (sim *simulation) schedule(d time.Duration, action func()) {
	sim.sequence++
	heap.Push(&sim.queue, event{at: sim.now.Add(d), sequence: sim.sequence, action: action})
}

// runSoon runs an action of a process after a short delay, or after a pause of
// the process.
func (sim *simulation) runSoon(p *process, action func()) {
	sim.schedule(sim.randomDuration(2*time.Millisecond), func() { sim.runOn(p, action) })
}

// runOn runs an action of a process unless the process has stopped. If the
// process is paused, which may begin at this moment, the action runs after the
// pause.
func (sim *simulation) runOn(p *process, action func()) {
	if !p.stopped && !sim.now.Before(p.pausedUntil) && sim.chance(sim.faults.pauseProcess) {
		p.pausedUntil = sim.now.Add(sim.randomDuration(15 * time.Minute))
	}
	switch {
	case p.stopped:
	case sim.now.Before(p.pausedUntil):
		sim.schedule(p.pausedUntil.Sub(sim.now), func() { sim.runOn(p, action) })
	default:
		action()
	}
}

// send delivers a message zero to two times, with a short or a very long delay.
func (sim *simulation) send(to *process, action func()) {
	sim.sendOnce(to, action)
	if sim.chance(sim.faults.duplicateMessage) {
		sim.sendOnce(to, action)
	}
}

// sendOnce is like send, but does not duplicate the message.
func (sim *simulation) sendOnce(to *process, action func()) {
	if sim.chance(sim.faults.loseMessage) {
		return
	}
	delay := sim.randomDuration(10 * time.Millisecond)
	if sim.chance(sim.faults.delayMessage) {
		delay = sim.randomDuration(sim.pick(10*time.Second, 5*time.Minute, 90*time.Minute))
	}
	sim.schedule(delay, func() { sim.runOn(to, action) })
}

// nextInstant returns the next value of the logical clock that orders the
// observations.
func (sim *simulation) nextInstant() int64 {
	sim.clock++
	return sim.clock
}

// run starts requests and VM faults and executes events until none are left.
func (sim *simulation) run() {
	for i := range sim.faults.requests {
		sim.schedule(sim.randomDuration(sim.faults.startSpan), func() { sim.newCaller(i).start() })
	}
	for range sim.faults.vmFaults {
		vm := sim.random.IntN(vmCount)
		fault := []func(*executor){sim.crash, sim.drain, sim.drain}[sim.random.IntN(3)]
		sim.schedule(sim.randomDuration(sim.faults.startSpan+2*sim.faults.startWindow+sim.faults.retention), func() { fault(sim.vms[vm]) })
	}
	for steps := 0; len(sim.queue) > 0; steps++ {
		if steps > maxSteps {
			panic("history check: the schedule does not end")
		}
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.action()
	}
}

// caller sends one request, with up to nine attempts and several keys.
type caller struct {
	process
	sim               *simulation
	request           int
	remainingKeys     int
	remainingAttempts int
}

func (sim *simulation) newCaller(request int) *caller {
	return &caller{sim: sim, request: request, remainingKeys: 3, remainingAttempts: 9}
}

func (c *caller) start() { c.sendAttempt(attempt{request: c.request, key: c.sim.issue()}) }

// issue returns a new key for a random executor, sometimes one that was issued
// earlier and not used yet.
func (sim *simulation) issue() string {
	e := sim.entries[sim.random.IntN(entryCount)]
	issued := sim.now.Add(e.skew)
	if sim.chance(sim.faults.issueOldKey) {
		issued = issued.Add(-sim.randomDuration(sim.faults.startWindow * 3 / 2))
	}
	sim.keys++
	return testKey(sim.vms[sim.random.IntN(vmCount)].incarnation, issued, sim.keys)
}

// sendAttempt sends an attempt through a random entry node and handles the
// first reply or the timeout.
func (c *caller) sendAttempt(a attempt) {
	sim := c.sim
	if c.remainingAttempts == 0 {
		return
	}
	c.remainingAttempts--
	call := sim.nextInstant()
	replied := false
	finish := func(r reply) {
		if replied {
			return
		}
		replied = true
		sim.recordReply(a, call, r)
		c.handleReply(a, r)
	}
	e := sim.entries[sim.random.IntN(entryCount)]
	sim.send(&e.process, func() {
		sim.forward(e, a, func(r reply) { sim.send(&c.process, func() { finish(r) }) })
	})
	sim.schedule(callTimeout, func() { sim.runOn(&c.process, func() { finish(replyUnknown) }) })
}

// handleReply decides what the caller does next. It uses a new key only after
// the outcome not run; it may send the same key again at any time.
func (c *caller) handleReply(a attempt, r reply) {
	sim := c.sim
	if a.body == 0 && sim.chance(sim.faults.changeBody) {
		c.reuseKey(a)
	}
	if r.outcome == outcome.NotRun && a.body == 0 && c.remainingKeys > 0 && sim.chance(0.6) {
		c.remainingKeys--
		c.start()
		return
	}
	if r.outcome != outcome.Unknown && sim.chance(0.5) {
		return
	}
	wait := sim.randomDuration(sim.pick(time.Second, time.Minute, sim.faults.startWindow, 3*time.Hour))
	retry := a
	retry.query = sim.chance(0.15)
	sim.schedule(wait, func() { sim.runOn(&c.process, func() { c.sendAttempt(retry) }) })
}

// reuseKey sends another body with the same key.
func (c *caller) reuseKey(a attempt) {
	other := &caller{sim: c.sim, request: c.request, remainingAttempts: 2}
	a.body = 1
	c.sim.schedule(c.sim.randomDuration(time.Minute), func() { other.sendAttempt(a) })
}

// forward sends an attempt to the executor of its key, and once more if no
// response arrives.
func (sim *simulation) forward(e *entryNode, a attempt, respond func(reply)) {
	k, _ := ParseKey(a.key)
	replied := false
	send := func() {
		x := sim.route(k.Executor)
		sim.send(&x.process, func() {
			sim.serve(x, a, func(r reply) {
				sim.send(&e.process, func() { replied = true; respond(r) })
			})
		})
	}
	send()
	sim.schedule(time.Second, func() {
		sim.runOn(&e.process, func() {
			if !replied {
				send()
			}
		})
	})
}

// route returns a node that has the table of the executor, or occasionally a
// wrong node.
func (sim *simulation) route(incarnation uint64) *executor {
	holders := sim.holders[incarnation]
	if sim.chance(0.05) {
		return sim.vms[sim.random.IntN(vmCount)]
	}
	return holders[sim.random.IntN(len(holders))]
}

// serve handles an attempt at an executor.
func (sim *simulation) serve(x *executor, a attempt, respond func(reply)) {
	sim.mutateBefore(x, a)
	if sim.chance(0.5) {
		x.table.Expire(sim.now)
	}
	var d Decision
	sim.countEvictions(x, func() {
		if a.query {
			d = x.table.Resolve(sim.now, a.key, a.fingerprint())
		} else {
			d = x.table.Begin(sim.now, a.key, a.fingerprint(), sim.faults.retention)
		}
	})
	sim.countDecision(d)
	sim.mutateAfter(x)
	switch d.Kind {
	case Start:
		x.pendingReplies[a.key] = append(x.pendingReplies[a.key], respond)
		sim.runSoon(&x.process, func() { sim.admit(x, a) })
	case Wait:
		x.pendingReplies[a.key] = append(x.pendingReplies[a.key], respond)
	case Replay:
		respond(replyOf(d.Result))
	case Refuse:
		respond(reply{outcome: d.Err.Outcome})
	}
}

// replyOf returns the reply for a stored result.
func replyOf(r *Result) reply {
	if r.BodyOmitted {
		return reply{outcome: r.Outcome, response: responseOmitted}
	}
	response, _ := strconv.Atoi(strings.TrimRight(string(r.Body), padding))
	return reply{outcome: r.Outcome, response: response}
}

// countDecision counts a decision by kind, outcome and reason.
func (sim *simulation) countDecision(d Decision) {
	switch d.Kind {
	case Replay:
		if d.Result.BodyOmitted {
			sim.counts["replay without response"]++
		}
		sim.counts["replay "+d.Result.Outcome.String()]++
	case Refuse:
		sim.counts["refuse "+d.Err.Outcome.String()+" "+d.Err.Reason.String()]++
	default:
		sim.counts[d.Kind.String()]++
	}
}

// admit acts as the gate: it refuses the request or sends it to the target
// once.
func (sim *simulation) admit(x *executor, a attempt) {
	if sim.chance(sim.faults.gateRefusal) {
		x.table.MarkNotStarted(sim.now, a.key, outcome.Overloaded)
		sim.mutateRefusal(x, a)
		sim.response(x, a.key, reply{outcome: outcome.NotRun})
		return
	}
	target := sim.targets[x.vm]
	sim.runSoon(&x.process, func() {
		sim.sendOnce(target, func() { sim.execute(x, a) })
		sim.schedule(2*callTimeout, func() { sim.runOn(&x.process, func() { sim.finish(x, a, replyUnknown) }) })
	})
}

// execute acts as the target, which may crash before or after the operation.
func (sim *simulation) execute(x *executor, a attempt) {
	if sim.chance(sim.faults.crashTarget / 2) {
		return
	}
	sim.executionsOfKey[a.key]++
	if a.body == 0 {
		sim.executionsOfRequest[a.request]++
	}
	r := reply{outcome: outcome.Completed, response: len(sim.history) + 1}
	sim.record(observation{attempt: a, ran: true, reply: r}, sim.nextInstant())
	if sim.chance(sim.faults.crashTarget / 2) {
		return
	}
	sim.sendOnce(&x.process, func() { sim.finish(x, a, r) })
}

// finish passes the result of an operation to the table and to the attempts
// that wait for it.
func (sim *simulation) finish(x *executor, a attempt, r reply) {
	result := Result{Outcome: r.outcome, Reason: outcome.AnswerLost}
	if r.outcome == outcome.Completed {
		result = completed(strconv.Itoa(r.response) + strings.Repeat(padding, sim.faults.paddingBytes))
	}
	finished := false
	sim.countEvictions(x, func() { finished = x.table.Finish(sim.now, a.key, result) })
	if finished {
		sim.mutateFinished(x, a)
		sim.response(x, a.key, r)
	}
}

// response delivers the result of a key to all attempts that wait for it.
func (sim *simulation) response(x *executor, key string, r reply) {
	for _, respond := range x.pendingReplies[key] {
		respond(r)
	}
	delete(x.pendingReplies, key)
}

// crash stops an executor and starts another one on its VM.
func (sim *simulation) crash(x *executor) {
	sim.counts["crash"]++
	x.stopped = true
	incarnation := sim.nextIncarnation()
	if sim.mutation == restartKeepsIncarnation {
		incarnation = x.incarnation
	}
	sim.vms[x.vm] = sim.newExecutor(x.vm, incarnation)
}

// drain closes an executor, hands over its table in one to four rounds, each of
// which may be interrupted, and stops it.
func (sim *simulation) drain(x *executor) {
	if x.stopped || x.table.Closed() {
		return
	}
	sim.runOn(&x.process, func() { x.table.Close(sim.now) })
	var at time.Duration
	successor := sim.otherVM(x)
	for range 1 + sim.random.IntN(4) {
		at += sim.randomDuration(sim.pick(4*callTimeout, sim.faults.startWindow))
		if sim.chance(0.3) {
			successor = sim.otherVM(x)
		}
		next := successor
		sim.schedule(at, func() { sim.runOn(&x.process, func() { sim.handOver(x, sim.vms[next]) }) })
	}
	sim.schedule(at+sim.randomDuration(time.Minute), func() {
		if !x.stopped {
			sim.crash(x)
		}
	})
}

// otherVM returns a random VM other than that of x.
func (sim *simulation) otherVM(x *executor) int {
	return (x.vm + 1 + sim.random.IntN(vmCount-1)) % vmCount
}

// handOver sends the chunks of the tables of x to the next executor.
func (sim *simulation) handOver(x, next *executor) {
	if sim.mutation == adoptedTableOpen && len(x.table.adopted) > 0 {
		// An adopted table that has running keys cannot be exported.
		return
	}
	sim.mutateHandover(x)
	for _, l := range x.table.ledgers() {
		if !slices.Contains(sim.holders[l.executor], next) {
			sim.holders[l.executor] = append(sim.holders[l.executor], next)
		}
	}
	sim.counts["handover"]++
	for chunk := range x.table.Export(sim.now) {
		if sim.chance(sim.faults.interruptHandover / 3) {
			sim.counts["handover interrupted"]++
			return
		}
		sim.send(&next.process, func() { sim.adopt(next, chunk) })
	}
}

// adopt passes a chunk to the table of x.
func (sim *simulation) adopt(x *executor, chunk *pb.HandoverRequest) {
	response := x.table.Adopt(sim.now, chunk)
	sim.counts[fmt.Sprintf("adopt %t", response.Accepted)]++
	if x.table.Adopted(chunk.Incarnation) {
		sim.counts["adopted"]++
	}
	if l := x.table.adopted[chunk.Incarnation]; l != nil {
		sim.mutateAdopted(l)
	}
}

// padding is repeated after the execution number in large responses.
const padding = "."

// countEvictions runs a step of a table that may evict records for lack of
// memory, and counts the steps that did. Only an eviction raises both
// watermarks.
func (sim *simulation) countEvictions(x *executor, step func()) {
	if sim.mutation == evictedWithoutWatermarks {
		// Expired records are dropped together with their watermark beforehand,
		// so that the mutation affects evictions only.
		x.table.Expire(sim.now)
	}
	startFloor, droppedUpTo := x.table.own.startFloor, x.table.own.droppedUpTo
	step()
	if x.table.own.startFloor > startFloor && x.table.own.droppedUpTo > droppedUpTo {
		sim.counts["record evicted"]++
	}
	switch sim.mutation {
	case evictedWithoutWatermarks:
		x.table.own.startFloor, x.table.own.droppedUpTo = startFloor, droppedUpTo
	case omittedBodyNotMarked:
		x.table.clearBodyOmitted()
	case runningRecordEvicted:
		x.table.dropRunning()
	}
}

// clearBodyOmitted makes records whose response is omitted look complete.
func (t *Table) clearBodyOmitted() {
	for _, r := range t.own.records {
		if !r.running && r.result.BodyOmitted {
			r.result = &Result{Outcome: r.result.Outcome, Status: r.result.Status}
		}
	}
}

// dropRunning drops the running records of a full table.
func (t *Table) dropRunning() {
	if t.fits(recordBytes + responseReserveBytes) {
		return
	}
	maps.DeleteFunc(t.own.records, func(_ id, r *record) bool { return r.running })
}

// mutateBefore applies the mutations that take effect before a decision.
func (sim *simulation) mutateBefore(x *executor, a attempt) {
	if sim.mutation != fingerprintNotChecked {
		return
	}
	k, _ := ParseKey(a.key)
	if r := x.table.own.records[idOf(k)]; r != nil {
		r.fingerprint = a.fingerprint()
	}
}

// mutateAfter applies the mutations that take effect after a decision.
func (sim *simulation) mutateAfter(x *executor) {
	if sim.mutation == startFloorReset {
		x.table.own.startFloor = math.MinInt64
	}
	if sim.mutation == droppedUpToReset {
		x.table.own.droppedUpTo = math.MinInt64
	}
}

// mutateRefusal applies the mutation that takes effect after a refusal by the
// gate.
func (sim *simulation) mutateRefusal(x *executor, a attempt) {
	if sim.mutation == refusalNotRecorded {
		k, _ := ParseKey(a.key)
		delete(x.table.own.records, idOf(k))
	}
}

// mutateFinished applies the mutation that takes effect after a final outcome
// was recorded.
func (sim *simulation) mutateFinished(x *executor, a attempt) {
	if sim.mutation == finishedRecordDropped {
		k, _ := ParseKey(a.key)
		delete(x.table.own.records, idOf(k))
	}
}

// mutateHandover applies the mutations that take effect before an export.
func (sim *simulation) mutateHandover(x *executor) {
	if sim.mutation == runningKeysNotExported {
		maps.DeleteFunc(x.table.own.records, func(_ id, r *record) bool { return r.running })
		x.table.running = 0
	}
	if sim.mutation == droppedUpToNotHandedOver {
		x.table.own.droppedUpTo = math.MinInt64
	}
	if sim.mutation == chunksReassigned {
		sim.shuffleChunks(x.table)
	}
}

// shuffleChunks assigns the records to other chunks than in the previous round,
// as the iteration order of a map would.
func (sim *simulation) shuffleChunks(t *Table) {
	t.markRunningUnknown(t.latest)
	t.own.exportChunks = nil
	t.assignChunks(t.own)
	exportChunks := t.own.exportChunks
	sim.random.Shuffle(len(exportChunks), func(i, j int) { exportChunks[i], exportChunks[j] = exportChunks[j], exportChunks[i] })
}

// mutateAdopted applies the mutations that take effect after a chunk was
// adopted.
func (sim *simulation) mutateAdopted(l *ledger) {
	if sim.mutation == incompleteAdoptionCountsAsComplete {
		l.adoption.lastKnown = true
		l.adoption.last = uint32(len(l.adoption.chunks) - 1)
	}
	if sim.mutation == adoptedTableOpen {
		l.closed = false
	}
}

// observation is one operation of the history: an execution by a target if ran
// is set, otherwise a reply that a caller received.
type observation struct {
	attempt
	reply
	ran bool
}

// recordReply adds a reply to the history unless its outcome is unknown, which
// claims nothing.
func (sim *simulation) recordReply(a attempt, call int64, r reply) {
	sim.counts["reply "+r.outcome.String()]++
	if r.outcome != outcome.Unknown {
		sim.record(observation{attempt: a, reply: r}, call)
	}
}

// record adds an observation that began at the instant call and ends now.
func (sim *simulation) record(o observation, call int64) {
	sim.history = append(sim.history, porcupine.Operation{
		ClientId: len(sim.history),
		Input:    o,
		Call:     call,
		Return:   sim.nextInstant(),
	})
}

// keyState is the state of one key in the model. Bodies are numbered 0 and 1.
type keyState struct {
	ran      bool
	body     int
	response int
	refused  [2]bool
}

// modelOfKey states: a key runs at most once; a body whose outcome was reported
// as not run never runs; every completed reply contains the response of the one
// execution or says that it is omitted.
var modelOfKey = porcupine.Model{
	Partition: partitionByKey,
	Init:      func() any { return keyState{} },
	Step: func(state, input, _ any) (bool, any) {
		return stepKey(state.(keyState), input.(observation))
	},
}

// stepKey returns whether the state permits the observation, and the next
// state.
func stepKey(s keyState, o observation) (bool, any) {
	switch {
	case o.ran:
		ok := !s.ran && !s.refused[o.body]
		s.ran, s.body, s.response = true, o.body, o.response
		return ok, s
	case o.outcome == outcome.Completed:
		sameExecution := s.response == o.response || o.response == responseOmitted
		return s.ran && s.body == o.body && sameExecution, s
	default:
		ok := !s.ran || s.body != o.body
		s.refused[o.body] = true
		return ok, s
	}
}

// partitionByKey splits the history by key, as keys are independent of each
// other.
func partitionByKey(history []porcupine.Operation) [][]porcupine.Operation {
	byKey := make(map[string][]porcupine.Operation)
	for _, operation := range history {
		key := operation.Input.(observation).key
		byKey[key] = append(byKey[key], operation)
	}
	return slices.Collect(maps.Values(byKey))
}

// violation describes what is wrong with the history; it returns "" if nothing
// is.
func (sim *simulation) violation() string {
	for key, n := range sim.executionsOfKey {
		if n > 1 {
			return fmt.Sprintf("key %s ran %d times", key, n)
		}
	}
	for request, n := range sim.executionsOfRequest {
		if n > 1 {
			return fmt.Sprintf("request %d ran %d times", request, n)
		}
	}
	if !porcupine.CheckOperations(modelOfKey, sim.history) {
		return "the history contradicts the model of a key"
	}
	return ""
}

// Guards against a second execution, a false outcome not run and a wrong
// response under any combination of faults.
func TestHistory(t *testing.T) {
	first, last := uint64(1), *historyRuns
	if *historySeed != 0 {
		first, last = *historySeed, *historySeed
	}
	counts := make(map[string]int)
	operations := 0
	for seed := first; seed <= last; seed++ {
		sim := newSimulation(seed, none)
		sim.run()
		require.Empty(t, sim.violation(), "go test ./core/once -run TestHistory$ -history.seed=%d", seed)
		operations += len(sim.history)
		for label, n := range sim.counts {
			counts[label] += n
		}
	}
	t.Logf("%d schedules, %d observations, %v", last-first+1, operations, counts)
	if *historySeed == 0 {
		requireAllCases(t, counts)
	}
}

// requireAllCases guards against a simulation that no longer reaches the cases
// that it is meant to cover.
func requireAllCases(t *testing.T, counts map[string]int) {
	t.Helper()
	cases := []string{
		"start", "wait", "replay completed", "replay not_run", "replay unknown",
		"refuse not_run key_conflict", "refuse not_run key_expired", "refuse not_run draining",
		"refuse not_run overloaded", "refuse unknown key_expired", "refuse unknown executor_gone",
		"replay without response", "record evicted", "crash", "handover", "handover interrupted", "adopt true", "adopt false", "adopted",
	}
	for _, label := range cases {
		require.NotZero(t, counts[label], label)
	}
}

// Guards against a check that cannot fail: it must detect every protection that
// is disabled.
func TestHistoryDetectsMutations(t *testing.T) {
	mutations := map[mutation]string{
		restartKeepsIncarnation:            "restart keeps incarnation",
		refusalNotRecorded:                 "refusal not recorded",
		incompleteAdoptionCountsAsComplete: "incomplete adoption counts as complete",
		finishedRecordDropped:              "finished record dropped",
		startFloorReset:                    "start floor reset",
		runningKeysNotExported:             "running keys not exported",
		adoptedTableOpen:                   "adopted table open",
		fingerprintNotChecked:              "fingerprint not checked",
		droppedUpToReset:                   "dropped-up-to watermark reset",
		chunksReassigned:                   "chunks reassigned",

		evictedWithoutWatermarks: "record evicted without watermarks",
		omittedBodyNotMarked:     "omitted body not marked",
		droppedUpToNotHandedOver: "dropped-up-to watermark not handed over",
		runningRecordEvicted:     "running record evicted",
	}
	for m, name := range mutations {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= *historyRuns; seed++ {
				sim := newSimulation(seed, m)
				sim.run()
				if violation := sim.violation(); violation != "" {
					t.Logf("violation detected at seed %d: %s", seed, violation)
					return
				}
			}
			t.Fatal("no seed led to a violation")
		})
	}
}
