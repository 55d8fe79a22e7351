package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// answerTimeout bounds one write to a peer, so that a peer that does not read
	// its answer is cut.
	answerTimeout = 10 * time.Second
	// partialGrace is how long a stopping node waits for requests that have not
	// arrived in whole. None of their work has started.
	partialGrace = time.Second
	// wholeCheckInterval is the time between two looks for the end of the last
	// whole request.
	wholeCheckInterval = 10 * time.Millisecond
)

// boundedListener accepts connections of which no write takes longer than the
// timeout.
type boundedListener struct {
	net.Listener
	timeout time.Duration
}

// Accept returns the next connection.
func (l boundedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return boundedConn{Conn: conn, timeout: l.timeout}, nil
}

type boundedConn struct {
	net.Conn
	timeout time.Duration
}

// Write ends with a timeout if the peer does not read.
func (c boundedConn) Write(data []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

// errorLog writes the lines of an HTTP server, such as refused handshakes. The
// message is always the same, so that the bound of repeated lines applies.
type errorLog struct{ logger *zap.Logger }

// Write logs one line.
func (l errorLog) Write(line []byte) (int, error) {
	l.logger.Warn("a connection failed", zap.String("detail", strings.TrimSpace(string(line))))
	return len(line), nil
}

// errStopping ends the reading of a body that arrives after its server has
// decided to close.
var errStopping = errors.New("node: the node stops; send the request to another node")

// wholeRequests counts the requests that have arrived in whole and are not
// answered yet. It is safe for concurrent use.
type wholeRequests struct {
	mutex  sync.Mutex
	count  int
	closed bool
}

// track counts the requests that the handler serves.
func (w *wholeRequests) track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, r *http.Request) {
		body := &trackedBody{ReadCloser: r.Body, requests: w}
		if r.ContentLength == 0 {
			body.whole = w.enter()
		}
		r.Body = body
		defer body.leave()
		next.ServeHTTP(writer, r)
	})
}

// enter counts a request; it returns false once the servers close.
func (w *wholeRequests) enter() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.closed {
		return false
	}
	w.count++
	return true
}

func (w *wholeRequests) leave() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.count--
}

// close lets no more requests become whole and returns true, unless some are
// in progress.
func (w *wholeRequests) close() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.count > 0 {
		return false
	}
	w.closed = true
	return true
}

// trackedBody notes the end of a body. The handler's goroutine reads it.
type trackedBody struct {
	io.ReadCloser
	requests *wholeRequests
	whole    bool
}

// Read notes that the request has arrived in whole when the body ends.
func (b *trackedBody) Read(into []byte) (int, error) {
	n, err := b.ReadCloser.Read(into)
	if err != io.EOF || b.whole {
		return n, err
	}
	b.whole = b.requests.enter()
	if !b.whole {
		return n, errStopping
	}
	return n, err
}

func (b *trackedBody) leave() {
	if b.whole {
		b.requests.leave()
	}
}

// stop shuts the servers down: it waits for the answers of whole requests until
// the context ends, and then closes connections whose request never became
// whole.
func (w *wholeRequests) stop(ctx context.Context, servers []*http.Server) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wait sync.WaitGroup
	for _, server := range servers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			_ = server.Shutdown(ctx)
		}()
	}
	done := make(chan struct{})
	go func() {
		wait.Wait()
		close(done)
	}()
	w.awaitAnswers(ctx, done)
	cancel()
	<-done
	for _, server := range servers {
		_ = server.Close()
	}
}

// awaitAnswers returns when done is closed, the context ends, or, after the
// grace, no whole request is in progress.
func (w *wholeRequests) awaitAnswers(ctx context.Context, done <-chan struct{}) {
	select {
	case <-done:
		return
	case <-ctx.Done():
		return
	case <-time.After(partialGrace):
	}
	ticker := time.NewTicker(wholeCheckInterval)
	defer ticker.Stop()
	for !w.close() {
		select {
		case <-ticker.C:
		case <-done:
			return
		case <-ctx.Done():
			return
		}
	}
}
