package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/primrosemount/primrosemount/internal/standin/plainplatform"
	"github.com/primrosemount/primrosemount/internal/standin/plaintarget"
)

const (
	// targetWork is the service time of a request; a slow target takes
	// targetSlowWork longer.
	targetWork     = 5 * time.Millisecond
	targetSlowWork = 150 * time.Millisecond
	// targetSlots is the number of slots that targets announce.
	targetSlots = 40
	// A faulty target applies a fault to one in faultyOneIn requests.
	faultyOneIn = 3
	// callsPerVM is larger than the number of calls that one target makes, so that
	// call numbers differ between VMs.
	callsPerVM = 10_000_000
	// maxDrainCalls is how often a target repeats a call that is not acknowledged.
	maxDrainCalls = 5
	// announceInterval is the time between two announcements of a target.
	announceInterval = 300 * time.Millisecond
)

// targetFaults lists the faults that a faulty target applies.
var targetFaults = []plaintarget.Fault{
	plaintarget.Refuse, plaintarget.LoseResponse, plaintarget.Truncate, plaintarget.MissingSeal,
	plaintarget.ExtraResponse, plaintarget.Fail, plaintarget.ResetUnframed,
	plaintarget.MalformedHead, plaintarget.UndefinedStatus,
}

// target is the stand-in target of one VM across its incarnations.
type target struct {
	vm          *vm
	history     *History
	mutex       sync.Mutex
	running     *plaintarget.Target
	incarnation int
	id          string
	startTime   time.Time
	// sequence is the number of the last announcement of this incarnation.
	sequence int
	draining bool
	// silent suppresses announcements.
	silent bool
	slow   bool
	faulty bool
	// calls counts the calls of all incarnations, so that call ids stay unique when
	// a request runs again.
	calls int
}

// start starts an incarnation unless one is running; sameID keeps the id of the last
// one.
func (t *target) start(sameID bool) error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.running != nil {
		return nil
	}
	t.incarnation++
	if !sameID || t.id == "" {
		t.id = fmt.Sprintf("t-%d-%d", t.vm.index+1, t.incarnation)
	}
	id := t.id
	started, err := plaintarget.Start(t.vm.targetAddress, plaintarget.Config{
		ID: id, Work: targetWork,
		ResponseTo:     func(run plaintarget.Run) string { return responseBodyFor(run.AttemptID) },
		Fault:          func(run plaintarget.Run) plaintarget.Fault { return t.onRequest(id, run) },
		CallDownstream: t.callPrices,
	})
	if err != nil {
		return err
	}
	t.running, t.startTime, t.sequence, t.draining, t.silent = started, time.Now(), 0, false, false
	return nil
}

// stop stops the target without an announcement.
func (t *target) stop() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.running != nil {
		t.running.Stop()
		t.running = nil
	}
}

// onRequest records a request and returns the fault to apply to it.
func (t *target) onRequest(id string, run plaintarget.Run) plaintarget.Fault {
	t.mutex.Lock()
	slow, faulty := t.slow, t.faulty
	t.mutex.Unlock()
	fault := plaintarget.None
	if faulty && rand.IntN(faultyOneIn) == 0 {
		fault = targetFaults[rand.IntN(len(targetFaults))]
	}
	t.history.arrival(Arrival{
		ID: run.AttemptID, TargetID: id, VM: t.vm.index, Service: t.vm.service, At: run.At,
		Method: run.Method, Target: run.Target, Body: run.Body, Caller: run.Caller, Deadline: run.Deadline,
		Account: strings.Join(run.Header.Values("X-Tenant"), ", "), KeyIn: partWithKey(run), Ran: fault != plaintarget.Refuse,
	})
	if slow {
		time.Sleep(targetSlowWork)
	}
	return fault
}

// callPrices calls the service prices through the node if the target belongs to the
// service stock.
func (t *target) callPrices(run plaintarget.Run) error {
	if t.vm.service != serviceStock {
		return nil
	}
	a := newAttempt(fmt.Sprintf("%s.%d", run.AttemptID, t.nextCall()), RoutePrice, 0, t.vm.index, t.vm.currentIncarnation())
	a.Deadline = run.Deadline
	defer t.history.attempt(a)
	if err := a.sendOnce(t.vm.entryAddress); err != nil {
		return err
	}
	if a.Status != http.StatusOK {
		return errors.New("the call to the service prices failed")
	}
	return nil
}

// nextCall returns the number of the next call, which is unique among all VMs.
func (t *target) nextCall() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.calls++
	return t.vm.index*callsPerVM + t.calls
}

// announceUntil sends announcements until done is closed.
func (t *target) announceUntil(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(announceInterval):
			t.announce()
		}
	}
}

// announce sends the next announcement and reports whether it was acknowledged.
func (t *target) announce() bool {
	t.mutex.Lock()
	if t.running == nil || t.silent {
		t.mutex.Unlock()
		return false
	}
	announcement := t.nextAnnouncement()
	t.mutex.Unlock()
	return acknowledged(plainplatform.Announce(t.vm.announceAddress, announcement))
}

// nextAnnouncement returns the next announcement of the incarnation. The caller holds the
// mutex.
func (t *target) nextAnnouncement() plainplatform.Announcement {
	t.sequence++
	return plainplatform.Announcement{
		TargetID: t.id, Address: t.vm.toTarget.address(), Service: t.vm.service, Zone: t.vm.zone,
		Slots: targetSlots, StartTime: t.startTime, Draining: t.draining, Sequence: t.sequence,
	}
}

// acknowledged reports whether the node accepted a call of the target.
func acknowledged(status int, err error) bool { return err == nil && status/100 == 2 }

// drain announces that the target drains, waits until requests must no longer
// arrive, stops it and starts a new incarnation. If abrupt, the target calls Leave
// at once instead of announcing the draining state first.
func (t *target) drain(abrupt bool) error {
	t.mutex.Lock()
	id := t.id
	t.draining, t.silent = true, abrupt
	t.mutex.Unlock()
	t.repeatDrain(id, func() bool {
		return abrupt && acknowledged(plainplatform.Leave(t.vm.announceAddress, id)) || !abrupt && t.announce()
	})
	time.Sleep(drainTimeout + 2*timeoutSlack)
	t.mutex.Lock()
	t.silent = true
	t.mutex.Unlock()
	// The target stops even if the node does not acknowledge the call.
	_, _ = plainplatform.Leave(t.vm.announceAddress, id)
	t.stop()
	return t.start(false)
}

// repeatDrain makes a call that says that an incarnation drains until it is acknowledged, up
// to maxDrainCalls times, and records the acknowledgement.
func (t *target) repeatDrain(id string, call func() bool) {
	for range maxDrainCalls {
		if call() {
			t.history.drainNotice(DrainNotice{TargetID: id, Acked: time.Now()})
			return
		}
	}
}

// set starts or ends TargetSlow or TargetFaulty.
func (t *target) set(kind Kind, on bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if kind == TargetSlow {
		t.slow = on
		return
	}
	t.faulty = on
}
