package testcluster

import (
	"fmt"
	"strings"
	"time"

	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
)

// attemptSpec is an attempt that is to be sent.
type attemptSpec struct {
	attempt     *rules.Attempt
	headers     []headerField // besides Host, X-Attempt-Id and the framing
	body        string
	chunked     bool // the body is sent in two chunks
	deadline    time.Time
	readTimeout time.Duration // for each read, where a stream is expected; 0: only the deadline bounds reads
	onFirst     func()        // is called when the head of a successful answer has come; may be nil
}

// headerField is one field of a request's header.
type headerField struct{ name, value string }

// encode returns the request's bytes.
func (s *attemptSpec) encode() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\n", s.attempt.Method, s.attempt.Path, s.attempt.Host, s.attempt.ID)
	for _, field := range s.headers {
		fmt.Fprintf(&b, "%s: %s\r\n", field.name, field.value)
	}
	if s.chunked && s.body != "" {
		s.encodeChunks(&b)
	} else {
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(s.body), s.body)
	}
	return b.String()
}

func (s *attemptSpec) encodeChunks(b *strings.Builder) {
	half := len(s.body)/2 + 1
	b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	for _, chunk := range []string{s.body[:half], s.body[half:]} {
		if chunk != "" {
			fmt.Fprintf(b, "%x\r\n%s\r\n", len(chunk), chunk)
		}
	}
	b.WriteString("0\r\n\r\n")
}
