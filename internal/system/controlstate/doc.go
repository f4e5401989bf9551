// Package controlstate is the control state: the deterministic state machine that control-plane nodes replicate and proxies
// subscribe to.
//
// # Problem
//
// Operators send changes of the configuration and evacuations of zones to any control-plane node. A call can be lost, delayed or
// retried after a time-out, and two operators can send changes on the same version. A retried change must be confirmed and not
// applied twice; a change must never be refused though it was applied; a delayed evacuation must not undo a later one. Every
// replica must come to the same state from the same records, whether it replays them or restores a snapshot.
//
// # Terms
//
//   - change: what a caller asks for. A change of the configuration names the revision that it builds on (Base); a change of a zone
//     names the newest committed record that the receiving node knew when the call arrived, which serves as its fencing token.
//   - record: a change under its sequence number (Seq). Records are applied in order, without gaps.
//   - verdict: the answer to a change on top of a state (Check). Only accepted changes become records.
//   - revision: the number that the operator gives a configuration; it rises with every change, in steps of any size.
//   - history: the newest MaxHistory applied changes of the configuration, by digests of 16 bytes.
//
// # Invariants
//
//  1. Determinism. Apply depends on the state and the record only, and equal states have equal encodings. The replicas' states are
//     therefore equal wherever their sequence numbers are (state machine replication; Schneider, ACM Computing Surveys 1990).
//  2. At most one change builds on a revision: Check accepts a change only on the current revision, and that change moves it. So
//     applied changes form a line, and a retry can be recognised by the one digest on its base.
//  3. No false refusal. Where the history no longer reaches a change's base, the verdict is Uncertain and never Stale.
//  4. No late undo. A change of a zone is accepted only where the zone was last changed at or before its Base. What the memory of
//     zones forgets counts as changed later, which errs on the side of Superseded.
//
// A State is immutable, so it is shared between goroutines without locks. Records are stored by package wal.
package controlstate
