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

const lastEvent = 3 // the id of a scripted stream's last event

// echo is what a scripted answer says about the request it belongs to.
type echo int

const (
	ownID echo = iota
	otherID
	earlierID // of the request before it at the server
	noID
)

// then is what a scripted server does with the connection behind what it sent.
type then int

const (
	stay then = iota
	halfClose
	resetIt
)

// surplusAt is when a scripted server sends one more answer, with the id of the request before.
type surplusAt int

const (
	noSurplus surplusAt = iota
	samePacket
	whileIdle // when the client has its answer, and before its next request
	withNext  // when the next request has come, and before its answer
)

// behaviour is what a scripted server does with one request.
type behaviour struct {
	Status      int
	Echo        echo
	Unsealed    bool
	NotExecuted bool
	Encoded     bool
	Framing     string // "length", "chunked", "none", "both" or "twice"
	Interims    int
	Garbage     bool // the status line is none
	Closes      bool // Connection: close
	Repeats     bool // a stream begins with the event that the client has
	Early       bool // it answers before it has read the body
	Cut         int  // thousandths of the answer that are sent
	Then        then
	Surplus     surplusAt
	Late        bool // what was cut off is sent when the client has given up or has another answer
	CloseIdle   bool // closes the connection when the client has its answer, before its next request
	CloseRace   bool // closes it while the next request is sent
}

var well = behaviour{Status: 200, Framing: "length", Cut: 1000}

// hangs tells whether a client would wait for the rest of the answer in vain.
func (b behaviour) hangs() bool { return b.Cut < 1000 && b.Then == stay }

func (b behaviour) refuses() bool {
	return b.Status >= 300 && (b.NotExecuted || b.Status == http.StatusMisdirectedRequest)
}

// arrival is a request that reached a scripted server.
type arrival struct {
	id       string
	refused  bool // the server said in a whole head that it did not run it
	answered answered
}

// answered is an answer as a scripted server sent it.
type answered struct {
	status     int
	seal, body string
	proper     bool // it may be passed on as it is
}

// script is the scripted servers of one world, and what they saw.
type script struct {
	stream, resumable bool
	serving           sync.WaitGroup
	servers           []*scriptedServer

	mu       sync.Mutex
	runs     int
	arrivals []arrival
	changed  []string // requests that came other than they were sent
	idle     []func() // to be done when the client has its answer
	race     []func() // to be done while the next request is sent
}

type scriptedServer struct {
	s       *script
	l       net.Listener
	will    []behaviour // by request; then it behaves well
	came    int
	earlier string
	conns   []net.Conn
}

func (s *script) start(will []behaviour) (*scriptedServer, error) {
	var listen net.ListenConfig
	if slices.ContainsFunc(will, func(b behaviour) bool { return b.Early && b.Then == resetIt }) {
		listen.Control = smallWindow
	}
	l, err := listen.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &scriptedServer{s: s, l: l, will: will}
	s.servers = append(s.servers, server)
	s.serving.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			server.conns = append(server.conns, c)
			s.mu.Unlock()
			s.serving.Go(func() { server.serve(c) })
		}
	})
	return server, nil
}

// smallWindow has the system take in little of what a server does not read, so that a long body is still being written when
// the server resets the connection.
func smallWindow(_, _ string, raw syscall.RawConn) error {
	var err error
	if e := raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) }); e != nil {
		return e
	}
	return err
}

func (s *script) stop() {
	for _, server := range s.servers {
		_ = server.l.Close()
	}
	s.mu.Lock()
	for _, server := range s.servers {
		for _, c := range server.conns {
			_ = c.Close()
		}
	}
	s.mu.Unlock()
	s.serving.Wait()
}

// take takes out what is to be done between two requests, or while the next one is sent.
func (s *script) take(from *[]func()) []func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := *from
	*from = nil
	return out
}

// serve answers the requests on a connection.
func (v *scriptedServer) serve(c net.Conn) {
	defer c.Close()
	in, waiting := bufio.NewReader(c), ""
	for first := true; ; first = false {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		b, text, rest := v.plan(r, first)
		if b.Early {
			if _, err = io.WriteString(c, waiting+text); b.Then == resetIt { // while the body is being written
				_ = c.(*net.TCPConn).SetLinger(0)
				return
			}
		}
		body, readErr := io.ReadAll(r.Body)
		if readErr == nil {
			v.compare(r, string(body))
		}
		if !b.Early {
			_, err = io.WriteString(c, waiting+text)
		}
		waiting = ""
		if err != nil || readErr != nil {
			return
		}
		switch b.Then {
		case resetIt:
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		case halfClose:
			_ = c.(*net.TCPConn).CloseWrite()
		}
		if rest != "" || b.Framing == "none" {
			if b.Late {
				v.later(c, rest)
			}
			_, _ = io.Copy(io.Discard, c) // until the proxy closes it
			return
		}
		waiting = v.after(c, b, r.Header.Get(headerAttemptID))
	}
}

// later has bytes sent between this request and the next.
func (v *scriptedServer) later(c net.Conn, text string) {
	v.s.mu.Lock()
	defer v.s.mu.Unlock()
	v.s.idle = append(v.s.idle, func() { _, _ = io.WriteString(c, text) })
}

// after arranges what happens on a connection behind an answer, and gives what is sent before the next one.
func (v *scriptedServer) after(c net.Conn, b behaviour, id string) string {
	extra := "HTTP/1.1 200 X\r\nX-Attempt-Id: " + id + "\r\nX-Server-Seal: surplus\r\nContent-Length: 7\r\n\r\nsurplus"
	v.s.mu.Lock()
	defer v.s.mu.Unlock()
	switch {
	case b.Surplus == whileIdle:
		v.s.idle = append(v.s.idle, func() { _, _ = io.WriteString(c, extra) })
	case b.Surplus == withNext:
		return extra
	case b.CloseIdle:
		v.s.idle = append(v.s.idle, func() { _ = c.Close() })
	case b.CloseRace:
		v.s.race = append(v.s.race, func() { _ = c.Close() })
	}
	return ""
}

// compare looks whether a request came as it was sent: its body begins with its id and its method.
func (v *scriptedServer) compare(r *http.Request, body string) {
	id := r.Header.Get(headerAttemptID)
	want := id + " " + r.Method
	if r.Method != http.MethodPost {
		body += want
	}
	if r.RequestURI != "/a/"+id || !strings.HasPrefix(body, want) || strings.Trim(body[len(want):], ".") != "" {
		v.s.mu.Lock()
		v.s.changed = append(v.s.changed, fmt.Sprintf("%s %s with %.40q", r.Method, r.RequestURI, body))
		v.s.mu.Unlock()
	}
}

// plan records a request and gives what is done with it: what is sent of the answer, and the rest.
func (v *scriptedServer) plan(r *http.Request, first bool) (b behaviour, text, rest string) {
	s := v.s
	s.mu.Lock()
	defer s.mu.Unlock()
	b = well
	if v.came < len(v.will) {
		b = v.will[v.came]
	}
	v.came++
	s.runs++
	id := r.Header.Get(headerAttemptID)
	if b.Echo == earlierID && v.earlier == id {
		b.Echo = ownID // the same id twice
	}
	head, sent, wire := s.answer(r, b, v.earlier)
	v.earlier = id
	text = head + wire
	cut := len(text) * b.Cut / 1000
	sent.proper = sent.proper && (cut == len(text) || r.Method == http.MethodHead && cut >= len(head))
	refused := b.refuses() && cut >= len(head) && !b.Garbage && b.Interims <= 3 &&
		(b.Echo == ownID || b.Echo == noID && first) && b.Framing != "both" && b.Framing != "twice"
	s.arrivals = append(s.arrivals, arrival{id: id, refused: refused, answered: sent})
	text, rest = text[:cut], text[cut:]
	if b.Surplus == samePacket && rest == "" {
		text += "HTTP/1.1 200 X\r\nX-Attempt-Id: " + id + "\r\nX-Server-Seal: surplus\r\nContent-Length: 7\r\n\r\nsurplus"
	}
	return b, text, rest
}

// answer makes the head and the rest of an answer as they go out.
func (s *script) answer(r *http.Request, b behaviour, earlier string) (head string, sent answered, wire string) {
	id := r.Header.Get(headerAttemptID)
	sent = answered{status: b.Status, seal: fmt.Sprint("seal-", s.runs)}
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
	}{{!b.Unsealed, "X-Server-Seal: " + sent.seal}, {b.NotExecuted, "X-Not-Executed: 1"},
		{b.Encoded, "Content-Encoding: gzip"}, {b.Closes, "Connection: close"}} {
		if line.has {
			text += line.text + "\r\n"
		}
	}
	events := s.stream && b.Status == 200
	if events {
		text += "Content-Type: text/event-stream\r\n"
		sent.body = s.events(r, b)
	} else {
		sent.body = fmt.Sprintf("%s, run %d, of some length", id, s.runs)
	}
	length := fmt.Sprintf("Content-Length: %d\r\n", len(sent.body))
	wire = sent.body
	switch b.Framing {
	case "length":
		text += length
	case "twice":
		text += length + length
	case "both", "chunked":
		text += "Transfer-Encoding: chunked\r\n"
		if b.Framing == "both" {
			text += length
		}
		half := len(sent.body) / 2
		wire = chunkOrNone(sent.body[:half]) + chunkOrNone(sent.body[half:]) + "0\r\n\r\n"
	}
	if r.Method == http.MethodHead {
		sent.body, wire = "", ""
	}
	success := isSuccess(b.Status)
	sent.proper = !b.Garbage && b.Interims <= 3 && (b.Framing == "length" || b.Framing == "chunked" || b.Framing == "none" && r.Method == http.MethodHead) &&
		(b.Echo == ownID || b.Echo == noID && !success) && !(success && (b.Unsealed || b.NotExecuted || b.Encoded))
	return text + "\r\n", sent, wire
}

// events is the text of a stream: one that may be resumed has the same events at each server, any other names its run.
func (s *script) events(r *http.Request, b behaviour) string {
	from, _ := strconv.Atoi(r.Header.Get(headerLastEventID))
	if from++; b.Repeats && from > 1 {
		from--
	}
	run := s.runs
	if s.resumable {
		run = 0
	}
	var text strings.Builder
	for id := from; id <= lastEvent; id++ {
		fmt.Fprintf(&text, "id: %d\ndata: %d of run %d\n\n", id, id, run)
	}
	return text.String()
}

// streamed checks the events that a client got: each once, in their order, of one run, and all of them if the stream looks
// whole.
func streamed(body string, whole bool) error {
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
		return errors.New("a stream looks whole without its last event")
	}
	return nil
}
