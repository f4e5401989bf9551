package pick

const (
	prefillRateStep     = 1.02   // factor by which a sample changes the fleet's rate
	relativeSpeedStep   = 1.03   // factor by which a sample changes a server's speed relative to that rate
	minPrefillRate      = 1.0    // tokens per millisecond
	maxPrefillRate      = 10_000 // tokens per millisecond
	minRelativeSpeed    = 0.4    // slower samples count as this speed
	maxRelativeSpeed    = 1.5    // faster samples count as this speed
	maxPlausibleSpeedUp = 4      // a sample that is faster by this factor must have been cached: another proxy had sent the prompt there
	minPrefillMS        = 1      // shorter times are not conclusive
	minSampleTokens     = 1000   // shorter prompts are not conclusive either
)

// prefillRate tracks the median of the rates at which servers of average speed prefill:
// each sample changes it by a small fixed factor, so no single sample has much weight.
type prefillRate struct{ tokensPerMS float64 }

// observe adds a sample, in tokens per millisecond.
func (r *prefillRate) observe(tokensPerMS float64) {
	if tokensPerMS > r.tokensPerMS {
		r.tokensPerMS *= prefillRateStep
	} else {
		r.tokensPerMS /= prefillRateStep
	}
	r.tokensPerMS = min(max(r.tokensPerMS, minPrefillRate), maxPrefillRate)
}

// observePrefill learns from the time from sending a prompt to its first event, which includes the round trip and one decoding step.
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
