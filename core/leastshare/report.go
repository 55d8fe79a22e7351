package leastshare

import "time"

// reportPeriod is the time between two reports.
const reportPeriod = time.Second

// Counts are root requests of one operation by what became of them. Those that have
// not ended are in no count but Arrived.
type Counts struct {
	Operation string
	Arrived   int
	// Assured counts the requests that the least share admitted.
	Assured int
	Served  int
	Refused int
	Failed  int
	// LeastShare is the least share that was in force last.
	LeastShare float64
}

func (c *Counts) end(result Result) {
	switch result {
	case Served:
		c.Served++
	case Refused:
		c.Refused++
	case Failed:
		c.Failed++
	}
}

// Report returns the counts since the last report of each operation of which
// requests were refused or assured. It returns nothing before the period is over.
func (l *Tracker) Report(now time.Time) []Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.reported) < reportPeriod {
		return nil
	}
	l.reported = now
	var report []Counts
	for operation, a := range l.accounts {
		if a.counts.Assured > 0 || a.counts.Refused > 0 {
			a.counts.Operation = operation
			report = append(report, a.counts)
		}
		a.counts = Counts{}
	}
	return report
}
