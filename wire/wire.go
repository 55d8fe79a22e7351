// Package wire defines the headers, paths and error bodies of primrosemount's HTTP
// interfaces.
package wire

// Headers of requests and responses.
const (
	// CallHeader carries the ID of the running request on whose behalf a target makes
	// a call.
	CallHeader = "Primrosemount-Call"
	// RequestIDHeader carries the idempotency key to a target, or the ID of the root
	// request if there is no key.
	RequestIDHeader = "Primrosemount-Request-Id"
	// DeadlineHeader carries the time until the deadline as a Go duration.
	DeadlineHeader = "Primrosemount-Deadline"
	// ClassHeader and CohortHeader carry the priority of a request, its class and its
	// cohort within the class, to a target.
	ClassHeader  = "Primrosemount-Class"
	CohortHeader = "Primrosemount-Cohort"
	// RefusedHeader with the value "true" on a response of a target with status 503
	// proves that the target did not run the request.
	RefusedHeader = "Primrosemount-Refused"
	// IdempotencyKeyHeader carries an idempotency key. The name is that of
	// the IETF draft draft-ietf-httpapi-idempotency-key-header.
	IdempotencyKeyHeader = "Idempotency-Key"
	// NextKeyHeader carries a new idempotency key on a refusal.
	NextKeyHeader = "Primrosemount-Next-Key"
	// RootHeader carries the ID of the root request in hexadecimal.
	RootHeader = "Primrosemount-Root"
	// AttemptHeader carries the number of earlier attempts of the caller, 0 for the
	// first attempt.
	AttemptHeader = "Primrosemount-Attempt"
	// RetryAllowanceHeader carries the number of retries that remain for a root
	// request.
	RetryAllowanceHeader = "Primrosemount-Retry-Allowance"
	// ReplayedHeader with the value "true" marks a stored response of an earlier
	// attempt.
	ReplayedHeader = "Primrosemount-Replayed"
	// TraceparentHeader and TracestateHeader carry the W3C trace context.
	TraceparentHeader = "Traceparent"
	TracestateHeader  = "Tracestate"
)

// Paths of the node's interfaces.
const (
	// ServicesPath is the prefix of request paths, followed by SERVICE/OPERATION.
	ServicesPath = "/v1/services/"
	// TargetPath is the path for announcements of the target.
	TargetPath = "/v1/target"
	// OperationsPath is the prefix of paths on the target's interface, followed by the
	// name of the operation.
	OperationsPath = "/operations/"
)

// ProblemType is the media type of error responses (RFC 9457).
const ProblemType = "application/problem+json"

// A Problem is the body of an error response.
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

// hopByHop is the set of headers that apply to one connection only. Content-Length is
// included because nodes buffer the complete body and set the header again.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// IsHopByHop reports whether the header with the given canonical name applies to one
// connection only and must not be forwarded.
func IsHopByHop(name string) bool { return hopByHop[name] }
