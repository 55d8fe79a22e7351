package node

import (
	"context"
	"sync"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// callKey is the comparable form of pb.CallId.
type callKey struct {
	sender   uint64
	sequence uint64
}

// cancels finds the calls that other nodes sent, so that they can be
// cancelled. It is safe for concurrent use.
type cancels struct {
	mutex sync.Mutex
	calls map[callKey]context.CancelFunc
}

func newCancels() *cancels {
	return &cancels{calls: make(map[callKey]context.CancelFunc)}
}

// add registers a call; the returned function forgets it.
func (c *cancels) add(id *pb.CallId, cancel context.CancelFunc) (forget func()) {
	key := callKey{sender: id.GetSender(), sequence: id.GetSequence()}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.calls[key] = cancel
	return func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		delete(c.calls, key)
	}
}

// cancel ends a call; it returns false if the call is not present.
func (c *cancels) cancel(id *pb.CallId) bool {
	key := callKey{sender: id.GetSender(), sequence: id.GetSequence()}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	cancel, ok := c.calls[key]
	if ok {
		cancel()
	}
	return ok
}
