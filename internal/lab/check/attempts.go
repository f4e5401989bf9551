package check

import (
	"maps"
	"slices"

	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/load"
	"gradeusher.example/gradeusher/internal/lab/plan"
)

const maxAttempts = 3 // of one request at servers (PROTOCOL)

// checkAttempts checks no-duplicate and one-at-a-time. attempts are those at servers, by id of the request and in order of time.
func (e *Evidence) checkAttempts(found findings, attempts map[string][]ctl.Attempt) {
	clients := make(map[string]*load.Attempt, len(e.ClientAttempts))
	for i := range e.ClientAttempts {
		clients[e.ClientAttempts[i].ID] = &e.ClientAttempts[i]
	}
	for _, id := range slices.Sorted(maps.Keys(attempts)) {
		all, client := attempts[id], clients[id]
		found.observe("no-duplicate", 1)
		if client == nil {
			found.violation("no-duplicate", "server %s got request %q, which no client sent", all[0].Server, id)
			continue
		}
		if client.ResentAt != 0 && e.excused(client.Sidecar, client.Began, client.Ended) {
			continue // sent to two processes
		}
		limit := maxAttempts
		if client.ResentAt != 0 {
			limit *= 2
		}
		if len(all) > limit {
			found.violation("no-duplicate", "request %s was sent %d times, %d at most", id, len(all), limit)
		}
		for i := 1; i < len(all); i++ {
			e.checkSuccession(found, client, all[i-1], all[i])
		}
	}
}

// checkSuccession checks an attempt against the one before it for the same request.
func (e *Evidence) checkSuccession(found findings, client *load.Attempt, before, attempt ctl.Attempt) {
	found.observe("one-at-a-time", 1)
	idempotent := e.Plan.File.Classes[client.Class].Safe
	if !idempotent && before.Outcome != ctl.AttemptRejected {
		found.violation("no-duplicate", "request %s may have run at %s (%s) and went to %s at %s", client.ID, before.Server, before.Outcome, attempt.Server,
			e.when(attempt.First))
	}
	slack := int64(plan.Millis(e.Plan.File.Limits.SlackMS))
	if before.End == 0 || before.End > attempt.First+slack {
		found.violation("one-at-a-time", "request %s went to %s at %s while its attempt at %s was out", client.ID, attempt.Server, e.when(attempt.First),
			before.Server)
	}
}
