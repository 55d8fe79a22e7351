// Case 5: while the machine of a service is without power, requests to it wait for each
// other at one connection attempt, and stay unanswered long past their route's timeout.
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
	host = "dues.example"
	work = 15 * time.Millisecond
	// feeTimeout and ledgerTimeout are the timeouts of the two routes to the service.
	feeTimeout    = 800 * time.Millisecond
	ledgerTimeout = 5 * time.Second
	// feeGap and ledgerGap are the times between two requests of a route.
	feeGap    = 50 * time.Millisecond
	ledgerGap = 30 * time.Millisecond
	// feeDeadline and ledgerDeadline are how long the clients wait.
	feeDeadline    = 2 * time.Second
	ledgerDeadline = 6 * time.Second
	// answerSlack is the time after the timeout within which CONFIG wants an answer.
	answerSlack = 500 * time.Millisecond
	// minUnanswered is the number of requests from which the rule counts.
	minUnanswered = 8
	calm          = 3 * time.Second
	outage        = 12 * time.Second
)

// observed is a request as its client saw it.
type observed struct {
	route  string
	answer rig.Answer
}

func main() {
	r, err := rig.New(os.Args[1], os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(rig.CantRun)
	}
	first, second := r.AddNode(1, "season", "hki"), r.AddNode(2, "dues", "hki")
	backend, err := start(r, []*rig.Node{first, second})
	if err != nil {
		r.End(rig.CantRun, "%v", err)
	}
	var mutex sync.Mutex
	var seen []observed
	stop := make(chan struct{})
	var clients sync.WaitGroup
	send := func(route, method string, deadline, gap time.Duration) {
		clients.Go(func() {
			var wait sync.WaitGroup
			defer wait.Wait()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(gap):
				}
				wait.Go(func() {
					id := fmt.Sprintf("%s%d", route, n)
					answer := r.Send(1, rig.Request{ID: id, Method: method, Host: host, Path: "/" + route + "/" + id, Deadline: deadline})
					mutex.Lock()
					defer mutex.Unlock()
					seen = append(seen, observed{route: route, answer: answer})
				})
			}
		})
	}
	send("fee", http.MethodPost, feeDeadline, feeGap)
	send("ledger", http.MethodGet, ledgerDeadline, ledgerGap)
	time.Sleep(calm)
	cut := time.Now()
	if r.Trouble {
		second.Kill()
		backend.Stop()
		if err := r.Silence(r.PeerAddress(2)); err != nil {
			r.End(rig.CantRun, "%v", err)
		}
	}
	time.Sleep(outage)
	close(stop)
	clients.Wait()
	judge(r, seen, cut)
}

func start(r *rig.Rig, nodes []*rig.Node) (*rig.Backend, error) {
	err := r.Store.PutConfig(1,
		rig.Route("r-fee", host, "/fee/", "unsafe", "dues", "800ms", 2),
		rig.Route("r-ledger", host, "/ledger/", "safe", "dues", "5000ms", 2),
		rig.Service("season"), rig.Service("dues"), rig.Limits())
	if err != nil {
		return nil, err
	}
	serve := func(ctx context.Context, a rig.Arrival) (int, []byte) { return rig.Sleep(ctx, work, a.ID) }
	for _, n := range nodes {
		if err := n.Start(); err != nil {
			return nil, err
		}
	}
	for _, n := range nodes {
		if !n.AwaitReady(10 * time.Second) {
			return nil, fmt.Errorf("the node of machine %d is not ready", n.Machine)
		}
	}
	if _, err := r.StartBackend(1, "season", "hki", serve); err != nil {
		return nil, err
	}
	backend, err := r.StartBackend(2, "dues", "hki", serve)
	time.Sleep(rig.Contact + 2*time.Second)
	return backend, err
}

// judge applies CONFIG: of the requests that are still unanswered at their route's
// timeout, half a second later a quarter or less, or fewer than eight, have no answer.
// Only requests that were sent after the machine was cut off are taken.
func judge(r *rig.Rig, seen []observed, cut time.Time) {
	atTimeout, late, unanswered, served := 0, 0, 0, 0
	for _, o := range seen {
		timeout := ledgerTimeout
		if o.route == "fee" {
			timeout = feeTimeout
		}
		took := o.answer.Ended.Sub(o.answer.Sent)
		if o.answer.Status == http.StatusOK {
			served++
		}
		if o.answer.Sent.Before(cut) || took < timeout {
			continue
		}
		atTimeout++
		if took >= timeout+answerSlack {
			late++
		}
		if o.answer.Err != nil {
			unanswered++
		}
	}
	if served == 0 {
		r.End(rig.CantRun, "nothing was served")
	}
	text := fmt.Sprintf("%d requests were unanswered at their route's timeout, and %d of them still %v later; %d got no answer before their client left", atTimeout, late, answerSlack, unanswered)
	if late >= minUnanswered && 4*late > atTimeout {
		r.End(rig.Broken, "CONFIG: %s", text)
	}
	r.End(rig.Held, "%s", text)
}
