package telemetry

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Part names a part of the node. Its lines start with the name and a colon.
type Part string

// Parts of the node.
const (
	PartNode      Part = "node"
	PartEntry     Part = "entry"
	PartEgress    Part = "egress"
	PartGate      Part = "gate"
	PartRouter    Part = "router"
	PartControl   Part = "control"
	PartPeers     Part = "peers"
	PartTLS       Part = "tls"
	PartOperators Part = "operators"
)

// Messages of lines that are read again, to explain a request from logs.
const (
	MessageNodeStarted     = "The node has started."
	MessageRequestFailed   = "The request failed."
	MessageRequestRejected = "The request was rejected."
)

// Bounds of repeated lines: of lines with the same level and message, the first
// lineBurst in linePeriod are written and then one in lineShare.
const (
	linePeriod = 10 * time.Second
	lineBurst  = 10
	lineShare  = 1000
)

// LogOption changes a logger.
type LogOption func(*logConfig)

type logConfig struct {
	output     zapcore.WriteSyncer
	suppressed func()
}

// WithOutput writes lines to output instead of standard error.
func WithOutput(output zapcore.WriteSyncer) LogOption {
	return func(c *logConfig) { c.output = output }
}

// WithSuppressed calls count for each repeated line that is not written.
func WithSuppressed(count func()) LogOption {
	return func(c *logConfig) { c.suppressed = count }
}

// NewLogger returns a logger for lines of level and above: debug, info, warn or
// error. Repeated lines are rate-limited.
func NewLogger(level string, options ...LogOption) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Newf("telemetry: unknown log level %q; use debug, info, warn or error", level)
	}
	config := logConfig{output: zapcore.Lock(os.Stderr), suppressed: func() {}}
	for _, option := range options {
		option(&config)
	}
	core := zapcore.NewCore(zapcore.NewConsoleEncoder(encoding()), config.output, parsed)
	return zap.New(limitRepeats(core, repeatBound{linePeriod, lineBurst, lineShare}, config.suppressed)), nil
}

// repeatBound bounds lines with the same level and message: the first burst in
// a period are written and then one in share.
type repeatBound struct {
	period time.Duration
	burst  int
	share  int
}

func limitRepeats(core zapcore.Core, bound repeatBound, suppressed func()) zapcore.Core {
	hook := func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
		if decision&zapcore.LogDropped != 0 {
			suppressed()
		}
	}
	return zapcore.NewSamplerWithOptions(core, bound.period, bound.burst, bound.share, zapcore.SamplerHook(hook))
}

func encoding() zapcore.EncoderConfig {
	return zapcore.EncoderConfig{
		TimeKey:          "time",
		LevelKey:         "level",
		NameKey:          "part",
		MessageKey:       "message",
		ConsoleSeparator: " ",
		EncodeTime:       zapcore.RFC3339NanoTimeEncoder,
		EncodeLevel:      zapcore.LowercaseLevelEncoder,
		EncodeDuration:   zapcore.StringDurationEncoder,
		EncodeName:       encodePrefix,
	}
}

func encodePrefix(name string, encoder zapcore.PrimitiveArrayEncoder) {
	encoder.AppendString(name + ":")
}

// Named returns the logger of a part.
func Named(logger *zap.Logger, part Part) *zap.Logger {
	return logger.Named(string(part))
}

// ErrorField holds the message of an error. zap.Error would add the stack
// traces that cockroachdb/errors keeps, which are pages long.
func ErrorField(err error) zap.Field { return zap.String("error", err.Error()) }
