package route

import (
	"math"
	"slices"
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
)

const (
	// ZonePenalty is the factor on the cost of targets in other zones of the
	// region. Calls are sent to another zone when the cost in the node's own
	// zone is higher by more than this factor.
	ZonePenalty = 2
	// costNoise is the maximum random surcharge on a cost, as a share of the
	// cost. Without it, a target whose cost is a little higher would get no
	// calls at low load, and its recovery would go unnoticed.
	costNoise = 0.25
	// maxSampleTries bounds the random draws for one sample of candidates. If
	// no candidate is found, all targets of the subset are scanned.
	maxSampleTries = 4
	// One in doomedTrialOneIn doomed calls is sent, and at least one per
	// doomedTrialInterval, so that recovery is noticed.
	doomedTrialOneIn    = 64
	doomedTrialInterval = 100 * time.Millisecond
	// doomedRetryAfter is the suggested wait after a refusal of a doomed call.
	doomedRetryAfter = time.Second
)

// A query holds the parameters of one Pick.
type query struct {
	at      int64 // in nanoseconds on the clock of the router
	level   outcome.Level
	exclude []uint64
	draw    draw
	panic   bool
}

// Pick chooses a target of a service for a call with the given effective level.
// A call with level zero is sent regardless of thresholds. Excluded
// incarnations, which the call has already tried, are not chosen. If no target
// can be chosen, the error has outcome not run and one of the reasons
// no_target, draining, target_down and doomed_downstream. Each call of Pick
// returns a new error.
func (r *Router) Pick(now time.Time, name string, level outcome.Level, exclude ...uint64) (*Endpoint, *outcome.Error) {
	s, q, unknown := r.query(now, name, level, exclude)
	if unknown != nil {
		return nil, unknown
	}
	v := s.view.Load()
	switch r.config.Policy {
	case TwoChoices:
		return v.result(q, s.twoChoices(v, q))
	case NearestCapacity:
		return v.result(q, s.nearestCapacity(v, q))
	case LeastWork:
		return v.result(q, s.leastWork(v, q, s.needOf(Request{})).Endpoint)
	default:
		return v.result(q, s.baseline(r.config.Policy, v, q))
	}
}

// query returns a service and a query for it, or an error if the service has no targets.
func (r *Router) query(now time.Time, name string, level outcome.Level, exclude []uint64) (*service, query, *outcome.Error) {
	s := (*r.services.Load())[name]
	if s == nil {
		return nil, query{}, outcome.New(outcome.NotRun, outcome.NoTarget, "no target of the service is known")
	}
	return s, query{
		at:      r.clock.nanos(now),
		level:   level,
		exclude: exclude,
		draw:    draw(s.random.next()),
		panic:   s.panic.Load(),
	}, nil
}

// result returns the endpoint, or the error if it is nil.
func (v *view) result(q query, e *Endpoint) (*Endpoint, *outcome.Error) {
	if e != nil {
		return e, nil
	}
	return nil, v.refusal(q)
}

// refusal returns the error for a query for which no endpoint can be chosen.
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

// A fit says whether an endpoint can be used for a query.
type fit uint8

const (
	fitNo fit = iota
	fitYes
	fitTrial // usable, and its trial call was claimed for this query
)

// fit checks one sampled endpoint. During a ramp it accepts the endpoint only
// with the probability rampShare.
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

// A candidate is the endpoint with the lowest cost found so far.
type candidate struct {
	endpoint *Endpoint
	cost     float64
}

// offer replaces the candidate if the endpoint has a lower cost.
func (c *candidate) offer(e *Endpoint, cost float64) {
	if c.endpoint == nil || cost < c.cost {
		c.endpoint = e
		c.cost = cost
	}
}

// twoChoices compares two random endpoints of the node's own zone with one of
// the other zones, or two of the region if the own zone gets no preference. If
// none of them can be used, it scans the subset.
func (s *service) twoChoices(v *view, q query) *Endpoint {
	var best candidate
	pool, otherPool := v.close, []*Endpoint(nil)
	if v.preferOwnZone {
		pool, otherPool = v.ownZone, v.otherZones
	}
	if trial := q.sample(&best, pool, 2, 1); trial != nil {
		return trial
	}
	if trial := q.sample(&best, otherPool, 1, ZonePenalty); trial != nil {
		return trial
	}
	if best.endpoint != nil {
		return best.endpoint
	}
	return s.scan(v, q)
}

// sample offers up to n random usable endpoints of the pool to best. If it
// claims the trial call of an endpoint, it returns that endpoint immediately,
// and nil otherwise.
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

// noise returns a random factor from 1 to 1+costNoise.
func (q *query) noise() float64 { return 1 + costNoise*q.draw.fraction() }

// A preference ranks endpoints in a scan; smaller is better.
type preference uint8

const (
	preferOpen preference = iota
	preferOutlier
	preferDoomed
	preferOtherRegionOpen
	preferOtherRegionOutlier
	preferOtherRegionDoomed
	preferConnectionLost
	preferOtherRegionConnectionLost
	preferNone
)

// scan returns the best endpoint of the complete subset, or nil. It ignores
// ramps, and uses ejected endpoints if there are no others.
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
	doomed := bestPreference == preferDoomed || bestPreference == preferOtherRegionDoomed
	if doomed && !s.claimDoomedTrial(&q) {
		return nil
	}
	if best != nil {
		best.claimTrialIfDue(q.at)
	}
	return best
}

// prefer returns the preference of an endpoint.
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

// forTier returns the preference p, or the corresponding lower preference if
// the endpoint is in another region.
func (e *Endpoint) forTier(p preference) preference {
	if e.tier != tierOtherRegion {
		return p
	}
	if p == preferConnectionLost {
		return preferOtherRegionConnectionLost
	}
	return p + preferOtherRegionOpen
}

// claimTrialIfDue claims the trial call of an endpoint that a scan chose, if a
// trial is due.
func (e *Endpoint) claimTrialIfDue(at int64) {
	if e.state(at) == stateTrialDue {
		e.claimTrial(at)
	}
}

// claimDoomedTrial reports whether a doomed call is sent anyway, to detect
// recovery.
func (s *service) claimDoomedTrial(q *query) bool {
	last := s.lastDoomedTrial.Load()
	if q.at-last >= int64(doomedTrialInterval) && s.lastDoomedTrial.CompareAndSwap(last, q.at) {
		return true
	}
	return q.draw.intN(doomedTrialOneIn) == 0
}
