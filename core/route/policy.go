package route

// A Policy selects how a target is chosen among the candidates of a service.
type Policy uint8

// Policies. TwoChoices compares latency and load of a few targets.
// NearestCapacity keeps calls in the node's own zone while a target there
// has free capacity. LeastWork chooses by the expected cost of the request and the
// work that targets have left. The others are baselines for comparison: they avoid
// draining and down targets, but ignore ejections, thresholds and zones.
const (
	TwoChoices Policy = iota
	RoundRobin
	Random
	LeastConnections
	NearestCapacity
	LeastWork
)

// String returns the name of the policy in reports of experiments, such as
// "two_choices".
func (p Policy) String() string {
	return [...]string{"two_choices", "round_robin", "random", "least_connections", "nearest_room", "least_work"}[p]
}

// baseline returns the target that a baseline policy chooses, or nil if no
// usable target remains. Targets of other regions are used only if the
// node's own region has none.
func (s *service) baseline(policy Policy, v *view, q query) *Endpoint {
	pool := v.close
	if len(pool) == 0 {
		pool = v.otherRegions
	}
	if len(pool) == 0 {
		return nil
	}
	switch policy {
	case RoundRobin:
		return q.firstUsable(pool, int(s.roundRobin.Add(1)%uint64(len(pool))))
	case LeastConnections:
		return q.leastUsed(pool)
	default:
		return q.firstUsable(pool, q.draw.intN(len(pool)))
	}
}

func (q *query) usable(e *Endpoint) bool {
	return !e.draining.Load() && !e.down.Load() && !q.excludes(e)
}

// firstUsable returns the first usable endpoint at or after position start.
func (q *query) firstUsable(pool []*Endpoint, start int) *Endpoint {
	for i := range pool {
		e := pool[(start+i)%len(pool)]
		if q.usable(e) {
			return e
		}
	}
	return nil
}

// leastUsed returns the usable endpoint with the fewest calls in flight. It
// scans from a random position so that ties are spread.
func (q *query) leastUsed(pool []*Endpoint) *Endpoint {
	var best candidate
	start := q.draw.intN(len(pool))
	for i := range pool {
		e := pool[(start+i)%len(pool)]
		if q.usable(e) {
			best.offer(e, float64(e.inFlight.Load()))
		}
	}
	return best.endpoint
}
