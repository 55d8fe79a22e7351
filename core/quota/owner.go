package quota

import (
	"sync"
	"time"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

const (
	// LeaseTTL is how long a lease lasts. It covers an exchange that fails and the
	// next one, which renews it.
	LeaseTTL = 600 * time.Millisecond
	// ViewDelay is how long an owner waits at least before it uses a larger part of a quota
	// after a change of the members, because an earlier owner may not know the change
	// yet. The views of nodes differ for up to 2 s, and leases last 0.6 s. A node that
	// joins waits longer for holders that are cut off, see joining.
	ViewDelay = 3 * time.Second
	// slotDuration is the resolution of the times at which leases expire.
	slotDuration = 50 * time.Millisecond
	// leaseSlots is the number of slots in which leases may be current.
	leaseSlots = int(LeaseTTL/slotDuration) + 1
	// maxListed is the maximum number of accounts in the list of those without credit.
	maxListed = 256
	// creditMinimum is the number of tokens in a bucket below which it gives no credit.
	creditMinimum = 1
	// loadPeriod is the time constant of the measured arrival rates.
	loadPeriod = time.Second
)

// An Owner decides about this node's parts of quotas. It is safe for concurrent use.
type Owner struct {
	vm string
	// firstLease is the number of the first slot. Slots of earlier incarnations of this
	// node have lower numbers.
	firstLease uint64
	start      time.Time
	// viewDelay is ViewDelay, except in tests of the tests.
	viewDelay time.Duration

	mu sync.Mutex
	// right is what the right to use the parts depends on, and joining how long the first
	// part is not used.
	right   contactRight
	joining joining
	// epochs are the views of the last ViewDelay, the one in force last.
	epochs []epoch
	// changedAt is when the parts of this node last changed, and generation counts the
	// changes.
	changedAt  time.Time
	generation uint64
	parts      map[string]*part
	// low holds the parts without a token.
	low map[string]*part
}

// epoch is a period in which a view was in force. The view is nil in the time before this
// node was a member.
type epoch struct {
	view *View
	end  time.Time
}

// part is this node's part of the quota of one account.
type part struct {
	hash       uint32
	generation uint64
	share      float64
	limits     Limits
	tokens     float64
	// updated is the time up to which the bucket has been filled.
	updated time.Time
	// leased holds the tokens on lease by the slot of the lease, modulo its length, and
	// outstanding is their sum. slot is the current one.
	leased      [leaseSlots]float64
	outstanding float64
	slot        uint64
	// arrivals is the decaying count of arrivals.
	arrivals decayingCount
}

// NewOwner returns the owner's side of a node that starts. incarnation must exceed that of
// earlier runs of the node by more than the number of slots of their life; a start time in
// nanoseconds does. If the node is rejoining, because it was a member when its earlier
// incarnation ended, only the leases of that incarnation are waited for.
func NewOwner(vm string, incarnation uint64, start time.Time, rejoining bool) *Owner {
	o := &Owner{vm: vm, firstLease: incarnation, start: start, viewDelay: ViewDelay, parts: make(map[string]*part), low: make(map[string]*part)}
	// The node has just learned the members.
	o.right.confirmQuorum(start)
	wait := LeaseTTL
	if !rejoining {
		o.epochs = []epoch{{end: start}}
		wait = ViewDelay
	}
	o.changedAt = start.Add(wait)
	return o
}

// SetView puts a view in force.
func (o *Owner) SetView(now time.Time, view *View) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if last := len(o.epochs) - 1; last >= 0 && o.epochs[last].view != nil {
		if o.epochs[last].view.equalParts(view) {
			o.epochs[last].view = view
			return
		}
		o.epochs[last].end = now
	}
	o.epochs = append(o.epochs, epoch{view: view})
	o.changedAt = later(o.changedAt, now)
	o.generation++
	o.prune(now)
	for name := range o.parts {
		if !view.Owns(o.vm, name) {
			delete(o.parts, name)
			delete(o.low, name)
		}
	}
	for name := range view.limits {
		if o.parts[name] == nil && view.Owns(o.vm, name) {
			// Until its bucket has a token, entries must not rely on it for credit.
			o.low[name] = o.part(now, name)
		}
	}
}

// prune drops the views that ended more than ViewDelay ago.
func (o *Owner) prune(now time.Time) {
	for len(o.epochs) > 1 {
		effective, known := o.epochs[0].end.Add(o.viewDelay), true
		if o.epochs[0].view == nil {
			effective, known = o.joining.effective(o.start, o.viewDelay)
		}
		if !known || now.Before(effective) {
			return
		}
		o.epochs = o.epochs[1:]
		o.changedAt = later(o.changedAt, effective)
		o.generation++
	}
}

// Serve answers the request of an entry.
func (o *Owner) Serve(now time.Time, request *pb.QuotaRequest, response *pb.QuotaResponse) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.prune(now)
	response.Grants = make([]*pb.QuotaGrant, 0, len(request.GetDemands()))
	for _, d := range request.GetDemands() {
		response.Grants = append(response.Grants, o.grant(now, d))
	}
	o.list(now, response)
}

func (o *Owner) grant(now time.Time, d *pb.QuotaDemand) *pb.QuotaGrant {
	p := o.parts[d.GetAccount()]
	if p == nil || !o.right.valid(now) {
		return &pb.QuotaGrant{NotOwner: true}
	}
	o.advance(now, d.GetAccount(), p)
	p.arrivals.add(now, float64(d.GetArrived()))
	p.settle(d.GetLease(), float64(d.GetHeld())+float64(d.GetSettled()))
	p.tokens -= float64(d.GetUsedOnCredit())
	p.giveBack(float64(d.GetReturned()))
	// The entry keeps what it holds; a longer lease on it is a new one.
	p.lease(float64(d.GetHeld()))
	granted := max(min(float64(d.GetWanted())-float64(d.GetHeld()), float64(int(p.tokens))), 0)
	p.tokens -= granted
	p.lease(granted)
	if p.tokens < creditMinimum {
		o.low[d.GetAccount()] = p
	}
	return &pb.QuotaGrant{
		Tokens: uint32(granted), Lease: p.slot, TtlMillis: uint64(LeaseTTL.Milliseconds()),
		WaitMillis: uint64(p.wait(now, o.changedAt).Milliseconds()), LoadPermille: p.load(now),
	}
}

// list adds the accounts without credit to a response.
func (o *Owner) list(now time.Time, response *pb.QuotaResponse) {
	var view *View
	if last := len(o.epochs) - 1; last >= 0 {
		view = o.epochs[last].view
	}
	if view != nil {
		response.Candidates = view.candidatesHash
	}
	if view == nil || !o.right.valid(now) {
		response.ExhaustedIncomplete = true
		return
	}
	response.View = view.hash
	for name, p := range o.low {
		o.advance(now, name, p)
		if p.tokens >= creditMinimum {
			delete(o.low, name)
			continue
		}
		if len(response.Exhausted) >= maxListed {
			response.ExhaustedIncomplete = true
			return
		}
		response.Exhausted = append(response.Exhausted, p.hash)
	}
}

// part returns a new part of a quota.
func (o *Owner) part(now time.Time, name string) *part {
	p := &part{hash: nameHash(name), updated: o.start, generation: o.generation}
	p.share, p.limits = o.share(name)
	// Credit that an earlier owner or incarnation had to account for may be lost.
	p.tokens = -min(p.limits.Credit, p.limits.Rate*ViewDelay.Seconds()) * p.share
	// What was filled before may have been another node's part.
	p.updated = later(p.updated, o.changedAt)
	o.parts[name] = p
	o.advance(now, name, p)
	return p
}

// advance fills the bucket of a part and ends leases.
func (o *Owner) advance(now time.Time, name string, p *part) {
	if p.generation != o.generation {
		missed, share := o.generation-p.generation > 1, p.share
		p.generation = o.generation
		p.share, p.limits = o.share(name)
		if missed || p.share > share {
			// What was filled before the last change may have been another node's part.
			p.updated = later(p.updated, o.changedAt)
		}
	}
	slot := o.firstLease + uint64(max(now.Sub(o.start), 0)/slotDuration)
	// Leases end in steps, so that the bucket fills as they do.
	for steps := 0; p.slot < slot && steps < leaseSlots; steps++ {
		next := max(p.slot+1, slot-uint64(leaseSlots)+1)
		p.fill(o.start.Add(time.Duration(next-o.firstLease) * slotDuration))
		p.slot = next
		p.endLeases(next)
	}
	p.fill(now)
}

// share returns the part of the quota that this node may use, the least one of the last
// ViewDelay, and the limits in force.
func (o *Owner) share(name string) (float64, Limits) {
	share := 1.0
	var limits Limits
	for i, e := range o.epochs {
		if e.view == nil {
			share = 0
			continue
		}
		l, known := e.view.limits[name]
		if !known {
			if i == len(o.epochs)-1 {
				return 0, l
			}
			// Nobody has used the quota of an account that did not exist.
			continue
		}
		limits = l
		if !e.view.Owns(o.vm, name) {
			share = 0
			continue
		}
		share = min(share, 1/float64(e.view.ownerCount(name)))
	}
	return share, limits
}

func (p *part) capacity() float64 { return p.limits.Capacity * p.share }

// fill fills the bucket for the time until now.
func (p *part) fill(now time.Time) {
	if elapsed := now.Sub(p.updated); elapsed > 0 {
		p.tokens += elapsed.Seconds() * p.limits.Rate * p.share
		p.updated = now
	}
	p.tokens = min(p.tokens, max(p.capacity()-p.outstanding, 0))
}

// endLeases ends the leases whose slot is reused by the given one.
func (p *part) endLeases(slot uint64) {
	index := slot % uint64(leaseSlots)
	p.outstanding = max(p.outstanding-p.leased[index], 0)
	p.leased[index] = 0
}

// settle ends a part of a lease. The tokens are spent, given back or part of the renewed
// lease.
func (p *part) settle(lease uint64, tokens float64) {
	if lease > p.slot || lease+uint64(leaseSlots) <= p.slot {
		// The lease has ended, or is one of an earlier incarnation of this node.
		return
	}
	index := lease % uint64(leaseSlots)
	tokens = min(tokens, p.leased[index])
	p.leased[index] -= tokens
	p.outstanding -= tokens
}

func (p *part) lease(tokens float64) {
	p.leased[p.slot%uint64(leaseSlots)] += tokens
	p.outstanding += tokens
}

func (p *part) giveBack(tokens float64) {
	p.tokens = min(p.tokens+tokens, max(p.capacity()-p.outstanding, p.tokens))
}

// wait returns the expected time until the bucket has a token.
func (p *part) wait(now, changedAt time.Time) time.Duration {
	if p.tokens >= 1 {
		return 0
	}
	rate := p.limits.Rate * p.share
	if rate == 0 {
		return ViewDelay
	}
	return max(changedAt.Sub(now), 0) + time.Duration((1-p.tokens)/rate*float64(time.Second))
}

// load returns the load of the account in thousandths, assuming that the entries of the
// other owners receive the same.
func (p *part) load(now time.Time) uint32 {
	if p.share == 0 || p.limits.Configured == 0 {
		return 0
	}
	return uint32(p.arrivals.rate(now) / (p.limits.Configured * p.share) * 1000)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
