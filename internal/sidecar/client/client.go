// Package client is how sidecars, the command and the test cluster use the registry: calls that are retried over its nodes (Client), and
// copies of the list, of the route table and of a process's roles that are kept up to date by watches (ListSubscriber, RouteSubscriber,
// WatchRoles).
//
// Terms: a node is a registry node; a watch is a call whose answer goes on, a line of JSON for each change; the age of an answer is how long
// ago the node last knew itself up to date.
//
// The rules by which an answer replaces what a subscriber has are free of I/O and clocks: Reader for the list, RouteState for the route
// table. Both never go back in the revisions of a cluster.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"gradeusher.example/gradeusher/internal/sidecar/list"
)

const (
	connectTimeout = time.Second
	attemptTimeout = 2500 * time.Millisecond // of one attempt; longer than a node waits for a majority, so that the node answers what became of it
	minBackoff     = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
	maxRetryAfter  = time.Minute // a header that says more is ignored
	maxAnswerBytes = 256 << 20   // a backup is the longest
)

// ErrUncertain is wrapped where the outcome of a write is not known: it may have been applied, and may yet be.
var ErrUncertain = errors.New("the outcome is unknown")

// RefusedError is a call that a node understood and did not do. Nothing of it was applied.
type RefusedError struct {
	Status   int    // HTTP status
	Code     string `json:"code"` // as state.Code, or of the node
	Reason   string `json:"reason"`
	Revision int64  `json:"rev"` // of the list on the node
}

func (e *RefusedError) Error() string { return e.Reason }

// Client calls registry nodes. It is safe for concurrent use.
type Client struct {
	addresses []string
	http      *http.Client
	next      atomic.Int64 // index of the node that is called first: the one that answered last
}

// New returns a client of registry nodes, by address. The error says which address is invalid or repeated. The caller closes the client.
func New(addresses []string) (*Client, error) {
	if err := checkAddresses(addresses); err != nil {
		return nil, err
	}
	c := &Client{addresses: addresses, http: &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
			DisableCompression:  true,
			MaxIdleConnsPerHost: 64,
			IdleConnTimeout:     30 * time.Second,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
	c.next.Store(rand.Int64N(int64(len(addresses))))
	return c, nil
}

func checkAddresses(addresses []string) error {
	if len(addresses) == 0 {
		return errors.New("no keeper is named")
	}
	for i, address := range addresses {
		if err := list.CheckAddress(address); err != nil {
			return fmt.Errorf("keeper: %w", err)
		}
		if slices.Contains(addresses[:i], address) {
			return fmt.Errorf("keeper %s is named twice", address)
		}
	}
	return nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Addresses returns the addresses of the nodes. The caller must not change the slice.
func (c *Client) Addresses() []string { return c.addresses }

// request is one call, whichever node answers it.
type request struct {
	method, path  string
	body          any           // encoded as JSON; nil: rawBody
	rawBody       []byte        // nil: none
	notIdempotent bool          // a repeated call might do something else: it is not retried where its outcome is unknown
	timeout       time.Duration // of one attempt; 0: attemptTimeout
}

// do makes a call until a node has done or refused it, or ctx is done. It passes over nodes that do not lead, are overloaded or do not
// answer, and once all were called waits with an exponential backoff and jitter, so that clients do not retry together. into is what the
// answer is decoded into, a *[]byte for the answer itself, or nil.
//
// Errors are a *RefusedError, ErrUncertain where the call is not idempotent, or wrap the last cause when ctx is done.
func (c *Client) do(ctx context.Context, q request, into any) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval, pause.RandomizationFactor = minBackoff, maxBackoff, 0.5
	var lastErr error
	for attempts := 1; ; attempts++ {
		index := c.next.Load()
		retryAfter, err := c.attempt(ctx, c.addresses[index%int64(len(c.addresses))], q, into)
		if err == nil || isFinal(err, q) {
			return err
		}
		if ctx.Err() == nil || lastErr == nil {
			lastErr = err
		}
		c.next.CompareAndSwap(index, (index+1)%int64(len(c.addresses)))
		wait := time.Duration(0)
		if attempts%len(c.addresses) == 0 { // all nodes were called
			wait = max(pause.NextBackOff(), retryAfter)
		}
		if !sleep(ctx, wait) {
			return fmt.Errorf("no keeper did it: %w", lastErr)
		}
	}
}

// isFinal tells whether a call must not be retried after an error.
func isFinal(err error, q request) bool {
	var refused *RefusedError
	if errors.As(err, &refused) && refused.Status != http.StatusServiceUnavailable {
		return true
	}
	return q.notIdempotent && errors.Is(err, ErrUncertain)
}

// sleep waits for a time, and returns false where ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// attempt makes a call at one node. retryAfter is how long the node asks not to be called.
func (c *Client) attempt(ctx context.Context, address string, q request, into any) (retryAfter time.Duration, err error) {
	timeout := q.timeout
	if timeout == 0 {
		timeout = attemptTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := q.build(ctx, address)
	if err != nil {
		return 0, fmt.Errorf("call: %w", err)
	}
	resp, err := c.http.Do(req)
	var opErr *net.OpError
	switch {
	case errors.As(err, &opErr) && opErr.Op == "dial": // the node cannot have received the call
		return 0, fmt.Errorf("keeper %s: %w", address, err)
	case err != nil:
		return 0, uncertain(address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return 0, uncertain(address, err)
	}
	if resp.StatusCode/100 != 2 {
		err := refusalError(address, resp.StatusCode, text)
		if errors.Is(err, ErrUncertain) {
			return 0, err
		}
		return parseRetryAfter(resp.Header), err
	}
	if err := decodeAnswer(text, into); err != nil {
		return 0, uncertain(address, err)
	}
	return 0, nil
}

func (q *request) build(ctx context.Context, address string) (*http.Request, error) {
	body := q.rawBody
	if q.body != nil {
		var err error
		if body, err = json.Marshal(q.body); err != nil {
			return nil, err
		}
	}
	return http.NewRequestWithContext(ctx, q.method, "http://"+address+q.path, bytes.NewReader(body))
}

func uncertain(address string, cause error) error {
	return fmt.Errorf("keeper %s: %w: %w", address, ErrUncertain, cause)
}

func decodeAnswer(text []byte, into any) error {
	if raw, ok := into.(*[]byte); ok {
		*raw = text
		return nil
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(text, into)
}

// refusalError returns the error for an answer without success. A server error other than a refusal for now or for good leaves the outcome
// unknown.
func refusalError(address string, status int, text []byte) error {
	refused := &RefusedError{Status: status}
	if err := json.Unmarshal(text, refused); err != nil || refused.Reason == "" {
		refused.Reason = fmt.Sprintf("status %d", status)
	}
	notApplied := status < 500 || status == http.StatusServiceUnavailable || status == http.StatusInsufficientStorage
	if !notApplied {
		return fmt.Errorf("keeper %s: %w: %s", address, ErrUncertain, refused.Reason)
	}
	return fmt.Errorf("keeper %s: %w", address, refused)
}

// parseRetryAfter reads the header Retry-After, in seconds with or without decimals; 0: it is missing or out of bounds.
func parseRetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0 && seconds < maxRetryAfter.Seconds()) {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
