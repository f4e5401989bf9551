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

// TestMemberReportsSpareRequests: three sidecars of four learn by failures that a server has fallen silent. The fourth, which
// has sent nothing to it, avoids it by their word, and spends no request. A sidecar that is cut off from most servers, and one
// that lies, condemn nobody.
func TestMemberReportsSpareRequests(t *testing.T) {
	var down atomic.Bool
	answer := say(200, "", "ok")
	var backends []*backend
	for i := range 6 {
		backends = append(backends, startBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
			if i == 0 && down.Load() {
				return neverAnswer(c, r, body)
			}
			return answer(c, r, body)
		}))
	}
	heard := make(chan members.News, 4096)
	watcher, err := members.New(members.Options{Name: "watcher", Listen: "127.0.0.1:0", Told: func(n members.News) {
		select {
		case heard <- n:
		default: // nobody looks
		}
	}})
	if err == nil {
		err = watcher.Start(t.Context())
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(watcher.Close)
	times := drainTimes{quietTime: time.Millisecond, finish: patience}
	var controls []string
	var sidecars []*program
	begin := func(name, list string) {
		text := strings.Replace(configText(startRegistry(t).address, list, testSettings), `"settings":`,
			fmt.Sprintf(`"members":{"listen":"127.0.0.1:0","join":[%s]},"settings":`, strconv.Quote(watcher.Address())), 1)
		c, err := load(t, text, "PROXY_NAME="+name, "PROXY_CONTROL="+freeAddress(t))
		if err != nil {
			t.Fatal(err)
		}
		controls = append(controls, c.Control)
		sidecars = append(sidecars, startLogging(t, c, io.Discard, times))
	}
	for _, name := range []string{"a", "b", "c", "d"} {
		begin(name, serving(1, backends...))
	}
	// One whose way to five of six is cut.
	var cut []string
	for i := range backends {
		at := freeAddress(t)
		if i == 5 {
			at = backends[i].address
		}
		cut = append(cut, entry(fmt.Sprintf("s-%d", i), at, "SERVING", 0))
	}
	begin("cut", listText(1, true, cut...))
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
	for i := range 12 {
		if ask(i%4) != 200 {
			t.Fatal("not served while all is well")
		}
	}

	// The liar condemns s-1 again and again, and the one that is cut off fails at all but s-5.
	lie, err := signals.Encode(signals.Report{Zone: "b", Uses: []signals.ZoneUse{{Zone: "a", Servers: 6}},
		Verdicts: []signals.Verdict{{Process: signals.Process{Server: "s-1"}, Zone: "a", Kind: signals.Unresponsive, Count: 99}}})
	if err != nil {
		t.Fatal(err)
	}
	down.Store(true)
	eventually(t, "avoided by its witnesses and by word", func() bool {
		if err := watcher.Publish(kindSignals, lie); err != nil {
			t.Fatal(err)
		}
		for _, i := range []int{0, 1, 2, 4} {
			ask(i)
		}
		return figure(3, "out_of_rotation") == 1
	})
	before := backends[0].count()
	for range 60 {
		if status := ask(3); status != 200 {
			t.Fatalf("answer %d while a server is avoided, of %d", status, figure(3, "out_of_rotation"))
		}
	}
	if got := backends[0].count() - before; got > 1 { // a try in its turn
		t.Errorf("%d requests were spent on what the members knew", got)
	}
	if got := figure(3, "out_of_rotation"); got > 1 {
		t.Errorf("%d are avoided: the word of one alone, or of one cut off, moves somebody", got)
	}
	for len(heard) > 0 {
		n := <-heard
		r, err := signals.Decode(n.Payload)
		switch {
		case n.Kind != kindSignals || err != nil:
			t.Errorf("%+v: %v", n, err)
		case n.Origin == "cut" && len(r.Verdicts) > 2:
			t.Errorf("one that is cut off from five of six says so of %d", len(r.Verdicts))
		case n.Origin == "d" && slices.ContainsFunc(r.Verdicts, func(v signals.Verdict) bool { return v.Kind != signals.Serving }):
			t.Errorf("one that was only told says on: %+v", r)
		}
	}
	down.Store(false)
	eventually(t, "used again", func() bool {
		ask(3)
		return figure(3, "out_of_rotation") == 0 && backends[0].count() > before
	})
}
