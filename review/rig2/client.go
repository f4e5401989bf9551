package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// lastAttempt numbers the attempts of a play.
var lastAttempt atomic.Uint64

func newAttemptID() string { return fmt.Sprintf("%016x", 0xa0000000+lastAttempt.Add(1)) }

// outcome is what a client saw of one request.
type outcome struct {
	attemptID string
	front     string
	sentAt    time.Time
	endedAt   time.Time
	status    int // 0: no answer
	events    int
	complete  bool
	err       error
}

// clientRequest is one request of a client.
type clientRequest struct {
	host, target string
	timeLeft     time.Duration
	body         string
}

// send sends a request on a new connection, reads the answer to its end, and records both.
func send(rec *record, front string, request clientRequest) outcome {
	seen := outcome{attemptID: newAttemptID(), front: front, sentAt: time.Now()}
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(context.Background(), "tcp4", front)
	if err != nil {
		seen.err = err
		return seen
	}
	defer func() { _ = conn.Close() }()
	seen.exchange(rec, conn, bufio.NewReader(conn), request)
	return seen
}

// exchange sends a request on a connection and reads the answer.
func (o *outcome) exchange(rec *record, conn net.Conn, reader *bufio.Reader, request clientRequest) {
	o.sentAt = time.Now()
	_ = conn.SetDeadline(o.sentAt.Add(request.timeLeft))
	rec.printf("client sends %s %s to %s", o.attemptID, request.target, o.front)
	head := "POST " + request.target + " HTTP/1.1\r\nHost: " + request.host + "\r\nX-Attempt-Id: " + o.attemptID +
		"\r\nX-Model: m\r\nX-Token-Count: 300,60\r\nX-Prompt-Prefix: " + o.attemptID + ":300\r\nX-Time-Left-Ms: " +
		strconv.FormatInt(request.timeLeft.Milliseconds(), 10) + "\r\nContent-Length: " + strconv.Itoa(len(request.body)) + "\r\n\r\n"
	if _, o.err = io.WriteString(conn, head+request.body); o.err != nil {
		return
	}
	answer, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		o.end(rec, err)
		return
	}
	defer func() { _ = answer.Body.Close() }()
	o.status = answer.StatusCode
	o.readBody(rec, answer)
}

// readBody reads the body to its end and counts events.
func (o *outcome) readBody(rec *record, answer *http.Response) {
	lines := bufio.NewReader(answer.Body)
	for {
		line, err := lines.ReadString('\n')
		if strings.HasPrefix(line, "id: ") {
			o.events++
		}
		if err == io.EOF {
			o.complete = true
			o.end(rec, nil)
			return
		}
		if err != nil {
			o.end(rec, err)
			return
		}
	}
}

func (o *outcome) end(rec *record, err error) {
	o.err, o.endedAt = err, time.Now()
	rec.printf("client: %s ends with status %d, %d events, complete %v, error %v", o.attemptID, o.status, o.events, o.complete, err)
}
