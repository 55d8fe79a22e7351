package relay

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/primrosemount/primrosemount/core/outcome"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/internal/socket"
	"github.com/primrosemount/primrosemount/wire"
)

const (
	// targetDialTimeout bounds the opening of a connection on the same VM.
	targetDialTimeout = 400 * time.Millisecond
	// targetIdle is how long a connection is kept that names no limit itself.
	targetIdle = 8 * time.Second
	// idleMargin is taken off the idle time that a target names, so that the
	// target does not close a connection that a request is about to use.
	idleMargin = 500 * time.Millisecond
	// freshFor is how long after its last use a connection may carry a request
	// that must not be repeated. Some targets forget connections after 300 ms and
	// reset what is sent on them next; opening one takes about 1 ms.
	freshFor = 250 * time.Millisecond
	// targetBuffer is the size of the read buffer of a connection.
	targetBuffer = 4 << 10
	// expectHeader asks for an interim answer, which the entry has given already.
	expectHeader = "Expect"
	// maxHeadBytes bounds the head that is kept for reuse of its buffer.
	maxHeadBytes = 16 << 10
)

// targetResult is what became of one request to the target.
type targetResult struct {
	outcome outcome.Outcome
	reason  outcome.Reason
	status  int
	headers []*pb.Header
	body    []byte
	// took is the time from the first byte sent to the last byte of the answer.
	took time.Duration
	// sent tells that bytes went to the target.
	sent bool
	// unreachable tells that the target accepts no connections.
	unreachable bool
	// misdirected tells that another target has the address.
	misdirected bool
}

// targetClient sends requests to the target over kept connections. It is safe
// for concurrent use.
type targetClient struct {
	headers HeaderCodec
	bodies  bodyReader
	mu      sync.Mutex
	idle    []*targetConn
	// address of the connections in idle.
	address string
}

func newTargetClient(headers HeaderCodec, maxBytes int64) *targetClient {
	return &targetClient{headers: headers, bodies: bodyReader{maxBytes: maxBytes}}
}

// send sends a request once and reads the whole answer. Nothing is sent after
// the end of the context.
func (c *targetClient) send(ctx context.Context, address, targetID string, request *pb.ForwardRequest, deadline time.Time) targetResult {
	if err := ctx.Err(); err != nil {
		return notSent(ctx, err)
	}
	conn, err := c.connection(ctx, address, request)
	if err != nil {
		return notSent(ctx, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	sent := time.Now()
	result, reusable := c.exchange(ctx, conn, targetID, request, deadline)
	result.took = time.Since(sent)
	if !stop() || !reusable {
		_ = conn.Close()
		return result
	}
	c.keep(address, conn)
	return result
}

// exchange writes the request and reads its answer; it also tells whether the
// connection may carry another request.
func (c *targetClient) exchange(ctx context.Context, conn *targetConn, targetID string, request *pb.ForwardRequest, deadline time.Time) (targetResult, bool) {
	kept := conn.used
	conn.used = true
	conn.head = c.appendHead(conn.head[:0], targetID, request, time.Until(deadline))
	if err := conn.write(request.GetBody()); err != nil {
		return lost(ctx), false
	}
	for range foreignAnswers + 1 {
		answer, err := conn.readAnswer(request.GetMethod())
		if err != nil {
			return lost(ctx), false
		}
		said := c.headers.ReadResponse(answer.StatusCode, answer.Header)
		body, err := c.bodies.read(answer)
		if err != nil {
			return unwhole(ctx, err), false
		}
		switch {
		case said.AttemptID == request.GetAttemptId():
			return classify(answer, said, body), conn.reusable(answer)
		case said.AttemptID == "" && !kept:
			// Nothing else was asked on this connection.
			return classify(answer, said, body), false
		case said.AttemptID == "":
			// It may be an earlier answer, written once more.
			return lost(ctx), false
		}
	}
	return lost(ctx), false
}

func (c *targetConn) write(body []byte) error {
	if len(body) == 0 {
		_, err := c.Write(c.head)
		return err
	}
	buffers := net.Buffers{c.head, body}
	_, err := buffers.WriteTo(c.Conn)
	return err
}

func classify(answer *http.Response, said TargetResponse, body []byte) targetResult {
	result := targetResult{sent: true, status: answer.StatusCode}
	switch {
	case said.Misdirected:
		result.outcome, result.reason, result.misdirected = outcome.NotRun, outcome.TargetDown, true
	case said.NotRun:
		result.outcome, result.reason = outcome.NotRun, outcome.TargetRefused
	case answer.StatusCode < http.StatusMultipleChoices && !said.Sealed:
		// A success that the target does not vouch for is not its answer.
		result.outcome, result.reason = outcome.Unknown, outcome.AnswerTruncated
	default:
		result.outcome = outcome.Completed
		result.headers = passedOn(answer.Header, nil)
		result.body = body
	}
	return result
}

// passedOn returns the headers that concern more than one connection, without
// those that owned names.
func passedOn(header http.Header, owned func(string) bool) []*pb.Header {
	listed := header["Connection"]
	headers := make([]*pb.Header, 0, len(header))
	for name, values := range header {
		if wire.IsHopByHop(name) || name == expectHeader || listedIn(listed, name) || owned != nil && owned(name) {
			continue
		}
		for _, value := range values {
			headers = append(headers, &pb.Header{Name: name, Value: value})
		}
	}
	return headers
}

// listedIn tells whether a Connection header names the field.
func listedIn(connection []string, name string) bool {
	for _, line := range connection {
		for field := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(strings.TrimSpace(field), name) {
				return true
			}
		}
	}
	return false
}

// appendHead appends request line and headers.
func (c *targetClient) appendHead(head []byte, targetID string, request *pb.ForwardRequest, remaining time.Duration) []byte {
	head = append(head, request.GetMethod()...)
	head = append(head, ' ')
	head = append(head, request.GetTarget()...)
	head = append(head, " HTTP/1.1\r\nHost: "...)
	head = append(head, request.GetHost()...)
	head = append(head, "\r\n"...)
	for _, h := range request.GetHeaders() {
		head = append(head, h.GetName()...)
		head = append(head, ": "...)
		head = append(head, h.GetValue()...)
		head = append(head, "\r\n"...)
	}
	head = c.headers.AppendRequest(head, TargetEnvelope{
		AttemptID:     request.GetAttemptId(),
		Remaining:     remaining,
		TargetID:      targetID,
		OriginService: request.GetOriginService(),
	})
	if len(request.GetBody()) > 0 || hasBody(request.GetMethod()) {
		head = append(head, "Content-Length: "...)
		head = strconv.AppendInt(head, int64(len(request.GetBody())), 10)
		head = append(head, "\r\n"...)
	}
	return append(head, "\r\n"...)
}

func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// connection returns a kept connection, or opens one. A request that was sent to
// this target before gets a new one: on a kept connection, the answer of that time
// could come once more and, bearing the same id, be taken for the present one.
func (c *targetClient) connection(ctx context.Context, address string, request *pb.ForwardRequest) (*targetConn, error) {
	if request.GetSameTarget() {
		return c.open(ctx, address)
	}
	for {
		conn := c.take(address, request.GetIdempotent())
		if conn == nil {
			return c.open(ctx, address)
		}
		if conn.alive() {
			return conn, nil
		}
		_ = conn.Close()
	}
}

// take returns the connection that was used last, if it is still good for the
// request, and drops those that were idle for too long.
func (c *targetClient) take(address string, idempotent bool) *targetConn {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire(now, address)
	if len(c.idle) == 0 {
		return nil
	}
	last := c.idle[len(c.idle)-1]
	if !idempotent && now.Sub(last.idleFrom) > freshFor {
		return nil
	}
	c.idle = c.idle[:len(c.idle)-1]
	return last
}

// expire closes connections of an earlier address and those idle for too long;
// the longest idle ones come first.
func (c *targetClient) expire(now time.Time, address string) {
	moved := address != c.address
	c.address = address
	drop := 0
	for drop < len(c.idle) && (moved || now.Sub(c.idle[drop].idleFrom) > c.idle[drop].maxIdle) {
		_ = c.idle[drop].Close()
		drop++
	}
	c.idle = append(c.idle[:0], c.idle[drop:]...)
}

func (c *targetClient) keep(address string, conn *targetConn) {
	conn.idleFrom = time.Now()
	if cap(conn.head) > maxHeadBytes {
		conn.head = nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if address != c.address {
		_ = conn.Close()
		return
	}
	c.idle = append(c.idle, conn)
}

// closeIdle closes all connections that no request uses.
func (c *targetClient) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire(time.Now(), "")
}

func (c *targetClient) open(ctx context.Context, address string) (*targetConn, error) {
	conn, err := socket.Dialer(targetDialTimeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newTargetConn(conn), nil
}

// alive looks for an end of the connection, or bytes that belong to no request,
// without waiting.
func (c *targetConn) alive() bool {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peeked := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(peeked, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// notSent classifies a request for which no connection could be opened.
func notSent(ctx context.Context, err error) targetResult {
	result := targetResult{outcome: outcome.NotRun, reason: outcome.TargetDown}
	if ctx.Err() != nil {
		result.reason = outcome.DeadlineExceeded
		return result
	}
	var timeout net.Error
	result.unreachable = errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &timeout) && timeout.Timeout()
	return result
}

// lost classifies a request that was sent and got no answer.
func lost(ctx context.Context) targetResult {
	result := targetResult{outcome: outcome.Unknown, reason: outcome.AnswerLost, sent: true}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		result.reason = outcome.DeadlineExceeded
	case ctx.Err() != nil:
		result.reason = outcome.Cancelled
	}
	return result
}

// unwhole classifies an answer whose body did not come whole.
func unwhole(ctx context.Context, err error) targetResult {
	result := lost(ctx)
	switch {
	case errors.Is(err, errBodyTooLarge):
		result.reason = outcome.TooLarge
	case ctx.Err() == nil:
		result.reason = outcome.AnswerTruncated
	}
	return result
}
