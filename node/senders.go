package node

import (
	"sync"
	"time"
)

const (
	// senderRetention is how long a node counts as a sender after its last
	// message. It equals the time for which peers keep idle connections open.
	senderRetention = peerIdleTimeout
	// maxSenders limits the recorded senders. Each node calls only a subset of
	// the targets, so the actual number is far lower.
	maxSenders = 1024
)

// senders records which incarnations sent messages recently and may therefore
// have an open connection to this node. A draining node notifies them. It is
// safe for concurrent use.
type senders struct {
	mutex    sync.Mutex
	lastSeen map[uint64]time.Time
}

func newSenders() *senders { return &senders{lastSeen: make(map[uint64]time.Time)} }

// record records the time of a message.
func (s *senders) record(now time.Time, incarnation uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, ok := s.lastSeen[incarnation]; !ok && len(s.lastSeen) >= maxSenders {
		s.removeExpired(now)
	}
	if len(s.lastSeen) < maxSenders {
		s.lastSeen[incarnation] = now
	}
}

// recent returns the incarnations that sent a message within senderRetention.
func (s *senders) recent(now time.Time) []uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.removeExpired(now)
	incarnations := make([]uint64, 0, len(s.lastSeen))
	for incarnation := range s.lastSeen {
		incarnations = append(incarnations, incarnation)
	}
	return incarnations
}

func (s *senders) removeExpired(now time.Time) {
	for incarnation, at := range s.lastSeen {
		if now.Sub(at) > senderRetention {
			delete(s.lastSeen, incarnation)
		}
	}
}
