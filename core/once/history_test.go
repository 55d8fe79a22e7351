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

// The history check runs callers, entries, executors with real tables, and
// targets in simulated time under random faults, and checks what callers were
// told against what the targets executed.

var (
	historySeed = flag.Uint64("history.seed", 0, "run only the schedule with this seed")
	historyRuns = flag.Uint64("history.runs", 2500, "number of schedules")
)

const (
	simVMs      = 3
	simEntries  = 3
	simRequests = 14
	simTimeout  = 5 * time.Second
	simMaxSteps = 100_000
)

// mutation switches one protection off, to show that the check can fail.
type mutation int

const (
	none mutation = iota
	restartKeepsIncarnation
	refusalNotFinal
	incompleteAdoptionTrusted
	recordDroppedEarly
	fullTableForgetsRefusal
	runningKeysNotExported
	adoptedTableOpen
	contentNotChecked
	forgottenIgnored
	chunksNotFixed
	droppedWithoutWatermarks
	droppedAnswerPassesForWhole
	droppedRecordNotHandedOver
	runningRecordDropped
)

// party is anything that executes steps, can be paused and can end.
type party struct {
	pausedUntil time.Time
	ended       bool
}

type event struct {
	at   time.Time
	turn int
	do   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].turn < q[j].turn
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// faults holds the probabilities of one schedule.
type faults struct {
	lose, duplicate, slow, pause, refuse, targetCrash, otherBody, oldKey, cutHandover float64
	requests, vmFaults                                                                int
	tableBytes                                                                        int64
	// fillerBytes makes answers large, so that they cause a lack of memory.
	fillerBytes int
	// span is the time in which requests start; window, retention and protected
	// are those of the tables.
	span, window, retention, protected time.Duration
}

// attempt is one request with a key.
type attempt struct {
	request, body int
	key           string
	query         bool
}

func (a attempt) fingerprint() Fingerprint {
	return FingerprintOf(testService, "place", strconv.Itoa(a.request), []byte{byte(a.body)})
}

// reply is what an attempt is told; answer is the number of the execution, or
// answerOmitted.
type reply struct {
	outcome outcome.Outcome
	answer  int
}

// answerOmitted says that the operation completed and its answer was not kept.
const answerOmitted = -1

var replyUnknown = reply{outcome: outcome.Unknown}

type world struct {
	random      *rand.Rand
	now         time.Time
	queue       eventQueue
	turn        int
	clock       int64
	mutation    mutation
	faults      faults
	entries     []*entry
	vms         []*executor
	targets     []*party
	homes       map[uint64][]*executor
	incarnation uint64
	keys        uint64
	history     []porcupine.Operation
	perKey      map[string]int
	perRequest  map[int]int
	seen        map[string]int
}

type entry struct {
	party
	skew time.Duration
}

type executor struct {
	party
	vm          int
	incarnation uint64
	table       *Table
	waiting     map[string][]func(reply)
}

func newWorld(seed uint64, m mutation) *world {
	w := &world{
		random:     rand.New(rand.NewPCG(seed, 1)),
		now:        testEpoch,
		mutation:   m,
		homes:      make(map[uint64][]*executor),
		perKey:     make(map[string]int),
		perRequest: make(map[int]int),
		seen:       make(map[string]int),
	}
	w.faults = w.drawFaults()
	for range simEntries {
		skew := time.Duration(w.random.Int64N(int64(time.Minute))) - 30*time.Second
		w.entries = append(w.entries, &entry{skew: skew})
	}
	for vm := range simVMs {
		w.targets = append(w.targets, &party{})
		w.vms = append(w.vms, w.newExecutor(vm, w.nextIncarnation()))
	}
	return w
}

func (w *world) drawFaults() faults {
	// Calm schedules give more definite answers, and so more to check.
	calm := []float64{0.1, 1}[w.random.IntN(2)]
	share := func(most float64) float64 { return w.random.Float64() * most }
	f := faults{
		lose: calm * share(0.25), duplicate: share(0.4), slow: calm * share(0.25), pause: calm * share(0.05),
		refuse: share(0.5), targetCrash: share(0.3), otherBody: share(0.3), oldKey: share(0.4),
		cutHandover: share(0.9), requests: 8 + w.random.IntN(24), vmFaults: w.random.IntN(6), tableBytes: DefaultMaxBytes,
		span:      w.oneOf(5*time.Second, 5*time.Minute, 40*time.Minute),
		window:    w.oneOf(time.Minute, DefaultStartWindow),
		retention: w.oneOf(0, time.Minute, 20*time.Minute),
	}
	if w.chance(0.3) {
		f.tableBytes = int64(2+w.random.IntN(4)) * (recordBytes + answerReserveBytes)
		f.fillerBytes = []int{0, 200, 1500}[w.random.IntN(3)]
		f.protected = w.oneOf(time.Second, 20*time.Second, DefaultMinEvictionAge)
	}
	return f
}

func (w *world) nextIncarnation() uint64 {
	w.incarnation++
	return w.incarnation
}

func (w *world) newExecutor(vm int, incarnation uint64) *executor {
	config := Config{
		Service: testService, Executor: incarnation,
		StartWindow: w.faults.window, MaxBytes: w.faults.tableBytes, ChunkBytes: recordBytes + 10,
		MinEvictionAge: w.faults.protected,
	}
	x := &executor{
		vm:          vm,
		incarnation: incarnation,
		table:       New(config, w.now),
		waiting:     make(map[string][]func(reply)),
	}
	w.homes[incarnation] = append(w.homes[incarnation], x)
	return x
}

func (w *world) chance(p float64) bool { return w.random.Float64() < p }

func (w *world) oneOf(choices ...time.Duration) time.Duration {
	return choices[w.random.IntN(len(choices))]
}

func (w *world) upTo(d time.Duration) time.Duration { return time.Duration(w.random.Int64N(int64(d))) }

func (w *world) after(d time.Duration, do func()) {
	w.turn++
	heap.Push(&w.queue, event{at: w.now.Add(d), turn: w.turn, do: do})
}

// step lets a party do something after a short time, or after a pause.
func (w *world) step(p *party, do func()) {
	w.after(w.upTo(2*time.Millisecond), func() { w.enter(p, do) })
}

func (w *world) enter(p *party, do func()) {
	if !p.ended && !w.now.Before(p.pausedUntil) && w.chance(w.faults.pause) {
		p.pausedUntil = w.now.Add(w.upTo(15 * time.Minute))
	}
	switch {
	case p.ended:
	case w.now.Before(p.pausedUntil):
		w.after(p.pausedUntil.Sub(w.now), func() { w.enter(p, do) })
	default:
		do()
	}
}

// send delivers a message never, once or twice, soon or very late.
func (w *world) send(to *party, do func()) {
	w.sendOnce(to, do)
	if w.chance(w.faults.duplicate) {
		w.sendOnce(to, do)
	}
}

func (w *world) sendOnce(to *party, do func()) {
	if w.chance(w.faults.lose) {
		return
	}
	delay := w.upTo(10 * time.Millisecond)
	if w.chance(w.faults.slow) {
		delay = w.upTo(w.oneOf(10*time.Second, 5*time.Minute, 90*time.Minute))
	}
	w.after(delay, func() { w.enter(to, do) })
}

// tick returns the next instant of the order in which things were observed.
func (w *world) tick() int64 {
	w.clock++
	return w.clock
}

func (w *world) run() {
	for i := range w.faults.requests {
		w.after(w.upTo(w.faults.span), func() { w.newCaller(i).start() })
	}
	for range w.faults.vmFaults {
		vm := w.random.IntN(simVMs)
		fault := []func(*executor){w.crash, w.leave, w.leave}[w.random.IntN(3)]
		w.after(w.upTo(w.faults.span+2*w.faults.window+w.faults.retention), func() { fault(w.vms[vm]) })
	}
	for steps := 0; len(w.queue) > 0; steps++ {
		if steps > simMaxSteps {
			panic("history check: the schedule does not end")
		}
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
}

// caller drives one request through its keys and attempts.
type caller struct {
	party
	w         *world
	request   int
	keysLeft  int
	triesLeft int
}

func (w *world) newCaller(request int) *caller {
	return &caller{w: w, request: request, keysLeft: 3, triesLeft: 9}
}

func (c *caller) start() { c.try(attempt{request: c.request, key: c.w.issue()}) }

// issue returns a key for a random executor, sometimes one from an old stock.
func (w *world) issue() string {
	e := w.entries[w.random.IntN(simEntries)]
	issued := w.now.Add(e.skew)
	if w.chance(w.faults.oldKey) {
		issued = issued.Add(-w.upTo(w.faults.window * 3 / 2))
	}
	w.keys++
	return testKey(w.vms[w.random.IntN(simVMs)].incarnation, issued, w.keys)
}

func (c *caller) try(a attempt) {
	w := c.w
	if c.triesLeft == 0 {
		return
	}
	c.triesLeft--
	call := w.tick()
	answered := false
	finish := func(r reply) {
		if answered {
			return
		}
		answered = true
		w.told(a, call, r)
		c.next(a, r)
	}
	e := w.entries[w.random.IntN(simEntries)]
	w.send(&e.party, func() {
		w.forward(e, a, func(r reply) { w.send(&c.party, func() { finish(r) }) })
	})
	w.after(simTimeout, func() { w.enter(&c.party, func() { finish(replyUnknown) }) })
}

// next decides what the caller does with a reply. A new key is used only after
// not run; the same key may be sent again at any time.
func (c *caller) next(a attempt, r reply) {
	w := c.w
	if a.body == 0 && w.chance(w.faults.otherBody) {
		c.reuse(a)
	}
	if r.outcome == outcome.NotRun && a.body == 0 && c.keysLeft > 0 && w.chance(0.6) {
		c.keysLeft--
		c.start()
		return
	}
	if r.outcome != outcome.Unknown && w.chance(0.5) {
		return
	}
	wait := w.upTo(w.oneOf(time.Second, time.Minute, w.faults.window, 3*time.Hour))
	again := a
	again.query = w.chance(0.15)
	w.after(wait, func() { w.enter(&c.party, func() { c.try(again) }) })
}

// reuse sends another body with the same key.
func (c *caller) reuse(a attempt) {
	other := &caller{w: c.w, request: c.request, triesLeft: 2}
	a.body = 1
	c.w.after(c.w.upTo(time.Minute), func() { other.try(a) })
}

// forward sends an attempt to the executor of its key, and once more if no
// answer arrives.
func (w *world) forward(e *entry, a attempt, back func(reply)) {
	k, _ := ParseKey(a.key)
	answered := false
	send := func() {
		x := w.route(k.Executor)
		w.send(&x.party, func() {
			w.serve(x, a, func(r reply) {
				w.send(&e.party, func() { answered = true; back(r) })
			})
		})
	}
	send()
	w.after(time.Second, func() {
		w.enter(&e.party, func() {
			if !answered {
				send()
			}
		})
	})
}

// route returns a node that answers for the executor, sometimes a wrong one.
func (w *world) route(incarnation uint64) *executor {
	homes := w.homes[incarnation]
	if w.chance(0.05) {
		return w.vms[w.random.IntN(simVMs)]
	}
	return homes[w.random.IntN(len(homes))]
}

func (w *world) serve(x *executor, a attempt, back func(reply)) {
	w.mutateBefore(x, a)
	if w.chance(0.5) {
		x.table.Expire(w.now)
	}
	var d Decision
	w.underPressure(x, func() {
		if a.query {
			d = x.table.Resolve(w.now, a.key, a.fingerprint())
		} else {
			d = x.table.Begin(w.now, a.key, a.fingerprint(), w.faults.retention)
		}
	})
	w.note(d)
	w.mutateAfter(x)
	switch d.Kind {
	case Start:
		x.waiting[a.key] = append(x.waiting[a.key], back)
		w.step(&x.party, func() { w.admit(x, a) })
	case Wait:
		x.waiting[a.key] = append(x.waiting[a.key], back)
	case Replay:
		back(replyOf(d.Result))
	case Refuse:
		back(reply{outcome: d.Err.Outcome})
	}
}

func replyOf(r *Result) reply {
	if r.BodyOmitted {
		return reply{outcome: r.Outcome, answer: answerOmitted}
	}
	answer, _ := strconv.Atoi(strings.TrimRight(string(r.Body), filler))
	return reply{outcome: r.Outcome, answer: answer}
}

func (w *world) note(d Decision) {
	switch d.Kind {
	case Replay:
		if d.Result.BodyOmitted {
			w.seen["replay without answer"]++
		}
		w.seen["replay "+d.Result.Outcome.String()]++
	case Refuse:
		w.seen["refuse "+d.Err.Outcome.String()+" "+d.Err.Reason.String()]++
	default:
		w.seen[d.Kind.String()]++
	}
}

// admit plays the gate: it refuses, or sends the request to the target once.
func (w *world) admit(x *executor, a attempt) {
	if w.chance(w.faults.refuse) {
		x.table.MarkNotStarted(w.now, a.key, outcome.Overloaded)
		w.mutateRefusal(x, a)
		w.answer(x, a.key, reply{outcome: outcome.NotRun})
		return
	}
	target := w.targets[x.vm]
	w.step(&x.party, func() {
		w.sendOnce(target, func() { w.execute(x, a) })
		w.after(2*simTimeout, func() { w.enter(&x.party, func() { w.finish(x, a, replyUnknown) }) })
	})
}

// execute plays the target, which may crash before or after the operation.
func (w *world) execute(x *executor, a attempt) {
	if w.chance(w.faults.targetCrash / 2) {
		return
	}
	w.perKey[a.key]++
	if a.body == 0 {
		w.perRequest[a.request]++
	}
	r := reply{outcome: outcome.Completed, answer: len(w.history) + 1}
	w.record(observation{attempt: a, ran: true, reply: r}, w.tick())
	if w.chance(w.faults.targetCrash / 2) {
		return
	}
	w.sendOnce(&x.party, func() { w.finish(x, a, r) })
}

func (w *world) finish(x *executor, a attempt, r reply) {
	result := Result{Outcome: r.outcome, Reason: outcome.AnswerLost}
	if r.outcome == outcome.Completed {
		result = completed(strconv.Itoa(r.answer) + strings.Repeat(filler, w.faults.fillerBytes))
	}
	finished := false
	w.underPressure(x, func() { finished = x.table.Finish(w.now, a.key, result) })
	if finished {
		w.mutateFinished(x, a)
		w.answer(x, a.key, r)
	}
}

func (w *world) answer(x *executor, key string, r reply) {
	for _, back := range x.waiting[key] {
		back(r)
	}
	delete(x.waiting, key)
}

// crash ends an executor and starts another one on its VM.
func (w *world) crash(x *executor) {
	w.seen["crash"]++
	x.ended = true
	incarnation := w.nextIncarnation()
	if w.mutation == restartKeepsIncarnation {
		incarnation = x.incarnation
	}
	w.vms[x.vm] = w.newExecutor(x.vm, incarnation)
}

// leave closes an executor, hands its table over in one to four rounds, of
// which any may be interrupted, and ends it.
func (w *world) leave(x *executor) {
	if x.ended || x.table.Closed() {
		return
	}
	w.enter(&x.party, func() { x.table.Close(w.now) })
	var at time.Duration
	successor := w.otherVM(x)
	for range 1 + w.random.IntN(4) {
		at += w.upTo(w.oneOf(4*simTimeout, w.faults.window))
		if w.chance(0.3) {
			successor = w.otherVM(x)
		}
		next := successor
		w.after(at, func() { w.enter(&x.party, func() { w.handOver(x, w.vms[next]) }) })
	}
	w.after(at+w.upTo(time.Minute), func() {
		if !x.ended {
			w.crash(x)
		}
	})
}

// otherVM returns a random VM that is not that of x.
func (w *world) otherVM(x *executor) int { return (x.vm + 1 + w.random.IntN(simVMs-1)) % simVMs }

func (w *world) handOver(x, next *executor) {
	if w.mutation == adoptedTableOpen && len(x.table.adopted) > 0 {
		// An adopted table with running keys can't be exported.
		return
	}
	w.mutateHandover(x)
	for _, l := range x.table.ledgers() {
		if !slices.Contains(w.homes[l.executor], next) {
			w.homes[l.executor] = append(w.homes[l.executor], next)
		}
	}
	w.seen["handover"]++
	for chunk := range x.table.Export(w.now) {
		if w.chance(w.faults.cutHandover / 3) {
			w.seen["handover cut"]++
			return
		}
		w.send(&next.party, func() { w.adopt(next, chunk) })
	}
}

func (w *world) adopt(x *executor, chunk *pb.HandoverRequest) {
	response := x.table.Adopt(w.now, chunk)
	w.seen[fmt.Sprintf("adopt %t", response.Accepted)]++
	if x.table.Adopted(chunk.Incarnation) {
		w.seen["adopted"]++
	}
	if l := x.table.adopted[chunk.Incarnation]; l != nil {
		w.mutateAdopted(l)
	}
}

// filler follows the number in large answers.
const filler = "."

// underPressure runs a step of a table that may drop records for lack of
// memory, and counts the steps that did; only these raise both watermarks.
func (w *world) underPressure(x *executor, step func()) {
	if w.mutation == droppedWithoutWatermarks {
		// What is due is dropped with its watermark, so that the mutation concerns
		// only the lack of memory.
		x.table.Expire(w.now)
	}
	floor, forgotten := x.table.own.floor, x.table.own.forgotten
	step()
	if x.table.own.floor > floor && x.table.own.forgotten > forgotten {
		w.seen["dropped early"]++
	}
	switch w.mutation {
	case droppedWithoutWatermarks:
		x.table.own.floor, x.table.own.forgotten = floor, forgotten
	case droppedAnswerPassesForWhole:
		x.table.pretendWhole()
	case runningRecordDropped:
		x.table.dropRunning()
	}
}

// pretendWhole makes the records without an answer look complete.
func (t *Table) pretendWhole() {
	for _, r := range t.own.records {
		if !r.running && r.result.BodyOmitted {
			r.result = &Result{Outcome: r.result.Outcome, Status: r.result.Status}
		}
	}
}

// dropRunning drops the running records of a full table.
func (t *Table) dropRunning() {
	if t.fits(recordBytes + answerReserveBytes) {
		return
	}
	maps.DeleteFunc(t.own.records, func(_ id, r *record) bool { return r.running })
}

func (w *world) mutateBefore(x *executor, a attempt) {
	if w.mutation != contentNotChecked {
		return
	}
	k, _ := ParseKey(a.key)
	if r := x.table.own.records[idOf(k)]; r != nil {
		r.fingerprint = a.fingerprint()
	}
}

func (w *world) mutateAfter(x *executor) {
	if w.mutation == fullTableForgetsRefusal {
		x.table.own.floor = math.MinInt64
	}
	if w.mutation == forgottenIgnored {
		x.table.own.forgotten = math.MinInt64
	}
}

func (w *world) mutateRefusal(x *executor, a attempt) {
	if w.mutation == refusalNotFinal {
		k, _ := ParseKey(a.key)
		delete(x.table.own.records, idOf(k))
	}
}

func (w *world) mutateFinished(x *executor, a attempt) {
	if w.mutation == recordDroppedEarly {
		k, _ := ParseKey(a.key)
		delete(x.table.own.records, idOf(k))
	}
}

func (w *world) mutateHandover(x *executor) {
	if w.mutation == runningKeysNotExported {
		maps.DeleteFunc(x.table.own.records, func(_ id, r *record) bool { return r.running })
		x.table.running = 0
	}
	if w.mutation == droppedRecordNotHandedOver {
		x.table.own.forgotten = math.MinInt64
	}
	if w.mutation == chunksNotFixed {
		w.shuffleChunks(x.table)
	}
}

// shuffleChunks puts the records into other chunks than in the last round, as
// the order of a map would.
func (w *world) shuffleChunks(t *Table) {
	t.settleRunning(t.latest)
	t.own.frozen = nil
	t.freeze(t.own)
	frozen := t.own.frozen
	w.random.Shuffle(len(frozen), func(i, j int) { frozen[i], frozen[j] = frozen[j], frozen[i] })
}

func (w *world) mutateAdopted(l *ledger) {
	if w.mutation == incompleteAdoptionTrusted {
		l.adoption.lastKnown = true
		l.adoption.last = uint32(len(l.adoption.chunks) - 1)
	}
	if w.mutation == adoptedTableOpen {
		l.closed = false
	}
}

// observation is one operation of the history: an execution by a target, or
// what a caller was told.
type observation struct {
	attempt
	reply
	ran bool
}

func (w *world) told(a attempt, call int64, r reply) {
	w.seen["told "+r.outcome.String()]++
	if r.outcome != outcome.Unknown {
		w.record(observation{attempt: a, reply: r}, call)
	}
}

func (w *world) record(o observation, call int64) {
	w.history = append(w.history, porcupine.Operation{
		ClientId: len(w.history),
		Input:    o,
		Call:     call,
		Return:   w.tick(),
	})
}

// keyState is the state of one key in the model. Bodies are 0 and 1.
type keyState struct {
	ran     bool
	body    int
	answer  int
	refused [2]bool
}

// keyModel: a key runs at most once; a body for which not run was told never
// runs; every completed answer is that of the one execution, or is said to be
// omitted.
var keyModel = porcupine.Model{
	Partition: partitionByKey,
	Init:      func() any { return keyState{} },
	Step: func(state, input, _ any) (bool, any) {
		return stepKey(state.(keyState), input.(observation))
	},
}

func stepKey(s keyState, o observation) (bool, any) {
	switch {
	case o.ran:
		ok := !s.ran && !s.refused[o.body]
		s.ran, s.body, s.answer = true, o.body, o.answer
		return ok, s
	case o.outcome == outcome.Completed:
		right := s.answer == o.answer || o.answer == answerOmitted
		return s.ran && s.body == o.body && right, s
	default:
		ok := !s.ran || s.body != o.body
		s.refused[o.body] = true
		return ok, s
	}
}

func partitionByKey(history []porcupine.Operation) [][]porcupine.Operation {
	byKey := make(map[string][]porcupine.Operation)
	for _, operation := range history {
		key := operation.Input.(observation).key
		byKey[key] = append(byKey[key], operation)
	}
	return slices.Collect(maps.Values(byKey))
}

// fault returns what is wrong with the history, or nothing.
func (w *world) fault() string {
	for key, n := range w.perKey {
		if n > 1 {
			return fmt.Sprintf("key %s ran %d times", key, n)
		}
	}
	for request, n := range w.perRequest {
		if n > 1 {
			return fmt.Sprintf("request %d ran %d times", request, n)
		}
	}
	if !porcupine.CheckOperations(keyModel, w.history) {
		return "the history does not fit the model of a key"
	}
	return ""
}

// Guards against a second execution, a false not run and a wrong answer under
// any combination of faults.
func TestHistory(t *testing.T) {
	first, last := uint64(1), *historyRuns
	if *historySeed != 0 {
		first, last = *historySeed, *historySeed
	}
	seen := make(map[string]int)
	operations := 0
	for seed := first; seed <= last; seed++ {
		w := newWorld(seed, none)
		w.run()
		require.Empty(t, w.fault(), "go test ./core/once -run TestHistory$ -history.seed=%d", seed)
		operations += len(w.history)
		for what, n := range w.seen {
			seen[what] += n
		}
	}
	t.Logf("%d schedules, %d observations, %v", last-first+1, operations, seen)
	if *historySeed == 0 {
		requireVariety(t, seen)
	}
}

// requireVariety guards against a harness that no longer reaches the cases that
// it is there for.
func requireVariety(t *testing.T, seen map[string]int) {
	t.Helper()
	cases := []string{
		"start", "wait", "replay completed", "replay not_run", "replay unknown",
		"refuse not_run key_conflict", "refuse not_run key_expired", "refuse not_run draining",
		"refuse not_run overloaded", "refuse unknown key_expired", "refuse unknown executor_gone",
		"replay without answer", "dropped early", "crash", "handover", "handover cut", "adopt true", "adopt false", "adopted",
	}
	for _, what := range cases {
		require.NotZero(t, seen[what], what)
	}
}

// Guards against a check that can't fail: every protection that is switched off
// must be noticed.
func TestHistoryNoticesMutations(t *testing.T) {
	mutations := map[mutation]string{
		restartKeepsIncarnation:   "restart keeps incarnation",
		refusalNotFinal:           "refusal not final",
		incompleteAdoptionTrusted: "incomplete adoption trusted",
		recordDroppedEarly:        "record dropped early",
		fullTableForgetsRefusal:   "full table forgets refusal",
		runningKeysNotExported:    "running keys not exported",
		adoptedTableOpen:          "adopted table open",
		contentNotChecked:         "content not checked",
		forgottenIgnored:          "forgotten ignored",
		chunksNotFixed:            "chunks not fixed",

		droppedWithoutWatermarks:    "record dropped without watermarks",
		droppedAnswerPassesForWhole: "dropped answer passes for whole",
		droppedRecordNotHandedOver:  "dropped record not handed over",
		runningRecordDropped:        "running record dropped",
	}
	for m, name := range mutations {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= *historyRuns; seed++ {
				w := newWorld(seed, m)
				w.run()
				if fault := w.fault(); fault != "" {
					t.Logf("noticed at seed %d: %s", seed, fault)
					return
				}
			}
			t.Fatal("not noticed")
		})
	}
}
