// Package wal implements the write-ahead log of a control-plane node on its disk: segments of checksummed records, one snapshot
// that precedes them, and a few named pieces of metadata. It does not interpret the data that it stores.
//
// # Problem
//
// A replica may acknowledge a record only once no crash can lose it. A process can be killed, or its machine lose power, at any
// disk operation, and again during the recovery. A disk operation can fail, the disk can be full, a sync can fail, and a read can
// return bytes other than those written. A process that is shutting down can still have the folder open when its successor opens
// it; file locks have no effect on the machines this runs on. A disk has 64 MB; a change has up to 16 MiB.
//
// # Terms
//
//   - entry: opaque bytes with a sequence number; sequence numbers have no gaps.
//   - record: the data that one call of Append or Truncate writes; it is the unit of durability.
//   - segment: a file that consists of a header and records. The header names the previous segment and how many of its bytes are
//     live, the snapshot that was current, and a nonce. The segments that can be reached through the headers are the segment chain.
//   - generation: the number of a snapshot or of a version of a piece of metadata. Its upper bits are the number of the newest
//     segment, so the generations of a process are higher than those of every process before it.
//   - unfinished: a change that failed, so that it is unknown whether it is on the disk. The next change resolves it as not done.
//   - claim: the exclusive creation of the next segment's empty file. The segment's number is the fencing token of the process
//     that created it (Kleppmann, "How to do distributed locking", 2016).
//   - reserve: a file that is deleted to free its space, so that metadata and truncations succeed on a full disk.
//   - quarantine: the files of a damaged log, kept under other names for inspection.
//
// # Invariants
//
//  1. Durable before acknowledged. A call that returns nil has made its change durable. After an error the change has taken effect
//     entirely or not at all, and the next change resolves which before it returns.
//  2. Prefix. Load returns the state after a prefix of the calls: all that returned nil and possibly some of those after them.
//  3. Loaded is durable. The contents that Load returns survive every later crash.
//  4. Nothing after a failed sync. A file is trusted only as far as a sync before the failed one covered it.
//  5. Never served damaged. If a log is inconsistent anywhere other than at its torn end, the entire log is rejected with
//     ErrDamaged.
//  6. Atomic quarantine. Wherever Quarantine is interrupted, afterwards either the log is present unchanged, or it is empty, with
//     its complete copy next to it and no file of an older copy. No change is refused in order to preserve the copy.
//  7. One writer. Once a process has loaded the log, no process that had it open before acknowledges a change, and nothing that
//     such a process still writes is loaded.
//  8. Bounded. All files together take at most Options.MaxBytes, one snapshot, the reserve and the quarantined copy, and the
//     copy is dropped when Options.DiskBytes would be exceeded.
//
// # Proof
//
// Every change takes effect at one instant: the sync of its record, or the sync of the folder after a rename. Before that instant
// the old state is complete, because nothing is overwritten; after it the new state is complete.
//
// (1, 2) Log.appendToSegment writes one record per call at the segment's end and syncs it before it returns. A record's checksum
// covers the segment's nonce and the record's offset, so that bytes from an earlier use of the block are never mistaken for a
// record; one sync never covers two records, so only the last can be torn. Snapshots, metadata and the starts of segments go
// through Log.replaceFile: a new file under a temporary name, sync, rename, sync of the folder. The unfinished data of a failed
// call is after the newest segment's live end, in the next segment's file, or in one snapshot; Log.resolveUnfinished seals or
// removes each durably before another change succeeds. Open syncs the parent folder each time, because the process that created
// the folder may have ended before its own sync.
//
// (2, 5) Log.segmentChain follows the headers from the newest segment that is not empty, so it detects a segment that is missing
// or is shorter than its successor's header states. A torn end is accepted in the newest segment only, and only if no complete
// record follows it. A segment that is not empty has a complete header, since it was renamed into place.
//
// (3, 4) After a failed write or sync the file is never written again (Log.abandonActiveSegment): the kernel may have dropped the
// pages, and a later sync would report success (Rebello et al., "Can Applications Recover from fsync Failures?", USENIX ATC 2020).
// The next segment's header excludes the unfinished record. Only the last record of the newest segment can be one whose sync
// failed, because a later record would be in another segment; Log.takeOwnership therefore writes that record again as the start of
// a new segment.
//
// (6) Quarantine removes the older copy, creates a marker file, syncs the folder, renames each file, syncs, removes the marker and
// syncs. Load finishes an interrupted quarantine if the marker is present.
//
// (7) Load claims the next segment before it reads anything. A change checks whether that file exists after its own sync and before
// it returns: either the change was durable before the claim, and the successor reads it, or the change returns ErrSuperseded. A
// snapshot that a superseded process renames late has a generation below the newest segment's and is ignored.
//
// # Assumptions
//
// A sync that returns nil covers everything that was written since the file was created, if no sync of that file failed before.
// Files can be created exclusively. A rename either survives a crash completely or is lost. After a failed sync of a folder it is
// undefined which of its name changes are durable. 64 bits of checksum are enough.
//
// # Limits
//
// Damage inside the very last record looks like a torn write and drops that record; acknowledged records are on other replicas'
// disks too. If Load cannot write, because the disk is full or refuses writes, it syncs the newest segment and relies on that sync,
// so that a node on a full disk can start.
package wal
