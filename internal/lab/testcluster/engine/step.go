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
	e.decoding, e.reading = nil, map[*job]int{}
	budget, read := e.Chunk, 0
	for _, j := range e.running {
		if j.unreadTokens == 0 {
			e.decoding = append(e.decoding, j)
			continue
		}
		if n := min(j.unreadTokens, budget-read); n > 0 {
			e.reading[j] = n
			read += n
		}
	}
	took := e.Step + time.Duration(len(e.decoding))*e.PerRunning +
		time.Duration(float64(read)/e.PrefillRate*float64(time.Millisecond))
	e.stepEnds = e.now + max(took, time.Microsecond)
}

// finishStep applies the results of the step to the jobs that still run.
func (e *Engine) finishStep() {
	e.stepping = false
	var gain []*job // that get a token
	for _, j := range slices.Clone(e.running) {
		n, reads := e.reading[j]
		switch {
		case reads && j.running && j.unreadTokens > 0:
			e.prefilled += int64(n)
			if j.unreadTokens -= n; j.unreadTokens == 0 {
				e.cacheParts(j)
				gain = append(gain, j)
			}
		case j.running && j.unreadTokens == 0 && slices.Contains(e.decoding, j):
			gain = append(gain, j)
		}
	}
	for _, j := range gain {
		if j.running && e.makeRoom(j) {
			e.addToken(j)
		}
	}
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

// makeRoom frees memory for one more token of a job, and reports false if the job itself was preempted for that.
func (e *Engine) makeRoom(j *job) bool {
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
		e.out = append(e.out, Output{Key: running.Key, Kind: Started, At: e.now})
	}
	if running.answerTokens%e.Stride == 0 || running.answerTokens >= running.AnswerTokens {
		e.out = append(e.out, Output{Key: running.Key, Kind: Event, Event: EventsOf(running.answerTokens, e.Stride), At: e.now})
	}
	if running.answerTokens >= running.AnswerTokens {
		e.out = append(e.out, Output{Key: running.Key, Kind: Done, At: e.now})
		e.release(running)
		e.running = slices.DeleteFunc(e.running, func(r *job) bool { return r == running })
		e.handled++
	}
}

// EventsOf returns how many events an answer of so many tokens has.
func EventsOf(tokens, stride int) int { return (tokens + stride - 1) / stride }
