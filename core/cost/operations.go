package cost

import (
	"maps"
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minSpeed and maxSpeed bound the speed of a target relative to the mean, so that a
	// false report has a bounded effect. Known targets range from 0.5 to 1.5, and from
	// 0.2 in slow spells.
	minSpeed = 0.2
	maxSpeed = 2.5
	// operationWeight and speedWeight are the weights of one reported value. Reported
	// values are means over many requests, so consecutive ones are similar.
	operationWeight = 1.0 / 32
	speedWeight     = 1.0 / 16
	// speedHalfAge is the pause after which the earlier samples of a speed have half
	// their weight.
	speedHalfAge = time.Second
	// speedPrior is the number of samples that the assumption of mean speed counts for.
	speedPrior = 3
	// latencyWeight is the weight of one latency or size in the means of an operation.
	latencyWeight = 1.0 / 32
	// maxOperations limits the operations of one service at one sender.
	maxOperations = 1024
	// maxLatencyMultiple clips a latency.
	maxLatencyMultiple = 10
)

// Bounded returns the speed within the bounds.
func Bounded(speed float64) float64 { return math.Min(math.Max(speed, minSpeed), maxSpeed) }

// An Operation is what a sender has learned about one operation of a service. It is safe
// for concurrent use.
type Operation struct {
	// own is the own work at a target of mean speed, in nanoseconds of one slot.
	own Average
	// calls is the part of the latency that own work, queue and network do not explain:
	// mainly the wait for calls to deeper services. It may be negative by chance.
	calls Average
	// latency is the mean latency of complete responses, and bytes the mean size of
	// request and response.
	latency, bytes Average
}

// Own returns the own work at a target of mean speed in nanoseconds, or 0 if unknown.
func (o *Operation) Own() float64 { return o.own.Value() }

// Calls returns the expected wait for calls in nanoseconds.
func (o *Operation) Calls() float64 { return math.Max(o.calls.Value(), 0) }

// Latency returns the mean latency over all targets in nanoseconds, or 0 if unknown.
func (o *Operation) Latency() float64 { return o.latency.Value() }

// Bytes returns the mean size of request and response.
func (o *Operation) Bytes() float64 { return o.bytes.Value() }

// Samples returns the number of reports from which the own work was learned.
func (o *Operation) Samples() uint32 { return o.own.Samples() }

// Age returns the time since the latest report about the own work.
func (o *Operation) Age(at int64) time.Duration { return o.own.Age(at) }

// Finished includes a complete response: its latency, the part of it that is not
// explained, and its size together with that of the request.
func (o *Operation) Finished(at int64, latency, unexplained, bytes float64) {
	o.latency.AddClipped(at, latency, latencyWeight, maxLatencyMultiple)
	limit := maxLatencyMultiple * o.latency.Value()
	o.calls.Add(at, math.Min(math.Max(unexplained, -limit), limit), latencyWeight)
	o.bytes.Add(at, bytes, latencyWeight)
}

// A Speed is the speed of one target relative to the mean of its service, apart from the
// mix of operations that it receives. The zero value has no samples. It is safe for
// concurrent use.
type Speed struct {
	// slowness is the reciprocal of the speed, because times are averaged.
	slowness Average
	// value caches the speed, because it is read for each target that a request could go
	// to. Zero means that there are no samples.
	value atomic.Uint64
}

// Value returns the speed, which is 1 without samples.
func (s *Speed) Value() float64 {
	if bits := s.value.Load(); bits != 0 {
		return math.Float64frombits(bits)
	}
	return 1
}

// refresh updates the cached speed.
func (s *Speed) refresh() {
	n := float64(s.slowness.Samples())
	slowness := (n*s.slowness.Value() + speedPrior) / (n + speedPrior)
	s.value.Store(math.Float64bits(Bounded(1 / slowness)))
}

// Samples returns the number of samples.
func (s *Speed) Samples() uint32 { return s.slowness.Samples() }

// Age returns the time since the latest sample.
func (s *Speed) Age(at int64) time.Duration { return s.slowness.Age(at) }

// Learn includes the own work that the gate of a target reports for an operation, in
// nanoseconds. It corrects the cost of the operation by the speed that the target is
// known for, and the speed by the cost that the operation is known for.
func (s *Operations) Learn(at int64, o *Operation, speed *Speed, reported float64) {
	if reported <= 0 {
		return
	}
	known, atMeanSpeed := o.own.Value(), reported*speed.Value()
	o.own.AddClipped(at, atMeanSpeed, operationWeight, maxSampleMultiple)
	if o == &s.all {
		// The mean over different operations says nothing about the speed.
		return
	}
	s.all.own.AddClipped(at, atMeanSpeed, operationWeight, maxSampleMultiple)
	if known <= 0 {
		return
	}
	speed.slowness.AddAfterPause(at, 1/Bounded(known/reported), speedWeight, speedHalfAge)
	speed.refresh()
}

// Operations holds the operations of one service. It is safe for concurrent use, and
// reading takes no lock.
type Operations struct {
	mu    sync.Mutex
	named atomic.Pointer[map[string]*Operation]
	// all is the mean over all operations, for those without samples.
	all   Operation
	swept int64
}

// All returns the mean over all requests of the service.
func (s *Operations) All() *Operation { return &s.all }

// Find returns the operation, or the mean of all if nothing is known about it.
func (s *Operations) Find(name string) *Operation {
	if named := s.named.Load(); named != nil {
		if o := (*named)[name]; o != nil {
			return o
		}
	}
	return &s.all
}

// Get returns the operation, which it creates on first use. It returns the mean of all if
// too many other operations are in use.
func (s *Operations) Get(at int64, name string) *Operation {
	if o := s.Find(name); o != &s.all {
		return o
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.Find(name); o != &s.all {
		return o
	}
	named := map[string]*Operation{}
	if before := s.named.Load(); before != nil {
		if len(*before) >= maxOperations && !s.sweep(at, *before) {
			return &s.all
		}
		named = maps.Clone(*s.named.Load())
	}
	o := &Operation{}
	o.latency.updated.Store(at)
	named[name] = o
	s.named.Store(&named)
	return o
}

// sweep forgets operations without recent samples, at most once per second. It reports
// whether there is space for another one. The mutex must be held.
func (s *Operations) sweep(at int64, before map[string]*Operation) bool {
	if at-s.swept < int64(time.Second) {
		return false
	}
	s.swept = at
	kept := make(map[string]*Operation, len(before))
	for name, o := range before {
		if o.latency.Age(at) < staleAge {
			kept[name] = o
		}
	}
	s.named.Store(&kept)
	return len(kept) < maxOperations
}

// Len returns the number of operations.
func (s *Operations) Len() int {
	if named := s.named.Load(); named != nil {
		return len(*named)
	}
	return 0
}

// Normalize makes the given mean speed of the targets 1 and changes the costs so that the
// expected work at each target stays. Without it, costs and speeds could grow together.
// speeds calls its argument for each target.
func (s *Operations) Normalize(meanSpeed float64, speeds func(scale func(*Speed))) {
	if meanSpeed <= 0 {
		return
	}
	speeds(func(speed *Speed) {
		if speed.Samples() > 0 {
			speed.slowness.scale(meanSpeed)
			speed.refresh()
		}
	})
	if named := s.named.Load(); named != nil {
		for _, o := range *named {
			o.own.scale(1 / meanSpeed)
		}
	}
	s.all.own.scale(1 / meanSpeed)
}
