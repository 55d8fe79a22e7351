package httpserver

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/memory"
	"github.com/primrosemount/primrosemount/internal/socket"
)

const (
	// readBufferBytes is the size of the read buffer of a connection.
	readBufferBytes = 4 << 10
	// copiedBodyBytes is the size up to which a body is copied behind its head, so
	// that both are written with one system call and without a vector.
	copiedBodyBytes = 8 << 10
	// writePieceBytes and writeStallTimeout are the least rate at which a client has to
	// read a large response.
	writePieceBytes   = 256 << 10
	writeStallTimeout = 10 * time.Second
)

// conn is one connection of a client.
type conn struct {
	net.Conn
	server *Server
	limit  *headLimiter
	reader *bufio.Reader
	// ctx ends when the client disconnects or the connection is aborted.
	ctx    context.Context
	cancel context.CancelFunc
	// work passes requests to goroutines that wait for one.
	work chan *exchange

	mu       sync.Mutex
	pipeline pipeline
	// waiting is the number of goroutines that wait for work.
	waiting int
	// receiving is set from the first byte of a request until it is pending.
	receiving bool
	// writing is set while a goroutine writes a response.
	writing bool
	// stopping is set if the request that is being read is the last one.
	stopping bool
	// ended is set when no further response will be written.
	ended bool
	// progress is signaled when a response has been written and when ended is set.
	progress sync.Cond
	// head is the buffer for the heads of responses. The goroutine that has set
	// writing uses it.
	head []byte
}

func newConn(s *Server, netConn net.Conn) *conn {
	limit := &headLimiter{conn: netConn}
	if s.config.Memory != nil {
		limit.memory = s.config.Memory.OpenHead(memory.Requests)
	}
	c := &conn{Conn: netConn, server: s, limit: limit, reader: bufio.NewReaderSize(limit, readBufferBytes), work: make(chan *exchange, maxPending)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.progress.L = &c.mu
	return c
}

// serve reads requests until the connection ends.
func (c *conn) serve() {
	defer c.server.remove(c)
	defer close(c.work)
	defer c.abort()
	defer func() {
		if cause := recover(); cause != nil {
			c.logPanic(cause)
		}
	}()
	for c.receive() {
	}
	c.discard()
	c.logLoss()
}

// logPanic logs a panic of a handler.
func (c *conn) logPanic(cause any) {
	c.server.config.Logger.Error("A request failed unexpectedly; report this to the developers.",
		zap.Any("cause", cause), zap.ByteString("stack", debug.Stack()))
}

// receive reads the next request and reports whether another one may follow.
func (c *conn) receive() bool {
	if !c.awaitRequest() {
		return false
	}
	defer c.limit.release()
	r, err := c.readHead()
	if err != nil {
		return c.rejectHead()
	}
	body := c.trackBody(r)
	request := c.server.config.Handler.Receive(r)
	e := &exchange{request: request, concurrent: request.Concurrent()}
	e.response.omitBody = r.Method == http.MethodHead
	return c.enqueue(e, r.Close || !body.finish())
}

// awaitRequest waits for the first byte of a request. It returns false if none will
// be read.
func (c *conn) awaitRequest() bool {
	if !c.awaitRoom() {
		return false
	}
	c.limit.begin(c.server.config.MaxHeaderBytes)
	for {
		c.setReadTimeout(c.server.config.IdleTimeout)
		_, err := c.reader.Peek(1)
		if err == nil {
			break
		}
		if !isTimeout(err) || !c.busy() {
			return false
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving = !c.ended
	return c.receiving
}

// setReadTimeout limits the time to read, unless the connection has ended, which
// sets its own limit.
func (c *conn) setReadTimeout(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended {
		_ = c.SetReadDeadline(time.Now().Add(timeout))
	}
}

// awaitRoom waits until fewer than maxPending requests are pending. It returns false
// if the connection has ended.
func (c *conn) awaitRoom() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.pipeline.full() && !c.ended {
		c.progress.Wait()
	}
	return !c.ended
}

// busy reports whether the connection is in use: requests are pending, or the client has
// not received all responses yet.
func (c *conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.ended && (!c.pipeline.idle() || c.undelivered())
}

// enqueue makes a request pending and starts it if it may run. final is set if no
// further request follows. It reports whether another request may be read.
func (c *conn) enqueue(e *exchange, final bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving = false
	final = final || c.stopping
	if c.ended || !c.pipeline.add(e) {
		e.release(nil)
		return false
	}
	if final {
		c.pipeline.seal()
	}
	c.startRequests()
	return !final
}

// startRequests starts the requests that may run now. The caller holds the mutex.
func (c *conn) startRequests() {
	for e := c.pipeline.start(); e != nil; e = c.pipeline.start() {
		if c.waiting == 0 {
			go c.runRequests(e)
			continue
		}
		c.waiting--
		c.work <- e
	}
}

// runRequests runs a request and then those that are passed to it until the
// connection is closed. Reusing the goroutine saves growing its stack again.
func (c *conn) runRequests(e *exchange) {
	for ok := true; ok; e, ok = <-c.work {
		c.respond(e)
		c.complete(e)
	}
}

// respond runs a request. If the handler panics, the client gets a response that
// does not say whether the request has run.
func (c *conn) respond(e *exchange) {
	defer func() {
		if cause := recover(); cause != nil {
			c.logPanic(cause)
			e.response = Response{Status: http.StatusInternalServerError, Close: true, omitBody: e.response.omitBody}
		}
	}()
	e.request.Respond(c.ctx, &e.response)
}

// complete records a complete response, and writes the responses whose turn it is
// unless another goroutine does.
func (c *conn) complete(e *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer func() { c.waiting++ }()
	releaseAll(c.pipeline.complete(e))
	if c.ended {
		e.release(nil)
		return
	}
	if c.writing {
		return
	}
	for next, last := c.pipeline.next(); next != nil; next, last = c.pipeline.next() {
		if !c.writeNext(next, last) {
			return
		}
		c.startRequests()
	}
}

// writeNext writes the next response. The caller holds the mutex, which writeNext
// releases meanwhile. It reports whether another response may be written.
func (c *conn) writeNext(next *exchange, last bool) bool {
	c.writing = true
	c.mu.Unlock()
	err := c.write(&next.response, last)
	c.mu.Lock()
	c.writing = false
	next.release(err)
	if err != nil || c.ended {
		c.abortLocked()
		return false
	}
	next.response.release()
	c.pipeline.written()
	c.progress.Broadcast()
	if c.pipeline.idle() && c.pipeline.sealed {
		c.end()
		return false
	}
	return true
}

// write writes a response.
func (c *conn) write(r *Response, last bool) error {
	_ = c.SetWriteDeadline(time.Now().Add(c.server.config.WriteTimeout))
	c.head = r.appendHead(c.head[:0], last)
	body := r.body()
	if len(body) <= copiedBodyBytes {
		c.head = append(c.head, body...)
		_, err := c.Write(c.head)
		return err
	}
	return c.writeLarge(body)
}

// writeLarge writes the head and a body in pieces. A client that does not read even one
// piece within writeStallTimeout is disconnected, because its response occupies memory.
func (c *conn) writeLarge(body []byte) error {
	end := time.Now().Add(c.server.config.WriteTimeout)
	head := c.head
	for len(body) > 0 {
		piece := body[:min(len(body), writePieceBytes)]
		body = body[len(piece):]
		_ = c.SetWriteDeadline(earlier(end, time.Now().Add(writeStallTimeout)))
		if err := socket.WriteBuffers(c.Conn, net.Buffers{head, piece}); err != nil {
			return err
		}
		head = nil
	}
	return nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// shutdown ends the connection after the requests that have been started, or after
// the one that is being read if there is none.
func (c *conn) shutdown() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = true
	if c.receiving && c.pipeline.idle() {
		return
	}
	releaseAll(c.pipeline.close())
	if c.pipeline.idle() {
		c.end()
	}
}

// abort closes the connection and cancels its requests.
func (c *conn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abortLocked()
}

// abortLocked is abort for a caller that holds the mutex.
func (c *conn) abortLocked() {
	c.ended = true
	c.cancel()
	releaseAll(c.pipeline.close())
	releaseAll(c.pipeline.completedRequests())
	c.progress.Broadcast()
	_ = c.Conn.Close()
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
