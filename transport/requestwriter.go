package transport

import (
	"net"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/primrosemount/primrosemount/core/memory"
)

// maxQueuedBytes limits the requests that wait for a connection whose peer does not
// read.
const maxQueuedBytes = 4 << 20

// errCongested is returned for a request that does not fit into the queue.
var errCongested = errors.New("transport: the peer does not read and too many requests wait for it; send the request to another node")

// errNoFrameMemory is returned for a large request that is not encoded because the memory
// is used up.
var errNoFrameMemory = errors.New("transport: no memory is left to send the request; send it again later")

// requestWriter owns the writing side of a connection. Its goroutine writes the queued
// requests, all that are waiting at a time with one system call, so that no caller
// waits for a peer that does not read.
type requestWriter struct {
	conn net.Conn
	// budget may be nil.
	budget *memory.Budget
	// wake has an element if requests may be queued.
	wake chan struct{}
	done chan struct{}

	mutex       sync.Mutex
	closed      bool
	queue       []queuedRequest
	queuedBytes int
}

// queuedRequest is an encoded request.
type queuedRequest struct {
	out   *outgoing
	frame *[]byte
	// account holds a large frame; it is nil for others.
	account *memory.Account
}

// frameBuffers holds buffers for encoded requests.
var frameBuffers = sync.Pool{New: func() any { return new([]byte) }}

func (q queuedRequest) release() {
	if q.account != nil {
		q.account.Release()
	}
	if cap(*q.frame) <= maxKeptBytes {
		frameBuffers.Put(q.frame)
	}
}

func newRequestWriter(conn net.Conn, budget *memory.Budget) *requestWriter {
	w := &requestWriter{conn: conn, budget: budget, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// enqueue encodes a request and queues it. If it returns an error, the request will not
// be written.
func (w *requestWriter) enqueue(out *outgoing, header proto.Message) error {
	account, ok := reserveRequest(w.budget, out.message)
	if !ok {
		return errNoFrameMemory
	}
	request := queuedRequest{out: out, frame: frameBuffers.Get().(*[]byte), account: account}
	encoded, err := appendFrame((*request.frame)[:0], header, out.message)
	if err == nil {
		*request.frame = encoded
		err = w.queueRequest(request)
	}
	if err != nil {
		request.release()
	}
	return err
}

// queueRequest queues an encoded request. If it returns an error, the request will not be
// written.
func (w *requestWriter) queueRequest(request queuedRequest) error {
	size := len(*request.frame)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	switch {
	case w.closed:
		return net.ErrClosed
	case w.queuedBytes > 0 && w.queuedBytes+size > maxQueuedBytes:
		return errCongested
	}
	w.queue = append(w.queue, request)
	w.queuedBytes += size
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return nil
}

// run writes requests until the connection is closed.
func (w *requestWriter) run() {
	var batch []queuedRequest
	for {
		select {
		case <-w.done:
			return
		case <-w.wake:
		}
		batch = w.take(batch)
		if err := w.write(batch); err != nil {
			// The connection is closed.
			w.close()
			return
		}
	}
}

// take returns the queued requests. The queue reuses the memory of the last batch.
func (w *requestWriter) take(last []queuedRequest) []queuedRequest {
	clear(last)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	batch := w.queue
	w.queue, w.queuedBytes = last[:0], 0
	return batch
}

// write writes the requests of a batch that have not been abandoned.
func (w *requestWriter) write(batch []queuedRequest) error {
	var first *queuedRequest
	for i := range batch {
		q := &batch[i]
		switch {
		case !q.out.start():
			q.release()
		case first == nil:
			first = q
		default:
			*first.frame = append(*first.frame, *q.frame...)
			q.release()
		}
	}
	if first == nil {
		return nil
	}
	defer first.release()
	return writeFrames(w.conn, *first.frame)
}

// close ends the writer. Requests that have not been written are not sent.
func (w *requestWriter) close() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.closed {
		return
	}
	w.closed = true
	close(w.done)
	for _, q := range w.queue {
		q.release()
	}
	w.queue = nil
}
