package route

// Policy is the choice among the candidates of a service.
type Policy uint8

// Policies. TwoChoices compares latency and load of few targets; NearestCapacity
// keeps calls in the own zone while it has room. The others are baselines for
// comparison: they avoid draining and down targets and know neither ejection nor
// thresholds nor zones.
const (
	TwoChoices Policy = iota
	RoundRobin
	Random
	LeastConnections
	NearestCapacity
)

// String returns the name used in experiments.
func (p Policy) String() string {
	return [...]string{"two_choices", "round_robin", "random", "least_connections", "nearest_room"}[p]
}

// baseline returns the choice of a baseline policy; nil if no target is left.
func (s *service) baseline(policy Policy, v *view, q query) *Endpoint {
	pool := v.close
	if len(pool) == 0 {
		pool = v.far
	}
	if len(pool) == 0 {
		return nil
	}
	switch policy {
	case RoundRobin:
		return q.firstUsable(pool, int(s.turn.Add(1)%uint64(len(pool))))
	case LeastConnections:
		return q.leastUsed(pool)
	default:
		return q.firstUsable(pool, q.draw.below(len(pool)))
	}
}

func (q *query) usable(e *Endpoint) bool {
	return !e.draining.Load() && !e.down.Load() && !q.excludes(e)
}

// firstUsable returns the first usable endpoint at or after start.
func (q *query) firstUsable(pool []*Endpoint, start int) *Endpoint {
	for i := range pool {
		e := pool[(start+i)%len(pool)]
		if q.usable(e) {
			return e
		}
	}
	return nil
}

// leastUsed returns the usable endpoint with the fewest calls in flight, from a
// random start so that ties are spread.
func (q *query) leastUsed(pool []*Endpoint) *Endpoint {
	var best candidate
	start := q.draw.below(len(pool))
	for i := range pool {
		e := pool[(start+i)%len(pool)]
		if q.usable(e) {
			best.offer(e, float64(e.inFlight.Load()))
		}
	}
	return best.endpoint
}
