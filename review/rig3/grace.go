package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	graceHost = "orders.example"
	// graceBefore and graceAfter are grace_period in the settings, before and after they
	// change.
	graceBefore = 6 * time.Second
	graceAfter  = 10 * time.Second
	// graceWork is how long a backend works at a request.
	graceWork     = 4500 * time.Millisecond
	graceDeadline = 6 * time.Second
	graceClients  = 12
)

// ended is how one request of playGrace ended.
type ended struct {
	id         string
	sent, done time.Time
	answer     answer
}

// playGrace changes grace_period in the settings of one machine, tells its process by SIGHUP,
// and stops the process some seconds later. LOST is broken if a request that was passed on
// to a backend ends without an answer and is not excused.
func playGrace(r *rig, trouble bool) (bool, error) {
	r.bounds = cddBounds
	for i, service := range []string{"stockview", "orderdesk"} {
		v := r.addVM(fmt.Sprintf("sidecar-dkr-hann-%d", i+1), "dkr-hann", service)
		if err := v.startBackend(fmt.Sprintf("i-%08x", 0x7f3a91c0+i), 257, graceWork); err != nil {
			return false, err
		}
	}
	r.configure(1, []route{{name: "order-book", host: graceHost, prefix: "/order/", kind: "unsafe", service: "orderdesk", attempts: 1, timeout: graceDeadline}},
		[]string{"stockview", "orderdesk"}, nil)
	for _, v := range r.vms {
		if err := v.start(); err != nil {
			return false, err
		}
		v.backend.startBeats()
	}
	if err := r.awaitReady(r.vms, 10*time.Second); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	stopped, grace := r.vms[0], graceBefore
	if trouble {
		grace = graceAfter
		r.bounds = strings.Replace(r.bounds, "grace_period=6s", "grace_period=10s", 1)
		if err := os.WriteFile(filepath.Join(r.dir, stopped.name+".yaml"), []byte(stopped.settings()), 0o600); err != nil {
			return false, err
		}
		r.rec.line("the settings of %s have grace_period=10s now", stopped.name)
		stopped.signal(syscall.SIGHUP)
	}
	time.Sleep(5 * time.Second)
	term := time.Now()
	stopped.signal(syscall.SIGTERM)
	killer := time.AfterFunc(grace, func() {
		if !stopped.hasEnded() {
			stopped.signal(syscall.SIGKILL)
		}
	})
	defer killer.Stop()
	time.Sleep(time.Second)
	results := make(chan ended, graceClients)
	var clients sync.WaitGroup
	for c := range graceClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			e := ended{id: fmt.Sprintf("%016x", c+1), sent: time.Now()}
			e.answer = request(stopped, http.MethodPost, graceHost, "/order/x", e.id, "", "order", graceDeadline)
			e.done = time.Now()
			results <- e
		}()
		time.Sleep(50 * time.Millisecond)
	}
	clients.Wait()
	close(results)
	return r.checkGrace(results, term, grace)
}

// checkGrace counts the requests that are lost by the rule.
func (r *rig) checkGrace(results <-chan ended, term time.Time, grace time.Duration) (bool, error) {
	ran := map[string]bool{}
	for _, started := range r.vms[1].backend.allRuns() {
		ran[started.id] = true
	}
	lost, excused, served := 0, 0, 0
	for e := range results {
		r.rec.line("client: %s sent %.3f s after SIGTERM, ended %.3f s after it: status %d err %v, ran %t", e.id,
			e.sent.Sub(term).Seconds(), e.done.Sub(term).Seconds(), e.answer.status, e.answer.err, ran[e.id])
		switch {
		case e.answer.err == nil && e.answer.status == http.StatusOK:
			served++
		case !ran[e.id] || e.answer.err == nil || e.done.Sub(e.sent) >= graceDeadline:
			// Not passed on, or answered, or the client has given up.
		case e.done.Sub(term) >= grace*5/6 && e.sent.Sub(term) <= 3*time.Second:
			excused++
		default:
			lost++
		}
	}
	r.verdict("LOST: %d requests at which the backend was at work were cut without an answer; %d more are excused, %d were answered", lost, excused, served)
	if lost+excused+served == 0 {
		return false, fmt.Errorf("no request was passed on")
	}
	return lost > 0, nil
}
