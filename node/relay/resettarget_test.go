package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// resetSizes are sizes of the bodies of requests: one that is written before the response is
// read, and two of which the kernel takes a part only.
var resetSizes = []int{1 << 10, 1 << 20, 8 << 20}

// endingTarget starts a target that responds without a length and without reading the body
// of the request, and then ends the connection.
func endingTarget(t *testing.T, end func(conn *net.TCPConn)) string {
	return scriptedTarget(t, func(conn net.Conn, request *http.Request, _ int) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\n\r\nentered", request.Header.Get("Id"))
		end(conn.(*net.TCPConn))
		return false
	})
}

// Guards against taking part of a response that has no length for the whole one when the
// target resets the connection while the request is still being written.
func TestResponseThatIsResetIsIncomplete(t *testing.T) {
	const rounds = 40
	for _, pause := range []time.Duration{0, 2 * time.Millisecond, 50 * time.Millisecond} {
		address := endingTarget(t, func(conn *net.TCPConn) {
			time.Sleep(pause)
			_ = conn.SetLinger(0)
		})
		for _, size := range resetSizes {
			t.Run(fmt.Sprintf("%d bytes after %v", size, pause), func(t *testing.T) {
				t.Parallel()
				for range rounds {
					got := upload(t, address, size)
					require.Equal(t, outcome.Unknown, got.outcome, "body %q", got.body)
				}
			})
		}
	}
}

// Guards against losing a response without a length that the target has ended properly
// before it discards the rest of the request or resets the connection.
func TestResponseThatEndsBeforeResetIsComplete(t *testing.T) {
	const rounds = 20
	for name, end := range map[string]func(conn *net.TCPConn){
		"reads on": func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		},
		"resets": func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			time.Sleep(5 * time.Millisecond)
			_ = conn.SetLinger(0)
		},
	} {
		address := endingTarget(t, end)
		for _, size := range resetSizes {
			t.Run(fmt.Sprintf("%d bytes, %s", size, name), func(t *testing.T) {
				t.Parallel()
				for range rounds {
					got := upload(t, address, size)
					require.Equal(t, outcome.Completed, got.outcome, "%v", got.err)
					require.Equal(t, wholeBody, string(got.body))
				}
			})
		}
	}
}
