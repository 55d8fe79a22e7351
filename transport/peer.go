package transport

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/primrosemount/primrosemount/internal/socket"
)

// peer holds the connection to one address. Concurrent calls share one connection,
// and one attempt to open it. The mutex is never held while waiting for the network.
// lastUse is guarded by the mutex of the pool.
type peer struct {
	address string
	config  ClientConfig
	lastUse time.Time
	calls   atomic.Int64
	mutex   sync.Mutex
	closed  bool
	client  *rpc.Client
	codec   *monitoredCodec
	// attempt is the attempt to open a connection that is in progress, or nil.
	attempt *dialAttempt
	// retired holds the connections that carry no new calls.
	retired []*rpc.Client
}

// dialAttempt is an attempt to open a connection. Its result is set before done is
// closed.
type dialAttempt struct {
	done   chan struct{}
	cancel context.CancelFunc
	client *rpc.Client
	codec  *monitoredCodec
	err    error
}

// errPoolClosed is the cause of calls after the pool has been closed.
var errPoolClosed = errors.New("transport: the pool is closed")

func (p *peer) release() { p.calls.Add(-1) }

// open returns the current connection. If there is none, it waits for the attempt to
// open one that is in progress, or starts one, but no longer than the context allows.
// Callers with different deadlines wait for the same attempt, so it ends by its own
// timeout.
func (p *peer) open(ctx context.Context) (*rpc.Client, *monitoredCodec, error) {
	client, codec, attempt, err := p.connectionOrAttempt()
	if attempt == nil {
		return client, codec, err
	}
	select {
	case <-attempt.done:
		return attempt.client, attempt.codec, attempt.err
	case <-ctx.Done():
		return nil, nil, ctx.Err()
	}
}

// connectionOrAttempt returns the open connection, or the attempt to open one.
func (p *peer) connectionOrAttempt() (*rpc.Client, *monitoredCodec, *dialAttempt, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	switch {
	case p.closed:
		return nil, nil, nil, errPoolClosed
	case p.client != nil && !p.codec.broken():
		return p.client, p.codec, nil, nil
	case p.attempt == nil:
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		p.attempt = &dialAttempt{done: make(chan struct{}), cancel: cancel}
		go p.runAttempt(ctx, p.attempt)
	}
	return nil, nil, p.attempt, nil
}

// runAttempt opens a connection and publishes the result.
func (p *peer) runAttempt(ctx context.Context, attempt *dialAttempt) {
	defer attempt.cancel()
	conn, err := dial(ctx, p.address, p.config.TLS)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	defer close(attempt.done)
	p.attempt = nil
	switch {
	case err != nil:
		attempt.err = err
	case p.closed:
		_ = conn.Close()
		attempt.err = errPoolClosed
	default:
		p.codec = newMonitoredCodec(conn, p.config)
		p.client = rpc.NewClientWithCodec(p.codec)
		attempt.client, attempt.codec = p.client, p.codec
	}
}

// retire prevents new calls on the connection, unless it is already retired.
// The calls that it carries continue.
func (p *peer) retire(codec *monitoredCodec) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.codec != codec || p.client == nil {
		return
	}
	client := p.client
	p.client = nil
	p.retired = append(p.retired, client)
	time.AfterFunc(retiredCloseDelay, func() { p.closeRetired(client) })
}

// closeRetired closes a retired connection.
func (p *peer) closeRetired(client *rpc.Client) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.retired = slices.DeleteFunc(p.retired, func(c *rpc.Client) bool { return c == client })
	_ = client.Close()
}

// openClient returns the client of the open connection, or nil.
func (p *peer) openClient() *rpc.Client {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.client == nil || p.codec.broken() {
		return nil
	}
	return p.client
}

func (p *peer) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	if p.attempt != nil {
		p.attempt.cancel()
	}
	if p.client != nil {
		_ = p.client.Close()
	}
	for _, client := range p.retired {
		_ = client.Close()
	}
}

func dial(ctx context.Context, address string, config *tls.Config) (net.Conn, error) {
	conn, err := socket.Dialer{Timeout: dialTimeout}.DialContext(ctx, "tcp", address)
	if err != nil || config == nil {
		return conn, err
	}
	return secure(ctx, conn, address, config)
}

// secure performs the TLS handshake of a connection that was dialed.
func secure(ctx context.Context, conn net.Conn, address string, config *tls.Config) (net.Conn, error) {
	if config.ServerName == "" {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, errors.CombineErrors(err, conn.Close())
		}
		config = config.Clone()
		config.ServerName = host
	}
	tlsConn := tls.Client(conn, config)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		return nil, errors.CombineErrors(err, conn.Close())
	}
	return tlsConn, nil
}
