package executor

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/primrosemount/primrosemount/core/once"
	"github.com/primrosemount/primrosemount/core/outcome"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/internal/responsehead"
	"github.com/primrosemount/primrosemount/wire"
)

const (
	targetDialTimeout = time.Second
	targetIdleTimeout = 30 * time.Second
	// targetHeaderBytes bounds the size of the response headers.
	targetHeaderBytes = 64 << 10
)

// targetClient sends requests to the target. It is safe for concurrent use.
type targetClient struct {
	transport *http.Transport
}

func newTargetClient() *targetClient {
	return &targetClient{transport: &http.Transport{
		DialContext:            dialTracked,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    256,
		IdleConnTimeout:        targetIdleTimeout,
		MaxResponseHeaderBytes: targetHeaderBytes,
	}}
}

func (c *targetClient) close() { c.transport.CloseIdleConnections() }

// targetResponse is the result of one request to the target.
type targetResponse struct {
	result once.Result
	// unreachable reports that no connection could be opened.
	unreachable bool
	// refused reports that the target itself refused the request.
	refused bool
}

// send sends the call to the target and reads the complete response. It repeats
// an attempt only if nothing was sent.
func (c *targetClient) send(ctx context.Context, address string, running *RunningCall) targetResponse {
	for {
		received, repeat := c.sendOnce(ctx, address, running)
		if !repeat {
			return received
		}
	}
}

// sendOnce makes one attempt to send the call. It reports repeat if nothing was
// sent because net/http had selected a connection that another call has
// retired.
func (c *targetClient) sendOnce(ctx context.Context, address string, running *RunningCall) (received targetResponse, repeat bool) {
	var use connectionUse
	trace := &httptrace.ClientTrace{GotConn: use.recordConn}
	request, err := c.newRequest(httptrace.WithClientTrace(responsehead.Trace(ctx), trace), address, running)
	if err != nil {
		return targetResponse{result: failure(outcome.NotRun, outcome.BadRequest)}, false
	}
	// RoundTrip is used because an http.Client would follow redirects.
	response, err := c.transport.RoundTrip(request)
	if errors.Is(err, responsehead.ErrMalformed) {
		return targetResponse{result: failure(outcome.Unknown, outcome.AnswerTruncated)}, false
	}
	if err != nil {
		sent := use.sent()
		return sendFailure(ctx, sent, use.connected()), !sent && use.retired() && ctx.Err() == nil
	}
	defer response.Body.Close()
	if !outcome.IsFinalStatus(response.StatusCode) {
		use.retire()
		return targetResponse{result: failure(outcome.Unknown, outcome.AnswerTruncated)}, false
	}
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(wire.RefusedHeader) == "true" {
		// A faulty target may write the same refusal twice. The connection is retired
		// so that the duplicate is not taken for the response to the next call, which
		// would be reported as not run although it runs.
		use.retire()
		return targetResponse{result: failure(outcome.NotRun, outcome.TargetRefused), refused: true}, false
	}
	return c.readResponse(ctx, response, running.Call.AnswerBytes), false
}

// newRequest returns the HTTP request for a running call.
func (c *targetClient) newRequest(ctx context.Context, address string, running *RunningCall) (*http.Request, error) {
	call := running.Call.Request
	url := "http://" + address + wire.OperationsPath + call.GetOperation()
	// The request has no GetBody function, and the key is sent in a header that
	// net/http does not interpret as an idempotency key. Otherwise net/http would
	// resend the request after a connection failure.
	body := io.NopCloser(bytes.NewReader(call.GetBody()))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(call.GetBody()))
	if request.ContentLength == 0 {
		// With an unknown length, net/http reads ahead to find out whether the body
		// is empty and, if it is, may resend the request.
		request.Body = http.NoBody
	}
	setHeaders(request.Header, running)
	return request, nil
}

func setHeaders(header http.Header, running *RunningCall) {
	call := running.Call.Request
	for _, h := range call.GetHeaders() {
		header.Add(h.GetName(), h.GetValue())
	}
	context := call.GetContext()
	header.Set(wire.CallHeader, running.Token)
	header.Set(wire.RequestIDHeader, requestID(call))
	header.Set(wire.DeadlineHeader, time.Until(deadlineOf(running.ctx)).String())
	header.Set(wire.ClassHeader, outcome.ClassFromProto(context.GetClass()).String())
	header.Set(wire.CohortHeader, strconv.FormatUint(uint64(context.GetCohort()), 10))
	if context.GetTraceparent() != "" {
		header.Set(wire.TraceparentHeader, context.GetTraceparent())
	}
	if context.GetTracestate() != "" {
		header.Set(wire.TracestateHeader, context.GetTracestate())
	}
}

func deadlineOf(ctx context.Context) time.Time {
	deadline, _ := ctx.Deadline()
	return deadline
}

// readResponse reads the complete body. net/http reports a body that is shorter
// than its Content-Length, or chunked encoding without its end, as an error.
func (c *targetClient) readResponse(ctx context.Context, response *http.Response, maxBytes int64) targetResponse {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBytes+1))
	switch {
	case err != nil && ctx.Err() != nil:
		return sendFailure(ctx, true, true)
	case err != nil:
		return targetResponse{result: failure(outcome.Unknown, outcome.AnswerTruncated)}
	case int64(len(body)) > maxBytes:
		return targetResponse{result: failure(outcome.Unknown, outcome.TooLarge)}
	}
	return targetResponse{result: once.Result{
		Outcome: outcome.Completed,
		Status:  uint32(response.StatusCode),
		Headers: responseHeaders(response.Header),
		Body:    body,
	}}
}

// sendFailure classifies the failure of a request without a response. If no
// byte was sent to the target, the request provably did not run.
func sendFailure(ctx context.Context, sent, connected bool) targetResponse {
	switch {
	case !sent && ctx.Err() != nil:
		return targetResponse{result: failure(outcome.NotRun, outcome.DeadlineExceeded)}
	case !sent:
		return targetResponse{result: failure(outcome.NotRun, outcome.TargetDown), unreachable: !connected}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return targetResponse{result: failure(outcome.Unknown, outcome.DeadlineExceeded)}
	case ctx.Err() != nil:
		return targetResponse{result: failure(outcome.Unknown, outcome.Cancelled)}
	default:
		return targetResponse{result: failure(outcome.Unknown, outcome.AnswerLost)}
	}
}

func failure(o outcome.Outcome, reason outcome.Reason) once.Result {
	return once.Result{Outcome: o, Reason: reason}
}

// dateHeader is not forwarded, because the entry node sets it again.
const dateHeader = "Date"

// responseHeaders returns the headers that are forwarded to the caller.
func responseHeaders(header http.Header) []*pb.Header {
	headers := make([]*pb.Header, 0, len(header))
	for name, values := range header {
		if wire.IsHopByHop(name) || name == dateHeader {
			continue
		}
		for _, value := range values {
			headers = append(headers, &pb.Header{Name: name, Value: value})
		}
	}
	return headers
}
