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

// Defaults of fields that an entry leaves out.
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

// Operation is the compiled form of an operation, with the defaults of its
// entry filled in.
type Operation struct {
	Name       string
	Idempotent bool
	Class      outcome.Class
	Deadline   time.Duration
	// LeastShare of its root requests is served before the order of classes counts.
	LeastShare float64
}

// Limits are the limits of one service. Zero slots, connections or queue
// places mean as announced; zero InProgressPerCaller means no limit.
type Limits struct {
	SlotsPerTarget       int
	ConnectionsPerTarget int
	QueuePerTarget       int
	RequestBytes         int64
	AnswerBytes          int64
	InProgressPerCaller  int
	Drain                time.Duration
}

// Retry is the retry policy of one service.
type Retry struct {
	Allowance uint32
	EdgeRatio float64
}

// Objective is the service-level objective of one service.
type Objective struct {
	Goodput float64
	Latency time.Duration
}

// Service is the compiled form of an entry. It is immutable.
type Service struct {
	Name         string
	Owner        string
	Revision     uint64
	Class        outcome.Class
	Limits       Limits
	Deadline     time.Duration
	Retry        Retry
	Objective    Objective
	KeyRetention time.Duration
	// Entry is the source; do not modify it.
	Entry *pb.Entry

	operations map[string]*Operation
	callers    map[string]struct{}
	draining   map[string]struct{}
}

// Operation returns an operation by name.
func (s *Service) Operation(name string) (*Operation, bool) {
	op, ok := s.operations[name]
	return op, ok
}

// Operations returns the names of all operations in order.
func (s *Service) Operations() []string {
	return slices.Sorted(maps.Keys(s.operations))
}

// ListsCaller tells whether allowed_callers lists the caller itself.
func (s *Service) ListsCaller(caller string) bool {
	_, ok := s.callers[caller]
	return ok
}

// AllowsExternalCallers tells whether callers that are not services may call.
func (s *Service) AllowsExternalCallers() bool {
	return s.ListsCaller(AnyExternalCaller)
}

// Draining tells whether the target on this VM shall leave.
func (s *Service) Draining(vm string) bool {
	_, ok := s.draining[vm]
	return ok
}

// Snapshot is an immutable view of the catalogue. All methods are safe for
// concurrent use and the look-ups do not allocate.
type Snapshot struct {
	next     uint64
	services map[string]*Service
	deleted  map[string]uint64
}

// Next returns the offset after the last record in the snapshot.
func (s *Snapshot) Next() uint64 { return s.next }

// Service returns a service by name.
func (s *Snapshot) Service(name string) (*Service, bool) {
	service, ok := s.services[name]
	return service, ok
}

// Services returns the names of all services in order.
func (s *Snapshot) Services() []string {
	return slices.Sorted(maps.Keys(s.services))
}

// Len returns the number of services.
func (s *Snapshot) Len() int { return len(s.services) }

// Allowed tells whether the caller may call the service. The caller is a
// service name, a certificate name or empty for an anonymous caller. AnyCaller
// admits only callers that are not services of the catalogue.
func (s *Snapshot) Allowed(service *Service, caller string) bool {
	if caller != AnyExternalCaller && service.ListsCaller(caller) {
		return true
	}
	_, internal := s.services[caller]
	return !internal && service.AllowsExternalCallers()
}

// Revision returns the base revision that the next change of a service must
// name: that of the entry, of its tombstone, or 0.
func (s *Snapshot) Revision(service string) uint64 {
	if found, ok := s.services[service]; ok {
		return found.Revision
	}
	return s.deleted[service]
}

// Snapshot returns an immutable view. Only entries that changed since the
// last call are compiled.
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
		callers:      set(entry.GetAllowedCallers()),
		draining:     set(entry.GetDrainingVms()),
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

// leastShare returns that of the operation, of its entry, or the default.
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

func set(values []string) map[string]struct{} {
	if len(values) == 0 {
		return nil
	}
	s := make(map[string]struct{}, len(values))
	for _, v := range values {
		s[v] = struct{}{}
	}
	return s
}
