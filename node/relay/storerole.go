package relay

import (
	"context"
	"sync"
	"time"
)

const (
	// followPatience is how long a node does without a reader that follows the
	// store before it follows the store itself. A comparison with a reader is due
	// each syncInterval, and the next reader is asked at once if one fails.
	readerTimeout = syncInterval + syncTimeout
	// strangerTurns is the number of comparisons with readers for which there is one
	// with any other node, so that zones agree even if all readers of one are cut
	// off.
	randomPeerTurns = 4
)

// storeRole tells whether this node follows a topic of the store itself, see
// membersTask.chooseRole. It is safe for concurrent use.
type storeRole struct {
	mu      sync.Mutex
	follows bool
	// begun is closed when the node begins to follow the store.
	following chan struct{}
}

// newStoreRole returns the role of a node that knows no reader yet.
func newStoreRole() *storeRole {
	following := make(chan struct{})
	close(following)
	return &storeRole{follows: true, following: following}
}

// set changes the role and reports whether it was another one.
func (r *storeRole) set(follows bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.follows == follows {
		return false
	}
	r.follows = follows
	if follows {
		close(r.following)
	} else {
		r.following = make(chan struct{})
	}
	return true
}

// active tells whether the node follows the store.
func (r *storeRole) active() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.follows
}

// await returns when the node follows the store, or at the end of the context.
func (r *storeRole) waitActive(ctx context.Context) {
	r.mu.Lock()
	following := r.following
	r.mu.Unlock()
	select {
	case <-following:
	case <-ctx.Done():
	}
}

// followDue tells whether the node has to follow the members on the store: it is a
// reader, or no reader has told lately that it does.
func mustFollowMembers(reader bool, readerReported, now time.Time) bool {
	return reader || now.Sub(readerReported) > readerTimeout
}
