package node

import "sync"

// maxSuccessors bounds the remembered successors. The member table names them
// too, once the leave record has arrived.
const maxSuccessors = 1024

// successors remembers which incarnation took over the keys of one that left,
// as the leaving nodes said themselves. It bridges the time until the leave
// record arrives, and outages of the log. It is safe for concurrent use.
type successors struct {
	mutex sync.Mutex
	known map[uint64]uint64
	order []uint64
}

func newSuccessors() *successors { return &successors{known: make(map[uint64]uint64)} }

// note records a successor; 0 means that there is none yet.
func (s *successors) note(leaving, successor uint64) {
	if successor == 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, ok := s.known[leaving]; !ok {
		s.order = append(s.order, leaving)
	}
	s.known[leaving] = successor
	if len(s.order) > maxSuccessors {
		delete(s.known, s.order[0])
		s.order = s.order[1:]
	}
}

// of follows the successors from one that left to the last one known.
func (s *successors) of(leaving uint64) (uint64, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	holder, found := s.known[leaving]
	for range len(s.known) {
		next, ok := s.known[holder]
		if !ok {
			break
		}
		holder = next
	}
	return holder, found
}
