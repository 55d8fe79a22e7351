// Case 1: a node that gets SIGTERM takes calls of its backend until the end of the grace
// period, passes them on and cuts them without an answer.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"primrosemount-review/rig"
)

const (
	orders  = "orders.example"
	ledgers = "ledgers.example"
	// callWork is the work of one call, and calls is how many a request makes one after
	// the other.
	callWork = 500 * time.Millisecond
	calls    = 10
	deadline = 6 * time.Second
	// parents is the number of requests, and parentGap the time between them.
	parents   = 4
	parentGap = 130 * time.Millisecond
	// sentLate is the time after SIGTERM from which RULES.md excuses no request that
	// is cut while its backend works.
	sentLate = 3 * time.Second
)

// call is one call that the backend of machine 1 made through its node.
type call struct {
	id     string
	answer rig.Answer
}

func main() {
	r, err := rig.New(os.Args[1], os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(rig.CantRun)
	}
	var mutex sync.Mutex
	var made []call
	// The backend on machine 1 makes calls one after the other, as an order does that
	// books its lines in the ledger.
	order := func(ctx context.Context, a rig.Arrival) (int, []byte) {
		end := time.Now().Add(a.Remaining)
		for i := 1; i <= calls; i++ {
			left := time.Until(end)
			if left <= callWork || ctx.Err() != nil {
				return http.StatusGatewayTimeout, []byte("deadline")
			}
			id := fmt.Sprintf("%s.%d", a.ID, i)
			answer := r.Send(1, rig.Request{ID: id, Method: http.MethodPost, Host: ledgers, Path: "/line/" + id, Deadline: left, Body: []byte("line")})
			mutex.Lock()
			made = append(made, call{id: id, answer: answer})
			mutex.Unlock()
			if answer.Status != http.StatusOK {
				return http.StatusInternalServerError, []byte("a call failed")
			}
		}
		return http.StatusOK, []byte("ordered " + a.ID)
	}
	line := func(ctx context.Context, a rig.Arrival) (int, []byte) { return rig.Sleep(ctx, callWork, a.ID) }
	first, second := r.AddNode(1, "orderdesk", "hki"), r.AddNode(2, "ledger", "hki")
	if err := start(r, []*rig.Node{first, second}, order, line); err != nil {
		r.End(rig.CantRun, "%v", err)
	}
	// The client on machine 2 sends its requests about the moment of the SIGTERM, while
	// machine 1 still takes work for its backend.
	var requests sync.WaitGroup
	stopped := time.Now()
	if r.Trouble {
		requests.Go(first.Stop)
	}
	time.Sleep(500 * time.Millisecond)
	for i := range parents {
		id := fmt.Sprintf("p%d", i)
		requests.Go(func() {
			r.Send(2, rig.Request{ID: id, Method: http.MethodPost, Host: orders, Path: "/order/" + id, Deadline: deadline, Body: []byte("order")})
		})
		time.Sleep(parentGap)
	}
	requests.Wait()
	judge(r, made, stopped)
}

func start(r *rig.Rig, nodes []*rig.Node, order, line func(context.Context, rig.Arrival) (int, []byte)) error {
	err := r.Store.PutConfig(1,
		rig.Route("r-orders", orders, "/order/", "unsafe", "orderdesk", "6000ms", 2),
		rig.Route("r-ledger", ledgers, "/line/", "unsafe", "ledger", "2500ms", 2),
		rig.Service("orderdesk"), rig.Service("ledger"), rig.Limits())
	if err != nil {
		return err
	}
	if _, err := r.StartBackend(1, "orderdesk", "hki", order); err != nil {
		return err
	}
	if _, err := r.StartBackend(2, "ledger", "hki", line); err != nil {
		return err
	}
	for _, n := range nodes {
		if err := n.Start(); err != nil {
			return err
		}
	}
	for _, n := range nodes {
		if !n.AwaitReady(10 * time.Second) {
			return fmt.Errorf("the node of machine %d is not ready", n.Machine)
		}
	}
	// The nodes learn of each other, and a calm time of more than contact passes.
	time.Sleep(rig.Contact + 2*time.Second)
	warm := r.Send(2, rig.Request{ID: "warm", Method: http.MethodPost, Host: orders, Path: "/order/warm", Deadline: deadline, Body: []byte("order")})
	if warm.Status != http.StatusOK {
		return fmt.Errorf("the deployment does not serve: status %d, %v", warm.Status, warm.Err)
	}
	time.Sleep(time.Second)
	return nil
}

// judge applies LOST: a request that was read whole and passed on to a backend is cut
// without a complete answer after SIGTERM. A request that was sent no later than 3 s
// after SIGTERM is excused, and one whose time is over.
func judge(r *rig.Rig, made []call, stopped time.Time) {
	if !r.Trouble {
		for _, c := range made {
			if c.answer.Status != http.StatusOK {
				r.End(rig.Broken, "call %s failed without a disruption", c.id)
			}
		}
		r.End(rig.Held, "all %d calls were answered", len(made))
	}
	lost, late := 0, 0
	for _, c := range made {
		after := c.answer.Sent.Sub(stopped)
		if after <= sentLate {
			continue
		}
		late++
		if c.answer.Err != nil && c.answer.Ended.Sub(c.answer.Sent) < 2*time.Second {
			lost++
			r.Record("LOST", "call %s, sent %v after SIGTERM, ended without an answer after %v", c.id,
				after.Round(time.Millisecond), c.answer.Ended.Sub(c.answer.Sent).Round(time.Millisecond))
		}
	}
	if late == 0 {
		r.End(rig.CantRun, "no call was sent later than %v after SIGTERM", sentLate)
	}
	if lost > 0 {
		r.End(rig.Broken, "LOST: %d of %d calls sent later than %v after SIGTERM were taken and cut without an answer", lost, late, sentLate)
	}
	r.End(rig.Held, "all %d calls sent later than %v after SIGTERM were answered", late, sentLate)
}
