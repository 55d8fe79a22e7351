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

// settlePoll is the time between two questions about an unsettled change.
const settlePoll = 500 * time.Millisecond

// States of an AppliedEntry.
const (
	StateAccepted = "accepted"
	StateRejected = "rejected"
	StateFailed   = "failed"
	StateUnknown  = "unknown"
	StateSkipped  = "skipped"
	StateKept     = "kept"
)

// ApplyCommand submits the changes of a file.
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
	report := newApplication(client, c, state, file).apply(ctx, plan)
	err = c.print(out, report, func(w io.Writer) { printApplied(w, report) })
	return applyExit(report, err), err
}

// application applies one plan.
type application struct {
	client   *Client
	operator string
	settle   time.Duration
	entries  map[string]*pb.Entry
	owners   map[string]string
}

func newApplication(client *Client, c *ApplyCommand, state *pb.CatalogueState, file *pb.CatalogueFile) *application {
	a := &application{
		client:   client,
		operator: c.Operator,
		settle:   c.Settle,
		entries:  map[string]*pb.Entry{},
		owners:   map[string]string{},
	}
	for _, entry := range file.Entries {
		a.entries[entry.Service] = entry
		a.owners[entry.Service] = entry.Owner
	}
	// The present owner decides, also when the file names a new one.
	for _, present := range state.Entries {
		a.owners[present.Entry.GetService()] = present.Entry.GetOwner()
	}
	return a
}

func (a *application) apply(ctx context.Context, plan *pb.CataloguePlan) *pb.ApplyReport {
	report := &pb.ApplyReport{}
	for _, entry := range plan.Entries {
		report.Entries = append(report.Entries, a.one(ctx, entry))
	}
	return report
}

func (a *application) one(ctx context.Context, plan *pb.EntryPlan) *pb.AppliedEntry {
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

func (a *application) submit(ctx context.Context, applied *pb.AppliedEntry) {
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
		a.unanswered(ctx, applied, change, err)
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

// unanswered handles a change without a result. If it may have been written,
// its id is looked up until it is found or the time is over.
func (a *application) unanswered(ctx context.Context, applied *pb.AppliedEntry, change *pb.Change, err error) {
	applied.Detail = err.Error()
	applied.State = StateFailed
	var typed *Error
	if errors.As(err, &typed) && typed.Outcome == outcome.NotRun {
		return
	}
	applied.State = StateUnknown
	if result := a.lookUp(ctx, change.Id); result != nil {
		setResult(applied, result)
	}
}

func (a *application) lookUp(ctx context.Context, id []byte) *pb.ChangeResult {
	limited, cancel := context.WithTimeout(ctx, a.settle)
	defer cancel()
	for {
		if result, err := a.client.Result(limited, id); err == nil && result != nil {
			return result
		}
		select {
		case <-limited.Done():
			return nil
		case <-time.After(settlePoll):
		}
	}
}

func applyExit(report *pb.ApplyReport, err error) int {
	code := exitOf(err)
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

func newRevision(entry *pb.AppliedEntry) string {
	if entry.State != StateAccepted {
		return "-"
	}
	return fmt.Sprint(entry.Result.Offset + 1)
}
