//go:build deps

// Package deps lists libraries that are about to be used.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alexflint/go-arg"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/cockroachdb/datadriven"
	_ "github.com/goccy/go-yaml"
	_ "github.com/google/uuid"
	_ "github.com/kataras/iris/v12"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "go.opentelemetry.io/otel"
	_ "go.opentelemetry.io/otel/exporters/prometheus"
	_ "go.opentelemetry.io/otel/sdk/metric"
	_ "go.uber.org/goleak"
	_ "go.uber.org/zap"
	_ "golang.org/x/net/netutil"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "pgregory.net/rapid"
)
