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
	// below the average. A rise counts more, so that a target that turns slow
	// loses traffic after a few answers.
	riseWeight = 0.4
	fallWeight = 0.1
	// steadyWeight is the weight of a sample in the mean that targets are compared
	// by: about the latest 20 samples count, so that exponentially distributed
	// latencies do not look slow by chance.
	steadyWeight = 0.1
	// shareWeight is the weight of one outcome in the shares of failures and
	// refusals; six bad outcomes in a row give a share of 0.55.
	shareWeight = 0.125
	// maxShareWeight bounds the weight of an outcome that follows a long pause, so
	// that one failure alone does not eject.
	maxShareWeight = 0.3
	// costMemory is the age at which an average without new samples has moved
	// half of the way to the median of its peers, so that it is tried again.
	costMemory = 2 * time.Second
	// compareMemory is the same for the mean that targets are compared by.
	compareMemory = time.Second
	// HintWeight bounds the effect of reported load: a full gate costs at most
	// 1+HintWeight times as much as an idle one.
	HintWeight = 0.5
	// hintLife is how long a reported load is used.
	hintLife = 2 * time.Second
	// minGoodShare keeps the cost finite.
	minGoodShare = 0.02
)

// float is an atomic float64.
type float struct{ bits atomic.Uint64 }

func (f *float) load() float64 { return math.Float64frombits(f.bits.Load()) }

func (f *float) store(v float64) { f.bits.Store(math.Float64bits(v)) }

// blend moves the value towards sample by weight.
func (f *float) blend(sample, weight float64) { f.age(1, sample, weight) }

// age scales the value by fresh and then moves it towards sample by weight.
func (f *float) age(fresh, sample, weight float64) {
	for {
		old := f.bits.Load()
		v := fresh * math.Float64frombits(old)
		v += weight * (sample - v)
		if f.bits.CompareAndSwap(old, math.Float64bits(v)) {
			return
		}
	}
}

// stamped is an atomic pair of a 16-bit value and a time, so that both are read
// together. The time is kept in microseconds.
type stamped struct{ bits atomic.Uint64 }

func (s *stamped) store(at int64, v uint16) {
	s.bits.Store(uint64(at/int64(time.Microsecond))<<16 | uint64(v))
}

func (s *stamped) load() (at int64, v uint16) {
	bits := s.bits.Load()
	return int64(bits>>16) * int64(time.Microsecond), uint16(bits)
}

// counters is what this node observed about one incarnation. Times are
// nanoseconds since the start of the router. All fields are atomic; related
// fields may be seen at slightly different moments, which routing tolerates.
type counters struct {
	inFlight  atomic.Int64
	latency   float // nanoseconds, rises fast; for the cost
	steady    float // nanoseconds, plain decaying mean; for comparisons
	failed    float // share of failures, 0 to 1
	refused   float // share of refusals, 0 to 1
	judged    atomic.Int64
	judgedAt  atomic.Int64
	threshold threshold.AgingThreshold
	hint      stamped // per mille of the limit
	draining  atomic.Bool
	down      atomic.Bool
	downAt    atomic.Int64
	// Ejection, see eject.go.
	phase     atomic.Uint32
	cause     atomic.Uint32
	ejections atomic.Uint32
	until     atomic.Int64
	since     atomic.Int64
	rampFrom  atomic.Int64
}

// learn updates latency and shares.
func (e *Endpoint) learn(at int64, result Result, verdict verdict) {
	e.forget(at)
	if sample, ok := latencySample(result, verdict, e.latency.load()); ok {
		e.sampleLatency(sample)
		e.sampleSteady(sample)
		e.service.firstSample(sample)
	}
	e.learnShares(at, verdict)
}

// forget moves the averages towards the median by the age of the latest outcome,
// so that a target with few calls is not compared by old samples.
func (e *Endpoint) forget(at int64) {
	if e.latency.load() == 0 {
		return
	}
	latency := towards(e.service.median.load(), e.latency.load(), e.freshness(at, costMemory))
	steady := towards(e.service.steady.load(), e.steady.load(), e.freshness(at, compareMemory))
	e.latency.store(latency)
	e.steady.store(steady)
}

// towards returns the value moved to the median, if there is one.
func towards(median, value, fresh float64) float64 {
	if median == 0 {
		return value
	}
	return median + fresh*(value-median)
}

// firstSample stands for the median until targets can be compared, so that
// targets without samples do not look faster than the others.
func (s *service) firstSample(sample float64) {
	if s.median.load() == 0 {
		s.median.store(sample)
	}
}

// learnShares counts an outcome with a weight that grows with the pause before
// it, so that a target with few calls is judged by its recent ones. A good
// outcome after a pause in addition makes the aged shares permanent.
func (c *counters) learnShares(at int64, verdict verdict) {
	fresh := c.freshness(at, costMemory)
	weight := min(1-(1-shareWeight)*fresh, maxShareWeight)
	if verdict != verdictGood {
		fresh = 1
	}
	c.failed.age(fresh, indicator(verdict == verdictFailed || verdict == verdictLost), weight)
	c.refused.age(fresh, indicator(verdict == verdictRefused), weight)
	c.judged.Add(1)
	c.judgedAt.Store(at)
}

func indicator(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// latencySample tells whether the result says something about latency. A
// timeout is a lower bound.
func latencySample(result Result, verdict verdict, average float64) (float64, bool) {
	sample := float64(result.Latency)
	if verdict == verdictGood {
		return sample, true
	}
	return sample, result.Reason == outcome.DeadlineExceeded && sample > average
}

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

// sampleSteady is a plain mean until the weight of one sample has fallen to
// steadyWeight.
func (c *counters) sampleSteady(sample float64) {
	c.steady.blend(sample, max(steadyWeight, 1/float64(c.judged.Load()+1)))
}

// freshness falls from 1 to 0 with the age of the latest outcome; it is one half
// at the age of memory.
func (c *counters) freshness(at int64, memory time.Duration) float64 {
	age := max(at-c.judgedAt.Load(), 0)
	return float64(memory) / float64(int64(memory)+age)
}

// cost is the expected cost of one more call, in nanoseconds per slot. Values
// without recent outcomes move towards the median of the service.
func (e *Endpoint) cost(at int64) float64 {
	fresh := e.freshness(at, costMemory)
	latency := e.latencyOr(e.service.median.load(), fresh)
	load := float64(e.inFlight.Load()+1) / e.slots
	good := (1 - fresh*e.failed.load()) * (1 - fresh*e.refused.load())
	good = max(good, minGoodShare)
	return latency * load * e.hintFactor(at) / (good * good)
}

// latencyOr returns the aged average. An endpoint without samples has the median
// of its peers.
func (c *counters) latencyOr(median, fresh float64) float64 {
	latency := c.latency.load()
	if latency == 0 {
		return max(median, 1)
	}
	return towards(median, latency, fresh)
}

func (c *counters) setHint(at int64, inFlight, limit int) {
	if limit <= 0 {
		return
	}
	share := min(max(1000*inFlight/limit, 0), maxReported)
	c.hint.store(at, uint16(share))
}

func (c *counters) hintFactor(at int64) float64 {
	reported, share := c.hint.load()
	if at-reported > int64(hintLife) {
		return 1
	}
	return 1 + HintWeight*float64(min(share, 1000))/1000
}

// admits tells whether the gate is believed to admit the level.
func (c *counters) admits(at int64, level outcome.Level) bool {
	return level <= c.threshold.At(at)
}
