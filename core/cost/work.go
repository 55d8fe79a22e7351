package cost

import (
	"maps"
	"math"
	"sync/atomic"
	"time"
)

const (
	// clipSamples is the number of samples after which outliers are clipped.
	clipSamples = 8
	// maxSampleMultiple clips a sample of own work. Requests that take seven times as
	// long as others are a part of the load and have to count in full.
	maxSampleMultiple = 10
	// workWeight is the weight of a sample in the mean work of an operation. If 3 % of
	// the requests take seven times as long, the mean then varies by 13 %. With a smaller
	// weight, a target that started at half speed would be avoided for seconds after.
	workWeight = 1.0 / 64
	// maxGateOperations limits the operations of one gate.
	maxGateOperations = 1024
	// staleAge is the age from which an operation without samples may be forgotten.
	staleAge = 10 * time.Minute
	// presentWeight and usualWeight are the weights of a sample in the present and in
	// the usual slowness of a target. The present one covers about 16 requests, which a
	// busy target ends within 100 ms.
	presentWeight = 1.0 / 16
	usualWeight   = 1.0 / 512
	// maxSlowness clips the slowness of one request.
	maxSlowness = 3
	// presentHalfAge is the age of the latest sample at which the present speed has
	// moved halfway to 1. Slow spells of targets last about 600 ms.
	presentHalfAge = 300 * time.Millisecond
	// minPresentSamples is the number of samples below which the present speed is 1.
	minPresentSamples = 32
	// residualWeight is the weight of a sample in the mean overrun.
	residualWeight = 1.0 / 32
	// maxResidual clips the overrun of one request, as a multiple of its expected work.
	maxResidual = 8
	// initialResidual is the overrun that is expected without samples.
	initialResidual = 0.5
)

// Work holds what a gate has learned about the work of its target. Only Own may be called
// concurrently with other methods. Times are since an origin chosen by the owner.
type Work struct {
	// byOperation is replaced, not modified, because Own reads it concurrently.
	byOperation atomic.Pointer[map[uint32]*gateOperation]
	// all is the mean over all operations, for operations without samples.
	all gateOperation
	// present and usual are the mean slowness of requests, relative to the mean own work
	// of their operations.
	present, usual Average
	// overrun is the mean time that a request continues after its expected work, as a
	// multiple of that work.
	overrun Average
	swept   time.Duration
}

// gateOperation is the mean time of one operation in a slot of the target.
type gateOperation struct{ own, calls Average }

// NewWork returns a Work without samples.
func NewWork() *Work {
	w := &Work{}
	w.byOperation.Store(&map[uint32]*gateOperation{})
	return w
}

// Observe includes a request that ended with a representative response. own is the time
// in which the target worked for it, calls the time in which it waited for calls.
func (w *Work) Observe(at time.Duration, operation uint32, own, calls time.Duration) {
	o := w.operation(at, operation)
	if o != nil {
		w.observeSlowness(at, float64(own), o)
		w.observeOverrun(at, float64(own+calls), o)
		o.add(at, own, calls)
	}
	w.all.add(at, own, calls)
}

func (o *gateOperation) add(at, own, calls time.Duration) {
	o.own.AddClipped(int64(at), float64(own), workWeight, maxSampleMultiple)
	o.calls.Add(int64(at), float64(calls), workWeight)
}

// observeSlowness compares the own work of a request with the mean of its operation.
func (w *Work) observeSlowness(at time.Duration, own float64, o *gateOperation) {
	if o.own.Samples() < clipSamples || o.own.Value() <= 0 {
		return
	}
	slowness := math.Min(own/o.own.Value(), maxSlowness)
	w.present.Add(int64(at), slowness, presentWeight)
	w.usual.Add(int64(at), slowness, usualWeight)
}

// observeOverrun includes how long a request continued after its expected work.
func (w *Work) observeOverrun(at time.Duration, took float64, o *gateOperation) {
	expected := o.own.Value() + o.calls.Value()
	if o.own.Samples() < clipSamples || expected <= 0 || took <= expected {
		return
	}
	w.overrun.Add(int64(at), math.Min((took-expected)/expected, maxResidual), residualWeight)
}

// operation returns the estimate of an operation, which it creates on first use. It
// returns nil if too many other operations are in use.
func (w *Work) operation(at time.Duration, number uint32) *gateOperation {
	if o := (*w.byOperation.Load())[number]; o != nil {
		return o
	}
	full := len(*w.byOperation.Load()) >= maxGateOperations
	if full && at-w.swept < time.Second {
		return nil
	}
	byOperation := maps.Clone(*w.byOperation.Load())
	if full {
		w.swept = at
		maps.DeleteFunc(byOperation, func(_ uint32, o *gateOperation) bool { return o.own.Age(int64(at)) >= staleAge })
	}
	if len(byOperation) >= maxGateOperations {
		return nil
	}
	o := &gateOperation{}
	byOperation[number] = o
	w.byOperation.Store(&byOperation)
	return o
}

// known returns the estimate of an operation, or that of all operations if there are no
// samples of it.
func (w *Work) known(operation uint32) *gateOperation {
	if o := (*w.byOperation.Load())[operation]; o != nil && o.own.Samples() > 0 {
		return o
	}
	return &w.all
}

// Expected returns the time for which a request of an operation is expected to occupy a
// slot, in nanoseconds. It is 0 if no request has ended.
func (w *Work) Expected(at time.Duration, operation uint32) float64 {
	o := w.known(operation)
	return o.own.Value()/w.Speed(at) + o.calls.Value()
}

// Left returns the expected time that a request will continue to occupy a slot, given
// the time for which it has done so and the expected total, in nanoseconds. A request
// that has overrun its expectation is expected to go on for the mean overrun.
func (w *Work) Left(expected, elapsed float64) float64 {
	return math.Max(expected-elapsed, w.overrunShare()*expected)
}

func (w *Work) overrunShare() float64 {
	if w.overrun.Samples() < clipSamples {
		return initialResidual
	}
	return w.overrun.Value()
}

// Own returns the mean own work of an operation at this target and its number of
// samples. The work is 0 if fewer than clipSamples are known, because it would not be
// representative.
func (w *Work) Own(operation uint32) (time.Duration, uint32) {
	o := (*w.byOperation.Load())[operation]
	if o == nil || o.own.Samples() < clipSamples {
		return 0, 0
	}
	return time.Duration(o.own.Value()), o.own.Samples()
}

// Speed returns the speed of the target now, relative to its own mean over the latest
// requests of the same operations. It is 1 if unknown.
func (w *Work) Speed(at time.Duration) float64 {
	if w.present.Samples() < minPresentSamples || w.present.Value() <= 0 {
		return 1
	}
	age := w.present.Age(int64(at))
	fresh := float64(presentHalfAge) / float64(presentHalfAge+age)
	return 1 + fresh*(Bounded(w.usual.Value()/w.present.Value())-1)
}
