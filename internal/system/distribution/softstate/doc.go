// Package softstate is a replicated table of soft state: the proxies, the servers of the platform's list, and hints.
//
// The problem: several control-plane nodes and all proxies hold the same table. There are few writers but more than one, messages are
// lost, duplicated and late, processes restart empty, and no two processes share a clock. Yet all must converge to the same entries, and
// what a duration forbids or permits must hold at each of them. Nothing is stored on disk: what is lost is observed and written again.
//
// The terms: an Entry has a key, a fence (the fencing token of its writer) and a version that rises with each write of one fence. A Table
// numbers the changes that it merges; a Cursor (boot id and number) is a reader's position in them. A deletion leaves a tombstone. An Age
// bounds from both sides how long ago something was made.
//
// The invariants:
//
//   - Merging is a join: Entry.supersedes is a total order over the entries of one key (fence, then version, then deletion, then
//     value), and Table.Merge keeps the greatest. A maximum is commutative, associative and idempotent, so tables that have merged
//     the same entries, in any order and any number of times, are equal (state-based CRDT: Shapiro, Preguiça, Baquero, Zawirski 2011).
//   - Deltas add up to the table: ChangesSince returns every entry whose newest change has a number above the reader's. If a tombstone
//     that the reader may lack has been removed, it returns the complete table, which replaces what the reader holds.
//   - Min is never more, and Max never less, than the true age. Proof by induction over hops: an observation was made between the
//     request for it and the response; each hop adds bounds of its own duration, measured on one monotonic clock at its receiver or its
//     sender; sums of lower (upper) bounds bound the sum. No clocks are compared; they only run at about the same rate.
//   - A duration that forbids (warm-up) is counted down by Min, so it never ends early; one that permits (the remaining time of a
//     server that is withdrawn) is counted down by Max, so it never ends late.
//
// Deltas with tombstones and complete resynchronisation are anti-entropy as in Dynamo (DeCandia et al. 2007); fences are Chubby's
// sequencers (Burrows 2006).
package softstate
