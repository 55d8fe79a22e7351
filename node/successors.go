package node

import "sync"

// maxSuccessors limits the recorded successors. When a leave record is applied,
// the member table contains the successor as well, so that old records are no
// longer needed here.
const maxSuccessors = 1024

// successors records which incarnation took over the idempotency keys of a
// draining one, as reported by the draining nodes themselves. It is needed
// until the leave record is applied, in particular while the log is down. It is
// safe for concurrent use.
type successors struct {
	mutex         sync.Mutex
	byIncarnation map[uint64]uint64
	order         []uint64
}

func newSuccessors() *successors { return &successors{byIncarnation: make(map[uint64]uint64)} }

// record records a successor. A successor of 0 means that there is none yet.
func (s *successors) record(incarnation, successor uint64) {
	if successor == 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, ok := s.byIncarnation[incarnation]; !ok {
		s.order = append(s.order, incarnation)
	}
	s.byIncarnation[incarnation] = successor
	if len(s.order) > maxSuccessors {
		delete(s.byIncarnation, s.order[0])
		s.order = s.order[1:]
	}
}

// resolve follows the chain of successors of an incarnation and returns the
// last one.
func (s *successors) resolve(incarnation uint64) (uint64, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	holder, found := s.byIncarnation[incarnation]
	for range len(s.byIncarnation) {
		next, ok := s.byIncarnation[holder]
		if !ok {
			break
		}
		holder = next
	}
	return holder, found
}
