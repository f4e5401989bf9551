package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// TestTruncatedStreams truncates a stream in different ways: a resumable stream continues at another server within the same response;
// any other stream ends in a way that does not look complete.
func TestTruncatedStreams(t *testing.T) {
	closeConn := func(net.Conn, *http.Request, []byte) bool { return false }
	for _, test := range []struct {
		name      string
		first     serverBehavior
		second    serverBehavior
		resumes   string // the complete body where the stream is resumable; "": it is truncated
		last      string // Last-Event-Id that the second server receives; "": it receives no request
		outcomes  []pick.AttemptOutcome
		otherwise string // the body if the stream is not resumable
		complete  bool   // whether the stream is complete if it is not resumable
	}{
		{"whole", respondEvents(1, 3, true), nil, streamText(1, 3), "", []pick.AttemptOutcome{pick.Served}, streamText(1, 3), true},
		{"cut", respondEventsThen(3, closeConn), respondEvents(4, 6, true), streamText(1, 6), "3", []pick.AttemptOutcome{pick.ConnectionLost, pick.Served}, streamText(1, 3), false},
		{"reset", respondEventsThen(3, resetConn), respondEvents(4, 6, true), streamText(1, 6), "3", []pick.AttemptOutcome{pick.ConnectionLost, pick.Served}, "", false},
		{"cut within an event", respondEventsThen(2, writeText(chunk("id: 3\ndata"), false)), respondEvents(3, 4, true), streamText(1, 4), "2",
			[]pick.AttemptOutcome{pick.ConnectionLost, pick.Served}, streamText(1, 2), false},
		{"cut behind an event's data", respondEventsThen(2, writeText(chunk("id: 3\ndata: d3\n"), false)), respondEvents(3, 4, true), streamText(1, 4), "2",
			[]pick.AttemptOutcome{pick.ConnectionLost, pick.Served}, streamText(1, 2), false},
		{"garbage", respondEventsThen(2, writeText("zz\r\nwhat\r\n", true)), respondEvents(3, 4, true), streamText(1, 4), "2",
			[]pick.AttemptOutcome{pick.ConnectionLost, pick.Served}, streamText(1, 2), false},
		{"an event again", respondEventsThen(2, writeText(eventChunk(2)+eventChunk(3)+"0\r\n\r\n", true)), respondEvents(3, 4, true), streamText(1, 4), "2",
			[]pick.AttemptOutcome{pick.ConnectionLost, pick.Served}, streamText(1, 2), false},
		{"cut at its end", respondEventsThen(3, closeConn), respondEvents(4, 3, true), streamText(1, 3), "3", []pick.AttemptOutcome{pick.ConnectionLost, pick.Served}, streamText(1, 3), false},
		{"repeated by the second", respondEventsThen(3, closeConn), respondEvents(3, 6, true), "", "3", []pick.AttemptOutcome{pick.ConnectionLost, pick.ConnectionLost}, streamText(1, 3), false},
		{"started anew by the second", respondEventsThen(3, closeConn), respondEvents(1, 6, true), "", "3", []pick.AttemptOutcome{pick.ConnectionLost, pick.ConnectionLost}, streamText(1, 3), false},
		{"failed by the second", respondEventsThen(3, closeConn), respondWith(500, "oh"), "", "3", []pick.AttemptOutcome{pick.ConnectionLost, pick.ServerError}, streamText(1, 3), false},
		{"refused by the second", respondEventsThen(3, closeConn), respondWith(503, "", "X-Not-Executed: 1"), "", "3",
			[]pick.AttemptOutcome{pick.ConnectionLost, pick.NotExecuted}, streamText(1, 3), false},
		{"no stream from the second", respondEventsThen(3, closeConn), respondWith(200, streamText(4, 6)), "", "3",
			[]pick.AttemptOutcome{pick.ConnectionLost, pick.ServerError}, streamText(1, 3), false},
		{"another's stream from the second", respondEventsThen(3, closeConn), respondRaw("HTTP/1.1 200 X\r\nX-Attempt-Id: other\r\nX-Server-Seal: s\r\n"+
			"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"+eventChunk(4)+"0\r\n\r\n", true), "", "3",
			[]pick.AttemptOutcome{pick.ConnectionLost, pick.ConnectionLost}, streamText(1, 3), false},
		{"events without ids", respondEventsThen(2, writeText(chunk("data: x\n\n"), false)), nil, "", "", []pick.AttemptOutcome{pick.ConnectionLost},
			streamText(1, 2) + "data: x\n\n", false},
	} {
		t.Run(fmt.Sprint(test.name, true), func(t *testing.T) {
			checkStream(t, withResumable, test.first, test.second, expectedStream{test.resumes, test.resumes != "", test.last, test.outcomes})
		})
		t.Run(fmt.Sprint(test.name, false), func(t *testing.T) {
			checkStream(t, withCategory(config.Streaming), test.first, test.second,
				expectedStream{test.otherwise, test.complete, "", test.outcomes[:1]})
		})
	}
}

// expectedStream is what a client receives of a stream, and how the attempts end.
type expectedStream struct {
	body        string // "" for an incomplete stream: any body
	complete    bool
	lastEventID string // that the second server receives; "": it receives no request
	outcomes    []pick.AttemptOutcome
}

// checkStream requests a stream from a first server, and possibly a second one, and compares the result with the expectation.
func checkStream(t *testing.T, route configure, first, second serverBehavior, want expectedStream) {
	t.Helper()
	servers := []*fakeServer{startServer(t, first)}
	if second != nil {
		servers = append(servers, startServer(t, second))
	}
	proxy := startProxy(t, servers, route)
	got := proxy.roundTrip(t, "id-1", "body")
	if want.body == "" && !want.complete {
		want.body = got.body // the received length does not matter
	}
	if got.StatusCode != http.StatusOK || got.body != want.body || (got.err == nil) != want.complete {
		t.Errorf("status %d, body %q, error %v; want %q, complete: %v", got.StatusCode, got.body, got.err, want.body, want.complete)
	}
	if outcomes := proxy.outcomes(); !slices.Equal(outcomes, want.outcomes) {
		t.Errorf("attempts ended as %v, want %v", outcomes, want.outcomes)
	}
	if want.lastEventID != "" {
		checkResumption(t, receive(t, servers[1].requests, "request"), want.lastEventID)
	} else if second != nil && len(servers[1].requests) > 0 {
		t.Error("the second server received a request")
	}
}

// checkResumption checks the request that resumes a stream.
func checkResumption(t *testing.T, r *receivedRequest, lastEventID string) {
	t.Helper()
	if r.Header.Get(headerLastEventID) != lastEventID || r.body != "body" ||
		r.Header.Get(headerAttemptID) != "id-1" || r.Header.Get(headerTargetInstance) != "i-1" {
		t.Errorf("the second server got %v, %q", r.Header, r.body)
	}
}

// TestStreamKeepsHead checks that a stream that is resumed at other servers keeps the head and the seal of the first server.
func TestStreamKeepsHead(t *testing.T) {
	sealed := func(seal string, from, to int, whole bool) serverBehavior {
		text := "HTTP/1.1 200 X\r\nX-Attempt-Id: ID\r\nX-Server-Seal: " + seal + "\r\nContent-Type: text/event-stream; charset=utf-8\r\n" +
			"Transfer-Encoding: chunked\r\n\r\n"
		for id := from; id <= to; id++ {
			text += eventChunk(id)
		}
		if whole {
			text += "0\r\n\r\n"
		}
		return respondRaw(text, whole)
	}
	proxy := startProxy(t, []*fakeServer{startServer(t, sealed("one", 1, 2, false)), startServer(t, sealed("two", 3, 3, false)),
		startServer(t, sealed("three", 4, 5, true))}, withResumable)
	got := proxy.roundTrip(t, "id-1", "")
	if got.body != streamText(1, 5) || got.err != nil || got.Header.Get(headerServerSeal) != "one" {
		t.Errorf("body %q, error %v, seal %q", got.body, got.err, got.Header.Get(headerServerSeal))
	}
	if n := proxy.Counters().Resumed.Load(); n != 2 {
		t.Errorf("streams resumed: %d", n)
	}
}

// TestClientResumes checks that if a client resumes a stream itself, the id of its last event is sent to the server and the ids of
// further events have to be higher.
func TestClientResumes(t *testing.T) {
	first, second := startServer(t, respondEvents(7, 9, false)), startServer(t, respondEvents(10, 11, true))
	proxy := startProxy(t, []*fakeServer{first, second}, withResumable)
	got := proxy.roundTrip(t, "id-1", "", "Last-Event-Id: 6")
	if got.body != streamText(7, 11) || got.err != nil {
		t.Errorf("body %q, error %v", got.body, got.err)
	}
	if a, b := <-first.requests, <-second.requests; a.Header.Get(headerLastEventID) != "6" || b.Header.Get(headerLastEventID) != "9" {
		t.Errorf("Last-Event-Id %q, then %q", a.Header.Get(headerLastEventID), b.Header.Get(headerLastEventID))
	}
}

// TestStreamAtOnce checks that events are forwarded immediately: the server sends each event only after the client has received the
// previous one.
func TestStreamAtOnce(t *testing.T) {
	next := make(chan bool)
	s := startServer(t, func(c net.Conn, r *http.Request, _ []byte) bool {
		_, _ = io.WriteString(c, head(r, 200, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")+"\r\n")
		for id := 1; id <= 3; id++ {
			<-next
			_, _ = io.WriteString(c, eventChunk(id))
		}
		<-next
		_, _ = io.WriteString(c, "0\r\n\r\n")
		return true
	})
	proxy := startProxy(t, []*fakeServer{s}, withCategory(config.Streaming))
	c := proxy.dial(t).sendRequest("id-1", "")
	next <- true
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	for id := 1; id <= 3; id++ {
		text := make([]byte, len(streamText(id, id)))
		if _, err := io.ReadFull(resp.Body, text); err != nil || string(text) != streamText(id, id) {
			t.Fatalf("%q, error %v", text, err)
		}
		next <- true
	}
	if rest, err := io.ReadAll(resp.Body); len(rest) > 0 || err != nil {
		t.Errorf("%q, error %v", rest, err)
	}
	if proxy.fake.firstEvents != 1 {
		t.Errorf("first events reported to the picker: %d", proxy.fake.firstEvents)
	}
}

// TestHTTP10Client checks that a truncated stream to an HTTP/1.0 client, for which the end of the connection marks the end of the
// response, ends with a reset.
func TestHTTP10Client(t *testing.T) {
	proxy := startProxy(t, []*fakeServer{startServer(t, respondEvents(1, 2, false))}, withCategory(config.Streaming))
	c := proxy.dial(t)
	_, _ = fmt.Fprint(c, "GET /a/x HTTP/1.0\r\nHost: h.example\r\nX-Attempt-Id: a\r\n\r\n")
	if text, err := io.ReadAll(c.reader); err == nil {
		t.Errorf("truncated response %q looks complete", text)
	}
}

// TestUnbufferedResponses covers responses that are too long to be buffered.
func TestUnbufferedResponses(t *testing.T) {
	long := strings.Repeat("0123456789", 60<<10)
	ok := "HTTP/1.1 200 X\r\nX-Attempt-Id: ID\r\nX-Server-Seal: s\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(long))
	for _, test := range []struct {
		name, text string
		complete   bool
	}{
		{"whole", ok + length + long, true},
		{"cut", ok + length + long[:300<<10], false},
		{"chunks", ok + "Transfer-Encoding: chunked\r\n\r\n" + chunk(long) + "0\r\n\r\n", true},
		{"cut chunks", ok + "Transfer-Encoding: chunked\r\n\r\n" + chunk(long), false},
		{"cut within a chunk", ok + "Transfer-Encoding: chunked\r\n\r\n" + chunk(long)[:500<<10], false},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := startServer(t, respondRaw(test.text, test.complete))
			proxy := startProxy(t, []*fakeServer{s}, withCategory(config.Idempotent))
			got := proxy.roundTrip(t, "id-1", "")
			if (got.err == nil) != test.complete || test.complete && got.body != long || !strings.HasPrefix(long, got.body) {
				t.Errorf("%d bytes, error %v", len(got.body), got.err)
			}
		})
	}
}
