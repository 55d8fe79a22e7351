package experiment

import (
	"math"
	"time"

	"github.com/primrosemount/primrosemount/core/leastshare"
	"github.com/primrosemount/primrosemount/core/outcome"
)

// capacity computes the best goodput at one time of a case. An operation holds a slot
// of its service during its self time and its calls, and a processor during its self
// time only.
type capacity struct {
	graph    *graph
	scenario *scenario
	at       time.Duration
}

// resources holds slots and processors of each service. For a request or a rate of
// requests, the values are the seconds for which it uses them; for the capacity, they
// are the available numbers.
type resources struct {
	slots      []float64
	processors []float64
}

// required returns the resources that one request of an operation uses.
func (c capacity) required(op *operation) resources {
	total := resources{make([]float64, len(c.graph.services)), make([]float64, len(c.graph.services))}
	c.addOperation(op, &total)
	return total
}

// addOperation adds the resources that an operation and its calls use to total. It
// returns the duration of the operation in seconds.
func (c capacity) addOperation(op *operation, total *resources) float64 {
	selfTime := op.work.Seconds()
	if op.service == c.graph.deepest && c.scenario.active(c.at) && !c.scenario.slowSingleTarget {
		selfTime *= c.scenario.workFactor
	}
	total.processors[op.service] += selfTime
	slotTime := selfTime
	for _, child := range op.calls {
		slotTime += c.addOperation(child, total) + 2*c.graph.hopDelay.Seconds()
	}
	total.slots[op.service] += slotTime
	return slotTime
}

// available returns the slots and processors of each service. The targets of a zone
// that restarts count as if they had their full speed.
func (c capacity) available() resources {
	total := resources{}
	for i, spec := range c.graph.services {
		targets := float64(spec.targets)
		if i == c.graph.deepest && c.scenario.slowSingleTarget && c.scenario.active(c.at) {
			targets -= 1 - 1/c.scenario.workFactor
		}
		if i == c.graph.deepest && c.scenario.active(c.at) {
			targets -= float64(c.scenario.lostTargets)
		}
		processors := targets * float64(spec.slots)
		total.slots = append(total.slots, processors)
		if i == c.graph.deepest && c.scenario.active(c.at) {
			processors *= c.scenario.processorShare
		}
		total.processors = append(total.processors, processors)
	}
	return total
}

// highestRate returns the highest rate of root requests that the capacity allows if
// they arrive in the shares of roots.
func (c capacity) highestRate(roots []*rootSpec) float64 {
	total := resources{make([]float64, len(c.graph.services)), make([]float64, len(c.graph.services))}
	for _, spec := range roots {
		total.addScaled(c.required(spec.op), spec.share)
	}
	return c.available().maxFactor(total, math.Inf(1))
}

func (r resources) addScaled(other resources, factor float64) {
	for i := range r.slots {
		r.slots[i] += factor * other.slots[i]
		r.processors[i] += factor * other.processors[i]
	}
}

// maxFactor returns the largest factor, at most bound, for which other times the factor
// does not exceed r.
func (r resources) maxFactor(other resources, bound float64) float64 {
	for i := range r.slots {
		if other.slots[i] > 0 {
			bound = math.Min(bound, r.slots[i]/other.slots[i])
		}
		if other.processors[i] > 0 {
			bound = math.Min(bound, r.processors[i]/other.processors[i])
		}
	}
	return math.Max(0, bound)
}

// offer is the offered rate of one kind of root request, in requests per second.
type offer struct {
	spec *rootSpec
	rate float64
}

// bestGoodput returns the highest rate of complete root requests of each class at the
// offered rates. It serves the least share of each kind of root request first, then the
// classes in the order of their importance. Within a class, it serves the same share of
// each kind until a service is saturated, and then continues with the kinds that do not
// need this service.
func (c capacity) bestGoodput(offered []offer, leastShare float64) map[outcome.Class]float64 {
	remaining := c.available()
	good := map[outcome.Class]float64{}
	served := c.serveEqually(scaled(offered, leastShare), remaining)
	for class := outcome.Critical; class <= outcome.Sheddable; class++ {
		var pending []offer
		for _, o := range offered {
			if o.spec.class == class {
				good[class] += served[o.spec]
				pending = append(pending, offer{o.spec, o.rate - served[o.spec]})
			}
		}
		for _, rate := range c.serveEqually(pending, remaining) {
			good[class] += rate
		}
	}
	return good
}

// leastShareIterations is the number of iterations that compute the bound on the least
// share. The bound depends on the share of requests that the plan serves, which in turn
// depends on the least share.
const leastShareIterations = 20

// leastShare returns the share of requests that a plan must serve before the order of
// classes counts. It is the default least share, adjusted for callers that retry
// refused requests, but at most leastshare.MaxRelativeShare of the share of all
// requests that the plan serves.
func (c capacity) leastShare(offered []offer) float64 {
	offeredRate := 0.0
	for _, o := range offered {
		offeredRate += o.rate
	}
	maxShare := leastshare.ShareWithRetries(leastshare.Default, 1+c.scenario.callerRetries)
	share := 0.0
	for range leastShareIterations {
		served := 0.0
		for _, rate := range c.bestGoodput(offered, share) {
			served += rate
		}
		share = math.Min(maxShare, leastshare.MaxRelativeShare*served/math.Max(offeredRate, 1))
	}
	return share
}

func scaled(offered []offer, factor float64) []offer {
	list := make([]offer, len(offered))
	for i, o := range offered {
		list[i] = offer{o.spec, factor * o.rate}
	}
	return list
}

// serveEqually serves the same share of each kind of root request until a service is
// saturated, continues with the kinds that do not need it, and ends when all requests
// are served or no kind is left. It subtracts the resources used from remaining and
// returns the rate served of each kind.
func (c capacity) serveEqually(pending []offer, remaining resources) map[*rootSpec]float64 {
	rates, served := map[*rootSpec]float64{}, 0.0
	for len(pending) > 0 && served < 1 {
		total := resources{make([]float64, len(remaining.slots)), make([]float64, len(remaining.slots))}
		for _, o := range pending {
			total.addScaled(c.required(o.spec.op), o.rate)
		}
		share := remaining.maxFactor(total, 1-served)
		remaining.addScaled(total, -share)
		for _, o := range pending {
			rates[o.spec] += share * o.rate
		}
		served += share
		pending = c.unsaturated(pending, remaining)
	}
	return rates
}

// unsaturated returns the kinds of root requests that need no saturated service.
func (c capacity) unsaturated(pending []offer, remaining resources) []offer {
	// epsilon is the remaining capacity below which rounding errors make a service
	// count as saturated.
	const epsilon = 1e-9
	var rest []offer
	for _, o := range pending {
		total := c.required(o.spec.op)
		saturated := false
		for i := range total.slots {
			saturated = saturated || (total.slots[i] > 0 && (remaining.slots[i] < epsilon || remaining.processors[i] < epsilon))
		}
		if !saturated {
			rest = append(rest, o)
		}
	}
	return rest
}
