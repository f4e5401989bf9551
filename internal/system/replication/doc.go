// Package replication replicates the log of control records among control-plane nodes. It uses chain replication under a membership
// view that the nodes agree on with Paxos.
//
// # Problem
//
// A configuration change must be acknowledged only when it survives the loss of any Config.MachineLosses disks, all nodes must see
// the changes in one order, and a read must return a state that is not older than the newest acknowledged change. Nodes crash, stall
// and restart; disks are lost completely; messages are lost, duplicated, reordered and delayed without bound. Processes are not
// Byzantine. Safety depends on no timer. The clock of a process must never go backwards and must run at the same rate as the others',
// but clocks need not agree.
//
// # Terms
//
//   - View: the agreed voters and the chain, numbered by epoch. A view is immutable; the next epoch has another one.
//   - Voter: a node whose acceptor takes part in the agreement on the next view.
//   - Chain replica: a voter that replicates records. Records enter at the head and are acknowledged at the tail; each replica sends
//     what it has on disk to its successor and receives from its predecessor.
//   - Active: a replica is active in epoch e once it has on disk everything that its predecessor had when e began. Only active
//     replicas replicate further, so the tail becomes active only after all others.
//   - Committed: a record that the active tail has on disk. It is on the disks of all replicas of the chain.
//   - Learner: a node outside the chain that receives committed records.
//   - Observer: a learner without a disk, which is never a voter or a chain replica.
//   - Sealed: a replica that has promised on its disk never to be active in a given epoch.
//
// # Protocol
//
// The chain follows van Renesse and Schneider, "Chain Replication for Supporting High Throughput and Availability" (OSDI 2004). The
// view takes the place of their master: the view of epoch e+1 is the value of a single-decree Paxos (Lamport, "Paxos Made Simple",
// 2001) among the voters of e. As in Vertical Paxos (Lamport, Malkhi, Zhou, PODC 2009), the head of a view must hold everything that
// earlier views acknowledged before anything is acknowledged under it.
//
//   - Change: a node forwards it to the head. The head decides on it by the state after its complete log, appends it and writes it to
//     disk. The record is passed down the chain, and the commit index is passed back up. The head answers when the record is
//     committed.
//   - Read: a node asks the tail, which asks a majority of the voters whether they know of, or have accepted, a later view. If none
//     has, the tail answers with its commit index, and the reader waits until it has committed up to that index.
//   - Repair: each voter derives the view that it considers right from the heartbeats that it receives, and proposes it if it differs
//     from the current one.
//
// # Invariants
//
//  1. An epoch has one view and one head, and only the head numbers records. This follows from Paxos. Epoch and number together
//     identify a record and the log below it.
//  2. A record is acknowledged only when Config.MachineLosses+1 disks have it (commitAsTail, minChainLength).
//  3. A head holds everything that any earlier chain has acknowledged or ever will. The proof is at mayLead.
//  4. Two quorums of one epoch intersect (isQuorum). An identity votes only according to the promises on its disk, since each disk
//     has an identity of its own and persist completes before each answer.
//  5. A read is not older than any change acknowledged before it. Let the change have been acknowledged in epoch g and the tail be of
//     epoch e. If g ≤ e, the tail holds the change: it is active in e, and answers only above minReadIndex. If g > e, a majority of
//     the voters of e had accepted the view of e+1 before; the tail asked a majority later, the two majorities intersect in one
//     voter, and that voter does not confirm (hasAcceptedLater).
//  6. A change is not accepted after its caller's deadline, nor in a later epoch than the one it was sent in (isBeforeDeadline).
//  7. A change that one sender sends repeatedly is decided once (changeKey, changeTTL).
//
// docs/hardening/replication.md has the full arguments, the limits, and the tests that show that each protection is needed.
//
// # Names on the wire
//
// The messages and stored data use names of an earlier draft, which cannot change. In the code they are:
//
//   - Life, HeadLife: the incarnation of a process, of the head's process.
//   - Heard (of Forward): the number of the head's newest heartbeat that the sender had received.
//   - Register: acceptorState. Image: a snapshot of the state. Ballot: proposalNumber.
//   - Links (of Chain): the IDs of a chain's replicas.
//   - Base, Past (of View): minHeadEpoch, earlierChains.
//   - DiskBad, Leaving, Stuck (of Heartbeat): diskWriter.unhealthy, liveness.draining, chainReplica.stalledSuccessor.
//   - Matched, Complete (of Ack): durableIndex, isActiveToTail. Run: consecutive records of one epoch in a log.
//   - Follow: a learner's request for records. Install: a snapshot in place of records.
//   - ReadIndex, ReadAt: a reader's request to the tail, and the index that the reader must have committed.
//
// # Structure
//
// Core is a pure state machine as in etcd's raft: Receive, Tick and DiskDone drive it, and Ready returns messages, a write and
// completions. It has no I/O, clock or goroutine, so that a complete cluster can be simulated from a seed. Each of its parts has one
// job: acceptor, proposer and planner agree on the view, chainReplica keeps the log, readConfirmation, clientCalls and changeDecider
// serve calls, liveness tracks the peers, and diskWriter writes to disk. Node drives a Core with a disk and a network.
package replication
