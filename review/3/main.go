// Case 3: a node is killed right after it acknowledged that its backend leaves. Its next
// incarnation takes a heartbeat that arrives late for a new one, and sends requests to the
// backend that has left.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"primrosemount-review/rig"
)

const (
	host = "rota.example"
	work = 150 * time.Millisecond
	// heartbeatDelay is how late the last heartbeat arrives.
	heartbeatDelay = 2500 * time.Millisecond
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 500 * time.Millisecond
	// stays is how long the backend serves after its leaving was acknowledged.
	stays = 12 * time.Second
	// requestGap is the time between the requests of the clients on machine 2.
	requestGap = 20 * time.Millisecond
)

func main() {
	r, err := rig.New(os.Args[1], os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(rig.CantRun)
	}
	first, second := r.AddNode(1, "rota", "hki"), r.AddNode(2, "rota", "hki")
	leaving, err := start(r, []*rig.Node{first, second})
	if err != nil {
		r.End(rig.CantRun, "%v", err)
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	failed := 0
	clients.Go(func() { failed = sendRequests(r, stop) })
	time.Sleep(2 * time.Second)

	// The last heartbeat is on its way when the backend leaves.
	late := leaving.NextHeartbeat()
	go func() {
		time.Sleep(heartbeatDelay)
		leaving.SendHeartbeat(late)
	}()
	if !leaving.Leave() {
		r.End(rig.CantRun, "the leaving was not acknowledged")
	}
	acknowledged := time.Now()
	back := time.Now()
	if r.Trouble {
		first.Kill()
		time.Sleep(restartDelay)
		back = time.Now()
		if err := first.Start(); err != nil {
			r.End(rig.CantRun, "%v", err)
		}
	}
	time.Sleep(time.Until(acknowledged.Add(stays)))
	leaving.Stop()
	r.Record("backend", "the backend of machine 1 has exited")
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()
	judge(r, leaving, acknowledged, back, failed)
}

func start(r *rig.Rig, nodes []*rig.Node) (*rig.Backend, error) {
	err := r.Store.PutConfig(1, rig.Route("r-rota", host, "/slot/", "unsafe", "rota", "800ms", 2), rig.Service("rota"), rig.Limits())
	if err != nil {
		return nil, err
	}
	backend := func(ctx context.Context, a rig.Arrival) (int, []byte) { return rig.Sleep(ctx, work, a.ID) }
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
	leaving, err := r.StartBackend(1, "rota", "hki", backend)
	if err != nil {
		return nil, err
	}
	if _, err := r.StartBackend(2, "rota", "hki", backend); err != nil {
		return nil, err
	}
	time.Sleep(rig.Contact + 2*time.Second)
	return leaving, nil
}

// sendRequests sends requests of clients on machine 2, whose node has no disruption.
// It returns the number of requests that have been answered with a failure which doesn't say
// that they have not run, or not at all.
func sendRequests(r *rig.Rig, stop <-chan struct{}) int {
	var failed atomic.Int64
	var wait sync.WaitGroup
	for n := 0; ; n++ {
		select {
		case <-stop:
			wait.Wait()
			return int(failed.Load())
		case <-time.After(requestGap):
		}
		wait.Go(func() {
			id := fmt.Sprintf("r%d", n)
			answer := r.Send(2, rig.Request{ID: id, Method: http.MethodPost, Host: host, Path: "/slot/" + id, Deadline: 800 * time.Millisecond, Body: []byte("slot")})
			if answer.Status != http.StatusOK && answer.Status != http.StatusServiceUnavailable {
				failed.Add(1)
			}
		})
	}
}

// judge applies DRAIN: no request reaches the backend later than drain_timeout after the
// acknowledgement, from machines in touch. Machine 2 is in touch all the while, and
// machine 1 from contact after its restart.
func judge(r *rig.Rig, leaving *rig.Backend, acknowledged, back time.Time, failed int) {
	from := acknowledged.Add(rig.DrainTimeout)
	if inTouch := back.Add(rig.Contact); inTouch.After(from) {
		from = inTouch
	}
	reached, before := 0, 0
	for _, a := range leaving.Arrivals() {
		if a.At.Before(acknowledged) {
			before++
		}
		if a.At.After(from) {
			reached++
			if reached <= 5 {
				r.Record("DRAIN", "id=%s reached the backend %v after the acknowledgement", a.ID, a.At.Sub(acknowledged).Round(time.Millisecond))
			}
		}
	}
	if before == 0 {
		r.End(rig.CantRun, "the backend served nothing before it left")
	}
	if reached > 0 {
		r.End(rig.Broken, "DRAIN: %d requests reached the backend later than %v after its leaving was acknowledged, from machines in touch; %d requests failed in all (502, 504 or no answer)", reached, rig.DrainTimeout, failed)
	}
	r.End(rig.Held, "no request reached the backend; it had served %d before", before)
}
