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
type need struct {
	slots      []float64
	processors []float64
}

// of returns what one request of an operation needs.
func (c capacity) of(op *operation) need {
	n := need{make([]float64, len(c.graph.services)), make([]float64, len(c.graph.services))}
	c.add(op, &n)
	return n
}

// add adds the need of an operation and returns the time that it takes.
func (c capacity) add(op *operation, n *need) float64 {
	own := op.work.Seconds()
	if op.service == c.graph.deep && c.scenario.active(c.at) && !c.scenario.slowOne {
		own *= c.scenario.slow
	}
	n.processors[op.service] += own
	held := own
	for _, child := range op.calls {
		held += c.add(child, n) + 2*c.graph.hop.Seconds()
	}
	n.slots[op.service] += held
	return held
}

// available returns the slots and processors of each service. A returning zone
// counts as warm.
func (c capacity) available() need {
	n := need{}
	for i, spec := range c.graph.services {
		targets := float64(spec.targets)
		if i == c.graph.deep && c.scenario.slowOne && c.scenario.active(c.at) {
			targets -= 1 - 1/c.scenario.slow
		}
		if i == c.graph.deep && c.scenario.active(c.at) {
			targets -= float64(c.scenario.lost)
		}
		processors := targets * float64(spec.slots)
		n.slots = append(n.slots, processors)
		if i == c.graph.deep && c.scenario.active(c.at) {
			processors *= c.scenario.throttled
		}
		n.processors = append(n.processors, processors)
	}
	return n
}

// highestRate returns the rate of root requests, in their shares, that fits.
func (c capacity) highestRate(roots []*rootSpec) float64 {
	total := need{make([]float64, len(c.graph.services)), make([]float64, len(c.graph.services))}
	for _, spec := range roots {
		total.addScaled(c.of(spec.op), spec.share)
	}
	return c.available().fits(total, math.Inf(1))
}

func (n need) addScaled(other need, factor float64) {
	for i := range n.slots {
		n.slots[i] += factor * other.slots[i]
		n.processors[i] += factor * other.processors[i]
	}
}

// fits returns the largest factor, at most highest, by which other fits into n.
func (n need) fits(other need, highest float64) float64 {
	for i := range n.slots {
		if other.slots[i] > 0 {
			highest = math.Min(highest, n.slots[i]/other.slots[i])
		}
		if other.processors[i] > 0 {
			highest = math.Min(highest, n.processors[i]/other.processors[i])
		}
	}
	return math.Max(0, highest)
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
func (c capacity) best(offered []offer, least float64) map[outcome.Class]float64 {
	left := c.available()
	good := map[outcome.Class]float64{}
	served := c.fill(scaled(offered, least), left)
	for class := outcome.Critical; class <= outcome.Sheddable; class++ {
		var open []offer
		for _, o := range offered {
			if o.spec.class == class {
				good[class] += served[o.spec]
				open = append(open, offer{o.spec, o.rate - served[o.spec]})
			}
		}
		for _, rate := range c.fill(open, left) {
			good[class] += rate
		}
	}
	return good
}

// boundSteps is the number of steps in which the bound on a least share is found.
const boundSteps = 20

// leastShare returns the least share of requests that a plan has to keep: that of
// each send, for callers that send a refused request again, and not more than the
// bound relative to the share of all requests that the plan itself serves.
func (c capacity) leastShare(offered []offer) float64 {
	asked := 0.0
	for _, o := range offered {
		asked += o.rate
	}
	most := leastshare.ShareWithRetries(leastshare.Default, 1+c.scenario.resends)
	least := 0.0
	for range boundSteps {
		served := 0.0
		for _, rate := range c.best(offered, least) {
			served += rate
		}
		least = math.Min(most, leastshare.MaxRelativeShare*served/math.Max(asked, 1))
	}
	return least
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
func (c capacity) fill(open []offer, left need) map[*rootSpec]float64 {
	good, served := map[*rootSpec]float64{}, 0.0
	for len(open) > 0 && served < 1 {
		total := need{make([]float64, len(left.slots)), make([]float64, len(left.slots))}
		for _, o := range open {
			total.addScaled(c.of(o.spec.op), o.rate)
		}
		share := left.fits(total, 1-served)
		left.addScaled(total, -share)
		for _, o := range open {
			good[o.spec] += share * o.rate
		}
		served += share
		open = c.stillOpen(open, left)
	}
	return good
}

// stillOpen returns the roots that need no service that is used up.
func (c capacity) stillOpen(open []offer, left need) []offer {
	const nothing = 1e-9
	var rest []offer
	for _, o := range open {
		n := c.of(o.spec.op)
		full := false
		for i := range n.slots {
			full = full || (n.slots[i] > 0 && (left.slots[i] < nothing || left.processors[i] < nothing))
		}
		if !full {
			rest = append(rest, o)
		}
	}
	return rest
}
