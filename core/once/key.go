package once

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
)

const (
	// KeyPrefix starts every key and identifies the version of the key format.
	KeyPrefix = "pm1-"
	// RandomBytes is the length of the random part of a key. With 128 random
	// bits, collisions within one executor are negligible.
	RandomBytes = 16
	// MaxServiceBytes is the maximum length of the service name in a key.
	MaxServiceBytes = 128

	executorDigits = 16
	issuedDigits   = 16
	randomDigits   = 2 * RandomBytes
	executorOffset = len(KeyPrefix)
	issuedOffset   = executorOffset + executorDigits + 1
	randomOffset   = issuedOffset + issuedDigits + 1
	serviceOffset  = randomOffset + randomDigits + 1
	keySeparator   = '-'
	hexDigits      = "0123456789abcdef"
)

// A Key is an idempotency key that was issued by a node. Keys are comparable.
type Key struct {
	Service string
	// Executor is the only incarnation that may run the operation of the key.
	Executor uint64
	// Issued is the wall time in UTC at the node that issued the key.
	Issued time.Time
	Random [RandomBytes]byte
}

// NewKey returns a key for a service and an executor. It fails with reason
// bad_request if a key cannot contain the service name or if the time is before
// 1970. The random part must come from a cryptographically secure source.
func NewKey(service string, executor uint64, issued time.Time, random [RandomBytes]byte) (Key, *outcome.Error) {
	if !isValidServiceName(service) {
		detail := fmt.Sprintf("the service name %.40q has characters that a key cannot carry", service)
		return Key{}, outcome.New(outcome.NotRun, outcome.BadRequest, detail)
	}
	if issued.UnixNano() < 0 {
		return Key{}, outcome.New(outcome.NotRun, outcome.BadRequest, "the issue time of the key is before 1970")
	}
	utc := time.Unix(0, issued.UnixNano()).UTC()
	return Key{Service: service, Executor: executor, Issued: utc, Random: random}, nil
}

// String returns the key in the form pm1-EXECUTOR-ISSUED-RANDOM-SERVICE, with
// the numbers in hexadecimal. The result contains only characters that need no
// escaping in a URL.
func (k Key) String() string {
	var numbers [executorDigits/2 + issuedDigits/2 + RandomBytes]byte
	binary.BigEndian.PutUint64(numbers[0:], k.Executor)
	binary.BigEndian.PutUint64(numbers[8:], uint64(k.Issued.UnixNano()))
	copy(numbers[16:], k.Random[:])
	b := make([]byte, 0, serviceOffset+len(k.Service))
	b = append(b, KeyPrefix...)
	b = hex.AppendEncode(b, numbers[0:8])
	b = append(b, keySeparator)
	b = hex.AppendEncode(b, numbers[8:16])
	b = append(b, keySeparator)
	b = hex.AppendEncode(b, numbers[16:])
	b = append(b, keySeparator)
	b = append(b, k.Service...)
	return string(b)
}

// ParseKey parses the form that [Key.String] returns. It accepts exactly one
// spelling of each key. Its errors have outcome not run and reason
// key_malformed.
func ParseKey(s string) (Key, *outcome.Error) {
	if len(s) <= serviceOffset || len(s) > serviceOffset+MaxServiceBytes {
		return Key{}, malformedKey("its length is wrong")
	}
	if !strings.HasPrefix(s, KeyPrefix) {
		return Key{}, malformedKey("it does not start with " + KeyPrefix)
	}
	if s[issuedOffset-1] != keySeparator || s[randomOffset-1] != keySeparator || s[serviceOffset-1] != keySeparator {
		return Key{}, malformedKey("its parts are not separated by hyphens")
	}
	var numbers [executorDigits/2 + issuedDigits/2 + RandomBytes]byte
	ok := decodeLowerHex(numbers[0:8], s[executorOffset:])
	ok = ok && decodeLowerHex(numbers[8:16], s[issuedOffset:])
	ok = ok && decodeLowerHex(numbers[16:], s[randomOffset:])
	if !ok {
		return Key{}, malformedKey("its numbers are not lower-case hexadecimal")
	}
	nanos := int64(binary.BigEndian.Uint64(numbers[8:]))
	if nanos < 0 {
		return Key{}, malformedKey("its issue time is out of range")
	}
	k := Key{Service: s[serviceOffset:]}
	if !isValidServiceName(k.Service) {
		return Key{}, malformedKey("its service name has invalid characters")
	}
	k.Executor = binary.BigEndian.Uint64(numbers[0:])
	k.Issued = time.Unix(0, nanos).UTC()
	copy(k.Random[:], numbers[16:])
	return k, nil
}

// malformedKey returns the error for a key that cannot be parsed.
func malformedKey(cause string) *outcome.Error {
	return outcome.New(outcome.NotRun, outcome.KeyMalformed, "the idempotency key is malformed: "+cause)
}

// decodeLowerHex fills dst from the lower-case hexadecimal digits at the start
// of s. Unlike encoding/hex, it rejects upper-case digits, so that a key has
// only one spelling.
func decodeLowerHex(dst []byte, s string) bool {
	for i := range dst {
		high := strings.IndexByte(hexDigits, s[2*i])
		low := strings.IndexByte(hexDigits, s[2*i+1])
		if high < 0 || low < 0 {
			return false
		}
		dst[i] = byte(high<<4 | low)
	}
	return true
}

// isValidServiceName reports whether name has a valid length and contains only
// unreserved URL characters.
func isValidServiceName(name string) bool {
	if name == "" || len(name) > MaxServiceBytes {
		return false
	}
	for i := range len(name) {
		if !isUnreserved(name[i]) {
			return false
		}
	}
	return true
}

// isUnreserved reports whether c is an unreserved character as defined in RFC
// 3986.
func isUnreserved(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	default:
		return c == '-' || c == '.' || c == '_' || c == '~'
	}
}

// A Fingerprint identifies the content of a request. A key is bound to the
// fingerprint of the first request that uses it.
type Fingerprint [sha256.Size]byte

// FingerprintOf returns the SHA-256 hash of the parts of a request. Each string
// is preceded by its length, so that no two different requests produce the same
// hash input.
func FingerprintOf(service, operation, caller string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range []string{service, operation, caller} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	h.Write(body)
	var fp Fingerprint
	h.Sum(fp[:0])
	return fp
}
