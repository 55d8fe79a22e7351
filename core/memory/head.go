package memory

import "math"

const (
	// FreeHeadBytes is the part of a head that is not accounted for. Nearly all heads
	// are smaller.
	FreeHeadBytes = 4 << 10
	// HeadFactor is the memory that a head of very short lines takes for each of its
	// bytes once it is parsed.
	HeadFactor = 16
)

// A Head accounts for the head of one HTTP message of a connection while it is read and
// used. It must not be used concurrently.
type Head struct {
	account *Account
	// free is the number of bytes that are not accounted for yet.
	free int64
}

// OpenHead returns the account for the heads of a connection.
func (b *Budget) OpenHead(kind Kind) *Head { return &Head{account: b.Open(kind)} }

// Begin starts to count the bytes of the next head.
func (h *Head) Begin() { h.free = FreeHeadBytes }

// End stops to count. The memory of the head remains accounted for until Release.
func (h *Head) End() { h.free = math.MaxInt64 }

// Release ends the use of the head.
func (h *Head) Release() { h.account.Release() }

// Add counts n further bytes of a head, and reports whether there is memory for them.
func (h *Head) Add(n int64) bool {
	h.free -= n
	if h.free >= 0 {
		return true
	}
	return h.account.Ensure(h.account.Held() + min(n, -h.free)*HeadFactor)
}
