// Package callgraph finds the request to which a call of the target belongs.
//
// Model. A target that works on several requests at a time makes calls for them.
// Ids of calls are hierarchical: the id of a call is that of its parent, a dot,
// and a part of its own. The relation counts only if a request with the parent's
// id runs at the target at the moment, so a client that sends such an id by
// itself gains nothing. Calls with other ids have no known parent and are treated
// like new requests.
//
// A Graph is safe for concurrent use.
package callgraph

import (
	"strings"
	"sync"

	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/core/threshold"
)

// separator divides the parts of an id.
const separator = '.'

// Parent is a request that runs at the target.
type Parent struct {
	Route string
	Level outcome.Level
	Trial bool
	// Retried tells that the request may have run before.
	Retried bool
	// PriorCompletedCalls counts the calls that were completed for the root request before
	// this one was sent.
	PriorCompletedCalls uint32
	// Run collects the calls of the request.
	Run *threshold.Run
}

// CompletedCalls counts the calls that were completed for the root request, as far
// as this node knows.
func (p Parent) CompletedCalls() uint32 { return p.PriorCompletedCalls + p.Run.CompletedCalls() }

// Graph holds the requests that run at the target of one node.
type Graph struct {
	mu      sync.RWMutex
	running map[string]Parent
}

// New returns a Graph without requests.
func New() *Graph { return &Graph{running: make(map[string]Parent)} }

// Start adds a request with the id of its attempt.
func (g *Graph) Start(id string, p Parent) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running[id] = p
}

// End forgets a request.
func (g *Graph) End(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.running, id)
}

// Find returns the running request to which a call with the id belongs.
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
