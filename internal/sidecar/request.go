package sidecar

import (
	"net/http"
	"strconv"
	"time"

	"gradeusher.example/gradeusher/balance"
)

// requestError is the answer to a request that is rejected.
type requestError struct {
	status int
	text   string
	allow  string // the methods that are allowed
}

func (f *requestError) write(w http.ResponseWriter) {
	if f.allow != "" {
		w.Header().Set("Allow", f.allow)
	}
	if f.status < http.StatusInternalServerError {
		w.Header().Set("Connection", "close") // a peer that sends invalid requests is not worth a descriptor
	}
	http.Error(w, f.text, f.status)
}

// parse reads a request's headers, including the client's timeout.
func (s *server) parse(r *http.Request) (*call, *requestError) {
	bad := func(text string) (*call, *requestError) {
		return nil, &requestError{http.StatusBadRequest, text, ""}
	}
	if r.Method != http.MethodGet && r.Method != http.MethodPost {
		return nil, &requestError{http.StatusMethodNotAllowed, "method not allowed", "GET, POST"}
	}
	parsed := &call{message: message{method: r.Method, url: r.URL, id: r.Header.Get("X-Request-ID"),
		key: r.Header.Get("Idempotency-Key"), contentType: r.Header.Get("Content-Type")}}
	if parsed.id == "" {
		return bad("X-Request-ID is missing")
	}
	class, ok := s.config.Names.Class[r.Header.Get("X-Priority-Class")]
	if !ok {
		return bad("X-Priority-Class is missing or unknown")
	}
	// A request sent under a class that assumes a weaker effect than the request has could take effect twice.
	effect := s.config.Settings.Classes[class].Effect
	if r.Method == http.MethodGet && effect != balance.Idempotent {
		return nil, &requestError{http.StatusMethodNotAllowed, "the class is not safe to repeat", http.MethodPost}
	}
	// A server that expects no body after a GET would read the body as the next request.
	if r.Method == http.MethodGet && r.ContentLength != 0 {
		return bad("a GET has no body")
	}
	if parsed.key == "" && effect == balance.Deduplicated {
		return bad("Idempotency-Key is missing")
	}
	// A number that overflows time.Duration would give a deadline in the past.
	ms, err := strconv.ParseUint(r.Header.Get("X-Timeout-Ms"), 10, 31)
	if err != nil {
		return bad("X-Timeout-Ms is no number of milliseconds")
	}
	parsed.class, parsed.tenant, parsed.relayed = class, -1, &s.counts.classes[class].relayed
	if tenant, ok := s.config.Names.Tenant[r.Header.Get("X-Tenant-Id")]; ok {
		parsed.tenant = tenant
	}
	parsed.client, parsed.name = s.config.Hitters.client(r)
	parsed.timeout = max(time.Duration(ms)*time.Millisecond-answerMargin, 0)
	return parsed, nil
}

// write writes the final answer. It fails if the client has disconnected.
func (a answer) write(w http.ResponseWriter) error {
	status, body := http.StatusOK, a.body
	// Otherwise net/http would guess a content type or use chunked encoding, and the answer would differ from the server's.
	w.Header()["Content-Type"] = nil
	switch a.kind {
	case served:
		if a.contentType != "" {
			w.Header().Set("Content-Type", a.contentType)
		}
	case refused:
		if a.retryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
		}
		status, body = http.StatusServiceUnavailable, []byte("refused: a retry is harmless\n")
	default:
		status, body = http.StatusBadGateway, []byte("failed\n")
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, err := w.Write(body)
	return err
}
