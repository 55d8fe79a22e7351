package account_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/account"
)

func digests(keys ...string) []account.Digest {
	var list []account.Digest
	for _, key := range keys {
		list = append(list, account.DigestOf(key))
	}
	return list
}

// Guards against a key that finds no account or another one, and against the order of the
// configuration being lost.
func TestDirectoryFindsAccounts(t *testing.T) {
	d, err := account.NewDirectory([]account.Account{
		{Name: "b", Keys: digests("k1", "k2", "k1"), RatePerSecond: 5, Burst: 2},
		{Name: "a", Keys: digests("k3"), RatePerSecond: 5},
	})
	require.NoError(t, err)
	require.Equal(t, "b", d.Find("k1").Name)
	require.Same(t, d.Find("k1"), d.Find("k2"))
	require.Same(t, d.Find("k3"), d.ByName("a"))
	require.Same(t, d.ByName("b"), d.All()[0])
	require.Nil(t, d.Find("k4"))
	require.Nil(t, d.Find(""))
	require.Nil(t, d.ByName("c"))
	require.True(t, d.ByName("b").Limited())
	require.False(t, d.ByName("a").Limited(), "a rate without a burst is no limit")
}

// Guards against accounts that cannot be told apart or whose limits make no sense, and
// against errors that do not name the account.
func TestInvalidAccountsAreRefused(t *testing.T) {
	valid := account.Account{Name: "valid", Keys: digests("k1")}
	for _, c := range []struct {
		account account.Account
		want    error
	}{
		{account.Account{Name: "x", Keys: digests("k2", "k1")}, account.ErrDuplicateKey},
		{account.Account{Name: "valid", Keys: digests("k2")}, account.ErrDuplicateName},
		{account.Account{Name: "x", Keys: digests("")}, account.ErrEmptyKey},
		{account.Account{Name: "x", Keys: digests("k2"), RatePerSecond: -1}, account.ErrNegativeRate},
		{account.Account{Name: "x", Keys: digests("k2"), Burst: -1}, account.ErrNegativeRate},
		{account.Account{Keys: digests("k2")}, account.ErrInvalidName},
		{account.Account{Name: "x\r\ny", Keys: digests("k2")}, account.ErrInvalidName},
	} {
		_, err := account.NewDirectory([]account.Account{valid, c.account})
		require.ErrorIs(t, err, c.want)
		require.NotContains(t, err.Error(), "k2")
		if c.account.Name == "x" {
			require.ErrorContains(t, err, `account "x"`)
		}
	}
}

// Guards against a configuration that is refused because all keys of an account were
// taken away: the earlier version, with the keys, would stay in force.
func TestAccountMayLoseAllKeys(t *testing.T) {
	d, err := account.NewDirectory([]account.Account{{Name: "a", Keys: digests("k1")}, {Name: "b"}})
	require.NoError(t, err)
	require.Empty(t, d.ByName("b").Keys)
	require.Equal(t, "a", d.Find("k1").Name)
	require.Nil(t, d.Find(""))
}
