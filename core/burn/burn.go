// Package burn counts good and bad whole requests per service and class over
// several windows and compares them with the objectives of the catalogue.
//
// A Tracker is not safe for concurrent use; one task owns it.
package burn

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// Windows over which requests are counted, shortest first.
const (
	ShortWindow  = 5 * time.Minute
	MiddleWindow = time.Hour
	LongWindow   = 6 * time.Hour
)

// Buckets of each window. A window covers its length and the part of one more
// bucket that has passed.
const (
	shortBuckets  = 15
	middleBuckets = 20
	longBuckets   = 24
	windowCount   = 3
	allBuckets    = shortBuckets + middleBuckets + longBuckets + windowCount
)

// window is the part of a series that holds one window.
type window struct {
	length time.Duration
	width  time.Duration
	first  int
	// buckets is one more than length/width, for the bucket in progress.
	buckets int64
}

var windows = [windowCount]window{
	{ShortWindow, ShortWindow / shortBuckets, 0, shortBuckets + 1},
	{MiddleWindow, MiddleWindow / middleBuckets, shortBuckets + 1, middleBuckets + 1},
	{LongWindow, LongWindow / longBuckets, shortBuckets + middleBuckets + 2, longBuckets + 1},
}

// DefaultMaxSeries bounds the pairs of service and class: 770 services with
// three classes each, and some room.
const DefaultMaxSeries = 3 * 1024

// Key names one series.
type Key struct {
	Service string
	Class   outcome.Class
}

// bucket holds counts that stop at the highest value instead of wrapping.
type bucket struct {
	good uint32
	bad  uint32
}

// series holds the rings of all windows of one key.
type series struct {
	buckets [allBuckets]bucket
	// latest is the number of the newest bucket of each window since start.
	latest [windowCount]int64
}

// Tracker counts the whole requests of one node.
type Tracker struct {
	start     time.Time
	maxSeries int
	series    map[Key]*series
	uncounted uint64
}

// New returns a tracker that holds at most maxSeries pairs of service and
// class; zero means DefaultMaxSeries.
func New(start time.Time, maxSeries int) *Tracker {
	if maxSeries <= 0 {
		maxSeries = DefaultMaxSeries
	}
	return &Tracker{start: start, maxSeries: maxSeries, series: map[Key]*series{}}
}

// IsGood tells whether a finished whole request counts as good: its complete
// answer came within the latency of the objective.
func IsGood(o outcome.Outcome, latency time.Duration, objective *pb.Objective) bool {
	if o != outcome.Completed {
		return false
	}
	limit := objective.GetLatency()
	return limit == nil || latency <= limit.AsDuration()
}

// Observe counts one whole request that ended at now.
func (t *Tracker) Observe(now time.Time, key Key, good bool) {
	s := t.find(now, key)
	if s == nil {
		t.uncounted++
		return
	}
	for i := range windows {
		s.current(i, t.start, now).add(good)
	}
}

// Uncounted is the number of requests that were not counted because of the
// bound on series.
func (t *Tracker) Uncounted() uint64 { return t.uncounted }

// Series is the number of pairs of service and class held.
func (t *Tracker) Series() int { return len(t.series) }

func (t *Tracker) find(now time.Time, key Key) *series {
	if s, ok := t.series[key]; ok {
		return s
	}
	if len(t.series) >= t.maxSeries {
		t.dropIdle(now)
	}
	if len(t.series) >= t.maxSeries {
		return nil
	}
	s := &series{}
	t.series[key] = s
	return s
}

// dropIdle removes series without a request in the longest window.
func (t *Tracker) dropIdle(now time.Time) {
	last := windowCount - 1
	for key, s := range t.series {
		if windows[last].number(t.start, now)-s.latest[last] >= windows[last].buckets {
			delete(t.series, key)
		}
	}
}

// number is the number of the bucket of now since start.
func (w window) number(start, now time.Time) int64 {
	return max(int64(now.Sub(start)/w.width), 0)
}

// current clears the buckets that have fallen out of window i and returns the
// newest one. A time before the newest bucket counts in the newest bucket.
func (s *series) current(i int, start, now time.Time) *bucket {
	w := windows[i]
	number := w.number(start, now)
	oldest := max(s.latest[i]+1, number-w.buckets+1)
	for n := oldest; n <= number; n++ {
		s.buckets[w.index(n)] = bucket{}
	}
	s.latest[i] = max(s.latest[i], number)
	return &s.buckets[w.index(s.latest[i])]
}

func (w window) index(number int64) int { return w.first + int(number%w.buckets) }

func (b *bucket) add(good bool) {
	if good {
		b.good = increment(b.good)
		return
	}
	b.bad = increment(b.bad)
}

func increment(count uint32) uint32 {
	if count == math.MaxUint32 {
		return count
	}
	return count + 1
}

// sum adds all buckets of window i, after current has cleared the old ones.
func (s *series) sum(i int) (good, bad uint64) {
	w := windows[i]
	for _, b := range s.buckets[w.first : w.first+int(w.buckets)] {
		good += uint64(b.good)
		bad += uint64(b.bad)
	}
	return good, bad
}

// Counters returns the counts of all windows that saw requests, ordered by
// service, class and window. objective gives the goodput objective of a
// service, zero if it has none.
func (t *Tracker) Counters(now time.Time, objective func(service string) float64) []*pb.BurnCounter {
	var counters []*pb.BurnCounter
	for key, s := range t.series {
		for i := range windows {
			s.current(i, t.start, now)
			counters = appendCounter(counters, key, i, s, objective(key.Service))
		}
	}
	slices.SortFunc(counters, compareCounters)
	return counters
}

func appendCounter(counters []*pb.BurnCounter, key Key, i int, s *series, objective float64) []*pb.BurnCounter {
	good, bad := s.sum(i)
	if good+bad == 0 {
		return counters
	}
	return append(counters, &pb.BurnCounter{
		Service:       key.Service,
		Class:         key.Class.Proto(),
		WindowSeconds: int64(windows[i].length / time.Second),
		Good:          good,
		Bad:           bad,
		Objective:     objective,
	})
}

func compareCounters(a, b *pb.BurnCounter) int {
	return cmp.Or(
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Class, b.Class),
		cmp.Compare(a.WindowSeconds, b.WindowSeconds),
	)
}

// Rate is the speed at which the permitted share of bad requests is spent: 1
// spends exactly what the objective permits. It is zero without requests or
// without an objective, and infinite if the objective permits no bad request.
func Rate(c *pb.BurnCounter) float64 {
	total := c.Good + c.Bad
	if total == 0 || c.Bad == 0 || c.Objective <= 0 {
		return 0
	}
	permitted := 1 - c.Objective
	if permitted <= 0 {
		return math.Inf(1)
	}
	return float64(c.Bad) / float64(total) / permitted
}
