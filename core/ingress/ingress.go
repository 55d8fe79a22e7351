// Package ingress holds the routes along which a node relays HTTP requests, as
// the operator's configuration defines them.
//
// A Table is one version of the configuration. It is immutable and safe for
// concurrent use; a node swaps in a whole new table.
package ingress

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// Destination is one service that a route leads to, with its share of the requests.
type Destination struct {
	Service string
	// Weight is relative to the sum over all parts of the route.
	Weight int
}

// Route says where requests of one host and path go and how they are treated.
type Route struct {
	Name string
	// Host is the lower-case host without port.
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time from the arrival of a request to its final answer.
	Timeout time.Duration
	// TargetLatency is the time within which an answer is of full use.
	TargetLatency time.Duration
	// Priority is the rank of the route; 0 is the most important.
	Priority int
	// MaxAttempts is the largest number of targets that one request is sent to.
	MaxAttempts int
	// Destinations has at least one element.
	Destinations []Destination
	// totalWeight is the sum of the weights of Destinations.
	totalWeight int
}

// Class returns the class of the route's priority.
func (r *Route) Class() outcome.Class {
	switch {
	case r.Priority <= 0:
		return outcome.Critical
	case r.Priority == 1:
		return outcome.Normal
	default:
		return outcome.Sheddable
	}
}

// ChooseService returns the service of a request. The choice depends on the request's
// id only, so it does not move when a part is short of room.
func (r *Route) ChooseService(requestID string) string {
	if len(r.Destinations) == 1 || r.totalWeight <= 0 {
		return r.Destinations[0].Service
	}
	point := int(xxhash.Sum64String(requestID) % uint64(r.totalWeight))
	for _, part := range r.Destinations {
		if point < part.Weight {
			return part.Service
		}
		point -= part.Weight
	}
	return r.Destinations[len(r.Destinations)-1].Service
}

// Service is what the configuration says about one service.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one target; 0 means no bound.
	MaxConnections int
}

// Limits bound what a client may send; 0 means no bound.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
}

// Table is one version of the configuration.
type Table struct {
	Version  uint64
	Limits   Limits
	services map[string]Service
	// byHost holds the routes of each host, longest prefix first.
	byHost map[string][]*Route
}

// NewTable returns a Table. Routes without parts are left out.
func NewTable(version uint64, routes []Route, services []Service, limits Limits) *Table {
	t := &Table{
		Version:  version,
		Limits:   limits,
		services: make(map[string]Service, len(services)),
		byHost:   make(map[string][]*Route),
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	for i := range routes {
		t.add(routes[i])
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, longestPrefixFirst)
	}
	return t
}

func (t *Table) add(r Route) {
	if len(r.Destinations) == 0 {
		return
	}
	for _, part := range r.Destinations {
		r.totalWeight += part.Weight
	}
	r.Host = strings.ToLower(r.Host)
	t.byHost[r.Host] = append(t.byHost[r.Host], &r)
}

func longestPrefixFirst(a, b *Route) int {
	return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
}

// Match returns the route with the longest prefix that begins the path, or nil.
// The host may carry a port.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.byHost[hostName(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Service returns what the configuration says about a service.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int {
	n := 0
	for _, list := range t.byHost {
		n += len(list)
	}
	return n
}

func hostName(host string) string {
	if strings.Contains(host, ":") {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	return strings.ToLower(host)
}
