package route

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/primrosemount/primrosemount/core/cost"
	"github.com/primrosemount/primrosemount/core/outcome"
)

// The loads extend the queueing model of sim_test.go by operations of different cost,
// targets of different speed, gates that report the work left, and retries of refusals.
// There are 12 targets of 8 slots in 4 zones and 20 callers.
const (
	playEnd       = 12 * time.Second
	playWarmUp    = 2 * time.Second
	playSlots     = 8
	playQueue     = 40
	playPerZone   = 3
	playCallers   = 5
	playMean      = 20 * time.Millisecond
	playDeadline  = time.Second
	playTries     = 8
	playOwnZone   = 200 * time.Microsecond  // one way
	playOtherZone = 1400 * time.Microsecond // one way
	// zoneCapacity is the number of requests of the mean cost that one target in each of
	// the four zones can serve in a second.
	zoneCapacity = 4 * playSlots * float64(time.Second) / float64(playMean)
)

// An operationKind is a share of the requests.
type operationKind struct {
	name  string
	share float64
	mean  time.Duration
	// longShare of the requests take longFactor times as long.
	longShare, longFactor float64
	// calls is the time in the slot that does not depend on the speed of the target.
	calls time.Duration
	bytes int
}

// A playedLoad describes a load.
type playedLoad struct {
	name  string
	rate  float64 // in shares of the capacity
	kinds []operationKind
	// perZone is the number of targets in each zone; 0 means playPerZone.
	perZone int
	// rateAt is the factor on the rate of the callers of a zone at a time; nil means 1.
	rateAt func(zone int, at time.Duration) float64
	// speedAt is the speed of a target at a time; nil means 1.
	speedAt func(target int, at time.Duration) float64
	// shareAt is a factor on the share of a kind at a time; nil means 1.
	shareAt func(kind int, at time.Duration) float64
	// lies is the number of targets that report no work and a high speed.
	lies int
	// reportEvery is the least time between two reports of a target to the same sender,
	// as for a sender of few requests; 0 means that each response has one.
	reportEvery time.Duration
	// joins is when the last target joins; 0 means at the start.
	joins time.Duration
	// refuseShare is the share of requests that each target refuses.
	refuseShare float64
	// kneeFactor slows a target above 95 % of its slots.
	kneeFactor float64
	// coldFor is how long a target that joins runs at half speed.
	coldFor time.Duration
	// withoutWork is the number of targets whose gates do not report work.
	withoutWork int
}

// A way chooses a target.
type way struct {
	name  string
	place func(r *Router, now time.Time, request Request, tried []uint64) (Placement, *outcome.Error)
}

// playedTarget is what the loads add to a target of the model.
type playedTarget struct {
	index   int
	work    *cost.Work
	present []*playedRun
	renewed map[*Router]time.Duration
	served  time.Duration // busy time after the warm-up
	done    int
}

// playedRun is one request at a target.
type playedRun struct {
	kind     int
	expected float64
	started  time.Duration // 0 while it is queued
}

// played is the result of a load.
type played struct {
	offered, good, otherZone, sends int
	otherZoneBytes, bytes           int
	latencies                       []time.Duration
	byKind                          [][]time.Duration
	// busiest is the highest utilization of a target relative to the mean.
	busiest     float64
	utilization []float64
	ejections   int
	// speeds holds the learned speed of each target, as the mean over the senders of its
	// zone. Others may not send to it.
	speeds []float64
	// joinShare is the utilization of the target that joined relative to the mean, from
	// 2 s after it joined.
	joinShare float64
}

type player struct {
	*sim
	load   playedLoad
	way    way
	result played
	joined time.Duration
	// busyAtJoin holds the busy times as of 2 s after the join.
	busyAtJoin map[uint64]time.Duration
}

// play plays a load and returns what callers get.
func play(seed uint64, load playedLoad, w way) played {
	p := &player{sim: &sim{random: rand.New(rand.NewPCG(seed, 2)), targets: map[uint64]*simTarget{}}, load: load, way: w}
	p.load.perZone = cmp.Or(load.perZone, playPerZone)
	targets := fleet(p.load.perZone, "a", "b", "c", "d")
	for i := range targets {
		targets[i].Slots = playSlots
		p.targets[targets[i].Incarnation] = &simTarget{Target: targets[i], played: playedTarget{index: i, work: cost.NewWork(), renewed: map[*Router]time.Duration{}}}
	}
	first := targets
	if load.joins > 0 {
		first = targets[:len(targets)-1]
		p.after(load.joins, func() { p.join(targets) })
	}
	p.addRouters(seed, first)
	p.result.byKind = make([][]time.Duration, len(load.kinds))
	for i := range p.routers {
		p.startCaller(i)
	}
	for len(p.events) > 0 {
		e := heap.Pop(&p.events).(event)
		p.now = e.at
		e.run()
	}
	p.finish()
	return p.result
}

func (p *player) addRouters(seed uint64, targets []Target) {
	for i, zone := range []string{"a", "b", "c", "d"} {
		for n := range playCallers {
			r := New(Config{Self: uint64(1000 + 100*i + n), Zone: zone, Region: "r1", Seed: seed + uint64(100*i+n), Start: start, Policy: NearestCapacity,
				Observer: func(e Event) {
					if e.Ejected {
						p.result.ejections++
					}
				}})
			r.Update(start, "s", targets)
			p.routers = append(p.routers, r)
		}
	}
}

func (p *player) join(targets []Target) {
	p.joined = p.now
	for _, r := range p.routers {
		r.Update(start.Add(p.now), "s", targets)
	}
	p.after(2*time.Second, func() {
		p.busyAtJoin = map[uint64]time.Duration{}
		for id, t := range p.targets {
			p.busyAtJoin[id] = t.played.served
		}
	})
}

// startCaller offers the calls of one caller as a Poisson process with a varying rate.
func (p *player) startCaller(i int) {
	zone := i / playCallers
	rate := p.load.rate * zoneCapacity * float64(p.load.perZone) / float64(len(p.routers))
	const peak = 2.0
	gap := time.Duration(float64(time.Second) / rate / peak)
	var arrive func()
	arrive = func() {
		factor := 1.0
		if p.load.rateAt != nil {
			factor = p.load.rateAt(zone, p.now)
		}
		if p.random.Float64() < factor/peak {
			p.offer(p.routers[i])
		}
		if p.now < playEnd {
			p.after(p.exponential(gap), arrive)
		}
	}
	p.after(p.exponential(gap), arrive)
}

func (p *player) drawKind() int {
	draw := p.random.Float64()
	for i, kind := range p.load.kinds {
		share := kind.share
		if p.load.shareAt != nil {
			share *= p.load.shareAt(i, p.now)
		}
		if draw -= share; draw < 0 {
			return i
		}
	}
	return 0
}

// offer makes one call, with retries of refusals.
func (p *player) offer(r *Router) {
	kind := p.drawKind()
	started := p.now
	if started >= playWarmUp {
		p.result.offered++
	}
	p.try(r, kind, started, nil)
}

func (p *player) try(r *Router, kind int, started time.Duration, tried []uint64) {
	k := &p.load.kinds[kind]
	placed, err := p.way.place(r, start.Add(p.now), Request{Operation: k.name, Bytes: k.bytes, Remaining: playDeadline - (p.now - started)}, tried)
	if err != nil {
		return
	}
	t := p.targets[placed.Endpoint.Target().Incarnation]
	network := playOwnZone
	other := t.Zone != r.config.Zone
	if other {
		network = playOtherZone
	}
	p.countSend(started, other, k.bytes)
	placed.Begin()
	sent, ended := p.now, false
	end := func(result Result) {
		if ended {
			return
		}
		ended = true
		result.Latency = p.now - sent
		placed.Report(start.Add(p.now), p.reportOf(t, r, kind))
		placed.End(start.Add(p.now), result, k.bytes)
		switch {
		case result.Outcome == outcome.Completed:
			p.countGood(kind, started)
		case result.Outcome == outcome.NotRun && len(tried)+1 < playTries:
			p.try(r, kind, started, append(tried[:len(tried):len(tried)], t.Incarnation))
		}
	}
	p.after(playDeadline-(p.now-started), func() { end(Result{Outcome: outcome.Unknown, Reason: outcome.DeadlineExceeded}) })
	p.after(network, func() {
		p.arriveAt(t, kind, func(result Result) { p.after(network, func() { end(result) }) })
	})
}

func (p *player) countSend(started time.Duration, other bool, bytes int) {
	if started < playWarmUp {
		return
	}
	p.result.sends++
	p.result.bytes += bytes
	if other {
		p.result.otherZone++
		p.result.otherZoneBytes += bytes
	}
}

func (p *player) countGood(kind int, started time.Duration) {
	if started >= playWarmUp {
		p.result.good++
		p.result.latencies = append(p.result.latencies, p.now-started)
		p.result.byKind[kind] = append(p.result.byKind[kind], p.now-started)
	}
}

// speedOf returns the speed of a target now.
func (p *player) speedOf(t *simTarget) float64 {
	speed := 1.0
	if p.load.speedAt != nil {
		speed = p.load.speedAt(t.played.index, p.now)
	}
	if p.load.joins > 0 && t.played.index == len(p.targets)-1 && p.now < p.load.joins+p.load.coldFor {
		speed /= 2
	}
	if p.load.kneeFactor > 1 && float64(t.busy) > 0.95*playSlots {
		speed /= p.load.kneeFactor
	}
	return speed
}

func (p *player) arriveAt(t *simTarget, kind int, respond func(Result)) {
	if p.random.Float64() < p.load.refuseShare {
		p.after(time.Millisecond, func() { respond(Result{Outcome: outcome.NotRun, Reason: outcome.TargetRefused, NodeResponded: true}) })
		return
	}
	if len(t.queue) >= playQueue {
		respond(Result{Outcome: outcome.NotRun, Reason: outcome.Overloaded, NodeResponded: true})
		return
	}
	run := &playedRun{kind: kind, expected: t.played.work.Expected(p.now, uint32(kind))}
	t.played.present = append(t.played.present, run)
	t.queue = append(t.queue, func() { p.serve(t, run, respond) })
	p.serveNext(t)
}

func (p *player) serveNext(t *simTarget) {
	if t.busy < playSlots && len(t.queue) > 0 {
		next := t.queue[0]
		t.queue = t.queue[1:]
		t.busy++
		next()
	}
}

func (p *player) serve(t *simTarget, run *playedRun, respond func(Result)) {
	k := &p.load.kinds[run.kind]
	run.started = p.now
	own := time.Duration(float64(p.exponentialPart(k.mean)) / p.speedOf(t))
	if p.random.Float64() < k.longShare {
		own = time.Duration(float64(own) * k.longFactor)
	}
	p.after(own+k.calls, func() {
		t.busy--
		t.played.present = slices.DeleteFunc(t.played.present, func(r *playedRun) bool { return r == run })
		t.played.work.Observe(p.now, uint32(run.kind), own, k.calls)
		if p.now >= playWarmUp && p.now < playEnd {
			t.played.served += own + k.calls
			t.played.done++
		}
		respond(Result{Outcome: outcome.Completed, NodeResponded: true})
		p.serveNext(t)
	})
}

// exponentialPart returns a time that is half fixed and half exponential.
func (p *player) exponentialPart(mean time.Duration) time.Duration {
	return mean/2 + p.exponential(mean/2)
}

// reportOf returns what the gate of a target reports to a sender.
func (p *player) reportOf(t *simTarget, r *Router, kind int) Report {
	if t.played.index < p.load.lies {
		return Report{Threshold: outcome.MaxLevel, Limit: playSlots, WorkLeft: time.Microsecond, Slots: playSlots, OwnWork: time.Millisecond, Speed: 2}
	}
	if last, known := t.played.renewed[r]; known && p.now-last < p.load.reportEvery {
		return Report{Threshold: outcome.MaxLevel}
	}
	t.played.renewed[r] = p.now
	report := p.freshReport(t)
	report.OwnWork, _ = t.played.work.Own(uint32(kind))
	if t.played.index < p.load.withoutWork {
		return Report{Threshold: report.Threshold, InFlight: report.InFlight, Limit: report.Limit}
	}
	return report
}

func (p *player) freshReport(t *simTarget) Report {
	left := 0.0
	for _, run := range t.played.present {
		if run.started > 0 {
			left += t.played.work.Left(run.expected, float64(p.now-run.started))
		} else {
			left += run.expected
		}
	}
	return Report{Threshold: outcome.MaxLevel, InFlight: len(t.played.present), Limit: playSlots,
		WorkLeft: max(time.Duration(left), time.Microsecond), Slots: playSlots, Speed: t.played.work.Speed(p.now)}
}

func (p *player) finish() {
	sum := 0.0
	for id := range uint64(len(p.targets)) {
		t := p.targets[id+1]
		u := float64(t.played.served) / float64(playSlots) / float64(playEnd-playWarmUp)
		p.result.utilization = append(p.result.utilization, u)
		sum += u
	}
	for id := range uint64(len(p.targets)) {
		speed := 0.0
		for _, r := range p.routers {
			if e := r.Find(id + 1); e.tier == tierOwnZone {
				speed += e.learned().speed.Value() / playCallers
			}
		}
		p.result.speeds = append(p.result.speeds, speed)
	}
	p.result.busiest = slices.Max(p.result.utilization) / sum * float64(len(p.targets))
	if p.busyAtJoin != nil {
		total := 0.0
		for id, t := range p.targets {
			total += float64(t.played.served - p.busyAtJoin[id])
		}
		last := uint64(len(p.targets))
		p.result.joinShare = float64(p.targets[last].played.served-p.busyAtJoin[last]) / total * float64(len(p.targets))
	}
}

func (r played) mean() time.Duration {
	sum := time.Duration(0)
	for _, l := range r.latencies {
		sum += l
	}
	return sum / time.Duration(max(len(r.latencies), 1))
}

func quantileOf(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[int(q*float64(len(sorted)-1))]
}

func (r played) goodShare() float64 { return float64(r.good) / float64(r.offered) }

func (r played) otherZoneShare() float64 { return float64(r.otherZone) / float64(r.sends) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (r played) String() string {
	return fmt.Sprintf("good %6.2f %%, mean %6.1f ms, p99 %6.1f ms, busiest / mean %.2f, other zone %3.0f %%, ejections %d",
		100*r.goodShare(), milliseconds(r.mean()), milliseconds(quantileOf(r.latencies, 0.99)), r.busiest, 100*r.otherZoneShare(), r.ejections)
}

// waysToCompare returns the ways that are compared.
func waysToCompare() []way {
	scan := func(score func(e *Endpoint, q *query, s *service) float64, samples int) func(*Router, time.Time, Request, []uint64) (Placement, *outcome.Error) {
		return func(r *Router, now time.Time, request Request, tried []uint64) (Placement, *outcome.Error) {
			s := (*r.services.Load())["s"]
			v := s.view.Load()
			q := query{at: r.clock.nanos(now), exclude: tried, draw: draw(s.random.next())}
			n := s.needOf(request)
			p := Placement{need: n, byWork: true}
			p.need.operation = s.operations.Get(q.at, request.Operation)
			best := math.Inf(1)
			for i := range len(v.close) {
				e := v.close[(i+int(q.at))%len(v.close)]
				if samples > 0 {
					if i >= samples {
						break
					}
					e = v.close[q.draw.intN(len(v.close))]
				}
				if q.fit(e) == fitNo {
					continue
				}
				if score := score(e, &q, s); score < best {
					best, p.Endpoint = score, e
				}
			}
			if p.Endpoint == nil {
				p.Endpoint = s.scan(v, q)
			}
			if p.Endpoint == nil {
				return p, v.refusal(q)
			}
			p.Endpoint.estimate(&p.best, q.at, &p.need, 0)
			p.explained, p.expectedWork = time.Duration(p.best.explained), int64(p.best.slot)
			return p, nil
		}
	}
	occupancy := func(e *Endpoint, q *query, _ *service) float64 { return e.occupancy(q.at) }
	return []way{
		{"nearest capacity", func(r *Router, now time.Time, _ Request, tried []uint64) (Placement, *outcome.Error) {
			e, err := r.Pick(now, "s", 0, tried...)
			return Placement{Endpoint: e}, err
		}},
		{"shortest queue", scan(occupancy, 0)},
		{"peak EWMA", scan(func(e *Endpoint, q *query, _ *service) float64 { return e.cost(q.at) }, 2)},
		{"2 choices", scan(occupancy, 2)},
		{"4 choices", scan(occupancy, 4)},
		{"least work left", scan(func(e *Endpoint, q *query, s *service) float64 {
			b := e.backlog(q.at, s.needOf(Request{}).mean, e.learned().freshness(q.at))
			return b.work / b.slots
		}, 0)},
		expectedCompletion,
	}
}

// expectedCompletion is the policy LeastWork.
var expectedCompletion = way{"expected completion", placeByWork}

func placeByWork(r *Router, now time.Time, request Request, tried []uint64) (Placement, *outcome.Error) {
	return r.Place(now, "s", 0, request, tried...)
}

// comparison is the mean result of a load over some seeds.
type comparison struct{ good, mean, p99, busiest, otherZone, ejections float64 }

func comparisonOf(load playedLoad, w way, seeds uint64) comparison {
	var c comparison
	share := 1 / float64(seeds)
	for seed := uint64(1); seed <= seeds; seed++ {
		r := play(seed, load, w)
		c.good += share * r.goodShare()
		c.mean += share * milliseconds(r.mean())
		c.p99 += share * milliseconds(quantileOf(r.latencies, 0.99))
		c.busiest += share * r.busiest
		c.otherZone += share * r.otherZoneShare()
		c.ejections += share * float64(r.ejections)
	}
	return c
}

func (c comparison) String() string {
	return fmt.Sprintf("%.2f %% | %.1f ms | %.0f ms | %.2f | %.0f %% | %.0f", 100*c.good, c.mean, c.p99, c.busiest, 100*c.otherZone, c.ejections)
}
