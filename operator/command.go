package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/transport/tlsconfig"
)

// Exit codes of the subcommands.
const (
	// ExitOK means that the command succeeded completely.
	ExitOK = 0
	// ExitFailed means that something was rejected, or failed without effect.
	ExitFailed = 1
	// ExitUsage means that the arguments or a file are invalid.
	ExitUsage = 2
	// ExitUnknown means that a change may or may not have taken effect.
	ExitUnknown = 3
)

// Commands holds the operators' subcommands. It is embedded in the arguments of the
// program.
type Commands struct {
	Catalogue *CatalogueCommand `arg:"subcommand:catalogue" help:"read and change the catalogue"`
	Report    *ReportCommand    `arg:"subcommand:report" help:"report on service levels"`
	Explain   *ExplainCommand   `arg:"subcommand:explain" help:"explain what happened to a request or at a target"`
	Version   *VersionCommand   `arg:"subcommand:version" help:"print the version"`
}

// A CatalogueCommand holds the subcommands for the catalogue.
type CatalogueCommand struct {
	Validate *ValidateCommand `arg:"subcommand:validate" help:"check a catalogue file"`
	Diff     *DiffCommand     `arg:"subcommand:diff" help:"compare a catalogue file with the catalogue in force"`
	Apply    *ApplyCommand    `arg:"subcommand:apply" help:"submit the changes of a catalogue file"`
	Get      *GetCommand      `arg:"subcommand:get" help:"print the catalogue in force as a catalogue file"`
	History  *HistoryCommand  `arg:"subcommand:history" help:"print recent changes and what was decided about them"`
	Status   *StatusCommand   `arg:"subcommand:status" help:"print what a node knows, or the result of one change"`
}

// A ReportCommand holds the subcommands for reports.
type ReportCommand struct {
	Burn *BurnCommand `arg:"subcommand:burn" help:"how fast services spend what their objectives permit"`
}

// An Output holds the writers to which subcommands print.
type Output struct {
	Stdout io.Writer
	Stderr io.Writer
}

// subcommand is implemented by all subcommands. The method run returns the exit code. An
// error is printed as well, but does not change the code.
type subcommand interface {
	run(ctx context.Context, out Output) (int, error)
}

// Run runs the subcommand that was given and returns its exit code. It returns false
// if no subcommand was given, or only an incomplete one such as "catalogue".
func (c *Commands) Run(ctx context.Context, out Output) (int, bool) {
	command := c.selected()
	if command == nil {
		return ExitUsage, false
	}
	code, err := command.run(ctx, out)
	if err != nil {
		_, _ = fmt.Fprintln(out.Stderr, err)
	}
	return code, true
}

// selected returns the subcommand that was given, or nil if there is none.
func (c *Commands) selected() subcommand {
	switch {
	case c.Explain != nil:
		return c.Explain.selected()
	case c.Version != nil:
		return c.Version
	case c.Report != nil && c.Report.Burn != nil:
		return c.Report.Burn
	case c.Catalogue != nil:
		return c.Catalogue.selected()
	}
	return nil
}

func (c *CatalogueCommand) selected() subcommand {
	switch {
	case c.Validate != nil:
		return c.Validate
	case c.Diff != nil:
		return c.Diff
	case c.Apply != nil:
		return c.Apply
	case c.Get != nil:
		return c.Get
	case c.History != nil:
		return c.History
	case c.Status != nil:
		return c.Status
	}
	return nil
}

// NodeFlags selects the node to which requests are sent. Any node of the system can
// serve them.
type NodeFlags struct {
	Node        string        `arg:"--node,env:PRIMROSEMOUNT_NODE" default:"http://127.0.0.1:7403" placeholder:"URL" help:"operators' listener of a node"`
	Certificate string        `arg:"--certificate,env:PRIMROSEMOUNT_CERTIFICATE" placeholder:"FILE" help:"certificate of the operator, for https"`
	Key         string        `arg:"--key,env:PRIMROSEMOUNT_KEY" placeholder:"FILE" help:"key of the certificate"`
	Authorities string        `arg:"--authorities,env:PRIMROSEMOUNT_AUTHORITIES" placeholder:"FILE" help:"authorities of the nodes"`
	Timeout     time.Duration `arg:"--timeout" default:"15s" help:"longest wait for one answer"`
}

// client returns a client of the node. An error means that the flags are invalid.
func (f *NodeFlags) client() (*Client, error) {
	config, err := f.tls()
	if err != nil {
		return nil, err
	}
	return NewClient(f.Node, config, f.Timeout)
}

func (f *NodeFlags) tls() (*tls.Config, error) {
	if f.Certificate == "" && f.Key == "" && f.Authorities == "" {
		return nil, nil
	}
	source, err := tlsconfig.Load(&pb.TlsSettings{
		CertificateFile: f.Certificate,
		KeyFile:         f.Key,
		AuthoritiesFile: f.Authorities,
	})
	if err != nil {
		return nil, errors.Wrap(err, "give all three of --certificate, --key and --authorities")
	}
	return source.Client(tlsconfig.RoleNode), nil
}

// OutputFlags selects the output format.
type OutputFlags struct {
	JSON bool `arg:"--json" help:"print JSON"`
}

// print writes message as JSON with --json, and otherwise calls text to write plain
// text.
func (f *OutputFlags) print(out Output, message proto.Message, text func(io.Writer)) error {
	if !f.JSON {
		text(out.Stdout)
		return nil
	}
	data, err := encodeJSON(message)
	if err != nil {
		return errors.Wrap(err, "operator: the result cannot be encoded as JSON; report this to the developers")
	}
	// protojson deliberately varies its white space. Compacting makes the output of
	// equal messages equal.
	var line bytes.Buffer
	if err := json.Compact(&line, data); err != nil {
		return errors.Wrap(err, "operator: the result cannot be encoded as JSON; report this to the developers")
	}
	_, err = fmt.Fprintln(out.Stdout, line.String())
	return err
}

// table writes a header and lines of tab-separated cells in aligned columns.
func table(w io.Writer, header string, lines func(io.Writer)) {
	aligned := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(aligned, header)
	lines(aligned)
	_ = aligned.Flush()
}

// row writes one line of a table.
func row(w io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = cellText(fmt.Sprint(cell))
	}
	_, _ = fmt.Fprintln(w, strings.Join(texts, "\t"))
}

// cellText replaces control characters by spaces, so that no value can break the table
// or send escape sequences to the terminal.
func cellText(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return ' '
		}
		return r
	}, text)
}

// A VersionCommand prints the version.
type VersionCommand struct {
	OutputFlags
}

// Version returns the version information that the build recorded in the program.
func Version() *pb.VersionReport {
	report := &pb.VersionReport{Version: "unknown", GoVersion: runtime.Version()}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return report
	}
	report.Version = info.Main.Version
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			report.Revision = setting.Value
		}
	}
	return report
}

func (c *VersionCommand) run(_ context.Context, out Output) (int, error) {
	report := Version()
	err := c.print(out, report, func(w io.Writer) {
		_, _ = fmt.Fprintln(w, "primrosemount", report.Version, orDash(report.Revision), report.GoVersion)
	})
	return exitCode(err), err
}

// exitCode returns the exit code of a command that cannot have an unknown outcome.
func exitCode(err error) int {
	if err != nil {
		return ExitFailed
	}
	return ExitOK
}
