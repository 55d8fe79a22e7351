package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/primrosemount/primrosemount/core/route"
	"github.com/primrosemount/primrosemount/telemetry"
)

// An ExplainPlacementCommand prints where a node would send a request now, and why.
type ExplainPlacementCommand struct {
	Metrics       string        `arg:"--metrics,env:PRIMROSEMOUNT_METRICS" default:"http://127.0.0.1:9464" placeholder:"URL" help:"metrics listener of the node"`
	Service       string        `arg:"--service,required" help:"service that is called"`
	Operation     string        `arg:"--operation" placeholder:"ROUTE" help:"route that is called"`
	Bytes         int           `arg:"--bytes" help:"size of the body"`
	TargetLatency time.Duration `arg:"--target-latency" placeholder:"TIME" help:"time within which the response has its full value"`
	Remaining     time.Duration `arg:"--remaining" placeholder:"TIME" help:"time until the deadline"`
	// JSON and Timeout are flags of the explain command.
	JSON    bool          `arg:"-"`
	Timeout time.Duration `arg:"-"`
}

// url returns the URL of the page of the node.
func (c *ExplainPlacementCommand) url() (string, error) {
	parsed, err := url.Parse(c.Metrics)
	if err != nil || parsed.Host == "" || parsed.Scheme != "http" {
		return "", errors.Newf("operator: %q is not the URL of a metrics listener; write http://IP:PORT", c.Metrics)
	}
	parsed.Path = telemetry.PathPlacement
	query := url.Values{"format": {"json"}, "service": {c.Service}, "operation": {c.Operation}, "bytes": {strconv.Itoa(c.Bytes)},
		"target_latency": {c.TargetLatency.String()}, "remaining": {c.Remaining.String()}}
	parsed.RawQuery = query.Encode()
	return parsed.String(), nil
}

func (c *ExplainPlacementCommand) run(ctx context.Context, out Output) (int, error) {
	address, err := c.url()
	if err != nil {
		return ExitUsage, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	body, err := getPage(ctx, address)
	if err != nil {
		return ExitFailed, err
	}
	var candidates route.Candidates
	if err := json.Unmarshal(body, &candidates); err != nil {
		return ExitFailed, errors.Wrap(err, "operator: the answer is not the page of a placement; check that --metrics is the metrics listener of a node")
	}
	if c.JSON {
		err = json.NewEncoder(out.Stdout).Encode(candidates)
	} else {
		err = candidates.WriteText(out.Stdout)
	}
	return exitCode(err), err
}

// getPage returns the body of a page.
func getPage(ctx context.Context, address string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, errors.Wrap(err, "operator: the page cannot be asked for; check --metrics")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "operator: the node does not answer; check --metrics and that the node serves metrics")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, errors.Wrap(err, "operator: the answer is incomplete; ask again")
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("operator: the node refused with status %d: %s", response.StatusCode, cellText(string(body)))
	}
	return body, nil
}
