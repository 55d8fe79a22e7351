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
	maxSampleTries = 4
	// doomedShare is one over the share of calls that are sent although all
	// thresholds are below their level, and doomedEvery the interval after which
	// one is sent in any case, so that recovery is found.
	doomedTrialOneIn    = 64
	doomedTrialInterval = 100 * time.Millisecond
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
		return v.result(q, s.nearestCapacity(v, q))
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
		state := e.state(q.at)
		if state < stateDown && !q.excludes(e) {
			return doomedError()
		}
		draining += int(indicator(state == stateDraining))
		down += int(indicator(state == stateDown))
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

func doomedError() *outcome.Error {
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
	switch e.state(q.at) {
	case stateOpen:
		fraction := e.rampShare(q.at)
		return fit(indicator(fraction >= 1 || q.draw.fraction() < fraction))
	case stateTrialDue:
		if e.claimTrial(q.at) {
			return fitTrial
		}
		return fitNo
	case stateOutlier:
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
	for range maxSampleTries {
		e := pool[q.draw.intN(len(pool))]
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
func (q *query) noise() float64 { return 1 + costNoise*q.draw.fraction() }

// preference orders endpoints in a scan, best first.
type preference uint8

const (
	preferOpen preference = iota
	preferOutlier
	preferDoomed
	preferFarOpen
	preferFarOutlier
	preferFarDoomed
	preferConnectionLost
	preferFarConnectionLost
	preferNone
)

// scan looks at all endpoints of the subset, ignores ramps, and uses ejected
// endpoints if no others are left.
func (s *service) scan(v *view, q query) *Endpoint {
	var best *Endpoint
	bestPreference, bestCost := preferNone, math.Inf(1)
	start := q.draw.intN(max(len(v.all), 1))
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
	if doomed && !s.claimDoomedTrial(&q) {
		return nil
	}
	if best != nil {
		best.claimTrialIfDue(q.at)
	}
	return best
}

// prefer ranks one endpoint.
func (q *query) prefer(e *Endpoint) preference {
	if q.excludes(e) {
		return preferNone
	}
	state := e.state(q.at)
	switch {
	case state >= stateDown:
		return preferNone
	case state == stateConnectionLost:
		return e.forTier(preferConnectionLost)
	case !e.admits(q.at, q.level):
		return e.forTier(preferDoomed)
	case state == stateOutlier:
		return e.forTier(preferOutlier)
	default:
		return e.forTier(preferOpen)
	}
}

// shift lowers the preference of other regions.
func (e *Endpoint) forTier(p preference) preference {
	if e.tier != tierFar {
		return p
	}
	if p == preferConnectionLost {
		return preferFarConnectionLost
	}
	return p + preferFarOpen
}

// claimIfDue marks the trial of an endpoint that a scan chose.
func (e *Endpoint) claimTrialIfDue(at int64) {
	if e.state(at) == stateTrialDue {
		e.claimTrial(at)
	}
}

// claimDoomed lets a small share of doomed calls through.
func (s *service) claimDoomedTrial(q *query) bool {
	last := s.lastDoomedTrial.Load()
	if q.at-last >= int64(doomedTrialInterval) && s.lastDoomedTrial.CompareAndSwap(last, q.at) {
		return true
	}
	return q.draw.intN(doomedTrialOneIn) == 0
}
