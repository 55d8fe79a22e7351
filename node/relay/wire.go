package relay

import (
	"net/http"
	"time"
)

// Envelope is what the headers of a request say to the relay.
type Envelope struct {
	// AttemptID names this attempt of the client; never empty.
	AttemptID string
	// Remaining is how long the client waits; 0 if it did not say.
	Remaining time.Duration
}

// TargetEnvelope is what the relay tells a target with a request.
type TargetEnvelope struct {
	AttemptID string
	// Remaining is the time after which the answer is of no use.
	Remaining time.Duration
	// TargetID is the life of the target that the request is meant for.
	TargetID string
	// OriginService is the service whose VM the request came from.
	OriginService string
}

// TargetResponse is what the headers of a target's answer say to the relay.
type TargetResponse struct {
	// AttemptID is the attempt that the answer belongs to; empty if not told.
	AttemptID string
	// Sealed tells that the target vouches for the answer as its own.
	Sealed bool
	// NotRun tells that the target did not run the request.
	NotRun bool
	// Misdirected tells that another life of a target has the address.
	Misdirected bool
}

// HeaderCodec translates between the headers of a platform and the types of the relay.
// Implementations are safe for concurrent use.
type HeaderCodec interface {
	// ReadRequest returns the envelope of a request; the error names the header
	// and its remedy.
	ReadRequest(header http.Header) (Envelope, error)
	// Owned tells whether a request header of this canonical name is set by the
	// relay and therefore not passed on as it came.
	Owned(name string) bool
	// AppendRequest appends the header lines for a target, each ended by CRLF.
	AppendRequest(head []byte, envelope TargetEnvelope) []byte
	// ReadResponse reads the headers of a target's answer.
	ReadResponse(status int, header http.Header) TargetResponse
	// RefusalHeaders sets the headers of a refusal that may be repeated after a
	// wait.
	RefusalHeaders(header http.Header, retryAfter time.Duration)
}
