package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/primrosemount/primrosemount/internal/standin/target"
	"github.com/primrosemount/primrosemount/wire"
)

// operation is one kind of request that callers send.
type operation struct {
	service    string
	name       string
	class      string
	idempotent bool
	// deadline is how long the caller waits for the response to one send.
	deadline time.Duration
}

// verdict is the outcome of one send as the caller sees it.
type verdict string

const (
	verdictCompleted verdict = "completed"
	verdictNotRun    verdict = "not_run"
	verdictUnknown   verdict = "unknown"
	// verdictWrong is the verdict on a response that is invalid or belongs to another
	// request.
	verdictWrong verdict = "wrong"
)

// send is the caller's record of one send of a request.
type send struct {
	// id is the ID in the request body. Sends with the same ID carry the same
	// idempotency key.
	id      string
	verdict verdict
	reason  string
}

// record is the caller's record of one request with all its sends.
type record struct {
	operation *operation
	id        string
	startTime time.Time
	endTime   time.Time
	sends     []send
}

// good reports whether the caller got the complete response in time.
func (r *record) good() bool {
	return r.sends[len(r.sends)-1].verdict == verdictCompleted
}

// recorder collects the records of all callers. It is safe for concurrent use.
type recorder struct {
	mutex   sync.Mutex
	records []*record
}

func (r *recorder) add(record *record) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.records = append(r.records, record)
}

// caller sends requests like the users' clients: it keeps the idempotency key while the
// outcome is unknown, uses a new key after a refusal, and retries at most maxRetries
// times.
type caller struct {
	client *http.Client
	// addresses returns the addresses of the entry nodes.
	addresses  func() []string
	recorder   *recorder
	maxRetries int
	// backoff is the delay before a retry; impatient callers use a short one.
	backoff time.Duration
}

// request sends one request and retries it if allowed. firstEntry selects the entry
// node of the first send; each retry uses the next one.
func (c *caller) request(ctx context.Context, op *operation, id string, firstEntry int) {
	r := &record{operation: op, id: id, startTime: time.Now()}
	state := &sendState{id: id + "#0"}
	for attempt := 0; attempt <= c.maxRetries; attempt++ {
		addresses := c.addresses()
		outcome := c.send(ctx, op, addresses[(firstEntry+attempt)%len(addresses)], state, attempt)
		r.sends = append(r.sends, outcome)
		if outcome.verdict != verdictNotRun && outcome.verdict != verdictUnknown || !c.mayRetry(op, outcome, state) {
			break
		}
		if outcome.verdict == verdictNotRun {
			state.newID(id, attempt+1)
		}
		time.Sleep(c.backoff)
	}
	r.endTime = time.Now()
	c.recorder.add(r)
}

// mayRetry reports whether a retry is allowed. A non-idempotent request without a key
// is not retried after an unknown outcome, because it could be executed twice. A
// request whose retry bound is reached is not retried either.
func (c *caller) mayRetry(op *operation, last send, state *sendState) bool {
	if last.reason == "retry_bound" {
		return false
	}
	return op.idempotent || last.verdict == verdictNotRun || state.key != ""
}

// sendState is the state that a caller keeps between the sends of one request.
type sendState struct {
	id        string
	key       string
	nextKey   string
	root      string
	remaining string
}

// newID assigns a new ID to the next send, so that the ledger of the targets shows
// whether the refused send was executed.
func (s *sendState) newID(id string, attempt int) {
	s.id = fmt.Sprintf("%s#%d", id, attempt)
	s.key = s.nextKey
	s.nextKey = ""
}

func (c *caller) send(ctx context.Context, op *operation, address string, state *sendState, attempt int) send {
	result := send{id: state.id}
	ctx, cancel := context.WithTimeout(ctx, op.deadline+time.Second)
	defer cancel()
	if !op.idempotent && state.key == "" {
		state.key = c.fetchKey(ctx, address, op.service)
		if state.key == "" {
			// Without a key, no request is sent.
			return send{id: state.id, verdict: verdictNotRun, reason: "no_key"}
		}
	}
	response, err := c.client.Do(newHTTPRequest(ctx, op, address, state, attempt))
	if err != nil {
		result.verdict = verdictUnknown
		result.reason = "connection"
		return result
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		result.verdict = verdictUnknown
		result.reason = "cut"
		return result
	}
	state.update(response.Header)
	result.verdict, result.reason = classify(response, body, op, state.id)
	return result
}

// update stores the headers of a response that the next send repeats: the root request,
// the remaining retry allowance and the key for the next attempt after a refusal.
func (s *sendState) update(header http.Header) {
	s.root = header.Get(wire.RootHeader)
	s.remaining = header.Get(wire.RetryAllowanceHeader)
	s.nextKey = header.Get(wire.NextKeyHeader)
}

func newHTTPRequest(ctx context.Context, op *operation, address string, state *sendState, attempt int) *http.Request {
	body, err := json.Marshal(target.Request{ID: state.id})
	if err != nil {
		panic(err) // A struct with one string field can always be marshaled.
	}
	url := "http://" + address + wire.ServicesPath + op.service + "/" + op.name
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		panic(err) // The address comes from a listener.
	}
	request.ContentLength = int64(len(body))
	request.Header.Set(wire.DeadlineHeader, op.deadline.String())
	request.Header.Set(wire.AttemptHeader, strconv.Itoa(attempt))
	setIfNotEmpty(request.Header, wire.IdempotencyKeyHeader, state.key)
	setIfNotEmpty(request.Header, wire.RootHeader, state.root)
	setIfNotEmpty(request.Header, wire.RetryAllowanceHeader, state.remaining)
	return request
}

func setIfNotEmpty(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

// classify determines the verdict on a response and its reason.
func classify(response *http.Response, body []byte, op *operation, id string) (verdict, string) {
	if response.Header.Get("Content-Type") == wire.ProblemType {
		var problem wire.Problem
		if json.Unmarshal(body, &problem) != nil {
			return verdictWrong, "problem"
		}
		return verdict(problem.Outcome), problem.Reason
	}
	if response.StatusCode != http.StatusOK {
		// The target reported a failure; the caller cannot know how far the execution
		// got.
		return verdictUnknown, "status"
	}
	var decoded target.Response
	if json.Unmarshal(body, &decoded) != nil {
		return verdictWrong, "json"
	}
	if decoded.ID != id || decoded.Service != op.service || decoded.Operation != op.name {
		return verdictWrong, "foreign"
	}
	return verdictCompleted, ""
}

// fetchKey returns a new idempotency key, or an empty string if the node issues none.
func (c *caller) fetchKey(ctx context.Context, address, service string) string {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+wire.ServicesPath+service+"/keys?count=1", nil)
	if err != nil {
		return ""
	}
	response, err := c.client.Do(request)
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	var keys struct {
		Keys []string `json:"keys"`
	}
	if json.NewDecoder(response.Body).Decode(&keys) != nil || len(keys.Keys) == 0 {
		return ""
	}
	return keys.Keys[0]
}
