package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	lastEvent        = 3 // the id of a scripted stream's last event
	maxValidInterims = 3 // interim responses that a valid one may follow
)

// echoedID is which request a scripted response says it belongs to.
type echoedID int

const (
	ownID echoedID = iota
	otherID
	earlierID // of the request before it at the server
	noID
)

// afterSend is what a scripted server does with the connection behind what it sent.
type afterSend int

const (
	stayOpen afterSend = iota
	halfCloseAfter
	resetAfter
)

// surplusTiming is when a scripted server sends a surplus response, with the id of the request before.
type surplusTiming int

const (
	noSurplus surplusTiming = iota
	samePacket
	whileIdle // when the client has its response, and before its next request
	withNext  // when the next request has come, and before its response
)

// behaviour is what a scripted server does with one request.
type behaviour struct {
	Status        int
	Echo          echoedID
	Unsealed      bool
	NotExecuted   bool
	Encoded       bool
	Framing       string // "length", "chunked", "none", "both" or "twice"
	Interims      int
	Garbage       bool // the status line is invalid
	Closes        bool // Connection: close
	RepeatsEvent  bool // a stream begins with the event that the client has
	Early         bool // it responds before it has read the body
	PermilleSent  int  // thousandths of the response that are sent
	After         afterSend
	Surplus       surplusTiming
	SendsRestLate bool // the rest is sent when the client has given up or has another response
	CloseIdle     bool // closes the connection when the client has its response, before its next request
	CloseRace     bool // closes it while the next request is sent
}

var soundBehaviour = behaviour{Status: 200, Framing: "length", PermilleSent: 1000}

// leavesWaiting reports whether a client would wait for the rest of the response in vain.
func (b behaviour) leavesWaiting() bool { return b.PermilleSent < 1000 && b.After == stayOpen }

func (b behaviour) isRefusal() bool {
	return b.Status >= 300 && (b.NotExecuted || b.Status == http.StatusMisdirectedRequest)
}

// arrival is a request that reached a scripted server.
type arrival struct {
	id      string
	refused bool // the server said in a complete head that it did not run it
	sent    sentResponse
}

// sentResponse is a response as a scripted server sent it.
type sentResponse struct {
	status     int
	seal, body string
	valid      bool // it may be passed on as it is
}

// scriptedServers is the scripted servers of one scenario, and what they saw.
type scriptedServers struct {
	stream, resumable bool
	servers           []*scriptedServer

	mu           sync.Mutex
	runs         int
	arrivals     []arrival
	alterations  []string // requests that came otherwise than they were sent
	whileIdle    []func() // to be done when the client has its response
	whileSending []func() // to be done while the next request is sent
}

// scriptedServer is one of them.
type scriptedServer struct {
	connServer
	all          *scriptedServers
	behaviours   []behaviour // by request; then it behaves well
	requestCount int
	previousID   string
}

// startServer starts a server that behaves in these ways with the requests that it gets, one after the other.
func (s *scriptedServers) startServer(behaviours []behaviour) (*scriptedServer, error) {
	var listen net.ListenConfig
	if slices.ContainsFunc(behaviours, func(b behaviour) bool { return b.Early && b.After == resetAfter }) {
		listen.Control = limitReceiveBuffer
	}
	listener, err := listen.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &scriptedServer{connServer: connServer{listener: listener}, all: s, behaviours: behaviours}
	server.start(server.serve)
	s.servers = append(s.servers, server)
	return server, nil
}

// limitReceiveBuffer has the system take in little of what a server does not read, so that a long body is still being written when
// the server resets the connection.
func limitReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var err error
	if e := raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) }); e != nil {
		return e
	}
	return err
}

// stop ends all servers.
func (s *scriptedServers) stop() {
	for _, server := range s.servers {
		server.stop()
	}
}

// takeActions removes and returns what is to be done between two requests, or while the next one is sent.
func (s *scriptedServers) takeActions(from *[]func()) []func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := *from
	*from = nil
	return out
}

// serve answers the requests on a connection.
func (v *scriptedServer) serve(conn net.Conn) {
	reader, withNext := bufio.NewReader(conn), ""
	for first := true; ; first = false {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		plan := v.planResponse(r, first)
		plan.text = withNext + plan.text
		if !v.exchange(conn, r, plan) {
			return
		}
		withNext = v.arrangeAfter(conn, plan.behaviour, r.Header.Get(headerAttemptID))
	}
}

// exchange reads a request's body and sends what is planned, and reports whether the connection is good for another request.
func (v *scriptedServer) exchange(conn net.Conn, r *http.Request, plan responsePlan) bool {
	var writeErr error
	if plan.Early {
		_, writeErr = io.WriteString(conn, plan.text)
		if plan.After == resetAfter { // while the body is being written
			_ = conn.(*net.TCPConn).SetLinger(0)
			return false
		}
	}
	body, readErr := io.ReadAll(r.Body)
	if readErr == nil {
		v.checkUnaltered(r, string(body))
	}
	if !plan.Early {
		_, writeErr = io.WriteString(conn, plan.text)
	}
	if writeErr != nil || readErr != nil {
		return false
	}
	switch plan.After {
	case resetAfter:
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	case halfCloseAfter:
		_ = conn.(*net.TCPConn).CloseWrite()
	}
	if incomplete := plan.rest != "" || plan.Framing == "none"; !incomplete {
		return true
	}
	if plan.SendsRestLate {
		v.sendLater(conn, plan.rest)
	}
	_, _ = io.Copy(io.Discard, conn) // until the proxy closes it
	return false
}

// sendLater has bytes sent between this request and the next.
func (v *scriptedServer) sendLater(c net.Conn, text string) {
	v.all.mu.Lock()
	defer v.all.mu.Unlock()
	v.all.whileIdle = append(v.all.whileIdle, func() { _, _ = io.WriteString(c, text) })
}

// arrangeAfter arranges what happens on a connection behind a response, and returns what is sent before the next one.
func (v *scriptedServer) arrangeAfter(c net.Conn, b behaviour, id string) string {
	extra := surplusResponse(id)
	v.all.mu.Lock()
	defer v.all.mu.Unlock()
	switch {
	case b.Surplus == whileIdle:
		v.all.whileIdle = append(v.all.whileIdle, func() { _, _ = io.WriteString(c, extra) })
	case b.Surplus == withNext:
		return extra
	case b.CloseIdle:
		v.all.whileIdle = append(v.all.whileIdle, func() { _ = c.Close() })
	case b.CloseRace:
		v.all.whileSending = append(v.all.whileSending, func() { _ = c.Close() })
	}
	return ""
}

// checkUnaltered records a request that did not come as it was sent: its body begins with its id and its method.
func (v *scriptedServer) checkUnaltered(r *http.Request, body string) {
	id := r.Header.Get(headerAttemptID)
	want := id + " " + r.Method
	if r.Method != http.MethodPost {
		body += want
	}
	if r.RequestURI != "/a/"+id || !strings.HasPrefix(body, want) || strings.Trim(body[len(want):], ".") != "" {
		v.all.mu.Lock()
		v.all.alterations = append(v.all.alterations, fmt.Sprintf("%s %s with %.40q", r.Method, r.RequestURI, body))
		v.all.mu.Unlock()
	}
}

// surplusResponse is a response that no request asked for.
func surplusResponse(id string) string {
	return "HTTP/1.1 200 X\r\nX-Attempt-Id: " + id + "\r\nX-Server-Seal: surplus\r\nContent-Length: 7\r\n\r\nsurplus"
}

// responsePlan is what is done with a request.
type responsePlan struct {
	behaviour
	text string // of the response, as far as it is sent
	rest string
}

// planResponse records a request and plans what is done with it.
func (v *scriptedServer) planResponse(r *http.Request, first bool) responsePlan {
	all := v.all
	all.mu.Lock()
	defer all.mu.Unlock()
	plan := responsePlan{behaviour: soundBehaviour}
	if v.requestCount < len(v.behaviours) {
		plan.behaviour = v.behaviours[v.requestCount]
	}
	v.requestCount++
	all.runs++
	id := r.Header.Get(headerAttemptID)
	if plan.Echo == earlierID && v.previousID == id {
		plan.Echo = ownID // the same id twice
	}
	head, sent, wire := all.composeResponse(r, plan.behaviour, v.previousID)
	v.previousID = id
	text := head + wire
	cut := len(text) * plan.PermilleSent / 1000
	headSent := cut >= len(head)
	sent.valid = sent.valid && (cut == len(text) || r.Method == http.MethodHead && headSent)
	all.arrivals = append(all.arrivals, arrival{id: id, refused: headSent && plan.isBelievedRefusal(first), sent: sent})
	plan.text, plan.rest = text[:cut], text[cut:]
	if plan.Surplus == samePacket && plan.rest == "" {
		plan.text += surplusResponse(id)
	}
	return plan
}

// isBelievedRefusal reports whether a proxy believes that the request did not run; first says that it is the first one on its
// connection.
func (b behaviour) isBelievedRefusal(first bool) bool {
	echoed := b.Echo == ownID || b.Echo == noID && first
	framed := b.Framing != "both" && b.Framing != "twice"
	return b.isRefusal() && b.hasHead() && echoed && framed
}

// hasHead reports whether the final response has a head that can be read.
func (b behaviour) hasHead() bool { return !b.Garbage && b.Interims <= maxValidInterims }

// composeResponse makes the head and the body of a response as they go out.
func (s *scriptedServers) composeResponse(r *http.Request, b behaviour, earlier string) (head string, sent sentResponse, wire string) {
	id := r.Header.Get(headerAttemptID)
	sent = sentResponse{status: b.Status, seal: fmt.Sprint("seal-", s.runs)}
	text := b.composeFields(id, earlier, sent.seal)
	if s.stream && b.Status == http.StatusOK {
		text += "Content-Type: text/event-stream\r\n"
		sent.body = s.eventStream(r, b)
	} else {
		sent.body = fmt.Sprintf("%s, run %d, of some length", id, s.runs)
	}
	framing, wire := b.frame(sent.body)
	text += framing
	if r.Method == http.MethodHead {
		sent.body, wire = "", ""
	}
	sent.valid = b.isValid(r.Method)
	return text + "\r\n", sent, wire
}

// composeFields makes the status line, and the fields that say whose response it is.
func (b behaviour) composeFields(id, earlier, seal string) string {
	text := strings.Repeat("HTTP/1.1 103 X\r\nA: b\r\n\r\n", b.Interims)
	if b.Garbage {
		text += "what is this?\r\n"
	} else {
		text += fmt.Sprintf("HTTP/1.1 %d X\r\n", b.Status)
	}
	switch {
	case b.Echo == ownID:
		text += "X-Attempt-Id: " + id + "\r\n"
	case b.Echo == otherID || earlier == "" && b.Echo == earlierID:
		text += "X-Attempt-Id: other\r\n"
	case b.Echo == earlierID:
		text += "X-Attempt-Id: " + earlier + "\r\n"
	}
	for _, line := range []struct {
		has  bool
		text string
	}{{!b.Unsealed, "X-Server-Seal: " + seal}, {b.NotExecuted, "X-Not-Executed: 1"},
		{b.Encoded, "Content-Encoding: gzip"}, {b.Closes, "Connection: close"}} {
		if line.has {
			text += line.text + "\r\n"
		}
	}
	return text
}

// frame makes the fields that frame a body, and the body as it goes out.
func (b behaviour) frame(body string) (fields, wire string) {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	half := len(body) / 2
	chunks := chunkUnlessEmpty(body[:half]) + chunkUnlessEmpty(body[half:]) + "0\r\n\r\n"
	switch b.Framing {
	case "length":
		return length, body
	case "twice":
		return length + length, body
	case "both":
		return "Transfer-Encoding: chunked\r\n" + length, chunks
	case "chunked":
		return "Transfer-Encoding: chunked\r\n", chunks
	}
	return "", body
}

// isValid reports whether a response may be passed on as it is, if it is sent completely.
func (b behaviour) isValid(method string) bool {
	framed := b.Framing == "length" || b.Framing == "chunked" || b.Framing == "none" && method == http.MethodHead
	if !isSuccess(b.Status) {
		return b.hasHead() && framed && (b.Echo == ownID || b.Echo == noID)
	}
	return b.hasHead() && framed && b.Echo == ownID && !b.Unsealed && !b.NotExecuted && !b.Encoded
}

// eventStream is the text of a stream: a resumable one has the same events at each server, any other names its run.
func (s *scriptedServers) eventStream(r *http.Request, b behaviour) string {
	from, _ := strconv.Atoi(r.Header.Get(headerLastEventID))
	if from++; b.RepeatsEvent && from > 1 {
		from--
	}
	run := s.runs
	if s.resumable {
		run = 0
	}
	var text strings.Builder
	for id := from; id <= lastEvent; id++ {
		_, _ = fmt.Fprintf(&text, "id: %d\ndata: %d of run %d\n\n", id, id, run)
	}
	return text.String()
}

// checkEventStream checks the events that a client got: each once, in their order, of one run, and all of them if the stream looks
// whole.
func checkEventStream(body string, whole bool) error {
	run, last := "", 0
	for event := range strings.SplitAfterSeq(body, "\n\n") {
		if event == "" || !strings.HasSuffix(event, "\n\n") && !whole {
			continue
		}
		var id, again int
		var of string
		if _, err := fmt.Sscanf(event, "id: %d\ndata: %d of run %s\n\n", &id, &again, &of); err != nil || id != again {
			return fmt.Errorf("an event %q", event)
		}
		if id != last+1 || run != "" && of != run {
			return fmt.Errorf("event %d of run %s follows event %d of run %s", id, of, last, run)
		}
		last, run = id, of
	}
	if whole && last != lastEvent {
		return errors.New("a stream looks complete without its last event")
	}
	return nil
}
