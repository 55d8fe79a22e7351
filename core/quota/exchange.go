package quota

import (
	"math"
	"slices"
	"time"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// An Exchange is one message to an owner. It ends with a call of Apply or Fail.
type Exchange struct {
	// Owner is the VM of the owner.
	Owner   string
	Request *pb.QuotaRequest
	sent    time.Time
	// accounts are those of the demands.
	accounts []*entryAccount
}

// maxExchanges is the maximum number of owners that one regular round contacts. It limits
// the traffic of an entry in a large fleet; the others follow in the next rounds.
const maxExchanges = 8

// Round returns the exchanges of a regular round: with the owners of accounts that have
// something to report, and with those that are due for credit.
func (e *Entry) Round(now time.Time) []*Exchange {
	return e.collect(now, e.activeAccounts(now), func(a *entryAccount) bool { return a.isActive(now) })
}

// activeAccounts returns the accounts and drops those that have been idle.
func (e *Entry) activeAccounts(now time.Time) []*entryAccount {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list = slices.DeleteFunc(e.list, func(a *entryAccount) bool {
		if e.accounts[a.name] == a && !a.isIdle(now) {
			return false
		}
		if e.accounts[a.name] == a {
			delete(e.accounts, a.name)
		}
		return true
	})
	return slices.Clone(e.list)
}

// Urgent returns the exchanges that should not wait for the next round: those for requests
// on credit, for refused requests, for tokens that have been used up, those that follow a
// failed one, and those with owners that are due for credit.
func (e *Entry) Urgent(now time.Time) []*Exchange {
	e.urgentMu.Lock()
	accounts := e.urgent
	e.urgent = nil
	e.urgentMu.Unlock()
	return e.collect(now, accounts, func(a *entryAccount) bool { return a.isUrgent(now) })
}

// collect returns exchanges for the accounts that match, one for each owner, and for the
// members that are asked in each period and were not asked within it.
func (e *Entry) collect(now time.Time, accounts []*entryAccount, matches func(*entryAccount) bool) []*Exchange {
	exchanges := e.demands(now, accounts, matches)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, x := range exchanges {
		e.asked[x.Owner] = now
	}
	for _, vm := range e.regular {
		if now.Sub(e.asked[vm]) >= Period {
			e.asked[vm] = now
			exchanges = append(exchanges, &Exchange{Owner: vm, Request: &pb.QuotaRequest{}, sent: now})
		}
	}
	return exchanges
}

func (e *Entry) demands(now time.Time, accounts []*entryAccount, matches func(*entryAccount) bool) []*Exchange {
	e.mu.RLock()
	defer e.mu.RUnlock()
	var exchanges []*Exchange
	for _, a := range accounts {
		a.mu.Lock()
		a.follow(e.view)
		if !a.inFlight && len(a.owners) > 0 && matches(a) {
			a.preferHome(e.contacts, now)
			exchanges = a.join(now, exchanges)
		}
		a.mu.Unlock()
	}
	return exchanges
}

// join adds the demand of the account to the exchange with its owner.
func (a *entryAccount) join(now time.Time, exchanges []*Exchange) []*Exchange {
	owner := a.owners[a.current]
	index := slices.IndexFunc(exchanges, func(x *Exchange) bool { return x.Owner == owner })
	if index < 0 {
		if len(exchanges) >= maxExchanges {
			return exchanges
		}
		index = len(exchanges)
		exchanges = append(exchanges, &Exchange{Owner: owner, Request: &pb.QuotaRequest{}, sent: now})
	}
	x := exchanges[index]
	x.Request.Demands = append(x.Request.Demands, a.report(now))
	x.accounts = append(x.accounts, a)
	return exchanges
}

// isActive reports whether the account has something to report or needs tokens.
func (a *entryAccount) isActive(now time.Time) bool {
	return a.arrived > 0 || a.credit > 0 || a.unused > 0 || a.lease.count > 0 || a.lease.spent > 0 || a.refused || a.wanted(now) > 0
}

// isUrgent reports whether the account should be reported at once. If the owners had too
// few tokens, only requests on credit are urgent.
func (a *entryAccount) isUrgent(now time.Time) bool {
	if a.credit > 0 || a.tries > 0 && a.mayTry() {
		return true
	}
	return !a.short && !now.Before(a.waitUntil) && (a.refused || a.wanted(now) > 0 && a.tokens(now) == 0)
}

func (a *entryAccount) isIdle(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.inFlight && a.credit == 0 && a.unused == 0 && a.arrived == 0 && now.Sub(a.demand.at) > idlePeriod
}

// preferHome returns to the preferred owner once it gives credit again. A lease that ends
// early counts until it expires, so it is renewed for a while first.
func (a *entryAccount) preferHome(contacts map[string]*contact, now time.Time) {
	if a.current == a.home {
		a.awaySince = time.Time{}
		return
	}
	if a.awaySince.IsZero() {
		a.awaySince = now
	}
	holds := a.lease.count > 0 || a.lease.spent > 0
	if a.short || a.tries > 0 || holds && now.Sub(a.awaySince) < awayPeriod {
		return
	}
	if c := contacts[a.owners[a.home]]; c != nil && now.Sub(c.at) < contactPeriod && !c.all && !c.exhausted[a.hash] {
		a.ask(a.home)
	}
}

// wanted returns the number of tokens that the entry wants to hold.
func (a *entryAccount) wanted(now time.Time) uint32 {
	wanted := uint32(math.Round(a.demand.rate(now) * holdPeriod.Seconds()))
	if a.refused {
		// The refused client comes back.
		wanted++
	}
	return wanted
}

// report returns the demand of the account. Tokens beyond those wanted are given back.
func (a *entryAccount) report(now time.Time) *pb.QuotaDemand {
	if a.lease.expire(now); !now.Before(a.lease.expires) {
		a.lease = lease{}
	}
	a.loose.expire(now)
	wanted := a.wanted(now)
	excess := a.lease.count - min(a.lease.count, wanted)
	a.lease.count -= excess
	d := &pb.QuotaDemand{
		Account: a.name, Arrived: a.arrived, UsedOnCredit: a.credit, Lease: a.lease.id, Held: a.lease.count,
		Settled: a.lease.spent + excess, Returned: a.unused + excess, Wanted: wanted - min(wanted, a.loose.count),
	}
	a.inFlight, a.refused = true, false
	a.lease.spent, a.unused, a.arrived = 0, 0, 0
	return d
}

// Apply applies the response of an owner that arrived at a time. It reports whether the
// owner was out of reach before.
func (e *Entry) Apply(now time.Time, x *Exchange, response *pb.QuotaResponse) bool {
	e.mu.Lock()
	previous := e.contacts[x.Owner]
	c := &contact{at: x.sent, exhausted: make(map[uint32]bool, len(response.GetExhausted())), all: response.GetExhaustedIncomplete(), view: response.GetView()}
	for _, hash := range response.GetExhausted() {
		c.exhausted[hash] = true
	}
	e.contacts[x.Owner] = c
	if e.view != nil && response.GetCandidates() == e.view.candidatesHash {
		e.confirmed[x.Owner] = later(e.confirmed[x.Owner], x.sent)
	}
	e.mu.Unlock()
	for i, a := range x.accounts {
		if i >= len(response.GetGrants()) || response.GetGrants()[i].GetNotOwner() {
			e.failed(x, i)
			continue
		}
		a.apply(now, x, x.Request.GetDemands()[i], response.GetGrants()[i])
	}
	return previous != nil && previous.at.IsZero()
}

// Fail records that an owner did not respond in time. The next owner should be asked at
// once. It reports whether the owner was in reach before.
func (e *Entry) Fail(x *Exchange) bool {
	e.mu.Lock()
	previous := e.contacts[x.Owner]
	e.contacts[x.Owner] = &contact{}
	e.mu.Unlock()
	for i := range x.accounts {
		e.failed(x, i)
	}
	return previous == nil || !previous.at.IsZero()
}

func (a *entryAccount) apply(now time.Time, x *Exchange, d *pb.QuotaDemand, g *pb.QuotaGrant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inFlight, a.tries, a.answered = false, 0, now
	a.credit -= min(a.credit, d.GetUsedOnCredit())
	a.load, a.loadAt = float64(g.GetLoadPermille())/1000, now
	a.waitUntil = now.Add(time.Duration(g.GetWaitMillis()) * time.Millisecond)
	a.short = d.GetHeld()+g.GetTokens() < d.GetWanted()
	a.supply.add(now, float64(g.GetTokens()+d.GetUsedOnCredit()))
	// The clock of the owner started its period after this node sent the demand.
	expires := x.sent.Add(time.Duration(g.GetTtlMillis()) * time.Millisecond)
	a.lease.expire(now)
	if !a.asks(x.Owner) {
		// The owners have changed since.
		a.detach()
		a.lease = lease{tokens: tokens{count: g.GetTokens(), expires: expires}}
		a.detach()
		return
	}
	a.lease.id = g.GetLease()
	a.lease.count += g.GetTokens()
	a.lease.expires = expires
	if a.short && d.GetHeld()+g.GetTokens() == 0 {
		// The owner has no tokens, and nothing that would have to be reported to it.
		a.ask((a.current + 1) % len(a.owners))
	}
}

// asks reports whether a VM is the owner to ask next.
func (a *entryAccount) asks(vm string) bool {
	return len(a.owners) > 0 && a.owners[a.current] == vm
}

// failed records that a demand of an exchange may not have been received, and makes the
// next owner be asked at once unless all have failed.
func (e *Entry) failed(x *Exchange, index int) {
	a := x.accounts[index]
	if a.fail(x.Owner, x.Request.GetDemands()[index]) {
		e.hasten(a)
	}
}

// fail drops what would be counted twice if the demand was received after all, except
// credit, and moves on to the next owner. It reports whether there is one that has not
// failed.
func (a *entryAccount) fail(owner string, d *pb.QuotaDemand) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inFlight = false
	a.arrived += d.GetArrived()
	a.refused = a.refused || d.GetWanted() > 0 && a.refusing
	a.detach()
	if !a.asks(owner) {
		return true
	}
	a.tries++
	a.current = (a.current + 1) % len(a.owners)
	return a.mayTry()
}

// mayTry reports whether another owner should be asked at once after failures.
func (a *entryAccount) mayTry() bool { return a.tries < min(len(a.owners), maxOwners) }
