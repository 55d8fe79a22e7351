package route

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// sim is a small queueing model on a virtual clock. Callers have one Router
// each; targets have slots and a bounded queue. Inter-arrival and service times
// are exponential. Calls are not retried, so that the model measures only the
// choice of targets.
type sim struct {
	now     time.Duration
	events  eventHeap
	random  *rand.Rand
	routers []*Router
	targets map[uint64]*simTarget
	tally   tallyByPhase
}

// A fault determines how a faulty target treats a call: if serve is true, it
// serves the call with the mean service time after; otherwise it responds with
// the result after that time.
type fault func() (after time.Duration, result Result, serve bool)

// simTarget is one target of the model.
type simTarget struct {
	Target
	service time.Duration // mean service time of one call
	fault   fault
	// lossShare is the share of the served calls whose response is lost between the
	// target and its node.
	lossShare float64
	busy      int
	queue     []func()
	calls     int
	// played is used by the loads of loads_test.go.
	played playedTarget
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// tallyByPhase counts calls by the phase of the simulation in which they
// started.
type tallyByPhase struct {
	offered, good, otherZone [phases]int
	latency                  [phases][]time.Duration
	// goodPerSecond counts good calls by the second in which they started.
	goodPerSecond map[int]int
}

const (
	phaseBefore = iota
	phaseFault
	phaseAfter
	phases
)

const (
	faultFrom   = 5 * time.Second
	faultUntil  = 15 * time.Second
	simEnd      = 22 * time.Second
	simDeadline = 250 * time.Millisecond
	simSlots    = 8
	simQueue    = 40
	simService  = 10 * time.Millisecond
)

func phaseOf(at time.Duration) int {
	switch {
	case at < faultFrom:
		return phaseBefore
	case at < faultUntil:
		return phaseFault
	default:
		return phaseAfter
	}
}

// newSim returns a simulation of 8 targets in 4 zones, with one caller in each
// of the given zones.
func newSim(seed uint64, policy Policy, callerZones []string) *sim {
	s := &sim{random: rand.New(rand.NewPCG(seed, 1)), targets: map[uint64]*simTarget{}}
	s.tally.goodPerSecond = map[int]int{}
	targets := fleet(2, "a", "b", "c", "d")
	for _, t := range targets {
		t.Slots = simSlots
		s.targets[t.Incarnation] = &simTarget{Target: t, service: simService}
	}
	for i, zone := range callerZones {
		r := New(Config{Self: uint64(1000 + i), Zone: zone, Region: "r1", Seed: seed + uint64(i), Start: start, Policy: policy})
		r.Update(start, "s", targets)
		s.routers = append(s.routers, r)
	}
	return s
}

// observe sets the observer of ejections in all routers.
func (s *sim) observe(f func(Event)) {
	for _, r := range s.routers {
		(*r.services.Load())["s"].observer = f
	}
}

func (s *sim) after(d time.Duration, run func()) {
	heap.Push(&s.events, event{s.now + d, len(s.events), run})
}

func (s *sim) exponential(mean time.Duration) time.Duration {
	return time.Duration(s.random.ExpFloat64() * float64(mean))
}

// run offers calls at the given rate. The first targets, faulty in number, have
// the fault during the fault phase.
func (s *sim) run(rate float64, faulty uint64, fault fault) {
	for id := range faulty {
		s.after(faultFrom, func() { s.targets[id+1].fault = fault })
		s.after(faultUntil, func() { s.targets[id+1].fault = nil })
	}
	gap := time.Duration(float64(time.Second) / rate)
	var arrive func()
	arrive = func() {
		s.call(s.routers[s.random.IntN(len(s.routers))])
		if s.now < simEnd {
			s.after(s.exponential(gap), arrive)
		}
	}
	arrive()
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

// call makes one call and counts it.
func (s *sim) call(r *Router) {
	started, phase := s.now, phaseOf(s.now)
	s.tally.offered[phase]++
	e, err := r.Pick(start.Add(s.now), "s", outcome.LevelOf(outcome.Normal, 0))
	if err != nil {
		return
	}
	e.Begin()
	network := 200 * time.Microsecond
	if e.Target().Zone != r.config.Zone {
		network = time.Millisecond
		s.tally.otherZone[phase]++
	}
	ended := false
	end := func(result Result) {
		if ended {
			return
		}
		ended = true
		result.Latency = s.now - started
		s.count(phase, started, result)
		t := s.targets[e.Target().Incarnation]
		e.Report(start.Add(s.now), t.report())
		e.End(start.Add(s.now), result)
	}
	s.after(simDeadline, func() { end(Result{Outcome: outcome.Unknown, Reason: outcome.DeadlineExceeded}) })
	s.after(network, func() {
		s.arriveAt(s.targets[e.Target().Incarnation], func(result Result) {
			s.after(network, func() { end(result) })
		})
	})
}

func (t *simTarget) report() Report {
	if t.fault != nil {
		return Report{Threshold: outcome.MaxLevel, Limit: simSlots}
	}
	return Report{Threshold: outcome.MaxLevel, InFlight: t.busy, Limit: simSlots}
}

func (s *sim) count(phase int, started time.Duration, result Result) {
	if result.Outcome != outcome.Completed || result.ErrorResponse {
		return
	}
	s.tally.good[phase]++
	s.tally.latency[phase] = append(s.tally.latency[phase], result.Latency)
	s.tally.goodPerSecond[int(started/time.Second)]++
}

// arriveAt queues a call at a target.
func (s *sim) arriveAt(t *simTarget, respond func(Result)) {
	t.calls++
	mean := t.service
	if t.fault != nil {
		after, result, serve := t.fault()
		if !serve {
			s.after(after, func() { respond(result) })
			return
		}
		mean = after
	}
	if len(t.queue) >= simQueue {
		respond(Result{Outcome: outcome.NotRun, Reason: outcome.Overloaded})
		return
	}
	work := s.exponential(mean)
	t.queue = append(t.queue, func() {
		s.after(work, func() {
			t.busy--
			result := Result{Outcome: outcome.Completed, NodeResponded: true}
			if t.lossShare > 0 && s.random.Float64() < t.lossShare {
				result.Outcome, result.Reason = outcome.Unknown, outcome.AnswerLost
			}
			respond(result)
			s.serve(t)
		})
	})
	s.serve(t)
}

func (s *sim) serve(t *simTarget) {
	if t.busy < simSlots && len(t.queue) > 0 {
		next := t.queue[0]
		t.queue = t.queue[1:]
		t.busy++
		next()
	}
}

// share returns the share of the offered calls of a phase that were good.
func (t *tallyByPhase) share(phase int) float64 {
	return float64(t.good[phase]) / float64(t.offered[phase])
}

// goodput returns the good calls per second between two times, which must be
// multiples of a second.
func (t *tallyByPhase) goodput(from, until time.Duration) float64 {
	sum := 0
	for second := int(from / time.Second); second < int(until/time.Second); second++ {
		sum += t.goodPerSecond[second]
	}
	return float64(sum) / (until - from).Seconds()
}

// quantile returns the q-quantile of the latencies of a phase.
func (t *tallyByPhase) quantile(phase int, q float64) time.Duration {
	values := t.latency[phase]
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}

func (t *tallyByPhase) String() string {
	return fmt.Sprintf("good %6.2f %% before, %6.2f %% fault, %6.2f %% after; p99 %4d ms before, %4d ms fault; other zone %3.0f %% before, %3.0f %% fault",
		100*t.share(phaseBefore), 100*t.share(phaseFault), 100*t.share(phaseAfter),
		t.quantile(phaseBefore, 0.99).Milliseconds(), t.quantile(phaseFault, 0.99).Milliseconds(),
		100*float64(t.otherZone[phaseBefore])/float64(t.offered[phaseBefore]),
		100*float64(t.otherZone[phaseFault])/float64(t.offered[phaseFault]))
}
