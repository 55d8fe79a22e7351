// Package cancels finds the calls that other nodes sent, so that they can be
// cancelled.
package cancels

import (
	"context"
	"sync"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// key is the comparable form of pb.CallId.
type callKey struct {
	sender   uint64
	sequence uint64
}

// Calls holds the calls that are present. It is safe for concurrent use.
type Calls struct {
	mutex sync.Mutex
	calls map[callKey]context.CancelFunc
}

// New returns a Calls without calls.
func New() *Calls {
	return &Calls{calls: make(map[callKey]context.CancelFunc)}
}

// Add registers a call; the returned function forgets it.
func (c *Calls) Add(id *pb.CallId, cancel context.CancelFunc) (remove func()) {
	k := callKey{sender: id.GetSender(), sequence: id.GetSequence()}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.calls[k] = cancel
	return func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		delete(c.calls, k)
	}
}

// Cancel ends a call; it returns false if the call is not present.
func (c *Calls) Cancel(id *pb.CallId) bool {
	k := callKey{sender: id.GetSender(), sequence: id.GetSequence()}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	cancel, ok := c.calls[k]
	if ok {
		cancel()
	}
	return ok
}
