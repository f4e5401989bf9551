package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	callTimeout = time.Second // of silence, after which a caller goes on to another node
	firstPause  = 100 * time.Millisecond
	maxPause    = time.Second
	maxOther4xx = 3
)

// record is the file for what was sent and answered. It is safe for concurrent use.
type record struct {
	began time.Time
	mu    sync.Mutex
	file  *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{began: time.Now(), file: file}, err
}

func (r *record) printf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%7.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

func (r *record) close() { _ = r.file.Close() }

// order is one order of the operator.
type order struct {
	path, base, body string
	within           time.Duration // it is sent again for so long
}

// operator calls the control addresses as PROTOCOL.md says.
type operator struct {
	addresses []string
	next      int
	log       *record
}

// send sends an order until it is answered with a 2xx, or with a 4xx that ends it, and returns the last status, 0 for silence.
func (o *operator) send(ctx context.Context, wanted order) (status int) {
	deadline, pause, other4xx := time.Now().Add(wanted.within), firstPause, 0
	for time.Now().Before(deadline) && ctx.Err() == nil {
		status, _ = o.call(ctx, http.MethodPost, wanted)
		switch {
		case status >= 200 && status < 300:
			return status
		case status == 400 || status == 409 || status == 412 || status == 413 || status == 422:
			return status
		case status >= 400 && status < 500 && status != 408 && status != 429:
			if other4xx++; other4xx == maxOther4xx {
				return status
			}
		}
		o.next++
		sleep(ctx, pause)
		pause = min(2*pause, maxPause)
	}
	return status
}

// read asks for the configuration, again and again, until it comes or the time is over.
func (o *operator) read(ctx context.Context, within time.Duration) (status int, body string) {
	for deadline := time.Now().Add(within); time.Now().Before(deadline) && ctx.Err() == nil; o.next++ {
		if status, body = o.call(ctx, http.MethodGet, order{path: "/Config.Read"}); status == http.StatusOK {
			break
		}
		sleep(ctx, maxPause/2)
	}
	return status, body
}

// call makes one call at the node whose turn it is.
func (o *operator) call(ctx context.Context, method string, wanted order) (status int, body string) {
	address := o.addresses[o.next%len(o.addresses)]
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+wanted.path, strings.NewReader(wanted.body))
	if err != nil {
		o.log.printf("%s %s at %s: %v", method, wanted.path, address, err)
		return 0, ""
	}
	if wanted.base != "" {
		request.Header.Set("X-Base-Version", wanted.base)
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		o.log.printf("%s %s at %s: no answer (%v)", method, wanted.path, address, err)
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		o.log.printf("%s %s at %s: broken off", method, wanted.path, address)
		return 0, ""
	}
	o.log.printf("%s %s at %s: %d %s", method, wanted.path, address, response.StatusCode, content)
	return response.StatusCode, string(content)
}
