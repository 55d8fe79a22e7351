package quota

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/primrosemount/primrosemount/core/account"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

const (
	worldStep = 5 * time.Millisecond
	// worldTimeout is the time after which an entry gives an exchange up.
	worldTimeout = 150 * time.Millisecond
	// urgentGap is the least time between exchanges outside the rounds.
	urgentGap = 10 * time.Millisecond
)

var testRules = Rules{Window: DefaultWindow, Overage: DefaultOverage, Slack: DefaultSlack}

// message is a message on its way to a node.
type message struct {
	at      time.Time
	from    int
	to      int
	deliver func(n *fakeNode)
}

// fakeNode is one node process. It is not running if its entry is nil.
type fakeNode struct {
	index           int
	vm              string
	entry           *Entry
	owner           *Owner
	members         []string
	frozenUntil     time.Time
	nextRound, next time.Time
	waiting         []pendingExchange
	breakOwner      func(*Owner)
	// isolated is set while the node reaches neither the store nor nodes that do.
	isolated bool
}

type pendingExchange struct {
	exchange *Exchange
	done     *bool
	deadline time.Time
}

// world runs nodes on a fake clock over a network that may fail.
type world struct {
	now      time.Time
	rng      *rand.Rand
	nodes    []*fakeNode
	accounts []*account.Account
	messages []message
	// cut reports whether a message is lost, and loss is the probability of another loss.
	cut  func(from, to int) bool
	loss float64
	// storeDown is set while the store responds to nobody.
	storeDown bool
	// ran holds the times at which requests of each account ran, and asked counts them.
	ran   map[string][]time.Time
	asked map[string][]time.Time
	later []message
	// exchanges counts messages.
	exchanges int
}

func newWorld(seed uint64, count int, accounts ...account.Account) *world {
	w := &world{
		now: time.Unix(1_700_000_000, 0), rng: rand.New(rand.NewPCG(seed, seed)),
		ran: map[string][]time.Time{}, asked: map[string][]time.Time{},
		cut: func(int, int) bool { return false },
	}
	for i := range accounts {
		w.accounts = append(w.accounts, &accounts[i])
	}
	for range count {
		w.add()
	}
	for _, n := range w.nodes {
		n.members = w.vms()
		w.start(n, true)
	}
	return w
}

func (w *world) add() *fakeNode {
	n := &fakeNode{index: len(w.nodes), vm: "vm-" + strconv.Itoa(len(w.nodes))}
	w.nodes = append(w.nodes, n)
	return n
}

func (w *world) vms() []string {
	var vms []string
	for _, n := range w.nodes {
		vms = append(vms, n.vm)
	}
	return vms
}

// start starts the process of a node with empty state.
func (w *world) start(n *fakeNode, rejoining bool) {
	n.entry, n.owner = NewEntry(testRules, uint64(n.index)), NewOwner(n.vm, uint64(w.now.UnixNano()), w.now, rejoining)
	if n.breakOwner != nil {
		n.breakOwner(n.owner)
	}
	n.frozenUntil, n.waiting = time.Time{}, nil
	n.nextRound = w.now.Add(time.Duration(w.rng.Int64N(int64(Period))))
	w.view(n, n.members)
	if w.reachesStore(n) {
		n.owner.SetAnnounced(w.now)
	}
}

// view gives a node a view of the members and of the accounts.
func (w *world) view(n *fakeNode, members []string) {
	n.members = members
	if n.entry == nil {
		return
	}
	view := NewView(n.vm, members, w.accounts, testRules)
	n.owner.SetView(w.now, view)
	n.entry.SetView(view)
}

func (w *world) reachesStore(n *fakeNode) bool { return !n.isolated && !w.storeDown }

func (n *fakeNode) runs(now time.Time) bool { return n.entry != nil && !now.Before(n.frozenUntil) }

func (w *world) node(vm string) *fakeNode {
	return w.nodes[slices.IndexFunc(w.nodes, func(n *fakeNode) bool { return n.vm == vm })]
}

// after calls a function after a time.
func (w *world) after(d time.Duration, f func()) {
	w.later = append(w.later, message{at: w.now.Add(d), deliver: func(*fakeNode) { f() }})
}

// step advances the clock by one step.
func (w *world) step() {
	w.now = w.now.Add(worldStep)
	due := w.later
	w.later = nil
	for _, m := range due {
		if w.now.Before(m.at) {
			w.later = append(w.later, m)
			continue
		}
		m.deliver(nil)
	}
	w.deliver()
	for _, n := range w.nodes {
		if n.runs(w.now) {
			w.exchange(n)
		}
	}
}

// deliver delivers the messages that are due. A frozen node receives them afterwards, and
// those to a node that does not run are lost.
func (w *world) deliver() {
	due := w.messages
	w.messages = nil
	for _, m := range due {
		n := w.nodes[m.to]
		switch {
		case n.entry == nil:
		case w.now.Before(m.at) || !n.runs(w.now):
			w.messages = append(w.messages, m)
		default:
			m.deliver(n)
		}
	}
}

// exchange gives exchanges up that take too long and starts those that are due.
func (w *world) exchange(n *fakeNode) {
	storeAsOf := time.Time{}
	if w.reachesStore(n) {
		storeAsOf = w.now
		n.owner.SetAnnounced(w.now)
	}
	n.owner.SetContact(n.entry.Contact(), storeAsOf)
	n.entry.SetJoining(n.owner.Joining(w.now))
	n.waiting = slices.DeleteFunc(n.waiting, func(p pendingExchange) bool {
		if !*p.done && w.now.After(p.deadline) {
			*p.done = true
			n.entry.Fail(p.exchange)
		}
		return *p.done
	})
	var exchanges []*Exchange
	switch {
	case !w.now.Before(n.nextRound):
		n.nextRound = w.now.Add(Period)
		exchanges = n.entry.Round(w.now)
	case !w.now.Before(n.next):
		exchanges = n.entry.Urgent(w.now)
		n.next = w.now.Add(urgentGap)
	}
	for _, x := range exchanges {
		w.send(n, x)
	}
}

func (w *world) send(n *fakeNode, x *Exchange) {
	w.exchanges++
	done := new(bool)
	n.waiting = append(n.waiting, pendingExchange{exchange: x, done: done, deadline: w.now.Add(worldTimeout)})
	entry, to := n.entry, w.node(x.Owner).index
	w.post(n.index, to, func(o *fakeNode) {
		response := &pb.QuotaResponse{}
		o.owner.Serve(w.now, x.Request, response)
		w.post(to, n.index, func(n *fakeNode) {
			if !*done && n.entry == entry {
				*done = true
				n.entry.Apply(w.now, x, response)
			}
		})
	})
}

// post sends a message. Messages within a node arrive at once.
func (w *world) post(from, to int, deliver func(*fakeNode)) {
	if from == to {
		deliver(w.nodes[to])
		return
	}
	if w.cut(from, to) || w.rng.Float64() < w.loss {
		return
	}
	w.messages = append(w.messages, message{at: w.now.Add(time.Duration(w.rng.Int64N(int64(2 * worldStep)))), from: from, to: to, deliver: deliver})
}

// request sends a request to a node and reports whether it ran.
func (w *world) request(n *fakeNode, name string) Decision {
	w.asked[name] = append(w.asked[name], w.now)
	d := n.entry.Take(w.now, name)
	if d.Verdict == Admitted {
		w.ran[name] = append(w.ran[name], w.now)
	}
	return d
}

// arrivals draws the number of arrivals in one step at a rate.
func (w *world) arrivals(rate float64) int {
	// Steps are short, so one uniform number decides between few arrivals.
	mean := rate * worldStep.Seconds()
	count := int(mean)
	if w.rng.Float64() < mean-float64(count) {
		count++
	}
	return count
}

// owed returns the requests of an account that ran and those that it was owed, over
// consecutive windows of one length from a time on.
func (w *world) owed(a *account.Account, from time.Time) (ran, owed float64) {
	for start := from; start.Before(w.now); start = start.Add(testRules.Window) {
		within := func(times []time.Time) float64 {
			count := 0
			for _, t := range times {
				if !t.Before(start) && t.Before(start.Add(testRules.Window)) {
					count++
				}
			}
			return float64(count)
		}
		limit := min(within(w.asked[a.Name]), testRules.Owed(a.RatePerSecond, a.Burst))
		owed += limit
		ran += min(within(w.ran[a.Name]), limit)
	}
	return ran, owed
}

// excess returns by how much the requests that ran in any window exceed a bound.
func excess(ran []time.Time, bound func(end time.Time) float64) float64 {
	worst, first := -1e9, 0
	for i, t := range ran {
		for t.Sub(ran[first]) >= testRules.Window {
			first++
		}
		worst = max(worst, float64(i-first+1)-bound(t))
	}
	return worst
}

func accountOf(name string, rate, burst float64) account.Account {
	return account.Account{Name: name, RatePerSecond: rate, Burst: burst}
}
