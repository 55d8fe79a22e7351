package operator

import (
	"encoding/json"
	"encoding/xml"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/settings"
)

// writeEditedExample writes the example catalogue to a file, after the header and with
// the given replacements, and returns the name of the file.
func writeEditedExample(t *testing.T, header string, replacements ...string) string {
	t.Helper()
	data, err := os.ReadFile(example)
	require.NoError(t, err)
	name := filepath.Join(t.TempDir(), "catalogue.yaml")
	text := strings.NewReplacer(replacements...).Replace(string(data))
	require.NoError(t, os.WriteFile(name, []byte(header+text), 0o600))
	return name
}

// doubledSlots is a replacement that doubles the slots of the orders service.
var doubledSlots = []string{"slots_per_target: 260", "slots_per_target: 520"}

// Guards against invalid files that are accepted, and against problems reported without
// their position in the file.
func TestValidate(t *testing.T) {
	code, stdout, _ := runCommand(t, "catalogue", "validate", example)
	require.Equal(t, ExitOK, code)
	require.Contains(t, stdout, "4 entries, no problems")

	bad := writeEditedExample(t, "", "class: critical", "class: kritical")
	code, stdout, _ = runCommand(t, "catalogue", "validate", bad)
	require.Equal(t, ExitUsage, code)
	require.Contains(t, stdout, bad+":26:16: entries[0].operations[1].class: unknown name")

	code, stdout, _ = runCommand(t, "catalogue", "validate", "--json", bad)
	require.Equal(t, ExitUsage, code)
	var report struct{ Problems []struct{ Line int } }
	require.NoError(t, json.Unmarshal([]byte(stdout), &report))
	require.Equal(t, 26, report.Problems[0].Line)

	code, _, stderr := runCommand(t, "catalogue", "validate", "/none.yaml")
	require.Equal(t, ExitUsage, code)
	require.Contains(t, stderr, "check the path")
}

// Guards against a first catalogue that a team cannot apply because the file also holds
// entries of other teams, and against such entries being changed or skipped without a
// message.
func TestApplyByOwner(t *testing.T) {
	f := newFixture(t)
	code, stdout, _ := f.run("catalogue", "apply", "--operator", "orders-team", example)
	require.Equal(t, ExitFailed, code)
	require.Regexp(t, `(?m)^orders +create +accepted +1 `, stdout)
	require.Regexp(t, `(?m)^stock +create +skipped .*belongs to "warehouse-team"`, stdout)
	require.Equal(t, uint64(1), f.source.state.Next())
	code, stdout, _ = f.run("catalogue", "apply", "--operator", "sales-team", "--service", "price-list", example)
	require.Equal(t, ExitOK, code)
	require.NotContains(t, stdout, "stock")
	code, _, stderr := f.run("catalogue", "apply", "--operator", "sales-team", "--service", "prices", example)
	require.Equal(t, ExitUsage, code)
	require.Contains(t, stderr, "correct --service")
	for _, owner := range []string{"warehouse-team", "ledger-team", "sales-team"} {
		_, _, _ = f.run("catalogue", "apply", "--operator", owner, example)
	}
	code, stdout, _ = f.run("catalogue", "apply", "--operator", "orders-team", example)
	require.Equal(t, ExitOK, code)
	require.Equal(t, 4, strings.Count(stdout, "kept"))
}

// Guards against a diff that omits a change or reports one that does not exist.
func TestDiff(t *testing.T) {
	f := newFixture(t).fillCatalogue()
	code, stdout, _ := f.run("catalogue", "diff", example)
	require.Equal(t, ExitOK, code)
	require.Equal(t, "0 of 4 entries differ from the catalogue at offset 4\n", stdout)

	_, stdout, _ = f.run("catalogue", "diff", writeEditedExample(t, "", doubledSlots...))
	require.Contains(t, stdout, "update orders (based on revision 2)\n  limits.slots_per_target: 260 -> 520\n")
	_, stdout, _ = f.run("catalogue", "diff", "--json", writeEditedExample(t, "", doubledSlots...))
	require.Contains(t, stdout, `"field":"limits.slots_per_target","before":"260","after":"520"`)

	code, _, stderr := f.run("catalogue", "diff", writeEditedExample(t, "", "class: critical", "class: 3"))
	require.Equal(t, ExitUsage, code)
	require.Contains(t, stderr, "entries[")
}

// Guards against a lost update: an edited file that overwrites a change made after the
// file was read.
func TestApplyRejectsLostUpdate(t *testing.T) {
	f := newFixture(t).fillCatalogue()
	name := filepath.Join(t.TempDir(), "got.yaml")
	code, _, _ := f.run("catalogue", "get", "--output", name)
	require.Equal(t, ExitOK, code)
	got, err := os.ReadFile(name)
	require.NoError(t, err)
	offset, ok := BasedOn(got)
	require.True(t, ok)
	require.Equal(t, uint64(4), offset)

	file, err := settings.LoadCatalogue(writeEditedExample(t, "", "queue_per_target: 260", "queue_per_target: 100"))
	require.NoError(t, err)
	f.putEntry(77, file.Entries[1], 2)
	require.NoError(t, os.WriteFile(name, []byte(strings.Replace(string(got), doubledSlots[0], doubledSlots[1], 1)), 0o600))
	code, stdout, _ := f.run("catalogue", "apply", "--operator", "orders-team", name)
	require.Equal(t, ExitFailed, code)
	require.Contains(t, stdout, `"orders-team" changed the entry at revision 5, after the file was read at offset 4; get the catalogue again`)

	code, _, _ = f.run("catalogue", "apply", "--operator", "orders-team", "--based-on", "5", name)
	require.Equal(t, ExitOK, code)
}

// Guards against a deletion without --delete, and against a deleted service that cannot
// be created again.
func TestApplyDelete(t *testing.T) {
	f := newFixture(t).fillCatalogue()
	file, err := settings.LoadCatalogue(example)
	require.NoError(t, err)
	file.Entries = file.Entries[:3]
	text, err := settings.FormatCatalogue(file)
	require.NoError(t, err)
	name := filepath.Join(t.TempDir(), "c.yaml")
	require.NoError(t, os.WriteFile(name, text, 0o600))

	_, stdout, _ := f.run("catalogue", "apply", "--operator", "sales-team", name)
	require.NotContains(t, stdout, "delete")
	code, stdout, _ := f.run("catalogue", "apply", "--operator", "sales-team", "--delete", name)
	require.Equal(t, ExitOK, code)
	require.Regexp(t, `price-list +delete +accepted`, stdout)
	code, stdout, _ = f.run("catalogue", "apply", "--operator", "sales-team", example)
	require.Equal(t, ExitOK, code)
	require.Regexp(t, `price-list +create +accepted`, stdout)
}

// Guards against an unknown result that is reported as a success or a failure.
func TestApplyOutcomes(t *testing.T) {
	cases := []struct {
		err     error
		written bool
		settle  string
		code    int
		state   string
	}{
		{ErrUnavailable, false, "1ms", ExitFailed, "failed"},
		{ErrUnsettled, false, "1ms", ExitUnknown, "unknown"},
		{ErrUnsettled, true, "10s", ExitOK, "accepted"},
	}
	for _, c := range cases {
		f := newFixture(t).fillCatalogue()
		f.source.submitError, f.source.written = c.err, c.written
		code, stdout, _ := f.run("catalogue", "apply", "--operator", "orders-team", "--settle", c.settle, writeEditedExample(t, "", doubledSlots...))
		require.Equal(t, c.code, code, stdout)
		require.Regexp(t, "orders +update +"+c.state, stdout)
		require.Equal(t, c.code == ExitUnknown, strings.Contains(stdout, "primrosemount catalogue status"))
	}
}

// Guards against error messages without a remedy, for a node that does not respond or
// has not read the state yet.
func TestNodeErrorsHaveRemedies(t *testing.T) {
	code, _, stderr := runCommand(t, "catalogue", "get", "--node", "http://127.0.0.1:1")
	require.Equal(t, ExitFailed, code)
	require.Contains(t, stderr, "check --node")
	code, _, stderr = runCommand(t, "catalogue", "get", "--node", "nowhere")
	require.Equal(t, ExitUsage, code)
	require.Contains(t, stderr, "write http://IP:PORT")
	code, _, stderr = runCommand(t, "report", "burn", "--certificate", "/none")
	require.Equal(t, ExitUsage, code)
	require.Contains(t, stderr, "give all three")

	f := newFixture(t)
	f.source.failure = errors.Mark(errors.New("no state"), ErrStateUnknown)
	for _, line := range []string{"catalogue get", "catalogue history", "catalogue status", "report burn", "explain --target vm"} {
		code, stdout, stderr := f.run(strings.Fields(line)...)
		require.Equal(t, ExitFailed, code, line)
		require.Empty(t, stdout)
		require.Contains(t, stderr, "no state")
	}
}

// Guards against results of changes that cannot be looked up later.
func TestHistoryAndStatus(t *testing.T) {
	f := newFixture(t).fillCatalogue()
	_, stdout, _ := f.run("catalogue", "history", "--service", "orders")
	id := strings.Repeat("02", 16)
	require.Regexp(t, `1 +orders +orders-team +accepted +`+id, stdout)
	code, stdout, _ := f.run("catalogue", "status", id)
	require.Equal(t, ExitOK, code)
	require.Contains(t, stdout, "accepted")
	code, _, stderr := f.run("catalogue", "status", strings.Repeat("0", 32))
	require.Equal(t, ExitUnknown, code)
	require.Contains(t, stderr, "ask again")
	code, _, stderr = f.run("catalogue", "status", "xyz")
	require.Equal(t, ExitUsage, code)
	require.Contains(t, stderr, "32 hexadecimal digits")
	_, stdout, _ = f.run("catalogue", "status")
	require.Contains(t, stdout, "3 in progress, limit 9, threshold 0, draining")
	require.Regexp(t, `members: +not known yet`, stdout)
	code, _, stderr = f.run("catalogue", "get", "--service", "none")
	require.Equal(t, ExitFailed, code)
	require.Contains(t, stderr, "lists the services")
}

func burnReport(services int) *pb.BurnReport {
	report := &pb.BurnReport{NodesAsked: 5, NodesAnswered: 4, TimeUnixNanos: 1e18}
	for i := range services {
		for _, seconds := range []int64{300, 3600, 21600} {
			report.Counters = append(report.Counters, &pb.BurnCounter{
				Service: fmt.Sprintf("s<%d>&", i), Class: pb.Class_CLASS_CRITICAL, WindowSeconds: seconds,
				Good: 800, Bad: 200, Objective: 0.99,
			})
		}
	}
	report.Counters[0].Objective = 1
	return report
}

// Guards against a report that does not state how many nodes it covers.
func TestBurnTable(t *testing.T) {
	f := newFixture(t)
	f.source.burn = burnReport(2)
	code, stdout, _ := f.run("report", "burn")
	require.Equal(t, ExitOK, code)
	require.Contains(t, stdout, "4 of 5 nodes answered; requests that entered at the others are missing.")
	require.Regexp(t, `fast +s<1>& +critical +99 % +20.00 +20.00 +20.00 +200 +1000`, stdout)
	require.Regexp(t, `fast +s<0>& +critical +100 % +inf`, stdout)
	_, stdout, _ = f.run("report", "burn", "--json")
	require.Contains(t, stdout, `"nodes_answered":4`)
}

// Guards against a page that needs other files, is not well formed, does not escape
// service names, or does not state how many nodes it covers.
func TestBurnPage(t *testing.T) {
	f := newFixture(t)
	f.source.burn = burnReport(100)
	name := filepath.Join(t.TempDir(), "burn.html")
	code, _, stderr := f.run("report", "burn", "--html", name)
	require.Equal(t, ExitOK, code, stderr)
	data, err := os.ReadFile(name)
	require.NoError(t, err)
	text := string(data)
	require.Contains(t, text, "4 of 5 nodes answered")
	require.Equal(t, maxPlots, strings.Count(text, "<svg "))
	require.Equal(t, 101, strings.Count(text, "<tr>"))
	require.NotContains(t, text, "s<1>")
	require.NotRegexp(t, `(src|href)=|https?:`, text)
	requireWellFormed(t, text)
	code, _, stderr = f.run("report", "burn", "--html", filepath.Join(name, "none"))
	require.Equal(t, ExitFailed, code)
	require.Contains(t, stderr, "check the path")
}

func requireWellFormed(t *testing.T, text string) {
	t.Helper()
	decoder := xml.NewDecoder(strings.NewReader(text))
	decoder.Strict = true
	for {
		_, err := decoder.Token()
		if err == io.EOF {
			return
		}
		require.NoError(t, err)
	}
}

// Guards against bars that extend beyond the plot.
func TestBarWidth(t *testing.T) {
	require.Zero(t, barWidth(0))
	require.Equal(t, plotWidth, barWidth(math.Inf(1)))
	require.Equal(t, plotWidth/4, barWidth(1))
}

// Guards against entries sorted by node instead of time, and against control characters
// that reach the terminal.
func TestExplain(t *testing.T) {
	f := newFixture(t)
	f.source.explain = &pb.ExplainReport{NodesAsked: 3, Answers: []*pb.ExplainResponse{
		{Node: "n2", Dropped: 4, Entries: []*pb.JournalEntry{{TimeUnixNanos: 2e9, Node: "n2", Event: "refused", Reason: pb.Reason_REASON_OVERLOADED, Outcome: pb.Outcome_OUTCOME_NOT_RUN}}},
		{Node: "n1", Dropped: 1, Entries: []*pb.JournalEntry{{TimeUnixNanos: 1e9, Node: "n1", Event: "routed", Detail: "a\x1b[31m\nb"}}},
	}}
	code, stdout, _ := f.run("explain", "--request", strings.Repeat("ab", 16))
	require.Equal(t, ExitOK, code)
	require.Less(t, strings.Index(stdout, "routed"), strings.Index(stdout, "refused"))
	require.Contains(t, stdout, "not_run")
	require.Contains(t, stdout, "2 entries; 2 of 3 nodes answered; their journals dropped 5 entries in all.")
	require.NotContains(t, stdout, "\x1b")
	require.Len(t, f.source.lastExplain.RootId, 16)
	_, stdout, _ = f.run("explain", "--target", "vm", "--json")
	require.Contains(t, stdout, `"nodes_asked":3`)

	for _, line := range []string{"explain", "explain --request 12", "explain --request 12 --target v", "explain --target v --max 0"} {
		code, _, stderr := f.run(strings.Fields(line)...)
		require.Equal(t, ExitUsage, code, line)
		require.NotEmpty(t, stderr)
	}
}

// Guards against a version command that prints nothing.
func TestVersion(t *testing.T) {
	code, stdout, _ := runCommand(t, "version")
	require.Equal(t, ExitOK, code)
	require.Contains(t, stdout, "primrosemount")
	code, stdout, _ = runCommand(t, "version", "--json")
	require.Equal(t, ExitOK, code)
	require.Contains(t, stdout, "go_version")
}

// Guards against a plan that modifies the state from which it was made.
func TestPlanDoesNotModifyState(t *testing.T) {
	f := newFixture(t).fillCatalogue()
	state, err := f.source.Catalogue(t.Context())
	require.NoError(t, err)
	before := proto.Clone(state)
	_, err = Plan(state, &pb.CatalogueFile{}, PlanOptions{Delete: true})
	require.NoError(t, err)
	require.True(t, proto.Equal(before, state))
}
