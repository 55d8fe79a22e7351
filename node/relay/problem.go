package relay

import (
	"encoding/json"
	"sync"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// problemType is the content type of a problem document.
const problemType = "application/problem+json"

// problem is the problem document of a failure (RFC 9457).
type problem struct {
	Title   string `json:"title"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Remedy  string `json:"remedy"`
	Detail  string `json:"detail,omitempty"`
}

// problems caches encoded documents without a detail, which are the most common
// ones.
var problems sync.Map

type problemKey struct {
	outcome outcome.Outcome
	reason  outcome.Reason
}

// problemOf returns the encoded problem document of a failure.
func problemOf(failed *outcome.Error) []byte {
	if failed.Detail != "" {
		return encodeProblem(failed)
	}
	key := problemKey{outcome: failed.Outcome, reason: failed.Reason}
	if body, ok := problems.Load(key); ok {
		return body.([]byte)
	}
	body := encodeProblem(failed)
	problems.Store(key, body)
	return body
}

// encodeProblem encodes the problem document of a failure.
func encodeProblem(failed *outcome.Error) []byte {
	title := "the request may have run"
	if failed.Outcome == outcome.NotRun {
		title = "the request has not run"
	}
	body, err := json.Marshal(problem{
		Title:   title,
		Outcome: failed.Outcome.String(),
		Reason:  failed.Reason.String(),
		Remedy:  failed.Reason.Remedy(),
		Detail:  failed.Detail,
	})
	if err != nil {
		return []byte(`{"title":"the request failed"}`)
	}
	return body
}
