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
	// DefaultDeadline bounds a call whose context has no deadline.
	DefaultDeadline = 30 * time.Second
	// DefaultMaxAttempts bounds the attempts of one call.
	DefaultMaxAttempts = 4
	// DefaultKeyBatch is how many keys are fetched at once.
	DefaultKeyBatch = 32
	// DefaultMinBackoff is the upper bound of the first wait between attempts.
	DefaultMinBackoff = 20 * time.Millisecond
	// DefaultMaxBackoff bounds the wait between attempts, except that a longer
	// Retry-After is respected.
	DefaultMaxBackoff = time.Second
	// DefaultMaxAnswerBytes bounds the body of one answer.
	DefaultMaxAnswerBytes = 16 << 20

	connectTimeout    = 2 * time.Second
	idleConnTimeout   = 30 * time.Second
	idleConnsPerNode  = 64
	maxHeaderBytes    = 64 << 10
	keepAliveInterval = 15 * time.Second
	allowanceNotKnown = -1
	// shortestAttempt is the least time for which an attempt is made.
	shortestAttempt = time.Millisecond
)

// Options configures a client. Zero values select the defaults.
type Options struct {
	// Nodes are the base addresses of some nodes, for example
	// "https://10.0.0.1:8443". At least one is required.
	Nodes []string
	// TLS is the client side of mutual TLS; nil for plain HTTP.
	TLS *tls.Config
	// MaxAttempts bounds the attempts of one call, the first included.
	MaxAttempts int
	// AttemptTimeout bounds one attempt. Zero: half of the remaining time for
	// operations with a key, where a further attempt only asks for the result of
	// the first one, and the whole remaining time for others.
	AttemptTimeout time.Duration
	// KeyBatch is how many keys are fetched at once.
	KeyBatch       int
	MinBackoff     time.Duration
	MaxBackoff     time.Duration
	MaxAnswerBytes int64
}

// Client calls operations. Create it with New and end it with Close.
type Client struct {
	options Options
	http    *http.Client
	nodes   *nodeList
	keys    *keyStock
	// ctx ends background key requests; refills counts them.
	ctx     context.Context
	cancel  context.CancelFunc
	refills sync.WaitGroup
}

// New returns a client, or an error if the options are not usable.
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
		keys:    newKeyStock(options.KeyBatch),
		ctx:     ctx,
		cancel:  cancel,
	}, nil
}

// Close ends background requests and idle connections. Calls in progress are
// not affected.
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
// compression, all of which could repeat a request or hide its length.
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

// Answer is a complete answer of an operation.
type Answer struct {
	// Status is the HTTP status of the target. The operation ran even if the
	// status reports an error.
	Status int
	Header http.Header
	Body   []byte
	// Key is the idempotency key that was used; empty if there was none.
	Key string
	// RequestID is the id of the root request, for `primrosemount explain`.
	RequestID string
	// Attempts is the number of HTTP requests that the call took.
	Attempts int
}

// CallOption changes one call.
type CallOption func(*call)

// Idempotent states that the operation may run more than once. The call then
// needs no key.
func Idempotent() CallOption {
	return func(k *call) { k.idempotent = true }
}

// WithKey makes the call use a key that the caller obtained, for example one
// that it stored before a crash. The call never changes to another key.
func WithKey(key string) CallOption {
	return func(k *call) {
		k.key = key
		k.fixedKey = true
	}
}

// WithHeader adds a request header. The headers of primrosemount can't be
// overridden.
func WithHeader(name, value string) CallOption {
	return func(k *call) { k.header.Add(name, value) }
}

// WithTraceparent passes a W3C trace context.
func WithTraceparent(value string) CallOption { return WithHeader("Traceparent", value) }

// Call runs an operation and returns its complete answer. Any other result is
// an *Error with outcome and reason. The deadline is that of ctx.
func (c *Client) Call(ctx context.Context, service, operation string, body []byte, options ...CallOption) (*Answer, error) {
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	k := newCall(service, operation, body, options)
	if err := c.firstKey(ctx, k); err != nil {
		return nil, err
	}
	for {
		answer, f := c.attempt(ctx, k)
		if f == nil {
			return answer, nil
		}
		k.learn(f)
		if !c.again(ctx, k, f) {
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

// firstKey gets a key for an operation that needs one.
func (c *Client) firstKey(ctx context.Context, k *call) error {
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

// again prepares the next attempt. It returns false if there is none.
func (c *Client) again(ctx context.Context, k *call, f *failure) bool {
	c.forgetKeys(k, f)
	if k.attempts >= c.options.MaxAttempts || k.allowance == 0 || !k.mayRepeat(f) {
		return false
	}
	if !pause(ctx, c.backoff(k, f)) {
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
	k.uncertain = false
	return true
}

// backoff returns the wait before the next attempt: the suggested wait plus a
// random part, so that callers that were refused together do not return
// together.
func (c *Client) backoff(k *call, f *failure) time.Duration {
	most := c.options.MinBackoff << min(k.attempts-1, 20)
	if most > c.options.MaxBackoff || most <= 0 {
		most = c.options.MaxBackoff
	}
	return f.problem.RetryAfter + rand.N(most)
}

// pause waits, or returns false if the deadline would pass meanwhile.
func pause(ctx context.Context, wait time.Duration) bool {
	deadline, _ := ctx.Deadline()
	if time.Until(deadline) <= wait+shortestAttempt {
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

// Error tells why a call got no complete answer. errors.As also finds the
// *outcome.Error in it.
type Error struct {
	// Problem holds outcome, reason and remedy. Its outcome is completed if the
	// operation ran once but its answer is not available any more.
	Problem *outcome.Error
	// Key is the last key that was sent. After outcome unknown, a later call
	// WithKey(Key) asks for the result without a second execution.
	Key string
	// NextKey is a fresh key from the refusal; empty if there was none.
	NextKey string
	// Status is the HTTP status of the node; 0 if there was no response.
	Status int
	// Attempts is the number of HTTP requests that the call took.
	Attempts int
	// Cause is the error of the connection, if that was the reason.
	Cause error
}

// Error returns detail, outcome, reason and remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("primrosemount: %s (attempts %d)", e.Problem.Error(), e.Attempts)
}

// Unwrap returns the problem and the cause.
func (e *Error) Unwrap() []error {
	if e.Cause == nil {
		return []error{e.Problem}
	}
	return []error{e.Problem, e.Cause}
}

// OutcomeOf returns the outcome of a call from its error. Without an error it is
// completed; for an error of another kind it is unknown.
func OutcomeOf(err error) outcome.Outcome {
	if err == nil {
		return outcome.Completed
	}
	if e, ok := errors.AsType[*Error](err); ok {
		return e.Problem.Outcome
	}
	return outcome.Unknown
}
