package controlstate

// Kind is the kind of a Verdict.
type Kind int

// The kinds of verdicts. Their numbers are sent between control-plane nodes, so a number must never be reused.
const (
	Accepted       Kind = iota // may be applied
	AlreadyApplied             // the same change was applied before, or the evacuation or readmission is already in force
	Stale                      // builds on a revision other than the current one
	Invalid                    // can never be accepted in this form
	// Uncertain means that no decision is possible: the change builds on a revision so old that the history no longer shows whether
	// it was applied, or MaxZones zones are already evacuated.
	Uncertain
	// Superseded is the verdict on an evacuation or readmission whose zone was changed after the record numbered Base. A caller
	// that still wants it retries with a newer Base.
	Superseded
)

// Verdict is the result of State.Check. It is final once the record numbered Seq is committed.
type Verdict struct {
	Kind   Kind
	Reason string // explains the verdict and its remedy to the caller; empty if the change is accepted
	Seq    uint64 // number of the accepted change, otherwise of the newest record that the verdict depends on; 0 if none
}
