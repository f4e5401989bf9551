package sidecar

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gradeusher.example/gradeusher/balance/signals"
	"gradeusher.example/gradeusher/internal/sidecar/members"
)

// memberConfig returns the configuration of a sidecar that joins a member.
func memberConfig(t *testing.T, name, list, join string) *Config {
	t.Helper()
	text := strings.Replace(configText(startRegistry(t).address, list, testSettings), `"settings":`,
		fmt.Sprintf(`"members":{"listen":"127.0.0.1:0","join":[%s]},"settings":`, strconv.Quote(join)), 1)
	config, err := load(t, text, "PROXY_NAME="+name, "PROXY_CONTROL="+freeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	return config
}

// encodeFalseReport returns a false report that condemns s-1.
func encodeFalseReport(t *testing.T) []byte {
	t.Helper()
	falseReport, err := signals.Encode(signals.Report{Zone: "b", Uses: []signals.ZoneUse{{Zone: "a", Servers: 6}},
		Verdicts: []signals.Verdict{{Process: signals.Process{Server: "s-1"}, Zone: "a", Kind: signals.Unresponsive, Count: 99}}})
	if err != nil {
		t.Fatal(err)
	}
	return falseReport
}

// startSix starts six servers, the first of which does not answer while down is set.
func startSix(t *testing.T, down *atomic.Bool) (backends []*backend) {
	t.Helper()
	answer := respondWith(200, "", "ok")
	for i := range 6 {
		backends = append(backends, startBackend(t, func(conn net.Conn, r *http.Request, body []byte) bool {
			if i == 0 && down.Load() {
				return neverAnswer(conn, r, body)
			}
			return answer(conn, r, body)
		}))
	}
	return backends
}

// askEach sends requests one after the other, and requires all of them to be served.
func askEach(t *testing.T, count int, ask func(i int) (status int)) {
	t.Helper()
	for i := range count {
		if status := ask(i); status != http.StatusOK {
			t.Fatalf("request %d has the answer %d", i, status)
		}
	}
}

// partitionedEntries returns the list of a sidecar that is partitioned from all but the last of six servers.
func partitionedEntries(t *testing.T, backends []*backend) (entries []string) {
	t.Helper()
	for i := range backends {
		address := freeAddress(t)
		if i == 5 {
			address = backends[i].address
		}
		entries = append(entries, entry(fmt.Sprintf("s-%d", i), address, "SERVING", 0))
	}
	return entries
}

// checkReport checks that a partitioned sidecar does not condemn all servers, and that a sidecar that
// only received reports of a fault does not report the fault itself.
func checkReport(t *testing.T, received members.Update) {
	t.Helper()
	report, err := signals.Decode(received.Payload)
	condemns := slices.ContainsFunc(report.Verdicts, func(v signals.Verdict) bool { return v.Kind != signals.Serving })
	switch {
	case received.Kind != kindSignals || err != nil:
		t.Errorf("%+v: %v", received, err)
	case received.Origin == "cut" && len(report.Verdicts) > 2:
		t.Errorf("one that is partitioned from five of six condemns %d", len(report.Verdicts))
	case received.Origin == "d" && condemns:
		t.Errorf("one that only received reports states: %+v", report)
	}
}

// TestMemberReportsSpareRequests has three of four sidecars learn by failures that a server no longer answers. The
// fourth, which has sent nothing to that server, avoids it because of their reports, without spending a request. A
// sidecar that is partitioned from most servers, and a member that sends false reports, cannot get a server avoided.
func TestMemberReportsSpareRequests(t *testing.T) {
	var down atomic.Bool
	backends := startSix(t, &down)
	updates := make(chan members.Update, 4096)
	watcher := startMember(t, members.Options{Name: "watcher", Listen: "127.0.0.1:0", OnUpdate: func(n members.Update) {
		select {
		case updates <- n:
		default: // more than the test checks
		}
	}})
	times := drainTimes{quietTime: time.Millisecond, finish: testTimeout}
	var (
		controls []string
		sidecars []*program
	)
	begin := func(name, list string) {
		c := memberConfig(t, name, list, watcher.Address())
		controls = append(controls, c.Control)
		sidecars = append(sidecars, startLogging(t, c, io.Discard, times))
	}
	for _, name := range []string{"a", "b", "c", "d"} {
		begin(name, serving(1, backends...))
	}
	begin("cut", listText(1, true, partitionedEntries(t, backends)...))
	figure := func(i int, name string) (n int) {
		_, after, _ := strings.Cut(dialControl(t, controls[i], "INFO\n"), "svc."+name+":")
		_, _ = fmt.Sscanf(after, "%d|", &n)
		return n
	}
	for i := range controls {
		eventually(t, "six members known", func() bool { return figure(i, "members") == 6 })
	}
	ask := func(i int) int {
		return sidecars[i].do(sidecars[i].request(context.Background(), "read", "400")).status
	}
	askEach(t, 12, func(i int) int { return ask(i % 4) })
	// The watcher condemns s-1 again and again, and the partitioned sidecar fails at all servers but s-5.
	falseReport := encodeFalseReport(t)
	down.Store(true)
	eventually(t, "avoided by its witnesses and by reports", func() bool {
		if err := watcher.Publish(kindSignals, falseReport); err != nil {
			t.Fatal(err)
		}
		for _, i := range []int{0, 1, 2, 4} {
			ask(i)
		}
		return figure(3, "out_of_rotation") == 1
	})
	before := backends[0].count()
	askEach(t, 60, func(int) int { return ask(3) })
	if got := backends[0].count() - before; got > 1 { // one regular probe is allowed
		t.Errorf("%d requests went to a server that the members had reported", got)
	}
	if got := figure(3, "out_of_rotation"); got > 1 {
		t.Errorf("%d servers are avoided: a report by a single member, or by a partitioned one, has taken effect", got)
	}
	for len(updates) > 0 {
		checkReport(t, <-updates)
	}
	down.Store(false)
	eventually(t, "used again", func() bool {
		ask(3)
		return figure(3, "out_of_rotation") == 0 && backends[0].count() > before
	})
}
