package relay

import (
	"bufio"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// A target may send bytes without end in each part of an answer. Each part has a
// bound of its own, after which the connection is closed.
const (
	// answerHeadBytes bounds the head of an answer, interim answers included.
	maxResponseHeadBytes = 64 << 10
	// interimAnswers is the number of interim answers before the final one.
	maxInterimResponses = 5
	// foreignAnswers is the number of answers to other requests that are read
	// over before the connection is given up.
	maxUnrelatedResponses = 2
	// unknownBodyBytes is the first memory for a body without a length, and
	// promisedBodyBytes the most that one with a length gets before it has come.
	initialBodyBytes    = 16 << 10
	maxInitialBodyBytes = 256 << 10
	// answerShare is the part of the memory for all bodies, as a divisor, that one
	// body may take.
	bodyDivisor = 4
)

var (
	errHeadTooLarge   = errors.New("relay: the head of the answer is too large")
	errTooManyInterim = errors.New("relay: too many interim answers precede the answer")
	errBodyTooLarge   = errors.New("relay: the answer is larger than the node buffers")
)

// boundedReader reads from a connection until its bound is used up.
type boundedReader struct {
	conn      net.Conn
	remaining int64
}

// Read implements io.Reader.
func (r *boundedReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := r.conn.Read(p[:min(int64(len(p)), r.remaining)])
	r.remaining -= int64(n)
	return n, err
}

// targetConn is one connection to the target; one request uses it at a time.
type targetConn struct {
	net.Conn
	bound     *boundedReader
	reader    *bufio.Reader
	idleSince time.Time
	maxIdle   time.Duration
	head      []byte
	// used tells that a request was sent on the connection.
	used bool
}

func newTargetConn(conn net.Conn) *targetConn {
	bound := &boundedReader{conn: conn}
	return &targetConn{Conn: conn, bound: bound, reader: bufio.NewReaderSize(bound, targetReadBuffer)}
}

var (
	headRequest = &http.Request{Method: http.MethodHead}
	bodyRequest = &http.Request{Method: http.MethodGet}
)

// readAnswer reads the head of the next final answer.
func (c *targetConn) readResponse(method string) (*http.Response, error) {
	request := bodyRequest
	if method == http.MethodHead {
		request = headRequest
	}
	c.bound.remaining = maxResponseHeadBytes
	for range maxInterimResponses + 1 {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			c.bound.remaining = math.MaxInt64
			return response, nil
		}
	}
	return nil, errTooManyInterim
}

// reusable tells whether another request may follow on the connection. Bytes
// after the answer belong to no request.
func (c *targetConn) reusable(response *http.Response) bool {
	if response.Close || c.reader.Buffered() > 0 {
		return false
	}
	c.maxIdle = idleTimeout(response.Header.Get("Keep-Alive"))
	return c.maxIdle > 0
}

// keptFor returns how long a connection may be idle, from the Keep-Alive header.
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

// bodyReader reads the bodies of answers. All bodies that are read at one time
// share its bound.
type bodyReader struct {
	maxBytes int64
	held     atomic.Int64
}

// read returns the whole body. The body of the answer is not closed, because
// that would read what is left of it; the caller closes the connection instead.
func (r *bodyReader) read(response *http.Response) ([]byte, error) {
	maxSize := r.maxBytes / bodyDivisor
	if response.ContentLength > maxSize {
		return nil, errBodyTooLarge
	}
	if response.ContentLength == 0 {
		return nil, nil
	}
	reserved := initialSize(response.ContentLength)
	if !r.reserve(reserved) {
		return nil, errBodyTooLarge
	}
	defer func() { r.held.Add(-reserved) }()
	body := make([]byte, 0, reserved)
	for {
		n, err := response.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		case int64(len(body)) == response.ContentLength:
			return body, nil
		case len(body) < cap(body):
			continue
		}
		more := min(reserved, maxSize-reserved)
		if more <= 0 || !r.reserve(more) {
			return nil, errBodyTooLarge
		}
		reserved += more
		body = append(make([]byte, 0, reserved), body...)
	}
}

// firstSize returns the first memory for a body; a negative length is not known.
func initialSize(length int64) int64 {
	if length < 0 {
		return initialBodyBytes
	}
	return min(length, maxInitialBodyBytes)
}

// reserve takes memory out of the bound, if there is enough left.
func (r *bodyReader) reserve(size int64) bool {
	if r.held.Add(size) <= r.maxBytes {
		return true
	}
	r.held.Add(-size)
	return false
}
