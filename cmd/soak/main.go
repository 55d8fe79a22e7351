// Command soak runs real nodes as processes under random faults and checks the guarantees
// that callers and targets rely on. Each seed determines one schedule of faults.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/primrosemount/primrosemount/internal/soak"
)

// arguments holds the command-line arguments.
type arguments struct {
	Binary     string        `arg:"--binary,required" help:"the program primrosemount, built"`
	Folder     string        `arg:"--folder" default:"target/soak-runs" help:"folder for settings, logs, schedules and findings; a folder a seed"`
	Seed       uint64        `arg:"--seed" help:"first seed; 0 takes one from the clock"`
	Seeds      int           `arg:"--seeds" default:"1" help:"number of seeds, one after the other"`
	VMs        int           `arg:"--vms" default:"6" help:"number of VMs, at least 2"`
	Clients    int           `arg:"--clients" default:"3" help:"clients on each VM"`
	Faults     time.Duration `arg:"--faults" default:"20s" help:"time in which faults begin"`
	Calm       time.Duration `arg:"--calm" default:"3s" help:"time of load after the recovery"`
	Sabotage   bool          `arg:"--sabotage" help:"duplicate what is sent to targets, which the checks must find"`
	NoReturns  bool          `arg:"--no-returns" help:"leave out returns of the store from copies"`
	NoDrains   bool          `arg:"--no-drains" help:"leave out drains beside late announcements and kills of all nodes"`
	Accounts   string        `arg:"--accounts" default:"some" help:"seeds with client accounts: some (one in three), all or none"`
	Regression bool          `arg:"--regression" help:"play the schedules that failed once instead of seeds"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "soak runs real nodes under random faults and checks their guarantees. It exits with status 1 if one was violated."
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	if args.VMs < 2 || args.Seeds < 1 || args.Clients < 1 {
		parser.Fail("--vms needs at least 2, --seeds and --clients at least 1")
	}
	if args.Accounts != "some" && args.Accounts != "all" && args.Accounts != "none" {
		parser.Fail("--accounts needs some, all or none")
	}
	if args.Seed == 0 {
		args.Seed = uint64(time.Now().UnixNano()) % 1_000_000
	}
	schedules, err := args.schedules()
	if err != nil {
		exitWithError(err)
	}
	failed := 0
	for _, s := range schedules {
		passed, err := args.runSchedule(s)
		if err != nil {
			exitWithError(err)
		}
		if !passed {
			failed++
		}
	}
	fmt.Printf("%d schedules, %d with findings\n", len(schedules), failed)
	if failed > 0 {
		os.Exit(1)
	}
}

func exitWithError(err error) {
	fmt.Fprintln(os.Stderr, "soak:", err)
	os.Exit(1)
}

// schedules returns the fault schedules to run.
func (a *arguments) schedules() ([]soak.Schedule, error) {
	if a.Regression {
		return soak.Regressions()
	}
	list := make([]soak.Schedule, 0, a.Seeds)
	for seed := a.Seed; seed < a.Seed+uint64(a.Seeds); seed++ {
		list = append(list, soak.Schedule{Seed: seed, VMs: a.VMs, Faults: a.Faults, Accounts: a.hasAccounts(seed)})
	}
	return list, nil
}

// hasAccounts reports whether the schedule of the seed has client accounts.
func (a *arguments) hasAccounts(seed uint64) bool {
	return a.Accounts == "all" || a.Accounts == "some" && soak.HasAccounts(seed)
}

// runSchedule runs one schedule and prints its report. It returns false if there are
// findings.
func (a *arguments) runSchedule(s soak.Schedule) (bool, error) {
	folder := filepath.Join(a.Folder, fmt.Sprint(s.Seed))
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return false, err
	}
	binary, err := filepath.Abs(a.Binary)
	if err != nil {
		return false, err
	}
	report, err := soak.Run(soak.Options{
		Binary: binary, Folder: folder, Seed: s.Seed, VMs: s.VMs, Clients: a.Clients,
		Faults: s.Faults, Calm: a.Calm, Sabotage: a.Sabotage,
		// The schedules that failed once had no returns.
		Returns: !a.NoReturns && !a.Regression, Drains: !a.NoDrains && !a.Regression, Accounts: s.Accounts,
	})
	if err != nil {
		return false, err
	}
	fmt.Printf("seed %d, accounts %t: %d steps, %d requests, %d served, %d reached targets, %d without a valid key, %d over a quota, %d MB at most, longest stall of the runner %s, %d findings\n",
		s.Seed, s.Accounts, len(report.Steps), report.Attempts, report.Served, report.Arrivals, report.Unauthorized, report.OverQuota, report.PeakMB, report.Stall.Round(time.Millisecond), len(report.Findings))
	for _, finding := range report.Findings {
		fmt.Println("  ", finding)
	}
	return len(report.Findings) == 0, nil
}
