package operator

import (
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/primrosemount/primrosemount/core/outcome"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// An ExplainCommand prints the journal entries about a request or a target, or the
// lines of log files about a request.
type ExplainCommand struct {
	Placement *ExplainPlacementCommand `arg:"subcommand:placement" help:"explain where a node would send a request now"`
	NodeFlags
	OutputFlags
	Request string   `arg:"--request" placeholder:"ID" help:"root request id, 32 hexadecimal digits; with --logs any id of an attempt or call"`
	Target  string   `arg:"--target" placeholder:"VM" help:"VM of a target"`
	Max     uint32   `arg:"--max" default:"200" help:"most entries of one node"`
	Logs    []string `arg:"--logs,separate" placeholder:"FILE" help:"read the log of a node instead of asking nodes; may be repeated, - is standard input"`
}

// selected returns the subcommand that was given, or the command itself.
func (c *ExplainCommand) selected() subcommand {
	if c.Placement == nil {
		return c
	}
	c.Placement.JSON, c.Placement.Timeout = c.JSON, c.NodeFlags.Timeout
	return c.Placement
}

// request checks the arguments and returns the request to the node.
func (c *ExplainCommand) request() (*pb.ExplainRequest, error) {
	if (c.Request == "") == (c.Target == "") {
		return nil, errors.New("operator: give exactly one of --request ID and --target VM")
	}
	if c.Max == 0 || c.Max > MaxExplainEntries {
		return nil, errors.Newf("operator: --max is out of range; give a number from 1 to %d", MaxExplainEntries)
	}
	root, err := hex.DecodeString(c.Request)
	if err != nil || (c.Request != "" && len(root) != outcome.RootIDBytes) {
		return nil, errors.Newf("operator: %q is not a request id; write the %d hexadecimal digits of request_id in the error that the caller got", c.Request, 2*outcome.RootIDBytes)
	}
	return &pb.ExplainRequest{RootId: root, Target: c.Target, MaxEntries: c.Max}, nil
}

func (c *ExplainCommand) run(ctx context.Context, out Output) (int, error) {
	if len(c.Logs) > 0 {
		return c.explainLogs(out)
	}
	request, err := c.request()
	if err != nil {
		return ExitUsage, err
	}
	client, err := c.client()
	if err != nil {
		return ExitUsage, err
	}
	defer client.Close()
	report, err := client.Explain(ctx, request)
	if err != nil {
		return ExitFailed, err
	}
	err = c.print(out, report, func(w io.Writer) { printExplain(w, report) })
	return exitCode(err), err
}

// printExplain prints the entries of all nodes sorted by time. The clocks of VMs differ,
// so entries of different nodes may appear out of order.
func printExplain(w io.Writer, report *pb.ExplainReport) {
	entries, dropped := mergeEntries(report)
	table(w, "TIME\tNODE\tPART\tEVENT\tSERVICE\tOPERATION\tTARGET\tCLASS\tOUTCOME\tREASON\tDETAIL", func(w io.Writer) {
		for _, entry := range entries {
			printEntry(w, entry)
		}
	})
	_, _ = fmt.Fprintf(w, "%d entries; %d of %d nodes answered; their journals dropped %d entries in all.\n",
		len(entries), len(report.Answers), report.NodesAsked, dropped)
	if len(entries) == 0 {
		_, _ = fmt.Fprintln(w, "Nothing is recorded: completed requests are sampled, and old entries are dropped.")
	}
}

// mergeEntries returns the entries of all nodes sorted by time, and the number of
// entries that their journals dropped.
func mergeEntries(report *pb.ExplainReport) ([]*pb.JournalEntry, uint64) {
	var entries []*pb.JournalEntry
	dropped := uint64(0)
	for _, response := range report.Answers {
		entries = append(entries, response.Entries...)
		dropped += response.Dropped
	}
	slices.SortStableFunc(entries, func(a, b *pb.JournalEntry) int {
		return int(a.TimeUnixNanos - b.TimeUnixNanos)
	})
	return entries, dropped
}

func printEntry(w io.Writer, e *pb.JournalEntry) {
	when := time.Unix(0, e.TimeUnixNanos).UTC().Format("2006-01-02T15:04:05.000000Z")
	row(w, when, e.Node, e.Part, e.Event, e.Service, e.Operation, orDash(e.Target),
		className(e.Class), outcomeText(e.Outcome), reasonText(e.Reason), e.Detail)
}

func outcomeText(o pb.Outcome) string {
	if o == pb.Outcome_OUTCOME_UNSPECIFIED {
		return "-"
	}
	return outcome.FromProto(o).String()
}

func reasonText(r pb.Reason) string {
	if r == pb.Reason_REASON_UNSPECIFIED {
		return "-"
	}
	return outcome.Reason(r).String()
}
