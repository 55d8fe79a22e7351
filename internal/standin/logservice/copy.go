package logservice

import (
	"maps"
	"slices"

	"github.com/primrosemount/primrosemount/core/era"
)

// A Copy is the content of the service at one moment.
type Copy struct{ streams map[string]*stream }

// Copy returns a copy of the present content.
func (s *Service) Copy() Copy {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return Copy{streams: cloneStreams(s.streams)}
}

// Restore replaces the content by a copy: records appended since the copy was made are
// lost, and their offsets are given out again. It starts the next era if responses tell
// the era. A copy can be restored several times.
func (s *Service) Restore(c Copy) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.streams = cloneStreams(c.streams)
	s.returns++
	if s.era != era.Unknown {
		s.era++
	}
	s.wakeReaders()
}

// SetEra sets the era that responses tell. A new service tells none, like a store that
// does not know eras.
func (s *Service) SetEra(number uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.era = era.FromNumber(&number)
}

// eraAndReturns returns the present era and the number of returns from a copy.
func (s *Service) eraAndReturns() (present era.Era, returns int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.era, s.returns
}

// wakeReaders ends the waits of all reads. The mutex must be held.
func (s *Service) wakeReaders() {
	close(s.appended)
	s.appended = make(chan struct{})
}

func cloneStreams(streams map[string]*stream) map[string]*stream {
	clones := make(map[string]*stream, len(streams))
	for name, st := range streams {
		clones[name] = &stream{firstOffset: st.firstOffset, records: slices.Clone(st.records), newest: maps.Clone(st.newest)}
	}
	return clones
}
