package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/primrosemount/primrosemount/core/outcome"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

const (
	// maxAnswerBytes bounds an answer; the catalogue of 770 services and the
	// member table of 9,600 nodes fit.
	maxAnswerBytes = 64 << 20
	// connectTime bounds the opening of a connection.
	connectTime = 3 * time.Second
)

// Error is the typed error of the client.
type Error struct {
	// Outcome of a change: NotRun if it was provably not written, Unknown
	// otherwise. Zero for questions.
	Outcome outcome.Outcome
	// Status is the HTTP status of a refusal, zero if no answer came.
	Status int
	// Detail says what happened and what to do.
	Detail string
}

// Error returns the detail.
func (e *Error) Error() string { return e.Detail }

// Client asks one node. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the operators' listener at base, for example
// http://127.0.0.1:7403. config may be nil for http. timeout bounds one request.
func NewClient(base string, config *tls.Config, timeout time.Duration) (*Client, error) {
	parsed, err := url.Parse(base)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		return nil, errors.Newf("operator: %q is not the URL of a node; write http://IP:PORT or https://IP:PORT", base)
	}
	if parsed.Scheme == "https" && config == nil {
		return nil, errors.New("operator: https needs a certificate; give --certificate, --key and --authorities")
	}
	transport := &http.Transport{
		DialContext:     (&net.Dialer{Timeout: connectTime}).DialContext,
		TLSClientConfig: config,
	}
	return &Client{
		base: parsed.Scheme + "://" + parsed.Host,
		http: &http.Client{Transport: transport, Timeout: timeout},
	}, nil
}

// Close ends idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Status describes the node.
func (c *Client) Status(ctx context.Context) (*pb.NodeStatus, error) {
	answer := &pb.NodeStatus{}
	return answer, c.get(ctx, PathStatus, nil, answer)
}

// Catalogue returns the state of the catalogue without recent results.
func (c *Client) Catalogue(ctx context.Context) (*pb.CatalogueState, error) {
	answer := &pb.CatalogueState{}
	return answer, c.get(ctx, PathCatalogue, nil, answer)
}

// History returns recent results, of one service if it is given.
func (c *Client) History(ctx context.Context, service string) (*pb.CatalogueHistory, error) {
	answer := &pb.CatalogueHistory{}
	return answer, c.get(ctx, PathHistory, url.Values{"service": {service}}, answer)
}

// Result returns what was decided about a change, nil if the node does not know.
func (c *Client) Result(ctx context.Context, change []byte) (*pb.ChangeResult, error) {
	answer := &pb.CatalogueHistory{}
	query := url.Values{"change": {hex.EncodeToString(change)}}
	if err := c.get(ctx, PathHistory, query, answer); err != nil {
		return nil, err
	}
	if len(answer.Results) == 0 {
		return nil, nil
	}
	return answer.Results[0], nil
}

// Members returns the member table.
func (c *Client) Members(ctx context.Context) (*pb.MembersState, error) {
	answer := &pb.MembersState{}
	return answer, c.get(ctx, PathMembers, nil, answer)
}

// Explain returns the journal entries of a request or a target.
func (c *Client) Explain(ctx context.Context, request *pb.ExplainRequest) (*pb.ExplainReport, error) {
	query := url.Values{}
	if len(request.RootId) > 0 {
		query.Set("request", hex.EncodeToString(request.RootId))
	}
	if request.Target != "" {
		query.Set("target", request.Target)
	}
	if request.MaxEntries > 0 {
		query.Set("max", strconv.FormatUint(uint64(request.MaxEntries), 10))
	}
	answer := &pb.ExplainReport{}
	return answer, c.get(ctx, PathExplain, query, answer)
}

// Burn returns the counters of the fleet.
func (c *Client) Burn(ctx context.Context) (*pb.BurnReport, error) {
	answer := &pb.BurnReport{}
	return answer, c.get(ctx, PathBurn, nil, answer)
}

func (c *Client) get(ctx context.Context, path string, query url.Values, answer proto.Message) error {
	address := c.base + path
	if len(query) > 0 {
		address += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return errors.Wrap(err, "operator: the request cannot be built; check the URL of the node")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return &Error{Detail: noAnswer(err)}
	}
	return read(response, answer)
}

// SubmitChange sends a change. A rejected change is a result and not an error;
// the error is *Error, whose Outcome tells whether the change may have been
// written.
func (c *Client) SubmitChange(ctx context.Context, change *pb.Change) (*pb.ChangeResult, error) {
	body, err := encodeJSON(change)
	if err != nil {
		return nil, &Error{Outcome: outcome.NotRun, Detail: fmt.Sprintf("the change cannot be encoded: %v", err)}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+PathChanges, bytes.NewReader(body))
	if err != nil {
		return nil, &Error{Outcome: outcome.NotRun, Detail: fmt.Sprintf("the request cannot be built: %v", err)}
	}
	request.Header.Set("Content-Type", jsonType)
	response, err := c.http.Do(request)
	if err != nil {
		return nil, &Error{Outcome: sentOutcome(err), Detail: noAnswer(err)}
	}
	result := &pb.ChangeResult{}
	if err := read(response, result); err != nil {
		return nil, changeError(err)
	}
	return result, nil
}

// sentOutcome is NotRun only if no connection could be opened.
func sentOutcome(err error) outcome.Outcome {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return outcome.NotRun
	}
	return outcome.Unknown
}

// changeError makes sure that an answer without a clear outcome is unknown.
func changeError(err error) error {
	var typed *Error
	if !errors.As(err, &typed) {
		return &Error{Outcome: outcome.Unknown, Detail: err.Error()}
	}
	if typed.Outcome == 0 {
		typed.Outcome = outcome.Unknown
	}
	return typed
}

func noAnswer(err error) string {
	return fmt.Sprintf("the node did not answer (%v); check --node and whether the node runs, or ask another node", err)
}

// read decodes an answer. A conflict carries a message like a success.
func read(response *http.Response, answer proto.Message) error {
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return &Error{Detail: noAnswer(err)}
	}
	if len(data) > maxAnswerBytes {
		return &Error{Detail: fmt.Sprintf("the answer is longer than %d bytes; ask for less", maxAnswerBytes)}
	}
	if response.StatusCode != http.StatusOK && response.Header.Get("Content-Type") != jsonType {
		return refusal(response.StatusCode, data)
	}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(data, answer); err != nil {
		return &Error{Status: response.StatusCode, Detail: fmt.Sprintf("the answer is not understood (%v); check that --node is the operators' listener of a node", err)}
	}
	return nil
}

func refusal(status int, data []byte) *Error {
	problem := &pb.OperatorProblem{}
	options := protojson.UnmarshalOptions{DiscardUnknown: true}
	if err := options.Unmarshal(data, problem); err != nil || problem.Detail == "" {
		return &Error{Status: status, Detail: fmt.Sprintf("status %d without a problem; check that --node is the operators' listener of a node", status)}
	}
	return &Error{Status: status, Outcome: outcomeOf(problem.Outcome), Detail: problem.Detail}
}

func outcomeOf(name string) outcome.Outcome {
	for _, o := range []outcome.Outcome{outcome.NotRun, outcome.Unknown} {
		if o.String() == name {
			return o
		}
	}
	return 0
}
