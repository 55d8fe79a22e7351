package quota

import (
	"slices"
	"time"
)

// refuse returns the refusal of a request.
func (e *Entry) refuse(now time.Time, a *entryAccount) Decision {
	d := Decision{Verdict: Exceeded, Urgent: !a.refused && !now.Before(a.waitUntil), Exhausted: now.Sub(a.refusedAt) >= seriesPeriod, Age: a.age(now)}
	if now.Sub(a.answered) >= contactPeriod && !e.inContact(now, a) {
		d.Verdict = Unknown
	}
	a.refused, a.refusing, a.refusedAt = true, true, now
	d.RetryAfter = e.returnTime(now, a).Sub(now)
	return d
}

// returnTime returns the time at which a refused client should come back. If the owners have
// no tokens, clients that are refused later are told a later time, at the rate at which this
// entry receives tokens, and those of other entries other times.
func (e *Entry) returnTime(now time.Time, a *entryAccount) time.Time {
	earliest := later(now.Add(minReturn), a.waitUntil)
	if !a.short && e.anyCredit(now, a) {
		// Only this entry lacks a token, and an exchange brings one.
		return earliest
	}
	rate := max(a.supply.rate(now), e.view.limits[a.name].Rate/float64(max(e.view.members, 1))) * returnShare
	gap := time.Duration(float64(time.Second) / rate)
	first := earliest.Add(min(time.Duration(a.random.Float64()*float64(gap)), e.window))
	a.nextReturn = later(first, a.nextReturn.Add(gap))
	if a.nextReturn.After(now.Add(returnWindows * e.window)) {
		a.nextReturn = later(first, now.Add(e.window))
	}
	return a.nextReturn
}

// anyCredit reports whether an owner gives credit.
func (e *Entry) anyCredit(now time.Time, a *entryAccount) bool {
	for i := range a.owners {
		if e.allowsCredit(now, a, i) {
			return true
		}
	}
	return false
}

// inContact reports whether an owner that may use its part has responded lately.
func (e *Entry) inContact(now time.Time, a *entryAccount) bool {
	return slices.ContainsFunc(a.owners, func(vm string) bool {
		c := e.contacts[vm]
		return c != nil && now.Sub(c.at) < contactPeriod && c.view != 0
	})
}
