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

	"gradeusher.example/gradeusher/internal/sidecar/list"
)

// sidecarFlaw is what a plain sidecar does wrong, as commands name it. The zero value is nothing.
type sidecarFlaw string

const (
	sidecarCrash           sidecarFlaw = "crash"            // the process ends
	sidecarStale           sidecarFlaw = "deaf"             // it applies no update after the first
	sidecarDuplicate       sidecarFlaw = "duplicate"        // it sends an answered request again
	sidecarHedge           sidecarFlaw = "hedge"            // it makes two attempts at once
	sidecarLate            sidecarFlaw = "late"             // it answers after the deadline
	sidecarLeakDescriptors sidecarFlaw = "leak-descriptors" // it opens files and never closes them
	sidecarLeakMemory      sidecarFlaw = "leak-memory"      // it never frees memory
	sidecarMute            sidecarFlaw = "mute"             // it never answers
	sidecarRush            sidecarFlaw = "rush"             // it picks the server that started last
)

const (
	flawInterval       = 20               // requests, of which one meets the flaw
	requestsUntilCrash = 5 * flawInterval // at least
	leakBytes          = 16 << 20         // per request that meets the flaw
	leakDescriptors    = 40               // per request that meets the flaw
	crashExitCode      = 3
	lateBy             = 700 * time.Millisecond // after the deadline

	plainDialTimeout     = 250 * time.Millisecond
	plainIdleTimeout     = 5 * time.Second
	plainConnsPerServer  = 64 // that are kept idle
	plainHeadersTimeout  = 10 * time.Second
	plainShutdownTimeout = 3 * time.Second
	plainWatchRetry      = 200 * time.Millisecond // from the end of a watch to the next one
	maxListLineBytes     = 4 << 20
)

// Plain is the plainest sidecar that obeys the rules: round robin over the servers of the list, and one more attempt where the
// first was certainly not processed. Experiments compare with it, and with one flaw it is the control of a checker. It reads its
// configuration from the file that getenv names as PROXY_CONFIG, and ends when ctx is done.
func Plain(ctx context.Context, getenv func(string) string, flaw string) error {
	config, err := readPlainConfig(getenv("PROXY_CONFIG"))
	if err != nil {
		return err
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp4", config.Listen)
	if err != nil {
		return err
	}
	sidecar := &plain{flaw: sidecarFlaw(flaw), servers: map[string]listedServer{}, client: &http.Transport{
		MaxIdleConnsPerHost: plainConnsPerServer, IdleConnTimeout: plainIdleTimeout,
		DialContext: (&net.Dialer{Timeout: plainDialTimeout}).DialContext}}
	sidecar.applyUpdate(config.Known)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var tasks sync.WaitGroup
	tasks.Add(2)
	go func() {
		defer tasks.Done()
		sidecar.watchList(ctx, config.Discovery)
	}()
	web := &http.Server{Handler: sidecar, ReadHeaderTimeout: plainHeadersTimeout}
	go func() {
		defer tasks.Done()
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), plainShutdownTimeout)
		defer cancel()
		_ = web.Shutdown(shutdownCtx) // requests that have not ended by then end with the process
	}()
	err = web.Serve(listener)
	cancel()
	tasks.Wait()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// plainConfig is what a plain sidecar reads of the sidecars' configuration.
type plainConfig struct {
	Listen    string
	Discovery string
	Known     receivedList
}

// readPlainConfig reads a configuration, of which it ignores what a plain sidecar does not use.
func readPlainConfig(path string) (plainConfig, error) {
	var config plainConfig
	text, err := os.ReadFile(path)
	if err != nil {
		return config, fmt.Errorf("PROXY_CONFIG: %w", err)
	}
	if err := json.Unmarshal(text, &config); err != nil {
		return config, fmt.Errorf("%s: %w", path, err)
	}
	return config, nil
}

// listedServer is a server of the list.
type listedServer struct {
	UID      string
	Endpoint string
	State    list.State
	BootMS   int64 `json:"boot_ms"`
}

// receivedList is a line of the list: a snapshot, or changes.
type receivedList struct {
	Rev     int64
	All     bool
	Targets []listedServer
}

// plain is a plain sidecar. It is safe for concurrent use.
type plain struct {
	flaw   sidecarFlaw
	client *http.Transport

	mu           sync.Mutex
	servers      map[string]listedServer // those that serve, by UID
	order        []string                // their UIDs, sorted
	turn         int                     // of the round robin
	revision     int64
	requestCount int
	leakedMemory [][]byte
	leakedFiles  []*os.File
}

// applyUpdate applies a line of the list, unless the flaw keeps the sidecar from it.
func (p *plain) applyUpdate(received receivedList) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.flaw == sidecarStale && len(p.servers) > 0 {
		return
	}
	if received.All {
		clear(p.servers)
	}
	for _, server := range received.Targets {
		if server.State == list.Serving {
			p.servers[server.UID] = server
		} else {
			delete(p.servers, server.UID)
		}
	}
	p.revision, p.order = received.Rev, p.order[:0]
	for uid := range p.servers {
		p.order = append(p.order, uid)
	}
	slices.Sort(p.order)
}

// nextServer is the next server of the round robin; ok is false where none is known.
func (p *plain) nextServer() (next listedServer, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.order) == 0 {
		return listedServer{}, false
	}
	p.turn++
	next = p.servers[p.order[p.turn%len(p.order)]]
	if p.flaw == sidecarRush {
		for _, other := range p.servers {
			if other.BootMS > next.BootMS {
				next = other
			}
		}
	}
	return next, true
}

// watchList watches the list until ctx is done, and again whenever a watch ends.
func (p *plain) watchList(ctx context.Context, discovery string) {
	client := &http.Transport{DisableKeepAlives: true}
	for ctx.Err() == nil {
		p.watchOnce(ctx, client, discovery)
		select {
		case <-ctx.Done():
		case <-time.After(plainWatchRetry):
		}
	}
}

// watchOnce applies the updates of one watch until that ends.
func (p *plain) watchOnce(ctx context.Context, client *http.Transport, discovery string) {
	p.mu.Lock()
	from := p.revision
	p.mu.Unlock()
	url := "http://" + discovery + "/v1/servers?watch=1&from=" + strconv.FormatInt(from, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return
	}
	resp, err := client.RoundTrip(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }() // the watch has ended
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxListLineBytes)
	for lines.Scan() {
		var received receivedList
		if len(lines.Bytes()) > 0 && json.Unmarshal(lines.Bytes(), &received) == nil {
			p.applyUpdate(received)
		}
	}
}

// reply is a server's answer, or the lack of one.
type reply struct {
	status       int // 0: no attempt was made
	body         []byte
	notProcessed bool // the server certainly did not process the request
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
	timeoutMS, err := strconv.Atoi(r.Header.Get("X-Timeout-Ms"))
	if err != nil {
		http.Error(w, "no X-Timeout-Ms", http.StatusBadRequest)
		return
	}
	timeout := time.Duration(timeoutMS) * time.Millisecond
	ctx, cancel := context.WithTimeout(r.Context(), timeout*8/10) // leaves the client time for the answer
	defer cancel()
	flaw := p.countRequest()
	if flaw == sidecarMute {
		<-r.Context().Done() // until the client hangs up
		return
	}
	answer := p.sendWithFlaw(ctx, r, body, flaw)
	if flaw == sidecarLate {
		time.Sleep(timeout + lateBy)
	}
	if answer.status == 0 || answer.notProcessed {
		w.Header().Set("Retry-After", "0.1")
		http.Error(w, "no server", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(answer.status)
	_, _ = w.Write(answer.body) // a client that has gone needs no answer
}

// countRequest counts a request and returns the flaw that it meets, if any.
func (p *plain) countRequest() sidecarFlaw {
	p.mu.Lock()
	p.requestCount++
	count := p.requestCount
	p.mu.Unlock()
	if count%flawInterval != 0 {
		return ""
	}
	switch p.flaw {
	case sidecarCrash:
		if count > requestsUntilCrash {
			os.Exit(crashExitCode)
		}
	case sidecarLeakMemory:
		p.leakMemory()
	case sidecarLeakDescriptors:
		p.leakDescriptors()
	}
	return p.flaw
}

// leakMemory allocates and writes memory that it never frees.
func (p *plain) leakMemory() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leakedMemory = append(p.leakedMemory, bytes.Repeat([]byte{1}, leakBytes))
}

// leakDescriptors opens files that it never closes.
func (p *plain) leakDescriptors() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range leakDescriptors {
		if file, err := os.Open(os.DevNull); err == nil {
			p.leakedFiles = append(p.leakedFiles, file)
		}
	}
}

// sendWithFlaw sends a request as the rules allow, or with the flaw hedge or duplicate as they do not.
func (p *plain) sendWithFlaw(ctx context.Context, r *http.Request, body []byte, flaw sidecarFlaw) reply {
	var answer reply
	if flaw == sidecarHedge && r.Method == http.MethodGet {
		answer = p.sendHedged(ctx, r, body)
	} else {
		answer = p.sendRetried(ctx, r, body)
	}
	if flaw == sidecarDuplicate && answer.status != 0 {
		answer = p.sendAttempt(ctx, r, body)
	}
	return answer
}

// sendRetried makes an attempt, and a second one if the first was not processed.
func (p *plain) sendRetried(ctx context.Context, r *http.Request, body []byte) reply {
	answer := p.sendAttempt(ctx, r, body)
	if answer.notProcessed {
		answer = p.sendAttempt(ctx, r, body)
	}
	return answer
}

// sendHedged makes two attempts at once, waits for both and returns the first answer.
func (p *plain) sendHedged(ctx context.Context, r *http.Request, body []byte) reply {
	answers := make(chan reply, 2)
	for range 2 {
		go func() { answers <- p.sendAttempt(ctx, r, body) }()
	}
	first := <-answers
	<-answers
	return first
}

// sendAttempt makes one attempt.
func (p *plain) sendAttempt(ctx context.Context, r *http.Request, body []byte) reply {
	server, ok := p.nextServer()
	if !ok {
		return reply{notProcessed: true}
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+server.Endpoint+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return reply{notProcessed: true}
	}
	req.GetBody = nil // the transport must not retry by itself
	if len(body) == 0 {
		req.Body = nil
	}
	req.Header.Set("X-Request-ID", r.Header.Get("X-Request-ID"))
	req.Header.Set("X-Timeout-Ms", r.Header.Get("X-Timeout-Ms"))
	resp, err := p.client.RoundTrip(req)
	if err != nil {
		var failed *net.OpError
		return reply{status: http.StatusBadGateway, notProcessed: errors.As(err, &failed) && failed.Op == "dial"}
	}
	defer func() { _ = resp.Body.Close() }() // it was read, or failed
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{status: http.StatusBadGateway}
	}
	return reply{resp.StatusCode, text, resp.Header.Get("X-Not-Processed") == "1"}
}
