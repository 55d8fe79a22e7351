package operator

import (
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/primrosemount/primrosemount/core/catalogue"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/settings"
)

// A ValidateCommand checks a catalogue file without contacting a node.
type ValidateCommand struct {
	OutputFlags
	File string `arg:"positional,required" help:"catalogue file"`
}

func (c *ValidateCommand) run(_ context.Context, out Output) (int, error) {
	file, err := settings.LoadCatalogue(c.File)
	var fileErr *settings.Error
	if err != nil && !errors.As(err, &fileErr) {
		return ExitUsage, err
	}
	report := validationReport(file, fileErr)
	err = c.print(out, report, func(w io.Writer) { printValidation(w, c.File, file, fileErr) })
	if fileErr != nil {
		return ExitUsage, err
	}
	return exitCode(err), err
}

func validationReport(file *pb.CatalogueFile, fileErr *settings.Error) *pb.ValidationReport {
	if fileErr == nil {
		return &pb.ValidationReport{Valid: true, Entries: uint32(len(file.Entries))}
	}
	report := &pb.ValidationReport{}
	for _, p := range fileErr.Problems {
		report.Problems = append(report.Problems, &pb.FileProblem{
			File:    p.File,
			Line:    uint32(p.Line),
			Column:  uint32(p.Column),
			Field:   p.Field,
			Message: p.Message,
			Remedy:  p.Remedy,
		})
	}
	return report
}

func printValidation(w io.Writer, name string, file *pb.CatalogueFile, fileErr *settings.Error) {
	if fileErr != nil {
		_, _ = fmt.Fprintf(w, "%v\n%s: %d problems\n", fileErr, name, len(fileErr.Problems))
		return
	}
	_, _ = fmt.Fprintf(w, "%s: %d entries, no problems\n", name, len(file.Entries))
}

// PlanFlags selects the file and the changes that are planned from it.
type PlanFlags struct {
	File    string   `arg:"positional,required" help:"catalogue file"`
	BasedOn *uint64  `arg:"--based-on" placeholder:"OFFSET" help:"refuse to overwrite changes after this offset; by default the offset in the file's '# based-on' line"`
	Delete  bool     `arg:"--delete" help:"delete entries that the file does not hold"`
	Service []string `arg:"--service,separate" placeholder:"NAME" help:"only this service; may be repeated"`
}

// load reads the file and returns it with the plan options. The flag --based-on takes
// precedence over the offset in the file.
func (f *PlanFlags) load() (*pb.CatalogueFile, PlanOptions, error) {
	options := PlanOptions{BasedOn: f.BasedOn, Delete: f.Delete, Only: f.Service}
	file, err := settings.LoadCatalogue(f.File)
	if err != nil {
		return nil, options, err
	}
	data, err := os.ReadFile(f.File)
	if err != nil {
		return nil, options, errors.Wrap(err, "operator: cannot read the file; check the path and its permissions")
	}
	if offset, ok := BasedOn(data); ok && options.BasedOn == nil {
		options.BasedOn = &offset
	}
	return file, options, nil
}

// A DiffCommand prints the changes that applying a catalogue file would make.
type DiffCommand struct {
	NodeFlags
	OutputFlags
	PlanFlags
}

func (c *DiffCommand) run(ctx context.Context, out Output) (int, error) {
	file, options, err := c.load()
	if err != nil {
		return ExitUsage, err
	}
	client, err := c.client()
	if err != nil {
		return ExitUsage, err
	}
	defer client.Close()
	state, err := client.Catalogue(ctx)
	if err != nil {
		return ExitFailed, err
	}
	plan, err := Plan(state, file, options)
	if err != nil {
		return ExitUsage, err
	}
	err = c.print(out, plan, func(w io.Writer) { printPlan(w, plan) })
	return exitCode(err), err
}

func printPlan(w io.Writer, plan *pb.CataloguePlan) {
	changed := 0
	for _, entry := range plan.Entries {
		if entry.Action == ActionKeep {
			continue
		}
		changed++
		printEntryPlan(w, entry)
	}
	_, _ = fmt.Fprintf(w, "%d of %d entries differ from the catalogue at offset %d\n", changed, len(plan.Entries), plan.NextOffset)
}

func printEntryPlan(w io.Writer, entry *pb.EntryPlan) {
	_, _ = fmt.Fprintf(w, "%s %s (based on revision %d)\n", entry.Action, cellText(entry.Service), entry.BaseRevision)
	for _, change := range entry.Changes {
		_, _ = fmt.Fprintf(w, "  %s: %s -> %s\n", cellText(change.Field), orNone(change.Before), orNone(change.After))
	}
	if entry.Conflict != "" {
		_, _ = fmt.Fprintf(w, "  conflict: %s\n", cellText(entry.Conflict))
	}
}

func orNone(text string) string {
	if text == "" {
		return "(none)"
	}
	return cellText(text)
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// A GetCommand prints the current catalogue as a catalogue file.
type GetCommand struct {
	NodeFlags
	OutputFlags
	Service string `arg:"--service" help:"only this service"`
	File    string `arg:"--output" placeholder:"FILE" help:"write to a file instead of standard output"`
}

func (c *GetCommand) run(ctx context.Context, out Output) (int, error) {
	client, err := c.client()
	if err != nil {
		return ExitUsage, err
	}
	defer client.Close()
	state, err := client.Catalogue(ctx)
	if err != nil {
		return ExitFailed, err
	}
	if state.Entries = filterByService(state.Entries, c.Service); c.Service != "" && len(state.Entries) == 0 {
		return ExitFailed, errors.Newf("operator: there is no service %q; `primrosemount catalogue get` lists the services", c.Service)
	}
	text, err := catalogueText(state)
	if err != nil {
		return ExitFailed, err
	}
	return c.write(out, state, text)
}

func (c *GetCommand) write(out Output, state *pb.CatalogueState, text []byte) (int, error) {
	if c.File != "" {
		err := os.WriteFile(c.File, text, 0o644)
		return exitCode(err), errors.Wrap(err, "operator: cannot write the file; check the path and its permissions")
	}
	err := c.print(out, state, func(w io.Writer) { _, _ = w.Write(text) })
	return exitCode(err), err
}

// filterByService returns the entry of the service, or all entries if service is
// empty.
func filterByService(entries []*pb.EntryState, service string) []*pb.EntryState {
	if service == "" {
		return entries
	}
	for _, entry := range entries {
		if entry.Entry.GetService() == service {
			return []*pb.EntryState{entry}
		}
	}
	return nil
}

// catalogueText returns a catalogue file that states the offset on which it is based.
func catalogueText(state *pb.CatalogueState) ([]byte, error) {
	file := &pb.CatalogueFile{}
	for _, entry := range state.Entries {
		file.Entries = append(file.Entries, entry.Entry)
	}
	text, err := settings.FormatCatalogue(file)
	if err != nil {
		return nil, err
	}
	header := fmt.Sprintf("# Catalogue in force. `catalogue apply` refuses to overwrite later changes.\n# based-on: %d\n", state.NextOffset)
	return append([]byte(header), text...), nil
}

// A HistoryCommand prints the results of recent changes.
type HistoryCommand struct {
	NodeFlags
	OutputFlags
	Service string `arg:"--service" help:"only this service"`
}

func (c *HistoryCommand) run(ctx context.Context, out Output) (int, error) {
	client, err := c.client()
	if err != nil {
		return ExitUsage, err
	}
	defer client.Close()
	history, err := client.History(ctx, c.Service)
	if err != nil {
		return ExitFailed, err
	}
	err = c.print(out, history, func(w io.Writer) { printResults(w, history.Results) })
	return exitCode(err), err
}

func printResults(w io.Writer, results []*pb.ChangeResult) {
	table(w, "OFFSET\tSERVICE\tOPERATOR\tRESULT\tCHANGE\tDETAIL", func(w io.Writer) {
		for _, result := range results {
			row(w, result.Offset, result.Service, result.Operator, resultText(result), hex.EncodeToString(result.ChangeId), result.Detail)
		}
	})
}

func resultText(result *pb.ChangeResult) string {
	if result.Accepted {
		return StateAccepted
	}
	return StateRejected
}

// A StatusCommand prints the state of a node, or the result of one change.
type StatusCommand struct {
	NodeFlags
	OutputFlags
	Change string `arg:"positional" help:"id of a change; by default the state of the node is printed"`
}

func (c *StatusCommand) run(ctx context.Context, out Output) (int, error) {
	client, err := c.client()
	if err != nil {
		return ExitUsage, err
	}
	defer client.Close()
	if c.Change != "" {
		return c.printChange(ctx, client, out)
	}
	status, err := client.Status(ctx)
	if err != nil {
		return ExitFailed, err
	}
	err = c.print(out, status, func(w io.Writer) { printStatus(w, status) })
	return exitCode(err), err
}

// printChange prints the result of a change. It returns ExitUnknown if the node
// cannot provide the result.
func (c *StatusCommand) printChange(ctx context.Context, client *Client, out Output) (int, error) {
	id, err := hex.DecodeString(c.Change)
	if err != nil || len(id) != catalogue.ChangeIDBytes {
		return ExitUsage, errors.Newf("operator: %q is not the id of a change; write the %d hexadecimal digits that `catalogue apply` printed", c.Change, 2*catalogue.ChangeIDBytes)
	}
	result, err := client.Result(ctx, id)
	if err != nil {
		return ExitUnknown, err
	}
	if result == nil {
		return ExitUnknown, errors.Newf("operator: the node has no result of change %s; it may not have read the change yet, or the change is older than the history; ask again later, or check the output of `catalogue get`", c.Change)
	}
	err = c.print(out, result, func(w io.Writer) { printResults(w, []*pb.ChangeResult{result}) })
	if !result.Accepted {
		return ExitFailed, err
	}
	return exitCode(err), err
}

func printStatus(w io.Writer, s *pb.NodeStatus) {
	line := func(name string, value any) { row(w, name+":", value) }
	table(w, "node:\t"+cellText(s.Node), func(w io.Writer) {
		row(w, "service:", s.Service)
		row(w, "zone:", s.AvailabilityZone+" in "+s.Region)
		row(w, "version:", s.Version)
		row(w, "log reachable:", s.LogReachable)
		for _, stream := range s.Streams {
			row(w, stream.Stream+":", streamText(stream))
		}
		row(w, "services:", s.Services)
		row(w, "members:", s.Members)
		row(w, "gate:", gateText(s.Gate))
	})
	if s.CertificateExpiryUnixSeconds > 0 {
		line("certificate expires", time.Unix(s.CertificateExpiryUnixSeconds, 0).UTC().Format(time.RFC3339))
	}
}

func streamText(s *pb.StreamStatus) string {
	if !s.Known {
		return "not known yet"
	}
	return fmt.Sprintf("read up to offset %d", s.NextOffset)
}

func gateText(g *pb.GateReport) string {
	text := fmt.Sprintf("%d in progress, limit %d, threshold %d", g.GetInFlight(), g.GetLimit(), g.GetThreshold())
	if g.GetDraining() {
		text += ", draining"
	}
	if g.GetTargetDown() {
		text += ", target down"
	}
	return text
}
