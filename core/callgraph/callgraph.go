// Package callgraph finds the running request for which a target makes a call.
//
// A target that processes several requests concurrently makes calls for them.
// The IDs of calls are hierarchical: the ID of a call is that of its parent, a
// dot, and a suffix. The relation counts only while a request with the parent's
// ID is running at the target, so a client gains nothing by inventing such an
// ID. Calls with other IDs have no known parent and are treated as new
// requests.
package callgraph

import (
	"strings"
	"sync"

	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/core/threshold"
)

// separator separates the parts of an ID.
const separator = '.'

// A Parent is a request that is running at the target.
type Parent struct {
	Route string
	Level outcome.Level
	// Account is the name of the client account of the root request, or empty.
	Account string
	Trial   bool
	// Repeat is true if the request is a retry, so it may have run before.
	Repeat bool
	// PriorCompletedCalls is the number of calls that had been completed for
	// the root request before this request was sent.
	PriorCompletedCalls uint32
	// Run records the calls that the request makes.
	Run *threshold.Run
}

// CompletedCalls returns the number of completed calls of the root request that
// this node has observed or been notified of.
func (p Parent) CompletedCalls() uint32 { return p.PriorCompletedCalls + p.Run.CompletedCalls() }

// A Graph holds the requests that are running at the target of one node. It is
// safe for concurrent use.
type Graph struct {
	mu      sync.RWMutex
	running map[string]Parent
}

// New returns an empty Graph.
func New() *Graph { return &Graph{running: make(map[string]Parent)} }

// Start adds a request under the ID of its attempt.
func (g *Graph) Start(id string, p Parent) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running[id] = p
}

// End removes a request.
func (g *Graph) End(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.running, id)
}

// IsCallID reports whether an ID has the form of the ID of a call. It does not mean that
// the parent is running.
func IsCallID(id string) bool {
	cut := strings.LastIndexByte(id, separator)
	return cut > 0 && cut < len(id)-1
}

// Find returns the running request that made the call with the given ID.
func (g *Graph) Find(id string) (Parent, bool) {
	cut := strings.LastIndexByte(id, separator)
	if cut <= 0 {
		return Parent{}, false
	}
	g.mu.RLock()
	defer g.mu.RUnlock()
	p, ok := g.running[id[:cut]]
	return p, ok
}
