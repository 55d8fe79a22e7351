// Package account holds the client accounts of a configuration and finds the account
// of a key.
//
// A Directory keeps digests of keys, not the keys, so that no output of a node can show
// one, and finds an account by one look-up, so that the time does not depend on the
// keys of others.
package account

import (
	"crypto/sha256"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// A Digest is the SHA-256 digest of a key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// emptyDigest is the digest of the empty key.
var emptyDigest = DigestOf("")

// An Account is one client account.
type Account struct {
	Name string
	// Keys holds the digests of all keys that are valid at the same time. It is empty if
	// all keys have been taken away.
	Keys []Digest
	// Priority precedes the priority of the route if HasPriority is set; 0 is the
	// highest.
	Priority    int
	HasPriority bool
	// RatePerSecond and Burst are the quota over all nodes. If either is 0, there is no
	// limit.
	RatePerSecond float64
	Burst         float64
}

// Limited reports whether the account has a quota, which needs both a rate and a burst.
func (a *Account) Limited() bool { return a.RatePerSecond > 0 && a.Burst > 0 }

// Kinds of errors of a directory; match them with errors.Is.
var (
	// ErrDuplicateKey marks a key that two accounts hold.
	ErrDuplicateKey = errors.New("two client accounts hold the same key; remove it from one of them")
	// ErrDuplicateName marks a name that two accounts have.
	ErrDuplicateName = errors.New("two client accounts have the same name; rename one of them")
	// ErrInvalidName marks a name that cannot be the value of a header.
	ErrInvalidName = errors.New("the name of the client account is empty or contains control characters; change it")
	// ErrEmptyKey marks an empty key, which is the same as none in a request.
	ErrEmptyKey = errors.New("a key of the client account is empty; remove it")
	// ErrNegativeRate marks a negative rate or burst.
	ErrNegativeRate = errors.New("the rate or the burst of the client account is negative; use 0 for no limit")
)

// A Directory finds accounts by key and by name. It is immutable and safe for
// concurrent use.
type Directory struct {
	accounts []*Account
	byKey    map[Digest]*Account
	byName   map[string]*Account
}

// NewDirectory returns a directory of the accounts. The error names the account and
// matches one of the kinds above.
func NewDirectory(accounts []Account) (*Directory, error) {
	d := &Directory{byKey: make(map[Digest]*Account), byName: make(map[string]*Account, len(accounts))}
	for i := range accounts {
		if err := d.add(accounts[i]); err != nil {
			return nil, errors.Wrapf(err, "account %q", accounts[i].Name)
		}
	}
	return d, nil
}

func (d *Directory) add(a Account) error {
	switch {
	case a.Name == "" || !httpguts.ValidHeaderFieldValue(a.Name):
		return ErrInvalidName
	case d.byName[a.Name] != nil:
		return ErrDuplicateName
	case a.RatePerSecond < 0 || a.Burst < 0:
		return ErrNegativeRate
	}
	for _, key := range a.Keys {
		if key == emptyDigest {
			return ErrEmptyKey
		}
		if other := d.byKey[key]; other != nil && other != &a {
			return errors.Wrapf(ErrDuplicateKey, "also held by %q", other.Name)
		}
		d.byKey[key] = &a
	}
	d.byName[a.Name] = &a
	d.accounts = append(d.accounts, &a)
	return nil
}

// Find returns the account of a key, or nil if no account holds it.
func (d *Directory) Find(key string) *Account { return d.byKey[DigestOf(key)] }

// ByName returns the account with a name, or nil if there is none.
func (d *Directory) ByName(name string) *Account { return d.byName[name] }

// All returns the accounts in the order of the configuration. The caller must not
// modify the slice.
func (d *Directory) All() []*Account { return d.accounts }
