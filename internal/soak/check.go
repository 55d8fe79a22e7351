package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Bounds of the promises, as the users state them.
const (
	drainTimeout   = 2 * time.Second
	configApply    = 2 * time.Second
	downgradeSlack = 250 * time.Millisecond
	lossSlack      = 200 * time.Millisecond
	closeSlack     = 500 * time.Millisecond
	timeoutSlack   = 500 * time.Millisecond
	budgetWindow   = 10 * time.Second
	budgetRatio    = 0.2
	budgetSlack    = 48
	// allowedLate is the number of requests that may reach a target late after
	// their client has left.
	maxLateArrivals = 3
	// allowedHeld requests may stay unanswered past their timeout, and a share of
	// one in heldShare of those that last so long.
	maxOverdue   = 7
	overdueOneIn = 4
	// RecoveryBound is the time from the last fault until every request is
	// served again.
	RecoveryBound = 15 * time.Second
)

// Finding is a promise that was broken.
type Finding struct {
	Rule    string
	Request string
	Text    string
}

// String returns the finding on one line.
func (f Finding) String() string { return f.Rule + " " + f.Request + ": " + f.Text }

// checker holds the history in the order that the checks need.
type checker struct {
	*History
	attempts map[string]*Attempt
	arrivals map[string][]Arrival
	findings []Finding
}

// Check returns what broke a promise.
func Check(h *History) []Finding {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	c := &checker{History: h, attempts: make(map[string]*Attempt), arrivals: make(map[string][]Arrival)}
	slices.SortFunc(h.Arrivals, func(a, b Arrival) int { return a.At.Compare(b.At) })
	slices.SortFunc(h.Attempts, func(a, b *Attempt) int { return a.Sent.Compare(b.Sent) })
	for _, a := range h.Attempts {
		c.attempts[a.ID] = a
	}
	for _, a := range h.Arrivals {
		c.arrivals[a.ID] = append(c.arrivals[a.ID], a)
	}
	for _, a := range h.Attempts {
		c.checkResponse(a)
		c.checkExecutions(a)
		c.checkLost(a)
	}
	for _, a := range h.Arrivals {
		c.checkArrival(a)
	}
	c.checkDrain()
	c.checkAbandoned()
	c.checkTimeouts()
	c.checkBudget()
	c.checkConfig()
	c.checkRecovery()
	for _, end := range h.UnexpectedExits {
		c.find("ENDS", "", "%s", end)
	}
	return c.findings
}

func (c *checker) find(rule, request, format string, values ...any) {
	c.findings = append(c.findings, Finding{Rule: rule, Request: request, Text: fmt.Sprintf(format, values...)})
}

// refusals are the statuses that promise that a request has not run.
func refusal(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}

// answerOf is the body that a target gives for a request.
func responseBodyFor(id string) string { return strings.Repeat("answer to "+id+"\n", 20) }

// checkAnswer compares an answer with what the target gives.
func (c *checker) checkResponse(a *Attempt) {
	switch {
	case a.Status/100 == 2 && !a.Sealed:
		c.find("MIXED", a.ID, "success without the target's seal")
	case a.Status/100 == 2 && a.ResponseBody != responseBodyFor(a.ID):
		c.find("MIXED", a.ID, "success with a body of %d bytes that is not the target's", len(a.ResponseBody))
	case a.Status == 404 && a.Route == RouteGeneration:
	case a.Status/100 == 3, a.Status/100 == 4 && !refusal(a.Status):
		c.find("DENIED", a.ID, "a proper request was answered %d", a.Status)
	}
}

// checkRuns compares what a request was told with what ran.
func (c *checker) checkExecutions(a *Attempt) {
	var targetIDs []string
	runs := 0
	for _, arrival := range c.arrivals[a.ID] {
		if arrival.Ran {
			runs++
			targetIDs = append(targetIDs, arrival.TargetID)
		}
	}
	if !a.Route.Idempotent() && runs > 1 {
		c.find("TWICE", a.ID, "ran %d times, at %s", runs, strings.Join(targetIDs, ", "))
	}
	if !a.Route.Idempotent() && runs > 0 && refusal(a.Status) {
		c.find("REFUSED", a.ID, "was answered %d and ran at %s", a.Status, strings.Join(targetIDs, ", "))
	}
	if slices.Sort(targetIDs); len(slices.Compact(targetIDs)) > routeAttempts {
		c.find("BUDGET", a.ID, "ran at %d targets", len(targetIDs))
	}
}

// checkAsked compares a request at a target with what was sent.
func (c *checker) checkArrival(a Arrival) {
	sent := c.attempts[a.ID]
	if sent == nil {
		c.find("UNASKED", a.ID, "reached %s and was not sent", a.TargetID)
		return
	}
	if a.Method != sent.Method || a.Target != sent.Target || a.Body != sent.Body {
		c.find("UNASKED", a.ID, "was sent as %s %s and ran as %s %s", sent.Method, sent.Target, a.Method, a.Target)
	}
	if caller := serviceOf(sent.VM); a.Caller != caller {
		c.find("UNASKED", a.ID, "caller is %q, should be %q", a.Caller, caller)
	}
	if a.Service != sent.Route.service() {
		c.find("ROUTE", a.ID, "was run by %s", a.Service)
	}
	if a.Deadline <= 0 || a.Deadline > sent.Deadline {
		c.find("BUDGET", a.ID, "was given %s of %s", a.Deadline, sent.Deadline)
	}
}

// checkLost looks for requests that planned work cut.
func (c *checker) checkLost(a *Attempt) {
	if a.Status != 0 || a.GaveUp || a.Unconnected || a.Ended.Sub(a.Sent) >= a.Deadline {
		return
	}
	if !c.onlyPlannedWork(a.Sent, a.Ended) {
		return
	}
	if len(c.arrivals[a.ID]) > 0 || a.Ended.Sub(a.Sent) > lossSlack {
		c.find("LOST", a.ID, "no answer after %s from VM %d, reached %d targets", a.Ended.Sub(a.Sent), a.VM+1, len(c.arrivals[a.ID]))
	}
}

// checkDrain looks for requests that reach a target that leaves.
func (c *checker) checkDrain() {
	acked := make(map[string]time.Time)
	for _, l := range c.DrainNotices {
		acked[l.TargetID] = l.Acked
	}
	for _, a := range c.Arrivals {
		at, draining := acked[a.TargetID]
		sent := c.attempts[a.ID]
		if !draining || sent == nil || a.At.Sub(at) <= drainTimeout {
			continue
		}
		if c.vmHealthy(a.VM, a.At, a.At) && c.vmHealthy(sent.VM, a.At, a.At) {
			c.find("DRAIN", a.ID, "reached %s %s after its leaving was acknowledged", a.TargetID, a.At.Sub(at))
		}
	}
}

// checkGone looks for requests that reach a target long after their client left.
func (c *checker) checkAbandoned() {
	var late []Arrival
	for _, a := range c.Arrivals {
		sent := c.attempts[a.ID]
		if sent != nil && sent.GaveUp && a.At.Sub(sent.Ended) > closeSlack &&
			c.vmHealthy(a.VM, a.At, a.At) && c.vmHealthy(sent.VM, sent.Ended, a.At) {
			late = append(late, a)
		}
	}
	if len(late) > maxLateArrivals {
		c.find("GONE", late[0].ID, "and %d more reached a target over %s after their client left", len(late)-1, closeSlack)
	}
}

// checkHeld looks for requests without a final answer past the route's timeout.
func (c *checker) checkTimeouts() {
	var overdue []*Attempt
	timedOut := 0
	for _, a := range c.Attempts {
		limit := min(a.Deadline, routeTimeout)
		if a.GaveUp || a.Unconnected || a.Ended.Sub(a.Sent) < limit || !c.vmHealthy(a.VM, a.Sent, a.Ended) {
			continue
		}
		timedOut++
		if a.Ended.Sub(a.Sent) > limit+timeoutSlack {
			overdue = append(overdue, a)
		}
	}
	if len(overdue) > maxOverdue && len(overdue)*overdueOneIn > timedOut {
		c.find("CONFIG", overdue[0].ID, "and %d more of %d were held past their timeout", len(overdue)-1, timedOut)
	}
}

// checkBudget compares the repeats to each service with its requests.
func (c *checker) checkBudget() {
	for _, service := range []string{serviceStock, servicePrices} {
		var requests, retries []time.Time
		for _, a := range c.Attempts {
			if a.Route.service() == service {
				requests = append(requests, a.Sent)
			}
		}
		seen := make(map[string]bool)
		for _, a := range c.Arrivals {
			if a.Service != service {
				continue
			}
			if seen[a.ID] {
				retries = append(retries, a.At)
			}
			seen[a.ID] = true
		}
		for i, end := range retries {
			start := end.Add(-budgetWindow)
			first := indexFrom(retries, start)
			retried := i + 1 - first
			base := max(countBetween(requests, start, end), countBetween(requests, start.Add(-budgetWindow), start))
			if float64(retried) > budgetRatio*float64(base)+budgetSlack {
				c.find("BUDGET", "", "%d repeats to %s in 10 s for %d requests", retried, service, base)
				break
			}
		}
	}
}

// countFrom returns the index of the first time that is not before start.
func indexFrom(times []time.Time, start time.Time) int {
	index, _ := slices.BinarySearchFunc(times, start, time.Time.Compare)
	return index
}

func countBetween(times []time.Time, from, to time.Time) int {
	return indexFrom(times, to) - indexFrom(times, from)
}

// checkConfig looks for nodes that handle a request as only an older
// configuration allows.
func (c *checker) checkConfig() {
	type incarnation struct{ vm, number int }
	newest := make(map[incarnation]*Attempt)
	for _, a := range c.Attempts {
		if a.Route != RouteGeneration {
			continue
		}
		c.checkStale(a)
		key := incarnation{a.VM, a.Incarnation}
		seen := newest[key]
		if seen != nil && a.Generation < seen.Generation && a.Status == 200 && a.Sent.Sub(seen.Ended) > downgradeSlack {
			c.find("CONFIG", a.ID, "VM %d went back from generation %d to %d", a.VM+1, seen.Generation, a.Generation)
		}
		if a.Status == 200 && (seen == nil || a.Generation > seen.Generation) {
			newest[key] = a
		}
	}
}

func (c *checker) checkStale(a *Attempt) {
	bound := a.Sent.Add(-configApply)
	inForce, latestSent := 0, 0
	for _, change := range c.Changes {
		if change.Acked.Before(bound) {
			inForce = max(inForce, change.Generation)
		}
		if change.Sent.Before(a.Ended) {
			latestSent = max(latestSent, change.Generation)
		}
	}
	if !c.vmHealthy(a.VM, bound, a.Ended) {
		return
	}
	if a.Status == 404 && a.Generation <= inForce && a.Generation == latestSent {
		c.find("CONFIG", a.ID, "VM %d does not know generation %d", a.VM+1, a.Generation)
	}
	if a.Status == 200 && a.Generation < inForce {
		c.find("CONFIG", a.ID, "VM %d serves generation %d though %d is in force", a.VM+1, a.Generation, inForce)
	}
}

// checkRecovery looks for requests that fail after the last fault.
func (c *checker) checkRecovery() {
	if c.FaultsEnded.IsZero() {
		return
	}
	served := 0
	for _, a := range c.Attempts {
		if a.Sent.Before(c.FaultsEnded.Add(RecoveryBound)) || a.GaveUp || a.Route == RouteGeneration || c.stalled(a.Sent, a.Ended) {
			continue
		}
		if a.Status != 200 {
			c.find("RECOVER", a.ID, "sent %s after the last fault to VM %d, got status %d", a.Sent.Sub(c.FaultsEnded), a.VM+1, a.Status)
			continue
		}
		served++
	}
	if served == 0 {
		c.find("RECOVER", "", "no request was served after the last fault")
	}
}
