package testcluster

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
)

// testPlatform is a list with a clock that the test sets.
type testPlatform struct {
	*Platform
	at    time.Duration
	stand []Instance
}

func newTestPlatform() *testPlatform {
	p := &testPlatform{}
	p.Platform = &Platform{Lag: 800 * time.Millisecond, Rate: 3, Page: 2, now: func() time.Duration { return p.at },
		servers: func() []Instance { return p.stand }, evidence: &rules.Evidence{}}
	return p
}

func (p *testPlatform) get(t *testing.T, query string) (status int, ids []string, next string) {
	t.Helper()
	w := httptest.NewRecorder()
	p.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/instances"+query, nil))
	var page struct {
		Instances []Instance `json:"instances"`
		Next      *string    `json:"next_token"`
	}
	if w.Code == http.StatusOK {
		if err := json.Unmarshal(w.Body.Bytes(), &page); err != nil {
			t.Fatal(err)
		}
	}
	for _, i := range page.Instances {
		ids = append(ids, i.ID)
	}
	if page.Next != nil {
		next = *page.Next
	}
	return w.Code, ids, next
}

func TestListPages(t *testing.T) {
	platform := newTestPlatform()
	platform.Rate = 100
	for i := range 5 {
		platform.stand = append(platform.stand, Instance{ID: fmt.Sprint("i-", i), Zone: []string{"a", "b"}[i%2]})
	}
	platform.Observe()
	for _, c := range []struct{ query, ids, next string }{
		{"", "[i-0 i-1]", "p-2"},
		{"?page_token=p-2", "[i-2 i-3]", "p-4"},
		{"?page_token=p-4", "[i-4]", ""},
		{"?zone=a", "[i-0 i-2]", "p-2"},
		{"?zone=a&page_token=p-2", "[i-4]", ""},
		{"?zone=none", "[]", ""},
		{"?page_token=p-99", "[]", ""},
	} {
		if _, ids, next := platform.get(t, c.query); fmt.Sprint(ids) != c.ids || next != c.next {
			t.Errorf("%q gave %v and %q, want %s and %q", c.query, ids, next, c.ids, c.next)
		}
	}
}

// TestListReportsCurrentWarmUp checks that the list shows a warm-up with its lag, but computes the time that is left as of the answer.
func TestListReportsCurrentWarmUp(t *testing.T) {
	platform := newTestPlatform()
	platform.Rate = 100
	cold := func() int64 {
		w := httptest.NewRecorder()
		platform.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/instances", nil))
		var page struct{ Instances []Instance }
		if err := json.Unmarshal(w.Body.Bytes(), &page); err != nil || len(page.Instances) != 1 {
			t.Fatalf("%s: %v", w.Body.String(), err)
		}
		return page.Instances[0].WarmUpLeftMS
	}
	platform.stand = []Instance{{ID: "i"}}
	platform.Observe()
	platform.at = time.Second
	platform.stand = []Instance{{ID: "i", warmUntil: 4 * time.Second}}
	platform.Observe()
	for _, c := range []struct {
		at   time.Duration
		left int64
	}{{time.Second + platform.Lag - 1, 0}, {time.Second + platform.Lag, 2200}, {3500*time.Millisecond + 1, 499}, {5 * time.Second, 0}} {
		if platform.at = c.at; cold() != c.left {
			t.Errorf("at %v: %d ms, want %d", c.at, cold(), c.left)
		}
	}
}

func TestListLags(t *testing.T) {
	platform := newTestPlatform()
	platform.Rate = 100
	platform.stand = []Instance{{ID: "old"}}
	platform.Observe()
	platform.at = time.Second
	platform.stand = []Instance{{ID: "old", Phase: phaseDraining}}
	platform.Observe()
	platform.at += platform.Lag - 1
	platform.Observe()
	if len(platform.evidence.Listings) != 0 {
		t.Error("it counts as shown before the lag is over")
	}
	platform.at++
	platform.Observe()
	platform.Observe()
	if got := platform.evidence.Listings; len(got) != 1 || got[0] != (rules.Listing{Server: "old", Shown: platform.at}) {
		t.Errorf("shown as draining: %v", got)
	}
	platform.stand = nil
	platform.Observe()
	if _, ids, _ := platform.get(t, ""); len(ids) != 1 {
		t.Error("a server that has gone is not shown until the lag is over")
	}
	platform.at += platform.Lag
	if _, ids, _ := platform.get(t, ""); len(ids) != 0 {
		t.Errorf("%v is shown after the lag", ids)
	}
}

func TestListRate(t *testing.T) {
	p := newTestPlatform()
	p.Observe()
	for i, want := range []int{200, 200, 200, 429} {
		if status, _, _ := p.get(t, ""); status != want {
			t.Errorf("call %d in a second: %d, want %d", i+1, status, want)
		}
	}
	p.at += time.Second
	if status, _, _ := p.get(t, ""); status != 200 {
		t.Errorf("a second later: %d", status)
	}
	if total, over := p.Calls(); total != 5 || over != 1 {
		t.Errorf("%d calls, %d over the rate", total, over)
	}
}
