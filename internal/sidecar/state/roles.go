package state

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/list"
)

// Bounds of duties.
const (
	MaxRoles             = 4096
	MaxCandidatesPerRole = 256    // that wait for one duty
	MaxCandidates        = 65_536 // of all duties
	MaxStepBytes         = 4096   // bytes of what a holder records
	MinRoleLease         = 500 * time.Millisecond
	MaxRoleLease         = 5 * time.Minute
	maxLoad              = 1 << 20
	maxFailuresPerRole   = 64 // names of which a duty remembers that they failed
	maxBackoff           = 5 * time.Minute
	failureResetAfter    = time.Minute // after so long in office earlier failures are forgotten
	rebalanceThreshold   = 2           // more duties than one that waits
	restoreGap           = 1 << 20     // epochs that may have been given since a backup
	clockDriftDivisor    = 100         // clocks differ by one part in so many at most
	effectMargin         = 100 * time.Millisecond
	maxRoleBatch         = 1024
)

// RoleLeaseMargin is how long before the end of a lease, as counted from before the renewal was sent, its holder stops acting: for
// clocks whose rates differ by 1 %, and 100 ms between a look at the clock and the effect.
func RoleLeaseMargin(lease time.Duration) time.Duration {
	return lease/clockDriftDivisor + effectMargin
}

// The commands of duties. Their fields are in Command.Duty.
const (
	Campaign       Op = "duty-campaign"   // a process wants a duty, and gets it if it is free
	Withdraw       Op = "duty-withdraw"   // it waits no more
	Release        Op = "duty-release"    // its holder lets go of it
	Move           Op = "duty-move"       // its holder is asked to
	Checkpoint     Op = "duty-checkpoint" // its holder records a step
	Forget         Op = "duty-forget"     // duties that nobody holds, waits for or has had for long are forgotten
	EndRoleLeases  Op = "duty-end"        // leases have ended, candidates are silent, pauses are over
	StartLeaseTerm Op = "duty-office"     // another leader counts leases
)

// RoleCall is a command of duties. Each Op looks at the fields that name it.
type RoleCall struct {
	Name         string `json:"name,omitempty"`
	Process      string `json:"who,omitempty"`     // NAME#RUN of the process: campaign, withdraw, release, checkpoint
	Location     string `json:"room,omitempty"`    // campaign: of the process
	RoleLocation string `json:"at,omitempty"`      // campaign: the room where the duty should be held, which the first says
	Load         int64  `json:"load,omitempty"`    // campaign: what the process carries besides, in duties
	TTLMS        int64  `json:"ttl_ms,omitempty"`  // campaign: length of the lease that it wants
	Epoch        int64  `json:"epoch,omitempty"`   // release, checkpoint
	Successor    string `json:"to,omitempty"`      // release, move: who is next; a name or NAME#RUN
	Rejoin       bool   `json:"again,omitempty"`   // release: it waits again
	Failed       bool   `json:"failed,omitempty"`  // release: it could not do the work
	Force        bool   `json:"force,omitempty"`   // move: it cannot renew any more
	Step         string `json:"step,omitempty"`    // checkpoint; release, where StepNo is given
	StepNo       *int64 `json:"step_no,omitempty"` // the number of the step that was read before; it gets the next

	IdleRoles []string `json:"idle,omitempty"`    // forget: these, if they are; Name, Who and Epoch are the office that it is done in
	IdleMS    int64    `json:"idle_ms,omitempty"` // forget: for how long

	NowMS     int64      `json:"now_ms,omitempty"` // Unix time by the leader's clock, for pauses
	LeaseTerm int64      `json:"office,omitempty"` // end: what the leases were counted in
	Ended     []LeaseRef `json:"ended,omitempty"`
	TimedOut  []LeaseRef `json:"silent,omitempty"`
	Due       []string   `json:"due,omitempty"`
}

// LeaseRef is an office whose lease has ended, or one who waits and is silent.
type LeaseRef struct {
	Name    string `json:"name"`
	Epoch   int64  `json:"epoch,omitempty"`
	Process string `json:"who,omitempty"`
}

// Candidate is a process that holds a duty or waits for it.
type Candidate struct {
	Process  string `json:"who"`
	Location string `json:"room,omitempty"`
	Load     int64  `json:"load,omitempty"`
	TTLMS    int64  `json:"ttl_ms"`
}

// Failure is how often a process of a name failed in office.
type Failure struct {
	Name    string `json:"name"`
	Count   int    `json:"times"`
	UntilMS int64  `json:"until_ms,omitempty"` // it is passed over; Unix time
}

// Role is one duty.
type Role struct {
	Name              string      `json:"name"`
	Epoch             int64       `json:"epoch"` // of the last grant
	Revision          int64       `json:"rev"`   // of its last change
	Location          string      `json:"room,omitempty"`
	Owner             *Candidate  `json:"holder,omitempty"`
	SinceMS           int64       `json:"since_ms,omitempty"` // it was granted, or fell free; Unix time
	HandoverRequested bool        `json:"asked,omitempty"`    // the holder is to hand it over
	Successor         string      `json:"to,omitempty"`       // to this process; "": the next in line
	RenewalBarred     bool        `json:"barred,omitempty"`   // renewals of this office are refused
	Step              string      `json:"step,omitempty"`
	StepNo            int64       `json:"step_no"`
	Waiting           []Candidate `json:"waiting,omitempty"` // longest first
	Failures          []Failure   `json:"failed,omitempty"`
}

// IsOwner tells whether a process holds the duty.
func (d *Role) IsOwner(who string) bool { return d.Owner != nil && d.Owner.Process == who }

// WaitingIndex tells where a process stands in line; below 0: it does not.
func (d *Role) WaitingIndex(who string) int {
	return slices.IndexFunc(d.Waiting, func(c Candidate) bool { return c.Process == who })
}

func (d *Role) clone() Role {
	c := *d
	if d.Owner != nil {
		h := *d.Owner
		c.Owner = &h
	}
	c.Waiting, c.Failures = slices.Clone(d.Waiting), slices.Clone(d.Failures)
	return c
}

// ProcessName is the name of the process whose run is who.
func ProcessName(who string) string {
	name, _, _ := strings.Cut(who, "#")
	return name
}

var runPattern = regexp.MustCompile(`^[A-Za-z0-9]{1,32}$`)

// CheckProcess refuses what is no NAME#RUN.
func CheckProcess(who string) error {
	name, r, _ := strings.Cut(who, "#")
	if list.CheckUID(name) != nil || !runPattern.MatchString(r) {
		return fmt.Errorf("%.60q is no NAME#RUN, of a name as servers have and up to 32 letters and digits", who)
	}
	return nil
}

// MinIdle is the shortest time after which duties may be forgotten. What is lost with one is its step and who failed in it.
const MinIdle = time.Second
