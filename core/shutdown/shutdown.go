// Package shutdown decides which requests a stopping node still starts.
//
// A node that gets a stop signal is killed at the end of a grace period, and closes
// its connections shortly before. A request that still runs then gets no response.
// Its caller cannot tell whether it has run, and a request that is not idempotent
// must not be sent again. The node therefore refuses, as not run, what may not finish
// in time.
package shutdown

import "time"

const (
	// exitMargin is the part of the grace period that is reserved for the exit of
	// the process.
	exitMargin = 700 * time.Millisecond
	// responseMargin is the time to write a response after the deadline of its
	// request.
	responseMargin = 50 * time.Millisecond
	// maxEarlyPeriod limits the first part of a stop, in which calls start whatever
	// their deadline. Nearly all calls end long before their deadline, and refusing
	// one fails the running request that makes it.
	maxEarlyPeriod = 3 * time.Second
	// maxEarlyPercent limits the early period within a short grace period.
	maxEarlyPercent = 75
)

// A Schedule holds the times of one stop.
type Schedule struct {
	earlyUntil time.Time
	// cut is when the node closes its connections.
	cut time.Time
}

// NewSchedule returns the schedule of a stop that has started at the given time, with
// the grace period after which the process is killed.
func NewSchedule(started time.Time, gracePeriod time.Duration) Schedule {
	return Schedule{earlyUntil: started.Add(earlyPeriod(gracePeriod)), cut: started.Add(gracePeriod - exitMargin)}
}

func earlyPeriod(gracePeriod time.Duration) time.Duration {
	return min(maxEarlyPeriod, gracePeriod*maxEarlyPercent/100)
}

// Cut returns when the node closes its connections.
func (s Schedule) Cut() time.Time { return s.cut }

// StartsCall reports whether a call of a request that the target is running may start
// at now. After the early period it may only if the latest time at which it ends, its
// deadline, is before the node closes its connections.
func (s Schedule) StartsCall(now, deadline time.Time) bool {
	return now.Before(s.earlyUntil) || !deadline.Add(responseMargin).After(s.cut)
}
