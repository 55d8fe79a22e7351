package route

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/core/threshold"
)

const (
	// riseWeight and fallWeight are the weights of a latency sample above and
	// below the average. Rises count more, so that a target that becomes slow
	// loses traffic after a few responses.
	riseWeight = 0.4
	fallWeight = 0.1
	// meanWeight is the weight of a sample in the mean latency by which targets
	// are compared. About the latest 20 samples count, so that a target with
	// exponentially distributed latencies does not look slow by chance.
	meanWeight = 0.1
	// shareWeight is the weight of one outcome in the shares of failures and
	// refusals. Six bad outcomes in a row give a share of 0.55.
	shareWeight = 0.125
	// maxShareWeight bounds the weight of an outcome that follows a long pause,
	// so that one failure alone does not eject a target.
	maxShareWeight = 0.3
	// costHalfAge is the age of the latest outcome at which an average has
	// moved halfway to the median of the peers, so that the target is tried
	// again.
	costHalfAge = 2 * time.Second
	// comparisonHalfAge is the same for the mean by which targets are compared.
	comparisonHalfAge = time.Second
	// HintWeight bounds the effect of the reported load on the cost: the cost
	// of a full gate is at most 1+HintWeight times that of an idle one.
	HintWeight = 0.5
	// hintTTL is the time for which a reported load is used.
	hintTTL = 2 * time.Second
	// minGoodShare is the lower bound of the share of good outcomes in the
	// cost, which keeps the cost finite.
	minGoodShare = 0.02
)

// atomicFloat is an atomic float64.
type atomicFloat struct{ bits atomic.Uint64 }

func (f *atomicFloat) load() float64 { return math.Float64frombits(f.bits.Load()) }

func (f *atomicFloat) store(v float64) { f.bits.Store(math.Float64bits(v)) }

// blend moves the value toward sample by weight, which is between 0 and 1.
func (f *atomicFloat) blend(sample, weight float64) { f.decayAndBlend(1, sample, weight) }

// decayAndBlend multiplies the value by fresh and then moves it toward sample
// by weight.
func (f *atomicFloat) decayAndBlend(fresh, sample, weight float64) {
	for {
		old := f.bits.Load()
		v := fresh * math.Float64frombits(old)
		v += weight * (sample - v)
		if f.bits.CompareAndSwap(old, math.Float64bits(v)) {
			return
		}
	}
}

// timedValue is an atomic pair of a 16-bit value and a time, so that both are
// read consistently. The time has a resolution of 1 µs.
type timedValue struct{ bits atomic.Uint64 }

func (s *timedValue) store(at int64, v uint16) {
	s.bits.Store(uint64(at/int64(time.Microsecond))<<16 | uint64(v))
}

func (s *timedValue) load() (at int64, v uint16) {
	bits := s.bits.Load()
	return int64(bits>>16) * int64(time.Microsecond), uint16(bits)
}

// counters holds what this node has observed about one incarnation. Times are
// nanoseconds since the start of the router. All fields are atomic. Related
// fields may be read at slightly different moments, which routing tolerates.
type counters struct {
	inFlight      atomic.Int64
	latency       atomicFloat // nanoseconds, rises faster than it falls; used in the cost
	meanLatency   atomicFloat // nanoseconds, decaying mean; used to compare targets
	failed        atomicFloat // share of failures, 0 to 1
	refused       atomicFloat // share of refusals, 0 to 1
	outcomeCount  atomic.Int64
	lastOutcomeAt atomic.Int64
	threshold     threshold.AgingThreshold
	hint          timedValue // occupancy in thousandths of the limit
	draining      atomic.Bool
	down          atomic.Bool
	downAt        atomic.Int64
	// workLoad is what LeastWork knows of the target, see load.go. It is created on first
	// use, because a node of a large fleet calls few of the targets that it knows.
	workLoad atomic.Pointer[load]
	// State of ejection, see eject.go.
	phase         atomic.Uint32
	cause         atomic.Uint32
	ejections     atomic.Uint32
	ejectedUntil  atomic.Int64
	since         atomic.Int64
	rampStartedAt atomic.Int64
}

// learned returns what LeastWork knows of the target.
func (c *counters) learned() *load {
	if l := c.workLoad.Load(); l != nil {
		return l
	}
	c.workLoad.CompareAndSwap(nil, &load{})
	return c.workLoad.Load()
}

// recordOutcome updates latency and shares with a result.
func (e *Endpoint) recordOutcome(at int64, result Result, verdict verdict) {
	e.decayToMedian(at)
	if sample, ok := latencySample(result, verdict, e.latency.load()); ok {
		e.sampleLatency(sample)
		e.sampleMean(result.comparable(sample))
		e.service.seedMedian(sample)
	}
	e.recordShares(at, verdict)
}

// decayToMedian moves the latencies toward the median by the age of the latest
// outcome, so that a target with few calls is not compared by outdated samples.
func (e *Endpoint) decayToMedian(at int64) {
	if e.latency.load() == 0 {
		return
	}
	latency := towardMedian(e.service.latencyMedian.load(), e.latency.load(), e.freshness(at, costHalfAge))
	meanLatency := towardMedian(e.service.meanLatency.load(), e.meanLatency.load(), e.freshness(at, comparisonHalfAge))
	e.latency.store(latency)
	e.meanLatency.store(meanLatency)
}

// towardMedian returns the value moved toward the median, which has the weight
// 1-fresh. A median of zero means that there is none.
func towardMedian(median, value, fresh float64) float64 {
	if median == 0 {
		return value
	}
	return median + fresh*(value-median)
}

// seedMedian uses the first sample as the median until targets can be compared,
// so that targets without samples do not look faster than the others.
func (s *service) seedMedian(sample float64) {
	if s.latencyMedian.load() == 0 {
		s.latencyMedian.store(sample)
	}
}

// recordShares updates the shares of failures and refusals. The weight of an
// outcome grows with the pause before it, so that a target with few calls is
// judged by its recent outcomes. A good outcome also applies the decay for the
// pause to the stored shares.
func (c *counters) recordShares(at int64, verdict verdict) {
	fresh := c.freshness(at, costHalfAge)
	weight := min(1-(1-shareWeight)*fresh, maxShareWeight)
	if verdict != verdictGood {
		fresh = 1
	}
	c.failed.decayAndBlend(fresh, indicator(verdict == verdictFailed || verdict == verdictLost), weight)
	c.refused.decayAndBlend(fresh, indicator(verdict == verdictRefused), weight)
	c.outcomeCount.Add(1)
	c.lastOutcomeAt.Store(at)
}

func indicator(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// latencySample returns the latency of the result and whether it counts as a
// sample. A timeout is a lower bound of the latency, so it counts only if it
// exceeds the average.
func latencySample(result Result, verdict verdict, average float64) (float64, bool) {
	sample := float64(result.Latency)
	if verdict == verdictGood {
		return sample, true
	}
	return sample, result.Reason == outcome.DeadlineExceeded && sample > average
}

// sampleLatency updates the latency that the cost uses, which rises faster than
// it falls.
func (c *counters) sampleLatency(sample float64) {
	average := c.latency.load()
	switch {
	case average == 0:
		c.latency.store(sample)
	case sample > average:
		c.latency.blend(sample, riseWeight)
	default:
		c.latency.blend(sample, fallWeight)
	}
}

// sampleMean updates the mean latency. It is the plain mean of all samples
// until the weight of one sample has fallen to meanWeight.
func (c *counters) sampleMean(sample float64) {
	c.meanLatency.blend(sample, max(meanWeight, 1/float64(c.outcomeCount.Load()+1)))
}

// freshness returns a weight that falls from 1 toward 0 with the age of the
// latest outcome and is one half at halfAge.
func (c *counters) freshness(at int64, halfAge time.Duration) float64 {
	age := max(at-c.lastOutcomeAt.Load(), 0)
	return float64(halfAge) / float64(int64(halfAge)+age)
}

// cost returns the expected cost of one more call, in nanoseconds per slot.
// Without recent outcomes, the latency moves toward the median of the service,
// and failures and refusals count less.
func (e *Endpoint) cost(at int64) float64 {
	fresh := e.freshness(at, costHalfAge)
	latency := e.latencyOrMedian(e.service.latencyMedian.load(), fresh)
	load := float64(e.inFlight.Load()+1) / e.slots
	good := (1 - fresh*e.failed.load()) * (1 - fresh*e.refused.load())
	good = max(good, minGoodShare)
	return latency * load * e.hintFactor(at) / (good * good)
}

// latencyOrMedian returns the latency moved toward the median by its age, or
// the median of the peers if there are no samples.
func (c *counters) latencyOrMedian(median, fresh float64) float64 {
	latency := c.latency.load()
	if latency == 0 {
		return max(median, 1)
	}
	return towardMedian(median, latency, fresh)
}

func (c *counters) setHint(at int64, inFlight, limit int) {
	if limit <= 0 {
		return
	}
	share := min(max(1000*inFlight/limit, 0), maxReportedLoad)
	c.hint.store(at, uint16(share))
}

func (c *counters) hintFactor(at int64) float64 {
	reported, share := c.hint.load()
	if at-reported > int64(hintTTL) {
		return 1
	}
	return 1 + HintWeight*float64(min(share, 1000))/1000
}

// admits reports whether the gate is assumed to admit the level.
func (c *counters) admits(at int64, level outcome.Level) bool {
	return level <= c.threshold.At(at)
}
