package main

import (
	"fmt"
	"time"
)

// lateBeats is the number of heartbeats that arrive late.
const lateBeats = 3

// playLate lets a backend crash and start again under its id, and leave. Heartbeats that the
// first incarnation has sent arrive only then. DRAIN is broken if a request reaches the
// backend later than drain_timeout after the acknowledgement.
func playLate(r *rig, trouble bool) (bool, error) {
	load, err := r.startRota()
	if err != nil {
		return false, err
	}
	first := r.vms[1].backend
	first.stopBeats()
	var delayed []heartbeat
	for range lateBeats {
		time.Sleep(beatPause)
		beat := first.newBeat("ready")
		if !trouble {
			first.deliver(beat)
		}
		delayed = append(delayed, beat)
	}
	first.exit()
	r.rec.line("backend %s crashes", first.id)
	time.Sleep(200 * time.Millisecond)
	if err := first.vm.startBackend(first.id, first.capacity, first.work); err != nil {
		return false, err
	}
	second := first.vm.backend
	second.beat("ready")
	time.Sleep(beatPause)
	second.beat("ready")
	time.Sleep(300 * time.Millisecond)
	before := len(second.allRuns())
	acked, err := second.leave()
	if err != nil {
		return false, err
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		for _, beat := range delayed {
			first.deliver(beat)
		}
	}
	time.Sleep(time.Until(acked.Add(drainTimeout + stayTime)))
	lost := second.exit()
	load.end()
	late := second.runsAfter(acked.Add(drainTimeout))
	r.verdict("DRAIN: the backend ran %d requests before it left; %d requests reached it later than %v after the acknowledgement; %d were running when it ended",
		before, late, drainTimeout, lost)
	if before == 0 {
		return false, fmt.Errorf("the backend got no request before it left")
	}
	return late > 0, nil
}
