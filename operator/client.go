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
	// maxResponseBytes is the maximum size of a response. The catalogue of 770
	// services and the member table of 9,600 nodes are smaller.
	maxResponseBytes = 64 << 20
	// connectTimeout is the time limit for opening a connection.
	connectTimeout = 3 * time.Second
)

// An Error is a failed request of a Client.
type Error struct {
	// Outcome is NotRun if a change was provably not written, and Unknown otherwise.
	// It has no meaning for requests that change nothing.
	Outcome outcome.Outcome
	// Status is the HTTP status of the response, or zero if no complete response was
	// received.
	Status int
	// Detail describes the failure and its remedy.
	Detail string
}

// Error returns the detail.
func (e *Error) Error() string { return e.Detail }

// A Client sends requests to the operators' listener of one node. It is safe for
// concurrent use.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the operators' listener at base, for example
// http://127.0.0.1:7403. config may be nil for http. timeout is the time limit of one
// request.
func NewClient(base string, config *tls.Config, timeout time.Duration) (*Client, error) {
	parsed, err := url.Parse(base)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		return nil, errors.Newf("operator: %q is not the URL of a node; write http://IP:PORT or https://IP:PORT", base)
	}
	if parsed.Scheme == "https" && config == nil {
		return nil, errors.New("operator: https needs a certificate; give --certificate, --key and --authorities")
	}
	transport := &http.Transport{
		DialContext:     (&net.Dialer{Timeout: connectTimeout}).DialContext,
		TLSClientConfig: config,
	}
	return &Client{
		base: parsed.Scheme + "://" + parsed.Host,
		http: &http.Client{Transport: transport, Timeout: timeout},
	}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Status returns the state of the node.
func (c *Client) Status(ctx context.Context) (*pb.NodeStatus, error) {
	message := &pb.NodeStatus{}
	return message, c.get(ctx, PathStatus, nil, message)
}

// Catalogue returns the state of the catalogue without recent results.
func (c *Client) Catalogue(ctx context.Context) (*pb.CatalogueState, error) {
	message := &pb.CatalogueState{}
	return message, c.get(ctx, PathCatalogue, nil, message)
}

// History returns recent results. If service is not empty, only the results of that
// service are returned.
func (c *Client) History(ctx context.Context, service string) (*pb.CatalogueHistory, error) {
	message := &pb.CatalogueHistory{}
	return message, c.get(ctx, PathHistory, url.Values{"service": {service}}, message)
}

// Result returns the result of a change, or nil if the node has none.
func (c *Client) Result(ctx context.Context, change []byte) (*pb.ChangeResult, error) {
	message := &pb.CatalogueHistory{}
	query := url.Values{"change": {hex.EncodeToString(change)}}
	if err := c.get(ctx, PathHistory, query, message); err != nil {
		return nil, err
	}
	if len(message.Results) == 0 {
		return nil, nil
	}
	return message.Results[0], nil
}

// Members returns the member table.
func (c *Client) Members(ctx context.Context) (*pb.MembersState, error) {
	message := &pb.MembersState{}
	return message, c.get(ctx, PathMembers, nil, message)
}

// Explain returns the journal entries about a request or a target.
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
	message := &pb.ExplainReport{}
	return message, c.get(ctx, PathExplain, query, message)
}

// Burn returns the merged counters of all nodes from which burn rates are computed.
func (c *Client) Burn(ctx context.Context) (*pb.BurnReport, error) {
	message := &pb.BurnReport{}
	return message, c.get(ctx, PathBurn, nil, message)
}

func (c *Client) get(ctx context.Context, path string, query url.Values, message proto.Message) error {
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
		return &Error{Detail: noResponseDetail(err)}
	}
	return decodeResponse(response, message)
}

// SubmitChange submits a change. A rejected change is a result and not an error. An
// error is always an *Error, whose Outcome states whether the change may have been
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
		return nil, &Error{Outcome: outcomeOfSendError(err), Detail: noResponseDetail(err)}
	}
	result := &pb.ChangeResult{}
	if err := decodeResponse(response, result); err != nil {
		return nil, changeErrorWithOutcome(err)
	}
	return result, nil
}

// outcomeOfSendError returns the outcome of a change whose request failed. It is NotRun
// only if no connection could be opened.
func outcomeOfSendError(err error) outcome.Outcome {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return outcome.NotRun
	}
	return outcome.Unknown
}

// changeErrorWithOutcome returns err as an *Error. An error without an outcome gets
// Unknown, because the change may have been written.
func changeErrorWithOutcome(err error) error {
	var clientErr *Error
	if !errors.As(err, &clientErr) {
		return &Error{Outcome: outcome.Unknown, Detail: err.Error()}
	}
	if clientErr.Outcome == 0 {
		clientErr.Outcome = outcome.Unknown
	}
	return clientErr
}

func noResponseDetail(err error) string {
	return fmt.Sprintf("the node did not respond (%v); check --node and whether the node runs, or ask another node", err)
}

// decodeResponse decodes the body of a response into message. A rejected change has the
// status 409, but its body is a message as with status 200.
func decodeResponse(response *http.Response, message proto.Message) error {
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return &Error{Detail: noResponseDetail(err)}
	}
	if len(data) > maxResponseBytes {
		return &Error{Detail: fmt.Sprintf("the response is larger than %d bytes; narrow the query", maxResponseBytes)}
	}
	if response.StatusCode != http.StatusOK && response.Header.Get("Content-Type") != jsonType {
		return problemError(response.StatusCode, data)
	}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(data, message); err != nil {
		return &Error{Status: response.StatusCode, Detail: fmt.Sprintf("the response cannot be decoded (%v); check that --node is the operators' listener of a node", err)}
	}
	return nil
}

// problemError returns the error of a response that is a problem document.
func problemError(status int, data []byte) *Error {
	problem := &pb.OperatorProblem{}
	options := protojson.UnmarshalOptions{DiscardUnknown: true}
	if err := options.Unmarshal(data, problem); err != nil || problem.Detail == "" {
		return &Error{Status: status, Detail: fmt.Sprintf("status %d without a problem document; check that --node is the operators' listener of a node", status)}
	}
	return &Error{Status: status, Outcome: parseOutcome(problem.Outcome), Detail: problem.Detail}
}

// parseOutcome returns the outcome of a problem document, or zero if it has none.
func parseOutcome(name string) outcome.Outcome {
	for _, o := range []outcome.Outcome{outcome.NotRun, outcome.Unknown} {
		if o.String() == name {
			return o
		}
	}
	return 0
}
