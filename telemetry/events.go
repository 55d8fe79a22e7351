package telemetry

import (
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// maxPendingLines is the maximum number of lines that wait for a slow output.
	maxPendingLines = 4096
	// Repeated lines are sampled: of the lines with the same level and message, the
	// first eventFirst in each eventPeriod are written, and then every
	// eventThereafter-th.
	eventPeriod     = time.Second
	eventFirst      = 50
	eventThereafter = 50
	// stopTimeout is the maximum time for which stop waits for an output that blocks.
	stopTimeout = 200 * time.Millisecond
	// maxWriteBytes is the size at which no further pending lines are added to one
	// write.
	maxWriteBytes = 64 << 10
)

// NewEventLogger returns a logger that writes one JSON object per line. Logging never
// waits for the output. Repeated lines are sampled, and a line is dropped if too many
// lines are already waiting for the output. suppressed is called for each line that is
// not written for either reason. stop writes the pending lines and ends the writer;
// later lines are dropped.
func NewEventLogger(output io.Writer, suppressed func()) (logger *zap.Logger, stop func(), err error) {
	if output == nil {
		return nil, nil, errors.New("telemetry: no output for log lines; pass os.Stdout")
	}
	writer := newAsyncWriter(output, suppressed)
	core := zapcore.NewCore(zapcore.NewJSONEncoder(eventEncoding()), writer, zapcore.InfoLevel)
	sampled := sampleRepeats(core, samplingRule{eventPeriod, eventFirst, eventThereafter}, suppressed)
	return zap.New(sampled), writer.stop, nil
}

// eventEncoding returns the JSON encoding, in which the name of the part has no colon.
func eventEncoding() zapcore.EncoderConfig {
	config := encoding()
	config.LineEnding = zapcore.DefaultLineEnding
	config.EncodeName = nil
	return config
}

// asyncWriter queues lines for a goroutine that writes them to the output.
type asyncWriter struct {
	lines   chan []byte
	dropped func()
	mu      sync.RWMutex
	closed  bool
	done    chan struct{}
}

var _ zapcore.WriteSyncer = (*asyncWriter)(nil)

func newAsyncWriter(output io.Writer, dropped func()) *asyncWriter {
	w := &asyncWriter{lines: make(chan []byte, maxPendingLines), dropped: dropped, done: make(chan struct{})}
	go w.run(output)
	return w
}

// Write implements io.Writer. It queues a copy of the line, or drops the line if the
// queue is full.
func (w *asyncWriter) Write(line []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		w.dropped()
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped()
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing, because stop writes the pending
// lines.
func (w *asyncWriter) Sync() error { return nil }

func (w *asyncWriter) run(output io.Writer) {
	defer close(w.done)
	var batch []byte
	for line := range w.lines {
		batch = w.collectPending(append(batch[:0], line...))
		if _, err := output.Write(batch); err != nil {
			// The failure of the output cannot be logged, so the lines are only
			// counted.
			w.dropped()
		}
	}
}

// collectPending appends the lines that are already queued to the batch.
func (w *asyncWriter) collectPending(batch []byte) []byte {
	for len(batch) < maxWriteBytes {
		select {
		case line, ok := <-w.lines:
			if !ok {
				return batch
			}
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

// stop closes the queue and waits until the queued lines are written or stopTimeout
// expires.
func (w *asyncWriter) stop() {
	w.mu.Lock()
	w.closed = true
	close(w.lines)
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(stopTimeout):
	}
}
