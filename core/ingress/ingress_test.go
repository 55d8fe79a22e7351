package ingress_test

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/ingress"
	"github.com/primrosemount/primrosemount/core/outcome"
)

func table() *ingress.Table {
	one := []ingress.Destination{{Service: "stock", Weight: 1}}
	return ingress.NewTable(7, []ingress.Route{
		{Name: "short", Host: "shop.example", PathPrefix: "/a/", Destinations: one},
		{Name: "long", Host: "Shop.example", PathPrefix: "/a/b/", Destinations: one, Priority: 1},
		{Name: "split", Host: "split.example", PathPrefix: "/", Priority: 4,
			Destinations: []ingress.Destination{{Service: "old", Weight: 90}, {Service: "new", Weight: 10}}},
		{Name: "empty", Host: "empty.example", PathPrefix: "/"},
	}, []ingress.Service{{Name: "stock", MaxConnections: 7}}, ingress.Limits{BodyBytes: 10})
}

func TestLongestPrefixWins(t *testing.T) {
	tab := table()
	for _, c := range []struct{ host, path, want string }{
		{"shop.example", "/a/b/c", "long"},
		{"SHOP.example:8080", "/a/x", "short"},
		{"shop.example", "/a/", "short"},
		{"shop.example", "/a", ""},
		{"shop.example", "/ab/c", ""},
		{"other.example", "/a/b/", ""},
		{"empty.example", "/", ""},
	} {
		found := tab.Match(c.host, c.path)
		if c.want == "" {
			require.Nil(t, found, c)
			continue
		}
		require.NotNil(t, found, c)
		require.Equal(t, c.want, found.Name)
	}
	require.Equal(t, 3, tab.RouteCount())
}

func TestClassFollowsPriority(t *testing.T) {
	tab := table()
	require.Equal(t, outcome.Critical, tab.Match("shop.example", "/a/").Class())
	require.Equal(t, outcome.Normal, tab.Match("shop.example", "/a/b/").Class())
	require.Equal(t, outcome.Sheddable, tab.Match("split.example", "/").Class())
}

// Guards against shares of a split route that drift from the weights, and
// against a repeat that moves to another part.
func TestPartsGetTheirWeights(t *testing.T) {
	split := table().Match("split.example", "/")
	counts := map[string]int{}
	const requests = 20000
	for i := range requests {
		id := "attempt-" + strconv.Itoa(i)
		counts[split.ChooseService(id)]++
		require.Equal(t, split.ChooseService(id), split.ChooseService(id))
	}
	require.InDelta(t, 0.1, float64(counts["new"])/requests, 0.01)
	require.Equal(t, requests, counts["new"]+counts["old"])
}

func TestService(t *testing.T) {
	s, ok := table().Service("stock")
	require.True(t, ok)
	require.Equal(t, 7, s.MaxConnections)
	_, ok = table().Service("none")
	require.False(t, ok)
}
