// Package burn counts good and bad root requests per service and class over
// several time windows and compares them with the objectives of the catalogue.
// The burn rate relates the measured share of bad requests to the error budget,
// which is the share that the objective permits.
//
// A Tracker is not safe for concurrent use; it is owned by one goroutine.
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

// Numbers of buckets per window. A window covers its length plus the elapsed
// part of one more bucket.
const (
	shortBuckets     = 15
	middleBuckets    = 20
	longBuckets      = 24
	windowCount      = 3
	bucketsPerSeries = shortBuckets + middleBuckets + longBuckets + windowCount
)

// window describes one window and its place in the buckets of a series.
type window struct {
	length      time.Duration
	bucketWidth time.Duration
	// offset is the index of the first bucket of the window in a series.
	offset int
	// buckets is length/bucketWidth plus one for the bucket in progress.
	buckets int64
}

var windows = [windowCount]window{
	{ShortWindow, ShortWindow / shortBuckets, 0, shortBuckets + 1},
	{MiddleWindow, MiddleWindow / middleBuckets, shortBuckets + 1, middleBuckets + 1},
	{LongWindow, LongWindow / longBuckets, shortBuckets + middleBuckets + 2, longBuckets + 1},
}

// DefaultMaxSeries is the default limit on pairs of service and class. It
// covers 770 services with three classes each, and a reserve.
const DefaultMaxSeries = 3 * 1024

// A Key identifies one series.
type Key struct {
	Service string
	Class   outcome.Class
}

// bucket holds counters that stay at their maximum instead of overflowing.
type bucket struct {
	good uint32
	bad  uint32
}

// series holds the ring buffers of all windows of one key.
type series struct {
	buckets [bucketsPerSeries]bucket
	// latest is the number of the newest bucket of each window, counted from
	// the start of the tracker.
	latest [windowCount]int64
}

// A Tracker counts the root requests of one node.
type Tracker struct {
	start     time.Time
	maxSeries int
	series    map[Key]*series
	uncounted uint64
}

// New returns a tracker that holds at most maxSeries pairs of service and
// class. Zero means DefaultMaxSeries.
func New(start time.Time, maxSeries int) *Tracker {
	if maxSeries <= 0 {
		maxSeries = DefaultMaxSeries
	}
	return &Tracker{start: start, maxSeries: maxSeries, series: map[Key]*series{}}
}

// Good reports whether a finished root request counts as good: its complete
// response arrived within the latency of the objective.
func Good(o outcome.Outcome, latency time.Duration, objective *pb.Objective) bool {
	if o != outcome.Completed {
		return false
	}
	limit := objective.GetLatency()
	return limit == nil || latency <= limit.AsDuration()
}

// Observe counts one root request that ended at the time now.
func (t *Tracker) Observe(now time.Time, key Key, good bool) {
	s := t.findOrCreate(now, key)
	if s == nil {
		t.uncounted++
		return
	}
	for i := range windows {
		s.current(i, t.start, now).add(good)
	}
}

// Uncounted returns the number of requests that were not counted because of the
// limit on series.
func (t *Tracker) Uncounted() uint64 { return t.uncounted }

// Series returns the number of pairs of service and class held.
func (t *Tracker) Series() int { return len(t.series) }

// findOrCreate returns the series of a key, or nil if it would exceed the limit
// even after idle series are dropped.
func (t *Tracker) findOrCreate(now time.Time, key Key) *series {
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

// dropIdle removes the series without a request in the longest window.
func (t *Tracker) dropIdle(now time.Time) {
	last := windowCount - 1
	for key, s := range t.series {
		if windows[last].bucketNumber(t.start, now)-s.latest[last] >= windows[last].buckets {
			delete(t.series, key)
		}
	}
}

// bucketNumber returns the number of the bucket of the time now, counted from
// the start of the tracker.
func (w window) bucketNumber(start, now time.Time) int64 {
	return max(int64(now.Sub(start)/w.bucketWidth), 0)
}

// current clears the buckets that are no longer within window i and returns the
// newest one. A time before the newest bucket is counted in the newest bucket.
func (s *series) current(i int, start, now time.Time) *bucket {
	w := windows[i]
	bucketNumber := w.bucketNumber(start, now)
	oldest := max(s.latest[i]+1, bucketNumber-w.buckets+1)
	for n := oldest; n <= bucketNumber; n++ {
		s.buckets[w.index(n)] = bucket{}
	}
	s.latest[i] = max(s.latest[i], bucketNumber)
	return &s.buckets[w.index(s.latest[i])]
}

// index returns the index in a series of the bucket with the given number.
func (w window) index(number int64) int { return w.offset + int(number%w.buckets) }

func (b *bucket) add(good bool) {
	if good {
		b.good = saturatingIncrement(b.good)
		return
	}
	b.bad = saturatingIncrement(b.bad)
}

func saturatingIncrement(count uint32) uint32 {
	if count == math.MaxUint32 {
		return count
	}
	return count + 1
}

// sum adds up all buckets of window i. The caller must have called current to
// clear the old ones.
func (s *series) sum(i int) (good, bad uint64) {
	w := windows[i]
	for _, b := range s.buckets[w.offset : w.offset+int(w.buckets)] {
		good += uint64(b.good)
		bad += uint64(b.bad)
	}
	return good, bad
}

// Counters returns the counts of all windows that contain requests, ordered by
// service, class and window. The function objective returns the goodput
// objective of a service, which is the share of requests that must be good, or
// zero if it has none.
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

// appendCounter appends the counts of window i unless they are zero.
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

// Rate returns the burn rate: the share of bad requests divided by the error
// budget. At a constant rate of 1, the error budget is used up exactly at the
// end of the period of the objective. The rate is zero without requests or
// without an objective, and infinite if the objective permits no bad request.
func Rate(c *pb.BurnCounter) float64 {
	total := c.Good + c.Bad
	if total == 0 || c.Bad == 0 || c.Objective <= 0 {
		return 0
	}
	errorBudget := 1 - c.Objective
	if errorBudget <= 0 {
		return math.Inf(1)
	}
	return float64(c.Bad) / float64(total) / errorBudget
}
