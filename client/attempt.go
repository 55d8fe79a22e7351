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

	"github.com/primrosemount/primrosemount/core/outcome"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// Headers of requests and responses.
const (
	headerKey       = "Idempotency-Key"
	headerNextKey   = "Primrosemount-Next-Key"
	headerDeadline  = "Primrosemount-Deadline"
	headerAttempt   = "Primrosemount-Attempt"
	headerRoot      = "Primrosemount-Root"
	headerAllowance = "Primrosemount-Retry-Allowance"
	headerRetry     = "Retry-After"

	problemType = "application/problem+json"
	chunked     = "chunked"
	// problemBytes bounds a problem document.
	problemBytes = 64 << 10
)

// problemMembers are the members of a problem document that the client reads.
type problemMembers struct {
	Title     string `json:"title"`
	Detail    string `json:"detail"`
	Outcome   string `json:"outcome"`
	Reason    string `json:"reason"`
	RequestID string `json:"request_id"`
}

// attempt makes one HTTP request. Exactly one of the results is set.
func (c *Client) attempt(ctx context.Context, k *call) (*Answer, *failure) {
	if err := ctx.Err(); err != nil {
		return nil, k.lost(ctx, err, false)
	}
	k.last = c.nodes.pick(k.last)
	whole := ctx
	ctx, cancel := c.attemptContext(ctx, k)
	defer cancel()
	sent := new(atomic.Bool)
	request, err := k.newRequest(trackSending(ctx, sent), whole)
	if err != nil {
		problem := outcome.New(outcome.NotRun, outcome.BadRequest, err.Error())
		return nil, &failure{problem: problem, key: k.key, unsent: true, cause: err}
	}
	k.attempts++
	response, err := c.http.Do(request)
	if err != nil {
		if ctx.Err() == nil {
			k.last.failed()
		}
		return nil, k.lost(whole, err, sent.Load())
	}
	defer response.Body.Close()
	k.noteHeaders(response.Header)
	body, err := readWhole(response, c.most(response))
	if err != nil {
		return nil, k.incomplete(whole, response, err)
	}
	return k.interpret(response, body)
}

// attemptContext bounds one attempt, so that time is left to ask through
// another node.
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

// trackSending sets sent when the request gets a connection. Without one, no
// byte of it can have left.
func trackSending(ctx context.Context, sent *atomic.Bool) context.Context {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	return httptrace.WithClientTrace(ctx, trace)
}

// onceReader hides the type of the reader from http.NewRequest, which would
// otherwise set GetBody. Without GetBody, http.Transport can't replay the
// request on its own, which it does for requests with an Idempotency-Key. An
// empty body is sent as zero chunks, because http.NoBody could be replayed.
type onceReader struct{ io.Reader }

// newRequest builds the request of one attempt. The deadline header carries the
// time left for the whole call, because a further attempt with the same key
// still wants the result.
func (k *call) newRequest(ctx, whole context.Context) (*http.Request, error) {
	target := k.last.base + "/v1/services/" + url.PathEscape(k.service) + "/" + url.PathEscape(k.operation)
	body := onceReader{bytes.NewReader(k.body)}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(k.body))
	request.Header = k.header.Clone()
	setOrDelete(request.Header, headerKey, k.key)
	setOrDelete(request.Header, headerRoot, k.root)
	setOrDelete(request.Header, headerAllowance, k.allowanceText())
	request.Header.Set(headerAttempt, strconv.Itoa(k.attempts))
	deadline, _ := whole.Deadline()
	left := max(time.Until(deadline), shortestAttempt)
	request.Header.Set(headerDeadline, left.Truncate(time.Microsecond).String())
	return request, nil
}

func setOrDelete(h http.Header, name, value string) {
	h.Del(name)
	if value != "" {
		h.Set(name, value)
	}
}

func (k *call) allowanceText() string {
	if k.allowance == allowanceNotKnown {
		return ""
	}
	return strconv.Itoa(k.allowance)
}

var (
	errTooLarge    = errors.New("the answer is larger than MaxAnswerBytes")
	errUnmeasured  = errors.New("the answer has neither a length nor chunks")
	errNotFromNode = errors.New("the response is not from a node")
)

// readWhole reads a body and fails unless it is complete. net/http reports a
// body that is shorter than its Content-Length or lacks its last chunk.
func readWhole(response *http.Response, most int64) ([]byte, error) {
	measured := response.ContentLength >= 0 || slices.Contains(response.TransferEncoding, chunked)
	if !measured {
		return nil, errUnmeasured
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, most+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > most {
		return nil, errTooLarge
	}
	return body, nil
}

// lost returns the failure of an attempt without a response.
func (k *call) lost(whole context.Context, err error, sent bool) *failure {
	f := &failure{key: k.key, unsent: !sent, cause: err}
	result, reason, detail := outcome.Unknown, outcome.AnswerLost, "the connection ended before the answer arrived"
	if !sent {
		result, reason, detail = outcome.NotRun, outcome.ConnectFailed, "no connection to the node could be opened"
	}
	switch {
	case errors.Is(whole.Err(), context.DeadlineExceeded):
		reason, detail = outcome.DeadlineExceeded, "the deadline passed before the answer arrived"
	case whole.Err() != nil:
		reason, detail = outcome.Cancelled, "the caller cancelled the call"
	}
	f.problem = outcome.New(result, reason, detail)
	return f
}

// incomplete returns the failure of an attempt whose answer could not be read
// whole.
func (k *call) incomplete(whole context.Context, response *http.Response, err error) *failure {
	f := k.lost(whole, err, true)
	f.status = response.StatusCode
	switch {
	case errors.Is(err, errTooLarge):
		f.problem = outcome.New(outcome.Unknown, outcome.TooLarge, "the answer is larger than the client accepts; raise Options.MaxAnswerBytes")
	case f.problem.Reason == outcome.AnswerLost:
		f.problem = outcome.New(outcome.Unknown, outcome.AnswerTruncated, "the answer is not complete")
	}
	return f
}

// interpret tells the answer of a target from the problem of a node. Nodes send
// the root id with every answer of a target.
func (k *call) interpret(response *http.Response, body []byte) (*Answer, *failure) {
	if problem := readProblem(response, body); problem != nil {
		return nil, k.refused(response, problem)
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

// most returns the bound on the body of a response. A problem document is read
// even if answers are bounded more tightly.
func (c *Client) most(response *http.Response) int64 {
	if isProblem(response) {
		return max(c.options.MaxAnswerBytes, problemBytes)
	}
	return c.options.MaxAnswerBytes
}

func isProblem(response *http.Response) bool {
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && mediaType == problemType
}

// readProblem returns the problem of a node, or nil if the response is not one.
func readProblem(response *http.Response, body []byte) *outcome.Error {
	if !isProblem(response) {
		return nil
	}
	var members problemMembers
	if json.Unmarshal(body, &members) != nil {
		return nil
	}
	result, ok := outcomeNamed(members.Outcome)
	if !ok {
		return nil
	}
	// A literal, because a problem may say that the operation completed.
	return &outcome.Error{
		Outcome:    result,
		Reason:     reasonNamed(members.Reason),
		Detail:     firstOf(members.Detail, members.Title),
		RequestID:  members.RequestID,
		RetryAfter: retryAfter(response.Header.Get(headerRetry), time.Now()),
	}
}

func (k *call) refused(response *http.Response, problem *outcome.Error) *failure {
	return &failure{
		problem: problem,
		key:     k.key,
		nextKey: response.Header.Get(headerNextKey),
		status:  response.StatusCode,
	}
}

func outcomeNamed(name string) (outcome.Outcome, bool) {
	for _, o := range []outcome.Outcome{outcome.Completed, outcome.NotRun, outcome.Unknown} {
		if o.String() == name {
			return o, true
		}
	}
	return 0, false
}

// reasonNamed returns internal for a reason that this version does not know.
func reasonNamed(name string) outcome.Reason {
	value, ok := pb.Reason_value["REASON_"+strings.ToUpper(name)]
	if !ok || value == 0 {
		return outcome.Internal
	}
	return outcome.Reason(value)
}

func firstOf(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// retryAfter reads seconds or an HTTP date.
func retryAfter(value string, now time.Time) time.Duration {
	if seconds, err := strconv.ParseUint(value, 10, 31); err == nil {
		return time.Duration(seconds) * time.Second
	}
	if at, err := http.ParseTime(value); err == nil {
		return max(at.Sub(now), 0)
	}
	return 0
}
