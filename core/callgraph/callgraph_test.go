package callgraph_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/callgraph"
)

// Guards against calls of important requests that are shed like new requests of
// low importance, and against clients that claim a parent that is not running.
func TestFindReturnsRunningParent(t *testing.T) {
	g := callgraph.New()
	g.Start("a1", callgraph.Parent{Route: "order", Level: 130})
	g.Start("a1.b2", callgraph.Parent{Route: "credit", Level: 130})
	parent, ok := g.Find("a1.b2.c3")
	require.True(t, ok)
	require.Equal(t, "credit", parent.Route)
	parent, ok = g.Find("a1.x")
	require.True(t, ok)
	require.Equal(t, "order", parent.Route)
	for _, id := range []string{"a1", "", ".a", "z9.b2", "a1.b2.c3.d4"} {
		_, ok = g.Find(id)
		require.False(t, ok, id)
	}
	g.End("a1.b2")
	_, ok = g.Find("a1.b2.c3")
	require.False(t, ok)
}
