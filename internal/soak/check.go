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
	allowedLate = 3
	// allowedHeld requests may stay unanswered past their timeout, and a share of
	// one in heldShare of those that last so long.
	allowedHeld = 7
	heldShare   = 4
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
		c.checkAnswer(a)
		c.checkRuns(a)
		c.checkLost(a)
	}
	for _, a := range h.Arrivals {
		c.checkAsked(a)
	}
	c.checkDrain()
	c.checkGone()
	c.checkHeld()
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
func answerOf(id string) string { return strings.Repeat("answer to "+id+"\n", 20) }

// checkAnswer compares an answer with what the target gives.
func (c *checker) checkAnswer(a *Attempt) {
	switch {
	case a.Status/100 == 2 && !a.Sealed:
		c.find("MIXED", a.ID, "success without the target's seal")
	case a.Status/100 == 2 && a.ResponseBody != answerOf(a.ID):
		c.find("MIXED", a.ID, "success with a body of %d bytes that is not the target's", len(a.ResponseBody))
	case a.Status == 404 && a.Route == RouteGeneration:
	case a.Status/100 == 3, a.Status/100 == 4 && !refusal(a.Status):
		c.find("DENIED", a.ID, "a proper request was answered %d", a.Status)
	}
}

// checkRuns compares what a request was told with what ran.
func (c *checker) checkRuns(a *Attempt) {
	var lives []string
	runs := 0
	for _, arrival := range c.arrivals[a.ID] {
		if arrival.Ran {
			runs++
			lives = append(lives, arrival.TargetID)
		}
	}
	if !a.Route.Idempotent() && runs > 1 {
		c.find("TWICE", a.ID, "ran %d times, at %s", runs, strings.Join(lives, ", "))
	}
	if !a.Route.Idempotent() && runs > 0 && refusal(a.Status) {
		c.find("REFUSED", a.ID, "was answered %d and ran at %s", a.Status, strings.Join(lives, ", "))
	}
	if slices.Sort(lives); len(slices.Compact(lives)) > routeAttempts {
		c.find("BUDGET", a.ID, "ran at %d targets", len(lives))
	}
}

// checkAsked compares a request at a target with what was sent.
func (c *checker) checkAsked(a Arrival) {
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
	if !c.undisturbed(a.Sent, a.Ended) {
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
		at, leaving := acked[a.TargetID]
		sent := c.attempts[a.ID]
		if !leaving || sent == nil || a.At.Sub(at) <= drainTimeout {
			continue
		}
		if c.inTouch(a.VM, a.At, a.At) && c.inTouch(sent.VM, a.At, a.At) {
			c.find("DRAIN", a.ID, "reached %s %s after its leaving was acknowledged", a.TargetID, a.At.Sub(at))
		}
	}
}

// checkGone looks for requests that reach a target long after their client left.
func (c *checker) checkGone() {
	var late []Arrival
	for _, a := range c.Arrivals {
		sent := c.attempts[a.ID]
		if sent != nil && sent.GaveUp && a.At.Sub(sent.Ended) > closeSlack &&
			c.inTouch(a.VM, a.At, a.At) && c.inTouch(sent.VM, sent.Ended, a.At) {
			late = append(late, a)
		}
	}
	if len(late) > allowedLate {
		c.find("GONE", late[0].ID, "and %d more reached a target over %s after their client left", len(late)-1, closeSlack)
	}
}

// checkHeld looks for requests without a final answer past the route's timeout.
func (c *checker) checkHeld() {
	var held []*Attempt
	long := 0
	for _, a := range c.Attempts {
		limit := min(a.Deadline, routeTimeout)
		if a.GaveUp || a.Unconnected || a.Ended.Sub(a.Sent) < limit || !c.inTouch(a.VM, a.Sent, a.Ended) {
			continue
		}
		long++
		if a.Ended.Sub(a.Sent) > limit+timeoutSlack {
			held = append(held, a)
		}
	}
	if len(held) > allowedHeld && len(held)*heldShare > long {
		c.find("CONFIG", held[0].ID, "and %d more of %d were held past their timeout", len(held)-1, long)
	}
}

// checkBudget compares the repeats to each service with its requests.
func (c *checker) checkBudget() {
	for _, service := range []string{serviceStock, servicePrices} {
		var requests, repeats []time.Time
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
				repeats = append(repeats, a.At)
			}
			seen[a.ID] = true
		}
		for i, end := range repeats {
			start := end.Add(-budgetWindow)
			first := countFrom(repeats, start)
			made := i + 1 - first
			earned := max(countBetween(requests, start, end), countBetween(requests, start.Add(-budgetWindow), start))
			if float64(made) > budgetRatio*float64(earned)+budgetSlack {
				c.find("BUDGET", "", "%d repeats to %s in 10 s for %d requests", made, service, earned)
				break
			}
		}
	}
}

// countFrom returns the index of the first time that is not before start.
func countFrom(times []time.Time, start time.Time) int {
	index, _ := slices.BinarySearchFunc(times, start, time.Time.Compare)
	return index
}

func countBetween(times []time.Time, from, to time.Time) int {
	return countFrom(times, to) - countFrom(times, from)
}

// checkConfig looks for nodes that handle a request as only an older
// configuration allows.
func (c *checker) checkConfig() {
	type life struct{ vm, number int }
	newest := make(map[life]*Attempt)
	for _, a := range c.Attempts {
		if a.Route != RouteGeneration {
			continue
		}
		c.checkStale(a)
		of := life{a.VM, a.Incarnation}
		seen := newest[of]
		if seen != nil && a.Generation < seen.Generation && a.Status == 200 && a.Sent.Sub(seen.Ended) > downgradeSlack {
			c.find("CONFIG", a.ID, "VM %d went back from generation %d to %d", a.VM+1, seen.Generation, a.Generation)
		}
		if a.Status == 200 && (seen == nil || a.Generation > seen.Generation) {
			newest[of] = a
		}
	}
}

func (c *checker) checkStale(a *Attempt) {
	bound := a.Sent.Add(-configApply)
	inForce, begun := 0, 0
	for _, change := range c.Changes {
		if change.Acked.Before(bound) {
			inForce = max(inForce, change.Generation)
		}
		if change.Sent.Before(a.Ended) {
			begun = max(begun, change.Generation)
		}
	}
	if !c.inTouch(a.VM, bound, a.Ended) {
		return
	}
	if a.Status == 404 && a.Generation <= inForce && a.Generation == begun {
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
