package operator

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/route"
	"github.com/primrosemount/primrosemount/telemetry"
)

// Guards against a command that asks for another request than the arguments name, that
// hides the refusal of the node, or that accepts the answer of another program.
func TestExplainPlacement(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		switch {
		case r.URL.Path != telemetry.PathPlacement || query.Get("format") != "json":
			http.NotFound(w, r)
		case query.Get("service") == "other":
			http.Error(w, "no target of the service is known", http.StatusNotFound)
		case query.Get("service") == "odd":
			_, _ = w.Write([]byte("<html>"))
		default:
			_ = json.NewEncoder(w).Encode(route.Candidates{Service: query.Get("service"), Operation: query.Get("operation") + query.Get("bytes") + query.Get("remaining"),
				Targets: []route.Candidate{{Explanation: route.Explanation{VM: "vm-1"}, Refusal: "draining"}}})
		}
	}))
	defer server.Close()
	run := func(line string) (int, string, string) {
		return runCommand(t, append(strings.Fields(line), "--metrics", server.URL)...)
	}
	code, stdout, _ := run("explain placement --service s --operation get --bytes 7 --remaining 2s")
	require.Equal(t, ExitOK, code)
	require.Contains(t, stdout, "get72s")
	require.Contains(t, stdout, "draining")
	code, stdout, _ = run("explain placement --service s --json")
	require.Equal(t, ExitOK, code)
	require.Contains(t, stdout, `"vm":"vm-1"`)
	for _, service := range []string{"other", "odd"} {
		code, _, stderr := run("explain placement --service " + service)
		require.Equal(t, ExitFailed, code)
		require.NotEmpty(t, stderr)
	}
	code, _, stderr := runCommand(t, "explain", "placement", "--service", "s", "--metrics", "vm-1:9464")
	require.Equal(t, ExitUsage, code)
	require.Contains(t, stderr, "write http://IP:PORT")
}
