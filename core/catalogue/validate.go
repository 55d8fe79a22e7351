package catalogue

import (
	"fmt"
	"math"
	"regexp"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// Bounds of an entry. They keep the encoded state of 770 services under the
// size of one message between nodes.
const (
	// MaxNameBytes is the longest name of a service, operation or owner.
	MaxNameBytes = 63
	// MaxCallerBytes is the longest certificate name, the limit of DNS names.
	MaxCallerBytes = 253
	// MaxOperations bounds the operations of one entry.
	MaxOperations = 256
	// MaxCallers bounds the allowed callers of one entry.
	MaxCallers = 1024
	// MaxDrainingVMs bounds the draining VMs of one entry.
	MaxDrainingVMs = 1024
	// MaxEntryBytes bounds the encoded entry.
	MaxEntryBytes = 64 << 10
	// MaxBodyBytes bounds request_bytes and answer_bytes; bodies are held whole.
	MaxBodyBytes = 64 << 20
	// MaxSlots bounds slots, connections and queue places per target.
	MaxSlots = 1 << 20
	// MaxAllowance bounds the retries of one root request.
	MaxAllowance = 64
	// MaxDeadline is the longest deadline of an operation.
	MaxDeadline = time.Hour
	// MaxDrain is the longest drain.
	MaxDrain = time.Hour
	// MaxKeyRetention bounds the memory of at-most-once tables.
	MaxKeyRetention = 24 * time.Hour
)

// AnyExternalCaller in allowed_callers admits callers that are not services of the catalogue.
const AnyExternalCaller = "*"

var (
	servicePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)
	operationPattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]*[A-Za-z0-9])?$`)
	ownerPattern     = regexp.MustCompile(`^[!-~]([ -~]*[!-~])?$`)
	callerPattern    = regexp.MustCompile(`^[!-~]+$`)
)

// Problem is one fault of an entry.
type Problem struct {
	// Field is the path of the field, for example "operations[2].name".
	Field string
	// Detail says what is wrong.
	Detail string
	// Remedy says what to write instead.
	Remedy string
}

// String returns field, detail and remedy in one line.
func (p Problem) String() string {
	return p.Field + ": " + p.Detail + "; " + p.Remedy
}

// ValidationError lists all problems of one entry.
type ValidationError struct {
	Service  string
	Problems []Problem
}

// Error returns all problems in one line.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return fmt.Sprintf("catalogue: entry %q is invalid: %s", e.Service, strings.Join(lines, " | "))
}

// Validate checks an entry. The error is a *ValidationError with all problems.
func Validate(entry *pb.Entry) error {
	c := &checker{}
	if entry == nil {
		c.add("entry", "is missing", "write an entry with at least service, owner and operations")
		return c.result("")
	}
	c.name("service", entry.GetService(), servicePattern, "use lower-case letters, digits, '.', '_' and '-'")
	c.name("owner", entry.GetOwner(), ownerPattern, "name the operator or team that may change the entry")
	c.class("class", entry.GetClass())
	c.limits(entry.GetLimits())
	c.operations(entry.GetOperations())
	c.callers(entry.GetAllowedCallers())
	c.duration("deadline", entry.GetDeadline(), MaxDeadline)
	c.retry(entry.GetRetry())
	c.objective(entry.GetObjective())
	c.duration("key_retention", entry.GetKeyRetention(), MaxKeyRetention)
	c.vms(entry.GetDrainingVms())
	c.share("least_share", entry.GetLeastShare())
	if size := proto.Size(entry); size > MaxEntryBytes {
		c.add("entry", fmt.Sprintf("has %d bytes", size), fmt.Sprintf("shorten it to %d bytes", MaxEntryBytes))
	}
	return c.result(entry.GetService())
}

type checker struct {
	problems []Problem
}

func (c *checker) add(field, detail, remedy string) {
	c.problems = append(c.problems, Problem{Field: field, Detail: detail, Remedy: remedy})
}

func (c *checker) result(service string) error {
	if len(c.problems) == 0 {
		return nil
	}
	return &ValidationError{Service: service, Problems: c.problems}
}

func (c *checker) name(field, value string, pattern *regexp.Regexp, remedy string) {
	switch {
	case value == "":
		c.add(field, "is empty", remedy)
	case len(value) > MaxNameBytes:
		c.add(field, fmt.Sprintf("has %d bytes", len(value)), fmt.Sprintf("use at most %d bytes", MaxNameBytes))
	case !pattern.MatchString(value):
		c.add(field, fmt.Sprintf("%q has characters that are not allowed", value), remedy)
	}
}

func (c *checker) class(field string, class pb.Class) {
	if class < pb.Class_CLASS_UNSPECIFIED || class > pb.Class_CLASS_SHEDDABLE {
		c.add(field, fmt.Sprintf("has the unknown value %d", class), "use critical, normal or sheddable")
	}
}

func (c *checker) atMost(field string, value, limit uint64) {
	if value > limit {
		c.add(field, fmt.Sprintf("is %d", value), fmt.Sprintf("use at most %d", limit))
	}
}

func (c *checker) count(field string, n, limit int) {
	if n > limit {
		c.add(field, fmt.Sprintf("has %d items", n), fmt.Sprintf("use at most %d", limit))
	}
}

// duration accepts an unset duration, which selects the default.
func (c *checker) duration(field string, d *durationpb.Duration, limit time.Duration) {
	if d == nil {
		return
	}
	if d.CheckValid() != nil || d.AsDuration() <= 0 || d.AsDuration() > limit {
		c.add(field, fmt.Sprintf("is %s", d.AsDuration()), fmt.Sprintf("use more than 0s and at most %s, or leave it out for the default", limit))
	}
}

// share checks a number between 0 and 1; a comparison with NaN is false.
func (c *checker) share(field string, value float64) {
	if math.IsNaN(value) || value < 0 || value > 1 {
		c.add(field, fmt.Sprintf("is %v", value), "use a share from 0 to 1, for example 0.1")
	}
}

func (c *checker) limits(l *pb.Limits) {
	c.atMost("limits.slots_per_target", uint64(l.GetSlotsPerTarget()), MaxSlots)
	c.atMost("limits.connections_per_target", uint64(l.GetConnectionsPerTarget()), MaxSlots)
	c.atMost("limits.queue_per_target", uint64(l.GetQueuePerTarget()), MaxSlots)
	c.atMost("limits.request_bytes", l.GetRequestBytes(), MaxBodyBytes)
	c.atMost("limits.answer_bytes", l.GetAnswerBytes(), MaxBodyBytes)
	c.atMost("limits.in_progress_per_caller", uint64(l.GetInProgressPerCaller()), MaxSlots)
	c.duration("limits.drain", l.GetDrain(), MaxDrain)
}

func (c *checker) operations(operations []*pb.Operation) {
	if len(operations) == 0 {
		c.add("operations", "is empty", "list the operations that callers may use")
	}
	c.count("operations", len(operations), MaxOperations)
	seen := map[string]int{}
	for i, op := range operations {
		field := fmt.Sprintf("operations[%d]", i)
		c.name(field+".name", op.GetName(), operationPattern, "use letters, digits, '.', '_' and '-'")
		c.unique(field+".name", op.GetName(), i, seen)
		c.class(field+".class", op.GetClass())
		c.duration(field+".deadline", op.GetDeadline(), MaxDeadline)
		c.share(field+".least_share", op.GetLeastShare())
	}
}

func (c *checker) unique(field, value string, i int, seen map[string]int) {
	if first, ok := seen[value]; ok {
		c.add(field, fmt.Sprintf("%q repeats item %d", value, first), "remove one of the two")
		return
	}
	seen[value] = i
}

func (c *checker) callers(callers []string) {
	c.names("allowed_callers", callers, MaxCallers, "use the name in the certificate of the caller, or \"*\"")
}

func (c *checker) vms(vms []string) {
	c.names("draining_vms", vms, MaxDrainingVMs, "use the name of the VM from its settings")
}

func (c *checker) names(list string, values []string, limit int, remedy string) {
	c.count(list, len(values), limit)
	seen := map[string]int{}
	for i, value := range values {
		field := fmt.Sprintf("%s[%d]", list, i)
		if len(value) > MaxCallerBytes || !callerPattern.MatchString(value) {
			c.add(field, fmt.Sprintf("%.40q is no valid name", value), remedy)
		}
		c.unique(field, value, i, seen)
	}
}

func (c *checker) retry(r *pb.RetryPolicy) {
	c.atMost("retry.allowance", uint64(r.GetAllowance()), MaxAllowance)
	c.share("retry.edge_ratio", r.GetEdgeRatio())
}

func (c *checker) objective(o *pb.Objective) {
	c.share("objective.goodput", o.GetGoodput())
	c.duration("objective.latency", o.GetLatency(), MaxDeadline)
}
