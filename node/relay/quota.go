package relay

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/account"
	"github.com/primrosemount/primrosemount/core/freshness"
	"github.com/primrosemount/primrosemount/core/ingress"
	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/core/quota"
	"github.com/primrosemount/primrosemount/core/roster"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/telemetry"
)

const (
	// quotaTick is how often the task looks for due rounds and for changes of the
	// configuration. It divides the period of the rounds. In a fleet of 65 nodes, a tick of
	// 20 ms took a noticeable part of the processor time.
	quotaTick = 50 * time.Millisecond
	// minUrgentInterval is the minimum time between exchanges outside the rounds.
	minUrgentInterval = 10 * time.Millisecond
	// quotaTimeout limits one exchange. An owner that needs longer is treated as out of
	// reach, and the next one is asked while leases are still current.
	quotaTimeout = 150 * time.Millisecond
)

// quotaExchange sends a request to the owner at an address. See
// transport.Pool.ExchangeQuota.
type quotaExchange func(ctx context.Context, address string, request *pb.QuotaRequest) (*pb.QuotaResponse, error)

// quotaTask keeps the quotas of client accounts: as an owner for other nodes, and for
// the root requests of this entry.
type quotaTask struct {
	vm          string
	incarnation uint64
	started     time.Time
	rules       quota.Rules
	exchange    quotaExchange
	table       func() *ingress.Table
	// storeAge returns the time since this node was in contact with the store, directly or
	// through other nodes.
	storeAge func(now time.Time) time.Duration
	logger   *zap.Logger
	entry    *quota.Entry
	// owner is nil until the members are known.
	owner atomic.Pointer[quota.Owner]
	// members is replaced by the members task.
	members atomic.Pointer[quotaMembers]
	// urgent has an element if an exchange should not wait for the next round.
	urgent chan struct{}
	counts quotaCounts

	// The goroutine that runs run accesses the fields below.
	usedTable   *ingress.Table
	usedMembers *quotaMembers
	limited     int
	nextRound   time.Time
	// inContact is whether this node could use its parts at the last step.
	inContact bool
	exchanges sync.WaitGroup
}

// quotaMembers are the members that may own quotas, and their addresses by VM.
type quotaMembers struct {
	vms       []string
	addresses map[string]string
	// rejoining is true if this node was a member when its earlier incarnation ended.
	rejoining bool
	// announced is when the store acknowledged that this node is a member, or zero.
	announced time.Time
}

// newQuotaTask returns a task that admits nothing to accounts with a quota until it runs.
func newQuotaTask(o Options, incarnation uint64, started time.Time, exchange quotaExchange, table func() *ingress.Table) *quotaTask {
	rules := quota.Rules{
		Window:  cmp.Or(o.QuotaWindow, quota.DefaultWindow),
		Overage: cmp.Or(o.QuotaOverage, quota.DefaultOverage),
		Slack:   cmp.Or(o.QuotaSlack, quota.DefaultSlack),
	}
	return &quotaTask{
		vm: o.VM, incarnation: incarnation, started: started, rules: rules, exchange: exchange, table: table,
		// The caller replaces this function.
		storeAge: func(time.Time) time.Duration { return freshness.Unknown },
		logger:   telemetry.Named(o.Logger, telemetry.PartEntry),
		entry:    quota.NewEntry(rules, roster.Identity(o.VM, incarnation)),
		urgent:   make(chan struct{}, 1),
	}
}

// setMembers replaces the members.
func (q *quotaTask) setMembers(members *quotaMembers) {
	q.members.Store(members)
	q.wake()
}

func (q *quotaTask) wake() {
	select {
	case q.urgent <- struct{}{}:
	default:
	}
}

// run exchanges quotas with their owners until the context ends.
func (q *quotaTask) run(ctx context.Context) {
	defer q.exchanges.Wait()
	ticker := time.NewTicker(quotaTick)
	defer ticker.Stop()
	earliest, idle := time.Time{}, false
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-q.urgent:
			sleep(ctx, time.Until(earliest))
		}
		now := time.Now()
		earliest = now.Add(minUrgentInterval)
		q.step(ctx, now)
		if idle != (q.limited == 0) {
			idle = q.limited == 0
			ticker.Reset(q.interval())
		}
	}
}

// interval returns the time between two steps. Without limits, the task only looks for a
// change of the configuration.
func (q *quotaTask) interval() time.Duration {
	if q.limited == 0 {
		return quota.Period
	}
	return quotaTick
}

// step applies changes of the members and of the configuration, and starts the exchanges
// that are due.
func (q *quotaTask) step(ctx context.Context, now time.Time) {
	q.refresh(now)
	if q.limited == 0 {
		return
	}
	if now.Before(q.nextRound) {
		q.start(ctx, q.entry.Urgent(now))
		return
	}
	q.updateContact(now)
	q.nextRound = now.Add(quota.Period)
	q.start(ctx, q.entry.Round(now))
}

// updateContact tells the owner of this node what its right to its parts depends on.
func (q *quotaTask) updateContact(now time.Time) {
	owner, storeAsOf := q.owner.Load(), time.Time{}
	if age := q.storeAge(now); age != freshness.Unknown {
		storeAsOf = now.Add(-age)
	}
	if announced := q.usedMembers.announced; !announced.IsZero() {
		owner.SetAnnounced(announced)
	}
	owner.SetContact(q.entry.Contact(), storeAsOf)
	q.entry.SetJoining(owner.Joining(now))
	if inContact := owner.InContact(now); inContact != q.inContact {
		q.inContact = inContact
		q.logger.Info("The right of this node to its parts of quotas has changed.", zap.Bool("in_contact", inContact))
	}
}

// refresh puts a new view in force if the members or the accounts have changed.
func (q *quotaTask) refresh(now time.Time) {
	table, members := q.table(), q.members.Load()
	if table == nil || members == nil || table == q.usedTable && members == q.usedMembers {
		return
	}
	q.usedTable, q.usedMembers = table, members
	var accounts []*account.Account
	if table.Accounts != nil {
		accounts = table.Accounts.All()
	}
	view := quota.NewView(q.vm, members.vms, accounts, q.rules)
	if view.Limited() == 0 && q.limited == 0 {
		return
	}
	q.limited = view.Limited()
	owner := q.owner.Load()
	if owner == nil {
		owner = quota.NewOwner(q.vm, q.incarnation, q.started, members.rejoining)
	}
	owner.SetView(now, view)
	q.owner.Store(owner)
	q.entry.SetView(view)
	q.nextRound = now
}

// start starts exchanges. An owner that is this node itself is served without the network.
func (q *quotaTask) start(ctx context.Context, exchanges []*quota.Exchange) {
	for _, x := range exchanges {
		x.Request.Sender = q.incarnation
		x.Request.ConfigVersion = q.usedTable.Version
		if x.Owner == q.vm {
			response := &pb.QuotaResponse{}
			q.serve(x.Request, response)
			q.apply(x, response)
			continue
		}
		address := q.usedMembers.addresses[x.Owner]
		q.exchanges.Go(func() { q.send(ctx, address, x) })
	}
}

// send runs one exchange over the network.
func (q *quotaTask) send(ctx context.Context, address string, x *quota.Exchange) {
	ctx, cancel := context.WithTimeout(ctx, quotaTimeout)
	defer cancel()
	response, err := q.exchange(ctx, address, x.Request)
	if err == nil {
		q.apply(x, response)
		return
	}
	q.counts.failed.Add(1)
	if q.entry.Fail(x) {
		q.logger.Warn("An owner of quotas is out of reach.", zap.String("vm", x.Owner), zap.String("address", address), telemetry.ErrorField(err))
	}
	q.wake()
}

func (q *quotaTask) apply(x *quota.Exchange, response *pb.QuotaResponse) {
	q.counts.exchanged.Add(1)
	if q.entry.Apply(time.Now(), x, response) {
		q.logger.Info("An owner of quotas is in reach again.", zap.String("vm", x.Owner))
	}
	if slices.ContainsFunc(response.GetGrants(), (*pb.QuotaGrant).GetNotOwner) {
		q.wake()
	}
}

// serve handles the exchange of another node with this owner.
func (q *quotaTask) serve(request *pb.QuotaRequest, response *pb.QuotaResponse) {
	owner := q.owner.Load()
	if owner == nil {
		for range request.GetDemands() {
			response.Grants = append(response.Grants, &pb.QuotaGrant{NotOwner: true})
		}
		response.ExhaustedIncomplete = true
		return
	}
	if table := q.table(); table != nil {
		response.ConfigVersion = table.Version
	}
	owner.Serve(time.Now(), request, response)
}

// take uses the quota of an account for one root request. It returns nil if the request
// may run, and otherwise the refusal with its RetryAfter. It never waits.
func (q *quotaTask) take(now time.Time, a *account.Account) *outcome.Error {
	if a == nil || !a.Limited() {
		return nil
	}
	d := q.entry.Take(now, a.Name)
	if d.Urgent {
		q.wake()
	}
	q.counts.add(d.Verdict)
	if d.Verdict == quota.Admitted {
		return nil
	}
	refused := outcome.New(outcome.NotRun, outcome.QuotaExceeded, "the client account is over its quota")
	if d.Verdict == quota.Unknown {
		refused = outcome.New(outcome.NotRun, outcome.QuotaUnknown, "no owner of the quota of the client account is in reach")
	}
	refused.RetryAfter = d.RetryAfter
	if d.Exhausted {
		q.logExhausted(now, a, d)
	}
	return refused
}

// logExhausted logs the first refusal of a period of refusals.
func (q *quotaTask) logExhausted(now time.Time, a *account.Account, d quota.Decision) {
	message := "The quota of a client account is used up."
	if d.Verdict == quota.Unknown {
		message = "No owner of the quota of a client account is in reach."
	}
	load, _ := q.entry.Load(now, a.Name)
	q.logger.Info(message, zap.String("account", a.Name), zap.Float64("rate", a.RatePerSecond), zap.Float64("load", load),
		zap.Duration("retry_after", d.RetryAfter), zap.Duration("age", d.Age))
}

// refund returns what take used, because the request has not run and will not run.
func (q *quotaTask) refund(now time.Time, a *account.Account) {
	if a != nil && a.Limited() {
		q.entry.Refund(now, a.Name)
	}
}

// load returns the arrivals of an account at all entries divided by its rate, and false
// if they are not known.
func (q *quotaTask) load(now time.Time, a *account.Account) (float64, bool) {
	if a == nil || !a.Limited() {
		return 0, false
	}
	return q.entry.Load(now, a.Name)
}

// snapshot returns the use of the quotas that had requests here lately.
func (q *quotaTask) snapshot(now time.Time) []quota.Use { return q.entry.Snapshot(now) }

// quotaCounts counts decisions and exchanges.
type quotaCounts struct {
	admitted, exceeded, unknown atomic.Int64
	exchanged, failed           atomic.Int64
}

func (c *quotaCounts) add(v quota.Verdict) {
	switch v {
	case quota.Admitted:
		c.admitted.Add(1)
	case quota.Exceeded:
		c.exceeded.Add(1)
	default:
		c.unknown.Add(1)
	}
}

// sample returns the values of the metrics.
func (c *quotaCounts) sample() telemetry.QuotaSample {
	return telemetry.QuotaSample{
		Admitted: c.admitted.Load(), Exceeded: c.exceeded.Load(), Unknown: c.unknown.Load(),
		Exchanged: c.exchanged.Load(), Failed: c.failed.Load(),
	}
}
