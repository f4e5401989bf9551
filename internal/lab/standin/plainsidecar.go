package standin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Plain is the plainest sidecar that keeps the rules: even turns over what the list says, one attempt more where the first
// certainly did not run. Experiments compare with it, and with one flaw it is the control of a checker. It ends when ctx is
// done.
func Plain(ctx context.Context, getenv func(string) string, flaw string) error {
	text, err := os.ReadFile(getenv("PROXY_CONFIG"))
	if err != nil {
		return fmt.Errorf("PROXY_CONFIG: %w", err)
	}
	var config struct {
		Listen    string
		Discovery string
		Known     receivedList
	}
	if err := json.Unmarshal(text, &config); err != nil {
		return fmt.Errorf("%s: %w", getenv("PROXY_CONFIG"), err)
	}
	l, err := net.Listen("tcp4", config.Listen)
	if err != nil {
		return err
	}
	p := &plain{flaw: flaw, servers: map[string]target{}, client: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second,
		DialContext: (&net.Dialer{Timeout: 250 * time.Millisecond}).DialContext}}
	p.applyUpdate(config.Known)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var tasks sync.WaitGroup
	tasks.Add(1)
	go func() {
		defer tasks.Done()
		p.watchList(ctx, config.Discovery)
	}()
	web := &http.Server{Handler: p, ReadHeaderTimeout: 10 * time.Second}
	tasks.Add(1)
	go func() {
		defer tasks.Done()
		<-ctx.Done()
		over, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		_ = web.Shutdown(over) // who has not ended by then is cut off with the process
	}()
	err = web.Serve(l)
	cancel()
	tasks.Wait()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

type target struct {
	UID      string
	Endpoint string
	State    string
	BootMS   int64 `json:"boot_ms"`
}

type receivedList struct {
	Rev     int64
	All     bool
	Targets []target
}

type plain struct {
	flaw   string
	client *http.Transport

	mu           sync.Mutex
	servers      map[string]target
	order        []string
	turn         int
	rev          int64
	requestCount int
	leakedMemory [][]byte
	leakedFiles  []*os.File
}

func (p *plain) applyUpdate(l receivedList) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.flaw == "deaf" && len(p.servers) > 0 {
		return
	}
	if l.All {
		clear(p.servers)
	}
	for _, t := range l.Targets {
		if t.State == "SERVING" {
			p.servers[t.UID] = t
		} else {
			delete(p.servers, t.UID)
		}
	}
	p.rev, p.order = l.Rev, p.order[:0]
	for uid := range p.servers {
		p.order = append(p.order, uid)
	}
	slices.Sort(p.order)
}

// nextServer is the server whose turn it is; ok is false where none is known.
func (p *plain) nextServer() (t target, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.order) == 0 {
		return target{}, false
	}
	p.turn++
	t = p.servers[p.order[p.turn%len(p.order)]]
	if p.flaw == "rush" { // to whom was started last
		for _, other := range p.servers {
			if other.BootMS > t.BootMS {
				t = other
			}
		}
	}
	return t, true
}

// watchList watches the list, again whenever the watch ends.
func (p *plain) watchList(ctx context.Context, discovery string) {
	client := &http.Transport{DisableKeepAlives: true}
	for ctx.Err() == nil {
		p.mu.Lock()
		from := p.rev
		p.mu.Unlock()
		url := "http://" + discovery + "/v1/servers?watch=1&from=" + strconv.FormatInt(from, 10)
		if req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil); err == nil {
			if resp, err := client.RoundTrip(req); err == nil {
				lines := bufio.NewScanner(resp.Body)
				lines.Buffer(nil, 4<<20)
				for lines.Scan() {
					var l receivedList
					if len(lines.Bytes()) > 0 && json.Unmarshal(lines.Bytes(), &l) == nil {
						p.applyUpdate(l)
					}
				}
				resp.Body.Close()
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// reply is a server's answer.
type reply struct {
	status       int
	body         []byte
	notProcessed bool // it certainly did not run
}

// ServeHTTP implements http.Handler.
func (p *plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	ms, err := strconv.Atoi(r.Header.Get("X-Timeout-Ms"))
	if err != nil {
		http.Error(w, "no X-Timeout-Ms", http.StatusBadRequest)
		return
	}
	timeout := time.Duration(ms) * time.Millisecond
	ctx, cancel := context.WithTimeout(r.Context(), timeout*8/10)
	defer cancel()
	flawed := p.countRequest()
	if flawed && p.flaw == "mute" {
		<-r.Context().Done() // the client goes away
		return
	}
	var a reply
	if flawed && p.flaw == "hedge" && r.Method == http.MethodGet {
		a = p.sendHedged(ctx, r, body)
	} else {
		for range 2 {
			if a = p.sendAttempt(ctx, r, body); !a.notProcessed {
				break
			}
		}
	}
	if flawed && p.flaw == "duplicate" && a.status != 0 {
		a = p.sendAttempt(ctx, r, body)
	}
	if flawed && p.flaw == "late" {
		time.Sleep(timeout + 700*time.Millisecond)
	}
	switch {
	case a.status == 0 || a.notProcessed:
		w.Header().Set("Retry-After", "0.1")
		http.Error(w, "no server", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(a.status)
		_, _ = w.Write(a.body) // a client that has gone needs no answer
	}
}

const flawInterval = 20 // requests of which one meets the flaw

// countRequest counts a request and tells whether the flaw is due.
func (p *plain) countRequest() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requestCount++
	due := p.requestCount%flawInterval == 0
	switch {
	case !due:
	case p.flaw == "crash" && p.requestCount > 5*flawInterval:
		os.Exit(3)
	case p.flaw == "leak-memory":
		p.leakedMemory = append(p.leakedMemory, bytes.Repeat([]byte{1}, 16<<20))
	case p.flaw == "leak-descriptors":
		for range 40 {
			if f, err := os.Open(os.DevNull); err == nil {
				p.leakedFiles = append(p.leakedFiles, f)
			}
		}
	}
	return due
}

// sendAttempt makes one attempt.
func (p *plain) sendAttempt(ctx context.Context, r *http.Request, body []byte) reply {
	t, ok := p.nextServer()
	if !ok {
		return reply{notProcessed: true}
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+t.Endpoint+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return reply{notProcessed: true}
	}
	req.GetBody = nil // the transport must not send again by itself
	if len(body) == 0 {
		req.Body = nil
	}
	req.Header.Set("X-Request-ID", r.Header.Get("X-Request-ID"))
	req.Header.Set("X-Timeout-Ms", r.Header.Get("X-Timeout-Ms"))
	resp, err := p.client.RoundTrip(req)
	if err != nil {
		var dial *net.OpError
		return reply{status: http.StatusBadGateway, notProcessed: errors.As(err, &dial) && dial.Op == "dial"}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{status: http.StatusBadGateway}
	}
	return reply{resp.StatusCode, text, resp.Header.Get("X-Not-Processed") == "1"}
}

// sendHedged makes two attempts at once and takes the first answer.
func (p *plain) sendHedged(ctx context.Context, r *http.Request, body []byte) reply {
	answers := make(chan reply, 2)
	for range 2 {
		go func() { answers <- p.sendAttempt(ctx, r, body) }()
	}
	a := <-answers
	<-answers
	return a
}
