package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	// contact is the bound of the same name.
	contact = 3 * time.Second
	// downTime is how long the store is down.
	downTime = 2500 * time.Millisecond
	// restartDelay is the time after which a killed process is started again.
	restartDelay = 300 * time.Millisecond
	// lateTime is how late one heartbeat arrives.
	lateTime = 2 * time.Second
	// longStay is how much longer than drainTimeout the backend serves.
	longStay = 8 * time.Second
)

// playForget lets a backend leave while the store is down, and kills all processes right
// after the acknowledgement. The last heartbeat of the backend before the leave arrives late.
// DRAIN is broken if a request reaches it later than drain_timeout after the acknowledgement,
// through machines in touch.
func playForget(r *rig, trouble bool) (bool, error) {
	before, err := startProxy(fmt.Sprintf("%s.249:%d", r.prefix, portStore), r.store.address)
	if err != nil {
		return false, err
	}
	r.storeAddress = before.listener.Addr().String()
	load, err := r.startRota()
	if err != nil {
		return false, err
	}
	leaving := r.vms[1].backend
	leaving.stopBeats()
	if trouble {
		r.rec.line("the store is down")
		before.cut(0)
	}
	down := time.Now()
	time.Sleep(300 * time.Millisecond)
	beat := leaving.newBeat("ready")
	if !trouble {
		leaving.deliver(beat)
	}
	time.Sleep(100 * time.Millisecond)
	acked, err := leaving.leave()
	if err != nil {
		return false, err
	}
	started := acked
	if trouble {
		if started, err = r.killAll(); err != nil {
			return false, err
		}
		time.Sleep(time.Until(beat.sent.Add(lateTime)))
		if status := leaving.deliver(beat); status == 0 {
			return false, fmt.Errorf("the node beside the backend did not answer the late heartbeat")
		}
		time.Sleep(time.Until(down.Add(downTime)))
		before.heal()
		r.rec.line("the store is up")
		started = later(started, time.Now())
	}
	time.Sleep(time.Until(acked.Add(drainTimeout + longStay)))
	lost := leaving.exit()
	load.end()
	from := later(acked.Add(drainTimeout), started.Add(contact))
	late := leaving.runsAfter(from)
	r.rec.line("counted are the requests from %.3f s on", from.Sub(r.rec.start).Seconds())
	r.verdict("DRAIN: %d requests reached the backend later than %v after the acknowledgement, through machines in touch; %d were running when it ended",
		late, drainTimeout, lost)
	if !trouble && len(leaving.allRuns()) == 0 {
		return false, fmt.Errorf("the backend got no request before it left")
	}
	return late > 0, nil
}

// killAll kills the processes of all machines and starts them again. It returns when they
// were started.
func (r *rig) killAll() (time.Time, error) {
	for _, v := range r.vms {
		v.signal(syscall.SIGKILL)
	}
	for _, v := range r.vms {
		<-v.exited
	}
	time.Sleep(restartDelay)
	for _, v := range r.vms {
		if err := v.start(); err != nil {
			return time.Time{}, err
		}
	}
	return time.Now(), nil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
