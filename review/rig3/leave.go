package main

import (
	"fmt"
	"time"
)

// playLeave lets a backend crash and start again under a new id, and leave soon. Its
// heartbeats arrive late, after the leave was acknowledged. DRAIN is broken if a request
// reaches it later than drain_timeout after the acknowledgement.
func playLeave(r *rig, trouble bool) (bool, error) {
	load, err := r.startRota()
	if err != nil {
		return false, err
	}
	first := r.vms[1].backend
	first.stopBeats()
	first.exit()
	r.rec.line("backend %s crashes", first.id)
	time.Sleep(200 * time.Millisecond)
	if err := first.vm.startBackend("i-0b5e77d1", first.capacity, first.work); err != nil {
		return false, err
	}
	second := first.vm.backend
	var delayed []heartbeat
	for range 2 {
		beat := second.newBeat("ready")
		if !trouble {
			second.deliver(beat)
		}
		delayed = append(delayed, beat)
		time.Sleep(beatPause)
	}
	acked, err := second.leave()
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	if trouble {
		for _, beat := range delayed {
			second.deliver(beat)
		}
	}
	time.Sleep(time.Until(acked.Add(drainTimeout + stayTime)))
	lost := second.exit()
	load.end()
	late := second.runsAfter(acked.Add(drainTimeout))
	r.verdict("DRAIN: %d requests reached the backend later than %v after the acknowledgement; %d were running when it ended", late, drainTimeout, lost)
	if !trouble && len(second.allRuns()) == 0 {
		return false, fmt.Errorf("the backend got no request before it left")
	}
	return late > 0, nil
}
