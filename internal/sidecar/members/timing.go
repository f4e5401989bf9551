package members

import "time"

// The timing of membership. The death of a process is known to all after: about 1.6 probe intervals until some member probes it; one
// interval in which the prober, and the members that probe on its behalf, get no acknowledgement; suspicion for suspicionMult *
// log10(members) intervals; and gossip of the verdict. At 300 members these are 0.3 + 0.2 + 1.5 + 0.3 s. With shorter intervals, a process
// that waits for a processor, or whose only prober does, would be declared dead.
const (
	probeInterval       = 200 * time.Millisecond
	probeTimeout        = 150 * time.Millisecond
	suspicionMult       = 3 // one other member has to suspect the process too, else suspicion lasts six times as long
	gossipInterval      = 100 * time.Millisecond
	gossipNodes         = 4
	retransmitMult      = 2 // times log10(members), rounded up: each of 300 members forwards an update 6 times, and 1 in 400 misses it
	pushPullInterval    = 5 * time.Second
	streamTimeout       = time.Second
	gossipToDeadTime    = 30 * time.Second
	leaveTimeout        = 500 * time.Millisecond
	handoverTime        = time.Second // after a farewell, in which the index is reserved for the successor
	minViewDelay        = 10 * time.Millisecond
	maxViewDelay        = 80 * time.Millisecond
	viewDelayPerMember  = 300 * time.Microsecond // without it, the views of many members that start at once would change with each of them
	rejoinDelay         = 3 * time.Second        // after a process was lost: one that was falsely declared dead refutes that by itself
	minRetryDelay       = 100 * time.Millisecond // the first delay between attempts to listen or to join
	retryRandomization  = 0.5                    // by which part delays are longer or shorter
	maxListenRetryDelay = 200 * time.Millisecond // between attempts to listen
	maxRetryDelay       = 4 * time.Second        // between attempts to join, in a small fleet
	maxJoinAddresses    = 2                      // of one attempt to join
	retryDelayPerMember = 80 * time.Millisecond  // between attempts to join in a large fleet, which makes about ten a second then
	sweepInterval       = 250 * time.Millisecond
	claimInterval       = 2 * time.Second  // between repeats of the own claim: half of it to one and a half
	lostTTL             = 10 * time.Minute // after which a lost process is not looked for any more
	maxLost             = 1024             // lost processes that are looked for
	label               = "gradeusher/1"   // of each packet and stream; those with another label are rejected
)
