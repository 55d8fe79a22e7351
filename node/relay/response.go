package relay

import (
	"bufio"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/primrosemount/primrosemount/core/memory"
	"github.com/primrosemount/primrosemount/core/outcome"
)

// A faulty target may send an unlimited number of bytes in each part of a response.
// Each part has a separate limit, and the connection is closed when a limit is
// exceeded.
const (
	// maxResponseHeadBytes limits the status line and headers of a response,
	// including those of interim responses.
	maxResponseHeadBytes = 64 << 10
	// maxInterimResponses is the number of interim (1xx) responses accepted before
	// the final one.
	maxInterimResponses = 5
	// maxUnrelatedResponses is the number of responses to other requests that are
	// discarded before the connection is closed.
	maxUnrelatedResponses = 2
	// bodyDivisor is the fraction of the memory for all responses, as a divisor, that
	// a single body may use.
	bodyDivisor = 4
	// responseMemoryWait limits the wait for memory for an idempotent response, during
	// which the target may be unable to use its slot. The request may be sent again.
	responseMemoryWait = 500 * time.Millisecond
)

var (
	errHeadTooLarge   = errors.New("relay: the head of the response is too large")
	errTooManyInterim = errors.New("relay: too many interim responses precede the final response")
	errInvalidStatus  = errors.New("relay: a target may not send this status; check the target")
)

// boundedReader reads from a connection until a limit is exhausted.
type boundedReader struct {
	conn      net.Conn
	remaining int64
	// head accounts for the memory of the head that is being read.
	head *memory.Head
}

// beginHead sets the limits for the head of a response.
func (r *boundedReader) beginHead() {
	r.remaining = maxResponseHeadBytes
	r.head.Begin()
}

// endHead removes the limits for the head.
func (r *boundedReader) endHead() {
	r.remaining = math.MaxInt64
	r.head.End()
}

// Read implements io.Reader.
func (r *boundedReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := r.conn.Read(p[:min(int64(len(p)), r.remaining)])
	r.remaining -= int64(n)
	if !r.head.Add(int64(n)) {
		return 0, errHeadTooLarge
	}
	return n, err
}

// targetConn is a connection to the target. At most one request uses it at a time.
type targetConn struct {
	net.Conn
	bound     *boundedReader
	reader    *bufio.Reader
	idleSince time.Time
	maxIdle   time.Duration
	// head is a buffer for request heads.
	head []byte
	// largeHead is set once the head of a response has exceeded the read buffer. The
	// connection is then not used again, because reader has grown by a layer.
	largeHead bool
	// used is set once a request has been sent on the connection.
	used bool
	// open is the count of open connections, which the first Close decrements.
	open   *atomic.Int64
	closed sync.Once
	// ending guards lingers, which is set once the connection waits for the target to end
	// an abandoned request.
	ending  sync.Mutex
	lingers bool
}

// Close implements net.Conn.
func (c *targetConn) Close() error {
	c.closed.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

func newTargetConn(conn net.Conn, budget *memory.Budget, open *atomic.Int64) *targetConn {
	bound := &boundedReader{conn: conn, head: budget.OpenHead(memory.Responses)}
	return &targetConn{Conn: conn, open: open, bound: bound, reader: bufio.NewReaderSize(bound, targetReadBuffer)}
}

var (
	headRequest = &http.Request{Method: http.MethodHead}
	bodyRequest = &http.Request{Method: http.MethodGet}
)

// readResponse reads the head of the next final response and skips interim
// responses.
func (c *targetConn) readResponse(method string) (*http.Response, error) {
	request := bodyRequest
	if method == http.MethodHead {
		request = headRequest
	}
	c.bound.beginHead()
	for range maxInterimResponses + 1 {
		response, err := c.readHead(request)
		if err != nil {
			return nil, err
		}
		switch {
		case outcome.IsFinalStatus(response.StatusCode):
			c.bound.endHead()
			return response, nil
		case !outcome.IsInterimStatus(response.StatusCode):
			return nil, errors.Wrapf(errInvalidStatus, "status %03d", response.StatusCode)
		}
	}
	return nil, errTooManyInterim
}

// reusable reports whether another request may be sent on the connection. Bytes
// after the response belong to no request, so a connection that has any is closed.
func (c *targetConn) reusable(response *http.Response) bool {
	if response.Close || c.largeHead || c.reader.Buffered() > 0 {
		return false
	}
	c.maxIdle = idleTimeout(response.Header.Get("Keep-Alive"))
	return c.maxIdle > 0
}

// idleTimeout returns how long a connection may stay idle according to the
// Keep-Alive header.
func idleTimeout(header string) time.Duration {
	for field := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultTargetIdle
}
