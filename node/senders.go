package node

import (
	"sync"
	"time"
)

const (
	// senderMemory is how long a node that sent a message counts as a sender. It
	// is as long as peers keep idle connections.
	senderMemory = peerIdleTimeout
	// maxSenders bounds the remembered senders; the subset of each node keeps
	// the real number far below.
	maxSenders = 1024
)

// senders remembers which incarnations sent messages lately and hence may have
// an open connection. A leaving node tells them. It is safe for concurrent use.
type senders struct {
	mutex sync.Mutex
	seen  map[uint64]time.Time
}

func newSenders() *senders { return &senders{seen: make(map[uint64]time.Time)} }

// note records a message of the sender.
func (s *senders) note(now time.Time, incarnation uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, ok := s.seen[incarnation]; !ok && len(s.seen) >= maxSenders {
		s.forget(now)
	}
	if len(s.seen) < maxSenders {
		s.seen[incarnation] = now
	}
}

// recent lists the senders that still count.
func (s *senders) recent(now time.Time) []uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.forget(now)
	incarnations := make([]uint64, 0, len(s.seen))
	for incarnation := range s.seen {
		incarnations = append(incarnations, incarnation)
	}
	return incarnations
}

func (s *senders) forget(now time.Time) {
	for incarnation, at := range s.seen {
		if now.Sub(at) > senderMemory {
			delete(s.seen, incarnation)
		}
	}
}
