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

// coolDown is how long a node is avoided after a failed connection.
const coolDown = 2 * time.Second

// node is one base address.
type node struct {
	base string
	// avoidUntil is in nanoseconds since 1970.
	avoidUntil atomic.Int64
}

func (n *node) failed() { n.avoidUntil.Store(time.Now().Add(coolDown).UnixNano()) }

func (n *node) avoided() bool { return time.Now().UnixNano() < n.avoidUntil.Load() }

// nodeList hands out nodes in turn.
type nodeList struct {
	nodes []*node
	next  atomic.Uint64
}

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

// pick returns the next node that is not last and has not failed recently. If
// there is none it settles for one that is not last, and then for last.
func (l *nodeList) pick(last *node) *node {
	start := l.next.Add(1)
	var other *node
	for i := range l.nodes {
		n := l.nodes[(start+uint64(i))%uint64(len(l.nodes))]
		if n == last {
			continue
		}
		if !n.avoided() {
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
