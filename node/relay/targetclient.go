package relay

import (
	"context"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/primrosemount/primrosemount/core/memory"
	"github.com/primrosemount/primrosemount/core/outcome"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/internal/responsehead"
	"github.com/primrosemount/primrosemount/internal/socket"
)

const (
	// targetDialTimeout limits the time to open a connection on the same VM.
	targetDialTimeout = 400 * time.Millisecond
	// defaultTargetIdle is how long an idle connection is kept if the target does
	// not state a limit.
	defaultTargetIdle = 8 * time.Second
	// idleMargin is subtracted from the idle timeout that a target states, so that
	// the target does not close a connection that a request is about to use.
	idleMargin = 500 * time.Millisecond
	// maxNonIdempotentIdle is the maximum idle time of a connection that is reused
	// for a non-idempotent request. Some targets drop idle connections after 300 ms
	// without closing them and reset them when data arrives. Opening a new
	// connection takes about 1 ms.
	maxNonIdempotentIdle = 250 * time.Millisecond
	// targetReadBuffer is the size of the read buffer of a connection.
	targetReadBuffer = 4 << 10
	// expectHeader requests an interim response, which the entry has already sent.
	expectHeader = "Expect"
	// maxKeptHeadBytes limits the size of a request head buffer that is kept for
	// reuse.
	maxKeptHeadBytes = 16 << 10
)

// targetResult is the result of one request to the target.
type targetResult struct {
	outcome outcome.Outcome
	reason  outcome.Reason
	status  int
	// headerLines holds the end-to-end headers of the response.
	headerLines []byte
	body        []byte
	// took is the time from the first byte sent to the last byte received.
	took time.Duration
	// sent is set if bytes were sent to the target.
	sent bool
	// unreachable is set if the target accepts no connections.
	unreachable bool
	// misdirected is set if another target now uses the address.
	misdirected bool
	// err is the error of the connection or the response, if any.
	err error
}

// targetClient sends requests to the target over a pool of idle connections. It is
// safe for concurrent use.
type targetClient struct {
	codec  HeaderCodec
	budget *memory.Budget
	// bounds returns the bounds of the open connections.
	bounds func() connectionBounds
	// open counts the connections that are being opened, in use, idle or abandoned.
	open atomic.Int64
	mu   sync.Mutex
	idle []*targetConn
	// address is the address of the connections in idle.
	address string
}

func newTargetClient(codec HeaderCodec, budget *memory.Budget) *targetClient {
	return &targetClient{codec: codec, budget: budget, bounds: unlimitedConnections}
}

// send sends a request once and reads the complete response, whose body is held by the
// account. Nothing is sent after the context has ended.
func (c *targetClient) send(ctx context.Context, address, targetID string, request *pb.ForwardRequest, deadline time.Time, account *memory.Account) targetResult {
	if err := ctx.Err(); err != nil || !time.Now().Before(deadline) {
		return notSent(ctx, deadline, err)
	}
	conn, err := c.connection(ctx, address, request, deadline)
	if err != nil {
		return notSent(ctx, deadline, err)
	}
	stop := context.AfterFunc(ctx, conn.interrupt)
	sent := time.Now()
	result, reusable := c.exchange(ctx, conn, targetID, request, deadline, account)
	result.took = time.Since(sent)
	stopped := stop()
	switch {
	case result.abandoned():
		conn.abandon()
	case !stopped || !reusable:
		_ = conn.Close()
	default:
		c.putIdle(address, conn)
	}
	return result
}

// abandoned reports whether the request may still be running at the target although
// nobody waits for its response.
func (r targetResult) abandoned() bool {
	return r.sent && r.outcome == outcome.Unknown && (r.reason == outcome.DeadlineExceeded || r.reason == outcome.Cancelled)
}

// exchange writes the request and reads its response. It also reports whether the
// connection may carry another request.
func (c *targetClient) exchange(ctx context.Context, conn *targetConn, targetID string, request *pb.ForwardRequest, deadline time.Time, account *memory.Account) (targetResult, bool) {
	defer conn.bound.head.Release()
	reused := conn.used
	conn.used = true
	conn.head = c.appendHead(conn.head[:0], targetID, request, time.Until(deadline))
	written := conn.startWrite(request.GetBody())
	result, reusable := c.readOwnResponse(ctx, conn, reused, request, deadline, account)
	finished := written.end(conn, result)
	return result, reusable && finished
}

// readOwnResponse reads responses until the one to the request. It also reports whether
// the connection may carry another request.
func (c *targetClient) readOwnResponse(ctx context.Context, conn *targetConn, reused bool, request *pb.ForwardRequest, deadline time.Time, account *memory.Account) (targetResult, bool) {
	for range maxUnrelatedResponses + 1 {
		response, err := conn.readResponse(string(request.GetMethod()))
		if err != nil {
			return responseLost(ctx, err), false
		}
		info := c.codec.ReadResponse(response.StatusCode, response.Header)
		body, err := c.readBody(response, request, deadline, account)
		if err != nil {
			return incomplete(ctx, err), false
		}
		switch {
		case info.AttemptID == string(request.GetAttemptId()):
			return classify(response, info, body), conn.reusable(response)
		case info.AttemptID == "" && !reused:
			// No other request was sent on this connection, so the response belongs
			// to this one.
			return classify(response, info, body), false
		case info.AttemptID == "":
			// It may be a duplicate of an earlier response.
			return responseLost(ctx, nil), false
		}
	}
	return responseLost(ctx, nil), false
}

// readBody returns the complete body. It does not close the body of the response,
// because Close would read the rest of it. The caller closes the connection instead. A
// request that is not idempotent has run and must not be sent again, so its response may
// wait for memory until its deadline.
func (c *targetClient) readBody(response *http.Response, request *pb.ForwardRequest, deadline time.Time, account *memory.Account) ([]byte, error) {
	wait := time.Until(deadline)
	if request.GetIdempotent() {
		wait = min(wait, responseMemoryWait)
	}
	return bodyMemory{account: account, wait: wait}.read(response.Body, response.ContentLength, c.budget.Max(memory.Responses)/bodyDivisor)
}

// classify returns the result for a complete response.
func classify(response *http.Response, info TargetResponse, body []byte) targetResult {
	result := targetResult{sent: true, status: response.StatusCode}
	switch {
	case info.Misdirected:
		result.outcome, result.reason, result.misdirected = outcome.NotRun, outcome.TargetDown, true
	case info.NotRun:
		result.outcome, result.reason = outcome.NotRun, outcome.TargetRefused
	case response.StatusCode < http.StatusMultipleChoices && !info.Sealed:
		// A success without the seal does not count as a complete response of the
		// target.
		result.outcome, result.reason = outcome.Unknown, outcome.AnswerTruncated
	default:
		result.outcome = outcome.Completed
		result.headerLines = appendHeaderLines(nil, response.Header, nil)
		result.body = body
	}
	return result
}

// appendHead appends the request line and the headers.
func (c *targetClient) appendHead(head []byte, targetID string, request *pb.ForwardRequest, remaining time.Duration) []byte {
	head = append(head, request.GetMethod()...)
	head = append(head, ' ')
	head = append(head, request.GetTarget()...)
	head = append(head, " HTTP/1.1\r\nHost: "...)
	head = append(head, request.GetHost()...)
	head = append(head, "\r\n"...)
	head = append(head, request.GetHeaderLines()...)
	head = c.codec.AppendRequest(head, TargetEnvelope{
		AttemptID:     string(request.GetAttemptId()),
		Remaining:     remaining,
		TargetID:      targetID,
		OriginService: request.GetOriginService(),
		Account:       request.GetAccount(),
	})
	if len(request.GetBody()) > 0 || hasBody(string(request.GetMethod())) {
		head = append(head, "Content-Length: "...)
		head = strconv.AppendInt(head, int64(len(request.GetBody())), 10)
		head = append(head, "\r\n"...)
	}
	return append(head, "\r\n"...)
}

func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// connection returns an idle connection or opens one. A request that was sent to
// this target before always gets a new connection: on a reused one, a late
// duplicate of the response to the earlier attempt could arrive and, having the
// same attempt ID, be taken for the response to this attempt.
func (c *targetClient) connection(ctx context.Context, address string, request *pb.ForwardRequest, deadline time.Time) (*targetConn, error) {
	if request.GetSameTarget() {
		return c.dial(ctx, address, deadline)
	}
	for {
		conn := c.takeIdle(address, request.GetIdempotent())
		if conn == nil {
			return c.dial(ctx, address, deadline)
		}
		if conn.SetDeadline(deadline) == nil && conn.alive() {
			return conn, nil
		}
		_ = conn.Close()
	}
}

// takeIdle returns the most recently used connection if it is fresh enough for the
// request, and closes those that were idle for too long.
func (c *targetClient) takeIdle(address string, idempotent bool) *targetConn {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeExpired(now, address)
	if len(c.idle) == 0 {
		return nil
	}
	last := c.idle[len(c.idle)-1]
	if !idempotent && now.Sub(last.idleSince) > maxNonIdempotentIdle {
		return nil
	}
	c.idle = c.idle[:len(c.idle)-1]
	return last
}

// closeExpired closes connections to a previous address and those that were idle for
// longer than their target has stated.
func (c *targetClient) closeExpired(now time.Time, address string) {
	addressChanged := address != c.address
	c.address = address
	c.idle = slices.DeleteFunc(c.idle, func(conn *targetConn) bool {
		expired := addressChanged || now.Sub(conn.idleSince) > conn.maxIdle
		if expired {
			_ = conn.Close()
		}
		return expired
	})
}

// putIdle makes a connection available for reuse, unless the target has moved to
// another address.
func (c *targetClient) putIdle(address string, conn *targetConn) {
	conn.idleSince = time.Now()
	if cap(conn.head) > maxKeptHeadBytes {
		conn.head = nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if address != c.address {
		_ = conn.Close()
		return
	}
	c.idle = append(c.idle, conn)
	c.closeExcess()
}

// closeExcess closes the connections that were idle for longest while too many
// are open. Without it, requests that may not use a connection that was idle for long
// open new ones beside those kept, and a target resets connections beyond its cap. The
// caller holds the mutex.
func (c *targetClient) closeExcess() {
	excess := min(int(c.open.Load())-c.bounds().keep, len(c.idle))
	for i := range max(excess, 0) {
		_ = c.idle[i].Close()
	}
	c.idle = append(c.idle[:0], c.idle[max(excess, 0):]...)
}

// closeIdle closes all connections that no request is using.
func (c *targetClient) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeExpired(time.Now(), "")
}

// dial opens a connection whose reads and writes end at the deadline.
func (c *targetClient) dial(ctx context.Context, address string, deadline time.Time) (*targetConn, error) {
	if err := c.beginOpen(); err != nil {
		return nil, err
	}
	dialer := socket.Dialer{Timeout: targetDialTimeout, Deadline: deadline}
	dialed, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		c.open.Add(-1)
		return nil, err
	}
	conn := newTargetConn(dialed, c.budget, &c.open)
	if err := conn.SetDeadline(deadline); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// beginOpen counts a connection that is about to be opened, and makes room for it. If it
// returns an error, the connection must not be opened.
func (c *targetClient) beginOpen() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open.Add(1)
	c.closeExcess()
	if int(c.open.Load()) > c.bounds().open {
		c.open.Add(-1)
		return errTooManyConnections
	}
	return nil
}

// alive reports, without blocking, whether the connection is open and has no unread
// bytes. Such bytes would belong to no request.
func (c *targetConn) alive() bool {
	tcp, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	healthy := false
	err = raw.Read(func(fd uintptr) bool {
		var peekBuffer [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), peekBuffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		healthy = errors.Is(peekErr, syscall.EAGAIN)
		return true
	})
	return err == nil && healthy
}

// notSent classifies a request for which no connection could be opened.
func notSent(ctx context.Context, deadline time.Time, err error) targetResult {
	result := targetResult{outcome: outcome.NotRun, reason: outcome.TargetDown, err: err}
	if ctx.Err() != nil || !time.Now().Before(deadline) {
		result.reason = outcome.DeadlineExceeded
		return result
	}
	if errors.Is(err, errTooManyConnections) {
		result.reason = outcome.Overloaded
		return result
	}
	var timeout net.Error
	result.unreachable = errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &timeout) && timeout.Timeout()
	return result
}

// responseLost classifies a request that was sent but received no response, because of
// the given error of the connection or because the responses were to other requests.
// The deadline of the request is that of the connection.
func responseLost(ctx context.Context, err error) targetResult {
	result := targetResult{outcome: outcome.Unknown, reason: outcome.AnswerLost, sent: true, err: err}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded), ctx.Err() == nil && errors.Is(err, os.ErrDeadlineExceeded):
		result.reason = outcome.DeadlineExceeded
	case ctx.Err() != nil:
		result.reason = outcome.Cancelled
	case errors.Is(err, errInvalidStatus), errors.Is(err, responsehead.ErrMalformed):
		result.reason = outcome.AnswerTruncated
	}
	return result
}

// incomplete classifies a response whose body was not received completely.
func incomplete(ctx context.Context, err error) targetResult {
	result := responseLost(ctx, err)
	switch {
	case errors.Is(err, errBodyTooLarge), errors.Is(err, errNoMemory):
		result.reason = outcome.TooLarge
	case result.reason == outcome.AnswerLost:
		result.reason = outcome.AnswerTruncated
	}
	return result
}
