package outcome

import pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"

// The reasons for rejections and lost responses.
const (
	Overloaded         = Reason(pb.Reason_REASON_OVERLOADED)
	DeadlineUnmeetable = Reason(pb.Reason_REASON_DEADLINE_UNMEETABLE)
	EvictedFromQueue   = Reason(pb.Reason_REASON_EVICTED_FROM_QUEUE)
	Draining           = Reason(pb.Reason_REASON_DRAINING)
	TargetDown         = Reason(pb.Reason_REASON_TARGET_DOWN)
	NotAllowed         = Reason(pb.Reason_REASON_NOT_ALLOWED)
	UnknownService     = Reason(pb.Reason_REASON_UNKNOWN_SERVICE)
	UnknownOperation   = Reason(pb.Reason_REASON_UNKNOWN_OPERATION)
	BadRequest         = Reason(pb.Reason_REASON_BAD_REQUEST)
	TooLarge           = Reason(pb.Reason_REASON_TOO_LARGE)
	NoTarget           = Reason(pb.Reason_REASON_NO_TARGET)
	ConnectFailed      = Reason(pb.Reason_REASON_CONNECT_FAILED)
	RetryBound         = Reason(pb.Reason_REASON_RETRY_BOUND)
	CatalogueUnknown   = Reason(pb.Reason_REASON_CATALOGUE_UNKNOWN)
	KeyMalformed       = Reason(pb.Reason_REASON_KEY_MALFORMED)
	KeyConflict        = Reason(pb.Reason_REASON_KEY_CONFLICT)
	KeyExpired         = Reason(pb.Reason_REASON_KEY_EXPIRED)
	InProgress         = Reason(pb.Reason_REASON_IN_PROGRESS)
	ExecutorGone       = Reason(pb.Reason_REASON_EXECUTOR_GONE)
	AnswerLost         = Reason(pb.Reason_REASON_ANSWER_LOST)
	AnswerTruncated    = Reason(pb.Reason_REASON_ANSWER_TRUNCATED)
	DeadlineExceeded   = Reason(pb.Reason_REASON_DEADLINE_EXCEEDED)
	Cancelled          = Reason(pb.Reason_REASON_CANCELLED)
	TargetRefused      = Reason(pb.Reason_REASON_TARGET_REFUSED)
	DoomedDownstream   = Reason(pb.Reason_REASON_DOOMED_DOWNSTREAM)
	CallerLimit        = Reason(pb.Reason_REASON_CALLER_LIMIT)
	DepthExceeded      = Reason(pb.Reason_REASON_DEPTH_EXCEEDED)
	Internal           = Reason(pb.Reason_REASON_INTERNAL)
	Unauthenticated    = Reason(pb.Reason_REASON_UNAUTHENTICATED)
	QuotaExceeded      = Reason(pb.Reason_REASON_QUOTA_EXCEEDED)
	QuotaUnknown       = Reason(pb.Reason_REASON_QUOTA_UNKNOWN)
)

// retryLater is the remedy for temporary conditions.
const retryLater = "wait for the time in Retry-After and send the request again"

var remedies = map[Reason]string{
	Overloaded:         retryLater,
	DeadlineUnmeetable: "send the request again with a longer deadline, or later",
	EvictedFromQueue:   retryLater,
	Draining:           "send the request again; another target will be chosen",
	TargetDown:         "send the request again; another target will be chosen",
	NotAllowed:         "ask the owner of the service to add the caller to allowed_callers",
	UnknownService:     "check the service name; `primrosemount catalogue get` lists the services",
	UnknownOperation:   "check the operation name; `primrosemount catalogue get` lists the operations",
	BadRequest:         "correct the request as the detail says",
	TooLarge:           "send a smaller body, or ask the owner to raise limits.request_bytes",
	NoTarget:           "wait until a target of the service has announced itself, then send the request again",
	ConnectFailed:      "send the request again; another target will be chosen",
	RetryBound:         "do not retry; start a new request later",
	CatalogueUnknown:   "wait until the node has read the catalogue from the log or a peer",
	KeyMalformed:       "get a key from POST /v1/services/SERVICE/keys and send it as Idempotency-Key",
	KeyConflict:        "use a new key for a request with other content",
	KeyExpired:         "check the state of the operation before you repeat it with a new key",
	InProgress:         "send the request again with the same key to get its answer",
	ExecutorGone:       "check the state of the operation before you repeat it with a new key",
	AnswerLost:         "send the request again with the same key to get its answer",
	AnswerTruncated:    "send the request again with the same key to get its answer",
	DeadlineExceeded:   "send the request again with the same key and a longer deadline",
	Cancelled:          "none needed; the caller gave up",
	TargetRefused:      retryLater,
	DoomedDownstream:   retryLater,
	CallerLimit:        "keep fewer requests in progress at one time",
	DepthExceeded:      "shorten the call chain; it may be a loop",
	Unauthenticated:    "send the key of a client account that is in the configuration",
	QuotaExceeded:      "wait for the time in Retry-After, or ask the operators to raise the quota of the client account",
	QuotaUnknown:       retryLater,
	Internal:           "report the request id to the operators; `primrosemount explain` shows its path",
}

// Remedy returns what the caller or an operator can do about the reason.
func (r Reason) Remedy() string {
	if remedy, ok := remedies[r]; ok {
		return remedy
	}
	return remedies[Internal]
}

// transient reports whether the cause may disappear without a change to the request.
func (r Reason) transient() bool {
	switch r {
	case Overloaded, EvictedFromQueue, Draining, TargetDown, NoTarget,
		ConnectFailed, CatalogueUnknown, AnswerLost, AnswerTruncated,
		TargetRefused, DoomedDownstream, CallerLimit, ExecutorGone, InProgress,
		QuotaExceeded, QuotaUnknown:
		return true
	default:
		return false
	}
}

// IsCallerError reports whether a request failed because of what its caller sent or how
// much it sent, so that the service could not have processed it.
func (r Reason) IsCallerError() bool {
	switch r {
	case NotAllowed, UnknownService, UnknownOperation, BadRequest, TooLarge,
		CallerLimit, RetryBound, KeyMalformed, KeyConflict,
		Unauthenticated, QuotaExceeded:
		return true
	default:
		return false
	}
}
