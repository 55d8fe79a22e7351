package cost

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// learner plays reports of targets of one service.
type learner struct {
	operations Operations
	speeds     []Speed
	truth      []float64
	at         int64
}

func newLearner(truth ...float64) *learner {
	return &learner{speeds: make([]Speed, len(truth)), truth: truth}
}

// report includes a report of a target about an operation of the given cost, with an error
// of up to 20 %.
func (l *learner) report(random *rand.Rand, target int, operation string, cost time.Duration) {
	l.at += int64(10 * time.Millisecond)
	noise := 0.8 + 0.4*random.Float64()
	l.operations.Learn(l.at, l.operations.Get(l.at, operation), &l.speeds[target], noise*float64(cost)/l.truth[target])
	l.normalize()
}

func (l *learner) normalize() {
	sum := 0.0
	for i := range l.speeds {
		sum += l.speeds[i].Value()
	}
	l.operations.Normalize(sum/float64(len(l.speeds)), func(scale func(*Speed)) {
		for i := range l.speeds {
			scale(&l.speeds[i])
		}
	})
}

// Guards against a target that seems slow because it receives the dear operations, and one
// that seems fast because it receives the cheap ones.
func TestSpeedIsIndependentOfMix(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	l := newLearner(0.5, 1, 1, 1.5)
	costs := map[string]time.Duration{"get": 5 * time.Millisecond, "search": 100 * time.Millisecond}
	for n := range 4000 {
		target := n % 4
		operation := "get"
		// The fast target receives mostly the dear operation, the others seldom.
		if dear := random.Float64(); target == 3 && dear < 0.9 || dear < 0.1 {
			operation = "search"
		}
		l.report(random, target, operation, costs[operation])
	}
	for i, truth := range l.truth {
		require.InEpsilon(t, truth, l.speeds[i].Value(), 0.15, "target %d", i)
	}
	for operation, cost := range costs {
		require.InEpsilon(t, float64(cost), l.operations.Find(operation).Own(), 0.15, operation)
	}
}

// Guards against costs and speeds that grow together without end.
func TestMeanSpeedStaysOne(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	l := newLearner(0.7, 0.7, 0.7, 0.7)
	for n := range 20000 {
		l.report(random, n%4, "get", 10*time.Millisecond)
	}
	require.InEpsilon(t, float64(10*time.Millisecond)/0.7, l.operations.Find("get").Own(), 0.1)
	for i := range l.speeds {
		require.InDelta(t, 1, l.speeds[i].Value(), 0.1)
	}
}

// Guards against a target whose false reports make all others look slow, or whose speed has
// no bound.
func TestFalseReportHasBoundedEffect(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	l := newLearner(1, 1, 1, 1, 1, 1, 1000)
	for n := range 3500 {
		l.report(random, n%7, "get", 10*time.Millisecond)
	}
	require.LessOrEqual(t, l.speeds[6].Value(), maxSpeed)
	for i := range 6 {
		require.InDelta(t, 1, l.speeds[i].Value(), 0.3)
	}
}

// Guards against a cold start (3 s at half speed) that counts for long.
func TestColdStartIsForgotten(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	l := newLearner(1, 1, 1, 0.5)
	for n := range 300 {
		l.report(random, n%4, "get", 10*time.Millisecond)
	}
	require.InDelta(t, 0.57, l.speeds[3].Value(), 0.15)
	l.truth[3] = 1
	for n := range 200 {
		l.report(random, n%4, "get", 10*time.Millisecond)
	}
	require.InDelta(t, 1, l.speeds[3].Value(), 0.15, "2 s later")
}

// Guards against memory that grows with the routes that come and go, and against a service
// that forgets the operations in use.
func TestOperationsAreBounded(t *testing.T) {
	var s Operations
	for n := range 3 * maxOperations {
		at := int64(n) * int64(time.Millisecond)
		o := s.Get(at, fmt.Sprint("route-", n))
		o.Finished(at, 1e6, 0, 0)
	}
	require.Equal(t, maxOperations, s.Len())
	late := int64(time.Hour)
	require.NotSame(t, s.All(), s.Get(late, "new"))
	require.Equal(t, 1, s.Len(), "operations without requests are forgotten when there is no space")
	require.Same(t, s.All(), s.Find("route-1"))
}

// Guards against speeds that are learned from the mean of different operations, which is
// used for operations beyond the limit.
func TestMeanOfServiceTeachesNoSpeed(t *testing.T) {
	var s Operations
	var speed Speed
	for n := range 100 {
		s.Learn(int64(n), s.All(), &speed, float64(1+n%2*1000))
	}
	require.Zero(t, speed.Samples())
	require.Positive(t, s.All().Own())
}

// Guards against an age or a number of samples that does not match the reports.
func TestEstimatesCarryAgeAndSamples(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	l := newLearner(1, 1)
	for n := range 20 {
		l.report(random, n%2, "get", 10*time.Millisecond)
	}
	o := l.operations.Find("get")
	require.Equal(t, uint32(20), o.Samples())
	require.Equal(t, time.Second, o.Age(l.at+int64(time.Second)))
	require.Equal(t, uint32(9), l.speeds[0].Samples(), "the first report of an operation has nothing to compare with")
	require.Equal(t, 10*time.Millisecond, l.speeds[0].Age(l.at))
}
