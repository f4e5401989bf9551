package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gradeusher.example/gradeusher/balance"
)

// TestLateRequests has requests arrive slowly while the sidecar shuts down: those that are complete in
// time are served; those that are complete too late are refused, and no server receives them completely.
func TestLateRequests(t *testing.T) {
	b := startBackend(t, respondWith(200, "", "ok"))
	settings := strings.ReplaceAll(strings.ReplaceAll(testSettings, `"aim_s":20.0`, `"aim_s":0.5`), `"deadline_s":60.0`, `"deadline_s":0.5`)
	prog := startDraining(t, configText(startRegistry(t).address, serving(1, b), settings),
		drainTimes{accept: time.Second, quietTime: 10 * time.Millisecond, closeIdle: testTimeout, finish: testTimeout})
	const head = "X-Request-ID: i\r\nX-Priority-Class: pay\r\nX-Timeout-Ms: 50000\r\n"
	begin := func(size int) net.Conn {
		c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", prog.address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		text := fmt.Sprintf("POST /api HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n%s", head, size, longText[:size-1])
		if size == 1 {
			text = "POST /api HTTP/1.1\r\nHost: x\r\n"
		}
		if _, err := io.WriteString(c, text); err != nil {
			t.Fatal(err)
		}
		return c
	}
	finish := func(c net.Conn, size, status int) {
		t.Helper()
		text := longText[size-1 : size]
		if size == 1 {
			text = head + "Content-Length: 1\r\n\r\n0"
		}
		if _, err := io.WriteString(c, text); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil) //nolint:bodyclose // the test closes the connection; to close the body would be to read it
		if err != nil || resp.StatusCode != status || !resp.Close {
			t.Errorf("%d bytes: answer %+v, error %v, want %d", size, resp, err, status)
		}
	}
	sizes := []int{1, 100, 2 * maxBufferedBytes} // ending in the head, in a body that is buffered, in one that is streamed
	var inTime, late []net.Conn
	for _, size := range sizes {
		inTime, late = append(inTime, begin(size)), append(late, begin(size))
	}
	time.Sleep(50 * time.Millisecond)
	prog.stop()
	time.Sleep(10 * time.Millisecond) // if the sidecar has not noticed by then, the test covers less
	for i, size := range sizes {
		finish(inTime[i], size, 200)
	}
	time.Sleep(700 * time.Millisecond) // of the 1.2 s after which the process would be killed
	came := b.count()
	for i, size := range sizes {
		finish(late[i], size, 503)
	}
	if n := b.count() - came; n != 0 {
		t.Errorf("servers received %d complete requests that were too late", n)
	}
}

// TestFinalAnswerBeforeKill checks that a client gets its final answer before a process that shuts
// down would be killed, even if the server does not answer and the client would wait longer.
func TestFinalAnswerBeforeKill(t *testing.T) {
	clock := &shutdownClock{}
	clock.init([]balance.Class{{Deadline: time.Second}, {Deadline: time.Hour}})
	now := time.Now()
	if end := now.Add(time.Hour); !clock.bound(end).Equal(end) || clock.isLate(now) {
		t.Error("deadlines are moved though the shutdown has not begun")
	}
	clock.begin(now)
	kill := now.Add(maxLongestDeadline + killMargin)
	if end := clock.bound(now.Add(time.Hour)); !end.Before(kill) || end.Before(kill.Add(-time.Second)) {
		t.Errorf("the last answer is due %v before the kill", kill.Sub(end))
	}
	if end := now.Add(time.Second); !clock.bound(end).Equal(end) {
		t.Error("a deadline early enough is moved")
	}
	if clock.isLate(now.Add(time.Second)) || !clock.isLate(kill.Add(-finalAnswerMargin)) {
		t.Error("isLate is wrong")
	}
}
