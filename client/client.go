package client

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
)

const (
	// DefaultDeadline is the time limit of a call whose context has no deadline.
	DefaultDeadline = 30 * time.Second
	// DefaultMaxAttempts is the default for Options.MaxAttempts.
	DefaultMaxAttempts = 4
	// DefaultKeyBatch is the default for Options.KeyBatch.
	DefaultKeyBatch = 32
	// DefaultMinBackoff is the default for Options.MinBackoff.
	DefaultMinBackoff = 20 * time.Millisecond
	// DefaultMaxBackoff is the default for Options.MaxBackoff.
	DefaultMaxBackoff = time.Second
	// DefaultMaxAnswerBytes is the default for Options.MaxAnswerBytes.
	DefaultMaxAnswerBytes = 16 << 20

	connectTimeout    = 2 * time.Second
	idleConnTimeout   = 30 * time.Second
	idleConnsPerNode  = 64
	maxHeaderBytes    = 64 << 10
	keepAliveInterval = 15 * time.Second
	// unknownAllowance marks a call for which no response has reported the
	// remaining retry allowance.
	unknownAllowance = -1
	// minAttemptDuration is the minimum remaining time for which an attempt is made.
	minAttemptDuration = time.Millisecond
)

// Options configures a client. Zero values select the defaults.
type Options struct {
	// Nodes holds the base addresses of one or more nodes, for example
	// "https://10.0.0.1:8443".
	Nodes []string
	// TLS is the client configuration for mutual TLS. It is nil for plain HTTP.
	TLS *tls.Config
	// MaxAttempts is the maximum number of attempts of one call, including the
	// first one.
	MaxAttempts int
	// AttemptTimeout is the time limit of one attempt. If it is zero, an attempt gets
	// the remaining time of the call, or half of it if the call has a key and
	// attempts are left: a retry with the same key only requests the result of the
	// earlier attempt, so it is safe to end that attempt early.
	AttemptTimeout time.Duration
	// KeyBatch is the number of idempotency keys that are fetched in one request.
	KeyBatch int
	// MinBackoff is the upper bound of the random wait before the second attempt.
	// The bound doubles with each further attempt.
	MinBackoff time.Duration
	// MaxBackoff is the maximum of that bound. A Retry-After of a response is waited
	// for in addition.
	MaxBackoff time.Duration
	// MaxAnswerBytes is the maximum size of a response body.
	MaxAnswerBytes int64
}

// A Client calls operations. Create it with New and release it with Close.
type Client struct {
	options Options
	http    *http.Client
	nodes   *nodeList
	keys    *keyPool
	// ctx is canceled by Close to stop background requests for keys, which refills
	// tracks.
	ctx     context.Context
	cancel  context.CancelFunc
	refills sync.WaitGroup
}

// New returns a client, or an error if the options are invalid.
func New(options Options) (*Client, error) {
	nodes, err := newNodeList(options.Nodes)
	if err != nil {
		return nil, err
	}
	options = options.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		options: options,
		http:    newHTTPClient(options.TLS),
		nodes:   nodes,
		keys:    newKeyPool(options.KeyBatch),
		ctx:     ctx,
		cancel:  cancel,
	}, nil
}

// Close stops background requests and closes idle connections. Calls in progress
// are not affected.
func (c *Client) Close() {
	c.cancel()
	c.refills.Wait()
	c.http.CloseIdleConnections()
}

func (o Options) withDefaults() Options {
	o.MaxAttempts = orDefault(o.MaxAttempts, DefaultMaxAttempts)
	o.KeyBatch = orDefault(o.KeyBatch, DefaultKeyBatch)
	o.MinBackoff = orDefault(o.MinBackoff, DefaultMinBackoff)
	o.MaxBackoff = orDefault(o.MaxBackoff, DefaultMaxBackoff)
	o.MaxAnswerBytes = orDefault(o.MaxAnswerBytes, DefaultMaxAnswerBytes)
	return o
}

func orDefault[T int | int64 | time.Duration](value, otherwise T) T {
	if value > 0 {
		return value
	}
	return otherwise
}

// newHTTPClient returns a client for HTTP/1.1 without proxies, redirects and
// compression. Proxies and redirects could send a request again, and compression
// would hide the length of a response.
func newHTTPClient(settings *tls.Config) *http.Client {
	dialer := &net.Dialer{Timeout: connectTimeout, KeepAlive: keepAliveInterval}
	transport := &http.Transport{
		DialContext:            dialer.DialContext,
		TLSClientConfig:        settings,
		TLSHandshakeTimeout:    connectTimeout,
		TLSNextProto:           map[string]func(string, *tls.Conn) http.RoundTripper{},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idleConnsPerNode,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: transport, CheckRedirect: noRedirect}
}

// An Answer is the complete response of an operation.
type Answer struct {
	// Status is the HTTP status of the target's response. The operation ran even if
	// the status reports an error.
	Status int
	Header http.Header
	Body   []byte
	// Key is the idempotency key of the call. It is empty if no key was used.
	Key string
	// RequestID is the ID of the root request, for use with `primrosemount explain`.
	RequestID string
	// Attempts is the number of HTTP requests that the call made.
	Attempts int
}

// A CallOption configures one call.
type CallOption func(*call)

// Idempotent declares that the operation may run more than once, so that the call
// needs no idempotency key.
func Idempotent() CallOption {
	return func(k *call) { k.idempotent = true }
}

// WithKey makes the call use the given idempotency key, for example one that the
// caller stored before a crash. The call never switches to another key.
func WithKey(key string) CallOption {
	return func(k *call) {
		k.key = key
		k.fixedKey = true
	}
}

// WithHeader adds a request header. Headers that the client itself sets cannot be
// overridden.
func WithHeader(name, value string) CallOption {
	return func(k *call) { k.header.Add(name, value) }
}

// WithTraceparent sets the traceparent header of a W3C trace context.
func WithTraceparent(value string) CallOption { return WithHeader("Traceparent", value) }

// Call runs an operation and returns its complete response. Any other result is an
// *Error with an outcome and a reason. The deadline is that of ctx, or
// DefaultDeadline from now if ctx has none.
func (c *Client) Call(ctx context.Context, service, operation string, body []byte, options ...CallOption) (*Answer, error) {
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	k := newCall(service, operation, body, options)
	if err := c.ensureKey(ctx, k); err != nil {
		return nil, err
	}
	for {
		answer, f := c.attempt(ctx, k)
		if f == nil {
			return answer, nil
		}
		k.recordFailure(f)
		if !c.prepareRetry(ctx, k, f) {
			return nil, k.fail(f)
		}
	}
}

func withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, DefaultDeadline)
}

// ensureKey obtains a key for a call that needs one and has none.
func (c *Client) ensureKey(ctx context.Context, k *call) error {
	if k.idempotent || k.key != "" {
		return nil
	}
	key, err := c.takeKey(ctx, k.service)
	if err != nil {
		return err
	}
	k.key = key
	return nil
}

// prepareRetry waits for the backoff and prepares the next attempt. It returns
// false if the call must not be retried.
func (c *Client) prepareRetry(ctx context.Context, k *call, f *failure) bool {
	c.dropFailingKeys(k, f)
	if k.attempts >= c.options.MaxAttempts || k.allowance == 0 || !k.mayRetry(f) {
		return false
	}
	if !waitUnlessTooLate(ctx, c.backoff(k, f)) {
		return false
	}
	if !k.needsNewKey(f) {
		return true
	}
	k.key = f.nextKey
	if k.key == "" {
		key, err := c.takeKey(ctx, k.service)
		if err != nil {
			k.key = f.key
			return false
		}
		k.key = key
	}
	k.mayHaveRun = false
	return true
}

// backoff returns the wait before the next attempt: the Retry-After of the failure
// plus random jitter, so that callers that were rejected at the same time do not
// retry at the same time.
func (c *Client) backoff(k *call, f *failure) time.Duration {
	maxJitter := c.options.MinBackoff << min(k.attempts-1, 20)
	if maxJitter > c.options.MaxBackoff || maxJitter <= 0 {
		maxJitter = c.options.MaxBackoff
	}
	return f.problem.RetryAfter + rand.N(maxJitter)
}

// waitUnlessTooLate waits and reports whether another attempt can follow. It returns
// false at once if at most minAttemptDuration would be left after the wait, and false
// if ctx ends during the wait.
func waitUnlessTooLate(ctx context.Context, wait time.Duration) bool {
	deadline, _ := ctx.Deadline()
	if time.Until(deadline) <= wait+minAttemptDuration {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// An Error states why a call got no complete response. errors.As also finds the
// *outcome.Error that it wraps.
type Error struct {
	// Problem holds the outcome, the reason and the remedy. Its outcome is completed
	// if the operation ran once but its response is no longer available.
	Problem *outcome.Error
	// Key is the last key that was sent. After outcome unknown, a later call with
	// WithKey(Key) requests the result without running the operation a second time.
	Key string
	// NextKey is an unused key that the node sent with the rejection. It is empty if
	// the node sent none.
	NextKey string
	// Status is the HTTP status of the node's response, or 0 without a response.
	Status int
	// Attempts is the number of HTTP requests that the call made.
	Attempts int
	// Cause is the underlying error of the client or its connection. It is nil if a
	// node reported the problem.
	Cause error
}

// Error returns the detail, outcome, reason and remedy of the problem, and the
// number of attempts.
func (e *Error) Error() string {
	return fmt.Sprintf("primrosemount: %s (attempts %d)", e.Problem.Error(), e.Attempts)
}

// Unwrap returns the problem, and the cause if there is one.
func (e *Error) Unwrap() []error {
	if e.Cause == nil {
		return []error{e.Problem}
	}
	return []error{e.Problem, e.Cause}
}

// OutcomeOf returns the outcome of a call that returned err: completed if err is
// nil, and unknown if err is not an *Error.
func OutcomeOf(err error) outcome.Outcome {
	if err == nil {
		return outcome.Completed
	}
	if e, ok := errors.AsType[*Error](err); ok {
		return e.Problem.Outcome
	}
	return outcome.Unknown
}
