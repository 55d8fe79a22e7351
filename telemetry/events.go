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
	// pendingLines is the number of lines that wait for a slow output.
	pendingLines = 4096
	// Of the lines with the same message, the first eventBurst in eventPeriod are
	// written and then one in eventShare.
	eventPeriod = time.Second
	eventBurst  = 50
	eventShare  = 50
	// stopWait bounds the wait for an output that blocks.
	stopWait = 200 * time.Millisecond
	// writeBytes is the size up to which waiting lines go into one write.
	writeBytes = 64 << 10
)

// NewEventLogger returns a logger that writes one JSON object a line. Lines of
// one message are limited in rate, and a line that finds too many others waiting
// for the output is dropped; both count as suppressed. Logging never waits for
// the output. stop writes what waits and ends the writer.
func NewEventLogger(output io.Writer, suppressed func()) (logger *zap.Logger, stop func(), err error) {
	if output == nil {
		return nil, nil, errors.New("telemetry: no output for log lines; pass os.Stdout")
	}
	writer := newAsyncWriter(output, suppressed)
	core := zapcore.NewCore(zapcore.NewJSONEncoder(eventEncoding()), writer, zapcore.InfoLevel)
	limited := limitRepeats(core, repeatBound{eventPeriod, eventBurst, eventShare}, suppressed)
	return zap.New(limited), writer.stop, nil
}

func eventEncoding() zapcore.EncoderConfig {
	config := encoding()
	config.LineEnding = zapcore.DefaultLineEnding
	config.EncodeName = nil
	return config
}

// asyncWriter passes lines to one goroutine that owns the output.
type asyncWriter struct {
	lines   chan []byte
	dropped func()
	mu      sync.RWMutex
	closed  bool
	done    chan struct{}
}

var _ zapcore.WriteSyncer = (*asyncWriter)(nil)

func newAsyncWriter(output io.Writer, dropped func()) *asyncWriter {
	w := &asyncWriter{lines: make(chan []byte, pendingLines), dropped: dropped, done: make(chan struct{})}
	go w.run(output)
	return w
}

// Write implements io.Writer. It keeps a copy and never waits.
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

// Sync implements zapcore.WriteSyncer; stop flushes.
func (w *asyncWriter) Sync() error { return nil }

func (w *asyncWriter) run(output io.Writer) {
	defer close(w.done)
	var batch []byte
	for line := range w.lines {
		batch = w.gather(append(batch[:0], line...))
		if _, err := output.Write(batch); err != nil {
			// There is no place left to report a broken output to but the count.
			w.dropped()
		}
	}
}

// gather adds the lines that wait already.
func (w *asyncWriter) gather(batch []byte) []byte {
	for len(batch) < writeBytes {
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

func (w *asyncWriter) stop() {
	w.mu.Lock()
	w.closed = true
	close(w.lines)
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(stopWait):
	}
}
