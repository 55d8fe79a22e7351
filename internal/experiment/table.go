package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// WriteTable writes one line per case and policy. Goodput is given in percent of the
// best goodput that the capacity allows, in total and by class. The column "critical
// fits" is the share of critical requests that the capacity allows.
func (r Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "user\tcase\tpolicy\tgoodput\tcritical\tnormal\tsheddable\tcritical fits\tp99\twasted\tattempts\trecovery")
	for _, row := range r.Rows {
		fmt.Fprintf(table, "%s\t%s\t%s\t%.1f %%\t%s\t%s\t%s\t%.0f %%\t%.0f ms\t%.1f %%\t%d\t%s\n",
			row.User, row.Case, row.Policy, 100*row.Goodput,
			row.class(outcome.Critical), row.class(outcome.Normal), row.class(outcome.Sheddable),
			100*row.BestShare[outcome.Critical.String()], 1000*row.P99Seconds, 100*row.WastedWork, row.MaxAttempts, row.recovery())
	}
	return table.Flush()
}

// class formats the goodput of a class, or "-" if the class is omitted from the row.
func (row Row) class(c outcome.Class) string {
	share, ok := row.ByClass[c.String()]
	if !ok {
		return "-"
	}
	return fmt.Sprintf("%.1f %%", 100*share)
}

// recovery formats the recovery time, or "none" if the replay ended before recovery.
func (row Row) recovery() string {
	if row.RecoverySeconds < 0 {
		return "none"
	}
	return fmt.Sprintf("%.1f s", row.RecoverySeconds)
}
