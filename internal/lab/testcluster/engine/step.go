package engine

import (
	"slices"
	"time"
)

// step begins a step if none is under way and jobs run.
func (e *Engine) step() {
	if e.stepping || len(e.running) == 0 {
		return
	}
	e.stepping = true
	prefillTokens := e.planStep()
	e.stepEnds = e.now + max(e.stepDuration(prefillTokens), time.Microsecond)
}

// planStep decides which jobs get a token by the step and how much of which prompts is prefilled, in order of admission. It returns how many
// tokens are prefilled in all.
func (e *Engine) planStep() (prefillTokens int) {
	e.decoding, e.prefilling = nil, map[*job]int{}
	for _, j := range e.running {
		if j.pendingTokens == 0 {
			e.decoding = append(e.decoding, j)
			continue
		}
		if n := min(j.pendingTokens, e.Chunk-prefillTokens); n > 0 {
			e.prefilling[j] = n
			prefillTokens += n
		}
	}
	return prefillTokens
}

// stepDuration returns how long the planned step takes.
func (e *Engine) stepDuration(prefillTokens int) time.Duration {
	prefill := time.Duration(float64(prefillTokens) / e.PrefillRate * float64(time.Millisecond))
	return e.Step + time.Duration(len(e.decoding))*e.PerRunning + prefill
}

// finishStep applies the results of the step to the jobs that still run. Jobs may have been preempted since it began.
func (e *Engine) finishStep() {
	e.stepping = false
	var decoded []*job // that get a token
	for _, j := range e.running {
		if e.finishJobStep(j) {
			decoded = append(decoded, j)
		}
	}
	for _, j := range decoded {
		if j.running && e.reserveToken(j) {
			e.addToken(j)
		}
	}
}

// finishJobStep applies the step to one job, and reports whether the job gets a token: one does when its prompt has been prefilled, and from
// then on in each step.
func (e *Engine) finishJobStep(running *job) bool {
	if running.pendingTokens == 0 {
		return slices.Contains(e.decoding, running)
	}
	n, prefilled := e.prefilling[running]
	if !prefilled {
		return false
	}
	e.prefilled += int64(n)
	if running.pendingTokens -= n; running.pendingTokens != 0 {
		return false
	}
	e.cacheParts(running)
	return true
}

// cacheParts puts the parts of a prompt into the cache once the prompt is prefilled.
func (e *Engine) cacheParts(j *job) {
	for i := len(j.pinned); i < len(j.Parts); i++ {
		p := e.cache.add(j.Parts[i])
		j.pinned = append(j.pinned, p)
		j.ownTokens -= int64(j.Parts[i].Tokens)
		e.ownTokens -= int64(j.Parts[i].Tokens)
	}
}

// reserveToken frees memory for one more token of a job, and reports false if the job itself was preempted for that.
func (e *Engine) reserveToken(j *job) bool {
	for {
		used, _ := e.memory()
		if used+1 <= e.MemoryTokens {
			e.cache.evictTo(e.MemoryTokens - e.ownTokens - 1)
			return true
		}
		v := e.victim()
		e.preempt(v)
		if v == j {
			return false
		}
	}
}

// addToken adds a token to the answer of a job, with the outputs that come of it.
func (e *Engine) addToken(running *job) {
	running.answerTokens++
	running.ownTokens++
	e.ownTokens++
	if !running.started {
		running.started = true
		e.outputs = append(e.outputs, Output{Key: running.Key, Kind: Started, At: e.now})
	}
	if running.answerTokens%e.Stride == 0 || running.answerTokens >= running.AnswerTokens {
		e.outputs = append(e.outputs, Output{Key: running.Key, Kind: Event, Event: EventsOf(running.answerTokens, e.Stride), At: e.now})
	}
	if running.answerTokens >= running.AnswerTokens {
		e.outputs = append(e.outputs, Output{Key: running.Key, Kind: Done, At: e.now})
		e.release(running)
		e.running = slices.DeleteFunc(e.running, func(r *job) bool { return r == running })
		e.handled++
	}
}

// EventsOf returns how many events an answer of so many tokens has.
func EventsOf(tokens, stride int) int { return (tokens + stride - 1) / stride }
