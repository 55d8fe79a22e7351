package httpapi

import (
	"sync"
	"time"

	"github.com/primrosemount/primrosemount/core/catalogue"
	"github.com/primrosemount/primrosemount/core/outcome"
)

// policy holds the catalogue entries that apply to a call. Either field is nil
// if the catalogue does not contain it.
type policy struct {
	service   *catalogue.Service
	operation *catalogue.Operation
}

// deadline returns the time that a call may take: the time that the caller
// requests, bounded by the deadline in the catalogue.
func (p policy) deadline(requested time.Duration) time.Duration {
	if requested > 0 && requested < p.operation.Deadline {
		return requested
	}
	return p.operation.Deadline
}

// leastShareAccount returns the key of the operation in the least share
// tracker.
func (p policy) leastShareAccount() string { return p.service.Name + "/" + p.operation.Name }

// knownPolicy returns the parts of a refused call that are in the catalogue.
func knownPolicy(service *catalogue.Service, operation string) policy {
	if service == nil {
		return policy{}
	}
	op, _ := service.Operation(operation)
	return policy{service: service, operation: op}
}

// resolve returns the policy of an operation and checks that the caller is
// allowed to call it. With an error, the policy holds the parts that are in the
// catalogue.
func (a *API) resolve(caller, service, operation string) (policy, *outcome.Error) {
	found, err := a.resolveService(caller, service)
	if err != nil {
		return knownPolicy(found, operation), err
	}
	op, ok := found.Operation(operation)
	if !ok {
		return policy{service: found}, outcome.New(outcome.NotRun, outcome.UnknownOperation, "service "+service+" has no operation "+operation)
	}
	return policy{service: found, operation: op}, nil
}

// resolveService returns a service and checks that the caller is allowed to
// call it. The service is also returned if the caller is not allowed.
func (a *API) resolveService(caller, service string) (*catalogue.Service, *outcome.Error) {
	snapshot := a.config.Catalogue()
	if snapshot == nil {
		return nil, outcome.New(outcome.NotRun, outcome.CatalogueUnknown, "the node has no catalogue yet")
	}
	found, ok := snapshot.Service(service)
	if !ok {
		return nil, outcome.New(outcome.NotRun, outcome.UnknownService, "the catalogue has no service "+service)
	}
	if !snapshot.Allowed(found, caller) {
		return found, outcome.New(outcome.NotRun, outcome.NotAllowed, "the caller may not call service "+service)
	}
	return found, nil
}

// callerLimits tracks the number of requests in progress for each caller and
// service. It holds only callers with requests in progress and is safe for
// concurrent use.
type callerLimits struct {
	mutex  sync.Mutex
	counts map[callerKey]int
}

type callerKey struct {
	caller  string
	service string
}

func newCallerLimits() *callerLimits {
	return &callerLimits{counts: make(map[callerKey]int)}
}

// acquire counts a request, which the caller of acquire must end by calling
// release. It returns an error if the limit is reached. A limit of 0 means no
// limit.
func (l *callerLimits) acquire(caller, service string, limit int) (release func(), err *outcome.Error) {
	if limit == 0 {
		return func() {}, nil
	}
	key := callerKey{caller: caller, service: service}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.counts[key] >= limit {
		return nil, outcome.New(outcome.NotRun, outcome.CallerLimit, "the caller has too many requests in progress")
	}
	l.counts[key]++
	return func() { l.decrement(key) }, nil
}

func (l *callerLimits) decrement(key callerKey) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.counts[key]--
	if l.counts[key] == 0 {
		delete(l.counts, key)
	}
}
