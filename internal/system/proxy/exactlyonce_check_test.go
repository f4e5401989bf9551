package proxy

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"gradeusher.example/gradeusher/internal/system/config"
)

// checkOutcomes compares what clients and servers saw.
func (w *scenarioRun) checkOutcomes() error {
	if len(w.alterations) > 0 {
		return fmt.Errorf("requests were altered: %v", w.alterations)
	}
	sends := map[string]int{}
	for _, o := range w.outcomes {
		sends[o.id] = o.sends
	}
	ran, came := map[string]int{}, map[string]int{}
	once := w.nonIdempotent()
	for _, a := range w.arrivals {
		allowed := max(sends[a.id], 1)
		if came[a.id]++; came[a.id] > allowed*w.MaxTries {
			return fmt.Errorf("request %s was sent %d times", a.id, came[a.id])
		}
		if once && ran[a.id] >= allowed {
			return fmt.Errorf("request %s was sent again although it may have run", a.id)
		}
		if !a.refused {
			ran[a.id]++
		}
	}
	for _, o := range w.outcomes {
		if err := w.checkOutcome(o, ran[o.id]); err != nil {
			return fmt.Errorf("%+v: %w", o, err)
		}
	}
	return nil
}

// nonIdempotent reports whether requests may run only once.
func (w *scenarioRun) nonIdempotent() bool { return w.Category != config.Idempotent && !w.Resumable }

// checkOutcome checks one response; ran is how many times its request may have run.
func (w *scenarioRun) checkOutcome(outcome clientOutcome, ran int) error {
	switch {
	case outcome.noHead:
		return nil
	case impliesNotExecuted(outcome.status):
		// If an id was used for two requests on an idempotent route, the other request may have run more than once.
		if ran > 0 && (outcome.sends == 1 || w.nonIdempotent() && ran >= outcome.sends) {
			return errors.New("the request may have run, but its client got a not-executed status")
		}
		return nil
	case outcome.seal == "" && (outcome.status == http.StatusBadGateway || outcome.status == http.StatusGatewayTimeout):
		return nil
	case outcome.echo != outcome.id && (isSuccess(outcome.status) || outcome.echo != ""):
		return errors.New("the response has a different id")
	}
	for _, a := range w.arrivals {
		if a.id == outcome.id && a.sent.seal == outcome.seal && a.sent.status == outcome.status {
			return w.compareBody(outcome, a.sent)
		}
	}
	return errors.New("no server sent this response to the request")
}

// compareBody compares the body that a client received with the one that the server sent.
func (w *scenarioRun) compareBody(o clientOutcome, sent sentResponse) error {
	switch {
	case w.stream && o.status == http.StatusOK && o.method != http.MethodHead:
		return checkEventStream(o.body, o.err == nil)
	case !strings.HasPrefix(sent.body, o.body):
		return fmt.Errorf("the body differs from the one that the server sent, %q", sent.body)
	case o.err != nil:
		return nil //nolint:nilerr // a visibly truncated response may be incomplete
	case !sent.valid:
		return errors.New("a response that is invalid or truncated looks complete")
	case sent.body != o.body:
		return fmt.Errorf("a truncated part of the body %q looks complete", sent.body)
	}
	return nil
}
