// Package wire names the headers and paths of primrosemount's HTTP interfaces.
package wire

// Headers of requests and answers.
const (
	// CallHeader names the running request on whose behalf a target calls.
	CallHeader = "Primrosemount-Call"
	// RequestIDHeader carries the idempotency key, or the root id, to a target.
	RequestIDHeader = "Primrosemount-Request-Id"
	// DeadlineHeader carries the remaining time as a Go duration.
	DeadlineHeader = "Primrosemount-Deadline"
	// ClassHeader and CohortHeader carry the priority to a target.
	ClassHeader  = "Primrosemount-Class"
	CohortHeader = "Primrosemount-Cohort"
	// RefusedHeader with the value "true" on a 503 of a target proves that the
	// request was not run.
	RefusedHeader = "Primrosemount-Refused"
	// IdempotencyKeyHeader is the standard header for idempotency keys.
	IdempotencyKeyHeader = "Idempotency-Key"
	// NextKeyHeader carries a fresh key on a refusal.
	NextKeyHeader = "Primrosemount-Next-Key"
	// RootHeader carries the root id in hexadecimal.
	RootHeader = "Primrosemount-Root"
	// AttemptHeader counts the sends of one caller; 0 is the first.
	AttemptHeader = "Primrosemount-Attempt"
	// RetryAllowanceHeader carries the retries that are left to a root request.
	RetryAllowanceHeader = "Primrosemount-Retry-Allowance"
	// ReplayedHeader with the value "true" marks a stored answer.
	ReplayedHeader = "Primrosemount-Replayed"
	// TraceparentHeader and TracestateHeader are the W3C trace context.
	TraceparentHeader = "Traceparent"
	TracestateHeader  = "Tracestate"
)

// Paths of the node's interfaces.
const (
	// ServicesPath precedes SERVICE/OPERATION.
	ServicesPath = "/v1/services/"
	// TargetPath takes the announcements of the target.
	TargetPath = "/v1/target"
	// OperationsPath precedes the operation on the target's own interface.
	OperationsPath = "/operations/"
)

// ProblemType is the media type of errors (RFC 9457).
const ProblemType = "application/problem+json"

// Problem is the body of an error answer.
type Problem struct {
	Type      string `json:"type"`
	Title     string `json:"title"`
	Status    int    `json:"status"`
	Detail    string `json:"detail"`
	Outcome   string `json:"outcome"`
	Reason    string `json:"reason"`
	RequestID string `json:"request_id,omitempty"`
	Remedy    string `json:"remedy"`
}

// hopByHop are the headers that belong to one connection. Content-Length is among
// them because nodes buffer bodies whole and set it anew.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// IsHopByHop tells whether a header of this canonical name belongs to one
// connection and is not passed on.
func IsHopByHop(name string) bool { return hopByHop[name] }
