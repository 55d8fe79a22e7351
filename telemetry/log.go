package telemetry

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// A Part is a part of the node. In the plain-text log, its lines start with its name and a
// colon after the time and the level.
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

// Messages that the explain subcommand recognizes in log files. They must not change,
// because logs of earlier versions are read as well.
const (
	MessageNodeStarted     = "The node has started."
	MessageRequestFailed   = "The request failed."
	MessageRequestRejected = "The request was rejected."
)

// Repeated lines are sampled: of the lines with the same level and message, the first
// lineFirst in each linePeriod are written, and then every lineThereafter-th.
const (
	linePeriod     = 10 * time.Second
	lineFirst      = 10
	lineThereafter = 1000
)

// A LogOption configures a logger.
type LogOption func(*logConfig)

type logConfig struct {
	output     zapcore.WriteSyncer
	suppressed func()
}

// WithOutput writes lines to output instead of standard error.
func WithOutput(output zapcore.WriteSyncer) LogOption {
	return func(c *logConfig) { c.output = output }
}

// WithSuppressed sets a function that is called for each repeated line that is not
// written.
func WithSuppressed(count func()) LogOption {
	return func(c *logConfig) { c.suppressed = count }
}

// NewLogger returns a logger that writes plain-text lines of the given level and above.
// The levels are debug, info, warn and error. Repeated lines are sampled.
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
	return zap.New(sampleRepeats(core, samplingRule{linePeriod, lineFirst, lineThereafter}, config.suppressed)), nil
}

// samplingRule limits the lines with the same level and message: the fields first and
// thereafter mean that the first lines in each period are written, and then every
// thereafter-th.
type samplingRule struct {
	period     time.Duration
	first      int
	thereafter int
}

// sampleRepeats returns a core that samples repeated lines by the rule and calls
// suppressed for each line that is not written.
func sampleRepeats(core zapcore.Core, rule samplingRule, suppressed func()) zapcore.Core {
	hook := func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
		if decision&zapcore.LogDropped != 0 {
			suppressed()
		}
	}
	return zapcore.NewSamplerWithOptions(core, rule.period, rule.first, rule.thereafter, zapcore.SamplerHook(hook))
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

// Named returns a logger for lines of the given part.
func Named(logger *zap.Logger, part Part) *zap.Logger {
	return logger.Named(string(part))
}

// ErrorField returns a field with the message of an error. zap.Error is not used, because
// it would add the stack traces that cockroachdb/errors records, which are pages long.
func ErrorField(err error) zap.Field { return zap.String("error", err.Error()) }
