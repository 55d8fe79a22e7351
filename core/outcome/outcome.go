// Package outcome defines what a caller is told about a request: the outcome,
// the reason, the class and level of the request, and the error that carries
// them from the gate to the caller.
package outcome

import (
	"strings"
	"time"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// Outcome is what is known about the execution of an operation.
type Outcome uint8

// The three outcomes. NotRun is reported only with proof.
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

// FromProto converts a schema value. An unspecified outcome is Unknown,
// because nothing is proved about it.
func FromProto(o pb.Outcome) Outcome {
	if o == pb.Outcome_OUTCOME_COMPLETED || o == pb.Outcome_OUTCOME_NOT_RUN {
		return Outcome(o)
	}
	return Unknown
}

// Class orders requests by importance; a lower number is more important.
type Class uint8

// Classes, most important first.
const (
	Critical  Class = Class(pb.Class_CLASS_CRITICAL)
	Normal    Class = Class(pb.Class_CLASS_NORMAL)
	Sheddable Class = Class(pb.Class_CLASS_SHEDDABLE)
)

// Assured is the rank of requests that the least share of their operation admits
// before all classes. It is no class of an operation.
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

// ClassFromProto converts a schema value. An unspecified or unknown class is
// Normal.
func ClassFromProto(c pb.Class) Class {
	if c >= pb.Class_CLASS_CRITICAL && c <= pb.Class_CLASS_SHEDDABLE {
		return Class(c)
	}
	return Normal
}

// Cohorts is the number of cohorts within one class.
const Cohorts = 128

// Level is the compound priority of a request: class rank times Cohorts plus
// cohort. Assured requests come before all classes. A gate admits levels up to its
// threshold, so a lower level is shed later. Zero means that no level is known.
type Level uint16

// MaxLevel is the level that is shed first; a gate with this threshold admits
// every request.
const MaxLevel = Level(Sheddable)*Cohorts + Cohorts - 1

// LevelOf returns the level of a request. Only the low seven bits of cohort
// count. It is never zero.
func LevelOf(c Class, cohort uint32) Level {
	return max(Level(c)*Cohorts+Level(cohort%Cohorts), 1)
}

// LevelOfContext returns the level of a call with the context of its root request.
func LevelOfContext(context *pb.RequestContext) Level {
	class := ClassFromProto(context.GetClass())
	if context.GetAssured() {
		class = Assured
	}
	return LevelOf(class, context.GetCohort())
}

// Class returns the class part of the level.
func (l Level) Class() Class { return Class(l / Cohorts) }

// Cohort returns the cohort part of the level, 0 to Cohorts-1.
func (l Level) Cohort() uint32 { return uint32(l % Cohorts) }

// Boosted returns the level that is lead levels better, within the same class.
func (l Level) Boosted(lead Level) Level { return l - min(lead, l%Cohorts) }

// RootIDBytes is the length of the identifier of a root request.
const RootIDBytes = 16

// CohortOf derives the cohort of a root request from its random identifier, so
// that every service that sees the request computes the same cohort.
func CohortOf(rootID []byte) uint32 {
	if len(rootID) == 0 {
		return Cohorts - 1
	}
	return uint32(rootID[len(rootID)-1]) % Cohorts
}

// Reason explains an outcome. The set is the Reason enum of the schema.
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

// Error is the typed error of a request that got no whole answer. It is the
// only type that carries an outcome from the gate to the caller.
type Error struct {
	Outcome Outcome
	Reason  Reason
	// Detail says what happened in this case; the remedy comes from the reason.
	Detail string
	// RequestID is the root request, in hexadecimal; empty if none was assigned.
	RequestID string
	// RetryAfter is the suggested wait; zero means no suggestion.
	RetryAfter time.Duration
}

// New returns an Error. It panics if o is Completed, because a completed
// operation is not an error.
func New(o Outcome, r Reason, detail string) *Error {
	if o == Completed {
		panic("outcome: a completed operation is not an error")
	}
	return &Error{Outcome: o, Reason: r, Detail: detail}
}

// Error returns detail, outcome, reason and remedy in one line.
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

// Retryable tells whether a new attempt may be made without the risk of a
// second execution. Idempotent work may also be retried when the outcome is
// unknown.
func (e *Error) Retryable(idempotent bool) bool {
	if !e.Reason.transient() {
		return false
	}
	return e.Outcome == NotRun || idempotent
}
