package pick

// prefillRate follows the median of the rates at which servers of common speed read prompts: each sample moves it by a
// fixed small part, so no single one counts for much.
type prefillRate struct{ tokensPerMS float64 } // tokens in a millisecond

func (e *prefillRate) observe(v float64) {
	if v > e.tokensPerMS {
		e.tokensPerMS *= 1.02
	} else {
		e.tokensPerMS /= 1.02
	}
	e.tokensPerMS = min(max(e.tokensPerMS, 1), 10000)
}
