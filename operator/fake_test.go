package operator

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/primrosemount/primrosemount/core/catalogue"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/settings"
)

const example = "../examples/sarr-fils/catalogue.yaml"

// fakeSource is a Source that applies changes to its state as a node does.
type fakeSource struct {
	mutex sync.Mutex
	state *catalogue.State
	// submitError is returned by SubmitChange. written determines whether the change
	// takes effect in spite of the error.
	submitError error
	written     bool
	// failure is returned by all other methods.
	failure     error
	explain     *pb.ExplainReport
	lastExplain *pb.ExplainRequest
	burn        *pb.BurnReport
}

func (f *fakeSource) Status(context.Context) (*pb.NodeStatus, error) {
	return &pb.NodeStatus{
		Node:    "ledger-b-1",
		Service: "credit-ledger",
		Streams: []*pb.StreamStatus{{Stream: "catalogue", NextOffset: 4, Known: true}, {Stream: "members"}},
		Gate:    &pb.GateReport{InFlight: 3, Limit: 9, Draining: true},
	}, f.failure
}

func (f *fakeSource) Catalogue(context.Context) (*pb.CatalogueState, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	state := &pb.CatalogueState{}
	if err := proto.Unmarshal(f.state.Encode(), state); err != nil {
		return nil, err
	}
	return state, f.failure
}

func (f *fakeSource) SubmitChange(_ context.Context, change *pb.Change) (*pb.ChangeResult, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.submitError != nil && !f.written {
		return nil, f.submitError
	}
	effect, err := f.state.Apply(f.state.Next(), catalogue.ChangeRecord(change))
	if err != nil {
		return nil, err
	}
	return effect.Result, f.submitError
}

func (f *fakeSource) Members(context.Context) (*pb.MembersState, error) {
	return &pb.MembersState{Members: []*pb.Member{{Vm: "ledger-b-1"}}}, f.failure
}

func (f *fakeSource) Explain(_ context.Context, request *pb.ExplainRequest) (*pb.ExplainReport, error) {
	f.lastExplain = request
	return f.explain, f.failure
}

func (f *fakeSource) Burn(context.Context) (*pb.BurnReport, error) { return f.burn, f.failure }

// fixture is a fake node with an operators' listener.
type fixture struct {
	t      *testing.T
	source *fakeSource
	url    string
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	source := &fakeSource{state: catalogue.NewState(), burn: &pb.BurnReport{}, explain: &pb.ExplainReport{}}
	metrics := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("metric 1\n")) })
	handler, err := NewHandler(ServerConfig{Source: source, Metrics: metrics})
	require.NoError(t, err)
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return &fixture{t: t, source: source, url: server.URL}
}

// fillCatalogue applies the example catalogue with one change per entry.
func (f *fixture) fillCatalogue() *fixture {
	f.t.Helper()
	file, err := settings.LoadCatalogue(example)
	require.NoError(f.t, err)
	for i, entry := range file.Entries {
		f.putEntry(byte(i+1), entry, 0)
	}
	return f
}

func (f *fixture) putEntry(id byte, entry *pb.Entry, base uint64) {
	f.t.Helper()
	result, err := f.source.SubmitChange(context.Background(), &pb.Change{
		Id:           bytes.Repeat([]byte{id}, catalogue.ChangeIDBytes),
		Operator:     entry.Owner,
		Service:      entry.Service,
		BaseRevision: base,
		Entry:        entry,
	})
	require.NoError(f.t, err)
	require.True(f.t, result.Accepted, result.Detail)
}

func (f *fixture) client() *Client {
	f.t.Helper()
	client, err := NewClient(f.url, nil, 5*time.Second)
	require.NoError(f.t, err)
	f.t.Cleanup(client.Close)
	return client
}

// run runs a command line with the node as its --node.
func (f *fixture) run(line ...string) (code int, stdout, stderr string) {
	f.t.Helper()
	return runCommand(f.t, append(line, "--node", f.url)...)
}

// runCommand runs a command line as the program does.
func runCommand(t *testing.T, line ...string) (code int, stdout, stderr string) {
	t.Helper()
	var arguments struct{ Commands }
	parser, err := arg.NewParser(arg.Config{Program: "primrosemount", IgnoreEnv: true}, &arguments)
	require.NoError(t, err)
	require.NoError(t, parser.Parse(line), "%s", strings.Join(line, " "))
	var out, errs bytes.Buffer
	code, handled := arguments.Run(context.Background(), Output{Stdout: &out, Stderr: &errs})
	require.True(t, handled)
	return code, out.String(), errs.String()
}
