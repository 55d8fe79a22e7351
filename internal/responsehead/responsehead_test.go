package responsehead

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a status line that this check and the parser of net/http read differently:
// the parser skips further spaces, so that the head of an interim response would be taken
// for that of the final one, and the latter would not be checked.
func TestStatusLine(t *testing.T) {
	for line, want := range map[string]int{
		"HTTP/1.1 200 OK": http.StatusOK, "HTTP/1.0 404 Not Found": http.StatusNotFound, "HTTP/1.1 103": http.StatusEarlyHints,
		"HTTP/1.1 204 ": http.StatusNoContent, "HTTP/1.1 000 Status": 0, "HTTP/1.1 999 Status": 999,
	} {
		status, err := Check([]byte(line + "\r\n\r\n"))
		require.NoError(t, err, line)
		require.Equal(t, want, status, line)
	}
	for _, line := range []string{"", "HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1  103 Early Hints", "HTTP/1.1 +20 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK",
		"HTTP/1.1 2x0 OK", "HTTP/1.1\t200 OK", "HTTP/2.0 200 OK", "HTTP/1.1 200\rOK", " HTTP/1.1 200 OK"} {
		_, err := Check([]byte(line + "\r\n\r\n"))
		require.ErrorIs(t, err, ErrMalformed, line)
	}
}

// Guards against a head whose end is found too early or not at all, depending on the
// pieces in which it arrives.
func TestLengthOfHead(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\nA: b\r\n\r\n", "HTTP/1.1 200 OK\nA: b\n\n", "HTTP/1.1 200 OK\r\n\r\n", "\r\n"} {
		for n := range head {
			require.Zero(t, Length([]byte(head[:n])), "%q", head[:n])
		}
		require.Equal(t, len(head), Length([]byte(head+"body\r\n\r\n")))
	}
}

// pieces is a connection that returns one piece for each read.
type pieces struct {
	net.Conn
	rest []string
}

func (p *pieces) Read(data []byte) (int, error) {
	n := copy(data, p.rest[0])
	p.rest = p.rest[1:]
	return n, nil
}

// Guards against delivering a malformed head, in whatever pieces it arrives, and against
// checking the data of a body.
func TestConnChecksHeads(t *testing.T) {
	const interim, final, malformed = "HTTP/1.1 103 Early Hints\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n\r\n", "HTTP/1.1 200 OK\r\nA b: c\r\n\r\n"
	for _, c := range []struct {
		text string
		// errorAt is the length of the text up to the end of the malformed head, or 0.
		errorAt int
	}{
		{final + "no: head\r\nA b: c\r\n\r\n", 0},
		{interim + interim + final + malformed, 0},
		{malformed, len(malformed)},
		{interim + malformed + "body", len(interim + malformed)},
		{"HTTP/1.1 101 Switching Protocols\r\n\r\n" + malformed, 0},
	} {
		for size := 1; size <= len(c.text); size++ {
			conn := NewConn(&pieces{rest: chunks(c.text, size)})
			buffer := make([]byte, len(c.text))
			for at := 0; at < len(c.text); at += size {
				n, err := conn.Read(buffer)
				if c.errorAt > 0 && at+size >= c.errorAt {
					require.ErrorIs(t, err, ErrMalformed)
					require.Zero(t, n)
					break
				}
				require.NoError(t, err, "%q in pieces of %d", c.text, size)
			}
		}
	}
}

// Guards against taking the response after one that has ended for a part of its body.
func TestConnChecksHeadOfNextResponse(t *testing.T) {
	conn := NewConn(&pieces{rest: []string{"HTTP/1.1 200 OK\r\n\r\n", "A b: c\r\n\r\n", "HTTP/1.1 200 OK\r\nA b: c\r\n\r\n"}})
	buffer := make([]byte, 100)
	for range 2 {
		_, err := conn.Read(buffer)
		require.NoError(t, err)
	}
	conn.endResponse()
	_, err := conn.Read(buffer)
	require.ErrorIs(t, err, ErrMalformed)
}

// chunks returns the text in pieces of at most size bytes.
func chunks(text string, size int) []string {
	var all []string
	for len(text) > size {
		all, text = append(all, text[:size]), text[size:]
	}
	return append(all, strings.Clone(text))
}
