package httpserver_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/transport/httpserver"
)

const testTimeout = 5 * time.Second

// echo is a handler that responds with the path of the request and the length of its
// body. Requests of /panic panic, requests of /refuse do not read their body, and
// requests of /wait wait until the client disconnects.
type echo struct {
	running, disconnected atomic.Int64
}

// echoRequest is a request of an echo handler.
type echoRequest struct {
	handler *echo
	path    string
	method  string
	body    int
	broken  bool
}

func (h *echo) Receive(r *http.Request) httpserver.Request {
	h.running.Add(1)
	request := &echoRequest{handler: h, path: r.URL.Path, method: r.Method}
	if r.URL.Path == "/refuse" {
		return request
	}
	body, err := io.ReadAll(r.Body)
	request.body, request.broken = len(body), err != nil
	return request
}

func (r *echoRequest) Concurrent() bool { return r.method == http.MethodGet }

func (r *echoRequest) Respond(ctx context.Context, w *httpserver.Response) {
	switch {
	case r.path == "/panic":
		panic("the handler fails")
	case r.path == "/wait":
		<-ctx.Done()
		r.handler.disconnected.Add(1)
	case r.broken:
		w.Status = http.StatusBadRequest
		return
	}
	w.Status = http.StatusOK
	w.AddHeader("X-Path", r.path)
	w.Body = []byte(r.path + " " + strconv.Itoa(r.body))
}

func (r *echoRequest) Release(error) { r.handler.running.Add(-1) }

// startServer starts a server and returns its handler and address.
func startServer(t testing.TB) (*httpserver.Server, *echo, string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	handler := &echo{}
	server := httpserver.New(httpserver.Config{
		Handler: handler, HeaderTimeout: 200 * time.Millisecond, BodyTimeout: 200 * time.Millisecond,
		IdleTimeout: 300 * time.Millisecond, WriteTimeout: testTimeout, MaxHeaderBytes: 8 << 10, Logger: zap.NewNop(),
	})
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	t.Cleanup(func() {
		require.NoError(t, server.Close())
		require.NoError(t, <-done)
		require.Eventually(t, func() bool { return handler.running.Load() == 0 }, testTimeout, time.Millisecond, "a request was not released")
	})
	return server, handler, listener.Addr().String()
}

func dial(t testing.TB, address string) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	return conn, bufio.NewReader(conn)
}

func write(t testing.TB, conn net.Conn, text string) {
	_, err := io.WriteString(conn, text)
	require.NoError(t, err)
}

// readBody reads a complete response and returns its status and body.
func readBody(t testing.TB, reader *bufio.Reader, method string) (*http.Response, string) {
	t.Helper()
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response, string(body)
}

func requireEnd(t testing.TB, reader *bufio.Reader) {
	t.Helper()
	rest, err := io.ReadAll(reader)
	require.NoError(t, err, "the connection was reset")
	require.Empty(t, rest)
}

const getA = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"

// Guards against a panic of a handler that ends the process, takes the responses to
// earlier requests away, or affects other connections.
func TestPanicEndsOnlyItsConnection(t *testing.T) {
	_, _, address := startServer(t)
	other, otherReader := dial(t, address)
	write(t, other, getA)
	readBody(t, otherReader, http.MethodGet)
	conn, reader := dial(t, address)
	write(t, conn, getA+"GET /panic HTTP/1.1\r\nHost: h\r\n\r\n")
	_, body := readBody(t, reader, http.MethodGet)
	require.Equal(t, "/a 0", body)
	response, _ := readBody(t, reader, http.MethodGet)
	require.Equal(t, http.StatusInternalServerError, response.StatusCode)
	requireEnd(t, reader)
	write(t, other, getA)
	_, body = readBody(t, otherReader, http.MethodGet)
	require.Equal(t, "/a 0", body)
}

// Guards against a client that waits for an interim response to send a body and
// never gets one, also behind a request that is still running.
func TestClientIsToldToSendAwaitedBody(t *testing.T) {
	_, _, address := startServer(t)
	conn, reader := dial(t, address)
	write(t, conn, getA+"POST /b HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
	readBody(t, reader, http.MethodGet)
	interim, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusContinue, interim.StatusCode)
	write(t, conn, "xyz"+getA)
	_, body := readBody(t, reader, http.MethodPost)
	require.Equal(t, "/b 3", body)
	_, body = readBody(t, reader, http.MethodGet)
	require.Equal(t, "/a 0", body)
}

// Guards against taking the body of a rejected request for the next request.
func TestBodyOfRejectedRequestIsNotARequest(t *testing.T) {
	_, _, address := startServer(t)
	for name, refused := range map[string]string{
		"with a length": "POST /refuse HTTP/1.1\r\nHost: h\r\nContent-Length: " + strconv.Itoa(len(getA)) + "\r\n\r\n" + getA,
		"in chunks":     "POST /refuse HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1c\r\n" + getA + "\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			conn, reader := dial(t, address)
			write(t, conn, refused+"GET /next HTTP/1.1\r\nHost: h\r\n\r\n")
			readBody(t, reader, http.MethodPost)
			_, body := readBody(t, reader, http.MethodGet)
			require.Equal(t, "/next 0", body)
		})
	}
	t.Run("not awaited", func(t *testing.T) {
		conn, reader := dial(t, address)
		write(t, conn, "POST /refuse HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 28\r\n\r\n"+getA)
		response, _ := readBody(t, reader, http.MethodPost)
		require.True(t, response.Close, "it is unknown whether the client sends the body")
		requireEnd(t, reader)
	})
}

// Guards against heads without end, clients that stop within a request, and idle
// connections that stay open forever.
func TestLimitsEndConnections(t *testing.T) {
	_, _, address := startServer(t)
	t.Run("head too large", func(t *testing.T) {
		conn, reader := dial(t, address)
		write(t, conn, "GET /a HTTP/1.1\r\nHost: h\r\nX-Long: "+strings.Repeat("x", 10<<10))
		response, _ := readBody(t, reader, http.MethodGet)
		require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
		requireEnd(t, reader)
	})
	for name, text := range map[string]string{
		"half a head": "GET /a HTTP/1.1\r\nHo",
		"idle":        "",
	} {
		t.Run(name, func(t *testing.T) {
			conn, reader := dial(t, address)
			write(t, conn, getA+text)
			readBody(t, reader, http.MethodGet)
			requireEnd(t, reader)
		})
	}
	t.Run("half a body", func(t *testing.T) {
		conn, reader := dial(t, address)
		write(t, conn, "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc")
		response, _ := readBody(t, reader, http.MethodPost)
		require.Equal(t, http.StatusBadRequest, response.StatusCode)
		require.True(t, response.Close)
		requireEnd(t, reader)
	})
}

// Guards against a body after a response that must not have one, which the client
// would take for the next response.
func TestResponseToHeadHasNoBody(t *testing.T) {
	_, _, address := startServer(t)
	conn, reader := dial(t, address)
	write(t, conn, "HEAD /head HTTP/1.1\r\nHost: h\r\n\r\n"+getA)
	response, body := readBody(t, reader, http.MethodHead)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Empty(t, body)
	require.NotEmpty(t, response.Header.Get("Date"))
	_, body = readBody(t, reader, http.MethodGet)
	require.Equal(t, "/a 0", body)
}

// Guards against a request that runs on after its client has left, behind as many
// unread requests as the server takes.
func TestDisconnectCancelsRequestBehindManyOthers(t *testing.T) {
	_, handler, address := startServer(t)
	conn, _ := dial(t, address)
	write(t, conn, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"+strings.Repeat("POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", 50))
	require.Eventually(t, func() bool { return handler.running.Load() == 51 }, testTimeout, time.Millisecond)
	require.NoError(t, conn.Close())
	require.Eventually(t, func() bool { return handler.disconnected.Load() == 1 && handler.running.Load() == 0 }, 500*time.Millisecond, time.Millisecond)
}

// Guards against a shutdown that closes a connection within a request that is being
// received, and against one that waits for idle clients.
func TestShutdownAnswersRequestThatIsBeingReceived(t *testing.T) {
	server, _, address := startServer(t)
	idle, idleReader := dial(t, address)
	write(t, idle, getA)
	readBody(t, idleReader, http.MethodGet)
	conn, reader := dial(t, address)
	write(t, conn, "GET /a HTTP/1.1\r\n")
	time.Sleep(50 * time.Millisecond)
	stopped := make(chan error, 1)
	go func() { stopped <- server.Shutdown(context.Background()) }()
	requireEnd(t, idleReader)
	require.NoError(t, idle.Close())
	write(t, conn, "Host: h\r\n\r\n"+getA)
	response, body := readBody(t, reader, http.MethodGet)
	require.Equal(t, "/a 0", body)
	require.True(t, response.Close)
	requireEnd(t, reader)
	require.NoError(t, conn.Close())
	require.NoError(t, <-stopped)
}

// failingListener fails temporarily before it accepts connections.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, errors.New("too many open files")
	}
	return l.Listener.Accept()
}

// Guards against a listener that is given up for good after a temporary error, such
// as a lack of file descriptors.
func TestFailedAcceptDoesNotEndServer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := httpserver.New(httpserver.Config{Handler: &echo{}, HeaderTimeout: testTimeout, BodyTimeout: testTimeout,
		IdleTimeout: testTimeout, WriteTimeout: testTimeout, MaxHeaderBytes: 8 << 10, Logger: zap.NewNop()})
	go func() { _ = server.Serve(&failingListener{Listener: listener, failures: 3}) }()
	defer server.Close()
	conn, reader := dial(t, listener.Addr().String())
	write(t, conn, getA)
	_, body := readBody(t, reader, http.MethodGet)
	require.Equal(t, "/a 0", body)
}

// FuzzBytesBehindRequest sends arbitrary bytes behind a complete request. The request
// must get its own response, first and complete, whatever follows. Everything after
// it must be complete responses, at most as many as a parser that reads the same
// bytes one request after the other finds, and the connection must end in order.
func FuzzBytesBehindRequest(f *testing.F) {
	f.Add([]byte(getA))
	f.Add([]byte("POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc" + getA))
	f.Add([]byte("POST /refuse HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n" + getA))
	f.Add([]byte("POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + getA))
	f.Add([]byte("HEAD /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + getA))
	f.Add([]byte("GET /panic HTTP/1.1\r\nHost: h\r\n\r\n" + getA))
	f.Add([]byte("\r\n\r\n\x00garbage"))
	f.Add([]byte("GET /a HTTP/1.0\r\n\r\n" + getA))
	f.Add([]byte("POST /b HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nx"))
	_, _, address := startServer(f)
	f.Fuzz(func(t *testing.T, behind []byte) {
		conn, reader := dial(t, address)
		// The server may close the connection before it has read everything.
		_, _ = conn.Write(append([]byte("GET /first HTTP/1.1\r\nHost: h\r\n\r\n"), behind...))
		requests := parseAll(behind)
		response, body := readBody(t, reader, http.MethodGet)
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, "/first 0", body)
		require.NoError(t, conn.(*net.TCPConn).CloseWrite())
		answered := 0
		for _, method := range requests {
			next, err := http.ReadResponse(reader, &http.Request{Method: method})
			if err != nil {
				break
			}
			if _, err := io.Copy(io.Discard, next.Body); err != nil {
				break
			}
			if next.StatusCode != http.StatusContinue {
				answered++
			}
		}
		rest, _ := io.ReadAll(reader)
		if answered < len(requests) && !bytes.Contains(rest, []byte("HTTP/1.1 400")) {
			return
		}
		// At most the rejection of what is not a request follows.
		require.LessOrEqual(t, bytes.Count(rest, []byte("HTTP/1.1 ")), 1)
	})
}

// parseAll returns the methods of the requests in data up to the first one that is
// malformed.
func parseAll(data []byte) []string {
	var methods []string
	reader := bufio.NewReader(bytes.NewReader(data))
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return methods
		}
		methods = append(methods, r.Method)
		if _, err := io.Copy(io.Discard, r.Body); err != nil || r.Close {
			return methods
		}
	}
}
