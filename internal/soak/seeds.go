package soak

import (
	"bufio"
	_ "embed" // for seeds.txt
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

//go:embed seeds.txt
var seedsFile string

// Schedule holds the parameters that determine a schedule of faults.
type Schedule struct {
	Seed   uint64
	VMs    int
	Faults time.Duration
	// Accounts adds client accounts, see PlanAccounts.
	Accounts bool
	// Cause describes the cause of an earlier failure, if there was one.
	Cause string
}

// Regressions returns the schedules that have failed before, from seeds.txt.
func Regressions() ([]Schedule, error) { return parseRegressions(seedsFile) }

// parseRegressions parses one schedule per line. It skips empty lines and lines that
// begin with #.
func parseRegressions(text string) ([]Schedule, error) {
	var list []Schedule
	lines := bufio.NewScanner(strings.NewReader(text))
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		r, err := parseRegression(line)
		if err != nil {
			return nil, err
		}
		list = append(list, r)
	}
	return list, lines.Err()
}

// accountsWord stands before the cause of a schedule that has client accounts.
const accountsWord = "accounts"

func parseRegression(line string) (Schedule, error) {
	var r Schedule
	var faults string
	if _, err := fmt.Sscan(line, &r.Seed, &r.VMs, &faults); err != nil {
		return r, errors.Newf("soak: %q is not a valid regression (%v); write the seed, the number of VMs, the duration of the faults and the cause", line, err)
	}
	var err error
	if r.Faults, err = time.ParseDuration(faults); err != nil {
		return r, errors.Newf("soak: %q: %v; write the duration of the faults with a unit, such as 20s", line, err)
	}
	_, cause, _ := strings.Cut(line, faults)
	r.Cause, r.Accounts = strings.CutPrefix(strings.TrimSpace(cause), accountsWord+" ")
	if r.Cause == "" || r.Cause == accountsWord {
		return r, errors.Newf("soak: %q has no cause; add one after the duration of the faults", line)
	}
	return r, nil
}
