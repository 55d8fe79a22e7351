package leastshare

import "time"

// reportPeriod is the minimum time between two reports.
const reportPeriod = time.Second

// Counts holds the root requests of one operation by result. Requests that have not
// ended are only included in Arrived and Assured.
type Counts struct {
	Operation string
	Arrived   int
	// Assured counts the requests that were admitted by the least share.
	Assured int
	Served  int
	Refused int
	Failed  int
	// LeastShare is the latest least share after applying the bounds.
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

// Report returns the counts since the last report for each operation of which requests
// were rejected or assured. It returns nil if the last report is more recent than
// reportPeriod.
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
