package relay

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// Guards against headers that are lost, changed or added between a node that sends
// header lines and one that sends a message for each header.
func TestHeadersPassBetweenVersionsOfNodes(t *testing.T) {
	headers := []*pb.Header{{Name: "Content-Type", Value: "text/plain; charset=utf-8"}, {Name: "X-Empty", Value: ""}, {Name: "X-Colon", Value: "a: b"}}
	lines := linesOf(headers)
	require.Equal(t, "Content-Type: text/plain; charset=utf-8\r\nX-Empty: \r\nX-Colon: a: b\r\n", string(lines))
	again := headersOf(lines)
	require.Len(t, again, len(headers))
	for i, h := range again {
		require.Equal(t, headers[i].GetName(), h.GetName())
		require.Equal(t, headers[i].GetValue(), h.GetValue())
	}
	require.Empty(t, headersOf([]byte("X-Name: Fran\xe7ois\r\n")), "the message could not be encoded")
}

// Guards against a header value that starts another line.
func TestHeaderLinesHoldOneHeaderEach(t *testing.T) {
	lines := appendHeaderLines(nil, http.Header{"X-Split": {"a\r\nX-Other: b"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}, "Content-Length": {"1"}, "X-Owned": {"1"}},
		func(name string) bool { return name == "X-Owned" })
	require.Empty(t, lines)
}
