package main

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/internal/demo"
	"github.com/primrosemount/primrosemount/telemetry"
)

// demoCommand runs a small fleet of nodes and targets with an overload, a drain and a
// crash.
type demoCommand struct {
	Seed     uint64        `arg:"--seed" default:"1" help:"seed of all random choices of callers and targets"`
	Duration time.Duration `arg:"--duration" default:"20s" help:"duration of the load, at least 10s"`
	JSON     bool          `arg:"--json" help:"print one JSON object"`
	Verbose  bool          `arg:"--verbose" help:"print the logs of the nodes"`
}

// run runs the demo. It returns exitFailed if one of the guarantees that the demo checks
// was violated.
func (c *demoCommand) run() int {
	logger := zap.NewNop()
	if c.Verbose {
		var err error
		if logger, err = telemetry.NewLogger("info"); err != nil {
			return fail(exitUsage, err)
		}
	}
	summary, err := demo.Run(context.Background(), demo.Options{Seed: c.Seed, Duration: c.Duration, Logger: logger})
	if err != nil {
		return fail(exitFailed, err)
	}
	if c.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(summary); err != nil {
			return fail(exitFailed, err)
		}
	} else {
		summary.Write(os.Stdout)
	}
	if len(summary.Broken) > 0 {
		return exitFailed
	}
	return exitOK
}
