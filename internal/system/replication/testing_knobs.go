package replication

// TestingKnobs take one protection of the protocol out each, so that tests can show that the protection is needed: with the
// knob set, a simulated cluster must violate an invariant (TestEveryProtectionIsNeeded, TestScenariosNeedTheirProtections).
// The zero value leaves all protections in place. No other package can set them, since Config carries them unexported.
type TestingKnobs struct {
	// Agreement on the view.

	// KeepIdentityOfLostDisk lets a node whose disk was wiped vote again under its former identity, which has forgotten its
	// promises. The cluster simulation acts on it.
	KeepIdentityOfLostDisk bool
	// IgnoreAcceptedViews has a proposer disregard the views that promises report as accepted (phase one of Paxos).
	IgnoreAcceptedViews bool
	// SendBeforeWrite sends messages before the write of the acceptor state on which they rest.
	SendBeforeWrite bool

	// FixedTimeouts has proposers take no account of slow disks, and slow nodes take no part though all are slow.
	FixedTimeouts bool

	// Choice of the head.

	// AllowAnyHead lets any chain replica become the head, whatever it holds.
	AllowAnyHead bool
	// PresumeUnacknowledged counts epochs as without acknowledgements though no chain replica has sealed them.
	PresumeUnacknowledged bool

	// Replication along the chain.

	// AcknowledgeAtHead has the head commit records that only it holds.
	AcknowledgeAtHead bool
	// AllowShortChain lets a chain of fewer replicas than MachineLosses+1 acknowledge.
	AllowShortChain bool
	// TruncateOnJoin has a replica that joins discard all records that its predecessor has not just sent.
	TruncateOnJoin bool
	// AcceptAnyEpoch has chain replicas accept records that were sent in another epoch.
	AcceptAnyEpoch bool

	// Reads and soft reads.

	// SkipReadConfirmation has the tail answer reads without asking a majority of the voters.
	SkipReadConfirmation bool
	// ConfirmAfterAccept has voters confirm an epoch though they have accepted the view of a later one.
	ConfirmAfterAccept bool
	// SkipMinReadIndex answers reads before all that earlier tails may have acknowledged is known to be committed.
	SkipMinReadIndex bool
	// SkipCurrentMajority counts a node as current without the heartbeats of a majority.
	SkipCurrentMajority bool

	// Changes and their answers.

	// SkipVerdictConfirmation answers Already and Stale before the state on which they rest is committed.
	SkipVerdictConfirmation bool
	// SkipDeduplication has the head decide on a forwarded change once for each time that it arrives.
	SkipDeduplication bool
	// AcceptAnyIncarnation accepts answers to calls of a former incarnation of this process.
	AcceptAnyIncarnation bool
	// AcceptAnyHeadIncarnation has the head accept changes that were forwarded to its former incarnation.
	AcceptAnyHeadIncarnation bool
	// AcceptForwardsOfEarlierEpochs has the head accept changes that were forwarded in an earlier epoch.
	AcceptForwardsOfEarlierEpochs bool
	// AcceptLateForwards has the head accept changes whose caller may have stopped waiting.
	AcceptLateForwards bool
}
