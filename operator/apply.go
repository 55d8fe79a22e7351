package operator

import (
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/primrosemount/primrosemount/core/outcome"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// resultPollInterval is the time between two requests for the result of a change
// whose response was lost.
const resultPollInterval = 500 * time.Millisecond

// States of an AppliedEntry. A skipped entry was not submitted because of a conflict or
// another owner, and a kept entry needs no change.
const (
	StateAccepted = "accepted"
	StateRejected = "rejected"
	StateFailed   = "failed"
	StateUnknown  = "unknown"
	StateSkipped  = "skipped"
	StateKept     = "kept"
)

// An ApplyCommand submits the changes that a catalogue file makes to the catalogue.
type ApplyCommand struct {
	NodeFlags
	OutputFlags
	PlanFlags
	Operator string        `arg:"--operator,required,env:PRIMROSEMOUNT_OPERATOR" placeholder:"NAME" help:"operator or team that makes the changes; with https the name in the certificate"`
	Settle   time.Duration `arg:"--settle" default:"10s" help:"longest wait for the result of a change whose answer was lost"`
}

func (c *ApplyCommand) run(ctx context.Context, out Output) (int, error) {
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
	report := newApplier(client, c, state, file).apply(ctx, plan)
	err = c.print(out, report, func(w io.Writer) { printApplied(w, report) })
	return applyExitCode(report, err), err
}

// applier submits the changes of one plan.
type applier struct {
	client        *Client
	operator      string
	settleTimeout time.Duration
	entries       map[string]*pb.Entry
	owners        map[string]string
}

func newApplier(client *Client, c *ApplyCommand, state *pb.CatalogueState, file *pb.CatalogueFile) *applier {
	a := &applier{
		client:        client,
		operator:      c.Operator,
		settleTimeout: c.Settle,
		entries:       map[string]*pb.Entry{},
		owners:        map[string]string{},
	}
	for _, entry := range file.Entries {
		a.entries[entry.Service] = entry
		a.owners[entry.Service] = entry.Owner
	}
	// The current owner must apply the change, even if the file names a new owner.
	for _, current := range state.Entries {
		a.owners[current.Entry.GetService()] = current.Entry.GetOwner()
	}
	return a
}

func (a *applier) apply(ctx context.Context, plan *pb.CataloguePlan) *pb.ApplyReport {
	report := &pb.ApplyReport{}
	for _, entry := range plan.Entries {
		report.Entries = append(report.Entries, a.applyEntry(ctx, entry))
	}
	return report
}

// applyEntry submits the change of one entry, unless there is none, it is in conflict, or
// another operator owns the entry.
func (a *applier) applyEntry(ctx context.Context, plan *pb.EntryPlan) *pb.AppliedEntry {
	applied := &pb.AppliedEntry{Plan: plan, State: StateSkipped}
	owner := a.owners[plan.Service]
	switch {
	case plan.Action == ActionKeep:
		applied.State = StateKept
	case plan.Conflict != "":
		applied.Detail = plan.Conflict
	case owner != a.operator:
		applied.Detail = fmt.Sprintf("the entry belongs to %q; this operator has to apply it", owner)
	default:
		a.submit(ctx, applied)
	}
	return applied
}

// submit submits the change of one entry and records the result in applied.
func (a *applier) submit(ctx context.Context, applied *pb.AppliedEntry) {
	id := uuid.New()
	applied.ChangeId = hex.EncodeToString(id[:])
	change := &pb.Change{
		Id:               id[:],
		Operator:         a.operator,
		Service:          applied.Plan.Service,
		BaseRevision:     applied.Plan.BaseRevision,
		CreatedUnixNanos: time.Now().UnixNano(),
	}
	if applied.Plan.Action != ActionDelete {
		change.Entry = a.entries[applied.Plan.Service]
	}
	result, err := a.client.SubmitChange(ctx, change)
	if err != nil {
		a.resolveLostResponse(ctx, applied, change, err)
		return
	}
	setResult(applied, result)
}

func setResult(applied *pb.AppliedEntry, result *pb.ChangeResult) {
	applied.Result = result
	applied.Detail = result.Detail
	applied.State = StateRejected
	if result.Accepted {
		applied.State = StateAccepted
	}
}

// resolveLostResponse handles a change without a result. If the change may have been
// written, its result is requested until it is found or the settle timeout expires.
func (a *applier) resolveLostResponse(ctx context.Context, applied *pb.AppliedEntry, change *pb.Change, err error) {
	applied.Detail = err.Error()
	applied.State = StateFailed
	var clientErr *Error
	if errors.As(err, &clientErr) && clientErr.Outcome == outcome.NotRun {
		return
	}
	applied.State = StateUnknown
	if result := a.awaitResult(ctx, change.Id); result != nil {
		setResult(applied, result)
	}
}

// awaitResult polls the node for the result of a change. It returns nil if there is
// none within the settle timeout.
func (a *applier) awaitResult(ctx context.Context, id []byte) *pb.ChangeResult {
	timeoutCtx, cancel := context.WithTimeout(ctx, a.settleTimeout)
	defer cancel()
	for {
		if result, err := a.client.Result(timeoutCtx, id); err == nil && result != nil {
			return result
		}
		select {
		case <-timeoutCtx.Done():
			return nil
		case <-time.After(resultPollInterval):
		}
	}
}

// applyExitCode returns the exit code of an apply command. ExitUnknown takes precedence
// over ExitFailed.
func applyExitCode(report *pb.ApplyReport, err error) int {
	code := exitCode(err)
	for _, entry := range report.Entries {
		switch entry.State {
		case StateUnknown:
			return ExitUnknown
		case StateRejected, StateFailed, StateSkipped:
			code = ExitFailed
		}
	}
	return code
}

func printApplied(w io.Writer, report *pb.ApplyReport) {
	table(w, "SERVICE\tACTION\tSTATE\tREVISION\tCHANGE\tDETAIL", func(w io.Writer) {
		for _, entry := range report.Entries {
			row(w, entry.Plan.Service, entry.Plan.Action, entry.State, newRevision(entry), orDash(entry.ChangeId), entry.Detail)
		}
	})
	for _, entry := range report.Entries {
		if entry.State == StateUnknown {
			_, _ = fmt.Fprintf(w, "The change of %s may take effect. Ask for its result: primrosemount catalogue status %s\n", cellText(entry.Plan.Service), entry.ChangeId)
		}
	}
}

// newRevision returns the revision of an accepted change, which is its offset plus 1.
func newRevision(entry *pb.AppliedEntry) string {
	if entry.State != StateAccepted {
		return "-"
	}
	return fmt.Sprint(entry.Result.Offset + 1)
}
