// Package catalogue holds the entries of all services as a deterministic fold
// over the catalogue stream.
//
// Model. The stream is a sequence of records with contiguous offsets from 0.
// A record is a change of one entry or a checkpoint. The state at offset N is
// the fold of the changes below N; a checkpoint record changes nothing. Every
// reader that folds the same records gets the same state, byte for byte in its
// encoding.
//
// Invariants.
//   - A change is accepted only if its base is the present revision of its
//     entry, so of two concurrent changes the one with the lower offset wins.
//   - A revision is the offset of the accepted change plus 1 and never falls.
//   - A deleted entry leaves a tombstone. A later creation has to name the
//     revision of the tombstone, so a late creation cannot revive the entry.
//   - A change id that is among the recent results has no second effect.
//   - A record that cannot be decoded is skipped and reported; its offset
//     counts as folded.
//
// The checks of Validate are part of the fold. Two releases that differ in them
// fold differently, so a check is tightened only for new fields.
//
// Bounds. The state keeps MaxRecent results and MaxTombstones tombstones and
// drops the oldest. The result of a change cannot be asked for after MaxRecent
// further changes. A repeated append of a change stays without effect even then,
// because its base is stale; only the repeated creation of an entry whose
// tombstone was dropped as well would be accepted again.
//
// Types are not safe for concurrent use, except Snapshot, which is immutable.
package catalogue
