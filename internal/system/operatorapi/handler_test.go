package operatorapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

type fakeChain struct {
	mu           sync.Mutex
	verdict      controlstate.Verdict
	state        *controlstate.State
	err          error
	unresponsive bool
	submitted    []controlstate.Change
}

func (f *fakeChain) Submit(ctx context.Context, c controlstate.Change) (controlstate.Verdict, error) {
	f.mu.Lock()
	f.submitted = append(f.submitted, c)
	unresponsive := f.unresponsive
	f.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return controlstate.Verdict{}, ctx.Err()
	}
	return f.verdict, f.err
}

func (f *fakeChain) Read(ctx context.Context) (*controlstate.State, error) {
	if f.unresponsive {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return f.state, f.err
}

func discardLog() log.Interface { return &log.Logger{Handler: discard.New(), Level: log.InfoLevel} }

func serve(t *testing.T, h http.Handler, method, target, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(t.Context(), method, target, strings.NewReader(body))
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Add(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// answersBody is the request body that TestAnswers sends, and answersBase the header with its base version.
const answersBody = `{"revision":7,"routes":[],"services":[]}`

var answersBase = []string{"X-Base-Version", "5"}

// answerTest is a request, the chain's outcome for it, and the expected response.
type answerTest struct {
	method, target string
	headers        []string
	verdict        controlstate.Verdict
	err            error
	status         int
	answer         string // empty: a JSON object with an error
	change         *controlstate.Change
}

var answerTests = map[string]answerTest{
	"replaced": {"POST", "/Config.Replace", answersBase, controlstate.Verdict{Kind: controlstate.Accepted, Seq: 4}, nil, 200, `{"revision":7}`,
		&controlstate.Change{Op: controlstate.OpReplace, Base: 5, Body: []byte(answersBody)}},
	"sent again": {"POST", "/Config.Replace", answersBase, controlstate.Verdict{Kind: controlstate.AlreadyApplied, Seq: 4}, nil, 200, `{"revision":7}`, nil},
	"amended": {"POST", "/Config.Amend", answersBase, controlstate.Verdict{Kind: controlstate.Accepted, Seq: 4}, nil, 200, `{"revision":7}`,
		&controlstate.Change{Op: controlstate.OpAmend, Base: 5, Body: []byte(answersBody)}},
	"stale": {"POST", "/Config.Amend", answersBase, controlstate.Verdict{Kind: controlstate.Stale, Reason: "another"}, nil, 412,
		`{"error":"another","revision":5}`, nil},
	"stale by a record that is not known here yet": {"POST", "/Config.Amend", answersBase, controlstate.Verdict{Kind: controlstate.Stale, Reason: "another", Seq: 4},
		nil, 412, `{"error":"another"}`, nil},
	"invalid": {"POST", "/Config.Replace", answersBase, controlstate.Verdict{Kind: controlstate.Invalid, Reason: "no route"}, nil, 400,
		`{"error":"no route"}`, nil},
	"invalid without a reason": {"POST", "/Config.Replace", answersBase, controlstate.Verdict{Kind: controlstate.Invalid}, nil, 400, "", nil},
	"uncertain":                {"POST", "/Config.Replace", answersBase, controlstate.Verdict{Kind: controlstate.Uncertain}, nil, 503, "", nil},
	"uncertain with a reason": {"POST", "/Config.Amend", answersBase, controlstate.Verdict{Kind: controlstate.Uncertain, Reason: "long ago"}, nil, 503,
		`{"error":"long ago"}`, nil},
	"superseded":        {"POST", "/Evacuation.Start/fukuoka-a?fence=2", nil, controlstate.Verdict{Kind: controlstate.Superseded}, nil, 503, "", nil},
	"chain away":        {"POST", "/Config.Replace", answersBase, controlstate.Verdict{}, errors.New("away"), 503, "", nil},
	"unknown verdict":   {"POST", "/Config.Replace", answersBase, controlstate.Verdict{Kind: 99}, nil, 503, "", nil},
	"no base":           {"POST", "/Config.Replace", nil, controlstate.Verdict{}, nil, 400, "", nil},
	"base is no number": {"POST", "/Config.Replace", []string{"X-Base-Version", "v5"}, controlstate.Verdict{}, nil, 400, "", nil},
	"base below 0":      {"POST", "/Config.Replace", []string{"X-Base-Version", "-5"}, controlstate.Verdict{}, nil, 400, "", nil},
	"two bases":         {"POST", "/Config.Replace", []string{"X-Base-Version", "5", "X-Base-Version", "6"}, controlstate.Verdict{}, nil, 400, "", nil},
	"evacuated": {"POST", "/Evacuation.Start/fukuoka-a?fence=2", nil, controlstate.Verdict{Kind: controlstate.Accepted, Seq: 4}, nil, 200, `{}`,
		&controlstate.Change{Op: controlstate.OpEvacuate, Base: 2, Zone: "fukuoka-a"}},
	"evacuated before": {"POST", "/Evacuation.Start/fukuoka-a?fence=2", nil, controlstate.Verdict{Kind: controlstate.AlreadyApplied, Seq: 4}, nil, 200, `{}`, nil},
	"readmitted": {"POST", "/Evacuation.Finish/fukuoka-a?fence=3", nil, controlstate.Verdict{Kind: controlstate.Accepted, Seq: 4}, nil, 200, `{}`,
		&controlstate.Change{Op: controlstate.OpReadmit, Base: 3, Zone: "fukuoka-a"}},
	"redirected":                {"POST", "/Evacuation.Start/fukuoka-a", nil, controlstate.Verdict{}, nil, 307, `{"fence":3}`, nil},
	"redirected, chain away":    {"POST", "/Evacuation.Finish/fukuoka-a", nil, controlstate.Verdict{}, errors.New("away"), 503, "", nil},
	"fence is no number":        {"POST", "/Evacuation.Start/fukuoka-a?fence=x", nil, controlstate.Verdict{}, nil, 400, "", nil},
	"fence below 0":             {"POST", "/Evacuation.Start/fukuoka-a?fence=-1", nil, controlstate.Verdict{}, nil, 400, "", nil},
	"fence too large":           {"POST", "/Evacuation.Start/fukuoka-a?fence=9223372036854775808", nil, controlstate.Verdict{}, nil, 400, "", nil},
	"two fences":                {"POST", "/Evacuation.Start/fukuoka-a?fence=3&fence=4", nil, controlstate.Verdict{}, nil, 400, "", nil},
	"query cannot be read":      {"POST", "/Evacuation.Start/fukuoka-a?fence=%zz", nil, controlstate.Verdict{}, nil, 400, "", nil},
	"fence without a zone":      {"POST", "/Evacuation.Start/?fence=3", nil, controlstate.Verdict{}, nil, 404, "", nil},
	"zone is not UTF-8":         {"POST", "/Evacuation.Start/ia%BAi-hall-a", nil, controlstate.Verdict{}, nil, 400, "", nil},
	"zone is not UTF-8, fenced": {"POST", "/Evacuation.Finish/ia%BAi-hall-a?fence=3", nil, controlstate.Verdict{}, nil, 400, "", nil},
	"zone has letters of UTF-8": {"POST", "/Evacuation.Start/ia%C8%99i-hall-a?fence=2", nil, controlstate.Verdict{Kind: controlstate.Accepted, Seq: 4}, nil, 200, `{}`,
		&controlstate.Change{Op: controlstate.OpEvacuate, Base: 2, Zone: "iași-hall-a"}},
	"no zone":            {"POST", "/Evacuation.Start/", nil, controlstate.Verdict{}, nil, 404, "", nil},
	"long zone":          {"POST", "/Evacuation.Start/" + strings.Repeat("z", 200), nil, controlstate.Verdict{}, nil, 400, "", nil},
	"evacuate by GET":    {"GET", "/Evacuation.Start/fukuoka-a", nil, controlstate.Verdict{}, nil, 405, "", nil},
	"replace by PUT":     {"PUT", "/Config.Replace", answersBase, controlstate.Verdict{}, nil, 405, "", nil},
	"unknown path":       {"POST", "/Config.Drop", answersBase, controlstate.Verdict{}, nil, 404, "", nil},
	"path not cleaned":   {"POST", "//Config.Replace", answersBase, controlstate.Verdict{}, nil, 404, "", nil},
	"read":               {"GET", "/Config.Read", nil, controlstate.Verdict{}, nil, 200, `{"revision":5}`, nil},
	"read, chain away":   {"GET", "/Config.Read", nil, controlstate.Verdict{}, errors.New("away"), 503, "", nil},
	"status":             {"GET", "/status", nil, controlstate.Verdict{}, nil, 200, `{"epoch":3}`, nil},
	"status with a POST": {"POST", "/status", nil, controlstate.Verdict{}, nil, 405, "", nil},
}

func TestAnswers(t *testing.T) {
	state := &controlstate.State{Seq: 3, Config: &config.Config{Revision: 5, Raw: []byte(`{"revision":5}`)}}
	for name, test := range answerTests {
		t.Run(name, func(t *testing.T) {
			chain := &fakeChain{verdict: test.verdict, err: test.err, state: state}
			var delivered []uint64
			handler := Handler(Options{Chain: chain, Log: discardLog(),
				CommittedState: func() *controlstate.State { return state },
				Status:         func() any { return map[string]int{"epoch": 3} },
				WaitDelivered:  func(_ context.Context, seq uint64) { delivered = append(delivered, seq) }})
			w := serve(t, handler, test.method, test.target, answersBody, test.headers...)
			if w.Code != test.status {
				t.Fatalf("status %d, want %d: %s", w.Code, test.status, w.Body)
			}
			if got := w.Header().Get("Content-Type"); got != "application/json" {
				t.Errorf("Content-Type = %q", got)
			}
			if test.answer == "" {
				checkError(t, w.Body.Bytes())
			} else if w.Body.String() != test.answer {
				t.Errorf("response %s, want %s", w.Body, test.answer)
			}
			if test.change != nil {
				checkChange(t, chain.submitted[0], *test.change)
			}
			acknowledged := test.status == http.StatusOK && test.method == http.MethodPost
			if want := []uint64{4}; acknowledged != slices.Equal(delivered, want) || !acknowledged && len(delivered) > 0 {
				t.Errorf("waited for the delivery of records %v", delivered)
			}
		})
	}
}

// checkError checks that a body is a JSON object with a reason.
func checkError(t *testing.T, body []byte) {
	t.Helper()
	var response struct{ Error string }
	if err := json.Unmarshal(body, &response); err != nil || response.Error == "" {
		t.Errorf("response %s, want a JSON object with an error: %v", body, err)
	}
}

func checkChange(t *testing.T, got, want controlstate.Change) {
	t.Helper()
	if got.Op != want.Op || got.Base != want.Base || got.Zone != want.Zone || !bytes.Equal(got.Body, want.Body) {
		t.Errorf("change %+v, want %+v", got, want)
	}
}

func TestReadBeforeAnyConfiguration(t *testing.T) {
	handler := Handler(Options{Chain: &fakeChain{state: controlstate.Empty()}, Log: discardLog()})
	if w := serve(t, handler, "GET", "/Config.Read", ""); w.Code != 503 {
		t.Errorf("status %d: %s", w.Code, w.Body)
	}
}

func TestBodyTooLarge(t *testing.T) {
	handler := Handler(Options{Chain: &fakeChain{verdict: controlstate.Verdict{Kind: controlstate.Accepted}}, Log: discardLog()})
	for name, length := range map[string]int64{"with a length": maxBodyBytes + 1, "in chunks": -1} {
		t.Run(name, func(t *testing.T) {
			r := httptest.NewRequestWithContext(t.Context(), "POST", "/Config.Replace", io.LimitReader(zeros{}, maxBodyBytes+1))
			r.ContentLength = length
			r.Header.Set("X-Base-Version", "0")
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, r)
			if w.Code != http.StatusRequestEntityTooLarge {
				t.Errorf("status %d", w.Code)
			}
		})
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

func TestBodyTruncated(t *testing.T) {
	chain := &fakeChain{verdict: controlstate.Verdict{Kind: controlstate.Accepted}}
	r := httptest.NewRequestWithContext(t.Context(), "POST", "/Config.Replace", strings.NewReader("{"))
	r.ContentLength = 10
	r.Header.Set("X-Base-Version", "0")
	w := httptest.NewRecorder()
	Handler(Options{Chain: chain, Log: discardLog()}).ServeHTTP(w, r)
	// Not a 4xx: an operator gives a change up at the third 4xx.
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Connection") != "close" || len(chain.submitted) != 0 {
		t.Errorf("status %d, %d changes", w.Code, len(chain.submitted))
	}
}

func TestBodiesTogetherAreBounded(t *testing.T) {
	b := byteBudget{available: 100}
	if !b.tryReserve(60) || b.tryReserve(50) || !b.tryReserve(40) {
		t.Error("the budget granted or rejected the wrong reservations")
	}
	b.release(60)
	if !b.tryReserve(50) {
		t.Error("released bytes cannot be reserved again")
	}
}

func TestUnresponsiveChain(t *testing.T) {
	tests := map[string]struct {
		body string
		want time.Duration
	}{
		"small": {"{}", 700 * time.Millisecond},
		"large": {strings.Repeat(" ", largeBodyBytes+1), 2500 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				handler := Handler(Options{Chain: &fakeChain{unresponsive: true}, Log: discardLog()})
				start := time.Now()
				w := serve(t, handler, "POST", "/Config.Replace", test.body, "X-Base-Version", "0")
				if took := time.Since(start); w.Code != 503 || took != test.want {
					t.Errorf("status %d after %v, want 503 after %v", w.Code, took, test.want)
				}
				start = time.Now()
				w = serve(t, handler, "GET", "/Config.Read", "")
				if took := time.Since(start); w.Code != 503 || took != 700*time.Millisecond {
					t.Errorf("read: status %d after %v", w.Code, took)
				}
			})
		})
	}
}

// TestResponseNamesWhatIsWaitedFor checks that the response to a change that is not durable in time names what the change waits for, if
// that is known.
func TestResponseNamesWhatIsWaitedFor(t *testing.T) {
	for _, cause := range []string{"", "the first view, which is not formed yet (1 of 3 seeds in contact)"} {
		bubble.Test(t, func(t *testing.T) {
			handler := Handler(Options{Chain: &fakeChain{unresponsive: true}, WaitsFor: func() string { return cause }, Log: discardLog()})
			w := serve(t, handler, "POST", "/Config.Replace", "{}", "X-Base-Version", "0")
			want := reasonNotDurable
			if cause != "" {
				want += " (it waits for " + cause + ")"
			}
			if body := w.Body.String(); w.Code != 503 || !strings.Contains(body, `"`+want+`"`) {
				t.Errorf("status %d, %s, want %q", w.Code, body, want)
			}
		})
	}
}

// TestPartitionedNodeDoesNotForward checks that a node that is partitioned from the chain answers changes immediately and does not
// submit them. Requests that are invalid by their bytes alone are rejected as usual, and reads are still forwarded to the chain.
func TestPartitionedNodeDoesNotForward(t *testing.T) {
	const wantTimeout = 700 * time.Millisecond
	base := []string{"X-Base-Version", "5"}
	for name, test := range map[string]struct {
		method, target string
		headers        []string
		status         int
		took           time.Duration
	}{
		"evacuate": {"POST", "/Evacuation.Start/z", nil, 503, 0}, "readmit": {"POST", "/Evacuation.Finish/z", nil, 503, 0},
		"replace": {"POST", "/Config.Replace", base, 503, 0}, "amend": {"POST", "/Config.Amend", base, 503, 0},
		"no base": {"POST", "/Config.Amend", nil, 400, 0}, "long zone": {"POST", "/Evacuation.Start/" + strings.Repeat("z", 200), nil, 400, 0},
		"read": {"GET", "/Config.Read", nil, 503, wantTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				chain, partitioned := &fakeChain{unresponsive: true}, true
				handler := Handler(Options{Chain: chain, Log: discardLog(), Partitioned: func() bool { return partitioned }})
				start := time.Now()
				w := serve(t, handler, test.method, test.target, "{}", test.headers...)
				if took := time.Since(start); w.Code != test.status || took != test.took || len(chain.submitted) > 0 {
					t.Errorf("status %d after %v, want %d after %v; submitted %+v", w.Code, took, test.status, test.took, chain.submitted)
				}
				checkError(t, w.Body.Bytes())
				partitioned = false
				start = time.Now()
				w = serve(t, handler, test.method, test.target, "{}", test.headers...)
				if took := time.Since(start); test.status == 503 && (w.Code != 503 || took != wantTimeout) {
					t.Errorf("not partitioned: status %d after %v", w.Code, took)
				}
			})
		})
	}
}

func TestDeliveryIsBounded(t *testing.T) {
	for ack, want := range map[time.Duration]time.Duration{0: 300 * time.Millisecond, time.Second: 125 * time.Millisecond} {
		t.Run(ack.String(), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				handler := Handler(Options{Chain: &fakeChain{verdict: controlstate.Verdict{Kind: controlstate.Accepted, Seq: 9}}, AckTimeout: ack, Log: discardLog(),
					WaitDelivered: func(ctx context.Context, _ uint64) { <-ctx.Done() }})
				start := time.Now()
				w := serve(t, handler, "POST", "/Evacuation.Start/a?fence=3", "")
				if took := time.Since(start); w.Code != 200 || took != want {
					t.Errorf("status %d after %v, want 200 after %v", w.Code, took, want)
				}
			})
		})
	}
}

// TestOverLoopback checks, over a real connection, a change with a chunked body, and that the response to HEAD has no body.
func TestOverLoopback(t *testing.T) {
	state := &controlstate.State{Config: &config.Config{Revision: 5, Raw: []byte(`{"revision":5}`)}}
	server := httptest.NewServer(Handler(Options{Chain: &fakeChain{verdict: controlstate.Verdict{Kind: controlstate.Accepted}, state: state}, Log: discardLog()}))
	defer server.Close()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/Config.Replace", strings.NewReader(`{"revision":9}`))
	if err != nil {
		t.Fatal(err)
	}
	request.ContentLength = -1 // in chunks
	request.Header.Set("X-Base-Version", "5")
	resp, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if body, _ := io.ReadAll(resp.Body); resp.StatusCode != http.StatusOK || string(body) != `{"revision":9}` {
		t.Errorf("status %d: %s", resp.StatusCode, body)
	}
	request, err = http.NewRequestWithContext(t.Context(), http.MethodHead, server.URL+"/Config.Read", nil)
	if err != nil {
		t.Fatal(err)
	}
	head, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = head.Body.Close() }()
	if head.StatusCode != http.StatusOK || head.ContentLength != int64(len(state.Config.Raw)) {
		t.Errorf("HEAD: status %d, length %d", head.StatusCode, head.ContentLength)
	}
}
