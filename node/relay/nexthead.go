package relay

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/primrosemount/primrosemount/internal/responsehead"
)

// nextHead checks the next head that the reader returns, and returns a reader that returns
// that head again. It is the same one unless the head exceeds its buffer.
func nextHead(reader *bufio.Reader) (*bufio.Reader, error) {
	// The reads for Peek return as soon as any byte has arrived.
	for n := 1; ; n = reader.Buffered() + 1 {
		if _, err := reader.Peek(min(n, reader.Size())); err != nil {
			return nil, err
		}
		buffered, _ := reader.Peek(reader.Buffered())
		if end := responsehead.Length(buffered); end > 0 {
			_, err := responsehead.Check(buffered[:end])
			return reader, err
		}
		if len(buffered) == reader.Size() {
			return largeHead(reader)
		}
	}
}

// largeHead is nextHead for a head that exceeds the buffer of the reader. The connection
// limits its size.
func largeHead(reader *bufio.Reader) (*bufio.Reader, error) {
	var head []byte
	for begins, ended := true, false; !ended; {
		part, err := reader.ReadSlice('\n')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		head = append(head, part...)
		ended = begins && responsehead.IsEnd(part)
		begins = err == nil
	}
	again := bufio.NewReaderSize(io.MultiReader(bytes.NewReader(head), reader), reader.Size())
	_, err := responsehead.Check(head)
	return again, err
}

// readHead reads and checks the head of the next response, and parses it.
func (c *targetConn) readHead(request *http.Request) (*http.Response, error) {
	reader, err := nextHead(c.reader)
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	if reader != c.reader {
		c.reader, c.largeHead = reader, true
	}
	return http.ReadResponse(reader, request)
}
