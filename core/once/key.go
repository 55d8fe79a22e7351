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
	// KeyPrefix starts every key and carries the version of the format.
	KeyPrefix = "pm1-"
	// RandomBytes is the length of the random part of a key. 128 random bits
	// make a collision within one executor negligible.
	RandomBytes = 16
	// MaxServiceBytes bounds the name of the service in a key.
	MaxServiceBytes = 128

	executorDigits = 16
	issuedDigits   = 16
	randomDigits   = 2 * RandomBytes
	executorAt     = len(KeyPrefix)
	issuedAt       = executorAt + executorDigits + 1
	randomAt       = issuedAt + issuedDigits + 1
	serviceAt      = randomAt + randomDigits + 1
	keySeparator   = '-'
	hexDigits      = "0123456789abcdef"
)

// Key is an idempotency key that a node issued. Keys are comparable.
type Key struct {
	Service string
	// Executor is the only incarnation that may run the operation of the key.
	Executor uint64
	// Issued is the wall time of the issuing node, in UTC.
	Issued time.Time
	Random [RandomBytes]byte
}

// NewKey returns a key for a service and an executor. It fails with reason
// bad_request if the service name cannot be part of a key or the time is before
// 1970. The caller supplies the random part from a cryptographic source.
func NewKey(service string, executor uint64, issued time.Time, random [RandomBytes]byte) (Key, *outcome.Error) {
	if !validService(service) {
		detail := fmt.Sprintf("the service name %.40q has characters that a key cannot carry", service)
		return Key{}, outcome.New(outcome.NotRun, outcome.BadRequest, detail)
	}
	if issued.UnixNano() < 0 {
		return Key{}, outcome.New(outcome.NotRun, outcome.BadRequest, "the issue time of the key is before 1970")
	}
	utc := time.Unix(0, issued.UnixNano()).UTC()
	return Key{Service: service, Executor: executor, Issued: utc, Random: random}, nil
}

// String returns the printable form, pm1-EXECUTOR-ISSUED-RANDOM-SERVICE with
// numbers in hexadecimal. It has only characters that need no escape in a URL.
func (k Key) String() string {
	var numbers [executorDigits/2 + issuedDigits/2 + RandomBytes]byte
	binary.BigEndian.PutUint64(numbers[0:], k.Executor)
	binary.BigEndian.PutUint64(numbers[8:], uint64(k.Issued.UnixNano()))
	copy(numbers[16:], k.Random[:])
	b := make([]byte, 0, serviceAt+len(k.Service))
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

// ParseKey reads the printable form. Every key has one form only. The error has
// outcome not run and reason key_malformed.
func ParseKey(s string) (Key, *outcome.Error) {
	if len(s) <= serviceAt || len(s) > serviceAt+MaxServiceBytes {
		return Key{}, malformed("its length is wrong")
	}
	if !strings.HasPrefix(s, KeyPrefix) {
		return Key{}, malformed("it does not start with " + KeyPrefix)
	}
	if s[issuedAt-1] != keySeparator || s[randomAt-1] != keySeparator || s[serviceAt-1] != keySeparator {
		return Key{}, malformed("its parts are not separated by hyphens")
	}
	var numbers [executorDigits/2 + issuedDigits/2 + RandomBytes]byte
	ok := unhex(numbers[0:8], s[executorAt:])
	ok = ok && unhex(numbers[8:16], s[issuedAt:])
	ok = ok && unhex(numbers[16:], s[randomAt:])
	if !ok {
		return Key{}, malformed("its numbers are not lower-case hexadecimal")
	}
	nanos := int64(binary.BigEndian.Uint64(numbers[8:]))
	if nanos < 0 {
		return Key{}, malformed("its issue time is out of range")
	}
	k := Key{Service: s[serviceAt:]}
	if !validService(k.Service) {
		return Key{}, malformed("its service name has invalid characters")
	}
	k.Executor = binary.BigEndian.Uint64(numbers[0:])
	k.Issued = time.Unix(0, nanos).UTC()
	copy(k.Random[:], numbers[16:])
	return k, nil
}

func malformed(why string) *outcome.Error {
	return outcome.New(outcome.NotRun, outcome.KeyMalformed, "the idempotency key is malformed: "+why)
}

// unhex fills dst from the lower-case hexadecimal digits at the start of s.
func unhex(dst []byte, s string) bool {
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

// validService reports whether name has only unreserved URL characters.
func validService(name string) bool {
	if name == "" || len(name) > MaxServiceBytes {
		return false
	}
	for i := range len(name) {
		if !unreserved(name[i]) {
			return false
		}
	}
	return true
}

func unreserved(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	default:
		return c == '-' || c == '.' || c == '_' || c == '~'
	}
}

// Fingerprint identifies the content of a request. One key goes with one
// fingerprint.
type Fingerprint [sha256.Size]byte

// FingerprintOf returns the SHA-256 sum over the four parts, each preceded by
// its length, so that no two different requests have the same input.
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
