package transport

import (
	"context"
	"crypto/tls"
	"net/rpc"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/primrosemount/primrosemount/core/memory"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// Kinds of errors of a call to another node; match them with errors.Is.
var (
	// ErrNotSent marks a request of which no byte was written, or that the node
	// discarded unread.
	ErrNotSent = errors.New("the request was not sent; it may be sent to another node")
	// ErrResponseLost marks a request that was sent and whose response was not
	// received.
	ErrResponseLost = errors.New("the request was sent but its response was lost; send it to the same node again")
)

// An Error is the error of a call to another node. It matches both its kind and
// its cause.
type Error struct {
	// Kind is ErrNotSent or ErrResponseLost.
	Kind    error
	Address string
	Cause   error
}

// Error returns a text with the address, the kind with its remedy, and the
// cause.
func (e *Error) Error() string {
	return "transport: node " + e.Address + ": " + e.Kind.Error() + ": " + e.Cause.Error()
}

// Unwrap returns the kind and the cause.
func (e *Error) Unwrap() []error { return []error{e.Kind, e.Cause} }

// dialTimeout bounds the time to open a connection, which takes about 1 ms
// within a region.
const dialTimeout = 300 * time.Millisecond

const (
	// silenceTimeout is the minimum duration of a call that, when it exceeds its
	// deadline, retires its connection if no response to any call has arrived
	// there in the meantime. TCP keep-alive probes do not detect a peer whose
	// operating system still acknowledges them while its process hangs, or an
	// intermediate network device that acknowledges them but forwards nothing.
	silenceTimeout = 500 * time.Millisecond
	// retiredCloseDelay is how long a retired connection stays open for the calls
	// that it still carries. It is longer than any call lasts.
	retiredCloseDelay = 30 * time.Second
)

// A ClientConfig configures a Pool.
type ClientConfig struct {
	// TLS is nil for plain connections.
	TLS *tls.Config
	// MaxBodyBytes bounds the body of one response.
	MaxBodyBytes int64
	// IdleTimeout is the time without calls after which a connection is closed.
	IdleTimeout time.Duration
	// Memory accounts for large messages. It may be nil.
	Memory *memory.Budget
}

// A Pool holds one persistent connection per node address. It is safe for
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

// Close closes all connections. Calls in progress end with ErrResponseLost.
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
		if peer.openClient() != nil {
			open++
		}
	}
	return open
}

// errResponseMismatch is the cause when a response carries the ID of another
// call.
var errResponseMismatch = errors.New("the response belongs to another call")

// Call runs one operation at the node with the address. When the context is done
// first, Call requests that the node cancel the operation, and returns without
// waiting for the response.
func (p *Pool) Call(ctx context.Context, address string, request *pb.CallRequest) (*pb.CallResponse, error) {
	return invokeCancelable(ctx, p, address, serviceName, "Call", request, &pb.CallResponse{})
}

// Forward relays one HTTP request to the node with the address. When the context
// is done first, Forward requests that the node cancel the request, and returns
// without waiting for the response.
func (p *Pool) Forward(ctx context.Context, address string, request *pb.ForwardRequest) (*pb.ForwardResponse, error) {
	return invokeCancelable(ctx, p, address, relayServiceName, "Forward", request, &pb.ForwardResponse{})
}

// invokeCancelable sends a request that the receiver can cancel by its ID, and
// cancels it there if the context is done first.
func invokeCancelable[R identifiedMessage](ctx context.Context, p *Pool, address, service, method string, request identifiedMessage, response R) (R, error) {
	var none R
	err := p.invoke(ctx, address, service+"."+method, request, response)
	if errors.Is(err, ErrResponseLost) && ctx.Err() != nil {
		p.sendCancel(address, service, request.GetId())
	}
	if err != nil {
		return none, err
	}
	if !sameCall(response, request) {
		return none, &Error{Kind: ErrResponseLost, Address: address, Cause: errResponseMismatch}
	}
	return response, nil
}

// Sync compares configuration and members with the node at the address.
func (p *Pool) Sync(ctx context.Context, address string, request *pb.SyncRequest) (*pb.SyncResponse, error) {
	return send(ctx, p, address, relayServiceName+".Sync", request, &pb.SyncResponse{})
}

// ExchangeQuota exchanges quota tokens with the node at the address.
func (p *Pool) ExchangeQuota(ctx context.Context, address string, request *pb.QuotaRequest) (*pb.QuotaResponse, error) {
	return send(ctx, p, address, relayServiceName+".ExchangeQuota", request, &pb.QuotaResponse{})
}

// identifiedMessage is a message that carries the ID of its call.
type identifiedMessage interface {
	proto.Message
	GetId() *pb.CallId
}

// sameCall reports whether a response belongs to the request.
func sameCall(response, request identifiedMessage) bool {
	a, b := response.GetId(), request.GetId()
	return a.GetSender() == b.GetSender() && a.GetSequence() == b.GetSequence()
}

// sendCancel notifies the node that the caller no longer waits; it does not wait
// for the response. Without an open connection there is nothing to cancel,
// because a node cancels the calls of a connection that is lost.
func (p *Pool) sendCancel(address, service string, id *pb.CallId) {
	peer := p.acquire(address)
	defer peer.release()
	client := peer.openClient()
	if client == nil {
		return
	}
	out := &outgoing{message: &pb.CancelRequest{Id: id}}
	client.Go(service+".Cancel", out, &pb.CancelResponse{}, make(chan *rpc.Call, 1))
}

// Probe requests the state of the node.
func (p *Pool) Probe(ctx context.Context, address string, request *pb.ProbeRequest) (*pb.ProbeResponse, error) {
	return send(ctx, p, address, serviceName+".Probe", request, &pb.ProbeResponse{})
}

// Exchange compares stream positions with the node and transfers records.
func (p *Pool) Exchange(ctx context.Context, address string, request *pb.ExchangeRequest) (*pb.ExchangeResponse, error) {
	return send(ctx, p, address, serviceName+".Exchange", request, &pb.ExchangeResponse{})
}

// Handover transfers one chunk of a deduplication table to the node.
func (p *Pool) Handover(ctx context.Context, address string, request *pb.HandoverRequest) (*pb.HandoverResponse, error) {
	return send(ctx, p, address, serviceName+".Handover", request, &pb.HandoverResponse{})
}

// Explain requests journal entries of the node.
func (p *Pool) Explain(ctx context.Context, address string, request *pb.ExplainRequest) (*pb.ExplainResponse, error) {
	return send(ctx, p, address, serviceName+".Explain", request, &pb.ExplainResponse{})
}

// Burn requests the burn counters of the node.
func (p *Pool) Burn(ctx context.Context, address string, request *pb.BurnRequest) (*pb.BurnResponse, error) {
	return send(ctx, p, address, serviceName+".Burn", request, &pb.BurnResponse{})
}

// send sends one request and returns the response. After an error net/rpc may
// still write to the response, so none is returned.
func send[R proto.Message](ctx context.Context, p *Pool, address, method string, request proto.Message, response R) (R, error) {
	if err := p.invoke(ctx, address, method, request, response); err != nil {
		var none R
		return none, err
	}
	return response, nil
}

// invoke sends one request to a method, named SERVICE.METHOD, and waits for the
// response or the end of the context. If the wait ends early, net/rpc may still
// write to response, so it must not be read.
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
	client.Go(method, out, response, done)
	select {
	case call := <-done:
		return callError(call.Error, out, address)
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) && time.Since(started) >= silenceTimeout && !codec.receivedSince(started) {
			peer.retire(codec)
		}
		return callError(ctx.Err(), out, address)
	}
}

// callError returns err with its kind, or nil if err is nil. A request that has
// not been written yet is abandoned, so that it will not be written after
// ErrNotSent has been returned.
func callError(err error, out *outgoing, address string) error {
	if err == nil {
		return nil
	}
	if out.abandon() || isUnhandled(err) {
		return &Error{Kind: ErrNotSent, Address: address, Cause: err}
	}
	return &Error{Kind: ErrResponseLost, Address: address, Cause: err}
}

// isUnhandled reports whether an error is the response of a node that discarded the
// request unread.
func isUnhandled(err error) bool {
	var response rpc.ServerError
	return errors.As(err, &response) && string(response) == errNoMemory.Error()
}

// acquire returns the peer with the address. CloseIdle does not close the peer
// before its release.
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
