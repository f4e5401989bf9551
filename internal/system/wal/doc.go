// Package wal is the write-ahead log of a control-plane node on its disk: segments of checksummed records, one snapshot below
// them, and a few named pieces of metadata. It does not interpret what it stores.
//
// # Problem
//
// A replica may acknowledge a record only once no crash can take it back. A process can be killed, or its machine lose power, at
// any call on the disk, and again during the recovery. A disk can refuse a call, be full, fail a sync, or return other bytes than
// were written. A process that is about to end can still have the folder open when its successor opens it; file locks do nothing
// on the machines this runs on. A disk has 64 MB; a change has up to 16 MiB.
//
// # Terms
//
//   - entry: opaque bytes under a sequence number; sequence numbers have no gaps.
//   - record: what one call of Append or Truncate writes; it is the unit of durability.
//   - segment: a file of records behind a header. The header names the previous segment and how many of its bytes are live, the
//     snapshot that was current, and a nonce. The segments that can be reached through the headers are the segment chain.
//   - generation: the number of a snapshot or of a version of a piece of metadata. Its upper bits are the number of the newest
//     segment, so a process's generations are above those of every process before it.
//   - in doubt: whether a change that failed is on the disk is unknown. The next change resolves it as not done.
//   - claim: the exclusive creation of the next segment's empty file. The segment's number is the fencing token of the process
//     that made it (Kleppmann, "How to do distributed locking", 2016).
//   - reserve: a file whose space is given up so that metadata and truncations succeed on a full disk.
//   - quarantine: the files of a damaged log under other names, for inspection.
//
// # Invariants
//
//  1. Durable before acknowledged. A call that returns nil has made its change durable. After an error the change has come about
//     entirely or not at all, and the next change resolves which before it returns.
//  2. Prefix. What Load returns is the state after a prefix of the calls: all that returned nil and at most those after them.
//  3. Loaded is durable. What Load returns survives every later crash.
//  4. Nothing after a failed sync. No file is trusted beyond what a sync before the failed one covered.
//  5. Never served damaged. A log that contradicts itself elsewhere than at its torn end is ErrDamaged as a whole.
//  6. Atomic quarantine. After Quarantine, interrupted anywhere, the log is there as it was, or it is empty with its complete
//     copy beside it and nothing of an older copy. No change is refused for the copy's sake.
//  7. One writer. Once a process has loaded the log, no process that had it open before acknowledges a change, and nothing that
//     such a process still writes is loaded.
//  8. Bounded. All files together take at most Options.MaxBytes, one snapshot, the reserve and the quarantined copy, and the
//     copy gives way at Options.DiskBytes.
//
// # Proof
//
// Every change comes about at one instant: the sync of its record, or the sync of the folder after a rename. Before that instant
// the old state is complete, because nothing is overwritten; after it the new state is.
//
// (1, 2) Log.appendToSegment writes one record a call at the segment's end and syncs it before it returns. A record's checksum
// covers the segment's nonce and the record's offset, so that bytes of an earlier use of the block never pass for a record; one
// sync never covers two records, so only the last can be torn. Snapshots, metadata and the starts of segments go through
// Log.replaceFile: a new file under a temporary name, sync, rename, sync of the folder. What a failed call leaves in doubt is
// behind the newest segment's live end, in the next segment's place, or in one snapshot; Log.resolveInDoubt seals or removes each
// durably before another change succeeds. Open syncs the parent folder each time, because the process that made the folder may
// have ended before its own sync.
//
// (2, 5) Log.segmentChain follows the headers from the newest segment that is not empty, so a segment that is missing or shorter
// than its successor's header says is noticed. A torn end is accepted in the newest segment only, and only where no complete
// record lies behind it. A segment that is not empty has a complete header, since it was renamed into place.
//
// (3, 4) After a failed write or sync the file is never written again (Log.abandonActiveSegment): the kernel may have dropped the
// pages, and a later sync would report success (Rebello et al., "Can Applications Recover from fsync Failures?", USENIX ATC 2020).
// The next segment's header excludes what is in doubt. Only the last record of the newest segment can have a failed sync behind
// it, because a later record would be in another segment; Log.takeOwnership therefore writes that record again as the start of a
// new segment.
//
// (6) Quarantine removes the older copy, makes a marker file, syncs the folder, renames each file, syncs, removes the marker and
// syncs. Load finishes it where the marker is present.
//
// (7) Load claims the next segment before it reads anything. A change looks for that file after its own sync and before it
// returns: either the change was durable before the claim, and the successor reads it, or the change returns ErrSuperseded. A
// snapshot that a superseded process renames late carries a generation below the newest segment's and is ignored.
//
// # Assumptions
//
// A sync that returns nil covers everything that was written since the file was made, if no sync of that file failed before.
// Files can be created exclusively. A rename is kept or lost, never half done. A failed sync of a folder leaves its names
// undecided. 64 bits of checksum are enough.
//
// # Limits
//
// Damage inside the very last record looks like a torn write and drops that record; acknowledged records are on other replicas'
// disks too. Where Load cannot write, because the disk is full or refuses, it syncs the newest segment and trusts that, so that a
// node on a full disk can start.
package wal
