// Package catalogue holds the configuration entries of all services, as a state
// machine that is replicated through the catalogue stream.
//
// Model. The stream is a sequence of records with contiguous offsets from 0. A
// record is a change of one entry or a checkpoint. The state at offset N is the
// result of applying the changes below N in order; a checkpoint record changes
// nothing. All readers that apply the same records have the same state, down to
// the bytes of its encoding.
//
// Invariants.
//   - A change is accepted only if its base revision is the current revision of
//     its entry. Of two concurrent changes, the one with the lower offset is
//     therefore accepted, and the other is rejected.
//   - The revision of an entry is the offset of its latest accepted change plus
//     1. It never decreases.
//   - A deleted entry leaves a tombstone. A later creation must name the
//     revision of the tombstone, so a delayed creation cannot restore the
//     entry.
//   - A change whose ID is among the recent results has no second effect.
//   - A record that cannot be decoded is skipped and reported. It counts as
//     applied.
//
// The checks of Validate are part of applying a change. Two releases that
// differ in these checks would arrive at different states, so checks are
// tightened only for new fields.
//
// Bounds. The state keeps the last MaxRecentResults results and MaxTombstones
// tombstones. The result of a change is no longer available after
// MaxRecentResults further changes. Even then, a repeated append of the change
// has no effect, because its base revision is stale. The only exception is a
// repeated creation of an entry whose tombstone has been dropped as well: it is
// accepted again.
//
// Types are not safe for concurrent use, except Snapshot, which is immutable.
package catalogue
