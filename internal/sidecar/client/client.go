// Package client is how sidecars, the command and the lab talk to keepers: which one is asked, when it is asked again, and
// what is held while none answers.
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
	"net/url"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"gradeusher.example/gradeusher/internal/sidecar/list"
)

// Times of one try at one keeper.
const (
	connectTimeout = time.Second
	attemptTimeout = 2500 * time.Millisecond // longer than a keeper waits for agreement, so that it is the keeper who says what became of it
	minBackoff     = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
	maxAnswerBytes = 256 << 20 // bytes; a backup
)

// ErrUncertain is a write whose outcome is not known: it may have been done, and may yet be.
var ErrUncertain = errors.New("the outcome is unknown")

// RefusedError is a call that a keeper understood and did not do. Nothing of it was applied.
type RefusedError struct {
	Status   int
	Code     string `json:"code"`
	Reason   string `json:"reason"`
	Revision int64  `json:"rev"`
}

func (e *RefusedError) Error() string { return e.Reason }

// Client calls keepers. It is safe for concurrent use.
type Client struct {
	addresses []string
	http      *http.Client
	next      atomic.Int64 // which keeper is asked first: the one that answered last
}

// New is a client of keepers, by address. Errors tell which is none.
func New(keepers []string) (*Client, error) {
	if err := checkAddresses(keepers); err != nil {
		return nil, err
	}
	c := &Client{addresses: keepers, http: &http.Client{
		Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: connectTimeout}).DialContext, DisableCompression: true, MaxIdleConnsPerHost: 64,
			IdleConnTimeout: 30 * time.Second},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
	c.next.Store(rand.Int64N(int64(len(keepers))))
	return c, nil
}

func checkAddresses(keepers []string) error {
	if len(keepers) == 0 {
		return errors.New("no keeper is named")
	}
	for i, k := range keepers {
		if err := list.CheckAddress(k); err != nil {
			return fmt.Errorf("keeper: %w", err)
		}
		if slices.Contains(keepers[:i], k) {
			return fmt.Errorf("keeper %s is named twice", k)
		}
	}
	return nil
}

// Close lets go of idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Addresses are the addresses.
func (c *Client) Addresses() []string { return c.addresses }

// request is one request, wherever it is answered.
type request struct {
	method, path  string
	body          any
	notIdempotent bool // a second time might do something else than the first: not sent again when its outcome is unknown
	rawBody       []byte
	timeout       time.Duration // of one try; 0: attemptTimeout
}

// do makes a call until a keeper has done or refused it, or ctx is done. Keepers that are not leaders, are crowded or are
// gone are passed over, with pauses that grow and are drawn, so that many clients do not come again together.
func (c *Client) do(ctx context.Context, q request, into any) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval, pause.RandomizationFactor = minBackoff, maxBackoff, 0.5
	var last error
	for n := 0; ; n++ {
		i := c.next.Load()
		after, err := c.attempt(ctx, c.addresses[i%int64(len(c.addresses))], q, into)
		var refused *RefusedError
		switch {
		case err == nil:
			return nil
		case errors.As(err, &refused) && refused.Status != http.StatusServiceUnavailable:
			return err
		case errors.Is(err, ErrUncertain) && q.notIdempotent:
			return err
		}
		if ctx.Err() == nil || last == nil {
			last = err
		}
		c.next.CompareAndSwap(i, (i+1)%int64(len(c.addresses)))
		wait := time.Duration(0)
		if (n+1)%len(c.addresses) == 0 { // all were asked
			wait = max(pause.NextBackOff(), after)
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return fmt.Errorf("no keeper did it: %w", last)
		}
	}
}

// attempt makes a call at one keeper. after is how long it wants to be left alone.
func (c *Client) attempt(ctx context.Context, keeper string, q request, into any) (after time.Duration, err error) {
	patience := q.timeout
	if patience == 0 {
		patience = attemptTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	body := q.rawBody
	if q.body != nil {
		if body, err = json.Marshal(q.body); err != nil {
			return 0, fmt.Errorf("call: %w", err)
		}
	}
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+keeper+q.path, bytes.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("call: %w", err)
	}
	resp, err := c.http.Do(req)
	var dial *net.OpError
	switch {
	case errors.As(err, &dial) && dial.Op == "dial":
		return 0, fmt.Errorf("keeper %s: %w", keeper, err)
	case err != nil:
		return 0, fmt.Errorf("keeper %s: %w: %w", keeper, ErrUncertain, err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return 0, fmt.Errorf("keeper %s: %w: %w", keeper, ErrUncertain, err)
	}
	if resp.StatusCode/100 == 2 {
		if raw, ok := into.(*[]byte); ok {
			*raw = text
			return 0, nil
		}
		if into != nil {
			if err := json.Unmarshal(text, into); err != nil {
				return 0, fmt.Errorf("keeper %s: %w: %w", keeper, ErrUncertain, err)
			}
		}
		return 0, nil
	}
	r := &RefusedError{Status: resp.StatusCode}
	if err := json.Unmarshal(text, r); err != nil || r.Reason == "" {
		r.Reason = fmt.Sprintf("status %d", resp.StatusCode)
	}
	if resp.StatusCode >= 500 && resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusInsufficientStorage {
		return 0, fmt.Errorf("keeper %s: %w: %s", keeper, ErrUncertain, r.Reason)
	}
	return retryAfter(resp.Header), fmt.Errorf("keeper %s: %w", keeper, r)
}

// retryAfter reads the header, in seconds, whole or decimal; 0: it says nothing that makes sense.
func retryAfter(h http.Header) time.Duration {
	s, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || !(s > 0 && s < 60) {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}

// Entry is a server with what keepers know of it.
type Entry struct {
	list.Target
	LeaseMS  int64  `json:"lease_ms,omitempty"`
	Revision int64  `json:"rev"`
	Reason   string `json:"why,omitempty"`
}

// Result is what became of a write.
type Result struct {
	Revision int64  `json:"rev"` // of the entry
	Cluster  string `json:"cluster"`
	Server   *Entry `json:"server,omitempty"`
}

// List is the whole list. exact: with every write that was acknowledged before the call.
func (c *Client) List(ctx context.Context, exact bool) (list.List, error) {
	path := "/v1/servers"
	if exact {
		path += "?exact=1"
	}
	var text []byte
	if err := c.do(ctx, request{method: http.MethodGet, path: path}, &text); err != nil {
		return list.List{}, err
	}
	return list.Parse(text)
}

// Server is one entry, with every write that was acknowledged before the call. It tells false where there is none.
func (c *Client) Server(ctx context.Context, uid string) (e Entry, ok bool, err error) {
	var d Result
	err = c.do(ctx, request{method: http.MethodGet, path: "/v1/servers/" + url.PathEscape(uid)}, &d)
	var refused *RefusedError
	if errors.As(err, &refused) && refused.Status == http.StatusNotFound {
		return e, false, nil
	}
	if err != nil || d.Server == nil {
		return e, false, err
	}
	return *d.Server, true, nil
}

// Register puts servers on the list, all or none. expect, if not nil, is the revision that the one server's entry must have;
// 0: it must not be there. Errors are *Refused, ErrUncertain where expect is given, or ctx's with the last cause.
func (c *Client) Register(ctx context.Context, servers []list.Registration, expect *int64) (d Result, err error) {
	err = c.do(ctx, request{method: http.MethodPost, path: "/v1/servers", notIdempotent: expect != nil,
		body: map[string]any{"servers": servers, "expect": expect}}, &d)
	return d, err
}

// Action is what Change does to a server.
type Action string

// What can be done to a server.
const (
	Drain      Action = "drain" // it gets no new work
	Serve      Action = "serve" // it does again
	Deregister Action = "leave" // it is gone
)

// Change drains a server, has it serve again, or removes it. expect is as with Register.
func (c *Client) Change(ctx context.Context, turn Action, uid string, expect *int64) (d Result, err error) {
	q := request{method: http.MethodPost, path: "/v1/servers/" + url.PathEscape(uid) + "/" + string(turn), notIdempotent: expect != nil}
	if turn == Deregister {
		q.method, q.path = http.MethodDelete, "/v1/servers/"+url.PathEscape(uid)
	}
	if expect != nil {
		q.path += "?expect=" + strconv.FormatInt(*expect, 10)
	}
	err = c.do(ctx, q, &d)
	return d, err
}

// Renewal is a lease that goes on.
type Renewal struct {
	UID    string `json:"uid"`
	BootMS int64  `json:"boot_ms"`
}

// Renew has leases begin anew, and returns those that cannot: they have to register again.
func (c *Client) Renew(ctx context.Context, all []Renewal) (unknown []string, err error) {
	var a struct {
		Unknown []string `json:"unknown"`
	}
	err = c.do(ctx, request{method: http.MethodPost, path: "/v1/renew", body: map[string]any{"renewals": all}}, &a)
	return a.Unknown, err
}

// Status asks each keeper for its own, into what New gives; the errors of those that did not answer are by address.
func Status[T any](ctx context.Context, c *Client) (all map[string]T, failed map[string]error) {
	all, failed = map[string]T{}, map[string]error{}
	type one struct {
		keeper string
		status T
		err    error
	}
	answers := make(chan one, len(c.addresses))
	for _, k := range c.addresses {
		go func() {
			o := one{keeper: k}
			_, o.err = c.attempt(ctx, k, request{method: http.MethodGet, path: "/v1/status", timeout: 2 * time.Second}, &o.status)
			answers <- o
		}()
	}
	for range c.addresses {
		o := <-answers
		if o.err != nil {
			failed[o.keeper] = o.err
		} else {
			all[o.keeper] = o.status
		}
	}
	return all, failed
}

// Backup is the whole state as a file. exact: as of the leader now; without, any keeper's, also when no majority is left.
func (c *Client) Backup(ctx context.Context, exact bool) (text []byte, err error) {
	path := "/v1/backup"
	if exact {
		path += "?exact=1"
	}
	err = c.do(ctx, request{method: http.MethodGet, path: path, timeout: time.Minute}, &text)
	return text, err
}

// Restore replaces the state of all keepers by a backup.
func (c *Client) Restore(ctx context.Context, backup []byte) (d Result, err error) {
	err = c.do(ctx, request{method: http.MethodPost, path: "/v1/restore", rawBody: backup, notIdempotent: true, timeout: time.Minute}, &d)
	return d, err
}

// RemoveNode takes a keeper out of the cluster.
func (c *Client) RemoveNode(ctx context.Context, name string) error {
	return c.do(ctx, request{method: http.MethodDelete, path: "/v1/keepers/" + url.PathEscape(name), notIdempotent: true, timeout: 20 * time.Second}, nil)
}
