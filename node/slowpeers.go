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
	// writeTimeout limits one write to a peer, that is, a caller, the target or an
	// operator. It closes connections to peers that do not read the response.
	writeTimeout = 10 * time.Second
	// partialRequestGrace is how long a node that shuts down waits for requests
	// that are not completely received yet. Their processing has not started.
	partialRequestGrace = time.Second
	// requestCheckInterval is the interval at which a node that shuts down checks
	// whether completely received requests are still in progress.
	requestCheckInterval = 10 * time.Millisecond
)

// writeTimeoutListener is a listener whose connections limit the duration of
// each write.
type writeTimeoutListener struct {
	net.Listener
	timeout time.Duration
}

// Accept implements net.Listener.
func (l writeTimeoutListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return writeTimeoutConn{Conn: conn, timeout: l.timeout}, nil
}

type writeTimeoutConn struct {
	net.Conn
	timeout time.Duration
}

// Write implements net.Conn. It returns os.ErrDeadlineExceeded if the peer does
// not read within the timeout.
func (c writeTimeoutConn) Write(data []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

// httpErrorLog logs the errors of an HTTP server, such as failed TLS
// handshakes. The message is constant, so that the rate limit of repeated log
// lines applies.
type httpErrorLog struct{ logger *zap.Logger }

// Write logs one line.
func (l httpErrorLog) Write(line []byte) (int, error) {
	l.logger.Warn("a connection failed", zap.String("detail", strings.TrimSpace(string(line))))
	return len(line), nil
}

// errStopping ends the read of a body that becomes complete after the servers
// were closed to new requests.
var errStopping = errors.New("node: the node stops; send the request to another node")

// receivedRequests counts the requests that are completely received and do not
// have a response yet. It is safe for concurrent use.
type receivedRequests struct {
	mutex  sync.Mutex
	count  int
	closed bool
}

// track returns a handler that counts the requests of next. A request without a
// body counts from the start, another one when its body has been read.
func (w *receivedRequests) track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, r *http.Request) {
		body := &trackedBody{ReadCloser: r.Body, requests: w}
		if r.ContentLength == 0 {
			body.counted = w.add()
		}
		r.Body = body
		defer body.done()
		next.ServeHTTP(writer, r)
	})
}

// add counts a request. It returns false if the servers are closed to new
// requests.
func (w *receivedRequests) add() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.closed {
		return false
	}
	w.count++
	return true
}

func (w *receivedRequests) done() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.count--
}

// close closes the servers to new requests and returns true, unless counted
// requests are in progress.
func (w *receivedRequests) close() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.count > 0 {
		return false
	}
	w.closed = true
	return true
}

// trackedBody counts its request when the body has been read to the end. It is
// used by the goroutine of the handler only.
type trackedBody struct {
	io.ReadCloser
	requests *receivedRequests
	counted  bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(into []byte) (int, error) {
	n, err := b.ReadCloser.Read(into)
	if err != io.EOF || b.counted {
		return n, err
	}
	b.counted = b.requests.add()
	if !b.counted {
		return n, errStopping
	}
	return n, err
}

func (b *trackedBody) done() {
	if b.counted {
		b.requests.done()
	}
}

// shutdown shuts down the servers. It waits for the responses to completely
// received requests until the context ends, and then closes the remaining
// connections, including those whose request was never completely received.
func (w *receivedRequests) shutdown(ctx context.Context, servers []*http.Server) {
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
	w.awaitResponses(ctx, done)
	cancel()
	<-done
	for _, server := range servers {
		_ = server.Close()
	}
}

// awaitResponses returns when done is closed, when the context ends, or when,
// after partialRequestGrace, no completely received request is in progress.
func (w *receivedRequests) awaitResponses(ctx context.Context, done <-chan struct{}) {
	select {
	case <-done:
		return
	case <-ctx.Done():
		return
	case <-time.After(partialRequestGrace):
	}
	ticker := time.NewTicker(requestCheckInterval)
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
