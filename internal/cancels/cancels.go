// Package cancels records the cancel functions of the calls received from other
// nodes, so that the sender of a call can cancel it.
package cancels

import (
	"context"
	"sync"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// callKey is a comparable form of pb.CallId.
type callKey struct {
	sender   uint64
	sequence uint64
}

// Calls holds the cancel functions of the calls in progress. It is safe for
// concurrent use.
type Calls struct {
	mutex sync.Mutex
	calls map[callKey]context.CancelFunc
}

// New returns an empty Calls.
func New() *Calls {
	return &Calls{calls: make(map[callKey]context.CancelFunc)}
}

// Add registers a call; the returned function removes it.
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

// Cancel cancels a call and reports whether it was in progress.
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
