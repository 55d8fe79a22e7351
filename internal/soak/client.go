package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/primrosemount/primrosemount/internal/standin/plainplatform"
)

const (
	// connectTimeout bounds the time in which a client opens a connection.
	connectTimeout = time.Second
	// responseSlack is how long after its deadline a client still waits, so that
	// late responses are recorded.
	responseSlack = 1500 * time.Millisecond
	// clientDeadline is the deadline that clients send with their requests.
	clientDeadline = 2 * time.Second
	// clientPause is the mean time from the end of a client's request to its next one.
	clientPause = 40 * time.Millisecond
	// One in abandonedOneIn requests is abandoned by its client before the deadline.
	abandonedOneIn = 25
	// maxAbandonDelay bounds the time after which a client abandons such a request.
	maxAbandonDelay = 60 * time.Millisecond
	// One in newConnectionOneIn requests is sent on a new connection.
	newConnectionOneIn = 5
	// One in aheadOneIn times, a client sends several idempotent requests at once,
	// between minAhead and maxAhead.
	aheadOneIn = 8
	minAhead   = 2
	maxAhead   = 4
	// retryAfterCap bounds the Retry-After time that clients observe.
	retryAfterCap = time.Second
)

// Host names of the routes.
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

func newAttempt(id string, route Route, generation, vm, incarnation int) *Attempt {
	a := &Attempt{ID: id, Route: route, Generation: generation, VM: vm, Incarnation: incarnation, Method: http.MethodGet, Deadline: clientDeadline}
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

// send sends the request over the connection and records the response in the
// attempt. A positive abandonAfter is the time after which the client abandons the
// request. It reports whether the connection may be kept open, and returns the
// Retry-After time of a refusal.
func (a *Attempt) send(c *plainplatform.Connection, abandonAfter time.Duration) (keep bool, retryAfter time.Duration) {
	a.Sent = time.Now()
	limit := a.Deadline + responseSlack
	if abandonAfter > 0 {
		limit = abandonAfter
	}
	_ = c.SetDeadline(a.Sent.Add(limit))
	response, err := c.Exchange(a.request())
	a.record(response)
	a.GaveUp = err != nil && abandonAfter > 0 && a.Ended.Sub(a.Sent) >= abandonAfter
	return response.Reusable, min(response.RetryAfter, retryAfterCap)
}

// request returns the request as it is sent.
func (a *Attempt) request() plainplatform.Request {
	return plainplatform.Request{ID: a.ID, Method: a.Method, Host: a.Route.host(), Target: a.Target, Body: a.Body, Deadline: a.Deadline, Key: a.Key, Tenant: a.ForgedAccount}
}

// record records the response, or its absence.
func (a *Attempt) record(response plainplatform.Response) {
	a.Ended = time.Now()
	a.Status, a.ResponseBody, a.Sealed = response.Status, response.Body, response.Sealed
}

// sendAhead sends the requests at once and records their responses, which arrive in
// the order of the requests. It reports whether the connection may be kept open.
func sendAhead(c *plainplatform.Connection, attempts []*Attempt) (keep bool) {
	now := time.Now()
	requests := make([]plainplatform.Request, 0, len(attempts))
	for _, a := range attempts {
		a.Sent = now
		requests = append(requests, a.request())
	}
	_ = c.SetDeadline(now.Add(clientDeadline + responseSlack))
	keep = c.Send(requests...) == nil
	for i, a := range attempts {
		var response plainplatform.Response
		if keep {
			var err error
			response, err = c.Receive(requests[i])
			keep = err == nil && response.Reusable
		} else {
			a.BehindLast = true
		}
		a.record(response)
	}
	return keep
}

// sendOnce sends the request over a new connection.
func (a *Attempt) sendOnce(address string) error {
	conn, err := plainplatform.Connect(address, connectTimeout)
	if err != nil {
		a.markUnconnected()
		return err
	}
	defer conn.Close()
	a.send(conn, 0)
	return nil
}

// markUnconnected records that no connection could be opened.
func (a *Attempt) markUnconnected() {
	a.Sent, a.Ended, a.Unconnected = time.Now(), time.Now(), true
}

// client sends random requests to one VM.
type client struct {
	vm         *vm
	keys       *keyring
	name       string
	random     *rand.Rand
	history    *History
	connection *plainplatform.Connection
	count      int
}

func (c *client) run(done <-chan struct{}) {
	defer c.disconnect()
	for {
		pause := time.Duration(c.random.ExpFloat64() * float64(clientPause))
		select {
		case <-done:
			return
		case <-time.After(c.sendNext() + pause):
		}
	}
}

// sendNext sends one request, or several at once, and returns the Retry-After time of
// a refusal.
func (c *client) sendNext() time.Duration {
	if c.random.IntN(newConnectionOneIn) == 0 {
		c.disconnect()
	}
	if c.random.IntN(aheadOneIn) == 0 {
		c.sendAhead()
		return 0
	}
	a := c.nextAttempt(Route(c.random.IntN(int(RouteGeneration))))
	abandonAfter := time.Duration(0)
	if c.random.IntN(abandonedOneIn) == 0 {
		abandonAfter = time.Millisecond + time.Duration(c.random.Int64N(int64(maxAbandonDelay)))
	}
	defer c.history.attempt(a)
	if !c.connect(a) {
		return 0
	}
	keep, retryAfter := a.send(c.connection, abandonAfter)
	if !keep {
		c.disconnect()
	}
	return retryAfter
}

// nextAttempt returns a new request of the route.
func (c *client) nextAttempt(route Route) *Attempt {
	c.count++
	a := newAttempt(fmt.Sprintf("%s-%d", c.name, c.count), route, 0, c.vm.index, c.vm.currentIncarnation())
	if c.keys != nil {
		a.Key, a.ForgedAccount = c.keys.draw(c.random), drawForgedAccount(c.random)
	}
	return a
}

// sendAhead sends several idempotent requests at once.
func (c *client) sendAhead() {
	attempts := make([]*Attempt, minAhead+c.random.IntN(maxAhead-minAhead+1))
	for i := range attempts {
		attempts[i] = c.nextAttempt([]Route{RouteView, RoutePrice}[c.random.IntN(2)])
	}
	if !c.connect(attempts[0]) {
		c.history.attempt(attempts[0])
		return
	}
	if !sendAhead(c.connection, attempts) {
		c.disconnect()
	}
	for _, a := range attempts {
		c.history.attempt(a)
	}
}

// connect opens a connection unless one is open, and reports whether one is.
func (c *client) connect(a *Attempt) bool {
	if c.connection != nil {
		return true
	}
	conn, err := plainplatform.Connect(c.vm.clients.address(), connectTimeout)
	if err != nil {
		a.markUnconnected()
		return false
	}
	c.connection = conn
	return true
}

func (c *client) disconnect() {
	if c.connection != nil {
		_ = c.connection.Close()
		c.connection = nil
	}
}

// probe checks periodically which configuration a VM has applied. It requests the
// route of the newest generation and that of the one before.
type probe struct {
	vm      *vm
	fleet   *fleet
	history *History
}

// probeInterval is the time between two probes of a VM.
const probeInterval = 150 * time.Millisecond

func (p *probe) run(done <-chan struct{}) {
	for count := 0; ; count++ {
		select {
		case <-done:
			return
		case <-time.After(probeInterval):
		}
		newest := p.fleet.generation()
		p.send(fmt.Sprintf("probe-%d-%d-a", p.vm.index, count), newest)
		if newest > 1 {
			p.send(fmt.Sprintf("probe-%d-%d-b", p.vm.index, count), newest-1)
		}
	}
}

func (p *probe) send(id string, generation int) {
	a := newAttempt(id, RouteGeneration, generation, p.vm.index, p.vm.currentIncarnation())
	// The attempt records the result, including a failure to connect.
	_ = a.sendOnce(p.vm.clients.address())
	p.history.attempt(a)
}
