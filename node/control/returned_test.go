package control

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/era"
	"github.com/primrosemount/primrosemount/streamlog"
)

// submitOrders submits the nth change of a service to a node and requires that it is
// accepted.
func submitOrders(t *testing.T, control *Control, n uint64) {
	result, err := control.Submit(t.Context(), entryChange(n, "orders", "ops", control.Snapshot().Catalogue.Revision("orders"), uint32(n)))
	require.NoError(t, err)
	require.True(t, result.GetAccepted(), result.GetDetail())
}

// Guards against edits that were acknowledged and that are gone, or that differ between
// nodes, after the log has returned from a copy.
func TestEditsSurviveReturnOfLogFromCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		f.log.update(func() { f.log.era = 1 })
		first := f.start(0)
		for i := 1; i < 6; i++ {
			f.start(i, fakeMember(0, 2, 0).GetNodeAddress())
		}
		time.Sleep(20 * time.Second)
		for n := range uint64(5) {
			submitOrders(t, first, n+1)
		}
		time.Sleep(5 * time.Second)
		before := first.Snapshot().CataloguePosition
		f.log.update(func() { f.log.down = true })
		time.Sleep(5 * time.Second)
		f.log.returnFromCopy(streamlog.CatalogueStream, 3)
		f.log.returnFromCopy(streamlog.MembersStream, 2)
		f.log.update(func() { f.log.down = false })
		time.Sleep(10 * time.Second)
		f.requireAgreement(6)
		require.Equal(t, before, first.Snapshot().CataloguePosition)
		require.Equal(t, era.Era(3), first.Snapshot().CatalogueEra)
		newcomer := f.start(6, fakeMember(0, 2, 0).GetNodeAddress())
		submitOrders(t, first, 6)
		time.Sleep(20 * time.Second)
		require.Equal(t, first.Snapshot().Catalogue.Revision("orders"), newcomer.Snapshot().Catalogue.Revision("orders"))
		f.requireAgreement(7)
		f.stopAll()
	})
}

// Guards against a change that is acknowledged although its node cannot follow the log any
// more, and against states of two eras that are mixed.
func TestNodesDoNotFollowDivergedLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		f.log.update(func() { f.log.era = 1 })
		first := f.start(0)
		f.start(1, fakeMember(0, 2, 0).GetNodeAddress())
		time.Sleep(20 * time.Second)
		for n := range uint64(5) {
			submitOrders(t, first, n+1)
		}
		time.Sleep(5 * time.Second)
		before := first.Snapshot()
		f.log.returnFromCopy(streamlog.CatalogueStream, 2)
		_, err := f.log.append(streamlog.CatalogueStream, []byte("a record of another writer"))
		require.NoError(t, err)
		time.Sleep(5 * time.Second)
		require.Equal(t, before.CataloguePosition, first.Snapshot().CataloguePosition)
		require.Equal(t, before.CatalogueEra, first.Snapshot().CatalogueEra)
		_, err = first.Submit(t.Context(), entryChange(6, "orders", "ops", 5, 6))
		require.ErrorIs(t, err, errLogReturned)
		f.stopAll()
	})
}
