package socket

import "time"

const (
	// readTimeout is how long a peer that acknowledges probes may read nothing while data
	// waits for it. It exceeds the deadline of every request that the users send, 6 s, so
	// that a client which still waits for its response gets it.
	readTimeout = 10 * time.Second
	// probeInterval bounds the time between two probes of a closed window. The kernel
	// doubles that time after each probe, but does not let it pass the limit.
	probeInterval = time.Second
)

// sendState is the state of the sending direction of a connection.
type sendState struct {
	// ended is set if nothing can be sent any more.
	ended bool
	// inFlight is set if sent data is not acknowledged.
	inFlight bool
	// unsent is set if written data has not been sent.
	unsent bool
	// acknowledged is the number of bytes that have been acknowledged.
	acknowledged uint64
	// sinceAck is the time since the last acknowledgement of data or a probe. It is 0 on
	// systems that do not report it.
	sinceAck time.Duration
	// rto is the retransmission timeout, which is the time until the first probe of a
	// closed window. probes is the number of probes up to the last one that was
	// acknowledged.
	rto    time.Duration
	probes int
}

// pending reports whether the peer has not acknowledged all data.
func (s sendState) pending() bool { return s.inFlight || s.unsent }

// closedWindow reports whether the peer does not accept the data that waits for it. The
// kernel then has nothing in flight and probes the window from time to time.
func (s sendState) closedWindow() bool { return s.unsent && !s.inFlight }

// stall observes how long the window of a peer has been closed, and decides about
// TCP_USER_TIMEOUT. The kernel counts the limit from the first probe of a closed window,
// whether later ones are acknowledged or not.
type stall struct {
	// lastCheck is the time of the last observation, or of the write before the first.
	lastCheck time.Time
	// began is a time not after the first probe, or zero while the window is open.
	began time.Time
	// acknowledged is the number of bytes that had been acknowledged then.
	acknowledged uint64
	// raised is the limit since began.
	raised time.Duration
}

// closed reports whether the window was closed at the last observation.
func (s *stall) closed() bool { return !s.began.IsZero() }

// limit returns the limit for a connection in the given state. While the window is closed,
// the limit ends silenceTimeout after the last acknowledgement, or readTimeout after the
// window was closed. In between it is raised little by little, because the kernel probes
// the window again at the end of the limit that it knows.
func (s *stall) limit(now time.Time, state sendState) time.Duration {
	defer func() { s.lastCheck = now }()
	if !state.closedWindow() {
		s.began = time.Time{}
		return silenceTimeout
	}
	if !s.closed() || s.acknowledged != state.acknowledged {
		s.began = latest(s.lastCheck, now.Add(-state.sinceAck-state.probing()))
		s.acknowledged, s.raised = state.acknowledged, silenceTimeout
	}
	if state.sinceAck > 0 {
		end := now.Add(min(probeInterval, silenceTimeout-state.sinceAck))
		s.raised = min(max(end.Sub(s.began), s.raised), readTimeout)
	}
	return s.raised
}

// probing returns the longest time from the first probe to the last one that was
// acknowledged.
func (s sendState) probing() time.Duration {
	var total time.Duration
	for i := 1; i < s.probes && total < silenceTimeout; i++ {
		total += s.rto << i
	}
	return total
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
