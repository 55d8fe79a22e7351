package main

import (
	"encoding/json"
	"os"
	"time"

	"github.com/primrosemount/primrosemount/internal/experiment"
)

// experimentCommand compares overload control policies by simulation.
type experimentCommand struct {
	Seed     uint64        `arg:"--seed" default:"1" help:"seed of arrivals and of all random choices"`
	Users    []string      `arg:"--user,separate" help:"only this user's call graph; may be repeated"`
	Cases    []string      `arg:"--case,separate" help:"only this case; may be repeated"`
	Policies []string      `arg:"--policy,separate" help:"only this policy; may be repeated"`
	Shortest time.Duration `arg:"--trigger" help:"cut triggers to this length; 0 is the full length"`
	JSON     bool          `arg:"--json" help:"print one JSON object"`
	// Propagation selects the model of the store's calls in place of the replay.
	Propagation bool `arg:"--propagation" help:"show what it costs to follow the configuration, by size of the fleet"`
	// StoreReturn selects the model of the time after the store has returned from a copy.
	StoreReturn bool `arg:"--store-return" help:"show the load of the store after it has returned from a copy, by size of the fleet"`
}

// run replays the same arrivals under several policies, using the decision logic of the
// node, and prints a comparison.
func (c *experimentCommand) run() int {
	if c.Propagation {
		if err := experiment.WritePropagation(os.Stdout, c.Seed); err != nil {
			return fail(exitFailed, err)
		}
		return exitOK
	}
	if c.StoreReturn {
		if err := experiment.WriteReturn(os.Stdout, c.Seed); err != nil {
			return fail(exitFailed, err)
		}
		return exitOK
	}
	report, err := experiment.Run(experiment.Options{
		Seed:     c.Seed,
		Users:    c.Users,
		Cases:    c.Cases,
		Policies: c.Policies,
		Shortest: c.Shortest,
	})
	if err != nil {
		return fail(exitUsage, err)
	}
	if c.JSON {
		err = json.NewEncoder(os.Stdout).Encode(report)
	} else {
		err = report.WriteTable(os.Stdout)
	}
	if err != nil {
		return fail(exitFailed, err)
	}
	return exitOK
}
