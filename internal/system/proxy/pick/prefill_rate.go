package pick

const (
	prefillRateStep     = 1.02   // factor by which a sample moves the fleet's rate
	relativeSpeedStep   = 1.03   // and a server's speed compared with it
	minPrefillRate      = 1.0    // tokens in a millisecond
	maxPrefillRate      = 10_000 // tokens in a millisecond
	minRelativeSpeed    = 0.4    // samples count as no slower than this
	maxRelativeSpeed    = 1.5    // and no faster
	maxPlausibleSpeedUp = 4      // a sample that is faster by this factor was cached: another proxy had sent it there
	minPrefillMS        = 1      // shorter times say nothing
	minSampleTokens     = 1000   // nor do shorter prompts
)

// prefillRate follows the median of the rates at which servers of common speed prefill: each sample moves it by a fixed small part, so no
// single one counts for much.
type prefillRate struct{ tokensPerMS float64 }

// observe takes in a rate in tokens in a millisecond.
func (r *prefillRate) observe(tokensPerMS float64) {
	if tokensPerMS > r.tokensPerMS {
		r.tokensPerMS *= prefillRateStep
	} else {
		r.tokensPerMS /= prefillRateStep
	}
	r.tokensPerMS = min(max(r.tokensPerMS, minPrefillRate), maxPrefillRate)
}

// observePrefill learns from the time that a prompt took to its first event, the way there and back and one decoding step included.
func (p *Picker) observePrefill(now Time, a *attempt) {
	target := a.server
	tookMS := ms(now-a.sentAt) - ms(p.settings.StepTime) - p.network.roundTripMS(target)
	if tookMS <= minPrefillMS {
		return
	}
	tokens := float64(a.prefillTokens)
	rate := tokens / max(tookMS-tokens*tokens/2e6*attentionMSPerMillionPairs, tookMS/3)
	if rate > maxPlausibleSpeedUp*p.prefillRate.tokensPerMS {
		return
	}
	p.prefillRate.observe(rate)
	if speed := min(max(rate/p.prefillRate.tokensPerMS, minRelativeSpeed), maxRelativeSpeed); speed > target.relativeSpeed {
		target.relativeSpeed *= relativeSpeedStep
	} else {
		target.relativeSpeed /= relativeSpeedStep
	}
}
