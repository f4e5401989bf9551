package controlstate

// Kind is the kind of a Verdict.
type Kind int

// The kinds of verdicts. Their numbers are on the wire between keepers: never reuse one.
const (
	Accepted       Kind = iota // may be applied
	AlreadyApplied             // the very same change was applied before, or the evacuation is in force
	Stale                      // builds on another version than the current one
	Invalid                    // can never be taken as it is
	// Uncertain gives no clear answer: the change builds on a version so old that it cannot be told whether it was applied, or
	// there is no room for it now.
	Uncertain
	// Superseded is an evacuation, or the end of one, whose zone was changed after the record numbered Base: whoever still
	// wants it asks again with a newer Base.
	Superseded
)

// Verdict is what Check finds. It holds once the record numbered Seq is committed: for Accept the change's own, otherwise
// the one that the verdict rests on (0: none).
type Verdict struct {
	Kind   Kind
	Reason string // for the caller, with the remedy; empty with Accept
	Seq    uint64
}
