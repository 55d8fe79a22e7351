package fairshare

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/primrosemount/primrosemount/core/leastshare"
	"github.com/primrosemount/primrosemount/core/outcome"
)

const (
	simStep = 50 * time.Millisecond
	// simWarmUp is the time after which results count.
	simWarmUp = 10 * time.Second
	// simReport is the interval at which the owners of quotas report loads.
	simReport = 200 * time.Millisecond
	// simEntries is the number of entry nodes, among which the requests of an account are
	// spread at random.
	simEntries = 16
	// simKnown is how long an entry knows the load of an account after a request.
	simKnown = 2 * time.Second
)

// client is the simulated load of one account.
type client struct {
	name string
	// perSecond is the number of new requests per second, and quota its limit or 0.
	perSecond, quota float64
	// repeats is how often a request that was shed is sent again at once.
	repeats int
	class   outcome.Class
	route   string

	tokens   float64
	arrivals float64
	load     float64
	// seen is the time of the latest request at each entry.
	seen [simEntries]time.Time
	// asked counts new requests, and served those that were served.
	asked, served float64
	// owed is what the account may ask for in the period that counts.
	owed float64
}

// offered returns the requests that are owed to the account: what it asked for within its
// quota.
func (c *client) offered() float64 { return min(c.asked, c.owed) }

// share returns the part of the requests within the quota that was served.
func (c *client) share() float64 { return c.served / c.offered() }

// sim simulates entry nodes in front of one gate of a given capacity. The gate admits the
// lowest levels that fit the capacity, judged by the demand of each level so far.
type sim struct {
	random    *rand.Rand
	now       time.Time
	trackers  []*Tracker
	shares    []*leastshare.Tracker
	clients   []*client
	capacity  float64
	threshold outcome.Level
	demand    [outcome.MaxLevel + 1]float64
}

func newSim(seed uint64, capacity float64, clients ...*client) *sim {
	s := &sim{random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), clients: clients, capacity: capacity, threshold: outcome.MaxLevel}
	for range simEntries {
		s.trackers = append(s.trackers, New())
		s.shares = append(s.shares, leastshare.New())
	}
	return s
}

// run simulates a period and counts the results after simWarmUp.
func (s *sim) run(length time.Duration) {
	start := s.now
	for end := s.now.Add(simWarmUp + length); s.now.Before(end); s.now = s.now.Add(simStep) {
		if s.now.Sub(start) < simWarmUp {
			for _, c := range s.clients {
				c.asked, c.served = 0, 0
				c.owed = math.Inf(1)
				if c.quota > 0 {
					c.owed = c.quota * (length.Seconds() + 1)
				}
			}
		}
		s.report()
		for _, i := range s.random.Perm(len(s.clients)) {
			s.send(s.clients[i])
		}
		s.adjust()
	}
}

// report updates the known loads of the accounts with a quota.
func (s *sim) report() {
	if s.now.UnixNano()%int64(simReport) != 0 {
		return
	}
	for _, c := range s.clients {
		if c.quota > 0 {
			c.load = 0.8*c.load + 0.2*c.arrivals/simReport.Seconds()/c.quota
		}
		c.arrivals = 0
	}
}

// send sends the new requests of one step.
func (s *sim) send(c *client) {
	c.tokens = min(c.tokens+c.quota*simStep.Seconds(), c.quota)
	for range s.poisson(c.perSecond * simStep.Seconds()) {
		c.asked++
		for try := 0; try <= c.repeats; try++ {
			c.arrivals++
			if c.quota > 0 {
				if c.tokens < 1 {
					break
				}
				c.tokens--
			}
			if s.request(c) {
				c.served++
				break
			}
			// A request that was shed has not run, so its token is returned.
			c.tokens++
		}
	}
}

// loadAt returns the load of the account as an entry knows it: a request makes the entry
// ask the owners of the quota, and their responses are used for a while.
func (c *client) loadAt(now time.Time, entry int) Load {
	defer func() { c.seen[entry] = now }()
	age := now.Sub(c.seen[entry])
	return Load{Relative: c.load, Known: c.quota > 0 && age < simKnown}
}

// request reports whether a request is served.
func (s *sim) request(c *client) bool {
	entry := s.random.IntN(simEntries)
	class := c.class
	assured := s.shares[entry].RecordArrival(s.now, c.route, leastshare.Default)
	if assured {
		class = outcome.Assured
	}
	level := outcome.LevelOf(class, s.trackers[entry].Cohort(s.now, c.name, c.loadAt(s.now, entry), s.random.Float64()))
	s.demand[level]++
	served := level <= s.threshold
	result := leastshare.Refused
	if served {
		result = leastshare.Served
	}
	s.shares[entry].RecordResult(s.now, c.route, assured, result)
	return served
}

// adjust moves the threshold to the highest level that the capacity allows.
func (s *sim) adjust() {
	const weight = 0.9
	sum, left := 0.0, s.capacity*simStep.Seconds()/(1-weight)
	s.threshold = outcome.MaxLevel
	for level := range s.demand {
		sum += s.demand[level]
		if sum > left && s.threshold == outcome.MaxLevel {
			s.threshold = max(outcome.Level(level), 1) - 1
		}
		s.demand[level] *= weight
	}
}

func (s *sim) poisson(mean float64) int {
	n, product := 0, s.random.Float64()
	for limit := math.Exp(-mean); product > limit; product *= s.random.Float64() {
		n++
	}
	return n
}

// total returns the part of all requests within quotas that was served.
func total(clients []*client) float64 {
	var offered, served float64
	for _, c := range clients {
		offered, served = offered+c.offered(), served+c.served
	}
	return served / offered
}

// zipf returns accounts whose loads follow a Zipf law with exponent 1.2, and whose quotas
// are 1.6 times their loads if limited is set.
func zipf(n int, perSecond float64, limited bool) []*client {
	const exponent, headroom = 1.2, 1.6
	sum := 0.0
	for i := range n {
		sum += math.Pow(float64(i+1), -exponent)
	}
	clients := make([]*client, 0, n)
	for i := range n {
		c := &client{name: fmt.Sprintf("account-%d", i), class: outcome.Normal, route: "r",
			perSecond: perSecond * math.Pow(float64(i+1), -exponent) / sum}
		if limited {
			c.quota = headroom * c.perSecond
		}
		clients = append(clients, c)
	}
	return clients
}

// equal returns accounts without quotas that have the same load.
func equal(n int, perSecond float64) []*client {
	clients := make([]*client, 0, n)
	for i := range n {
		clients = append(clients, &client{name: fmt.Sprintf("account-%d", i), class: outcome.Normal, route: "r", perSecond: perSecond})
	}
	return clients
}
