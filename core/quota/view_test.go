package quota

import (
	"slices"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against owners that differ between the nodes, that do not count themselves as
// owners, or that change for many accounts when one member stops.
func TestOwnersAreSameAtAllNodes(t *testing.T) {
	for _, count := range []int{1, 3, 70, 640} {
		var vms []string
		for i := range count {
			vms = append(vms, "vm-"+strconv.Itoa(i))
		}
		accounts := plannedAccounts(200, 1000)
		view := NewView(vms[0], vms, accounts, testRules)
		reversed := slices.Clone(vms)
		slices.Reverse(reversed)
		other := NewView(vms[count-1], reversed, accounts, testRules)
		require.True(t, view.equalParts(other))
		require.Equal(t, view.hash, other.hash)
		gone := view.candidates[0]
		without := NewView("", slices.DeleteFunc(slices.Clone(vms), func(vm string) bool { return vm == gone }), accounts, testRules)
		for _, a := range accounts {
			owners := view.Owners(a.Name)
			require.Len(t, owners, view.ownerCount(a.Name))
			for _, vm := range vms {
				require.Equal(t, slices.Contains(owners, vm), view.Owns(vm, a.Name))
			}
			requireStable(t, view, without, a.Name)
		}
	}
}

// requireStable requires that owners change only where a candidate has left or a new one is
// an owner.
func requireStable(t *testing.T, before, after *View, name string) {
	t.Helper()
	owners := after.Owners(name)
	entered := slices.ContainsFunc(owners, func(vm string) bool { return !slices.Contains(before.candidates, vm) })
	for _, vm := range before.Owners(name) {
		require.True(t, slices.Contains(owners, vm) || !slices.Contains(after.candidates, vm) || entered, "%s of %s", vm, name)
	}
}
