package httpserver

import (
	"context"
	"math"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"

	"github.com/primrosemount/primrosemount/core/memory"
)

// errHeadTooLarge is returned for a request head above the limit.
var errHeadTooLarge = errors.New("httpserver: the head of the request is too large")

// errNoMemory is returned for a request head for which no memory is left.
var errNoMemory = errors.New("httpserver: no memory is left for the head of the request")

// headLimiter limits the bytes that are read for the head of a request.
type headLimiter struct {
	conn      net.Conn
	remaining int64
	// memory accounts for the head. It is nil if the server has no budget.
	memory *memory.Head
	// err is the latest error of a read. The parser of heads replaces it by its own
	// if the end of the input leaves an incomplete line.
	err error
}

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		l.err = errHeadTooLarge
		return 0, l.err
	}
	n, err := l.conn.Read(p[:min(int64(len(p)), l.remaining)])
	l.remaining -= int64(n)
	if l.memory != nil && !l.memory.Add(int64(n)) {
		n, err = 0, errNoMemory
	}
	l.err = err
	return n, err
}

// begin sets the limits for the head of a request.
func (l *headLimiter) begin(maxBytes int64) {
	l.remaining = maxBytes
	if l.memory != nil {
		l.memory.Begin()
	}
}

// end removes the limits.
func (l *headLimiter) end() {
	l.remaining = math.MaxInt64
	if l.memory != nil {
		l.memory.End()
	}
}

// release ends the use of the memory of the head.
func (l *headLimiter) release() {
	if l.memory != nil {
		l.memory.Release()
	}
}

// readHead reads and checks the head of a request.
func (c *conn) readHead() (*http.Request, error) {
	c.setReadTimeout(c.server.config.HeaderTimeout)
	r, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, err
	}
	c.limit.end()
	// Connections of clients with HTTP/1.0 are not kept.
	r.Close = r.Close || !r.ProtoAtLeast(1, 1)
	return r, checkHead(r)
}

// checkHead checks what http.ReadRequest accepts although it is malformed.
func checkHead(r *http.Request) error {
	if r.ProtoMajor != 1 {
		return errors.Newf("httpserver: unsupported protocol version %s", r.Proto)
	}
	if r.ProtoAtLeast(1, 1) && r.Host == "" {
		return errors.New("httpserver: the request has no Host header")
	}
	if !httpguts.ValidHostHeader(r.Host) {
		return errors.New("httpserver: the Host header is malformed")
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Newf("httpserver: the header name %q is malformed", name)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return errors.Newf("httpserver: the value of the header %q is malformed", name)
			}
		}
	}
	return nil
}

// rejectHead handles a request whose head could not be read. A malformed request
// gets a response in its turn, which ends the connection, since it is not known
// where the next request begins. The client of an incomplete head gets none.
func (c *conn) rejectHead() bool {
	switch {
	case c.limit.err == nil:
		return c.enqueue(&exchange{request: malformedRequest{status: http.StatusBadRequest}}, true)
	case errors.Is(c.limit.err, errHeadTooLarge):
		return c.enqueue(&exchange{request: malformedRequest{status: http.StatusRequestHeaderFieldsTooLarge}}, true)
	case errors.Is(c.limit.err, errNoMemory):
		return c.enqueue(&exchange{request: malformedRequest{status: http.StatusServiceUnavailable}}, true)
	case isTimeout(c.limit.err):
		c.sealAfterTimeout()
	}
	return false
}

// sealAfterTimeout ends the connection after the responses to earlier requests,
// because the client has stopped within a head.
func (c *conn) sealAfterTimeout() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving = false
	c.pipeline.seal()
	if c.pipeline.idle() {
		c.end()
	}
}

// malformedRequest responds to a request whose head is malformed, or which has not been
// read for lack of memory.
type malformedRequest struct{ status int }

// Concurrent implements Request.
func (malformedRequest) Concurrent() bool { return false }

// Respond implements Request.
func (m malformedRequest) Respond(_ context.Context, response *Response) {
	response.Status = m.status
	response.AddHeader("Content-Type", "text/plain; charset=utf-8")
	response.Body = []byte("the request is malformed\n")
	if m.status == http.StatusServiceUnavailable {
		response.AddHeader("Retry-After", "1")
		response.Body = []byte("the server has no memory left for the request; send it again later\n")
	}
}

// Release implements Request.
func (malformedRequest) Release(error) {}
