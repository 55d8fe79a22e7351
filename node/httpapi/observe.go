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

// UnknownName replaces names of services and operations that are not in the
// catalogue, so that callers cannot create new metric labels. Names in the
// catalogue contain no parentheses.
const UnknownName = "(unknown)"

// observe reports the result of a root request whose service and operation are
// known.
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

// refuseRoot refuses a root request without dispatching it and reports its
// result. policy holds the parts of the request that were found in the
// catalogue.
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

// refusedRootID returns the root ID that the caller sent, or a new one.
func refusedRootID(r *http.Request) []byte {
	var headers callHeaders
	err := headers.parseRoot(r.Header.Get(wire.RootHeader))
	if err != nil || headers.rootID == nil {
		return newRootID()
	}
	return headers.rootID
}
