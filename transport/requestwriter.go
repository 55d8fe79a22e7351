package transport

import (
	"net"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// maxQueuedBytes limits the requests that wait for a connection whose peer does not
// read.
const maxQueuedBytes = 4 << 20

// errCongested is returned for a request that does not fit into the queue.
var errCongested = errors.New("transport: the peer does not read and too many requests wait for it; send the request to another node")

// requestWriter owns the writing side of a connection. Its goroutine writes the queued
// requests, all that are waiting at a time with one system call, so that no caller
// waits for a peer that does not read.
type requestWriter struct {
	conn net.Conn
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
}

// frameBuffers holds buffers for encoded requests.
var frameBuffers = sync.Pool{New: func() any { return new([]byte) }}

func (q queuedRequest) release() {
	if cap(*q.frame) <= maxKeptBytes {
		frameBuffers.Put(q.frame)
	}
}

func newRequestWriter(conn net.Conn) *requestWriter {
	w := &requestWriter{conn: conn, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// enqueue encodes a request and queues it. If it returns an error, the request will not
// be written.
func (w *requestWriter) enqueue(out *outgoing, header proto.Message) error {
	frame := frameBuffers.Get().(*[]byte)
	encoded, err := appendFrame((*frame)[:0], header, out.message)
	if err != nil {
		frameBuffers.Put(frame)
		return err
	}
	*frame = encoded
	w.mutex.Lock()
	defer w.mutex.Unlock()
	switch {
	case w.closed:
		return net.ErrClosed
	case w.queuedBytes > 0 && w.queuedBytes+len(encoded) > maxQueuedBytes:
		return errCongested
	}
	w.queue = append(w.queue, queuedRequest{out: out, frame: frame})
	w.queuedBytes += len(encoded)
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
			// The stream is unusable after a partly written frame.
			w.close()
			_ = w.conn.Close()
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
	var first *[]byte
	for _, q := range batch {
		switch {
		case !q.out.start():
			q.release()
		case first == nil:
			first = q.frame
		default:
			*first = append(*first, *q.frame...)
			q.release()
		}
	}
	if first == nil {
		return nil
	}
	defer queuedRequest{frame: first}.release()
	return writeFrames(w.conn, *first)
}

// close ends the writer. Requests that have not been written are not sent.
func (w *requestWriter) close() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.closed {
		w.closed = true
		close(w.done)
	}
}
