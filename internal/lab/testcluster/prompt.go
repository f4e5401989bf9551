package testcluster

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"gradeusher.example/gradeusher/internal/lab/testcluster/engine"
)

const defaultPriority = 5 // of a request that does not name one

// parseJob reads from a request's headers what it asks of the workload. Headers that cannot be read count as missing.
func (i *incarnation) parseJob(r *http.Request) engine.Request {
	if i.Engine == nil {
		return engine.Request{AnswerTokens: 1}
	}
	prompt := r.Header.Get("X-Prompt-Prefix")
	job := engine.Request{Parts: parsePromptParts(prompt), Priority: defaultPriority}
	promptTokens, maxTokens, _ := strings.Cut(r.Header.Get("X-Token-Count"), ",")
	if n, err := strconv.Atoi(promptTokens); err == nil && len(job.Parts) == 0 {
		job.Parts = []engine.PromptPart{{ID: xxhash.Sum64String(r.Header.Get("X-Attempt-Id")), Tokens: n}}
	}
	limit, err := strconv.Atoi(maxTokens)
	if err != nil || limit < 1 {
		limit = 1
	}
	job.AnswerTokens = AnswerTokens(prompt, limit)
	job.ReceivedEvents, _ = strconv.Atoi(r.Header.Get("Last-Event-Id"))
	job.ReceivedEvents = max(0, min(job.ReceivedEvents, engine.EventsOf(job.AnswerTokens, i.Engine.Stride)-1))
	if p, err := strconv.Atoi(r.Header.Get("Priority")); err == nil {
		job.Priority = p
	}
	return job
}

// AnswerTokens returns how many tokens an answer to a prompt has: more than half of the most that the request allows, and the same number
// at every server.
func AnswerTokens(prompt string, maxTokens int) int {
	return maxTokens/2 + 1 + int(xxhash.Sum64String(prompt)%uint64(maxTokens-maxTokens/2))
}

// parsePromptParts reads X-Prompt-Prefix, "id:tokens,id:tokens...", up to the first part that is malformed.
func parsePromptParts(text string) []engine.PromptPart {
	var parts []engine.PromptPart
	for part := range strings.SplitSeq(text, ",") {
		hexID, size, ok := strings.Cut(part, ":")
		id, idErr := strconv.ParseUint(hexID, 16, 64)
		tokens, sizeErr := strconv.Atoi(size)
		if !ok || idErr != nil || sizeErr != nil || tokens < 0 {
			break
		}
		parts = append(parts, engine.PromptPart{ID: id, Tokens: tokens})
	}
	return parts
}
