// Package outcome defines the result of a request as reported to its caller: the
// outcome, the reason, the class and level of the request, and the error that carries
// them from the gate to the caller.
package outcome

import (
	"strings"
	"time"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// An Outcome states what is known about the execution of an operation.
type Outcome uint8

// The three outcomes. NotRun is reported only if it is proven that the operation did
// not run.
const (
	Completed Outcome = Outcome(pb.Outcome_OUTCOME_COMPLETED)
	NotRun    Outcome = Outcome(pb.Outcome_OUTCOME_NOT_RUN)
	Unknown   Outcome = Outcome(pb.Outcome_OUTCOME_UNKNOWN)
)

// String returns the schema name in lower case, for example "not_run".
func (o Outcome) String() string {
	return schemaName(pb.Outcome(o).String(), "OUTCOME_")
}

// Proto returns the schema value.
func (o Outcome) Proto() pb.Outcome { return pb.Outcome(o) }

// FromProto converts a schema value. An unspecified outcome becomes Unknown, because it
// proves nothing about the execution.
func FromProto(o pb.Outcome) Outcome {
	if o == pb.Outcome_OUTCOME_COMPLETED || o == pb.Outcome_OUTCOME_NOT_RUN {
		return Outcome(o)
	}
	return Unknown
}

// A Class ranks requests by importance; a lower number is more important.
type Class uint8

// The classes, most important first.
const (
	Critical  Class = Class(pb.Class_CLASS_CRITICAL)
	Normal    Class = Class(pb.Class_CLASS_NORMAL)
	Sheddable Class = Class(pb.Class_CLASS_SHEDDABLE)
)

// Assured is the rank of requests that are admitted by the least share of their
// operation, before all classes. The least share is the minimum share of an operation's
// requests that is admitted before the order of classes counts. Assured is not a class
// of an operation.
const Assured Class = 0

// String returns the schema name in lower case, for example "critical".
func (c Class) String() string {
	if c == Assured {
		return "assured"
	}
	return schemaName(pb.Class(c).String(), "CLASS_")
}

// Proto returns the schema value.
func (c Class) Proto() pb.Class { return pb.Class(c) }

// ClassFromProto converts a schema value. An unspecified or unknown class becomes
// Normal.
func ClassFromProto(c pb.Class) Class {
	if c >= pb.Class_CLASS_CRITICAL && c <= pb.Class_CLASS_SHEDDABLE {
		return Class(c)
	}
	return Normal
}

// Cohorts is the number of cohorts per class. A cohort is a random subset of the root
// requests of a class; overloaded services shed whole cohorts, and the same ones in all
// services.
const Cohorts = 128

// A Level is the compound priority of a request: its class times Cohorts plus its
// cohort. A lower level is more important. Assured requests precede all classes. A gate
// admits all levels up to its threshold. Zero means that no level is known.
type Level uint16

// MaxLevel is the least important level, which is shed first. A gate with this
// threshold admits every request.
const MaxLevel = Level(Sheddable)*Cohorts + Cohorts - 1

// LevelOf returns the level of a request. Only the low seven bits of cohort are used.
// The result is never zero.
func LevelOf(c Class, cohort uint32) Level {
	return max(Level(c)*Cohorts+Level(cohort%Cohorts), 1)
}

// LevelFromProto converts a level that another node sent. Values above MaxLevel become
// MaxLevel; without the bound, large ones would wrap to the most important levels.
func LevelFromProto(level uint32) Level { return Level(min(level, uint32(MaxLevel))) }

// LevelOfContext returns the level of a call from the context of its root request.
func LevelOfContext(context *pb.RequestContext) Level {
	class := ClassFromProto(context.GetClass())
	if context.GetAssured() {
		class = Assured
	}
	return LevelOf(class, context.GetCohort())
}

// Class returns the class of the level.
func (l Level) Class() Class { return Class(l / Cohorts) }

// Cohort returns the cohort of the level, which is less than Cohorts.
func (l Level) Cohort() uint32 { return uint32(l % Cohorts) }

// Boosted returns the level that is more important by boost levels, but within the same
// class.
func (l Level) Boosted(boost Level) Level { return l - min(boost, l%Cohorts) }

// RootIDBytes is the length of a root request's identifier in bytes.
const RootIDBytes = 16

// CohortOf derives the cohort of a root request from its random identifier, so that
// every service that receives the request computes the same cohort.
func CohortOf(rootID []byte) uint32 {
	if len(rootID) == 0 {
		return Cohorts - 1
	}
	return uint32(rootID[len(rootID)-1]) % Cohorts
}

// A Reason explains an outcome. The values are those of the Reason enum of the schema.
type Reason uint8

// String returns the schema name in lower case, for example "key_conflict".
func (r Reason) String() string {
	return schemaName(pb.Reason(r).String(), "REASON_")
}

// Proto returns the schema value.
func (r Reason) Proto() pb.Reason { return pb.Reason(r) }

func schemaName(name, prefix string) string {
	return strings.ToLower(strings.TrimPrefix(name, prefix))
}

// An Error is the typed error of a request that received no complete response. No other
// type carries an outcome from the gate to the caller.
type Error struct {
	Outcome Outcome
	Reason  Reason
	// Detail describes the specific failure. The remedy follows from the reason.
	Detail string
	// RequestID is the identifier of the root request in hexadecimal, or empty if none
	// was assigned.
	RequestID string
	// RetryAfter is the suggested wait before a retry. Zero means no suggestion.
	RetryAfter time.Duration
}

// New returns an Error. It panics if o is Completed, because a completed operation is
// not an error.
func New(o Outcome, r Reason, detail string) *Error {
	if o == Completed {
		panic("outcome: a completed operation is not an error")
	}
	return &Error{Outcome: o, Reason: r, Detail: detail}
}

// Error returns the detail, outcome, reason and remedy on one line.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(e.Detail)
	if e.Detail == "" {
		b.WriteString(e.Reason.String())
	}
	b.WriteString(" (outcome ")
	b.WriteString(e.Outcome.String())
	b.WriteString(", reason ")
	b.WriteString(e.Reason.String())
	b.WriteString("): ")
	b.WriteString(e.Reason.Remedy())
	return b.String()
}

// Retryable reports whether a new attempt cannot cause an unwanted second execution.
// Idempotent operations may also be retried if the outcome is unknown.
func (e *Error) Retryable(idempotent bool) bool {
	if !e.Reason.transient() {
		return false
	}
	return e.Outcome == NotRun || idempotent
}
