package relay

import (
	"sync"
	"sync/atomic"
)

const (
	// largeResponseBytes is the size from which the responses of a route are
	// remembered.
	largeResponseBytes = 64 << 10
	// sizeDecayDivisor is the part of the difference by which a remembered size falls
	// with each smaller response.
	sizeDecayDivisor = 16
	// maxLargeRoutes limits the number of routes that are remembered.
	maxLargeRoutes = 1024
)

// responseSizes remembers the size of the large responses of each route, so that a
// request is refused before it runs if there is no memory for its response. It is safe
// for concurrent use.
type responseSizes struct {
	// large is the number of routes in byRoute.
	large   atomic.Int64
	mu      sync.Mutex
	byRoute map[string]int64
}

func newResponseSizes() *responseSizes { return &responseSizes{byRoute: make(map[string]int64)} }

// expected returns the size of a response of a route in bytes, or 0 if it is small or
// unknown.
func (s *responseSizes) expected(route string) int64 {
	if s.large.Load() == 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byRoute[route]
}

// observe records the size of a response. The expected size follows larger responses at
// once and smaller ones slowly.
func (s *responseSizes) observe(route string, size int64) {
	if size < largeResponseBytes && s.large.Load() == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	expected := s.byRoute[route]
	if size < expected {
		size = expected - max((expected-size)/sizeDecayDivisor, 1)
	}
	switch {
	case size < largeResponseBytes:
		delete(s.byRoute, route)
	case expected > 0 || len(s.byRoute) < maxLargeRoutes:
		s.byRoute[route] = size
	}
	s.large.Store(int64(len(s.byRoute)))
}
