package operator

import (
	"context"
	"fmt"
	"io"
	"math"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/primrosemount/primrosemount/core/burn"
	"github.com/primrosemount/primrosemount/core/outcome"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// A BurnCommand reports the rates at which services spend their error budgets. The
// error budget is the share of bad requests that the objective of a service permits.
type BurnCommand struct {
	NodeFlags
	OutputFlags
	HTML string `arg:"--html" placeholder:"FILE" help:"write one self-contained page with plots"`
}

func (c *BurnCommand) run(ctx context.Context, out Output) (int, error) {
	client, err := c.client()
	if err != nil {
		return ExitUsage, err
	}
	defer client.Close()
	report, err := client.Burn(ctx)
	if err != nil {
		return ExitFailed, err
	}
	if c.HTML != "" {
		err := writePage(c.HTML, report)
		return exitCode(err), err
	}
	err = c.print(out, report, func(w io.Writer) { printBurn(w, report) })
	return exitCode(err), err
}

func writePage(name string, report *pb.BurnReport) error {
	page, err := BurnPage(report)
	if err != nil {
		return err
	}
	err = os.WriteFile(name, page, 0o644)
	return errors.Wrap(err, "operator: cannot write the page; check the path and its permissions")
}

// coverageText states how many nodes a report covers.
func coverageText(report *pb.BurnReport) string {
	coverage := burn.Coverage{Queried: int(report.NodesAsked), Responded: int(report.NodesAnswered)}
	text := fmt.Sprintf("%d of %d nodes answered", coverage.Responded, coverage.Queried)
	if coverage.Complete() {
		return text
	}
	return text + "; requests that entered at the others are missing"
}

func printBurn(w io.Writer, report *pb.BurnReport) {
	_, _ = fmt.Fprintf(w, "Burn at %s: %s.\n", timeText(report.TimeUnixNanos), coverageText(report))
	table(w, "ALARM\tSERVICE\tCLASS\tOBJECTIVE\tRATE 5M\tRATE 1H\tRATE 6H\tBAD 6H\tALL 6H", func(w io.Writer) {
		for _, r := range burn.Rows(report.Counters) {
			printBurnRow(w, r)
		}
	})
}

func printBurnRow(w io.Writer, r burn.Row) {
	longest := r.Windows[len(r.Windows)-1]
	row(w, r.Alarm(), r.Service, className(r.Class), percentText(objectiveOf(r)),
		rateText(r.Windows[0]), rateText(r.Windows[1]), rateText(r.Windows[2]),
		longest.Bad, longest.Good+longest.Bad)
}

func className(class pb.Class) string { return outcome.Class(class).String() }

// objectiveOf returns the largest objective among the windows of a row, because some
// counters may have none.
func objectiveOf(r burn.Row) float64 {
	objective := 0.0
	for _, window := range r.Windows {
		objective = max(objective, window.Objective)
	}
	return objective
}

// percentText formats an objective, or returns "none" if there is none.
func percentText(share float64) string {
	if share <= 0 {
		return "none"
	}
	return fmt.Sprintf("%.4g %%", 100*share)
}

// rateText formats a burn rate. It returns "-" if there is none, because there were no
// requests or there is no objective.
func rateText(c *pb.BurnCounter) string {
	rate := burn.Rate(c)
	switch {
	case c.Good+c.Bad == 0 || c.Objective <= 0:
		return "-"
	case math.IsInf(rate, 1):
		return "inf"
	default:
		return fmt.Sprintf("%.2f", rate)
	}
}

func timeText(unixNanos int64) string {
	return time.Unix(0, unixNanos).UTC().Format(time.RFC3339)
}
