package settings

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

const minimalSettings = `vm: v1
availability_zone: a
service: stock
log: {url: "http://127.0.0.1:7000"}
`

func problemsOf(t *testing.T, err error) []Problem {
	t.Helper()
	var typed *Error
	require.True(t, errors.As(err, &typed), "%v", err)
	return typed.Problems
}

// Guards against example files that the loader rejects.
func TestExamplesLoad(t *testing.T) {
	for _, user := range []string{"kenttavuoro", "sarr-fils"} {
		dir := filepath.Join("..", "examples", user)
		node, err := LoadNode(filepath.Join(dir, "node.yaml"))
		require.NoError(t, err)
		catalogue, err := LoadCatalogue(filepath.Join(dir, "catalogue.yaml"))
		require.NoError(t, err)
		require.Len(t, catalogue.Entries, 4)
		services := map[string]bool{}
		for _, entry := range catalogue.Entries {
			services[entry.Service] = true
		}
		require.True(t, services[node.Service])
	}
}

// Guards against units and enum names that are decoded as wrong values.
func TestCatalogueValues(t *testing.T) {
	catalogue, err := LoadCatalogue("../examples/kenttavuoro/catalogue.yaml")
	require.NoError(t, err)
	entry := catalogue.Entries[0]
	require.Equal(t, uint64(64<<10), entry.Limits.RequestBytes)
	require.Equal(t, time.Minute, entry.Limits.Drain.AsDuration())
	require.Equal(t, pb.Class_CLASS_SHEDDABLE, entry.Operations[0].Class)
	require.True(t, entry.Operations[0].Idempotent)
	require.Equal(t, 0.999, entry.Objective.Goodput)
	require.Equal(t, []string{"*"}, entry.AllowedCallers)
}

// Guards against defaults that are not filled in or that override values in the file.
func TestNodeDefaults(t *testing.T) {
	s, err := ParseNode([]byte(minimalSettings + "bounds: {journal_entries: 99}\n"))
	require.NoError(t, err)
	require.Equal(t, DefaultNodesAddress, s.Advertise)
	require.Equal(t, DefaultCallersAddress, s.Listen.Callers)
	require.Equal(t, DefaultLogTimeout, s.Log.Timeout.AsDuration())
	require.Equal(t, uint32(99), s.Bounds.JournalEntries)
	require.Equal(t, uint64(DefaultBodyBytes), s.Bounds.BodyBytes)
}

// Guards against faulty settings that are accepted, or that are reported at the wrong
// position or without a remedy.
func TestNodeProblems(t *testing.T) {
	cases := []struct{ name, add, want string }{
		{"unknown key", "lissten: {}", `5:1: unknown key "lissten"; did you mean "listen"?`},
		{"unknown nested key", "bounds:\n  body_byte: 1KiB", `6:3: bounds: unknown key "body_byte"; did you mean "body_bytes"?`},
		{"unrelated key", "bounds: {x: 1}", `5:10: bounds: unknown key "x"; known keys are header_bytes`},
		{"duplicate key", "vm: v2", "5:1: vm: the key is repeated, first at line 1; keep one"},
		{"wrong type", "seeds: 7", "5:8: seeds: this must be a list and is a number; write each item"},
		{"text expected", "region: 7", "5:9: region: this must be text and is a number; put the value in quotes"},
		{"mapping expected", "listen: here", "5:9: listen: this must be a mapping and is text; "},
		{"size unit", "bounds: {body_bytes: 4 miles}", `5:22: bounds.body_bytes: "4 miles" is not a size; write bytes`},
		{"size overflow", "bounds: {body_bytes: 99999999999GiB}", `5:22: bounds.body_bytes: "99999999999GiB" is not a size`},
		{"negative number", "bounds: {journal_entries: -1}", "5:27: bounds.journal_entries: the number is out of range; write a number from 0 to 4294967295"},
		{"out of range", "bounds: {journal_entries: 1}", "5:10: bounds.journal_entries: 1 is out of range; write a value from 16"},
		{"empty value", "region:", "5:1: region: the value is missing; give a value or remove the key"},
		{"alias", "region: &r x", "5:9: region: anchors, aliases and tags are not supported; write the value out"},
		{"target", "listen: {target: 10.0.0.1:7401}", "5:10: listen.target: the listener for the target is not on loopback; use a loopback address"},
		{"no TLS", "listen: {callers: 10.0.0.1:7400}", "5:10: listen.callers: 10.0.0.1:7400 is not a loopback address and TLS is not configured; set tls"},
		{"address conflict", "listen: {callers: 127.0.0.1:7402}", "5:1: listen.nodes: 127.0.0.1:7402 is also used by listen.callers; use another port"},
		{"host name", "advertise: localhost:7402", `5:1: advertise: "localhost:7402" is not an address; write IP:port`},
		{"incomplete TLS", "tls: {key_file: k}", "5:1: tls.certificate_file: the setting is missing; name all three"},
		{"log level", "log_level: loud", `5:1: log_level: unknown level "loud"; write one of debug, info, warn, error`},
		{"two documents", "---\nvm: v2", "6:1: the file holds several documents; keep one document a file"},
		{"syntax", "a: [", "5:"},
		{"nesting", "seeds: " + strings.Repeat("[", 200), "5:108: more than 100 nested brackets or list marks; "},
		{"nested list marks", strings.Repeat("- ", 1_000_000), "5:201: more than 100 nested brackets or list marks; "},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseNode([]byte(minimalSettings + c.add + "\n"))
			require.Error(t, err)
			require.Contains(t, err.Error(), c.want)
		})
	}
}

// Guards against accepting timeouts and poll intervals that stall or flood the log
// service.
func TestNodeIntervals(t *testing.T) {
	for value, want := range map[string]string{
		"0s":      "log.timeout: 0s is out of range; write a value from 10ms to 1m0s",
		"2h":      "log.timeout: 2h0m0s is out of range",
		"-1s":     "log.timeout: the duration is negative; write a duration of 0s or more",
		"3":       "log.timeout: this must be a duration and is a number; write a number with a unit",
		"3 weeks": `log.timeout: "3 weeks" is not a duration; write a number with a unit`,
	} {
		text := fmt.Sprintf("vm: v\navailability_zone: a\nservice: s\nlog: {url: \"http://h\", timeout: %s}", value)
		_, err := ParseNode([]byte(text))
		require.ErrorContains(t, err, want)
	}
}

// Guards against a loader that reports only the first problem.
func TestAllProblemsAreReported(t *testing.T) {
	_, err := ParseNode([]byte("servise: x\nlog: {timeout: 1}\nlog_level: loud"))
	problems := problemsOf(t, err)
	var fields []string
	for _, p := range problems {
		require.NotZero(t, p.Line)
		require.NotEmpty(t, p.Remedy)
		fields = append(fields, p.Field)
	}
	require.ElementsMatch(t, fields, []string{"", "vm", "availability_zone", "service", "log.url", "log.timeout", "log_level"})
}

// Guards against catalogue problems that are not reported at the line of their field.
func TestCatalogueProblems(t *testing.T) {
	text := "entries:\n- service: a\n  class: kritical\n- service: a\n  operations:\n  - name: x\n    deadline: 100h\n- owner: o\n  limits: 3\n"
	_, err := ParseCatalogue([]byte(text))
	got := err.Error()
	require.Contains(t, got, `3:10: entries[0].class: unknown name "kritical"; did you mean "critical"?`)
	require.Contains(t, got, `4:3: entries[1].service: service "a" already has an entry at line 2; keep one`)
	require.Contains(t, got, "7:5: entries[1].operations[0].deadline: ")
	require.Contains(t, got, "2:3: entries[0].owner: is empty; name the operator")
	require.Contains(t, got, "8:3: entries[2].service: is empty; ")
	require.Contains(t, got, "9:11: entries[2].limits: this must be a mapping")
}

// Guards against a formatted catalogue that is parsed as a different one.
func TestFormatRoundTrip(t *testing.T) {
	for _, user := range []string{"kenttavuoro", "sarr-fils"} {
		before, err := LoadCatalogue(filepath.Join("..", "examples", user, "catalogue.yaml"))
		require.NoError(t, err)
		before.Entries[0].Owner = "a: 'b' # c"
		before.Entries[1].AllowedCallers = []string{"*", "null", "1.5"}
		text, err := FormatCatalogue(before)
		require.NoError(t, err)
		after, err := ParseCatalogue(text)
		require.NoError(t, err, "%s", text)
		require.True(t, proto.Equal(before, after), "%s", text)
	}
}

// Guards against identifying named list items by their index. A comparison of two
// entries would then show unrelated items as changed after an insertion.
func TestFlatten(t *testing.T) {
	got := Flatten(&pb.Entry{
		Service:        "a",
		Class:          pb.Class_CLASS_CRITICAL,
		Limits:         &pb.Limits{RequestBytes: 2048},
		Operations:     []*pb.Operation{{Name: "book", Deadline: durationpb.New(time.Second)}},
		AllowedCallers: []string{"x", "y"},
	})
	require.Equal(t, []FieldText{
		{"service", "a"}, {"class", "critical"}, {"limits.request_bytes", "2KiB"},
		{"operations[book].name", "book"}, {"operations[book].idempotent", "false"}, {"operations[book].deadline", "1s"},
		{"allowed_callers", "x, y"},
	}, got)
}

// Guards against errors for unreadable files that do not name the file.
func TestUnreadableFiles(t *testing.T) {
	_, err := LoadNode(filepath.Join(t.TempDir(), "none.yaml"))
	require.ErrorIs(t, err, fs.ErrNotExist)
	require.ErrorContains(t, err, "check the path")

	large := filepath.Join(t.TempDir(), "large.yaml")
	require.NoError(t, os.WriteFile(large, make([]byte, MaxFileBytes+1), 0o600))
	_, err = LoadCatalogue(large)
	require.Equal(t, large, problemsOf(t, err)[0].File)
}

// Guards against crashes on arbitrary input, and against problems without a line or
// a remedy.
func FuzzParse(f *testing.F) {
	f.Add(minimalSettings)
	for _, user := range []string{"kenttavuoro", "sarr-fils"} {
		for _, name := range []string{"node.yaml", "catalogue.yaml"} {
			data, err := os.ReadFile(filepath.Join("..", "examples", user, name))
			require.NoError(f, err)
			f.Add(string(data))
		}
	}
	for _, text := range []string{"", "? a", "- - -", "a: !!int 3", "<<: *a", "a: |\n  x", "entries: [{service: 1}]", "log: {timeout: .inf}"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		node, err := ParseNode([]byte(text))
		requireProblems(t, node, err)
		catalogue, err := ParseCatalogue([]byte(text))
		requireProblems(t, catalogue, err)
	})
}

func requireProblems(t *testing.T, message proto.Message, err error) {
	if err == nil {
		require.NotNil(t, message)
		return
	}
	for _, p := range problemsOf(t, err) {
		require.Positive(t, p.Line)
		require.NotEmpty(t, p.Remedy)
	}
}
