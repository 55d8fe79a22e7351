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
	"google.golang.org/protobuf/proto"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/internal/socket"
)

// Kinds of errors of a call to another node; match them with errors.Is.
var (
	// ErrNotSent marks a request of which no byte was written.
	ErrNotSent = errors.New("the request did not leave; it may be sent to another node")
	// ErrResponseLost marks a request that was sent and whose answer did not come.
	ErrResponseLost = errors.New("the request was sent and its answer was lost; ask the same node again")
)

// Error is the error of a call to another node. It matches its kind and its
// cause.
type Error struct {
	// Kind is ErrNotSent or ErrResponseLost.
	Kind    error
	Address string
	Cause   error
}

// Error returns address, kind with remedy, and cause.
func (e *Error) Error() string {
	return "transport: node " + e.Address + ": " + e.Kind.Error() + ": " + e.Cause.Error()
}

// Unwrap returns kind and cause.
func (e *Error) Unwrap() []error { return []error{e.Kind, e.Cause} }

// dialTimeout bounds the opening of a connection. Opening one takes about 1 ms
// within a region.
const dialTimeout = 300 * time.Millisecond

const (
	// silentAfter is the time without any answer on a connection after which a call
	// that runs out of time takes the connection out of use. Keep-alive probes do
	// not find a peer whose system answers them while its process, or a box on the
	// way, does not pass anything on.
	silentAfter = 500 * time.Millisecond
	// retiredFor is how long a connection that was taken out of use stays open for
	// the calls that it carries. It is longer than any call lasts.
	retiredFor = 30 * time.Second
)

// ClientConfig configures a Pool.
type ClientConfig struct {
	// TLS is nil for plain connections.
	TLS *tls.Config
	// MaxBodyBytes bounds the body of one answer.
	MaxBodyBytes int64
	// IdleTimeout closes a connection that was not used for this time.
	IdleTimeout time.Duration
}

// Pool holds one persistent connection per node address. It is safe for
// concurrent use.
type Pool struct {
	config ClientConfig
	mutex  sync.Mutex
	peers  map[string]*peer
	closed bool
}

// NewPool returns a Pool without connections.
func NewPool(config ClientConfig) *Pool {
	return &Pool{config: config, peers: make(map[string]*peer)}
}

// Close closes all connections; calls in progress end with ErrResponseLost.
func (p *Pool) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	for _, peer := range p.peers {
		peer.close()
	}
}

// CloseIdle closes the connections that were not used for the idle timeout.
func (p *Pool) CloseIdle(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address, peer := range p.peers {
		if peer.calls.Load() == 0 && now.Sub(peer.lastUse) >= p.config.IdleTimeout {
			peer.close()
			delete(p.peers, address)
		}
	}
}

// Connections returns the number of open connections.
func (p *Pool) Connections() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	open := 0
	for _, peer := range p.peers {
		if peer.current() != nil {
			open++
		}
	}
	return open
}

// errForeignAnswer is the cause when an answer carries the id of another call.
var errForeignAnswer = errors.New("the answer belongs to another call")

// Call runs one operation at the node with the address. When the context ends
// first, the node is told to cancel the call and the answer is dropped.
func (p *Pool) Call(ctx context.Context, address string, request *pb.CallRequest) (*pb.CallResponse, error) {
	return run(ctx, p, address, serviceName, "Call", request, &pb.CallResponse{})
}

// Forward passes one HTTP request to the node with the address. When the
// context ends first, the node is told to cancel it and the answer is dropped.
func (p *Pool) Forward(ctx context.Context, address string, request *pb.ForwardRequest) (*pb.ForwardResponse, error) {
	return run(ctx, p, address, relayServiceName, "Forward", request, &pb.ForwardResponse{})
}

// run sends a request that the receiver can cancel by its id.
func run[R identified](ctx context.Context, p *Pool, address, service, method string, request identified, response R) (R, error) {
	var none R
	err := p.invoke(ctx, address, service+"."+method, request, response)
	if errors.Is(err, ErrResponseLost) && ctx.Err() != nil {
		p.cancel(address, service, request.GetId())
	}
	if err != nil {
		return none, err
	}
	if !sameCall(response, request) {
		return none, &Error{Kind: ErrResponseLost, Address: address, Cause: errForeignAnswer}
	}
	return response, nil
}

// Sync compares configuration and members with the node at the address.
func (p *Pool) Sync(ctx context.Context, address string, request *pb.SyncRequest) (*pb.SyncResponse, error) {
	return send(ctx, p, address, relayServiceName+".Sync", request, &pb.SyncResponse{})
}

// identified is a message of one call.
type identified interface {
	proto.Message
	GetId() *pb.CallId
}

// sameCall tells whether a response belongs to the request.
func sameCall(response, request identified) bool {
	a, b := response.GetId(), request.GetId()
	return a.GetSender() == b.GetSender() && a.GetSequence() == b.GetSequence()
}

// cancel tells the node that the caller gave up; nobody waits for the answer.
// Without an open connection there is nothing to cancel, because the node ends
// the calls of a connection that is lost.
func (p *Pool) cancel(address, service string, id *pb.CallId) {
	peer := p.acquire(address)
	defer peer.release()
	client := peer.current()
	if client == nil {
		return
	}
	out := &outgoing{message: &pb.CancelRequest{Id: id}}
	go client.Go(service+".Cancel", out, &pb.CancelResponse{}, make(chan *rpc.Call, 1))
}

// Probe asks the node for its state.
func (p *Pool) Probe(ctx context.Context, address string, request *pb.ProbeRequest) (*pb.ProbeResponse, error) {
	return send(ctx, p, address, serviceName+".Probe", request, &pb.ProbeResponse{})
}

// Exchange compares stream positions and passes records.
func (p *Pool) Exchange(ctx context.Context, address string, request *pb.ExchangeRequest) (*pb.ExchangeResponse, error) {
	return send(ctx, p, address, serviceName+".Exchange", request, &pb.ExchangeResponse{})
}

// Handover passes one chunk of an at-most-once table.
func (p *Pool) Handover(ctx context.Context, address string, request *pb.HandoverRequest) (*pb.HandoverResponse, error) {
	return send(ctx, p, address, serviceName+".Handover", request, &pb.HandoverResponse{})
}

// Explain asks the node for journal entries.
func (p *Pool) Explain(ctx context.Context, address string, request *pb.ExplainRequest) (*pb.ExplainResponse, error) {
	return send(ctx, p, address, serviceName+".Explain", request, &pb.ExplainResponse{})
}

// Burn asks the node for its burn counters.
func (p *Pool) Burn(ctx context.Context, address string, request *pb.BurnRequest) (*pb.BurnResponse, error) {
	return send(ctx, p, address, serviceName+".Burn", request, &pb.BurnResponse{})
}

// send makes one call and returns its response; after an error the response may
// still be written to, so none is returned.
func send[R proto.Message](ctx context.Context, p *Pool, address, method string, request proto.Message, response R) (R, error) {
	if err := p.invoke(ctx, address, method, request, response); err != nil {
		var none R
		return none, err
	}
	return response, nil
}

// invoke sends one request of a method, written SERVICE.METHOD, and waits for
// its answer or the end of the context. A response of which the wait ended early
// may still be written to by net/rpc and must not be read. The request is
// written by a goroutine of its own,
// because a peer that does not read blocks the writer.
func (p *Pool) invoke(ctx context.Context, address, method string, request, response proto.Message) error {
	peer := p.acquire(address)
	defer peer.release()
	started := time.Now()
	client, codec, err := peer.open(ctx)
	if err != nil {
		return &Error{Kind: ErrNotSent, Address: address, Cause: err}
	}
	out := &outgoing{message: request}
	done := make(chan *rpc.Call, 1)
	go client.Go(method, out, response, done)
	select {
	case call := <-done:
		return callError(call.Error, out, address)
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) && time.Since(started) >= silentAfter && !codec.heardSince(started) {
			peer.retire(codec)
		}
		return callError(ctx.Err(), out, address)
	}
}

func callError(err error, out *outgoing, address string) error {
	if err == nil {
		return nil
	}
	if out.abandon() {
		return &Error{Kind: ErrNotSent, Address: address, Cause: err}
	}
	return &Error{Kind: ErrResponseLost, Address: address, Cause: err}
}

// acquire returns the peer of an address; it is not closed as idle before its
// release.
func (p *Pool) acquire(address string) *peer {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	found, ok := p.peers[address]
	if !ok {
		found = &peer{address: address, config: p.config, closed: p.closed}
		p.peers[address] = found
	}
	found.lastUse = time.Now()
	found.calls.Add(1)
	return found
}

// peer is the connection to one address. Its mutex serialises dialling, so
// that concurrent calls share one connection. lastUse belongs to the pool.
type peer struct {
	address string
	config  ClientConfig
	lastUse time.Time
	calls   atomic.Int64
	mutex   sync.Mutex
	closed  bool
	client  *rpc.Client
	codec   *watchedCodec
	// retired are connections that carry no new calls.
	retired []*rpc.Client
}

func (p *peer) release() { p.calls.Add(-1) }

func (p *peer) open(ctx context.Context) (*rpc.Client, *watchedCodec, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return nil, nil, errors.New("transport: the pool is closed")
	}
	if p.client != nil && !p.codec.broken() {
		return p.client, p.codec, nil
	}
	conn, err := dial(ctx, p.address, p.config.TLS)
	if err != nil {
		return nil, nil, err
	}
	p.codec = newWatchedCodec(conn, p.config.MaxBodyBytes)
	p.client = rpc.NewClientWithCodec(p.codec)
	return p.client, p.codec, nil
}

// retire takes the connection out of use, unless that was done already. The calls
// that it carries go on.
func (p *peer) retire(codec *watchedCodec) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.codec != codec || p.client == nil {
		return
	}
	client := p.client
	p.client = nil
	p.retired = append(p.retired, client)
	time.AfterFunc(retiredFor, func() { p.end(client) })
}

// end closes a connection that was taken out of use.
func (p *peer) end(client *rpc.Client) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.retired = slices.DeleteFunc(p.retired, func(c *rpc.Client) bool { return c == client })
	_ = client.Close()
}

// current returns the client of the open connection, or nil.
func (p *peer) current() *rpc.Client {
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
	if p.client != nil {
		_ = p.client.Close()
	}
	for _, client := range p.retired {
		_ = client.Close()
	}
}

func dial(ctx context.Context, address string, config *tls.Config) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialer := socket.Dialer(dialTimeout)
	if config == nil {
		return dialer.DialContext(ctx, "tcp", address)
	}
	secured := &tls.Dialer{NetDialer: dialer, Config: config}
	return secured.DialContext(ctx, "tcp", address)
}

// watchedCodec notes the loss of its connection, so that the next call dials
// again instead of failing.
type watchedCodec struct {
	clientCodec
	lost chan struct{}
	once sync.Once
	// opened is when the connection was opened; heard is the time of the latest
	// answer since then in nanoseconds.
	opened time.Time
	heard  atomic.Int64
}

func newWatchedCodec(conn net.Conn, maxBodyBytes int64) *watchedCodec {
	return &watchedCodec{
		clientCodec: clientCodec{frames: newFrames(conn, maxBodyBytes)},
		lost:        make(chan struct{}),
		opened:      time.Now(),
	}
}

// heardSince tells whether any answer came on the connection after a time.
func (c *watchedCodec) heardSince(at time.Time) bool {
	return c.opened.Add(time.Duration(c.heard.Load())).After(at)
}

func (c *watchedCodec) ReadResponseHeader(r *rpc.Response) error {
	err := c.clientCodec.ReadResponseHeader(r)
	if err != nil {
		c.once.Do(func() { close(c.lost) })
		return err
	}
	c.heard.Store(int64(time.Since(c.opened)))
	return nil
}

func (c *watchedCodec) ReadResponseBody(body any) error {
	err := c.clientCodec.ReadResponseBody(body)
	if err != nil {
		c.once.Do(func() { close(c.lost) })
	}
	return err
}

func (c *watchedCodec) broken() bool {
	select {
	case <-c.lost:
		return true
	default:
		return false
	}
}
