package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Bounds of the guarantees, as the users of the system state them. The settings of the
// nodes contain drainTimeout, budgetRatio and budgetSlack too.
const (
	// drainTimeout is the time from the acknowledgement of a drain after which the
	// target must receive no new requests.
	drainTimeout = 2 * time.Second
	// configApply is the time within which a node must apply an acknowledged
	// configuration.
	configApply = 2 * time.Second
	// downgradeSlack is how long after a response from a newer configuration a
	// node may still serve an older one.
	downgradeSlack = 250 * time.Millisecond
	// lossSlack is the time after which a request without a response counts as lost
	// even if it reached no target. A request that reached no target and ended earlier
	// does not count.
	lossSlack = 200 * time.Millisecond
	// closeSlack is how long after its client closed the connection a request may
	// still reach a target.
	closeSlack = 500 * time.Millisecond
	// timeoutSlack is how long past its timeout a request may end.
	timeoutSlack = 500 * time.Millisecond
	// In each budgetWindow, the retries to a service are bounded by budgetRatio
	// of the requests to it plus budgetSlack.
	budgetWindow = 10 * time.Second
	budgetRatio  = 0.2
	budgetSlack  = 48
	// maxLateArrivals is the number of requests that may reach a target more than
	// closeSlack after their client closed the connection.
	maxLateArrivals = 3
	// Requests that end more than timeoutSlack past their timeout are a violation if
	// there are more than maxOverdue, and more than one in overdueOneIn of the
	// requests that reached their timeout.
	maxOverdue   = 7
	overdueOneIn = 4
	// RecoveryBound is the time after the end of the last fault within which the
	// fleet must serve every request again.
	RecoveryBound = 15 * time.Second
)

// Finding is a violation of a guarantee.
type Finding struct {
	// Rule is the short name of the violated rule, for example TWICE for a
	// non-idempotent request that ran more than once.
	Rule string
	// Request is the id of the request, or empty if the finding is not about one.
	Request string
	Text    string
}

// String returns the finding as one line.
func (f Finding) String() string { return f.Rule + " " + f.Request + ": " + f.Text }

// checker indexes a history by request and collects the findings.
type checker struct {
	*History
	attempts map[string]*Attempt
	arrivals map[string][]Arrival
	findings []Finding
}

// Check returns the guarantees that the history violates.
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
	c.checkAccounts()
	for _, end := range h.UnexpectedExits {
		c.find("ENDS", "", "%s", end)
	}
	return c.findings
}

func (c *checker) find(rule, request, format string, values ...any) {
	c.findings = append(c.findings, Finding{Rule: rule, Request: request, Text: fmt.Sprintf(format, values...)})
}

// refusal reports whether the status guarantees that the request has not run.
func refusal(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}

// checkResponse checks that a success is the complete response of a target to this
// request, and that a valid request gets no other status of classes 3xx and 4xx than
// a refusal.
func (c *checker) checkResponse(a *Attempt) {
	switch {
	case a.Status/100 == 2 && !a.Sealed:
		c.find("MIXED", a.ID, "success without the target's seal")
	case a.Status/100 == 2 && a.ResponseBody != responseBodyFor(a.ID):
		c.find("MIXED", a.ID, "success with a body of %d bytes that is not the target's", len(a.ResponseBody))
	case a.Status == 404 && a.Route == RouteGeneration:
	case a.Status == http.StatusUnauthorized:
		// See checkUnauthorized.
	case a.Status/100 == 3, a.Status/100 == 4 && !refusal(a.Status):
		c.find("DENIED", a.ID, "a valid request got status %d", a.Status)
	}
}

// checkExecutions checks that non-idempotent requests run at most once and not at
// all if refused, and that no request runs at more targets than the route allows
// attempts.
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
		c.find("REFUSED", a.ID, "got status %d but ran at %s", a.Status, strings.Join(targetIDs, ", "))
	}
	if slices.Sort(targetIDs); len(slices.Compact(targetIDs)) > routeAttempts {
		c.find("BUDGET", a.ID, "ran at %d targets", len(targetIDs))
	}
}

// checkArrival compares a request that reached a target with the one that was sent.
func (c *checker) checkArrival(a Arrival) {
	sent := c.attempts[a.ID]
	if sent == nil {
		c.find("UNASKED", a.ID, "reached %s but was not sent", a.TargetID)
		return
	}
	if a.Method != sent.Method || a.Target != sent.Target || a.Body != sent.Body {
		c.find("UNASKED", a.ID, "was sent as %s %s but arrived as %s %s", sent.Method, sent.Target, a.Method, a.Target)
	}
	if caller := serviceOf(sent.VM); a.Caller != caller {
		c.find("UNASKED", a.ID, "caller is %q, should be %q", a.Caller, caller)
	}
	if a.Service != sent.Route.service() {
		c.find("ROUTE", a.ID, "was run by %s", a.Service)
	}
	if a.Deadline <= 0 || a.Deadline > sent.Deadline {
		c.find("BUDGET", a.ID, "arrived with a deadline of %s; it was sent with %s", a.Deadline, sent.Deadline)
	}
}

// checkLost finds requests that got no response although only planned work and
// faults of the store took place.
func (c *checker) checkLost(a *Attempt) {
	if a.Status != 0 || a.GaveUp || a.Unconnected || a.Ended.Sub(a.Sent) >= a.Deadline {
		return
	}
	if !c.onlyPlannedWork(a.Sent, a.Ended) {
		return
	}
	if a.BehindLast && len(c.arrivals[a.ID]) == 0 {
		// The request counts as not read.
		return
	}
	if len(c.arrivals[a.ID]) > 0 || a.Ended.Sub(a.Sent) > lossSlack {
		c.find("LOST", a.ID, "no response after %s from VM %d, reached %d targets", a.Ended.Sub(a.Sent), a.VM+1, len(c.arrivals[a.ID]))
	}
}

// checkDrain finds requests that reach a draining target more than drainTimeout
// after its drain was acknowledged.
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
			c.find("DRAIN", a.ID, "reached %s %s after its drain was acknowledged", a.TargetID, a.At.Sub(at))
		}
	}
}

// checkAbandoned finds requests that reach a target more than closeSlack after
// their client closed the connection.
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
		c.find("GONE", late[0].ID, "and %d more reached a target more than %s after their client closed the connection", len(late)-1, closeSlack)
	}
}

// checkTimeouts finds requests that end more than timeoutSlack past the smaller of
// their deadline and the timeout of the route. The rule is CONFIG, since the
// timeout of the route is part of the configuration.
func (c *checker) checkTimeouts() {
	var overdue []*Attempt
	timedOut := 0
	for _, a := range c.Attempts {
		limit := min(a.Deadline, routeTimeout)
		if a.GaveUp || a.Unconnected || a.ReadLate || a.Ended.Sub(a.Sent) < limit || !c.vmHealthy(a.VM, a.Sent, a.Ended) {
			continue
		}
		timedOut++
		if a.Ended.Sub(a.Sent) > limit+timeoutSlack {
			overdue = append(overdue, a)
		}
	}
	if len(overdue) > maxOverdue && len(overdue)*overdueOneIn > timedOut {
		c.find("CONFIG", overdue[0].ID, "and %d more of the %d that reached their timeout ended too late", len(overdue)-1, timedOut)
	}
}

// checkBudget compares the retries to each service with its requests. A retry is a
// request that reaches a target of the service again. Retries may draw on the
// requests of the window that they are in or of the one before.
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
				c.find("BUDGET", "", "%d retries to %s in 10 s for %d requests", retried, service, base)
				break
			}
		}
	}
}

// indexFrom returns the index of the first of the sorted times that is not before
// start.
func indexFrom(times []time.Time, start time.Time) int {
	index, _ := slices.BinarySearchFunc(times, start, time.Time.Compare)
	return index
}

func countBetween(times []time.Time, from, to time.Time) int {
	return indexFrom(times, to) - indexFrom(times, from)
}

// checkConfig finds nodes that handle a request by an older configuration than the
// one that they must have applied or have already used. Routes of different
// generations distinguish the configurations.
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

// checkStale checks a request for a generation against the configurations that the
// store acknowledged: the node must have applied the newest one by configApply
// after its acknowledgement, and must not serve an older one from then on.
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

// checkRecovery finds requests that fail more than RecoveryBound after the end of
// the last fault. It excludes RouteGeneration, because a node responds with status
// 404 for a generation that was replaced. checkUnauthorized and checkQuotaRefusals apply
// to refusals that concern client accounts.
func (c *checker) checkRecovery() {
	if c.FaultsEnded.IsZero() {
		return
	}
	served := 0
	for _, a := range c.Attempts {
		if a.Sent.Before(c.FaultsEnded.Add(RecoveryBound)) || a.GaveUp || a.Route == RouteGeneration || c.stalled(a.Sent, a.Ended) {
			continue
		}
		if a.Status == http.StatusUnauthorized || c.quotaRefused(a) || c.callOfAbandoned(a) {
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
