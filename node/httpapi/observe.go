package httpapi

import (
	"encoding/hex"
	"net/http"
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/node/dispatch"
	"github.com/primrosemount/primrosemount/wire"
)

// UnknownName stands for services and operations that the catalogue does not
// hold, so that callers cannot add labels. No catalogue name has parentheses.
const UnknownName = "(unknown)"

// observe reports the end of a root request that was resolved.
func (a *API) observe(policy policy, request *dispatch.Request, result dispatch.Result, latency time.Duration) {
	a.config.Observe(Observation{
		RootID:    request.Context.GetRootId(),
		Service:   request.Service,
		Operation: request.Operation,
		Class:     policy.operation.Class,
		Response:  result.Response,
		Latency:   latency,
		Attempts:  result.Attempts,
	})
}

// refuseRoot refuses a root request that was not passed on, and reports its
// end. policy holds what the catalogue knows of the operation.
func (a *API) refuseRoot(w http.ResponseWriter, r *http.Request, policy policy, err *outcome.Error) {
	root := refusedRootID(r)
	err.RequestID = hex.EncodeToString(root)
	setRefusalOutcome(r, err)
	observation := Observation{
		RootID:    root,
		Service:   UnknownName,
		Operation: UnknownName,
		Class:     outcome.Normal,
		Response: &pb.CallResponse{
			Outcome: err.Outcome.Proto(),
			Reason:  err.Reason.Proto(),
			Detail:  err.Detail,
		},
	}
	if policy.service != nil {
		observation.Service = policy.service.Name
	}
	if policy.operation != nil {
		observation.Operation = policy.operation.Name
		observation.Class = policy.operation.Class
	}
	a.config.Observe(observation)
	WriteProblem(w, err)
}

// refusedRoot returns the root id that the caller sent, or a new one.
func refusedRootID(r *http.Request) []byte {
	var headers callHeaders
	err := headers.parseRoot(r.Header.Get(wire.RootHeader))
	if err != nil || headers.rootID == nil {
		return newRootID()
	}
	return headers.rootID
}
