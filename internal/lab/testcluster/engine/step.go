package engine

import (
	"slices"
	"time"
)

// step begins the next step if there is work.
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

// finishStep gives out what the step made. Jobs that left meanwhile are passed over.
func (e *Engine) finishStep() {
	e.stepping = false
	var gain []*job // jobs that get a token
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

// cacheParts has the parts that a job has read be found by others.
func (e *Engine) cacheParts(j *job) {
	for i := len(j.pinned); i < len(j.Parts); i++ {
		p := e.cache.add(j.Parts[i])
		j.pinned = append(j.pinned, p)
		j.ownTokens -= int64(j.Parts[i].Tokens)
		e.ownTokens -= int64(j.Parts[i].Tokens)
	}
}

// makeRoom finds memory for one more token of a job; false: the job itself had to give way.
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

// EventsOf is how many events tokens make.
func EventsOf(tokens, stride int) int { return (tokens + stride - 1) / stride }
