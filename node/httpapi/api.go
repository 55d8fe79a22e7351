package httpapi

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/primrosemount/primrosemount/core/catalogue"
	"github.com/primrosemount/primrosemount/core/leastshare"
	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/core/retry"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/node/dispatch"
	"github.com/primrosemount/primrosemount/node/executor"
	"github.com/primrosemount/primrosemount/wire"
)

const (
	// maxDepth bounds the depth of a call chain: the number of calls below the
	// root request.
	maxDepth = 29
	// maxKeys bounds the number of idempotency keys issued in one response.
	maxKeys = 64
)

// A Caller identifies the sender of a request.
type Caller struct {
	// Name is the authenticated name; it is empty for anonymous callers.
	Name string
	// Address distinguishes anonymous callers in limits and in the recognition of
	// retries.
	Address string
}

// identity returns the name of the caller, or the address of an anonymous one.
func (c Caller) identity() string {
	if c.Name != "" {
		return c.Name
	}
	return c.Address
}

// An Observation holds the result of one root request at the entry node.
type Observation struct {
	RootID []byte
	// Service and Operation are names from the catalogue, or UnknownName.
	Service   string
	Operation string
	// Class is Normal if the operation is unknown.
	Class    outcome.Class
	Response *pb.CallResponse
	// Latency is the time from the end of the request body to the outcome, so that
	// a slow upload does not count. It is 0 for a request that was not dispatched.
	Latency  time.Duration
	Attempts int
}

// A Config configures an API.
type Config struct {
	// Catalogue returns the current catalogue, or nil until one has been received.
	Catalogue  func() *catalogue.Snapshot
	Dispatcher *dispatch.Dispatcher
	// FindRunning returns the running call with the token, or nil.
	FindRunning func(token string) *executor.RunningCall
	// OwnService is the service of the target beside this node.
	OwnService string
	// Observe is called once for each root request, at its end; it must not block.
	Observe func(Observation)
	// MaxBodyBytes bounds request bodies in addition to the limits of the
	// catalogue.
	MaxBodyBytes int64
}

// An API serves the calls of external callers and of the target beside this node.
// It is safe for concurrent use.
type API struct {
	config        Config
	callerRetries *retry.CallerRetries
	// leastShares decides which root requests are assured: admitted before the
	// order of classes counts, because their operation is below its least share.
	leastShares *leastshare.Tracker
	callers     *callerLimits
}

// New returns an API.
func New(config Config) *API {
	return &API{config: config, callerRetries: retry.NewCallerRetries(0, 0), leastShares: leastshare.New(), callers: newCallerLimits()}
}

// Call serves one call of an external caller.
func (a *API) Call(w http.ResponseWriter, r *http.Request, caller Caller, service, operation string) {
	policy, err := a.resolve(caller.Name, service, operation)
	if err != nil {
		a.refuseRoot(w, r, policy, err)
		return
	}
	release, err := a.callers.acquire(caller.identity(), service, policy.service.Limits.InProgressPerCaller)
	if err != nil {
		a.refuseRoot(w, r, policy, err)
		return
	}
	defer release()
	a.callRoot(w, r, caller, policy)
}

// callRoot handles a root request of an external caller, or of the target when
// its call does not belong to a running request.
func (a *API) callRoot(w http.ResponseWriter, r *http.Request, caller Caller, policy policy) {
	headers, body, err := a.readCall(r, policy)
	if err != nil {
		a.refuseRoot(w, r, policy, err)
		return
	}
	root := headers.rootID
	if root == nil {
		root = newRootID()
	}
	w.Header().Set(wire.RootHeader, hex.EncodeToString(root))
	assured := a.leastShares.RecordArrival(time.Now(), policy.leastShareAccount(), policy.operation.LeastShare)
	request := newRequest(r, caller.Name, policy, headers, body)
	request.Context = &pb.RequestContext{
		RootId:         root,
		Class:          policy.operation.Class.Proto(),
		Assured:        assured,
		Cohort:         outcome.CohortOf(root),
		CallingService: caller.Name,
		Traceparent:    headers.traceparent,
		Tracestate:     headers.tracestate,
	}
	request.Allowance, err = a.callerRetries.Admit(time.Now(), newRetryClaim(caller, headers, root), policy.service.Retry.Allowance)
	if err != nil {
		started := time.Now()
		result := a.config.Dispatcher.Refuse(r.Context(), request, err)
		a.recordShareResult(policy, request, result.Response)
		a.observe(policy, request, result, time.Since(started))
		a.respond(w, policy, request, result)
		return
	}
	a.dispatchRoot(r.Context(), w, policy, request)
}

// dispatchRoot dispatches a root request and writes the response.
func (a *API) dispatchRoot(ctx context.Context, w http.ResponseWriter, policy policy, request *dispatch.Request) {
	started := time.Now()
	result := a.config.Dispatcher.Do(ctx, request)
	a.recordShareResult(policy, request, result.Response)
	a.observe(policy, request, result, time.Since(started))
	w.Header().Set(wire.RetryAllowanceHeader, strconv.FormatUint(uint64(request.Allowance.Available()), 10))
	if result.Key != "" {
		w.Header().Set(wire.IdempotencyKeyHeader, result.Key)
	}
	a.respond(w, policy, request, result)
}

// recordShareResult records the result of a root request for the least share of
// its operation.
func (a *API) recordShareResult(policy policy, request *dispatch.Request, response *pb.CallResponse) {
	result := leastshare.Failed
	switch {
	case outcome.Succeeded(response):
		result = leastshare.Served
	case response.GetOutcome() == pb.Outcome_OUTCOME_NOT_RUN:
		result = leastshare.Refused
	}
	a.leastShares.RecordResult(time.Now(), policy.leastShareAccount(), request.Context.GetAssured(), result)
}

// respond writes the response of the target or the problem details of a failure.
func (a *API) respond(w http.ResponseWriter, policy policy, request *dispatch.Request, result dispatch.Result) {
	if isResponseOmitted(result.Response) {
		w.Header().Set(wire.ReplayedHeader, "true")
		a.writeError(w, newOmittedError(result.Response), request.Context.GetRootId())
		return
	}
	err := outcome.ErrorOf(result.Response)
	if err == nil {
		writeResponse(w, result.Response)
		return
	}
	if err.Outcome == outcome.NotRun && !policy.operation.Idempotent {
		a.offerNextKey(w, request.Service)
	}
	a.writeError(w, err, request.Context.GetRootId())
}

// offerNextKey sends the caller a new idempotency key for a retry, because a
// refusal is final for the key of the refused request.
func (a *API) offerNextKey(w http.ResponseWriter, service string) {
	if key, err := a.config.Dispatcher.IssueKey(service); err == nil {
		w.Header().Set(wire.NextKeyHeader, key)
	}
}

// refuse writes the problem details of a request that was not dispatched.
func (a *API) refuse(w http.ResponseWriter, r *http.Request, err *outcome.Error) {
	setRefusalOutcome(r, err)
	WriteProblem(w, err)
}

// setRefusalOutcome sets the outcome of a request that this node refused. If
// the request carries an idempotency key, an earlier attempt may have run, so
// the outcome is unknown rather than not run.
func setRefusalOutcome(r *http.Request, err *outcome.Error) {
	if r.Header.Get(wire.IdempotencyKeyHeader) != "" {
		err.Outcome = outcome.Unknown
	}
}

// writeError writes the problem details of an error with the root ID of the
// request.
func (a *API) writeError(w http.ResponseWriter, err *outcome.Error, root []byte) {
	err.RequestID = hex.EncodeToString(root)
	WriteProblem(w, err)
}

// CallFromTarget serves a call that the target beside this node makes. The
// header CallHeader identifies the running request to which the call belongs; a
// call without this header is a root request of the target's service.
func (a *API) CallFromTarget(w http.ResponseWriter, r *http.Request, service, operation string) {
	policy, err := a.resolve(a.config.OwnService, service, operation)
	token := r.Header.Get(wire.CallHeader)
	if err != nil && token == "" {
		a.refuseRoot(w, r, policy, err)
		return
	}
	if err != nil {
		WriteProblem(w, err)
		return
	}
	if token == "" {
		a.callRoot(w, r, Caller{Name: a.config.OwnService}, policy)
		return
	}
	running := a.config.FindRunning(token)
	if running == nil {
		detail := "header " + wire.CallHeader + " names no running request; send the value that came with the request"
		WriteProblem(w, outcome.New(outcome.NotRun, outcome.BadRequest, detail))
		return
	}
	a.callChild(w, r, running, policy)
}

// callChild handles a call that the target makes on behalf of a running
// request.
func (a *API) callChild(w http.ResponseWriter, r *http.Request, running *executor.RunningCall, policy policy) {
	parent := running.Call.Request.GetContext()
	root := parent.GetRootId()
	if parent.GetDepth()+1 > maxDepth {
		detail := fmt.Sprintf("the call chain is deeper than %d calls", maxDepth)
		a.writeError(w, outcome.New(outcome.NotRun, outcome.DepthExceeded, detail), root)
		return
	}
	headers, body, err := a.readCall(r, policy)
	if err != nil {
		a.refuse(w, r, err)
		return
	}
	request := newRequest(r, a.config.OwnService, policy, headers, body)
	if deadline, ok := running.Context().Deadline(); ok && deadline.Before(request.Deadline) {
		request.Deadline = deadline
	}
	request.Allowance = running.Allowance
	request.Context = &pb.RequestContext{
		RootId:         root,
		Class:          parent.GetClass(),
		Assured:        parent.GetAssured(),
		Cohort:         parent.GetCohort(),
		Depth:          parent.GetDepth() + 1,
		CallingService: a.config.OwnService,
		Traceparent:    parent.GetTraceparent(),
		Tracestate:     parent.GetTracestate(),
		CompletedCalls: running.CompletedCalls(),
	}
	a.respond(w, policy, request, a.doChild(r.Context(), running, request))
}

// doChild dispatches the call. It is canceled when the target closes its
// request or when the running request is canceled.
func (a *API) doChild(ctx context.Context, running *executor.RunningCall, request *dispatch.Request) dispatch.Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(running.Context(), cancel)
	defer stop()
	running.BeginChild(time.Now())
	defer func() { running.EndChild(time.Now()) }()
	result := a.config.Dispatcher.Do(ctx, request)
	if outcome.Succeeded(result.Response) {
		running.Dependencies.CallCompleted(result.Response.GetCompletedCalls())
	}
	if refusedByLevel(request, result.Response) {
		running.Dependencies.CallRefused(request.Dependency())
	}
	return result
}

// refusedByLevel reports whether a call failed because of its level, at this
// node or further downstream.
func refusedByLevel(request *dispatch.Request, response *pb.CallResponse) bool {
	if response.GetReason() == pb.Reason_REASON_DOOMED_DOWNSTREAM {
		return true
	}
	return dispatch.ThresholdResponse(request, response).Doomed()
}

// Keys serves POST /v1/services/SERVICE/keys?count=N and responds with {"keys":
// [...]}, a list of N new idempotency keys.
func (a *API) Keys(w http.ResponseWriter, r *http.Request, caller Caller, service string) {
	if _, err := a.resolveService(caller.Name, service); err != nil {
		WriteProblem(w, err)
		return
	}
	count, err := keyCount(r)
	if err != nil {
		WriteProblem(w, err)
		return
	}
	response := struct {
		Keys []string `json:"keys"`
	}{}
	for range count {
		key, err := a.config.Dispatcher.IssueKey(service)
		if err != nil {
			WriteProblem(w, err)
			return
		}
		response.Keys = append(response.Keys, key)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(response)
}

// keyCount returns the requested number of idempotency keys; the default is 1.
func keyCount(r *http.Request) (int, *outcome.Error) {
	value := r.URL.Query().Get("count")
	if value == "" {
		return 1, nil
	}
	count, err := strconv.Atoi(value)
	if err != nil || count < 1 || count > maxKeys {
		detail := fmt.Sprintf("count is %q; send a number from 1 to %d", value, maxKeys)
		return 0, outcome.New(outcome.NotRun, outcome.BadRequest, detail)
	}
	return count, nil
}

// newRetryClaim returns what the headers of a request state about earlier
// attempts of its caller.
func newRetryClaim(caller Caller, headers callHeaders, root []byte) retry.Claim {
	claim := retry.Claim{
		Caller:       caller.identity(),
		Attempt:      headers.attempt,
		Remaining:    headers.remaining,
		HasRemaining: headers.hasRemaining,
	}
	switch {
	case headers.rootID != nil:
		claim.Identity = string(root)
	case headers.key != "":
		claim.Identity = headers.key
	}
	return claim
}

func newRequest(r *http.Request, caller string, policy policy, headers callHeaders, body []byte) *dispatch.Request {
	return &dispatch.Request{
		Service:    policy.service.Name,
		Operation:  policy.operation.Name,
		Key:        headers.key,
		Caller:     caller,
		Headers:    forwardedHeaders(r.Header),
		Body:       body,
		Deadline:   time.Now().Add(policy.deadline(headers.deadline)),
		Idempotent: policy.operation.Idempotent,
		EdgeRatio:  policy.service.Retry.EdgeRatio,
	}
}

// readCall reads the headers and the body of a call.
func (a *API) readCall(r *http.Request, policy policy) (callHeaders, []byte, *outcome.Error) {
	headers, err := parseHeaders(r.Header)
	if err != nil {
		return headers, nil, err
	}
	body, err := readBody(r, min(policy.service.Limits.RequestBytes, a.config.MaxBodyBytes))
	return headers, body, err
}

func newRootID() []byte {
	id := make([]byte, outcome.RootIDBytes)
	// crypto/rand.Read never returns an error; it terminates the program if the
	// system provides no randomness.
	_, _ = rand.Read(id)
	return id
}
