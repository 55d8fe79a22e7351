package relay

import (
	"net/http"
	"time"
)

// An Envelope holds the values that the relay reads from the headers of a request.
type Envelope struct {
	// AttemptID identifies this attempt of the client. It is never empty.
	AttemptID string
	// Remaining is how long the client waits, or 0 if the headers do not state it.
	Remaining time.Duration
	// Key is the key of the client account, or empty if the request has none. It must
	// not be logged or passed on.
	Key string
}

// A TargetEnvelope holds the values that the relay sends to a target with a request.
type TargetEnvelope struct {
	AttemptID string
	// Remaining is the time after which a response is useless to the caller.
	Remaining time.Duration
	// TargetID is the incarnation of the target for which the request is intended.
	TargetID string
	// OriginService is the service on whose VM the request originated.
	OriginService string
	// Account is the name of the client account, or empty if there is none.
	Account string
}

// A TargetResponse holds the values that the relay reads from the headers of a
// response of the target.
type TargetResponse struct {
	// AttemptID is the attempt that the response belongs to, or empty if the
	// headers do not state it.
	AttemptID string
	// Sealed reports whether the response carries the seal by which the target
	// confirms that it produced the response.
	Sealed bool
	// NotRun reports whether the target did not run the request.
	NotRun bool
	// Misdirected reports whether a different incarnation of the target, or another
	// target, now uses the address.
	Misdirected bool
}

// A HeaderCodec translates between the headers of a platform and the types of the
// relay. Implementations must be safe for concurrent use.
type HeaderCodec interface {
	// ReadRequest returns the envelope of a request. The error names the invalid
	// header and the remedy.
	ReadRequest(header http.Header) (Envelope, error)
	// Owned reports whether the relay sets the request header of this canonical
	// name. The relay does not forward the value sent by the client.
	Owned(name string) bool
	// AppendRequest appends the header lines for a target, each terminated by CRLF.
	AppendRequest(head []byte, envelope TargetEnvelope) []byte
	// ReadResponse reads the headers of a response of the target.
	ReadResponse(status int, header http.Header) TargetResponse
	// RefusalHeader returns the name and the value of the header of a refusal that
	// states when the client may retry.
	RefusalHeader(retryAfter time.Duration) (name, value string)
}
