package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/primrosemount/primrosemount/internal/standin/plainplatform"
)

const (
	// connectTimeout bounds the opening of a client's connection.
	connectTimeout = time.Second
	// answerSlack is how long past its deadline a client reads on, so that a late
	// answer is seen.
	answerSlack = 1500 * time.Millisecond
	// clientDeadline is how long clients wait.
	clientDeadline = 2 * time.Second
	// clientPause is the mean time between two requests of one client.
	clientPause = 40 * time.Millisecond
	// giveUpShare is one over the share of requests that clients give up early.
	giveUpShare = 25
	// longestGiveUp is the longest time until a client gives up.
	longestGiveUp = 60 * time.Millisecond
	// freshShare is one over the share of requests on a new connection.
	freshShare = 5
	// retryAfterCap bounds the wait that a refusal asks for.
	retryAfterCap = time.Second
)

// hosts of the routes.
const (
	hostShop  = "shop.example"
	hostPrice = "price.example"
)

func (r Route) host() string {
	if r == RouteView || r == RouteOrder {
		return hostShop
	}
	return hostPrice
}

func (r Route) service() string {
	if r == RouteView || r == RouteOrder {
		return serviceStock
	}
	return servicePrices
}

func newAttempt(id string, route Route, generation, vm, life int) *Attempt {
	a := &Attempt{ID: id, Route: route, Generation: generation, VM: vm, Life: life, Method: http.MethodGet, Deadline: clientDeadline}
	switch route {
	case RouteView:
		a.Target = "/view/" + id + "?x=%2F"
	case RouteOrder:
		a.Method, a.Target, a.Body = http.MethodPost, "/order/"+id, "two sacks for "+id
	case RoutePrice:
		a.Target = "/price/" + id
	case RouteDebit:
		a.Method, a.Target, a.Body = http.MethodPut, "/debit/"+id, "one bill for "+id
	case RouteGeneration:
		a.Target = fmt.Sprintf("/generation-%d/%s", generation, id)
	}
	return a
}

// send sends the request over the connection and reads its answer into the
// attempt. It reports whether the connection may be kept, and how long a refusal
// asks to wait.
func (a *Attempt) send(c *plainplatform.Connection, giveUp time.Duration) (keep bool, retryAfter time.Duration) {
	a.Sent = time.Now()
	limit := a.Deadline + answerSlack
	if giveUp > 0 {
		limit = giveUp
	}
	_ = c.SetDeadline(a.Sent.Add(limit))
	answer, err := c.Exchange(plainplatform.Request{
		ID: a.ID, Method: a.Method, Host: a.Route.host(), Target: a.Target, Body: a.Body, Deadline: a.Deadline,
	})
	a.Ended = time.Now()
	a.Status, a.Answer, a.Sealed = answer.Status, answer.Body, answer.Sealed
	a.GaveUp = err != nil && giveUp > 0 && a.Ended.Sub(a.Sent) >= giveUp
	return answer.Reusable, min(answer.RetryAfter, retryAfterCap)
}

// sendOnce sends the request over a connection of its own.
func (a *Attempt) sendOnce(address string) error {
	conn, err := plainplatform.Connect(address, connectTimeout)
	if err != nil {
		a.unconnected()
		return err
	}
	defer conn.Close()
	a.send(conn, 0)
	return nil
}

// unconnected notes that no connection could be opened.
func (a *Attempt) unconnected() {
	a.Sent, a.Ended, a.Unconnected = time.Now(), time.Now(), true
}

// client sends requests to one VM until the soak ends.
type client struct {
	vm      *vm
	name    string
	random  *rand.Rand
	history *History
	kept    *plainplatform.Connection
	count   int
}

func (c *client) run(done <-chan struct{}) {
	defer c.drop()
	for {
		pause := time.Duration(c.random.ExpFloat64() * float64(clientPause))
		select {
		case <-done:
			return
		case <-time.After(c.next() + pause):
		}
	}
}

// next sends one request and returns how long its answer asks to wait.
func (c *client) next() time.Duration {
	c.count++
	route := Route(c.random.IntN(int(RouteGeneration)))
	a := newAttempt(fmt.Sprintf("%s-%d", c.name, c.count), route, 0, c.vm.index, c.vm.lives())
	giveUp := time.Duration(0)
	if c.random.IntN(giveUpShare) == 0 {
		giveUp = time.Millisecond + time.Duration(c.random.Int64N(int64(longestGiveUp)))
	}
	if c.random.IntN(freshShare) == 0 {
		c.drop()
	}
	defer c.history.attempt(a)
	if !c.open(a) {
		return 0
	}
	keep, retryAfter := a.send(c.kept, giveUp)
	if !keep {
		c.drop()
	}
	return retryAfter
}

// open opens a connection unless one is kept.
func (c *client) open(a *Attempt) bool {
	if c.kept != nil {
		return true
	}
	conn, err := plainplatform.Connect(c.vm.clients.address(), connectTimeout)
	if err != nil {
		a.unconnected()
		return false
	}
	c.kept = conn
	return true
}

func (c *client) drop() {
	if c.kept != nil {
		_ = c.kept.Close()
		c.kept = nil
	}
}

// probe asks one VM again and again which configuration is in force.
type probe struct {
	vm      *vm
	fleet   *fleet
	history *History
}

// probeEvery is the time between two probes of a VM.
const probeEvery = 150 * time.Millisecond

func (p *probe) run(done <-chan struct{}) {
	for count := 0; ; count++ {
		select {
		case <-done:
			return
		case <-time.After(probeEvery):
		}
		newest := p.fleet.generation()
		p.ask(fmt.Sprintf("probe-%d-%d-a", p.vm.index, count), newest)
		if newest > 1 {
			p.ask(fmt.Sprintf("probe-%d-%d-b", p.vm.index, count), newest-1)
		}
	}
}

func (p *probe) ask(id string, generation int) {
	a := newAttempt(id, RouteGeneration, generation, p.vm.index, p.vm.lives())
	// The attempt holds what happened, a failed connection included.
	_ = a.sendOnce(p.vm.clients.address())
	p.history.attempt(a)
}
