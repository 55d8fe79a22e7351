package burn

import (
	"cmp"
	"slices"
	"time"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// Rates from which a service raises an alarm. At FastBurnRate an objective over 30
// days is spent to 2 % within an hour, at SlowBurnRate to 5 % within six hours.
const (
	FastBurnRate = 14.4
	SlowBurnRate = 6.0
)

// Alarm is the urgency of a row of a report.
type Alarm uint8

// Alarms, least urgent first.
const (
	// NoAlarm means that neither pair of windows exceeds its rate.
	NoAlarm Alarm = iota
	// SlowBurn means that both the 1 h and the 6 h window exceed SlowBurnRate.
	SlowBurn
	// FastBurn means that both the 5 min and the 1 h window exceed FastBurnRate.
	FastBurn
)

// String returns "none", "slow" or "fast".
func (a Alarm) String() string {
	return [...]string{"none", "slow", "fast"}[a]
}

// Row is one service and class of a report.
type Row struct {
	Service string
	Class   pb.Class
	// Windows holds a counter for each window, shortest first; counters of
	// windows without requests are zero.
	Windows [windowCount]*pb.BurnCounter
}

// Alarm returns the urgency of the row. Two windows must agree, so that the
// alarm ends soon after the cause does.
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

// Coverage tells how much of the fleet a report covers.
type Coverage struct {
	Queried   int
	Responded int
}

// Complete tells whether every node that was asked has answered.
func (c Coverage) Complete() bool { return c.Responded >= c.Queried }

// Merge adds the counters of several nodes, ordered by service, class and
// window. A node that answered twice counts once. asked is the number of nodes
// that were asked. If nodes know different objectives, the highest one holds.
func Merge(asked int, responses []*pb.BurnResponse) ([]*pb.BurnCounter, Coverage) {
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
	return sorted(sums), Coverage{Queried: asked, Responded: len(nodes)}
}

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

func sorted(sums map[mergeKey]*pb.BurnCounter) []*pb.BurnCounter {
	counters := make([]*pb.BurnCounter, 0, len(sums))
	for _, counter := range sums {
		counters = append(counters, counter)
	}
	slices.SortFunc(counters, compareCounters)
	return counters
}

// Rows groups counters by service and class. Counters of other windows than
// those of this package are left out.
func Rows(counters []*pb.BurnCounter) []Row {
	byKey := map[mergeKey]*Row{}
	for _, counter := range counters {
		i := windowIndex(counter.WindowSeconds)
		if i < 0 {
			continue
		}
		key := mergeKey{service: counter.Service, class: counter.Class}
		if byKey[key] == nil {
			byKey[key] = emptyRow(counter)
		}
		byKey[key].Windows[i] = counter
	}
	rows := make([]Row, 0, len(byKey))
	for _, row := range byKey {
		rows = append(rows, *row)
	}
	slices.SortFunc(rows, compareRows)
	return rows
}

func windowIndex(seconds int64) int {
	return slices.IndexFunc(windows[:], func(w window) bool {
		return int64(w.length/time.Second) == seconds
	})
}

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

// compareRows puts the most urgent alarm first.
func compareRows(a, b Row) int {
	return cmp.Or(
		cmp.Compare(b.Alarm(), a.Alarm()),
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Class, b.Class),
	)
}
