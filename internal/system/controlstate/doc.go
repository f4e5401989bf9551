// Package controlstate implements the control state: the deterministic state machine that control-plane nodes replicate and that
// proxies subscribe to.
//
// # Problem
//
// Operators send configuration changes and zone evacuations to any control-plane node. A call can be lost, delayed or retried
// after a timeout, and two operators can send changes based on the same version. A retried change must be confirmed and not
// applied twice; a change that was applied must never be refused; a delayed evacuation must not undo a later one. Every replica
// must reach the same state from the same records, whether it replays them or restores a snapshot.
//
// # Terms
//
//   - change: what a caller asks for. A configuration change names the revision that it builds on (Base); a zone change names a
//     committed record that a node has returned to its caller, which serves as its fencing token.
//   - record: a change with its sequence number (Seq). Records are applied in order, without gaps.
//   - verdict: the result of checking a change against a state (Check). Only accepted changes become records.
//   - revision: the number that the operator gives a configuration; it increases with every change, in steps of any size.
//   - history: the newest MaxHistory applied configuration changes, identified by digests of 16 bytes.
//
// # Invariants
//
//  1. Determinism. Apply depends only on the state and the record, and equal states have equal encodings. Replicas with equal
//     sequence numbers therefore have equal states (state machine replication; Schneider, ACM Computing Surveys 1990).
//  2. At most one change builds on a revision: Check accepts a change only on the current revision, and applying that change
//     advances the revision. So applied changes form a linear sequence, and a retry is recognised by the one digest on its base.
//  3. No false refusal. If the history no longer reaches back to a change's base, the verdict is Uncertain and never Stale.
//  4. No late undo. A zone change is accepted only if the zone was last changed at or before its Base. A zone whose last change is
//     no longer remembered counts as changed later than it was, which errs on the side of Superseded.
//
// A State is immutable, so it can be shared between goroutines without locks. Package wal stores the records.
package controlstate
