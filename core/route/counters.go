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
	// shareWeight is the weight of one outcome in the shares of failures and
	// refusals; six bad outcomes in a row give a share of 0.55.
	shareWeight = 0.125
	// latencyMemory is the age at which an average without new samples has moved
	// half of the way to the median of its peers, so that it is tried again.
	latencyMemory = 5 * time.Second
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
func (f *float) blend(sample, weight float64) {
	for {
		old := f.bits.Load()
		v := math.Float64frombits(old)
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
	latency   float // nanoseconds
	failed    float // share of failures, 0 to 1
	refused   float // share of refusals, 0 to 1
	judged    atomic.Int64
	judgedAt  atomic.Int64
	threshold threshold.Cell
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
func (c *counters) learn(at int64, result Result, verdict verdict) {
	if sample, ok := latencySample(result, verdict, c.latency.load()); ok {
		c.sampleLatency(sample)
	}
	c.failed.blend(indicator(verdict == verdictFailed || verdict == verdictLost), shareWeight)
	c.refused.blend(indicator(verdict == verdictRefused), shareWeight)
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

// freshness falls from 1 to 0 with the age of the latest outcome.
func (c *counters) freshness(at int64) float64 {
	age := max(at-c.judgedAt.Load(), 0)
	return float64(latencyMemory) / float64(int64(latencyMemory)+age)
}

// cost is the expected cost of one more call, in nanoseconds per slot. Values
// without recent outcomes move towards the median of the service.
func (e *Endpoint) cost(at int64) float64 {
	fresh := e.freshness(at)
	latency := e.latencyOr(e.service.median.load(), fresh)
	load := float64(e.inFlight.Load()+1) / e.slots
	good := (1 - fresh*e.failed.load()) * (1 - fresh*e.refused.load())
	good = max(good, minGoodShare)
	return latency * load * e.hintFactor(at) / (good * good)
}

// latencyOr blends the average with the median of the peers. An endpoint
// without samples has the latency of the median.
func (c *counters) latencyOr(median, fresh float64) float64 {
	latency := c.latency.load()
	if latency == 0 {
		return max(median, 1)
	}
	if median == 0 {
		return latency
	}
	return median + fresh*(latency-median)
}

func (c *counters) setHint(at int64, inFlight, limit int) {
	if limit <= 0 {
		return
	}
	share := min(max(1000*inFlight/limit, 0), 1000)
	c.hint.store(at, uint16(share))
}

func (c *counters) hintFactor(at int64) float64 {
	reported, share := c.hint.load()
	if at-reported > int64(hintLife) {
		return 1
	}
	return 1 + HintWeight*float64(share)/1000
}

// admits tells whether the gate is believed to admit the level.
func (c *counters) admits(at int64, level outcome.Level) bool {
	return level <= c.threshold.At(at)
}
