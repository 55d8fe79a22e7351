package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// baseUtilization is the utilization of the scarcest resource at ordinary demand.
const baseUtilization = 0.6

// Arrival is one recorded root request.
type Arrival struct {
	// At is the time since the start of the recording.
	At time.Duration `json:"at"`
	// Operation is the name of the root operation, for example "stock check".
	Operation string `json:"operation"`
	// Class is the class in lower case. It distinguishes kinds of root requests with
	// the same operation; if it is empty, the first kind with the operation is used.
	Class string `json:"class,omitempty"`
	// Cohort is the cohort of the root request, 0 to 127.
	Cohort uint32 `json:"cohort"`
}

// arrival is the arrival of a root request in a replay.
type arrival struct {
	at     time.Duration
	spec   *rootSpec
	cohort uint32
}

// seededArrivals returns random arrivals of a Poisson process at the demand of the
// case.
func seededArrivals(g *graph, s *scenario, seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, 7))
	roots := s.roots(g)
	rate := baseUtilization * s.baseDemand * capacity{graph: g, scenario: s, at: 0}.highestRate(roots)
	var list []arrival
	end := s.end() + coolDown
	for at := time.Duration(0); at < end; {
		now := rate
		if s.active(at) {
			now *= s.demandFactor
		}
		at += time.Duration(random.ExpFloat64() / now * float64(time.Second))
		list = append(list, arrival{at, drawRoot(roots, random), random.Uint32() % outcome.Cohorts})
	}
	return list
}

// roots returns the root requests of a case, with shares that sum to 1.
func (s *scenario) roots(g *graph) []*rootSpec {
	var list []*rootSpec
	total := 0.0
	for i := range g.roots {
		spec := g.roots[i]
		if s.deepOnly && depthTo(spec.op, g.deepest) < 2 {
			continue
		}
		total += spec.share
		list = append(list, &spec)
	}
	for _, spec := range list {
		spec.share /= total
	}
	return list
}

// depthTo returns the number of calls from an operation down to a service, or -1 if the
// operation does not reach the service.
func depthTo(op *operation, service int) int {
	if op.service == service {
		return 0
	}
	for _, child := range op.calls {
		if depth := depthTo(child, service); depth >= 0 {
			return depth + 1
		}
	}
	return -1
}

// drawRoot selects a root request at random according to the shares.
func drawRoot(roots []*rootSpec, random *rand.Rand) *rootSpec {
	x := random.Float64()
	for _, spec := range roots {
		x -= spec.share
		if x < 0 {
			return spec
		}
	}
	return roots[len(roots)-1]
}

// convertArrivals converts recorded arrivals. It returns an error if the call graph
// does not have a recorded operation.
func convertArrivals(g *graph, s *scenario, list []Arrival) ([]arrival, error) {
	roots := s.roots(g)
	var out []arrival
	for _, a := range list {
		spec := findRoot(roots, a)
		if spec == nil {
			detail := "the call graph " + g.name + " has no root operation " + a.Operation + " " + a.Class
			return nil, outcome.New(outcome.NotRun, outcome.BadRequest, detail)
		}
		out = append(out, arrival{a.At, spec, a.Cohort % outcome.Cohorts})
	}
	return out, nil
}

// findRoot returns the kind of root request of a recorded arrival, or nil if there is
// none.
func findRoot(roots []*rootSpec, a Arrival) *rootSpec {
	for _, spec := range roots {
		if spec.op.name == a.Operation && (a.Class == "" || a.Class == spec.class.String()) {
			return spec
		}
	}
	return nil
}
