package node

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a caller that does not read its response and holds a
// connection and a goroutine permanently.
func TestWriteToNonReadingPeerTimesOut(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := writeTimeoutListener{Listener: inner, timeout: 100 * time.Millisecond}
	defer listener.Close()
	peer, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	defer peer.Close()
	conn, err := listener.Accept()
	require.NoError(t, err)
	defer conn.Close()
	_, err = conn.Write(make([]byte, 64<<20))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

// Guards against a request that is canceled because its processing takes longer
// than the limit on the time to receive a request.
func TestReadTimeoutDoesNotCancelHandler(t *testing.T) {
	const readLimit = 100 * time.Millisecond
	var requests receivedRequests
	handler := requests.track(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		select {
		case <-r.Context().Done():
			err = r.Context().Err()
		case <-time.After(3 * readLimit):
		}
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
		}
	}))
	server := httptest.NewUnstartedServer(handler)
	server.Config.ReadTimeout = readLimit
	server.Start()
	defer server.Close()
	for _, body := range []string{"", "content"} {
		response, err := http.Post(server.URL, "text/plain", strings.NewReader(body))
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, http.StatusOK, response.StatusCode, "body %q", body)
	}
}
