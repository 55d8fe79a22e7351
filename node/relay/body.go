package relay

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/primrosemount/primrosemount/core/memory"
)

const (
	// initialBodyBytes is the initial buffer size for a body of unknown length.
	// maxInitialBodyBytes limits the initial buffer size for a body of known
	// length, so that a declared length reserves no further memory before its bytes
	// arrive. It is above the largest uploads of 360 KB: otherwise the rest of a body
	// waits behind bodies of which nothing has been read, and may be refused late.
	initialBodyBytes    = 16 << 10
	maxInitialBodyBytes = 512 << 10
	// unknownGrowth and knownGrowth are the factors by which a full buffer grows. A
	// sender that declares a length has to send this part of what it occupies.
	unknownGrowth = 2
	knownGrowth   = 16
)

var (
	errBodyTooLarge = errors.New("relay: the body is larger than allowed")
	errNoMemory     = errors.New("relay: the node has no memory left for the body; send the request again later")
)

// bodyMemory is the memory of one body.
type bodyMemory struct {
	account *memory.Account
	// wait limits the time to wait for other bodies to be released.
	wait time.Duration
}

// reserve grows the account to total bytes. The beginning of a body does not wait behind
// the rest of larger ones.
func (m bodyMemory) reserve(total int64) error {
	if total <= maxInitialBodyBytes && m.account.Try(total) {
		return nil
	}
	if !m.await(total) {
		return errNoMemory
	}
	return nil
}

// await waits until the account has grown to total bytes, and reports whether it has.
func (m bodyMemory) await(total int64) bool {
	result := make(chan bool, 1)
	waiter := m.account.Await(total, func(granted bool) { result <- granted })
	select {
	case granted := <-result:
		return granted
	default:
	}
	timeout := time.NewTimer(m.wait)
	defer timeout.Stop()
	select {
	case granted := <-result:
		return granted
	case <-timeout.C:
		waiter.Cancel()
		return <-result
	}
}

// read returns the complete body, of which the account then holds as many bytes as its
// buffer has. A negative length means unknown. It returns errBodyTooLarge for a body of
// more than maxSize bytes.
func (m bodyMemory) read(body io.Reader, length, maxSize int64) ([]byte, error) {
	if length > maxSize {
		return nil, errBodyTooLarge
	}
	if length == 0 {
		return nil, nil
	}
	capacity := initialSize(length)
	if err := m.reserve(capacity); err != nil {
		return nil, err
	}
	buffer := make([]byte, 0, capacity)
	for {
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case int64(len(buffer)) > maxSize:
			return nil, errBodyTooLarge
		case err == io.EOF || int64(len(buffer)) == length:
			return buffer, nil
		case err != nil:
			return nil, err
		case len(buffer) < cap(buffer):
			continue
		}
		// The buffer that is replaced counts as garbage, for which the budget leaves
		// room.
		capacity = nextSize(int64(cap(buffer)), length, maxSize)
		if err := m.reserve(capacity); err != nil {
			return nil, err
		}
		buffer = append(make([]byte, 0, capacity), buffer...)
	}
}

// initialSize returns the initial buffer size for a body. A negative length means
// unknown.
func initialSize(length int64) int64 {
	if length < 0 {
		return initialBodyBytes
	}
	return min(length, maxInitialBodyBytes)
}

// nextSize returns the size of the buffer that replaces a full one. One byte beyond
// maxSize shows that a body of unknown length is too large.
func nextSize(size, length, maxSize int64) int64 {
	if length < 0 {
		return min(size*unknownGrowth, maxSize+1)
	}
	return min(size*knownGrowth, length)
}
