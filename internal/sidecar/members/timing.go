package members

import "time"

// The timing. A death is known after about 1.6 probe intervals until one probes the dead, one more in which it and its
// helpers hear nothing, suspicion for suspicionMult * log10(members) intervals, and gossip: at 300 members 0.3 + 0.2 + 1.5 +
// 0.3 s. Shorter ones would declare a process dead that waits for a processor, or whose only prober does.
const (
	probeInterval       = 200 * time.Millisecond
	probeTimeout        = 150 * time.Millisecond
	suspicionMult       = 3 // so one other member has to miss it too; else suspicion lasts six times as long
	gossipInterval      = 100 * time.Millisecond
	gossipNodes         = 4
	retransmitMult      = 2 // times log10(members), rounded up: at 300 each forwards an update 6 times, and 1 in 400 misses it
	pushPullInterval    = 5 * time.Second
	streamTimeout       = time.Second
	gossipToDeadTime    = 30 * time.Second
	leaveTimeout        = 500 * time.Millisecond
	handoverTime        = time.Second // between an old process's farewell and the new one's arrival, in which the place is kept
	minViewDelay        = 10 * time.Millisecond
	maxViewDelay        = 80 * time.Millisecond
	viewDelayPerMember  = 300 * time.Microsecond // for each member: where many start at once their views would change at each
	rejoinDelay         = 3 * time.Second        // that a process is lost: one that is falsely taken for dead comes back by itself
	retryDelayPerMember = 80 * time.Millisecond  // for each member between tries, so that the fleet makes about ten a second
	sweepInterval       = 250 * time.Millisecond
	claimInterval       = 2 * time.Second  // about
	lostTTL             = 10 * time.Minute // a lost process is looked for
	maxLost             = 1024
	label               = "gradeusher/1" // on each packet and stream: others are passed over
)
