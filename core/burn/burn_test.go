package burn

import (
	"fmt"
	"math"
	"testing"
	"time"
	"unsafe"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"
	"pgregory.net/rapid"

	"github.com/primrosemount/primrosemount/core/outcome"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

var (
	start          = time.Unix(5_000, 0)
	criticalOrders = Key{Service: "orders", Class: outcome.Critical}
)

// objective is the goodput objective of every service in these tests.
func objective(string) float64 { return 0.99 }

// Guards against windows that drop counts too early or keep them too long. The
// counts are compared with a list of all events.
func TestWindowsMatchEventList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := New(start, 0)
		var events []time.Duration
		now := time.Duration(0)
		for _, step := range rapid.SliceOfN(rapid.Int64Range(0, int64(2*time.Hour)), 1, 60).Draw(t, "steps") {
			now += time.Duration(step)
			events = append(events, now)
			tracker.Observe(start.Add(now), criticalOrders, len(events)%3 != 0)
		}
		for _, c := range tracker.Counters(start.Add(now), objective) {
			w := windows[windowIndex(c.WindowSeconds)]
			from := now.Truncate(w.bucketWidth) - w.length
			expected := 0
			for _, event := range events {
				if event >= from {
					expected++
				}
			}
			require.Equal(t, uint64(expected), c.Good+c.Bad)
		}
	})
}

// Guards against counts that are kept over an idle period longer than the
// window, and against failures when the time steps back.
func TestIdlePeriodAndBackwardTime(t *testing.T) {
	tracker := New(start, 0)
	tracker.Observe(start.Add(time.Minute), criticalOrders, false)
	tracker.Observe(start.Add(-time.Hour), criticalOrders, false)
	require.Equal(t, uint64(2), tracker.Counters(start, objective)[0].Bad)
	require.Empty(t, tracker.Counters(start.Add(7*time.Hour), objective))
}

// Guards against memory use that grows with the number of service names.
func TestSeriesLimit(t *testing.T) {
	tracker := New(start, 2)
	for i := range 5 {
		tracker.Observe(start, Key{Service: fmt.Sprint(i)}, true)
	}
	require.Equal(t, 2, tracker.Series())
	require.Equal(t, uint64(3), tracker.Uncounted())
	tracker.Observe(start.Add(7*time.Hour), criticalOrders, true)
	require.Equal(t, 1, tracker.Series())
}

// Guards against using more than 2 MiB for 770 services with three classes
// each.
func TestMemoryAtScale(t *testing.T) {
	const bound = 2 << 20
	require.Less(t, 770*3*int(unsafe.Sizeof(series{})), bound)
}

// Guards against a burn rate that is not relative to the share of bad requests
// that the objective permits.
func TestRate(t *testing.T) {
	require.InDelta(t, 1, Rate(&pb.BurnCounter{Good: 99, Bad: 1, Objective: 0.99}), 1e-9)
	require.InDelta(t, 100, Rate(&pb.BurnCounter{Bad: 1, Objective: 0.99}), 1e-9)
	require.Zero(t, Rate(&pb.BurnCounter{Bad: 1}))
	require.Zero(t, Rate(&pb.BurnCounter{Objective: 1}))
	require.True(t, math.IsInf(Rate(&pb.BurnCounter{Bad: 1, Objective: 1}), 1))
}

// Guards against late responses and unknown outcomes that count as good.
func TestGood(t *testing.T) {
	o := &pb.Objective{Latency: durationpb.New(time.Second)}
	require.True(t, Good(outcome.Completed, time.Second, o))
	require.True(t, Good(outcome.Completed, time.Hour, nil))
	require.False(t, Good(outcome.Completed, time.Second+1, o))
	require.False(t, Good(outcome.Unknown, 0, o))
	require.False(t, Good(outcome.NotRun, 0, o))
}

// Guards against nodes that are counted twice or not at all.
func TestMerge(t *testing.T) {
	counter := &pb.BurnCounter{Service: "a", WindowSeconds: 300, Good: 8, Bad: 2, Objective: 0.9}
	stricter := &pb.BurnCounter{Service: "a", WindowSeconds: 300, Good: 1, Objective: 0.99}
	merged, coverage := Merge(3, []*pb.BurnResponse{
		{Node: "n1", Counters: []*pb.BurnCounter{counter}},
		{Node: "n1", Counters: []*pb.BurnCounter{counter}},
		{Node: "n2", Counters: []*pb.BurnCounter{stricter}},
	})
	require.Equal(t, Coverage{Queried: 3, Responded: 2}, coverage)
	require.False(t, coverage.Complete())
	require.Len(t, merged, 1)
	require.Equal(t, uint64(9), merged[0].Good)
	require.Equal(t, uint64(2), merged[0].Bad)
	require.Equal(t, 0.99, merged[0].Objective)
	require.Equal(t, uint64(8), counter.Good, "the response of a node was modified")
}

// Guards against an alarm that only one window supports, and against rows that
// are not in order of urgency.
func TestAlarms(t *testing.T) {
	row := func(service string, bad ...uint64) []*pb.BurnCounter {
		var counters []*pb.BurnCounter
		for i, w := range windows {
			seconds := int64(w.length / time.Second)
			counters = append(counters, &pb.BurnCounter{Service: service, WindowSeconds: seconds, Good: 100 - bad[i], Bad: bad[i], Objective: 0.99})
		}
		return counters
	}
	counters := append(row("calm", 50, 1, 0), row("slow", 0, 10, 10)...)
	rows := Rows(append(counters, row("urgent", 50, 20, 1)...))
	require.Equal(t, "urgent", rows[0].Service)
	require.Equal(t, FastBurn, rows[0].Alarm())
	require.Equal(t, SlowBurn, rows[1].Alarm())
	require.Equal(t, NoAlarm, rows[2].Alarm())
}

func BenchmarkObserve(b *testing.B) {
	tracker := New(start, 0)
	keys := make([]Key, 770*3)
	for i := range keys {
		keys[i] = Key{Service: fmt.Sprintf("service-%d", i/3), Class: outcome.Class(i%3 + 1)}
	}
	b.ReportAllocs()
	for i := range b.N {
		now := start.Add(time.Duration(i) * time.Microsecond)
		tracker.Observe(now, keys[i%len(keys)], i%100 != 0)
	}
}
