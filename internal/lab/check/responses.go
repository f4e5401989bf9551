package check

import (
	"net/http"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/load"
	"gradeusher.example/gradeusher/internal/lab/plan"
)

// checkResponses checks one-answer and in-time. attempts are those at servers, by id of the request and in order of time.
func (e *Evidence) checkResponses(found findings, attempts map[string][]ctl.Attempt) {
	for i := range e.ClientAttempts {
		client := &e.ClientAttempts[i]
		e.checkResponse(found, client, attempts[client.ID])
	}
}

// checkResponse checks the response to one attempt of a client.
func (e *Evidence) checkResponse(found findings, client *load.Attempt, atServers []ctl.Attempt) {
	name := e.Plan.Sidecars[client.Sidecar].Name
	excused := e.excused(client.Sidecar, client.Began, client.Ended)
	// The client resent the request because it assumed that nobody had read it, but a server had received it.
	resentAfterUse := client.ResentAt != 0 && len(atServers) > 0 && atServers[0].First < client.ResentAt
	if resentAfterUse && !excused {
		found.violation("one-answer", "%s hung up on request %s after it had sent it on", name, client.ID)
	}
	if client.Sent == 0 {
		return // no sidecar has accepted it
	}
	answered := client.Status != 0
	if answered || !excused {
		found.observe("one-answer", 1)
	}
	if answered && !excused {
		found.observe("in-time", 1)
	}
	deadline := client.Sent + int64(client.Timeout) + int64(plan.Millis(e.Plan.File.Limits.AnswerSlackMS))
	switch {
	case !answered && !excused:
		found.violation("one-answer", "%s took request %s at %s and gave no answer: %s", name, client.ID, e.when(client.Sent), client.Fault)
	case client.Status == http.StatusOK && !servedBy(atServers, client.ServedBy):
		found.violation("one-answer", "%s served request %s by %q, which no server says", name, client.ID, client.ServedBy)
	case answered && client.Ended > deadline && !excused:
		found.violation("in-time", "%s answered request %s %v after its time", name, client.ID, time.Duration(client.Ended-client.Sent)-client.Timeout)
	}
}

// servedBy reports whether one of some attempts was served by a server.
func servedBy(attempts []ctl.Attempt, server string) bool {
	return slices.ContainsFunc(attempts, func(a ctl.Attempt) bool { return a.Outcome == ctl.AttemptServed && a.Server == server })
}
