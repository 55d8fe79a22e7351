package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/net/http/httpguts"

	"github.com/primrosemount/primrosemount/core/outcome"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// Header names of requests and responses.
const (
	headerKey        = "Idempotency-Key"
	headerNextKey    = "Primrosemount-Next-Key"
	headerDeadline   = "Primrosemount-Deadline"
	headerAttempt    = "Primrosemount-Attempt"
	headerRoot       = "Primrosemount-Root"
	headerAllowance  = "Primrosemount-Retry-Allowance"
	headerRetryAfter = "Retry-After"

	problemType = "application/problem+json"
	chunked     = "chunked"
	// maxProblemBytes is the maximum size of a problem document.
	maxProblemBytes = 64 << 10
)

// problemMembers holds the members of a problem document that the client reads.
type problemMembers struct {
	Title     string `json:"title"`
	Detail    string `json:"detail"`
	Outcome   string `json:"outcome"`
	Reason    string `json:"reason"`
	RequestID string `json:"request_id"`
}

// attempt makes one HTTP request. It returns either a complete response or a
// failure; the other result is nil.
func (c *Client) attempt(ctx context.Context, k *call) (*Answer, *failure) {
	if err := ctx.Err(); err != nil {
		return nil, k.noResponseFailure(ctx, err, false)
	}
	k.lastNode = c.nodes.pick(k.lastNode)
	callCtx := ctx
	ctx, cancel := c.attemptContext(ctx, k)
	defer cancel()
	sent := new(atomic.Bool)
	request, err := k.newRequest(trackSending(ctx, sent), callCtx)
	if err != nil {
		problem := outcome.New(outcome.NotRun, outcome.BadRequest, err.Error())
		return nil, &failure{problem: problem, key: k.key, unsent: true, cause: err}
	}
	k.attempts++
	response, err := c.http.Do(request)
	if err != nil {
		if ctx.Err() == nil {
			k.lastNode.markFailed()
		}
		return nil, k.noResponseFailure(callCtx, err, sent.Load())
	}
	defer response.Body.Close()
	if !wellFormed(response) {
		return nil, k.incompleteFailure(callCtx, response, errMalformed)
	}
	k.updateFromHeaders(response.Header)
	body, err := readComplete(response, c.maxBodyBytes(response))
	if err != nil {
		return nil, k.incompleteFailure(callCtx, response, err)
	}
	return k.interpret(response, body)
}

// attemptContext returns the context of one attempt. If a retry with the same key
// is possible, the attempt gets only half of the remaining time, so that a node
// that does not respond leaves time for a retry through another node.
func (c *Client) attemptContext(ctx context.Context, k *call) (context.Context, context.CancelFunc) {
	timeout := c.options.AttemptTimeout
	if timeout == 0 && k.key != "" && k.attempts+1 < c.options.MaxAttempts {
		deadline, _ := ctx.Deadline()
		timeout = time.Until(deadline) / 2
	}
	if timeout == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, timeout)
}

// trackSending sets sent when the request gets a connection. If sent is still
// false after a failure, no byte of the request left the client.
func trackSending(ctx context.Context, sent *atomic.Bool) context.Context {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	return httptrace.WithClientTrace(ctx, trace)
}

// nonReplayableReader hides the type of a reader from http.NewRequest, which would
// otherwise set GetBody. http.Transport silently replays requests that have an
// Idempotency-Key header, but it cannot do so without GetBody. An empty body is
// sent as a chunked body without chunks, because http.NoBody could be replayed.
type nonReplayableReader struct{ io.Reader }

// newRequest returns the request of one attempt. The deadline header carries the
// remaining time of the call, not that of the attempt, because a later attempt
// with the same key still needs the result.
func (k *call) newRequest(ctx, callCtx context.Context) (*http.Request, error) {
	endpoint := k.lastNode.base + "/v1/services/" + url.PathEscape(k.service) + "/" + url.PathEscape(k.operation)
	body := nonReplayableReader{bytes.NewReader(k.body)}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, endpoint, body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(k.body))
	request.Header = k.header.Clone()
	setOrDelete(request.Header, headerKey, k.key)
	setOrDelete(request.Header, headerRoot, k.root)
	setOrDelete(request.Header, headerAllowance, k.allowanceText())
	request.Header.Set(headerAttempt, strconv.Itoa(k.attempts))
	deadline, _ := callCtx.Deadline()
	remaining := max(time.Until(deadline), minAttemptDuration)
	request.Header.Set(headerDeadline, remaining.Truncate(time.Microsecond).String())
	return request, nil
}

func setOrDelete(h http.Header, name, value string) {
	h.Del(name)
	if value != "" {
		h.Set(name, value)
	}
}

// allowanceText returns the value of the retry allowance header, or "" if the allowance is
// not known yet.
func (k *call) allowanceText() string {
	if k.allowance == unknownAllowance {
		return ""
	}
	return strconv.Itoa(k.allowance)
}

var (
	errTooLarge    = errors.New("the answer is larger than MaxAnswerBytes")
	errNoFraming   = errors.New("the response has neither a Content-Length nor chunked encoding")
	errMalformed   = errors.New("the head of the response is malformed")
	errNotFromNode = errors.New("the response is not from a node")
)

// readComplete reads a body and returns an error unless the body is complete.
// net/http returns an error for a body that is shorter than its Content-Length or
// lacks its last chunk. A body with neither is rejected, because the client cannot
// detect its truncation.
func readComplete(response *http.Response, maxBytes int64) ([]byte, error) {
	framed := response.ContentLength >= 0 || slices.Contains(response.TransferEncoding, chunked)
	if !framed {
		return nil, errNoFraming
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBytes+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > maxBytes {
		return nil, errTooLarge
	}
	return body, nil
}

// wellFormed reports whether the status and the header names are what HTTP permits.
// net/http accepts any status of three digits, and names with spaces.
func wellFormed(response *http.Response) bool {
	for name := range response.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return false
		}
	}
	return outcome.IsFinalStatus(response.StatusCode)
}

// noResponseFailure returns the failure of an attempt that received no response.
// sent states whether any byte of the request may have left the client.
func (k *call) noResponseFailure(callCtx context.Context, err error, sent bool) *failure {
	f := &failure{key: k.key, unsent: !sent, cause: err}
	result, reason, detail := outcome.Unknown, outcome.AnswerLost, "the connection ended before the answer arrived"
	if !sent {
		result, reason, detail = outcome.NotRun, outcome.ConnectFailed, "no connection to the node could be opened"
	}
	switch {
	case errors.Is(callCtx.Err(), context.DeadlineExceeded):
		reason, detail = outcome.DeadlineExceeded, "the deadline passed before the answer arrived"
	case callCtx.Err() != nil:
		reason, detail = outcome.Cancelled, "the caller cancelled the call"
	}
	f.problem = outcome.New(result, reason, detail)
	return f
}

// incompleteFailure returns the failure of an attempt whose response could not be
// read completely.
func (k *call) incompleteFailure(callCtx context.Context, response *http.Response, err error) *failure {
	f := k.noResponseFailure(callCtx, err, true)
	f.status = response.StatusCode
	switch {
	case errors.Is(err, errTooLarge):
		f.problem = outcome.New(outcome.Unknown, outcome.TooLarge, "the answer is larger than the client accepts; raise Options.MaxAnswerBytes")
	case f.problem.Reason == outcome.AnswerLost:
		f.problem = outcome.New(outcome.Unknown, outcome.AnswerTruncated, "the answer is not complete")
	}
	return f
}

// interpret distinguishes the response of a target from a problem that a node
// reports. A response without a root ID header is not from a node, because nodes
// add that header to every response of a target.
func (k *call) interpret(response *http.Response, body []byte) (*Answer, *failure) {
	if problem := readProblem(response, body); problem != nil {
		return nil, k.problemFailure(response, problem)
	}
	if response.Header.Get(headerRoot) == "" {
		problem := outcome.New(outcome.Unknown, outcome.Internal, "the response is not from a node")
		return nil, &failure{problem: problem, key: k.key, status: response.StatusCode, cause: errNotFromNode}
	}
	return &Answer{
		Status:    response.StatusCode,
		Header:    response.Header,
		Body:      body,
		Key:       k.key,
		RequestID: response.Header.Get(headerRoot),
		Attempts:  k.attempts,
	}, nil
}

// maxBodyBytes returns the maximum body size of a response. Problem documents of
// up to maxProblemBytes are read even if MaxAnswerBytes is smaller.
func (c *Client) maxBodyBytes(response *http.Response) int64 {
	if isProblem(response) {
		return max(c.options.MaxAnswerBytes, maxProblemBytes)
	}
	return c.options.MaxAnswerBytes
}

func isProblem(response *http.Response) bool {
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && mediaType == problemType
}

// readProblem returns the problem that a node reported, or nil if the response is
// not a problem document of a node.
func readProblem(response *http.Response, body []byte) *outcome.Error {
	if !isProblem(response) {
		return nil
	}
	var members problemMembers
	if json.Unmarshal(body, &members) != nil {
		return nil
	}
	result, ok := parseOutcome(members.Outcome)
	if !ok {
		return nil
	}
	// outcome.New is not used here, because a node may report a problem with the
	// outcome completed.
	return &outcome.Error{
		Outcome:    result,
		Reason:     parseReason(members.Reason),
		Detail:     firstNonEmpty(members.Detail, members.Title),
		RequestID:  members.RequestID,
		RetryAfter: parseRetryAfter(response.Header.Get(headerRetryAfter), time.Now()),
	}
}

// problemFailure returns the failure of an attempt for which a node reported a
// problem.
func (k *call) problemFailure(response *http.Response, problem *outcome.Error) *failure {
	return &failure{
		problem: problem,
		key:     k.key,
		nextKey: response.Header.Get(headerNextKey),
		status:  response.StatusCode,
	}
}

func parseOutcome(name string) (outcome.Outcome, bool) {
	for _, o := range []outcome.Outcome{outcome.Completed, outcome.NotRun, outcome.Unknown} {
		if o.String() == name {
			return o, true
		}
	}
	return 0, false
}

// parseReason returns the reason with the given name, or outcome.Internal for a
// reason that this version does not define.
func parseReason(name string) outcome.Reason {
	value, ok := pb.Reason_value["REASON_"+strings.ToUpper(name)]
	if !ok || value == 0 {
		return outcome.Internal
	}
	return outcome.Reason(value)
}

func firstNonEmpty(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// parseRetryAfter parses a Retry-After header, which holds a number of seconds or
// an HTTP date. It returns 0 for any other value.
func parseRetryAfter(value string, now time.Time) time.Duration {
	if seconds, err := strconv.ParseUint(value, 10, 31); err == nil {
		return time.Duration(seconds) * time.Second
	}
	if at, err := http.ParseTime(value); err == nil {
		return max(at.Sub(now), 0)
	}
	return 0
}
