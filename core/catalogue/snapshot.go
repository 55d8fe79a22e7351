package catalogue

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/primrosemount/primrosemount/core/leastshare"
	"github.com/primrosemount/primrosemount/core/outcome"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// Defaults for fields that an entry does not set.
const (
	DefaultDeadline     = 10 * time.Second
	DefaultDrain        = 30 * time.Second
	DefaultKeyRetention = 10 * time.Minute
	DefaultRequestBytes = 1 << 20
	DefaultAnswerBytes  = 4 << 20
	DefaultAllowance    = 3
	DefaultEdgeRatio    = 0.1
	DefaultGoodput      = 0.99
)

// An Operation is the compiled form of an operation, with the defaults of its
// entry applied.
type Operation struct {
	Name       string
	Idempotent bool
	Class      outcome.Class
	// Deadline is the longest deadline that a caller may request.
	Deadline time.Duration
	// LeastShare is the minimum share of the operation's root requests that is
	// admitted before the order of classes counts.
	LeastShare float64
}

// Limits are the limits of one service. If SlotsPerTarget or
// ConnectionsPerTarget is zero, the number that the target announces applies.
// If QueuePerTarget is zero, the length of the queue is derived from the slots.
// If InProgressPerCaller is zero, there is no limit per caller.
type Limits struct {
	SlotsPerTarget       int
	ConnectionsPerTarget int
	QueuePerTarget       int
	RequestBytes         int64
	AnswerBytes          int64
	InProgressPerCaller  int
	Drain                time.Duration
}

// A Retry is the retry policy of one service.
type Retry struct {
	// Allowance is the number of retries for one root request, counted across
	// its whole call chain.
	Allowance uint32
	// EdgeRatio is the number of retries from one service to another as a share
	// of the first attempts between them.
	EdgeRatio float64
}

// An Objective is the service-level objective of one service.
type Objective struct {
	// Goodput is the share of requests that must succeed within Latency.
	Goodput float64
	Latency time.Duration
}

// A Service is the compiled form of an entry. It is immutable.
type Service struct {
	Name      string
	Owner     string
	Revision  uint64
	Class     outcome.Class
	Limits    Limits
	Deadline  time.Duration
	Retry     Retry
	Objective Objective
	// KeyRetention is the time for which idempotency keys and their responses
	// are kept.
	KeyRetention time.Duration
	// Entry is the entry from which the service was compiled. It must not be
	// modified.
	Entry *pb.Entry

	operations map[string]*Operation
	callers    map[string]struct{}
	draining   map[string]struct{}
}

// Operation returns the operation with the given name.
func (s *Service) Operation(name string) (*Operation, bool) {
	op, ok := s.operations[name]
	return op, ok
}

// Operations returns the names of all operations, in sorted order.
func (s *Service) Operations() []string {
	return slices.Sorted(maps.Keys(s.operations))
}

// ListsCaller reports whether allowed_callers contains the given caller.
func (s *Service) ListsCaller(caller string) bool {
	_, ok := s.callers[caller]
	return ok
}

// AllowsExternalCallers reports whether callers that are not services of the
// catalogue are allowed.
func (s *Service) AllowsExternalCallers() bool {
	return s.ListsCaller(AnyExternalCaller)
}

// Draining reports whether the target on the given VM has to drain.
func (s *Service) Draining(vm string) bool {
	_, ok := s.draining[vm]
	return ok
}

// A Snapshot is an immutable view of the catalogue. All methods are safe for
// concurrent use, and lookups do not allocate memory.
type Snapshot struct {
	next     uint64
	services map[string]*Service
	deleted  map[string]uint64
}

// Next returns the offset after the last record that the snapshot includes.
func (s *Snapshot) Next() uint64 { return s.next }

// Service returns the service with the given name.
func (s *Snapshot) Service(name string) (*Service, bool) {
	service, ok := s.services[name]
	return service, ok
}

// Services returns the names of all services, in sorted order.
func (s *Snapshot) Services() []string {
	return slices.Sorted(maps.Keys(s.services))
}

// Len returns the number of services.
func (s *Snapshot) Len() int { return len(s.services) }

// Allowed reports whether a caller may call a service. The caller is the name
// of a service, the name in a certificate, or empty for an anonymous caller.
// AnyExternalCaller allows only callers that are not services of the catalogue.
func (s *Snapshot) Allowed(service *Service, caller string) bool {
	if caller != AnyExternalCaller && service.ListsCaller(caller) {
		return true
	}
	_, internal := s.services[caller]
	return !internal && service.AllowsExternalCallers()
}

// Revision returns the base revision that the next change of a service must
// name: the revision of its entry or of its tombstone, or 0 if there is
// neither.
func (s *Snapshot) Revision(service string) uint64 {
	if found, ok := s.services[service]; ok {
		return found.Revision
	}
	return s.deleted[service]
}

// Snapshot returns an immutable view of the current state. It compiles only the
// entries that have changed since the previous call.
func (s *State) Snapshot() *Snapshot {
	if s.view.next == s.next && len(s.dirty) == 0 {
		return s.view
	}
	view := &Snapshot{next: s.next, services: s.view.services, deleted: s.view.deleted}
	if len(s.dirty) > 0 {
		view.services = cloneMap(view.services)
		view.deleted = cloneMap(view.deleted)
	}
	for service := range s.dirty {
		s.compile(view, service)
	}
	clear(s.dirty)
	s.view = view
	return view
}

func cloneMap[V any](m map[string]V) map[string]V {
	if m == nil {
		return map[string]V{}
	}
	return maps.Clone(m)
}

func (s *State) compile(view *Snapshot, service string) {
	delete(view.services, service)
	delete(view.deleted, service)
	if e := s.entries[service]; e != nil {
		view.services[service] = compile(e)
	}
	if t := s.tombstones[service]; t != nil {
		view.deleted[service] = t.GetRevision()
	}
}

// compile returns the service that an entry describes.
func compile(e *pb.EntryState) *Service {
	entry := e.GetEntry()
	s := &Service{
		Name:         entry.GetService(),
		Owner:        entry.GetOwner(),
		Revision:     e.GetRevision(),
		Class:        outcome.ClassFromProto(entry.GetClass()),
		Limits:       compileLimits(entry.GetLimits()),
		Deadline:     orDefault(entry.GetDeadline(), DefaultDeadline),
		Retry:        compileRetry(entry.GetRetry()),
		KeyRetention: orDefault(entry.GetKeyRetention(), DefaultKeyRetention),
		Entry:        entry,
		callers:      toSet(entry.GetAllowedCallers()),
		draining:     toSet(entry.GetDrainingVms()),
	}
	s.Objective = compileObjective(entry.GetObjective(), s.Deadline)
	s.operations = compileOperations(s, entry.GetOperations())
	return s
}

func compileOperations(s *Service, operations []*pb.Operation) map[string]*Operation {
	compiled := make(map[string]*Operation, len(operations))
	for _, op := range operations {
		class := s.Class
		if op.GetClass() != pb.Class_CLASS_UNSPECIFIED {
			class = outcome.ClassFromProto(op.GetClass())
		}
		compiled[op.GetName()] = &Operation{
			Name:       op.GetName(),
			Idempotent: op.GetIdempotent(),
			Class:      class,
			Deadline:   orDefault(op.GetDeadline(), s.Deadline),
			LeastShare: leastShare(s.Entry, op),
		}
	}
	return compiled
}

// leastShare returns the least share of an operation: its own, that of its
// entry, or the default.
func leastShare(entry *pb.Entry, op *pb.Operation) float64 {
	switch {
	case op.LeastShare != nil:
		return op.GetLeastShare()
	case entry.LeastShare != nil:
		return entry.GetLeastShare()
	default:
		return leastshare.Default
	}
}

func compileLimits(l *pb.Limits) Limits {
	limits := Limits{
		SlotsPerTarget:       int(l.GetSlotsPerTarget()),
		ConnectionsPerTarget: int(l.GetConnectionsPerTarget()),
		QueuePerTarget:       int(l.GetQueuePerTarget()),
		RequestBytes:         int64(l.GetRequestBytes()),
		AnswerBytes:          int64(l.GetAnswerBytes()),
		InProgressPerCaller:  int(l.GetInProgressPerCaller()),
		Drain:                orDefault(l.GetDrain(), DefaultDrain),
	}
	if limits.RequestBytes == 0 {
		limits.RequestBytes = DefaultRequestBytes
	}
	if limits.AnswerBytes == 0 {
		limits.AnswerBytes = DefaultAnswerBytes
	}
	return limits
}

func compileRetry(r *pb.RetryPolicy) Retry {
	if r == nil {
		return Retry{Allowance: DefaultAllowance, EdgeRatio: DefaultEdgeRatio}
	}
	return Retry{Allowance: r.GetAllowance(), EdgeRatio: r.GetEdgeRatio()}
}

func compileObjective(o *pb.Objective, deadline time.Duration) Objective {
	objective := Objective{Goodput: o.GetGoodput(), Latency: orDefault(o.GetLatency(), deadline)}
	if objective.Goodput == 0 {
		objective.Goodput = DefaultGoodput
	}
	return objective
}

func orDefault(d *durationpb.Duration, fallback time.Duration) time.Duration {
	if d == nil {
		return fallback
	}
	return d.AsDuration()
}

func toSet(values []string) map[string]struct{} {
	if len(values) == 0 {
		return nil
	}
	s := make(map[string]struct{}, len(values))
	for _, v := range values {
		s[v] = struct{}{}
	}
	return s
}
