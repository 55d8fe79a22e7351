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
	// maxDepth is the longest call chain.
	maxDepth = 29
	// maxKeys bounds the keys issued in one answer.
	maxKeys = 64
)

// Caller identifies who sent a request.
type Caller struct {
	// Name is the authenticated name; empty for anonymous callers.
	Name string
	// Address tells anonymous callers apart for limits and resends.
	Address string
}

// identity returns the name, or the address of an anonymous caller.
func (c Caller) identity() string {
	if c.Name != "" {
		return c.Name
	}
	return c.Address
}

// Observation is one whole request as the entry saw it.
type Observation struct {
	RootID []byte
	// Service and Operation are names of the catalogue, or UnknownName.
	Service   string
	Operation string
	// Class is Normal if the operation is unknown.
	Class    outcome.Class
	Response *pb.CallResponse
	// Latency is the time from the end of the body to the outcome, so that a
	// slow upload does not count; 0 for a request that was not passed on.
	Latency  time.Duration
	Attempts int
}

// Config configures an API.
type Config struct {
	// Catalogue returns the present catalogue; nil while it is not known.
	Catalogue  func() *catalogue.Snapshot
	Dispatcher *dispatch.Dispatcher
	// FindRunning returns the running call of a token, or nil.
	FindRunning func(token string) *executor.RunningCall
	// OwnService is the service of the target beside the node.
	OwnService string
	// Observe is told of each root request once, when it ends; it must not
	// block.
	Observe func(Observation)
	// MaxBodyBytes bounds bodies whatever the catalogue allows.
	MaxBodyBytes int64
}

// API serves calls. It is safe for concurrent use.
type API struct {
	config  Config
	resends *retry.CallerRetries
	// shares holds the least shares of root requests.
	shares  *leastshare.Tracker
	callers *callerLimits
}

// New returns an API.
func New(config Config) *API {
	return &API{config: config, resends: retry.NewCallerRetries(0, 0), shares: leastshare.New(), callers: newCallerLimits()}
}

// Call serves one call of a caller outside.
func (a *API) Call(w http.ResponseWriter, r *http.Request, caller Caller, service, operation string) {
	policy, err := a.resolve(caller.Name, service, operation)
	if err != nil {
		a.refuseRoot(w, r, policy, err)
		return
	}
	release, err := a.callers.enter(caller.identity(), service, policy.service.Limits.InProgressPerCaller)
	if err != nil {
		a.refuseRoot(w, r, policy, err)
		return
	}
	defer release()
	a.callRoot(w, r, caller, policy)
}

// callRoot makes a root request for an outside caller, or for the target when
// it calls on its own account.
func (a *API) callRoot(w http.ResponseWriter, r *http.Request, caller Caller, policy policy) {
	headers, body, err := a.read(r, policy)
	if err != nil {
		a.refuseRoot(w, r, policy, err)
		return
	}
	root := headers.rootID
	if root == nil {
		root = newRootID()
	}
	w.Header().Set(wire.RootHeader, hex.EncodeToString(root))
	assured := a.shares.RecordArrival(time.Now(), policy.account(), policy.operation.LeastShare)
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
	request.Allowance, err = a.resends.Admit(time.Now(), claimOf(caller, headers, root), policy.service.Retry.Allowance)
	if err != nil {
		begun := time.Now()
		result := a.config.Dispatcher.Refuse(r.Context(), request, err)
		a.settle(policy, request, result.Response)
		a.observe(policy, request, result, time.Since(begun))
		a.answer(w, policy, request, result)
		return
	}
	a.finishRoot(r.Context(), w, policy, request)
}

func (a *API) finishRoot(ctx context.Context, w http.ResponseWriter, policy policy, request *dispatch.Request) {
	begun := time.Now()
	result := a.config.Dispatcher.Do(ctx, request)
	a.settle(policy, request, result.Response)
	a.observe(policy, request, result, time.Since(begun))
	w.Header().Set(wire.RetryAllowanceHeader, strconv.FormatUint(uint64(request.Allowance.Available()), 10))
	if result.Key != "" {
		w.Header().Set(wire.IdempotencyKeyHeader, result.Key)
	}
	a.answer(w, policy, request, result)
}

// settle tells the least shares what became of a root request.
func (a *API) settle(policy policy, request *dispatch.Request, response *pb.CallResponse) {
	result := leastshare.Failed
	switch {
	case outcome.Succeeded(response):
		result = leastshare.Served
	case response.GetOutcome() == pb.Outcome_OUTCOME_NOT_RUN:
		result = leastshare.Refused
	}
	a.shares.RecordResult(time.Now(), policy.account(), request.Context.GetAssured(), result)
}

func (a *API) answer(w http.ResponseWriter, policy policy, request *dispatch.Request, result dispatch.Result) {
	if omitted(result.Response) {
		w.Header().Set(wire.ReplayedHeader, "true")
		a.fail(w, omittedProblem(result.Response), request.Context.GetRootId())
		return
	}
	err := outcome.ErrorOf(result.Response)
	if err == nil {
		writeAnswer(w, result.Response)
		return
	}
	if err.Outcome == outcome.NotRun && !policy.operation.Idempotent {
		a.offerNextKey(w, request.Service)
	}
	a.fail(w, err, request.Context.GetRootId())
}

// offerNextKey gives the caller a key for another try, because a refusal is
// final for the key of this one.
func (a *API) offerNextKey(w http.ResponseWriter, service string) {
	if key, err := a.config.Dispatcher.IssueKey(service); err == nil {
		w.Header().Set(wire.NextKeyHeader, key)
	}
}

// refuse answers a request that was not passed on.
func (a *API) refuse(w http.ResponseWriter, r *http.Request, err *outcome.Error) {
	boundOutcome(r, err)
	WriteProblem(w, err)
}

// boundOutcome sets the outcome of a refusal at the entry. With a key in the
// request an earlier attempt may have run, so nothing is said to be not run.
func boundOutcome(r *http.Request, err *outcome.Error) {
	if r.Header.Get(wire.IdempotencyKeyHeader) != "" {
		err.Outcome = outcome.Unknown
	}
}

func (a *API) fail(w http.ResponseWriter, err *outcome.Error, root []byte) {
	err.RequestID = hex.EncodeToString(root)
	WriteProblem(w, err)
}

// CallFromTarget serves a call that the target beside the node makes. The
// header CallHeader names the running request that it belongs to; a call
// without it is a root request of the target's service.
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

// callChild makes a call on behalf of a running request.
func (a *API) callChild(w http.ResponseWriter, r *http.Request, running *executor.RunningCall, policy policy) {
	parent := running.Call.Request.GetContext()
	root := parent.GetRootId()
	if parent.GetDepth()+1 > maxDepth {
		detail := fmt.Sprintf("the call chain is deeper than %d calls", maxDepth)
		a.fail(w, outcome.New(outcome.NotRun, outcome.DepthExceeded, detail), root)
		return
	}
	headers, body, err := a.read(r, policy)
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
	a.answer(w, policy, request, a.doChild(r.Context(), running, request))
}

// doChild makes the call; it ends when the target gives up or its own request
// is cancelled.
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

// refusedByLevel tells that a call failed because of its level, here or at a
// service behind.
func refusedByLevel(request *dispatch.Request, response *pb.CallResponse) bool {
	if response.GetReason() == pb.Reason_REASON_DOOMED_DOWNSTREAM {
		return true
	}
	return dispatch.ThresholdResponse(request, response).Doomed()
}

// Keys serves POST /v1/services/SERVICE/keys?count=N with {"keys": [...]}.
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
	answer := struct {
		Keys []string `json:"keys"`
	}{}
	for range count {
		key, err := a.config.Dispatcher.IssueKey(service)
		if err != nil {
			WriteProblem(w, err)
			return
		}
		answer.Keys = append(answer.Keys, key)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

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

func claimOf(caller Caller, headers callHeaders, root []byte) retry.Claim {
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
		Headers:    passedHeaders(r.Header),
		Body:       body,
		Deadline:   time.Now().Add(policy.deadline(headers.deadline)),
		Idempotent: policy.operation.Idempotent,
		EdgeRatio:  policy.service.Retry.EdgeRatio,
	}
}

// read reads headers and body of a call.
func (a *API) read(r *http.Request, policy policy) (callHeaders, []byte, *outcome.Error) {
	headers, err := parseHeaders(r.Header)
	if err != nil {
		return headers, nil, err
	}
	body, err := readBody(r, min(policy.service.Limits.RequestBytes, a.config.MaxBodyBytes))
	return headers, body, err
}

func newRootID() []byte {
	id := make([]byte, outcome.RootIDBytes)
	// crypto/rand.Read never fails; the program ends if the system has no
	// randomness.
	_, _ = rand.Read(id)
	return id
}
