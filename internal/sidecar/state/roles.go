package state

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/list"
)

// Bounds of singleton roles. Like those of the list they are part of the state machine.
const (
	MaxRoles             = 4096
	MaxCandidatesPerRole = 256    // processes that wait for one role
	MaxCandidates        = 65_536 // processes that wait, summed over all roles
	MaxStepBytes         = 4096   // of the step that an owner records
	MinRoleLease         = 500 * time.Millisecond
	MaxRoleLease         = 5 * time.Minute
	MinIdle              = time.Second // shortest time without an owner after which a role may be forgotten, with its step and failures
	maxLoad              = 1 << 20     // of a process, in roles
	maxFailuresPerRole   = 64          // process names whose failures a role remembers
	maxRoleBatch         = 1024        // roles in one command
)

// What decides who owns a role.
const (
	maxBackoff         = 5 * time.Minute
	failureResetAfter  = time.Minute // an owner that kept its role for so long has its earlier failures forgotten
	rebalanceThreshold = 2           // an owner with so many more roles than a candidate is asked to hand one over
	restoreGap         = 1 << 20     // epochs and revisions that may have been given since a backup
)

// The assumptions about clocks under which a lease has one owner at a time (docs/singleton-roles.md, "Promise").
const (
	clockDriftDivisor = 100                    // rates of clocks differ by one part in so many at most
	effectMargin      = 100 * time.Millisecond // longest time from an owner's look at its clock to the effect of what it does
)

// RoleLeaseMargin returns how long before the end of its lease an owner stops acting. The lease counts from before the renewal was
// sent; the margin covers clocks whose rates differ by 1 % and 100 ms between a look at the clock and the effect.
func RoleLeaseMargin(lease time.Duration) time.Duration {
	return lease/clockDriftDivisor + effectMargin
}

// The operations on singleton roles. Their arguments stand in Command.Role.
const (
	Campaign       Op = "duty-campaign"   // a process becomes a candidate, and the owner if the role is free
	Withdraw       Op = "duty-withdraw"   // a candidate waits no more
	Release        Op = "duty-release"    // the owner gives the role up
	Move           Op = "duty-move"       // an operator asks the owner to give the role up
	Checkpoint     Op = "duty-checkpoint" // the owner records its step
	Forget         Op = "duty-forget"     // drops roles without owner or candidates
	EndRoleLeases  Op = "duty-end"        // reports leases that have ended, candidates that timed out and backoffs that are over
	StartLeaseTerm Op = "duty-office"     // a new raft leader starts to count leases
)

// RoleCall holds the arguments of an operation on singleton roles. Each operation reads the fields that name it.
type RoleCall struct {
	Name         string `json:"name,omitempty"`    // all but EndRoleLeases and StartLeaseTerm: the role
	Process      string `json:"who,omitempty"`     // Campaign, Withdraw and what only the owner may do: the caller, as NAME#RUN
	Location     string `json:"room,omitempty"`    // Campaign: the process's location
	RoleLocation string `json:"at,omitempty"`      // Campaign: the location preferred for the owner; the role's first campaign sets it
	Load         int64  `json:"load,omitempty"`    // Campaign: the process's other load, in roles
	TTLMS        int64  `json:"ttl_ms,omitempty"`  // Campaign: length of the lease
	Epoch        int64  `json:"epoch,omitempty"`   // what only the owner may do: the epoch that it owns the role under
	Successor    string `json:"to,omitempty"`      // Release, Move: the next owner, as a name or NAME#RUN; "": the best candidate
	Rejoin       bool   `json:"again,omitempty"`   // Release: the process becomes a candidate again
	Failed       bool   `json:"failed,omitempty"`  // Release: the process could not do the work
	Force        bool   `json:"force,omitempty"`   // Move: further renewals are refused
	Step         string `json:"step,omitempty"`    // Checkpoint, and Release with StepNo: the new step
	StepNo       *int64 `json:"step_no,omitempty"` // compare-and-set: the number of the step that Step follows; it gets the next number

	IdleRoles []string `json:"idle,omitempty"`    // Forget: the roles, where they are idle; Name, Process and Epoch name the sweeping role
	IdleMS    int64    `json:"idle_ms,omitempty"` // Forget: how long they must have been idle

	NowMS     int64      `json:"now_ms,omitempty"` // Unix time by the leader's clock, for backoffs
	LeaseTerm int64      `json:"office,omitempty"` // EndRoleLeases: the term in which the leases were counted
	Ended     []LeaseRef `json:"ended,omitempty"`  // EndRoleLeases: leases, by epoch
	TimedOut  []LeaseRef `json:"silent,omitempty"` // EndRoleLeases: candidates, by process
	Due       []string   `json:"due,omitempty"`    // EndRoleLeases: free roles for which a candidate's backoff is over
}

// LeaseRef names a lease by its role and epoch, or a candidate by the role and its process.
type LeaseRef struct {
	Name    string `json:"name"`
	Epoch   int64  `json:"epoch,omitempty"`
	Process string `json:"who,omitempty"`
}

// Candidate is a process that owns a role or waits for it.
type Candidate struct {
	Process  string `json:"who"`
	Location string `json:"room,omitempty"`
	Load     int64  `json:"load,omitempty"` // in roles
	TTLMS    int64  `json:"ttl_ms"`
}

// Failure counts how often processes of a name failed as owners of a role.
type Failure struct {
	Name    string `json:"name"`
	Count   int    `json:"times"`
	UntilMS int64  `json:"until_ms,omitempty"` // end of the backoff, Unix time
}

// Role is a singleton role: work that one process at a time does under a lease.
type Role struct {
	Name              string      `json:"name"`
	Epoch             int64       `json:"epoch"`              // fencing token: rises by one with each owner
	Revision          int64       `json:"rev"`                // of the role table, at this role's last change
	Location          string      `json:"room,omitempty"`     // preferred for the owner
	Owner             *Candidate  `json:"holder,omitempty"`   // nil: the role is free
	SinceMS           int64       `json:"since_ms,omitempty"` // when it was granted or fell free, Unix time
	HandoverRequested bool        `json:"asked,omitempty"`    // the owner is asked to release it
	Successor         string      `json:"to,omitempty"`       // the process that gets it then; "": the best candidate
	RenewalBarred     bool        `json:"barred,omitempty"`   // renewals of this lease are refused
	Step              string      `json:"step,omitempty"`     // what the owner recorded last
	StepNo            int64       `json:"step_no"`
	Waiting           []Candidate `json:"waiting,omitempty"` // the longest waiting first
	Failures          []Failure   `json:"failed,omitempty"`
}

// IsOwner tells whether a process (NAME#RUN) owns the role.
func (r *Role) IsOwner(process string) bool { return r.Owner != nil && r.Owner.Process == process }

// WaitingIndex returns the index of a process (NAME#RUN) in Waiting, or -1.
func (r *Role) WaitingIndex(process string) int {
	return slices.IndexFunc(r.Waiting, func(c Candidate) bool { return c.Process == process })
}

// waitingMatch returns the index in Waiting of the first candidate that a name or NAME#RUN names, or -1.
func (r *Role) waitingMatch(nameOrProcess string) int {
	return slices.IndexFunc(r.Waiting, func(c Candidate) bool {
		return c.Process == nameOrProcess || ProcessName(c.Process) == nameOrProcess
	})
}

func (r *Role) clone() Role {
	copied := *r
	if r.Owner != nil {
		owner := *r.Owner
		copied.Owner = &owner
	}
	copied.Waiting, copied.Failures = slices.Clone(r.Waiting), slices.Clone(r.Failures)
	return copied
}

// ProcessName returns the name in a NAME#RUN.
func ProcessName(process string) string {
	name, _, _ := strings.Cut(process, "#")
	return name
}

var runPattern = regexp.MustCompile(`^[A-Za-z0-9]{1,32}$`)

// CheckProcess returns an error unless process has the form NAME#RUN, which names one run of a process.
func CheckProcess(process string) error {
	name, run, _ := strings.Cut(process, "#")
	if list.CheckUID(name) != nil || !runPattern.MatchString(run) {
		return fmt.Errorf("%.60q is no NAME#RUN, of a name as servers have and up to 32 letters and digits", process)
	}
	return nil
}
