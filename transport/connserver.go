package transport

import (
	"net/rpc"
	"sync"
	"sync/atomic"

	"github.com/primrosemount/primrosemount/core/memory"
)

// maxWaitingWorkers is the number of goroutines of a connection that may wait to read
// the next request. Others end when they have nothing to do.
const maxWaitingWorkers = 2

// connServer serves the calls of one connection. Its workers take turns: the one whose
// turn it is reads a request, passes the turn on, and runs the request. This differs
// from rpc.Server.ServeCodec, which starts a goroutine for each request: a worker that
// has grown its stack is used again.
type connServer struct {
	rpc   *rpc.Server
	codec rpc.ServerCodec
	// budget accounts for responses that wait to be written. It may be nil.
	budget *memory.Budget
	// turn is held while reading.
	turn sync.Mutex
	// ended is set when no further request can be read. It is guarded by turn.
	ended bool
	// waiting is the number of workers that wait for the turn.
	waiting atomic.Int32
	// writing serializes responses.
	writing sync.Mutex
	workers sync.WaitGroup
}

// serve serves calls until the connection is lost, and waits for the running ones.
func (s *connServer) serve() {
	s.workers.Go(s.work)
	s.workers.Wait()
}

// work serves one request after the other.
func (s *connServer) work() {
	for {
		if s.waiting.Add(1) > maxWaitingWorkers {
			s.waiting.Add(-1)
			return
		}
		s.turn.Lock()
		s.waiting.Add(-1)
		if s.ended {
			s.turn.Unlock()
			return
		}
		// ServeRequest calls the methods of workerCodec. An error either concerns
		// one request, which has been answered with it, or has set ended.
		_ = s.rpc.ServeRequest(workerCodec{s})
	}
}

// passTurn lets another worker read the next request.
func (s *connServer) passTurn() {
	s.turn.Unlock()
	if s.waiting.Load() == 0 {
		s.workers.Go(s.work)
	}
}

// workerCodec is the codec of a worker that holds the turn.
type workerCodec struct{ *connServer }

var _ rpc.ServerCodec = workerCodec{}

// ReadRequestHeader implements rpc.ServerCodec.
func (c workerCodec) ReadRequestHeader(r *rpc.Request) error {
	err := c.codec.ReadRequestHeader(r)
	if err != nil {
		c.ended = true
		c.turn.Unlock()
	}
	return err
}

// ReadRequestBody implements rpc.ServerCodec. The request is complete after it.
func (c workerCodec) ReadRequestBody(body any) error {
	err := c.codec.ReadRequestBody(body)
	c.passTurn()
	return err
}

// WriteResponse implements rpc.ServerCodec.
func (c workerCodec) WriteResponse(r *rpc.Response, body any) error {
	defer holdResponse(c.budget, body)()
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.codec.WriteResponse(r, body)
}

// Close implements rpc.ServerCodec.
func (c workerCodec) Close() error { return c.codec.Close() }
