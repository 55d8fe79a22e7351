package relay

import (
	"context"
	"sync"
	"time"
)

const (
	// readerTimeout is how long a node waits for a report of a reader that follows
	// the store before it follows the store directly. A synchronization with a
	// reader is due every syncInterval, and if it fails, the next reader is tried
	// immediately.
	readerTimeout = syncInterval + syncTimeout
	// randomPeerTurns is the number of synchronizations with readers for each one
	// with a random node. The latter make the zones converge even if all readers of
	// a zone are disconnected.
	randomPeerTurns = 4
)

// storeRole holds whether this node follows a topic of the store directly. See
// membersTask.chooseRole. It is safe for concurrent use.
type storeRole struct {
	mu      sync.Mutex
	follows bool
	// following is closed when the node starts to follow the store.
	following chan struct{}
}

// newStoreRole returns the initial role: the node follows the store, because no
// reader has reported yet.
func newStoreRole() *storeRole {
	following := make(chan struct{})
	close(following)
	return &storeRole{follows: true, following: following}
}

// set changes the role and reports whether it differs from the previous one.
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

// active reports whether the node follows the store.
func (r *storeRole) active() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.follows
}

// waitActive returns when the node follows the store or the context ends.
func (r *storeRole) waitActive(ctx context.Context) {
	r.mu.Lock()
	following := r.following
	r.mu.Unlock()
	select {
	case <-following:
	case <-ctx.Done():
	}
}

// mustFollowMembers reports whether the node must follow the members on the store
// directly: it is a reader, or no reader has recently reported that it follows the
// store.
func mustFollowMembers(reader bool, readerReported, now time.Time) bool {
	return reader || now.Sub(readerReported) > readerTimeout
}
