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

// sendEntry orders the list to apply a server's new state.
func (s *orderSender) sendEntry(uid, state string) {
	s.t.Helper()
	s.send(ctl.Order{Do: "list", Entry: &ctl.Entry{UID: uid, Ports: []int{80, 81}, Zone: "a", Kind: "m", State: state}})
}

// listWatch is a sidecar's watch of the list.
type listWatch struct {
	t     *testing.T
	lines *bufio.Scanner
}

// openWatch opens a watch as the sidecar near, with more parameters of the query.
func openWatch(t *testing.T, port, near int, parameters string) listWatch {
	t.Helper()
	client := &http.Transport{DisableKeepAlives: true}
	t.Cleanup(client.CloseIdleConnections)
	address := net.JoinHostPort(link.Near(near).String(), fmt.Sprint(port))
	resp, err := client.RoundTrip(newRequest(t, fmt.Sprintf("http://%s/v1/servers?watch=1%s", address, parameters)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = resp.Body.Close() }) // the watch goes on until the test ends
	return listWatch{t, bufio.NewScanner(resp.Body)}
}

// next is the next object, as "rev all uid=state@endpoint ...", "unreadable", or "ended".
func (w listWatch) next() string {
	w.t.Helper()
	for w.lines.Scan() {
		if len(w.lines.Bytes()) == 0 {
			continue
		}
		var update struct {
			Rev     int
			All     bool
			Targets []struct{ UID, State, Endpoint string }
		}
		if err := json.Unmarshal(w.lines.Bytes(), &update); err != nil {
			return "unreadable"
		}
		text := fmt.Sprint(update.Rev, " ", update.All)
		for _, target := range update.Targets {
			text += fmt.Sprintf(" %s=%s@%s", target.UID, target.State, target.Endpoint)
		}
		return text
	}
	return "ended"
}

// expect fails the test where the next object is not want.
func (w listWatch) expect(name, want string) {
	w.t.Helper()
	if got := w.next(); got != want {
		w.t.Errorf("%s is %q, want %q", name, got, want)
	}
}

// expectPrefix fails the test where the next object does not begin with want.
func (w listWatch) expectPrefix(name, want string) {
	w.t.Helper()
	if got := w.next(); !strings.HasPrefix(got, want) {
		w.t.Errorf("%s is %q, want it to begin with %q", name, got, want)
	}
}

// awaitNotified waits until the records say that a sidecar was notified of a state.
func awaitNotified(t *testing.T, records string, near int, state string) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		notified, err := ctl.ReadRecords[ctl.ListUpdate](records)
		if err == nil && slices.ContainsFunc(notified, func(r ctl.ListUpdate) bool { return r.Near == near && r.State == state }) {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("no record has sidecar %d notified of %s: %v, %v", near, state, notified, err)
		}
	}
}

// notifiedStates are the states of a server that a sidecar was notified of, in order.
func notifiedStates(t *testing.T, records string, near int, uid string) []string {
	t.Helper()
	notified, err := ctl.ReadRecords[ctl.ListUpdate](records)
	if err != nil {
		t.Fatal(err)
	}
	var states []string
	for _, record := range notified {
		if record.Near == near && record.UID == uid {
			states = append(states, record.State)
		}
	}
	return states
}

// TestList has the list speak discovery's form: snapshots, changes after a revision, each sidecar by its own address, and
// everything that a fault makes of it.
func TestList(t *testing.T) {
	records := filepath.Join(t.TempDir(), "notified")
	platform, ready := startStandIn(t, func(in io.Reader, out io.Writer) error { return List(in, out, Groups{0, 1}, 0, records) })
	port := ready.Ports[0]
	platform.sendEntry("s1", "SERVING")
	platform.sendEntry("s2", "SERVING")
	fromStart := openWatch(t, port, 0, "")
	fromStart.expect("the snapshot", "2 true s1=SERVING@127.1.0.1:80 s2=SERVING@127.1.0.1:80")
	fromRevision := openWatch(t, port, 1, "&from=1")
	fromRevision.expect("what follows revision 1", "2 false s2=SERVING@127.1.0.2:81")
	platform.sendEntry("s1", "DRAINING")
	fromStart.expectPrefix("the change of the watch from the start", "3 false s1=DRAINING@")
	fromRevision.expectPrefix("the change of the watch from revision 1", "3 false s1=DRAINING@")
	platform.sendEntry("s1", "DELETED")
	fromStart.next()
	// Notifications are recorded after they were written, and other watches of the same sidecar record beside this one.
	awaitNotified(t, records, 0, "DELETED")
	openWatch(t, port, 0, "&from=99").expect("what follows a future revision", "4 true s2=SERVING@127.1.0.1:80")
	platform.send(ctl.Order{Do: "list-mode", Mode: string(listStale)})
	fromStart.expectPrefix("the stale list", "1 true s1=SERVING@")
	for _, mode := range []listMode{listGarbled, listTruncated} {
		t.Run(string(mode), func(t *testing.T) {
			platform.send(ctl.Order{Do: "list-mode", Mode: string(mode)})
			openWatch(t, port, 0, "&from=1").expect("an update", "unreadable")
		})
	}
	platform.send(ctl.Order{Do: "list-mode"})
	for near, want := range [][]string{{"SERVING", "DRAINING", "DELETED"}, {"DRAINING"}} {
		states := notifiedStates(t, records, near, "s1")
		if len(states) < len(want) || !slices.Equal(states[:len(want)], want) {
			t.Errorf("sidecar %d was notified of %v of s1, want %v first", near, states, want)
		}
	}
}
