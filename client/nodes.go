package client

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/url"
	"strings"
	"sync/atomic"
	"time"
)

// nodeCooldown is the time for which a node is avoided after a failed request.
const nodeCooldown = 2 * time.Second

// node is one node, known by the base address of its listener for callers.
type node struct {
	base string
	// avoidUntil is a Unix time in nanoseconds.
	avoidUntil atomic.Int64
}

func (n *node) markFailed() { n.avoidUntil.Store(time.Now().Add(nodeCooldown).UnixNano()) }

func (n *node) isAvoided() bool { return time.Now().UnixNano() < n.avoidUntil.Load() }

// nodeList selects nodes in round-robin order.
type nodeList struct {
	nodes []*node
	next  atomic.Uint64
}

// newNodeList returns a list that starts with a random node, so that clients are
// spread over the nodes.
func newNodeList(bases []string) (*nodeList, error) {
	if len(bases) == 0 {
		return nil, errors.New("client: Options.Nodes is empty; name at least one node")
	}
	list := new(nodeList)
	for _, base := range bases {
		u, err := url.Parse(base)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return nil, fmt.Errorf("client: node %q is not a URL such as https://10.0.0.1:8443", base)
		}
		list.nodes = append(list.nodes, &node{base: strings.TrimRight(base, "/")})
	}
	list.next.Store(rand.Uint64N(uint64(len(bases))))
	return list, nil
}

// pick returns the next node that is not last and has not failed recently. If there
// is none, it returns the next node other than last, and last only if it is the
// only node.
func (l *nodeList) pick(last *node) *node {
	start := l.next.Add(1)
	var other *node
	for i := range l.nodes {
		n := l.nodes[(start+uint64(i))%uint64(len(l.nodes))]
		if n == last {
			continue
		}
		if !n.isAvoided() {
			return n
		}
		if other == nil {
			other = n
		}
	}
	if other == nil {
		return last
	}
	return other
}
