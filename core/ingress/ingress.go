// Package ingress holds the routes by which a node relays HTTP requests, as
// defined in the operator's configuration.
//
// A Table is one version of the configuration. It is immutable and safe for
// concurrent use. On a change of the configuration, a node replaces the whole
// table.
package ingress

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosemount/primrosemount/core/account"
	"github.com/primrosemount/primrosemount/core/outcome"
)

// A Destination is a service to which a route sends a share of its requests.
type Destination struct {
	Service string
	// Weight determines the share, relative to the sum of the weights of the
	// route.
	Weight int
}

// A Route defines where requests for a host and path prefix are sent and how
// they are treated.
type Route struct {
	Name string
	// Host is the host name in lower case, without a port.
	Host string
	// PathPrefix starts and ends with a slash.
	PathPrefix string
	// Idempotent is true if requests may be executed more than once.
	Idempotent bool
	// Timeout is the maximum time from the arrival of a request to its final
	// response.
	Timeout time.Duration
	// TargetLatency is the time within which a response has its full value to
	// the client.
	TargetLatency time.Duration
	// Priority is the priority of the route; 0 is the highest.
	Priority int
	// Attempts is the maximum number of targets to which one request is sent.
	Attempts int
	// Destinations has at least one element.
	Destinations []Destination
	// Public is true if requests need no key of a client account.
	Public bool
	// LargeBodies is true if the bodies of requests are large.
	LargeBodies bool
	// totalWeight is the sum of the weights of Destinations.
	totalWeight int
}

// Class returns the class for the route's priority.
func (r *Route) Class() outcome.Class { return ClassOf(r.Priority) }

// ClassOf returns the class for a priority of a route or a client account.
func ClassOf(priority int) outcome.Class {
	switch {
	case priority <= 0:
		return outcome.Critical
	case priority == 1:
		return outcome.Normal
	default:
		return outcome.Sheddable
	}
}

// ChooseService returns the service for a request. The choice depends only on
// the request's ID, so it does not change when a service lacks free capacity.
func (r *Route) ChooseService(requestID string) string {
	if len(r.Destinations) == 1 || r.totalWeight <= 0 {
		return r.Destinations[0].Service
	}
	point := int(xxhash.Sum64String(requestID) % uint64(r.totalWeight))
	for _, destination := range r.Destinations {
		if point < destination.Weight {
			return destination.Service
		}
		point -= destination.Weight
	}
	return r.Destinations[len(r.Destinations)-1].Service
}

// A Service holds the configuration of one service.
type Service struct {
	Name string
	// MaxConnections is the maximum number of connections to one target; 0
	// means no limit.
	MaxConnections int
}

// Limits are the maximum sizes of what a client may send; 0 means no limit.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
}

// Features are parts of the product that only some configurations call for.
type Features struct {
	// PlaceByCost chooses targets by the expected cost of requests and the work that
	// targets have left.
	PlaceByCost bool
	// LimitByRetryBudget refuses root requests whose calls the retry budget cannot
	// finish.
	LimitByRetryBudget bool
}

// A Table is one version of the configuration.
type Table struct {
	Version uint64
	Limits  Limits
	// Accounts holds the client accounts. It is nil if the configuration has none;
	// requests then need no key.
	Accounts *account.Directory
	Features Features
	services map[string]Service
	// byHost holds the routes of each host, longest path prefix first.
	byHost map[string][]*Route
}

// NewTable returns a Table with the given routes and services. Routes without
// destinations are omitted.
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
	for _, destination := range r.Destinations {
		r.totalWeight += destination.Weight
	}
	r.Host = strings.ToLower(r.Host)
	t.byHost[r.Host] = append(t.byHost[r.Host], &r)
}

func longestPrefixFirst(a, b *Route) int {
	return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
}

// Match returns the route of the host with the longest prefix that matches the
// path, or nil. The host may include a port.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.byHost[hostName(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Service returns the configuration of a service.
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
