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
	MostDuties        = 4096
	MostCandidates    = 256    // that wait for one duty
	MostCandidacies   = 65_536 // of all duties
	MostStep          = 4096   // bytes of what a holder records
	LeastDutyLease    = 500 * time.Millisecond
	MostDutyLease     = 5 * time.Minute
	mostLoad          = 1 << 20
	mostFailures      = 64 // names of which a duty remembers that they failed
	mostPause         = 5 * time.Minute
	soundOffice       = time.Minute // after so long in office earlier failures are forgotten
	givesAway         = 2           // more duties than one that waits
	restoredEpochs    = 1 << 20     // epochs that may have been given since a backup
	driftShare        = 100         // clocks differ by one part in so many at most
	driftFix          = 100 * time.Millisecond
	mostDutiesInBatch = 1024
)

// DutyMargin is how long before the end of a lease, as counted from before the renewal was sent, its holder stops acting: for
// clocks whose rates differ by 1 %, and 100 ms between a look at the clock and the effect.
func DutyMargin(lease time.Duration) time.Duration { return lease/driftShare + driftFix }

// The commands of duties. Their fields are in Command.Duty.
const (
	Campaign   Op = "duty-campaign"   // a process wants a duty, and gets it if it is free
	Withdraw   Op = "duty-withdraw"   // it waits no more
	Release    Op = "duty-release"    // its holder lets go of it
	Move       Op = "duty-move"       // its holder is asked to
	Checkpoint Op = "duty-checkpoint" // its holder records a step
	Forget     Op = "duty-forget"     // duties that nobody holds, waits for or has had for long are forgotten
	End        Op = "duty-end"        // leases have ended, candidates are silent, pauses are over
	Office     Op = "duty-office"     // another leader counts leases
)

// DutyCall is a command of duties. Each Op looks at the fields that name it.
type DutyCall struct {
	Name   string `json:"name,omitempty"`
	Who    string `json:"who,omitempty"`     // NAME#RUN of the process: campaign, withdraw, release, checkpoint
	Room   string `json:"room,omitempty"`    // campaign: of the process
	At     string `json:"at,omitempty"`      // campaign: the room where the duty should be held, which the first says
	Load   int64  `json:"load,omitempty"`    // campaign: what the process carries besides, in duties
	TTLMS  int64  `json:"ttl_ms,omitempty"`  // campaign: length of the lease that it wants
	Epoch  int64  `json:"epoch,omitempty"`   // release, checkpoint
	To     string `json:"to,omitempty"`      // release, move: who is next; a name or NAME#RUN
	Again  bool   `json:"again,omitempty"`   // release: it waits again
	Failed bool   `json:"failed,omitempty"`  // release: it could not do the work
	Force  bool   `json:"force,omitempty"`   // move: it cannot renew any more
	Step   string `json:"step,omitempty"`    // checkpoint; release, where StepNo is given
	StepNo *int64 `json:"step_no,omitempty"` // the number of the step that was read before; it gets the next

	Idle   []string `json:"idle,omitempty"`    // forget: these, if they are; Name, Who and Epoch are the office that it is done in
	IdleMS int64    `json:"idle_ms,omitempty"` // forget: for how long

	NowMS  int64      `json:"now_ms,omitempty"` // Unix time by the leader's clock, for pauses
	Office int64      `json:"office,omitempty"` // end: what the leases were counted in
	Ended  []EndedOne `json:"ended,omitempty"`
	Silent []EndedOne `json:"silent,omitempty"`
	Due    []string   `json:"due,omitempty"`
}

// EndedOne is an office whose lease has ended, or one who waits and is silent.
type EndedOne struct {
	Name  string `json:"name"`
	Epoch int64  `json:"epoch,omitempty"`
	Who   string `json:"who,omitempty"`
}

// Candidate is a process that holds a duty or waits for it.
type Candidate struct {
	Who   string `json:"who"`
	Room  string `json:"room,omitempty"`
	Load  int64  `json:"load,omitempty"`
	TTLMS int64  `json:"ttl_ms"`
}

// Failure is how often a process of a name failed in office.
type Failure struct {
	Name    string `json:"name"`
	Times   int    `json:"times"`
	UntilMS int64  `json:"until_ms,omitempty"` // it is passed over; Unix time
}

// Duty is one duty.
type Duty struct {
	Name    string      `json:"name"`
	Epoch   int64       `json:"epoch"` // of the last grant
	Rev     int64       `json:"rev"`   // of its last change
	Room    string      `json:"room,omitempty"`
	Holder  *Candidate  `json:"holder,omitempty"`
	SinceMS int64       `json:"since_ms,omitempty"` // it was granted, or fell free; Unix time
	Asked   bool        `json:"asked,omitempty"`    // the holder is to hand it over
	To      string      `json:"to,omitempty"`       // to this process; "": the next in line
	Barred  bool        `json:"barred,omitempty"`   // renewals of this office are refused
	Step    string      `json:"step,omitempty"`
	StepNo  int64       `json:"step_no"`
	Waiting []Candidate `json:"waiting,omitempty"` // longest first
	Failed  []Failure   `json:"failed,omitempty"`
}

// Is tells whether a process holds the duty.
func (d *Duty) Is(who string) bool { return d.Holder != nil && d.Holder.Who == who }

// Waits tells where a process stands in line; below 0: it does not.
func (d *Duty) Waits(who string) int {
	return slices.IndexFunc(d.Waiting, func(c Candidate) bool { return c.Who == who })
}

func (d *Duty) copied() Duty {
	c := *d
	if d.Holder != nil {
		h := *d.Holder
		c.Holder = &h
	}
	c.Waiting, c.Failed = slices.Clone(d.Waiting), slices.Clone(d.Failed)
	return c
}

// ProcessName is the name of the process whose run is who.
func ProcessName(who string) string {
	name, _, _ := strings.Cut(who, "#")
	return name
}

var run = regexp.MustCompile(`^[A-Za-z0-9]{1,32}$`)

// CheckWho refuses what is no NAME#RUN.
func CheckWho(who string) error {
	name, r, _ := strings.Cut(who, "#")
	if list.CheckUID(name) != nil || !run.MatchString(r) {
		return fmt.Errorf("%.60q is no NAME#RUN, of a name as servers have and up to 32 letters and digits", who)
	}
	return nil
}

// LeastIdle is the shortest time after which duties may be forgotten. What is lost with one is its step and who failed in it.
const LeastIdle = time.Second
