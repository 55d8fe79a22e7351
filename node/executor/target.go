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
	"github.com/primrosemount/primrosemount/wire"
)

const (
	targetDialTimeout = time.Second
	targetIdleTimeout = 30 * time.Second
	// targetHeaderBytes bounds the headers of an answer of the target.
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

// targetAnswer is what became of one request to the target.
type targetAnswer struct {
	result once.Result
	// unreachable tells that no connection could be opened.
	unreachable bool
	// refused tells that the target itself refused the request.
	refused bool
}

// send sends the call to the target once and reads the whole answer.
func (c *targetClient) send(ctx context.Context, address string, running *RunningCall) targetAnswer {
	for {
		answer, again := c.try(ctx, address, running)
		if !again {
			return answer
		}
	}
}

// try sends the call once. It is to be tried again if net/http had chosen a
// connection that was taken out of use, so that nothing was sent.
func (c *targetClient) try(ctx context.Context, address string, running *RunningCall) (answer targetAnswer, again bool) {
	var use connectionUse
	trace := &httptrace.ClientTrace{GotConn: use.begin}
	request, err := c.newRequest(httptrace.WithClientTrace(ctx, trace), address, running)
	if err != nil {
		return targetAnswer{result: failure(outcome.NotRun, outcome.BadRequest)}, false
	}
	// RoundTrip is used instead of a Client, because a Client follows redirects.
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		sent := use.sent()
		return failedSend(ctx, sent, use.connected()), !sent && use.retired() && ctx.Err() == nil
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(wire.RefusedHeader) == "true" {
		// A target may write a refusal once more. On a connection of its own it
		// cannot be taken for the answer to a later call, which would bear no mark.
		use.retire()
		return targetAnswer{result: failure(outcome.NotRun, outcome.TargetRefused), refused: true}, false
	}
	return c.readAnswer(ctx, response, running.Call.AnswerBytes), false
}

func (c *targetClient) newRequest(ctx context.Context, address string, running *RunningCall) (*http.Request, error) {
	call := running.Call.Request
	url := "http://" + address + wire.OperationsPath + call.GetOperation()
	// The body has no GetBody function and the key travels in a header of our
	// own, so that the HTTP transport never sends the request a second time.
	body := io.NopCloser(bytes.NewReader(call.GetBody()))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(call.GetBody()))
	if request.ContentLength == 0 {
		// Without a length the transport would read ahead to find out whether the
		// body is empty, and would then treat the request as one to repeat.
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

// readAnswer reads the body to its end. net/http reports a body that is
// shorter than its Content-Length, or chunks without an end, as an error.
func (c *targetClient) readAnswer(ctx context.Context, answer *http.Response, maxBytes int64) targetAnswer {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBytes+1))
	switch {
	case err != nil && ctx.Err() != nil:
		return failedSend(ctx, true, true)
	case err != nil:
		return targetAnswer{result: failure(outcome.Unknown, outcome.AnswerTruncated)}
	case int64(len(body)) > maxBytes:
		return targetAnswer{result: failure(outcome.Unknown, outcome.TooLarge)}
	}
	return targetAnswer{result: once.Result{
		Outcome: outcome.Completed,
		Status:  uint32(answer.StatusCode),
		Headers: answerHeaders(answer.Header),
		Body:    body,
	}}
}

// failedSend classifies a request without an answer. If no byte went to the
// target, the request provably did not run.
func failedSend(ctx context.Context, sent, connected bool) targetAnswer {
	switch {
	case !sent && ctx.Err() != nil:
		return targetAnswer{result: failure(outcome.NotRun, outcome.DeadlineExceeded)}
	case !sent:
		return targetAnswer{result: failure(outcome.NotRun, outcome.TargetDown), unreachable: !connected}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return targetAnswer{result: failure(outcome.Unknown, outcome.DeadlineExceeded)}
	case ctx.Err() != nil:
		return targetAnswer{result: failure(outcome.Unknown, outcome.Cancelled)}
	default:
		return targetAnswer{result: failure(outcome.Unknown, outcome.AnswerLost)}
	}
}

func failure(o outcome.Outcome, reason outcome.Reason) once.Result {
	return once.Result{Outcome: o, Reason: reason}
}

// dateHeader is set anew by the entry.
const dateHeader = "Date"

func answerHeaders(header http.Header) []*pb.Header {
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
