package httpserver

// Limits on the requests of one connection that have been received and not yet
// answered.
const (
	// maxPending is the number of requests whose responses have not been written.
	// Further requests remain unread.
	maxPending = 64
	// maxRunning is the number of requests that run at the same time.
	maxRunning = 8
	// maxHeldBytes is the size of complete responses that wait for an earlier one
	// or for the client to read, above which no further request is started.
	maxHeldBytes = 256 << 10
)

// state is the progress of an exchange.
type state uint8

const (
	// received: the request has been read and has not been started.
	received state = iota
	running
	// completed: the response can be written.
	completed
)

// exchange is a request of a connection and its response.
type exchange struct {
	request  Request
	response Response
	state    state
	// concurrent is set if the request may run while earlier requests run.
	concurrent bool
	released   bool
}

// release releases the request unless that has been done.
func (e *exchange) release(writeErr error) {
	if !e.released {
		e.released = true
		e.request.Release(writeErr)
	}
}

func releaseAll(exchanges []*exchange) {
	for _, e := range exchanges {
		e.release(nil)
	}
}

// pipeline decides in which order the requests of one connection run, when their
// responses are written, and which response ends the connection. It performs no I/O
// and is not safe for concurrent use.
//
// Responses are written in the order of the requests. A request may run ahead of
// that order only if it and all pending requests before it are idempotent. No
// request is started behind the response that ends the connection, because the
// client sends such requests again on another connection.
type pipeline struct {
	pending []*exchange
	running int
	// heldBytes is the size of the completed responses that are pending.
	heldBytes int
	// sealed is set if no further request is accepted.
	sealed bool
	// closing is set if, in addition, no pending request is started.
	closing bool
}

// add appends a request and reports whether it is accepted.
func (p *pipeline) add(e *exchange) bool {
	if p.sealed {
		return false
	}
	p.pending = append(p.pending, e)
	return true
}

// full reports whether the next request should remain unread.
func (p *pipeline) full() bool { return len(p.pending) >= maxPending }

// seal makes the response to the last pending request the last one.
func (p *pipeline) seal() { p.sealed = true }

// close makes the response to the last request that has been started the last one.
// It returns the requests that are removed because they will not run.
func (p *pipeline) close() []*exchange {
	p.sealed, p.closing = true, true
	return p.removeReceived()
}

// removeReceived removes the requests that have not been started. No started
// request is behind them.
func (p *pipeline) removeReceived() []*exchange {
	for i, e := range p.pending {
		if e.state == received {
			removed := p.pending[i:]
			p.pending = p.pending[:i:i]
			return removed
		}
	}
	return nil
}

// start returns the next request to run, or nil if none may run now.
func (p *pipeline) start() *exchange {
	if p.closing || p.running >= maxRunning || p.heldBytes > maxHeldBytes {
		return nil
	}
	for i, e := range p.pending {
		if e.state == received && (i == 0 || e.concurrent) {
			e.state = running
			p.running++
			return e
		}
		if e.state == received || !e.concurrent {
			return nil
		}
	}
	return nil
}

// complete records that the response to a running request can be written. If the
// response ends the connection, complete returns the requests that will not run.
func (p *pipeline) complete(e *exchange) []*exchange {
	e.state = completed
	p.running--
	p.heldBytes += len(e.response.Body)
	if e.response.Close {
		return p.close()
	}
	return nil
}

// next returns the response that is to be written next, or nil if it is not
// complete, and whether it is the last one of the connection.
func (p *pipeline) next() (e *exchange, last bool) {
	if len(p.pending) == 0 || p.pending[0].state != completed {
		return nil, false
	}
	return p.pending[0], p.sealed && len(p.pending) == 1
}

// written removes the response that next has returned.
func (p *pipeline) written() {
	p.heldBytes -= len(p.pending[0].response.Body)
	p.pending[0] = nil
	p.pending = p.pending[1:]
}

// completedRequests returns the pending requests whose responses are complete.
func (p *pipeline) completedRequests() []*exchange {
	var found []*exchange
	for _, e := range p.pending {
		if e.state == completed {
			found = append(found, e)
		}
	}
	return found
}

// idle reports whether no request is pending.
func (p *pipeline) idle() bool { return len(p.pending) == 0 }
