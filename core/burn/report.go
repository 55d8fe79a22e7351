package burn

import (
	"cmp"
	"slices"
	"time"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// Burn rates at which an alarm is raised. At FastBurnRate, 2% of the error
// budget of an objective over 30 days is used up within an hour; at
// SlowBurnRate, 5% within six hours.
const (
	FastBurnRate = 14.4
	SlowBurnRate = 6.0
)

// An Alarm is the urgency of a row of a report.
type Alarm uint8

// Alarms, in increasing order of urgency.
const (
	// NoAlarm means that neither pair of windows reaches its rate.
	NoAlarm Alarm = iota
	// SlowBurn means that both the 1 h and the 6 h window reach SlowBurnRate.
	SlowBurn
	// FastBurn means that both the 5 min and the 1 h window reach FastBurnRate.
	FastBurn
)

// String returns "none", "slow" or "fast".
func (a Alarm) String() string {
	return [...]string{"none", "slow", "fast"}[a]
}

// A Row holds one service and class of a report.
type Row struct {
	Service string
	Class   pb.Class
	// Windows holds a counter for each window, shortest first. The counts of
	// windows without requests are zero.
	Windows [windowCount]*pb.BurnCounter
}

// Alarm returns the urgency of the row. It requires two windows to reach the
// rate, so that the alarm ends soon after its cause does.
func (r Row) Alarm() Alarm {
	short, middle, long := Rate(r.Windows[0]), Rate(r.Windows[1]), Rate(r.Windows[2])
	switch {
	case short >= FastBurnRate && middle >= FastBurnRate:
		return FastBurn
	case middle >= SlowBurnRate && long >= SlowBurnRate:
		return SlowBurn
	default:
		return NoAlarm
	}
}

// Coverage reports how many of the queried nodes a report includes.
type Coverage struct {
	Queried   int
	Responded int
}

// Complete reports whether every queried node has responded.
func (c Coverage) Complete() bool { return c.Responded >= c.Queried }

// Merge adds up the counters of several nodes and orders them by service, class
// and window. A node that responded twice is counted once. The parameter
// queried is the number of nodes that were queried. If nodes have different
// objectives for a service, the highest one applies.
func Merge(queried int, responses []*pb.BurnResponse) ([]*pb.BurnCounter, Coverage) {
	nodes := map[string]bool{}
	sums := map[mergeKey]*pb.BurnCounter{}
	for _, response := range responses {
		if nodes[response.Node] {
			continue
		}
		nodes[response.Node] = true
		for _, counter := range response.Counters {
			addCounter(sums, counter)
		}
	}
	return sortedCounters(sums), Coverage{Queried: queried, Responded: len(nodes)}
}

// mergeKey identifies a counter in a merge. Rows uses it without the window.
type mergeKey struct {
	service string
	class   pb.Class
	seconds int64
}

func addCounter(sums map[mergeKey]*pb.BurnCounter, c *pb.BurnCounter) {
	key := mergeKey{c.Service, c.Class, c.WindowSeconds}
	sum := sums[key]
	if sum == nil {
		sum = &pb.BurnCounter{Service: c.Service, Class: c.Class, WindowSeconds: c.WindowSeconds}
		sums[key] = sum
	}
	sum.Good += c.Good
	sum.Bad += c.Bad
	sum.Objective = max(sum.Objective, c.Objective)
}

func sortedCounters(sums map[mergeKey]*pb.BurnCounter) []*pb.BurnCounter {
	counters := make([]*pb.BurnCounter, 0, len(sums))
	for _, counter := range sums {
		counters = append(counters, counter)
	}
	slices.SortFunc(counters, compareCounters)
	return counters
}

// Rows groups counters by service and class. It ignores counters of windows
// that this package does not define.
func Rows(counters []*pb.BurnCounter) []Row {
	rowByKey := map[mergeKey]*Row{}
	for _, counter := range counters {
		i := windowIndex(counter.WindowSeconds)
		if i < 0 {
			continue
		}
		key := mergeKey{service: counter.Service, class: counter.Class}
		if rowByKey[key] == nil {
			rowByKey[key] = emptyRow(counter)
		}
		rowByKey[key].Windows[i] = counter
	}
	rows := make([]Row, 0, len(rowByKey))
	for _, row := range rowByKey {
		rows = append(rows, *row)
	}
	slices.SortFunc(rows, compareRows)
	return rows
}

// windowIndex returns the index of the window with the given length, or -1.
func windowIndex(seconds int64) int {
	return slices.IndexFunc(windows[:], func(w window) bool {
		return int64(w.length/time.Second) == seconds
	})
}

// emptyRow returns a row with the service, class and objective of c whose
// counts are zero.
func emptyRow(c *pb.BurnCounter) *Row {
	row := &Row{Service: c.Service, Class: c.Class}
	for i, w := range windows {
		row.Windows[i] = &pb.BurnCounter{
			Service:       c.Service,
			Class:         c.Class,
			WindowSeconds: int64(w.length / time.Second),
			Objective:     c.Objective,
		}
	}
	return row
}

// compareRows orders rows by descending urgency of their alarm, then by service
// and class.
func compareRows(a, b Row) int {
	return cmp.Or(
		cmp.Compare(b.Alarm(), a.Alarm()),
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Class, b.Class),
	)
}
