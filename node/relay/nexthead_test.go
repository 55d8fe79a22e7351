package relay

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// wholeBody is the body of the responses that these tests spoil.
const wholeBody = "entered"

// responseTexts are heads and bodies of valid responses. ID is replaced.
var responseTexts = []string{
	"HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nContent-Length: 7\r\n\r\nentered",
	"HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 7\r\nConnection: close\r\nSeal: s\r\n\r\nentered",
	"HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nentered\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nId: ID\r\nSeal: s\r\nConnection: close\r\n\r\n3\r\nent\r\n4\r\nered\r\n0\r\n\r\n",
}

// Guards against a malformed head that is taken for a complete response: with a space
// before the colon of its framing header, clients got a truncated body, or one with the sizes of
// its chunks, as a success.
func TestMalformedHeadIsNoResponse(t *testing.T) {
	const sealed = "HTTP/1.1 200 OK\r\nId: r\r\nSeal: s\r\n"
	for name, text := range map[string]string{
		"space before the colon of the coding": sealed + "Transfer-Encoding : chunked\r\n\r\n7\r\nentered\r\n0\r\n\r\n",
		"space before the colon of the length": sealed + "Content-Length : 7\r\n\r\nente",
		"name that is no token":                sealed + "Bad(name: 1\r\nContent-Length: 7\r\n\r\nentered",
		"name with a space":                    sealed + "Bad name: 1\r\nContent-Length: 7\r\n\r\nentered",
		"name with a tab":                      sealed + "Content-Length\t: 7\r\n\r\nente",
		"name that begins with a tab":          "HTTP/1.1 200 OK\r\n\tContent-Length: 7\r\nId: r\r\nSeal: s\r\n\r\nente",
		"name with a carriage return":          sealed + "Content-Length\r: 7\r\n\r\nente",
		"name with NUL":                        sealed + "Content-Len\x00gth: 7\r\n\r\nente",
		"name with DEL":                        sealed + "Transfer-Encoding\x7f: chunked\r\n\r\n7\r\nentered\r\n0\r\n\r\n",
		"name beyond ASCII":                    sealed + "N\xc3\xa4me: 1\r\nContent-Length: 7\r\n\r\nentered",
		"empty name":                           sealed + ": 1\r\nContent-Length: 7\r\n\r\nentered",
		"line without a colon":                 sealed + "Content-Length 7\r\n\r\nente",
		"folded line":                          sealed + "Folded: a\r\n Content-Length: 4\r\nContent-Length: 7\r\n\r\nentered",
		"folded framing":                       sealed + "Folded: a\r\n\tTransfer-Encoding: chunked\r\n\r\n7\r\nentered\r\n0\r\n\r\n",
		"bare carriage return":                 sealed + "Note: a\rb\r\nContent-Length: 7\r\n\r\nentered",
		"bare carriage return in the status":   "HTTP/1.1 200 O\rK\r\nId: r\r\nSeal: s\r\nContent-Length: 7\r\n\r\nentered",
		"two lengths that differ":              sealed + "Content-Length: 7\r\nContent-Length: 4\r\n\r\nentered",
		"length beside a coding":               sealed + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nentered\r\n0\r\n\r\n",
		"coding beside a length":               sealed + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n7\r\nentered\r\n0\r\n\r\n",
		"coding other than chunked":            sealed + "Transfer-Encoding: gzip\r\n\r\nentered",
		"coding before chunked":                sealed + "Transfer-Encoding: gzip, chunked\r\n\r\n7\r\nentered\r\n0\r\n\r\n",
		"coding twice":                         sealed + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nentered\r\n0\r\n\r\n",
		"coding in HTTP/1.0":                   "HTTP/1.0 200 OK\r\nId: r\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nentered\r\n0\r\n\r\n",
		"length that is no number":             sealed + "Content-Length: seven\r\n\r\nentered",
		"length with a sign":                   sealed + "Content-Length: +7\r\n\r\nentered",
		"empty length":                         sealed + "Content-Length:\r\n\r\nentered",
		"length that is too large":             sealed + "Content-Length: 99999999999999999999\r\n\r\nentered",
		"length of a status without a body":    "HTTP/1.1 204 OK\r\nId: r\r\nSeal: s\r\nContent-Length: 7\r\n\r\nentered",
		"coding of a status without a body":    "HTTP/1.1 204 OK\r\nId: r\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nentered\r\n0\r\n\r\n",
		"other protocol":                       "HTTP/2.0 200 OK\r\nId: r\r\nSeal: s\r\nContent-Length: 7\r\n\r\nentered",
		"chunk size that is no number":         sealed + "Transfer-Encoding: chunked\r\n\r\nx\r\nentered\r\n0\r\n\r\n",
		"chunk size with a prefix":             sealed + "Transfer-Encoding: chunked\r\n\r\n0x7\r\nentered\r\n0\r\n\r\n",
		"negative chunk size":                  sealed + "Transfer-Encoding: chunked\r\n\r\n-7\r\nentered\r\n0\r\n\r\n",
		"chunk size that is too large":         sealed + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nentered\r\n0\r\n\r\n",
		"chunk size without its end":           sealed + "Transfer-Encoding: chunked\r\n\r\n7\nentered\r\n0\r\n\r\n",
		"chunk without its end":                sealed + "Transfer-Encoding: chunked\r\n\r\n7\r\nentered0\r\n\r\n",
		"truncated chunks":                     sealed + "Transfer-Encoding: chunked\r\n\r\n7\r\nente",
		"truncated body":                       sealed + "Content-Length: 7\r\n\r\nente",
		"malformed head that exceeds a buffer": sealed + "Long: " + strings.Repeat("x", targetReadBuffer) + "\r\nContent-Length : 7\r\n\r\nente",
		"malformed head after an interim one":  "HTTP/1.1 102 Processing\r\n\r\n" + sealed + "Content-Length : 7\r\n\r\nente",
		"malformed interim head":               "HTTP/1.1 102 Processing\r\nBad name: 1\r\n\r\n" + sealed + "Content-Length: 7\r\n\r\nentered",
		"length of an interim head":            "HTTP/1.1 102 Processing\r\nContent-Length: 3\r\n\r\n" + sealed + "Content-Length: 7\r\n\r\nentered",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got := sendOne(t, newTargetClient(testCodec{}, responseBudget(1<<20)), closingTarget(t, text), "r")
			require.Equal(t, outcome.Unknown, got.outcome, "status %d, body %q", got.status, got.body)
		})
	}
}

// Guards against rejecting responses that are unusual and valid.
func TestUnusualHeadIsAResponse(t *testing.T) {
	const sealed = "HTTP/1.1 200 OK\r\nId: r\r\nSeal: s\r\n"
	for name, text := range map[string]string{
		"no length":                    sealed + "\r\nentered",
		"HTTP/1.0":                     "HTTP/1.0 200 OK\r\nId: r\r\nSeal: s\r\n\r\nentered",
		"no reason phrase":             "HTTP/1.1 200 \r\nId: r\r\nSeal: s\r\nContent-Length: 7\r\n\r\nentered",
		"lines that end with LF":       "HTTP/1.1 200 OK\nId: r\nSeal: s\nContent-Length: 7\n\nentered",
		"length twice":                 sealed + "Content-Length: 7\r\ncontent-length:7 \r\n\r\nentered",
		"other case of the coding":     sealed + "TRANSFER-ENCODING: Chunked\r\n\r\n7;a=b\r\nentered\r\n0\r\nTrailer-Field: 1\r\n\r\n",
		"trailer that names framing":   sealed + "Transfer-Encoding: chunked\r\n\r\n7\r\nentered\r\n0\r\nContent-Length: 3\r\n\r\n",
		"bytes beyond ASCII in values": sealed + "Note: \xc3\xa4\xff\r\nContent-Length: 7\r\n\r\nentered",
		"empty value":                  sealed + "Note:\r\nContent-Length: 7\r\n\r\nentered",
		"head that exceeds a buffer":   sealed + "Long: " + strings.Repeat("x", 3*targetReadBuffer) + "\r\nContent-Length: 7\r\n\r\nentered",
		"interim response":             "HTTP/1.1 102 Processing\r\n\r\n" + sealed + "Content-Length: 7\r\n\r\nentered",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got := sendOne(t, newTargetClient(testCodec{}, responseBudget(1<<20)), closingTarget(t, text), "r")
			require.Equal(t, outcome.Completed, got.outcome, "%v", got.err)
			require.Equal(t, wholeBody, string(got.body))
		})
	}
}

// closingTarget starts a target that answers each request with the text and closes the
// connection.
func closingTarget(t *testing.T, text string) string {
	return scriptedTarget(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		fmt.Fprint(conn, text)
		return false
	})
}

// bodyData matches the data in the bodies of responseTexts.
var bodyData = regexp.MustCompile("ent(?:ered)?|ered")

// framingAt returns the positions of all bytes of a response but those of its body data:
// the head, and the sizes and ends of chunks.
func framingAt(text string) []int {
	bodyAt := strings.Index(text, "\r\n\r\n") + 4
	data := make(map[int]bool)
	for _, found := range bodyData.FindAllStringIndex(text[bodyAt:], -1) {
		for at := found[0]; at < found[1]; at++ {
			data[bodyAt+at] = true
		}
	}
	var positions []int
	for at := range len(text) {
		if !data[at] {
			positions = append(positions, at)
		}
	}
	return positions
}

// spoil changes one byte or one line of the head or of the chunk lines of a response.
func spoil(r *rand.Rand, text string) string {
	positions := framingAt(text)
	at := positions[r.IntN(len(positions))]
	random := string([]byte{byte(r.IntN(256))})
	switch r.IntN(7) {
	case 0:
		return text[:at] + random + text[at:]
	case 1:
		return text[:at] + text[at+1:]
	case 2, 3:
		return spoilLine(r, text, at)
	default:
		return text[:at] + random + text[at+1:]
	}
}

// spoilLine changes the line that holds the byte at the position, unless it is empty or
// holds data: a line that is added or removed there changes the data.
func spoilLine(r *rand.Rand, text string, at int) string {
	begin := strings.LastIndexByte(text[:at], '\n') + 1
	end := at + strings.IndexByte(text[at:], '\n') + 1
	line := text[begin:end]
	if line == "\r\n" || bodyData.MatchString(line) {
		return text[:at] + "\x00" + text[at:]
	}
	changed := []string{line + line, "", " " + line, "\t" + line, strings.Replace(line, ":", " :", 1), strings.TrimRight(line, "\r\n")}
	return text[:begin] + changed[r.IntN(len(changed))] + text[end:]
}

var (
	wellFormedHead  = regexp.MustCompile("^HTTP/1\\.[0-9] [2-5][0-9][0-9] [\\t -~\\x80-\\xff]*\r?\n(?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\\t -~\\x80-\\xff]*\r?\n)*\r?\n")
	framingLines    = regexp.MustCompile("(?im)^(content-length|transfer-encoding):[ \\t]*(.*?)[ \\t]*\r?$")
	number          = regexp.MustCompile("^[0-9]+$")
	statusOfTheText = regexp.MustCompile(`^HTTP/1\.[0-9] ([0-9]{3})`)
)

// isAnotherResponse reports whether a spoiled response has a well-formed head with another
// status or other framing than the original. Its body then is what that head says, and
// nobody can tell that the target meant another one. A change of the framing to a form
// that HTTP does not permit is not such a response.
func isAnotherResponse(original, spoiled string) bool {
	head := wellFormedHead.FindString(spoiled)
	if head == "" {
		return false
	}
	before, _, _ := strings.Cut(original, "\r\n\r\n")
	framing, was := framingLines.FindAllStringSubmatch(head, -1), framingLines.FindAllStringSubmatch(before, -1)
	sameStatus := statusOfTheText.FindString(spoiled)[9:] == statusOfTheText.FindString(original)[9:]
	switch {
	case len(framing) == 0:
		return true
	case len(framing) > 1:
		return false
	}
	return !sameStatus || framing[0][2] != was[0][2] && number.MatchString(framing[0][2])
}

// Guards against taking a spoiled response for a complete one, and against giving a later
// request on the connection what belongs to an earlier one. Single bytes and lines of
// valid heads and chunk lines are spoiled on sockets.
func TestSpoiledResponsesReachNoClient(t *testing.T) {
	const seeds, workers = 2500, 32
	target := scriptedTarget(t, respondSpoiled)
	numbers := make(chan uint64)
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			// Connections are used again, by requests of the same and of other seeds.
			client := newTargetClient(testCodec{}, responseBudget(1<<20))
			defer client.closeIdle()
			for seed := range numbers {
				playSpoiledResponse(t, client, target, seed)
			}
		})
	}
	for seed := range uint64(seeds) {
		numbers <- seed
	}
	close(numbers)
	group.Wait()
}

// spoiledPrefix begins the ids of the requests whose response is spoiled. The number behind
// it is the seed.
const spoiledPrefix = "spoiled-"

// respondSpoiled responds to a request of TestSpoiledResponsesReachNoClient.
func respondSpoiled(conn net.Conn, request *http.Request, _ int) bool {
	id := request.Header.Get("Id")
	number, found := strings.CutPrefix(id, spoiledPrefix)
	if !found {
		reply(conn, id, "own "+id)
		return true
	}
	seed, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return false
	}
	_, spoiled, closes := drawSpoiled(seed)
	_, _ = conn.Write([]byte(strings.ReplaceAll(spoiled, "ID", id)))
	return !closes
}

// drawSpoiled returns the response of a seed before and after it was spoiled, and whether
// the target closes the connection after it.
func drawSpoiled(seed uint64) (original, spoiled string, closes bool) {
	r := rand.New(rand.NewPCG(seed, 0))
	original = responseTexts[r.IntN(len(responseTexts))]
	spoiled = spoil(r, original)
	return original, spoiled, r.IntN(2) == 0 || strings.Contains(original, "close")
}

// playSpoiledResponse sends one request whose response is spoiled, and two others.
func playSpoiledResponse(t *testing.T, client *targetClient, target string, seed uint64) {
	const spoiledTimeout, nextTimeout = 300 * time.Millisecond, 5 * time.Second
	original, spoiled, _ := drawSpoiled(seed)
	got := sendUntil(client, target, fmt.Sprint(spoiledPrefix, seed), spoiledTimeout)
	success := got.outcome == outcome.Completed && got.status < http.StatusMultipleChoices
	if success && string(got.body) != wholeBody && !isAnotherResponse(original, spoiled) {
		t.Errorf("seed %d: %q was taken for a complete response with the body %q", seed, spoiled, got.body)
	}
	for i := range 2 {
		id := fmt.Sprintf("next-%d-%d", seed, i)
		if next := sendUntil(client, target, id, nextTimeout); next.outcome == outcome.Completed && string(next.body) != "own "+id {
			t.Errorf("seed %d: after %q the request %s got %q", seed, spoiled, id, next.body)
		}
	}
}
