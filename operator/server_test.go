package operator

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/primrosemount/primrosemount/core/outcome"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func (f *fixture) do(method, path, contentType, body string) (*http.Response, *pb.OperatorProblem) {
	f.t.Helper()
	request, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	require.NoError(f.t, err)
	request.Header.Set("Content-Type", contentType)
	response, err := http.DefaultClient.Do(request)
	require.NoError(f.t, err)
	defer response.Body.Close()
	defer http.DefaultClient.CloseIdleConnections()
	data, err := io.ReadAll(response.Body)
	require.NoError(f.t, err)
	problem := &pb.OperatorProblem{}
	if response.Header.Get("Content-Type") == problemType {
		require.NoError(f.t, protojson.Unmarshal(data, problem), "%s", data)
	}
	return response, problem
}

// Guards against invalid requests that are accepted, or rejected without a remedy or
// without the outcome not_run.
func TestBadRequests(t *testing.T) {
	f := newFixture(t)
	change := `{"id":"AAAAAAAAAAAAAAAAAAAAAA==","operator":"a","service":"b"}`
	cases := []struct {
		method, path, contentType, body string
		status                          int
		detail                          string
	}{
		{"GET", "/v2/nothing", "", "", 404, "docs/OPERATIONS.md"},
		{"POST", PathStatus, "", "", 405, "use POST for"},
		{"GET", PathExplain, "", "", 400, "give exactly one of request=HEX and target=VM"},
		{"GET", PathExplain + "?request=12&target=vm", "", "", 400, "write 32 hexadecimal digits"},
		{"GET", PathExplain + "?target=vm&max=0", "", "", 400, "write a number from 1 to 1000"},
		{"GET", PathHistory + "?change=xy", "", "", 400, "write 32 hexadecimal digits"},
		{"POST", PathChanges, "text/plain", change, 400, "send the change as application/json"},
		{"POST", PathChanges, jsonType, "{", 400, "the body is not a Change"},
		{"POST", PathChanges, jsonType, `{"servise":"x"}`, 400, `unknown field "servise"`},
		{"POST", PathChanges, jsonType, `{"service":"x"}`, 400, "draw 16 random bytes"},
		{"POST", PathChanges, jsonType, strings.Repeat(" ", MaxChangeBytes+1), 400, "send at most"},
	}
	for _, c := range cases {
		response, problem := f.do(c.method, c.path, c.contentType, c.body)
		require.Equal(t, c.status, response.StatusCode, "%s %s", c.method, c.path)
		require.Contains(t, problem.Detail, c.detail)
		if c.path == PathChanges {
			require.Equal(t, "not_run", problem.Outcome)
		}
	}
	require.Zero(t, f.source.state.Next())
}

// Guards against metrics that are not served.
func TestMetrics(t *testing.T) {
	response, _ := newFixture(t).do("GET", PathMetrics, "", "")
	require.Equal(t, 200, response.StatusCode)
}

// Guards against DNS rebinding, by which a page in a browser reaches the node through a
// host name of another site.
func TestForeignHostNameIsRejectedWithoutTLS(t *testing.T) {
	f := newFixture(t)
	request, err := http.NewRequest("GET", f.url+PathStatus, nil)
	require.NoError(t, err)
	request.Host = "rebound.example"
	defer http.DefaultClient.CloseIdleConnections()
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusMisdirectedRequest, response.StatusCode)
}

// Guards against responses that lose content between the source and the client.
func TestClientReturnsSourceData(t *testing.T) {
	f := newFixture(t).fillCatalogue()
	ctx, c := context.Background(), f.client()
	status, err := c.Status(ctx)
	require.NoError(t, err)
	require.Equal(t, "ledger-b-1", status.Node)
	state, err := c.Catalogue(ctx)
	require.NoError(t, err)
	require.Len(t, state.Entries, 4)
	require.Empty(t, state.Recent)
	history, err := c.History(ctx, "orders")
	require.NoError(t, err)
	require.Len(t, history.Results, 1)
	result, err := c.Result(ctx, history.Results[0].ChangeId)
	require.NoError(t, err)
	require.Equal(t, "orders", result.Service)
	result, err = c.Result(ctx, make([]byte, 16))
	require.NoError(t, err)
	require.Nil(t, result)
	members, err := c.Members(ctx)
	require.NoError(t, err)
	require.Len(t, members.Members, 1)
	_, err = c.Explain(ctx, &pb.ExplainRequest{Target: "vm 1", MaxEntries: 3})
	require.NoError(t, err)
	require.Equal(t, "vm 1", f.source.lastExplain.Target)
	require.Equal(t, uint32(3), f.source.lastExplain.MaxEntries)
	_, err = c.Burn(ctx)
	require.NoError(t, err)
}

// Guards against a change that may have been written but is reported as not written, and
// the reverse.
func TestChangeOutcomes(t *testing.T) {
	cases := []struct {
		err     error
		status  int
		outcome outcome.Outcome
	}{
		{ErrUnavailable, 503, outcome.NotRun},
		{ErrInvalid, 400, outcome.NotRun},
		{ErrNotAllowed, 403, outcome.NotRun},
		{ErrUnsettled, 504, outcome.Unknown},
		{context.DeadlineExceeded, 504, outcome.Unknown},
		{errors.New("anything else"), 500, outcome.Unknown},
	}
	for _, c := range cases {
		f := newFixture(t)
		f.source.submitError = errors.Wrap(c.err, "detail")
		_, err := f.client().SubmitChange(context.Background(), &pb.Change{Id: make([]byte, 16), Operator: "a", Service: "b"})
		var clientErr *Error
		require.True(t, errors.As(err, &clientErr))
		require.Equal(t, c.outcome, clientErr.Outcome, c.err)
		require.Equal(t, c.status, clientErr.Status)
	}
}

// Guards against a lost response that is treated as proof that nothing was written.
func TestLostResponses(t *testing.T) {
	change := &pb.Change{Id: make([]byte, 16), Operator: "a", Service: "b"}
	submit := func(handler http.HandlerFunc, closed bool) *Error {
		server := httptest.NewServer(handler)
		defer server.Close()
		if closed {
			server.Close()
		}
		client, err := NewClient(server.URL, nil, 0)
		require.NoError(t, err)
		defer client.Close()
		_, err = client.SubmitChange(context.Background(), change)
		var clientErr *Error
		require.True(t, errors.As(err, &clientErr), "%v", err)
		return clientErr
	}
	abort := func(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }
	respondHTML := func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("<html>")) }
	truncate := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "99")
		_, _ = w.Write([]byte("{"))
	}
	require.Equal(t, outcome.NotRun, submit(respondHTML, true).Outcome)
	require.Equal(t, outcome.Unknown, submit(abort, false).Outcome)
	require.Equal(t, outcome.Unknown, submit(respondHTML, false).Outcome)
	require.Equal(t, outcome.Unknown, submit(truncate, false).Outcome)
}

// Guards against an operator who submits a change under the name of another operator.
func TestAuthorizeByCertificate(t *testing.T) {
	request := func(identity string) *http.Request {
		uri, err := url.Parse(identity)
		require.NoError(t, err)
		certificate := &x509.Certificate{URIs: []*url.URL{uri}}
		return &http.Request{TLS: &tls.ConnectionState{PeerCertificates: []*x509.Certificate{certificate}}}
	}
	change := &pb.Change{}
	require.NoError(t, authorize(request("primrosemount://operator/anna"), change))
	require.Equal(t, "anna", change.Operator)
	require.ErrorIs(t, authorize(request("primrosemount://operator/ben"), change), ErrNotAllowed)
	require.ErrorIs(t, authorize(request("primrosemount://node/anna"), change), ErrNotAllowed)
	require.ErrorIs(t, authorize(&http.Request{TLS: &tls.ConnectionState{}}, change), ErrNotAllowed)
}

// Guards against an invalid URL that fails only at the first request.
func TestNewClientRejectsInvalidURLs(t *testing.T) {
	for _, base := range []string{"", "127.0.0.1:7403", "ftp://127.0.0.1", "http://"} {
		_, err := NewClient(base, nil, 0)
		require.ErrorContains(t, err, "write http://IP:PORT", base)
	}
	_, err := NewClient("https://127.0.0.1:1", nil, 0)
	require.ErrorContains(t, err, "--certificate")
}
