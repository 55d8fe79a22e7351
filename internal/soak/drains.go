package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/primrosemount/primrosemount/internal/standin/plainplatform"
)

const (
	// drainsStream is the stream of random numbers of PlanDrains.
	drainsStream = 64
	// maxEarlyLeaves is the maximum number of targets that leave before their first
	// announcement arrives.
	maxEarlyLeaves = 4
	// One in forgottenOneIn schedules has a Leave within an outage of the store, right
	// after which all nodes are killed.
	forgottenOneIn = 2
	// outageBeforeLeave and killAfterLeave are the times between its steps. A Leave is
	// acknowledged within half a second while the store is down.
	outageBeforeLeave = 300 * time.Millisecond
	killAfterLeave    = 700 * time.Millisecond
	// lateAnnouncements is the number of announcements of an early leave that are late.
	lateAnnouncements = 2
)

// PlanDrains draws the drains beside late announcements and kills that a seed adds to a
// schedule, and returns both in order.
func PlanDrains(steps []Step, seed uint64, vms int, length time.Duration) []Step {
	r := rand.New(rand.NewPCG(seed, drainsStream))
	// at draws the start of steps that are to end within length.
	at := func(period time.Duration) time.Duration {
		return initialDelay + time.Duration(r.Int64N(max(int64(length-initialDelay-period), 1)))
	}
	for range 1 + r.IntN(maxEarlyLeaves) {
		steps = append(steps, Step{At: at(minFault), Kind: TargetLeavesEarly, VM: r.IntN(vms), For: minFault + time.Duration(r.Int64N(int64(maxFault-minFault)))})
	}
	if r.IntN(forgottenOneIn) == 0 {
		began := at(outageBeforeLeave + killAfterLeave + minFault)
		steps = append(steps,
			Step{At: began, Kind: StoreDown, For: maxFault},
			Step{At: began + outageBeforeLeave, Kind: TargetDrain, VM: r.IntN(vms), For: maxFault},
			Step{At: began + outageBeforeLeave + killAfterLeave, Kind: NodesKilled, For: minFault + time.Duration(r.Int64N(int64(time.Second)))})
	}
	return clip(steps, length)
}

// leaveEarly replaces the target by a new incarnation that leaves at once. Its first
// announcements arrive after the acknowledgement, as late as the given time.
func (t *target) leaveEarly(delay time.Duration) error {
	t.stop()
	if err := t.start(false); err != nil {
		return err
	}
	t.mutex.Lock()
	if t.running == nil {
		t.mutex.Unlock()
		return nil
	}
	var late [lateAnnouncements]plainplatform.Announcement
	for i := range late {
		late[i] = t.nextAnnouncement()
	}
	id, body := t.id, fmt.Sprintf(`{"born":%d}`, t.startTime.UnixMilli())
	t.draining, t.silent = true, true
	t.mutex.Unlock()
	t.repeatDrain(id, func() bool {
		return acknowledged(plainplatform.Post(t.vm.announceAddress, plainplatform.LeavePath+id, body))
	})
	for _, announcement := range late {
		time.Sleep(delay / lateAnnouncements)
		// Whether the node takes a late announcement is not the target's concern.
		_, _ = plainplatform.Announce(t.vm.announceAddress, announcement)
	}
	time.Sleep(drainTimeout + 2*timeoutSlack)
	t.stop()
	return t.start(false)
}

// killAll kills all nodes at once and starts them again after a time.
func (r *run) killAll(down time.Duration) error {
	var kills sync.WaitGroup
	for _, v := range r.fleet.vms {
		kills.Go(v.node.kill)
	}
	kills.Wait()
	time.Sleep(down)
	for _, v := range r.fleet.vms {
		if err := v.node.start(); err != nil {
			return err
		}
	}
	return nil
}
