package transport

import (
	"io"
	"math"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/primrosemount/primrosemount/core/memory"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

const (
	// largeRequestBytes is the size of a relayed request from which its memory is
	// reserved before it is read. Smaller ones are bounded by the queue of the gate. Most
	// uploads are below 64 KB, so that a higher limit would leave them uncounted.
	largeRequestBytes = memory.SmallBytes
	// largeResponseBytes is the same for a relayed response. It is higher, because a
	// response that is discarded for lack of memory is lost, and its request may have run.
	//
	// Other messages are small or bounded by controlMessageBytes, and are always read, so
	// that nodes go on exchanging their state when memory is short.
	largeResponseBytes = 64 << 10
)

// errNoMemory is the response to a request that was discarded unread because it does not
// fit into the memory that is left.
var errNoMemory = errors.New("transport: the node has no memory left for the message; it was not handled")

// relayed is a message that carries a body of a client or a target.
type relayed interface {
	proto.Message
	GetBody() []byte
}

// reservedFrom returns the size from which the memory of a message is reserved, and false
// if it never is.
func reservedFrom(m proto.Message) (int64, bool) {
	switch m.(type) {
	case *pb.ForwardRequest:
		return largeRequestBytes, true
	case *pb.ForwardResponse:
		return largeResponseBytes, true
	}
	return 0, false
}

// readRelayed reads a message whose memory is reserved first if it is large. If that
// fails, it discards the message and returns errNoMemory. The account, if any, holds the
// message.
func (f *frames) readRelayed(m proto.Message, budget *memory.Budget, kind memory.Kind) (*memory.Account, error) {
	large, ok := reservedFrom(m)
	if budget == nil || !ok {
		return nil, f.read(m)
	}
	size, err := f.peekSize()
	if err != nil {
		return nil, err
	}
	if size < large || size > f.options.MaxSize {
		// The read reports a message that is too large.
		return nil, f.read(m)
	}
	account := budget.Open(kind)
	if !account.Ensure(size) {
		return nil, f.discard(size)
	}
	if err := f.read(m); err != nil {
		account.Release()
		return nil, err
	}
	return account, nil
}

// peekSize returns the size of the next message, without reading it.
func (f *frames) peekSize() (int64, error) {
	for n := 1; ; n++ {
		prefix, err := f.reader.Peek(n)
		if err != nil {
			return 0, err
		}
		if prefix[n-1] < 0x80 || n == maxVarintBytes {
			size, length := protowire.ConsumeVarint(prefix)
			if length < 0 {
				return 0, protowire.ParseError(length)
			}
			return int64(min(size, math.MaxInt64)), nil
		}
	}
}

// maxVarintBytes is the largest size of the length before a message.
const maxVarintBytes = 10

// discard skips the next message, which has the given size.
func (f *frames) discard(size int64) error {
	if _, err := io.CopyN(io.Discard, f.reader, size+int64(protowire.SizeVarint(uint64(size)))); err != nil {
		return err
	}
	return errNoMemory
}

// messageAccounts holds the accounts of the requests of a connection until they have been
// handled.
type messageAccounts struct{ byRequest sync.Map }

func (a *messageAccounts) store(request proto.Message, account *memory.Account) {
	if account != nil {
		a.byRequest.Store(request, account)
	}
}

// release releases the account of a request, if it has one.
func (a *messageAccounts) release(request proto.Message) {
	if account, ok := a.byRequest.LoadAndDelete(request); ok {
		account.(*memory.Account).Release()
	}
}

// holdResponse accounts for a large response until release is called: its body, and its
// encoded form while it waits to be written.
func holdResponse(budget *memory.Budget, response any) (release func()) {
	message, ok := response.(relayed)
	if budget == nil || !ok || len(message.GetBody()) < largeResponseBytes {
		return func() {}
	}
	account := budget.Open(memory.Frames)
	account.Set(2 * int64(len(message.GetBody())))
	return account.Release
}

// reserveRequest reserves the memory for the encoded form of a large request. It reports
// whether the request may be encoded.
func reserveRequest(budget *memory.Budget, request proto.Message) (*memory.Account, bool) {
	message, ok := request.(relayed)
	if budget == nil || !ok || len(message.GetBody()) < largeRequestBytes {
		return nil, true
	}
	account := budget.Open(memory.Frames)
	return account, account.Ensure(int64(len(message.GetBody())))
}
