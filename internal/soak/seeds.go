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

// Schedule names one schedule of faults.
type Schedule struct {
	Seed   uint64
	VMs    int
	Faults time.Duration
	// Cause is what its failure came from, if it failed once.
	Cause string
}

// Regressions returns the schedules that failed once.
func Regressions() ([]Schedule, error) { return parseRegressions(seedsFile) }

// parseRegressions reads one schedule a line; empty lines and those that begin
// with # are left out.
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

func parseRegression(line string) (Schedule, error) {
	var r Schedule
	var faults string
	if _, err := fmt.Sscan(line, &r.Seed, &r.VMs, &faults); err != nil {
		return r, errors.Newf("soak: %q is no regression (%v); write seed, number of VMs, time of faults and cause", line, err)
	}
	var err error
	if r.Faults, err = time.ParseDuration(faults); err != nil {
		return r, errors.Newf("soak: %q: %v; write the time of faults with its unit", line, err)
	}
	_, cause, _ := strings.Cut(line, faults)
	r.Cause = strings.TrimSpace(cause)
	if r.Cause == "" {
		return r, errors.Newf("soak: %q names no cause; add it after the time of faults", line)
	}
	return r, nil
}
