package relay

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/shutdown"
)

const (
	// gateStopDelay is how long the gate of a stopping node still admits requests
	// from other nodes, so that the capacity of the target is unavailable for a short
	// time only.
	gateStopDelay = 1200 * time.Millisecond
	// stopPublishTimeout limits the wait for the store to accept the last
	// announcement.
	stopPublishTimeout = 300 * time.Millisecond
	// entryStopDelay is how long a stopping node still accepts requests from
	// clients, so that they notice that it is not ready and switch to another node.
	entryStopDelay = 2200 * time.Millisecond
	// stopCloseTimeout limits the wait for the tasks to end. The process exits
	// after it in any case.
	stopCloseTimeout = 200 * time.Millisecond
	// stopPollInterval is the interval at which the progress of the shutdown is
	// checked.
	stopPollInterval = 20 * time.Millisecond
)

// Shutdown stops the node before the grace period ends. The node becomes unready,
// stops admitting requests from other nodes after a delay, and lets running
// requests finish. Shutdown calls closeAnnouncements before the last announcement
// of the node is published. The target's announcements must not be accepted after
// that.
func (r *Relay) Shutdown(closeAnnouncements func()) {
	started := time.Now()
	r.stopping.Store(true)
	r.logger.Info("The node stops.", zap.Int64("running", r.entry.running.Load()))
	schedule := shutdown.NewSchedule(started, time.Duration(r.gracePeriod.Load()))
	time.Sleep(gateStopDelay)
	r.gate.stop()
	time.Sleep(entryStopDelay - gateStopDelay)
	// Clients may still send requests if too few nodes of their zone are ready.
	// Refuse these with a retry delay: a request accepted now might not finish
	// before the process is killed.
	r.entry.stop.Store(&schedule)
	r.awaitIdle(schedule.Cut().Add(-stopPublishTimeout))
	closeAnnouncements()
	// The store may not answer. The wait for it does not add to that for requests.
	announced := make(chan struct{})
	go func() {
		defer close(announced)
		r.members.announceStop(stopPublishTimeout)
	}()
	r.awaitIdle(schedule.Cut())
	ctx, cancel := context.WithDeadline(context.Background(), schedule.Cut())
	defer cancel()
	if err := r.server.Shutdown(ctx); err != nil {
		r.logger.Warn("Requests were cut by the end of the grace period.", zap.Int64("running", r.entry.running.Load()))
	}
	select {
	case <-announced:
	case <-ctx.Done():
	}
	r.closeWithin(stopCloseTimeout)
	r.logger.Info("The node has stopped.", zap.Duration("took", time.Since(started)))
}

// awaitIdle waits until no request is running, but not beyond the given time.
func (r *Relay) awaitIdle(until time.Time) {
	for time.Now().Before(until) && !r.idle() {
		time.Sleep(stopPollInterval)
	}
}

// closeWithin closes the node, but waits for the tasks no longer than wait.
func (r *Relay) closeWithin(wait time.Duration) {
	done := make(chan struct{})
	go func() {
		r.close()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(wait):
		r.logger.Warn("Some tasks have not ended yet; the node stops without them.")
	}
}

// Abort closes the node without waiting for running requests.
func (r *Relay) Abort() { r.close() }

// idle reports whether the node has no running requests, neither at the entry nor at
// the target.
func (r *Relay) idle() bool {
	return r.entry.running.Load() == 0 && r.gate.view.Load().inFlight == 0
}

func (r *Relay) close() { r.closeOnce.Do(r.closeAll) }

func (r *Relay) closeAll() {
	_ = r.server.Close()
	if r.metrics != nil {
		_ = r.metrics.Close()
	}
	_ = r.peerListener.Close()
	r.peers.Close()
	r.cancel()
	r.pool.Close()
	r.targets.closeIdle()
	r.tasks.Wait()
}
