package main

import (
	"github.com/primrosemount/primrosemount/platform"
)

// sidecarCommand runs the node on the users' platform.
type sidecarCommand struct {
	MetricsPort int `arg:"--metrics-port" default:"9464" help:"port for metrics; 0 serves none"`
}

// run serves until SIGTERM. The settings file is the one that the environment
// variable PRIMROSEMOUNT_SETTINGS names.
func (c *sidecarCommand) run() int {
	if err := platform.Run(c.MetricsPort); err != nil {
		return fail(exitFailed, err)
	}
	return exitOK
}
