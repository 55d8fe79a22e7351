package main

import (
	"net"

	"github.com/cockroachdb/errors"

	"github.com/primrosemount/primrosemount/platform"
)

// sidecarCommand runs the node on the users' platform.
type sidecarCommand struct {
	MetricsPort int    `arg:"--metrics-port" default:"9464" help:"port for metrics; 0 serves none"`
	Advertise   string `arg:"--advertise" help:"IP:port at which other nodes reach this one, if it is not the one of the settings"`
}

// run runs the node until SIGTERM. The environment variable PRIMROSEMOUNT_SETTINGS names
// the settings file.
func (c *sidecarCommand) run() int {
	if c.Advertise != "" {
		if _, err := net.ResolveTCPAddr("tcp", c.Advertise); err != nil {
			return fail(exitUsage, errors.Wrap(err, "--advertise needs IP:port"))
		}
	}
	if err := platform.Run(c.MetricsPort, c.Advertise); err != nil {
		return fail(exitFailed, err)
	}
	return exitOK
}
