package experiment

import (
	"flag"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	table    = flag.Bool("table", false, "replay all cases and policies in full length and print the table")
	seedFlag = flag.Uint64("seed", 1, "seed of the table")
)

// TestTable prints the table of docs/overload.md. It guards against reports with
// missing rows.
func TestTable(t *testing.T) {
	o := Options{Seed: *seedFlag}
	if !*table {
		o.Cases, o.Users, o.Shortest = []string{"surge"}, []string{"rota"}, shortTrigger/8
	}
	report, err := Run(o)
	require.NoError(t, err)
	require.Zero(t, len(report.Rows)%len(policies()))
	require.NoError(t, report.WriteTable(os.Stdout))
}
