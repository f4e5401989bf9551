package controlstate

// Kind is the kind of a Verdict.
type Kind int

// The kinds of verdicts. Their numbers are on the wire between control-plane nodes: never reuse one.
const (
	Accepted       Kind = iota // may be applied
	AlreadyApplied             // the very same change was applied before, or the evacuation is in force
	Stale                      // builds on another revision than the current one
	Invalid                    // can never be accepted as it is
	// Uncertain is no decision: the change builds on a revision so old that the history does not tell whether it was applied, or
	// MaxZones zones are evacuated.
	Uncertain
	// Superseded is the verdict on an evacuation or readmission whose zone was changed after the record numbered Base. A caller
	// that still wants it retries with a newer Base.
	Superseded
)

// Verdict is the result of State.Check. It is final once the record numbered Seq is committed.
type Verdict struct {
	Kind   Kind
	Reason string // for the caller, with the remedy; empty where the change is accepted
	Seq    uint64 // of the accepted change, otherwise of the newest record that the verdict depends on; 0: none
}
