package experiment

import (
	"math"
	"time"

	"github.com/primrosemount/primrosemount/core/leastshare"
	"github.com/primrosemount/primrosemount/core/outcome"
)

// capacity computes the best goodput at one time of a case: slots of a service
// are held during own work and during the calls that an operation makes, and
// own work needs processors.
type capacity struct {
	graph    *graph
	scenario *scenario
	at       time.Duration
}

// need is the time, in seconds, that one root request holds slots and
// processors of each service.
type resources struct {
	slots      []float64
	processors []float64
}

// of returns what one request of an operation needs.
func (c capacity) required(op *operation) resources {
	total := resources{make([]float64, len(c.graph.services)), make([]float64, len(c.graph.services))}
	c.addOperation(op, &total)
	return total
}

// add adds the need of an operation and returns the time that it takes.
func (c capacity) addOperation(op *operation, total *resources) float64 {
	ownWork := op.work.Seconds()
	if op.service == c.graph.deepest && c.scenario.active(c.at) && !c.scenario.slowSingleTarget {
		ownWork *= c.scenario.workFactor
	}
	total.processors[op.service] += ownWork
	slotTime := ownWork
	for _, child := range op.calls {
		slotTime += c.addOperation(child, total) + 2*c.graph.hopDelay.Seconds()
	}
	total.slots[op.service] += slotTime
	return slotTime
}

// available returns the slots and processors of each service. A returning zone
// counts as warm.
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

// highestRate returns the rate of root requests, in their shares, that fits.
func (c capacity) highestRate(roots []*rootSpec) float64 {
	total := resources{make([]float64, len(c.graph.services)), make([]float64, len(c.graph.services))}
	for _, spec := range roots {
		total.addScaled(c.required(spec.op), spec.share)
	}
	return c.available().maxFactor(total, math.Inf(1))
}

func (n resources) addScaled(other resources, factor float64) {
	for i := range n.slots {
		n.slots[i] += factor * other.slots[i]
		n.processors[i] += factor * other.processors[i]
	}
}

// fits returns the largest factor, at most highest, by which other fits into n.
func (n resources) maxFactor(other resources, bound float64) float64 {
	for i := range n.slots {
		if other.slots[i] > 0 {
			bound = math.Min(bound, n.slots[i]/other.slots[i])
		}
		if other.processors[i] > 0 {
			bound = math.Min(bound, n.processors[i]/other.processors[i])
		}
	}
	return math.Max(0, bound)
}

// offer is an offered rate of one root, in requests per second.
type offer struct {
	spec *rootSpec
	rate float64
}

// best returns the highest rate of whole requests of each class for the offered
// rates. The least share of all roots is served first, then more important classes
// come first. Within a class all roots get the same share, until a service is used
// up; roots that do not need that service go on.
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

// boundSteps is the number of steps in which the bound on a least share is found.
const leastShareIterations = 20

// leastShare returns the least share of requests that a plan has to keep: that of
// each send, for callers that send a refused request again, and not more than the
// bound relative to the share of all requests that the plan itself serves.
func (c capacity) leastShare(offered []offer) float64 {
	offeredRate := 0.0
	for _, o := range offered {
		offeredRate += o.rate
	}
	maxShare := leastshare.ShareWithRetries(leastshare.Default, 1+c.scenario.resends)
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

// fill serves roots in equal shares and takes their needs from what is left. It
// returns the rate of each.
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

// stillOpen returns the roots that need no service that is used up.
func (c capacity) unsaturated(pending []offer, remaining resources) []offer {
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
