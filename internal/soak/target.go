package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/primrosemount/primrosemount/internal/standin/plainplatform"
	"github.com/primrosemount/primrosemount/internal/standin/plaintarget"
)

const (
	// targetWork is how long a request takes; a slow target takes targetSlowWork
	// more.
	targetWork     = 5 * time.Millisecond
	targetSlowWork = 150 * time.Millisecond
	// targetSlots is what targets announce.
	targetSlots = 40
	// faultyShare is one over the share of requests that a faulty target spoils.
	faultyShare = 3
	// callsPerVM is above the number of calls that one target makes.
	callsPerVM = 10_000_000
	// heartbeat is the time between two announcements.
	heartbeat = 300 * time.Millisecond
)

// spoils are the faults of a faulty target.
var spoils = []plaintarget.Fault{
	plaintarget.Refuse, plaintarget.LoseResponse, plaintarget.Truncate, plaintarget.MissingSeal,
	plaintarget.ExtraResponse, plaintarget.Fail, plaintarget.ResetUnframed,
}

// target is the target stand-in of one VM over all its lives.
type target struct {
	vm      *vm
	history *History
	mutex   sync.Mutex
	running *plaintarget.Target
	life    int
	id      string
	born    time.Time
	// sequence of the announcements of this life.
	sequence int
	draining bool
	silent   bool
	slow     bool
	faulty   bool
	// calls numbers the calls of all lives, since a request may run again.
	calls int
}

// start begins a life; sameID keeps the id of the last one.
func (t *target) start(sameID bool) error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.running != nil {
		return nil
	}
	t.life++
	if !sameID || t.id == "" {
		t.id = fmt.Sprintf("t-%d-%d", t.vm.index+1, t.life)
	}
	id := t.id
	started, err := plaintarget.Start(t.vm.targetAddress, plaintarget.Config{
		ID: id, Work: targetWork,
		ResponseTo:     func(run plaintarget.Run) string { return answerOf(run.AttemptID) },
		Fault:          func(run plaintarget.Run) plaintarget.Fault { return t.arrived(id, run) },
		CallDownstream: t.called,
	})
	if err != nil {
		return err
	}
	t.running, t.born, t.sequence, t.draining, t.silent = started, time.Now(), 0, false, false
	return nil
}

// stop ends the life without a word.
func (t *target) stop() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.running != nil {
		t.running.Stop()
		t.running = nil
	}
}

// arrived notes a request and chooses what happens to it.
func (t *target) arrived(id string, run plaintarget.Run) plaintarget.Fault {
	t.mutex.Lock()
	slow, faulty := t.slow, t.faulty
	t.mutex.Unlock()
	fault := plaintarget.None
	if faulty && rand.IntN(faultyShare) == 0 {
		fault = spoils[rand.IntN(len(spoils))]
	}
	t.history.arrival(Arrival{
		ID: run.AttemptID, TargetID: id, VM: t.vm.index, Service: t.vm.service, At: run.At,
		Method: run.Method, Target: run.Target, Body: run.Body, Caller: run.Caller, Deadline: run.Deadline,
		Ran: fault != plaintarget.Refuse,
	})
	if slow {
		time.Sleep(targetSlowWork)
	}
	return fault
}

// called makes the call of a request of the service stock.
func (t *target) called(run plaintarget.Run) error {
	if t.vm.service != serviceStock {
		return nil
	}
	a := newAttempt(fmt.Sprintf("%s.%d", run.AttemptID, t.nextCall()), RoutePrice, 0, t.vm.index, t.vm.lives())
	a.Deadline = run.Deadline
	defer t.history.attempt(a)
	if err := a.sendOnce(t.vm.entryAddress); err != nil {
		return err
	}
	if a.Status != http.StatusOK {
		return errors.New("the call failed")
	}
	return nil
}

func (t *target) nextCall() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.calls++
	return t.vm.index*callsPerVM + t.calls
}

// announceUntil sends announcements until the soak ends.
func (t *target) announceUntil(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(heartbeat):
			t.announce()
		}
	}
}

// announce sends the next announcement; it reports whether it was acknowledged.
func (t *target) announce() bool {
	t.mutex.Lock()
	if t.running == nil || t.silent {
		t.mutex.Unlock()
		return false
	}
	t.sequence++
	announcement := plainplatform.Announcement{
		TargetID: t.id, Address: t.vm.toTarget.address(), Service: t.vm.service, Zone: t.vm.zone,
		Slots: targetSlots, StartTime: t.born, Draining: t.draining, Sequence: t.sequence,
	}
	t.mutex.Unlock()
	return acknowledged(plainplatform.Announce(t.vm.announceAddress, announcement))
}

// acknowledged tells whether the node took a call of the target in.
func acknowledged(status int, err error) bool { return err == nil && status/100 == 2 }

// drain announces that the target leaves, goes on for the time that it has to,
// and begins a new life. abrupt targets say so by leaving at once.
func (t *target) drain(abrupt bool) error {
	t.mutex.Lock()
	id := t.id
	t.draining, t.silent = true, abrupt
	t.mutex.Unlock()
	acked := false
	for try := 0; try < 5 && !acked; try++ {
		acked = abrupt && acknowledged(plainplatform.Leave(t.vm.announceAddress, id)) || !abrupt && t.announce()
		if acked {
			t.history.leaving(Leaving{TargetID: id, Acked: time.Now()})
		}
	}
	time.Sleep(drainTimeout + 2*timeoutSlack)
	t.mutex.Lock()
	t.silent = true
	t.mutex.Unlock()
	// The target ends whether its leaving is acknowledged or not.
	_, _ = plainplatform.Leave(t.vm.announceAddress, id)
	t.stop()
	return t.start(false)
}

func (t *target) set(kind Kind, on bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if kind == TargetSlow {
		t.slow = on
		return
	}
	t.faulty = on
}
