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
	maxValidInterims = 3 // maximum number of interim responses before a valid final one
)

// echoedID selects the request id that a scripted response echoes.
type echoedID int

const (
	ownID echoedID = iota
	otherID
	earlierID // that of the server's previous request
	noID
)

// afterSend is what a scripted server does with the connection after sending.
type afterSend int

const (
	stayOpen afterSend = iota
	halfCloseAfter
	resetAfter
)

// surplusTiming is when a scripted server sends a surplus response, with the id of the previous request.
type surplusTiming int

const (
	noSurplus surplusTiming = iota
	samePacket
	whileIdle // after the client has received its response and before its next request
	withNext  // after the next request was received and before its response
)

// behaviour is how a scripted server handles one request.
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
	RepeatsEvent  bool // a stream begins with an event that the client already has
	Early         bool // it responds before it has read the body
	PermilleSent  int  // thousandths of the response that are sent
	After         afterSend
	Surplus       surplusTiming
	SendsRestLate bool // the rest is sent after the client has given up or has received another response
	CloseIdle     bool // closes the connection after the client has received its response, before its next request
	CloseRace     bool // closes it while the next request is sent
}

var validBehaviour = behaviour{Status: 200, Framing: "length", PermilleSent: 1000}

// leavesClientWaiting reports whether a client would wait for the rest of the response in vain.
func (b behaviour) leavesClientWaiting() bool { return b.PermilleSent < 1000 && b.After == stayOpen }

func (b behaviour) isRefusal() bool {
	return b.Status >= 300 && (b.NotExecuted || b.Status == http.StatusMisdirectedRequest)
}

// arrival is a request that reached a scripted server.
type arrival struct {
	id      string
	refused bool // the server stated in a complete head that it did not execute the request
	sent    sentResponse
}

// sentResponse is a response as a scripted server sent it.
type sentResponse struct {
	status     int
	seal, body string
	valid      bool // it may be forwarded unchanged
}

// scriptedServers holds the scripted servers of one scenario, and what they observed.
type scriptedServers struct {
	stream, resumable bool
	servers           []*scriptedServer

	mu           sync.Mutex
	runs         int
	arrivals     []arrival
	alterations  []string // requests that were altered on their way to the server
	whileIdle    []func() // actions to run after the client has received its response
	whileSending []func() // actions to run while the next request is sent
}

// scriptedServer is one server of a scenario.
type scriptedServer struct {
	connServer
	scenario     *scriptedServers
	behaviours   []behaviour // one per request; further requests are handled normally
	requestCount int
	previousID   string
}

// startServer starts a server that handles its requests with the given behaviours, in this order.
func (s *scriptedServers) startServer(behaviours []behaviour) (*scriptedServer, error) {
	var listen net.ListenConfig
	if slices.ContainsFunc(behaviours, func(b behaviour) bool { return b.Early && b.After == resetAfter }) {
		listen.Control = limitReceiveBuffer
	}
	listener, err := listen.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &scriptedServer{connServer: connServer{listener: listener}, scenario: s, behaviours: behaviours}
	server.start(server.serve)
	s.servers = append(s.servers, server)
	return server, nil
}

// limitReceiveBuffer makes the kernel buffer only little data that a server has not read, so that a long body is still being written
// when the server resets the connection.
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

// takeActions removes and returns the actions to run between two requests, or while the next one is sent.
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

// exchange reads a request's body and sends the planned response, and reports whether the connection can be used for another request.
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

// sendLater schedules bytes to be sent between this request and the next.
func (v *scriptedServer) sendLater(c net.Conn, text string) {
	v.scenario.mu.Lock()
	defer v.scenario.mu.Unlock()
	v.scenario.whileIdle = append(v.scenario.whileIdle, func() { _, _ = io.WriteString(c, text) })
}

// arrangeAfter schedules what happens on a connection after a response, and returns the bytes to send before the next response.
func (v *scriptedServer) arrangeAfter(c net.Conn, b behaviour, id string) string {
	extra := surplusResponse(id)
	v.scenario.mu.Lock()
	defer v.scenario.mu.Unlock()
	switch {
	case b.Surplus == whileIdle:
		v.scenario.whileIdle = append(v.scenario.whileIdle, func() { _, _ = io.WriteString(c, extra) })
	case b.Surplus == withNext:
		return extra
	case b.CloseIdle:
		v.scenario.whileIdle = append(v.scenario.whileIdle, func() { _ = c.Close() })
	case b.CloseRace:
		v.scenario.whileSending = append(v.scenario.whileSending, func() { _ = c.Close() })
	}
	return ""
}

// checkUnaltered records a request that was altered in transit, which is detected because its body begins with its id and its method.
func (v *scriptedServer) checkUnaltered(r *http.Request, body string) {
	id := r.Header.Get(headerAttemptID)
	want := id + " " + r.Method
	if r.Method != http.MethodPost {
		body += want
	}
	if r.RequestURI != "/a/"+id || !strings.HasPrefix(body, want) || strings.Trim(body[len(want):], ".") != "" {
		v.scenario.mu.Lock()
		v.scenario.alterations = append(v.scenario.alterations, fmt.Sprintf("%s %s with %.40q", r.Method, r.RequestURI, body))
		v.scenario.mu.Unlock()
	}
}

// surplusResponse is a response that no request asked for.
func surplusResponse(id string) string {
	return "HTTP/1.1 200 X\r\nX-Attempt-Id: " + id + "\r\nX-Server-Seal: surplus\r\nContent-Length: 7\r\n\r\nsurplus"
}

// responsePlan is how a server responds to a request.
type responsePlan struct {
	behaviour
	text string // the part of the response that is sent
	rest string
}

// planResponse records a request and plans the response to it.
func (v *scriptedServer) planResponse(r *http.Request, first bool) responsePlan {
	all := v.scenario
	all.mu.Lock()
	defer all.mu.Unlock()
	plan := responsePlan{behaviour: validBehaviour}
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
	all.arrivals = append(all.arrivals, arrival{id: id, refused: headSent && plan.isCredibleRefusal(first), sent: sent})
	plan.text, plan.rest = text[:cut], text[cut:]
	if plan.Surplus == samePacket && plan.rest == "" {
		plan.text += surplusResponse(id)
	}
	return plan
}

// isCredibleRefusal reports whether a proxy accepts the statement that the request was not executed; first is true for the first
// request on a connection.
func (b behaviour) isCredibleRefusal(first bool) bool {
	echoed := b.Echo == ownID || b.Echo == noID && first
	framed := b.Framing != "both" && b.Framing != "twice"
	return b.isRefusal() && b.hasHead() && echoed && framed
}

// hasHead reports whether the final response has a head that can be read.
func (b behaviour) hasHead() bool { return !b.Garbage && b.Interims <= maxValidInterims }

// composeResponse builds the head and the body of a response as they are sent.
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

// composeFields builds the status line, and the header fields that identify the response.
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

// frame builds the header fields that frame a body, and the body as it is sent.
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

// isValid reports whether a response may be forwarded unchanged if it is sent completely.
func (b behaviour) isValid(method string) bool {
	framed := b.Framing == "length" || b.Framing == "chunked" || b.Framing == "none" && method == http.MethodHead
	if !isSuccess(b.Status) {
		return b.hasHead() && framed && (b.Echo == ownID || b.Echo == noID)
	}
	return b.hasHead() && framed && b.Echo == ownID && !b.Unsealed && !b.NotExecuted && !b.Encoded
}

// eventStream returns the text of a stream: a resumable stream has the same events at each server; any other contains the number of
// its run.
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

// checkEventStream checks the events that a client received: each one once, in order, all from one run, and every event if the stream
// looks complete.
func checkEventStream(body string, looksComplete bool) error {
	run, last := "", 0
	for event := range strings.SplitAfterSeq(body, "\n\n") {
		if event == "" || !strings.HasSuffix(event, "\n\n") && !looksComplete {
			continue
		}
		var id, dataID int
		var of string
		if _, err := fmt.Sscanf(event, "id: %d\ndata: %d of run %s\n\n", &id, &dataID, &of); err != nil || id != dataID {
			return fmt.Errorf("malformed event %q", event)
		}
		if id != last+1 || run != "" && of != run {
			return fmt.Errorf("event %d of run %s follows event %d of run %s", id, of, last, run)
		}
		last, run = id, of
	}
	if looksComplete && last != lastEvent {
		return errors.New("the stream looks complete without its last event")
	}
	return nil
}
