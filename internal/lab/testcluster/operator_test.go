package testcluster

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

// script answers calls in turn, and repeats the last answer. "-" is no answer.
type script struct {
	answers []string // a status, or 307 and an address
	calls   []string
}

// RoundTrip implements http.RoundTripper.
func (s *script) RoundTrip(r *http.Request) (*http.Response, error) {
	s.calls = append(s.calls, fmt.Sprintf("%s %s base %s", r.Method, r.URL.Host+r.URL.Path, r.Header.Get("X-Base-Version")))
	answer := s.answers[0]
	if len(s.answers) > 1 {
		s.answers = s.answers[1:]
	}
	if answer == "-" {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	resp := &http.Response{Body: io.NopCloser(strings.NewReader("{}")), Header: http.Header{}, Request: r}
	var location string
	_, _ = fmt.Sscanf(answer, "%d %s", &resp.StatusCode, &location) // most have no location
	if location != "" {
		resp.Header.Set("Location", location)
	}
	return resp, nil
}

// TestOperatorRetries plays PROTOCOL.md "The operator's API" in virtual time.
func TestOperatorRetries(t *testing.T) {
	for _, test := range []struct {
		name    string
		answers []string
		status  int
		calls   int
		refused bool
		gaveUp  bool
		least   time.Duration // that it takes
	}{
		{name: "at once", answers: []string{"200"}, status: 200, calls: 1},
		{name: "after a failure", answers: []string{"503", "500", "200"}, status: 200, calls: 3, least: 150 * time.Millisecond},
		{name: "after silence", answers: []string{"-", "200"}, status: 200, calls: 2, least: time.Second},
		{name: "after 408 and 429", answers: []string{"408", "429", "200"}, status: 200, calls: 3},
		{name: "another version", answers: []string{"412"}, status: 412, calls: 1, refused: true},
		{name: "invalid", answers: []string{"503", "400"}, status: 400, calls: 2, refused: true},
		{name: "another 4xx thrice", answers: []string{"404"}, status: 404, calls: 3, refused: true},
		{name: "two redirects", answers: []string{"307 http://k2/Config.Replace", "307 http://k3/Config.Replace", "200"}, status: 200, calls: 3},
		{name: "no clear answer", answers: []string{"503"}, calls: 14, gaveUp: true, least: 10 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				start := time.Now()
				state := &script{answers: test.answers}
				o := &Operator{ControlAddresses: []string{"k1", "k2", "k3"}, evidence: &rules.Evidence{}, now: func() time.Duration { return time.Since(start) },
					http: &http.Client{Transport: state, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				err := o.Replace(ctx, &rules.Config{Revision: 3}, 0)
				if errors.Is(err, ErrRefused) != test.refused || errors.Is(err, context.DeadlineExceeded) != test.gaveUp || err != nil != (test.refused || test.gaveUp) {
					t.Errorf("error: %v", err)
				}
				change := o.evidence.Changes[0]
				if change.Status != test.status || change.AcknowledgedAt != rules.Never != (test.status == 200) || time.Since(start) < test.least {
					t.Errorf("%+v after %v", change, time.Since(start))
				}
				if len(state.calls) != test.calls || state.calls[0] != "POST k1/Config.Replace base 0" {
					t.Errorf("calls %q", state.calls)
				}
			})
		})
	}
}

// TestOperatorLosesAnswers checks that a lost answer counts as none, and that the change is sent again unchanged.
func TestOperatorLosesAnswers(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s, lost := &script{answers: []string{"200"}}, 0
		o := &Operator{ControlAddresses: []string{"k1", "k2"}, evidence: &rules.Evidence{}, now: func() time.Duration { return 0 }, http: &http.Client{Transport: s},
			LoseAnswer: func() bool { lost++; return lost < 3 }}
		if err := o.Replace(t.Context(), &rules.Config{Revision: 3}, 2); err != nil {
			t.Fatal(err)
		}
		if want := []string{"POST k1/Config.Replace base 2", "POST k2/Config.Replace base 2", "POST k1/Config.Replace base 2"}; !slices.Equal(s.calls, want) {
			t.Errorf("calls %q", s.calls)
		}
	})
}

// TestOperatorReads checks that a reading is recorded, with the time when it was sent.
func TestOperatorReads(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		start := time.Now()
		o := &Operator{ControlAddresses: []string{"k1"}, evidence: &rules.Evidence{}, now: func() time.Duration { return time.Since(start) },
			http: &http.Client{Transport: &script{answers: []string{"503", "200"}}}}
		if _, err := o.Read(t.Context()); err != nil {
			t.Fatal(err)
		}
		if all := o.evidence.Reads; len(all) != 1 || all[0] != (rules.Reading{}) {
			t.Errorf("%+v", all)
		}
	})
}

// TestOperatorTriesNextNode checks that the operator calls another control-plane node after a failure.
func TestOperatorTriesNextNode(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := &script{answers: []string{"503", "503", "503", "200"}}
		o := &Operator{ControlAddresses: []string{"k1", "k2", "k3"}, evidence: &rules.Evidence{}, now: func() time.Duration { return 0 }, http: &http.Client{Transport: s}}
		if err := o.Evacuate(t.Context(), "north-a", true); err != nil {
			t.Fatal(err)
		}
		want := []string{"k1", "k2", "k3", "k1"}
		for i := range want {
			want[i] = "POST " + want[i] + "/Evacuation.Start/north-a base "
		}
		if !slices.Equal(s.calls, want) {
			t.Errorf("calls %q", s.calls)
		}
	})
}

// TestOperatorClone checks, by the race detector, that clones are made and make calls while the operator makes its own: no call moves the node
// of another operator.
func TestOperatorClone(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		start := time.Now()
		original := &Operator{ControlAddresses: []string{"k1", "k2", "k3"}, evidence: &rules.Evidence{}, now: func() time.Duration { return time.Since(start) },
			http: &http.Client{Transport: roundTrips(func(r *http.Request) (*http.Response, error) {
				return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody, Header: http.Header{}, Request: r}, nil
			})}}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		var calls sync.WaitGroup
		calls.Go(func() { _, _ = original.Read(ctx) })
		for range 20 {
			clone := original.Clone()
			if clone.next != 0 {
				t.Errorf("a clone begins at node %d", clone.next)
			}
			calls.Go(func() { _, _ = clone.Read(ctx) })
			time.Sleep(time.Second)
		}
		calls.Wait()
	})
}

// roundTrips is a function as http.RoundTripper.
type roundTrips func(*http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (f roundTrips) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }
