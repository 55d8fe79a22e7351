package route

import (
	"math"
	"slices"
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
)

const (
	// ZonePenalty multiplies the cost of targets in other zones of the region.
	// Calls spill over when the own zone costs more than this factor.
	ZonePenalty = 2
	// costNoise is the largest random surcharge on a cost, as a share of it. Without
	// it a target whose cost is a little higher would get no calls while the load
	// is low, and nothing would show that it has become as good as its peers.
	costNoise = 0.25
	// sampleTries bounds the samples taken for two candidates before all
	// targets of the subset are scanned.
	sampleTries = 4
	// doomedShare is one over the share of calls that are sent although all
	// thresholds are below their level, and doomedEvery the interval after which
	// one is sent in any case, so that recovery is found.
	doomedShare = 64
	doomedEvery = 100 * time.Millisecond
	// doomedRetryAfter is the suggested wait after such a refusal.
	doomedRetryAfter = time.Second
)

// query is one Pick.
type query struct {
	at      int64
	level   outcome.Level
	exclude []uint64
	draw    draw
	panic   bool
}

// Pick chooses a target of a service for a call of the level. Level zero means
// that the call is sent whatever the thresholds are. Excluded incarnations are
// not chosen; they are those that the call has already tried. The error has
// outcome not run and one of the reasons no_target, draining, target_down and
// doomed_downstream. Each call returns its own error.
func (r *Router) Pick(now time.Time, name string, level outcome.Level, exclude ...uint64) (*Endpoint, *outcome.Error) {
	s := (*r.services.Load())[name]
	if s == nil {
		return nil, outcome.New(outcome.NotRun, outcome.NoTarget, "no target of the service is known")
	}
	q := query{
		at:      r.clock.nanos(now),
		level:   level,
		exclude: exclude,
		draw:    draw(s.random.next()),
		panic:   s.panic.Load(),
	}
	v := s.view.Load()
	switch r.config.Policy {
	case TwoChoices:
		return v.result(q, s.twoChoices(v, q))
	case NearestCapacity:
		return v.result(q, s.nearestRoom(v, q))
	default:
		return v.result(q, s.baseline(r.config.Policy, v, q))
	}
}

// result turns a missing endpoint into an error.
func (v *view) result(q query, e *Endpoint) (*Endpoint, *outcome.Error) {
	if e != nil {
		return e, nil
	}
	return nil, v.refusal(q)
}

// refusal names the reason why no endpoint can be chosen.
func (v *view) refusal(q query) *outcome.Error {
	draining, down := 0, 0
	for _, e := range v.all {
		standing := e.standing(q.at)
		if standing < standingDown && !q.excludes(e) {
			return doomed()
		}
		draining += int(indicator(standing == standingDraining))
		down += int(indicator(standing == standingDown))
	}
	switch {
	case down > 0:
		return outcome.New(outcome.NotRun, outcome.TargetDown, "all targets of the service that are left are down")
	case draining > 0:
		return outcome.New(outcome.NotRun, outcome.Draining, "all targets of the service that are left are draining")
	default:
		return outcome.New(outcome.NotRun, outcome.NoTarget, "no further target of the service is known")
	}
}

func doomed() *outcome.Error {
	err := outcome.New(outcome.NotRun, outcome.DoomedDownstream, "no target of the service admits the level of the request")
	err.RetryAfter = doomedRetryAfter
	return err
}

func (q *query) excludes(e *Endpoint) bool {
	return len(q.exclude) > 0 && slices.Contains(q.exclude, e.target.Incarnation)
}

// fit is how well an endpoint suits a query.
type fit uint8

const (
	fitNo fit = iota
	fitYes
	fitTrial // the single trial call was claimed for this query
)

// fit checks one sampled endpoint.
func (q *query) fit(e *Endpoint) fit {
	if q.excludes(e) || !e.admits(q.at, q.level) {
		return fitNo
	}
	switch e.standing(q.at) {
	case standingOpen:
		share := e.rampShare(q.at)
		return fit(indicator(share >= 1 || q.draw.share() < share))
	case standingTrialDue:
		if e.claimTrial(q.at) {
			return fitTrial
		}
		return fitNo
	case standingBad:
		return fit(indicator(q.panic))
	default:
		return fitNo
	}
}

// candidate is the best endpoint found so far.
type candidate struct {
	endpoint *Endpoint
	cost     float64
}

// offer keeps the cheaper endpoint.
func (c *candidate) offer(e *Endpoint, cost float64) {
	if c.endpoint == nil || cost < c.cost {
		c.endpoint = e
		c.cost = cost
	}
}

// twoChoices samples two endpoints of the own zone and one of the other zones,
// or two of the region if the own zone gets no preference.
func (s *service) twoChoices(v *view, q query) *Endpoint {
	var best candidate
	pool, outside := v.close, []*Endpoint(nil)
	if v.preferOwn {
		pool, outside = v.own, v.near
	}
	if trial := q.sample(&best, pool, 2, 1); trial != nil {
		return trial
	}
	if trial := q.sample(&best, outside, 1, ZonePenalty); trial != nil {
		return trial
	}
	if best.endpoint != nil {
		return best.endpoint
	}
	return s.scan(v, q)
}

// sample offers up to n fitting endpoints of the pool. It returns an endpoint
// at once if its trial call was claimed.
func (q *query) sample(best *candidate, pool []*Endpoint, n int, penalty float64) *Endpoint {
	if len(pool) == 0 {
		return nil
	}
	var last *Endpoint
	for range sampleTries {
		e := pool[q.draw.below(len(pool))]
		if e == last {
			continue
		}
		last = e
		switch q.fit(e) {
		case fitTrial:
			return e
		case fitYes:
			best.offer(e, q.noise()*penalty*e.cost(q.at))
			n--
		}
		if n == 0 {
			return nil
		}
	}
	return nil
}

// noise is a random factor from 1 to 1+costNoise.
func (q *query) noise() float64 { return 1 + costNoise*q.draw.share() }

// preference orders endpoints in a scan, best first.
type preference uint8

const (
	preferOpen preference = iota
	preferBad
	preferDoomed
	preferFarOpen
	preferFarBad
	preferFarDoomed
	preferLost
	preferFarLost
	preferNone
)

// scan looks at all endpoints of the subset, ignores ramps, and uses ejected
// endpoints if no others are left.
func (s *service) scan(v *view, q query) *Endpoint {
	var best *Endpoint
	bestPreference, bestCost := preferNone, math.Inf(1)
	start := q.draw.below(max(len(v.all), 1))
	for i := range v.all {
		e := v.all[(start+i)%len(v.all)]
		preference := q.prefer(e)
		if preference == preferNone || preference > bestPreference {
			continue
		}
		cost := e.cost(q.at)
		if preference < bestPreference || cost < bestCost {
			best, bestPreference, bestCost = e, preference, cost
		}
	}
	doomed := bestPreference == preferDoomed || bestPreference == preferFarDoomed
	if doomed && !s.claimDoomed(&q) {
		return nil
	}
	if best != nil {
		best.claimIfDue(q.at)
	}
	return best
}

// prefer ranks one endpoint.
func (q *query) prefer(e *Endpoint) preference {
	if q.excludes(e) {
		return preferNone
	}
	standing := e.standing(q.at)
	switch {
	case standing >= standingDown:
		return preferNone
	case standing == standingLost:
		return e.shift(preferLost)
	case !e.admits(q.at, q.level):
		return e.shift(preferDoomed)
	case standing == standingBad:
		return e.shift(preferBad)
	default:
		return e.shift(preferOpen)
	}
}

// shift lowers the preference of other regions.
func (e *Endpoint) shift(p preference) preference {
	if e.tier != tierFar {
		return p
	}
	if p == preferLost {
		return preferFarLost
	}
	return p + preferFarOpen
}

// claimIfDue marks the trial of an endpoint that a scan chose.
func (e *Endpoint) claimIfDue(at int64) {
	if e.standing(at) == standingTrialDue {
		e.claimTrial(at)
	}
}

// claimDoomed lets a small share of doomed calls through.
func (s *service) claimDoomed(q *query) bool {
	last := s.doomedTrial.Load()
	if q.at-last >= int64(doomedEvery) && s.doomedTrial.CompareAndSwap(last, q.at) {
		return true
	}
	return q.draw.below(doomedShare) == 0
}
