package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/link"
)

func (o *orders) learn(uid, state string) {
	o.give(ctl.Order{Do: "list", Entry: &ctl.Entry{UID: uid, Ports: []int{80, 81}, Zone: "a", Kind: "m", State: state}})
}

// watch opens a watch of the list as the sidecar near, and returns its lines.
func watch(t *testing.T, port, near int, from string) *bufio.Scanner {
	t.Helper()
	client := &http.Transport{DisableKeepAlives: true}
	t.Cleanup(client.CloseIdleConnections)
	req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/v1/servers?watch=1%s", net.JoinHostPort(link.Near(near).String(), fmt.Sprint(port)), from), nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := client.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { resp.Body.Close() })
	return bufio.NewScanner(resp.Body)
}

// next is the next object of a watch, as "rev all uid=state@endpoint ...".
func next(t *testing.T, lines *bufio.Scanner) string {
	t.Helper()
	for lines.Scan() {
		if len(lines.Bytes()) == 0 {
			continue
		}
		var l struct {
			Rev     int
			All     bool
			Targets []struct{ UID, State, Endpoint string }
		}
		if err := json.Unmarshal(lines.Bytes(), &l); err != nil {
			return "unreadable"
		}
		text := fmt.Sprint(l.Rev, " ", l.All)
		for _, e := range l.Targets {
			text += fmt.Sprintf(" %s=%s@%s", e.UID, e.State, e.Endpoint)
		}
		return text
	}
	return "ended"
}

// TestList has the list speak discovery's form: whole lists, changes after a revision, each sidecar by its own address, and
// everything that a fault makes of it.
func TestList(t *testing.T) {
	records := filepath.Join(t.TempDir(), "told")
	o, ready := startStandIn(t, func(in io.Reader, out io.Writer) error { return List(in, out, Groups{0, 1}, 0, records) })
	port := ready.Ports[0]
	o.learn("s1", "SERVING")
	o.learn("s2", "SERVING")
	all := watch(t, port, 0, "")
	if got := next(t, all); got != "2 true s1=SERVING@127.1.0.1:80 s2=SERVING@127.1.0.1:80" {
		t.Errorf("the whole list is %q", got)
	}
	after := watch(t, port, 1, "&from=1")
	if got := next(t, after); got != "2 false s2=SERVING@127.1.0.2:81" {
		t.Errorf("after revision 1 comes %q", got)
	}
	o.learn("s1", "DRAINING")
	for i, w := range []*bufio.Scanner{all, after} {
		if got := next(t, w); !strings.HasPrefix(got, "3 false s1=DRAINING@") {
			t.Errorf("watch %d: the change is %q", i, got)
		}
	}
	o.learn("s1", "DELETED")
	next(t, all)
	// What is told is noted when it was written, and other watches of the same sidecar note beside this one.
	for until := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		told, err := ctl.ReadRecords[ctl.Told](records)
		if err == nil && slices.ContainsFunc(told, func(r ctl.Told) bool { return r.Near == 0 && r.State == "DELETED" }) {
			break
		}
		if time.Now().After(until) {
			t.Fatalf("no end of s1 is noted: %v, %v", told, err)
		}
	}
	if got := next(t, watch(t, port, 0, "&from=99")); got != "4 true s2=SERVING@127.1.0.1:80" {
		t.Errorf("after a revision that is not yet comes %q", got)
	}
	o.give(ctl.Order{Do: "list-mode", Mode: "old"})
	if got := next(t, all); !strings.HasPrefix(got, "1 true s1=SERVING@") {
		t.Errorf("the old list is %q", got)
	}
	for mode, want := range map[string]string{"garbled": "unreadable", "cut": "unreadable"} {
		o.give(ctl.Order{Do: "list-mode", Mode: mode})
		if got := next(t, watch(t, port, 0, "&from=1")); got != want {
			t.Errorf("%s: %q, want %s", mode, got, want)
		}
	}
	o.give(ctl.Order{Do: "list-mode"})
	told, err := ctl.ReadRecords[ctl.Told](records)
	if err != nil {
		t.Fatal(err)
	}
	for near, want := range [][]string{{"SERVING", "DRAINING", "DELETED"}, {"DRAINING"}} {
		var states []string
		for _, r := range told {
			if r.Near == near && r.UID == "s1" {
				states = append(states, r.State)
			}
		}
		if len(states) < len(want) || !slices.Equal(states[:len(want)], want) {
			t.Errorf("sidecar %d was told %v of s1, want %v first", near, states, want)
		}
	}
}
