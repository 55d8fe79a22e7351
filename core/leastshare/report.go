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

func (c *Counts) addResult(result Result) {
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
func (t *Tracker) Report(now time.Time) []Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.lastReport) < reportPeriod {
		return nil
	}
	t.lastReport = now
	var report []Counts
	for operation, a := range t.accounts {
		if a.counts.Assured > 0 || a.counts.Refused > 0 {
			a.counts.Operation = operation
			report = append(report, a.counts)
		}
		a.counts = Counts{}
	}
	return report
}
