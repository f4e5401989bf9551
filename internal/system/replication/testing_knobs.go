package replication

// TestingKnobs disable one protection of the protocol each, so that tests can show that the protection is needed: with the knob set,
// a simulated cluster must violate an invariant (TestEveryProtectionIsNeeded, TestScenariosNeedTheirProtections). The zero value
// leaves all protections in place. Other packages cannot set them, since Config has them in an unexported field.
type TestingKnobs struct {
	// Agreement on the view.

	// KeepIdentityOfLostDisk lets a node whose disk was wiped vote again under its former identity, although its promises are lost. The
	// cluster simulation implements this.
	KeepIdentityOfLostDisk bool
	// IgnoreAcceptedViews makes a proposer disregard the views that promises report as accepted (phase one of Paxos).
	IgnoreAcceptedViews bool
	// SendBeforeWrite sends messages before the write of the acceptor state that they depend on.
	SendBeforeWrite bool

	// ForgetFirstStart ignores that a disk takes part in the first start, so that only the settings give a vote on the first view.
	ForgetFirstStart bool

	// FixedTimeouts makes proposers ignore slow disks, and excludes slow nodes even if all are slow.
	FixedTimeouts bool

	// Contact between nodes.

	// ForgetLostPeers makes a node send no heartbeats to peers that have fallen silent, unless they are voters or seeds.
	ForgetLostPeers bool

	// Choice of the head.

	// AllowAnyHead lets any chain replica become the head, regardless of what it holds.
	AllowAnyHead bool
	// PresumeUnacknowledged treats epochs as having acknowledged nothing even if no chain replica has sealed them.
	PresumeUnacknowledged bool

	// Replication along the chain.

	// AcknowledgeAtHead makes the head commit records that only it holds.
	AcknowledgeAtHead bool
	// AllowShortChain lets a chain of fewer than MachineLosses+1 replicas acknowledge.
	AllowShortChain bool
	// TruncateOnJoin makes a joining replica discard all records that its predecessor has not just sent.
	TruncateOnJoin bool
	// AcceptAnyEpoch makes chain replicas accept records that were sent in another epoch.
	AcceptAnyEpoch bool

	// Reads and soft reads.

	// SkipReadConfirmation makes the tail answer reads without asking a majority of the voters.
	SkipReadConfirmation bool
	// ConfirmAfterAccept makes voters confirm an epoch even if they have accepted the view of a later one.
	ConfirmAfterAccept bool
	// SkipMinReadIndex answers reads before everything that earlier tails may have acknowledged is known to be committed.
	SkipMinReadIndex bool
	// SkipCurrentMajority treats a node as current without the heartbeats of a majority.
	SkipCurrentMajority bool

	// Changes and their answers.

	// SkipVerdictConfirmation returns Already and Stale before the state that they depend on is committed.
	SkipVerdictConfirmation bool
	// SkipDeduplication makes the head decide on a forwarded change each time that it arrives.
	SkipDeduplication bool
	// AcceptAnyIncarnation accepts answers to calls of a previous incarnation of this process.
	AcceptAnyIncarnation bool
	// AcceptAnyHeadIncarnation makes the head accept changes that were forwarded to its previous incarnation.
	AcceptAnyHeadIncarnation bool
	// AcceptForwardsOfEarlierEpochs makes the head accept changes that were forwarded in an earlier epoch.
	AcceptForwardsOfEarlierEpochs bool
	// AcceptLateForwards makes the head accept changes whose caller may have stopped waiting.
	AcceptLateForwards bool
}
