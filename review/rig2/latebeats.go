package main

import (
	"time"
)

func init() { cases["late-beats"] = playLateBeats }

const (
	// lateBeats is the number of heartbeats that are delayed.
	lateBeats = 3
	// secondWork is how long a request takes at the second incarnation.
	secondWork = 400 * time.Millisecond
)

// playLateBeats delays the last heartbeats of a target that crashes and starts again under
// its id, until the new incarnation has left.
func playLateBeats(f *fleet, trouble bool) (verdict, error) {
	done := make(chan struct{})
	defer close(done)
	if err := startRota(f, done, "hki", "tku", "hki"); err != nil {
		return verdict{}, err
	}
	stop := f.load("POST", "/entry/a")
	m := f.machines[1]
	first := m.target
	close(m.stopBeats)
	time.Sleep(heartbeat)
	delayed := make([]string, 0, lateBeats)
	for range lateBeats {
		delayed = append(delayed, first.body("ready"))
		f.history.printf("%s: target %s sends a heartbeat that is delayed", m.name, first.id)
		time.Sleep(heartbeat)
	}
	first.end()
	time.Sleep(500 * time.Millisecond)
	second, err := m.startTarget(first.id, secondWork, func(string) string { return "entered" })
	if err != nil {
		return verdict{}, err
	}
	for range 2 {
		second.beat("ready")
		time.Sleep(heartbeat)
	}
	for !second.leave() {
		time.Sleep(heartbeat)
	}
	acked := time.Now()
	f.history.printf("%s: the leaving of %s is acknowledged", m.name, second.id)
	time.Sleep(500 * time.Millisecond)
	if trouble {
		for _, body := range delayed {
			m.post("/v1/Instances.Heartbeat/"+first.id, body)
		}
	}
	time.Sleep(time.Until(acked.Add(stayTime)))
	second.end()
	time.Sleep(500 * time.Millisecond)
	return judgeDrain(second, acked, stop()), nil
}
