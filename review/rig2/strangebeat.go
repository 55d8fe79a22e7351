package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["strange-beat"] = playStrangeBeat }

const rotaConfig = `{"version":"%08x","resources":[
{"type":"routes","metadata":{"name":"r-entry"},"spec":{"hostname":"club.example","path_prefix":"/entry/","kind":"unsafe","timeout":"5000ms","target_latency":"1500ms","priority":0,"service":"rota","attempts":2}},
{"type":"services","metadata":{"name":"rota"},"spec":{"health_path":"/healthz","max_connections":1228,"protocol":"h1","tls":false}},
{"type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}]}`

const (
	// rotaWork is how long a request takes at a target.
	rotaWork = 120 * time.Millisecond
	// requestPause is the time between two requests of one client.
	requestPause = 50 * time.Millisecond
	// stayTime is how long a leaving target goes on serving after its leaving was
	// acknowledged.
	stayTime = 8 * time.Second
	// otherCount is the number of heartbeats that the other writer has counted.
	otherCount = 4711
)

// startRota starts machines of the service rota with their targets, and waits until they
// have been in touch for long enough.
func startRota(f *fleet, done <-chan struct{}, zones ...string) error {
	f.putConfig(1, rotaConfig)
	for _, zone := range zones {
		m, err := f.addMachine(zone, "rota")
		if err != nil {
			return err
		}
		t, err := m.startTarget("i-"+m.name, rotaWork, func(string) string { return rotaBody })
		if err != nil {
			return err
		}
		go t.beatUntil(done)
		if err := m.awaitReady(); err != nil {
			return err
		}
	}
	time.Sleep(contact + 2*heartbeat)
	return nil
}

// load is loadChecked without a check.
func (f *fleet) load(method, path string) (stop func() map[int]int) {
	return f.loadChecked(method, path, func(answer) {})
}

// loadChecked sends requests from all machines until the returned function is called,
// which returns the answers by status. It calls check with each answer.
func (f *fleet) loadChecked(method, path string, check func(answer)) (stop func() map[int]int) {
	done := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	answers := make(map[int]int)
	for _, m := range f.machines {
		for range 4 {
			clients.Go(func() {
				for {
					select {
					case <-done:
						return
					case <-time.After(requestPause):
					}
					a := m.request(method, path, 5*time.Second, "lawn")
					check(a)
					mu.Lock()
					answers[a.status]++
					mu.Unlock()
				}
			})
		}
	}
	return func() map[int]int {
		close(done)
		clients.Wait()
		return answers
	}
}

// judgeDrain returns the verdict about a target that has ended: whether requests have
// reached it later than drain_timeout after its leaving was acknowledged.
func judgeDrain(t *target, acked time.Time, answers map[int]int) verdict {
	late := t.runsAfter(acked.Add(drainTimeout))
	h := t.machine.fleet.history
	h.printf("answers by status: %v", answers)
	h.printf("%d requests have reached %s later than drain_timeout after the acknowledgement, %d were cut when it ended", len(late), t.id, len(t.cut))
	if len(late) > 0 {
		h.printf("the first was %s, %.3f s after the acknowledgement, the last %s, %.3f s", late[0].id, late[0].at.Sub(acked).Seconds(),
			late[len(late)-1].id, late[len(late)-1].at.Sub(acked).Seconds())
	}
	return verdict{broken: len(late) > 0, text: "DRAIN: requests reach a target later than drain_timeout after its leaving was acknowledged"}
}

// playStrangeBeat lets a target leave, and another writer send a heartbeat without the
// field born.
func playStrangeBeat(f *fleet, trouble bool) (verdict, error) {
	done := make(chan struct{})
	defer close(done)
	if err := startRota(f, done, "hki", "tku", "hki"); err != nil {
		return verdict{}, err
	}
	stop := f.load("POST", "/entry/a")
	time.Sleep(2 * time.Second)
	m := f.machines[1]
	t := m.target
	close(m.stopBeats)
	for !t.beat("draining") {
		time.Sleep(heartbeat)
	}
	acked := time.Now()
	f.history.printf("%s: the leaving of %s is acknowledged", m.name, t.id)
	time.Sleep(time.Second)
	if trouble {
		body := fmt.Sprintf(`{"address":"%s:8301","info":{"service":"rota","version":"v1","zone":"tku","capacity":150},"status":{"state":"ready","sequence":%d,"cold_remaining":"0ms"}}`, m.ip, otherCount)
		f.history.printf("another writer sends a heartbeat without born")
		m.post("/v1/Instances.Heartbeat/"+t.id, body)
	}
	for time.Since(acked) < stayTime {
		t.beat("draining")
		time.Sleep(heartbeat)
	}
	t.leave()
	t.end()
	time.Sleep(500 * time.Millisecond)
	return judgeDrain(t, acked, stop()), nil
}
