package proxy

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"gradeusher.example/gradeusher/internal/system/config"
)

// judge compares what clients and servers saw.
func (w *world) judge() error {
	if len(w.changed) > 0 {
		return fmt.Errorf("requests came changed: %v", w.changed)
	}
	sends := map[string]int{}
	for _, o := range w.got {
		sends[o.id] = o.sends
	}
	ran, came := map[string]int{}, map[string]int{}
	once := w.once()
	for _, a := range w.arrivals {
		allowed := max(sends[a.id], 1)
		if came[a.id]++; came[a.id] > allowed*w.MaxTries {
			return fmt.Errorf("%s came %d times", a.id, came[a.id])
		}
		if once && ran[a.id] >= allowed {
			return fmt.Errorf("%s was sent again though it may have run", a.id)
		}
		if !a.refused {
			ran[a.id]++
		}
	}
	for _, o := range w.got {
		if err := w.check(o, ran[o.id]); err != nil {
			return fmt.Errorf("%+v: %w", o, err)
		}
	}
	return nil
}

// once tells whether requests may run once only.
func (w *world) once() bool { return w.Category != config.Idempotent && !w.Resumable }

// check judges one answer; ran is how often its request may have run.
func (w *world) check(o outcome, ran int) error {
	switch {
	case o.broken:
		return nil
	case promisesNotRun(o.status):
		// Of an id that came twice on a route that repeats, the other request may have run more than once.
		if ran > 0 && (o.sends == 1 || w.once() && ran >= o.sends) {
			return errors.New("it has run, and its client was promised that it has not")
		}
		return nil
	case o.seal == "" && (o.status == http.StatusBadGateway || o.status == http.StatusGatewayTimeout):
		return nil
	case o.echo != o.id && (isSuccess(o.status) || o.echo != ""):
		return errors.New("the answer bears another id")
	}
	for _, a := range w.arrivals {
		if a.id == o.id && a.answered.seal == o.seal && a.answered.status == o.status {
			return w.compareBody(o, a.answered)
		}
	}
	return errors.New("no server gave this answer")
}

func (w *world) compareBody(o outcome, sent answered) error {
	switch {
	case w.stream && o.status == http.StatusOK && o.method != http.MethodHead:
		return streamed(o.body, o.err == nil)
	case !strings.HasPrefix(sent.body, o.body):
		return fmt.Errorf("the body is not that of the server, %q", sent.body)
	case o.err != nil:
		return nil
	case !sent.proper:
		return errors.New("an answer that is none, or not whole, looks whole")
	case sent.body != o.body:
		return fmt.Errorf("a part of the body %q looks whole", sent.body)
	}
	return nil
}
