package platform

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fastjson"
	"golang.org/x/sys/unix"

	"gradeusher.example/gradeusher/internal/framing"
)

// The kinds of errors of List. Test for them with errors.Is.
var (
	ErrRateLimited = errors.New("platform: more calls than its rate accepts") // a *RateError: RetryAfter gives its hint
	ErrMalformed   = errors.New("platform: an answer that is no list")        // also one that is too large, or has no end
	ErrUnreachable = errors.New("platform: not reached in time")
)

// RateError is the platform's 429.
type RateError struct {
	After time.Duration // the platform's own hint; 0: it gave none
}

// Error names the remedy.
func (e *RateError) Error() string {
	return "the platform answered 429: call less often, next after " + e.After.String()
}

// Is makes every RateError one of the kind ErrRateLimited.
func (e *RateError) Is(target error) bool { return target == ErrRateLimited }

// RetryAfter gives the hint of a refusal for its rate, 0 where there is none.
func RetryAfter(err error) time.Duration {
	var r *RateError
	if errors.As(err, &r) {
		return r.After
	}
	return 0
}

// The bounds of a list.
const (
	maxBody  = 8 << 20  // bytes of one page
	maxHead  = 64 << 10 // bytes of an answer's head
	maxPages = 100
)

// Options are those of a Client.
type Options struct {
	Address string        // host:port of the platform's list
	Timeout time.Duration // of one call; 0: 1 s
}

// Client reads the platform's list. It may be used by many goroutines.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
	calls   atomic.Uint64
}

// NewClient makes a client that connects when it is first asked.
func NewClient(o Options) *Client {
	if o.Timeout <= 0 {
		o.Timeout = time.Second
	}
	dialer := net.Dialer{Timeout: 500 * time.Millisecond, Control: userTimeout}
	return &Client{
		base:    "http://" + strings.TrimSuffix(strings.TrimPrefix(o.Address, "http://"), "/") + "/instances",
		timeout: o.Timeout,
		http: &http.Client{
			Transport: &http.Transport{
				DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
					conn, err := dialer.DialContext(ctx, network, address)
					if err != nil {
						return nil, err
					}
					return framing.NewServerConn(conn, maxHead), nil // no surplus answer becomes that of the next call
				},
				DisableCompression:     true,
				MaxIdleConns:           2,
				MaxIdleConnsPerHost:    2,
				IdleConnTimeout:        30 * time.Second,
				MaxResponseHeaderBytes: maxHead,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// userTimeout has the kernel give up a connection whose packets nobody acknowledges, as across a silent cut.
func userTimeout(_, _ string, c syscall.RawConn) error {
	var set error
	if err := c.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, 1000)
	}); err != nil {
		return err
	}
	return set
}

// Calls is how many calls were sent to the platform so far.
func (c *Client) Calls() uint64 { return c.calls.Load() }

// Close ends the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// answered is when a page of the list had come, and how many instances had come with it and the pages before.
type answered struct {
	at   time.Time
	upTo int
}

// countDown has all cold states of a list count from when the last page had come.
func countDown(list []Instance, pages []answered) {
	last := pages[len(pages)-1].at
	first := 0
	for _, page := range pages {
		for i := first; i < page.upTo; i++ {
			list[i].WarmUpLeft = max(0, list[i].WarmUpLeft-last.Sub(page.at))
		}
		first = page.upTo
	}
}

// List gives the servers of a zone, or of all zones where it is empty, sorted by id, with their cold states as of the last page.
// It is whole or an error of the kinds ErrRateLimited, ErrMalformed or ErrUnreachable: never a part. Each page has the client's timeout; ctx
// bounds them together.
func (c *Client) List(ctx context.Context, zone string) ([]Instance, error) {
	var (
		list   []Instance
		buf    bytes.Buffer
		parser fastjson.Parser
		token  string
		in     = interner{}
		pages  []answered
	)
	for range maxPages {
		if err := c.page(ctx, zone, token, &buf); err != nil {
			return nil, err
		}
		var (
			next string
			err  error
		)
		at := time.Now()
		if list, next, err = parsePage(&parser, buf.Bytes(), in, list); err != nil {
			return nil, err
		}
		pages = append(pages, answered{at: at, upTo: len(list)})
		switch next {
		case "":
			countDown(list, pages)
			return normalize(list), nil
		case token:
			return nil, errors.Mark(errors.Newf("the platform's page %q names itself as the next: ask again", token), ErrMalformed)
		}
		token = next
	}
	return nil, errors.Mark(errors.Newf("the platform's list has more than %d pages: poll it by zone", maxPages), ErrMalformed)
}

func (c *Client) page(ctx context.Context, zone, token string, buf *bytes.Buffer) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	query := url.Values{}
	if zone != "" {
		query.Set("zone", zone)
	}
	if token != "" {
		query.Set("page_token", token)
	}
	target := c.base
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	resp, reused, err := c.send(ctx, target)
	if err != nil {
		// The connection may be one that a cut has silenced, or that the platform has closed: the next call takes a new one.
		c.http.CloseIdleConnections()
		if reused && ctx.Err() == nil {
			resp, _, err = c.send(ctx, target)
		}
	}
	if err != nil {
		c.http.CloseIdleConnections()
		return errors.Mark(errors.Wrap(err, "the platform's list was not reached: keep the old list and ask again"), ErrUnreachable)
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusTooManyRequests:
		_, _ = io.CopyN(io.Discard, resp.Body, 4<<10)
		return &RateError{After: retryAfter(resp.Header.Get("Retry-After"))}
	case resp.StatusCode != http.StatusOK:
		_, _ = io.CopyN(io.Discard, resp.Body, 4<<10)
		return errors.Mark(errors.Newf("the platform answered %d: keep the old list and ask again", resp.StatusCode), ErrUnreachable)
	}
	buf.Reset()
	n, err := buf.ReadFrom(io.LimitReader(resp.Body, maxBody+1))
	switch {
	case err != nil:
		return errors.Mark(errors.Wrap(err, "the platform's answer broke off: keep the old list and ask again"), ErrUnreachable)
	case n > maxBody:
		return errors.Mark(errors.Newf("a page of the platform's list has more than %d bytes: poll it by zone", maxBody), ErrMalformed)
	}
	return nil
}

// send makes one call and counts it, and tells whether it went out on a connection that was used before.
func (c *Client) send(ctx context.Context, target string) (resp *http.Response, reused bool, err error) {
	trace := &httptrace.ClientTrace{GotConn: func(got httptrace.GotConnInfo) { reused = got.Reused }}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodGet, target, nil)
	if err != nil {
		return nil, false, errors.Wrap(err, "the platform's address is no host:port: check cloud_api.address")
	}
	sendOnce(r)
	c.calls.Add(1)
	resp, err = c.http.Do(r)
	return resp, reused, err
}

// sendOnce keeps http.Transport from sending a request without a body a second time when a reused connection breaks before
// an answer: the call would count twice against the platform's rate, and Calls would not know. The transport repeats no
// request that has a body and no GetBody, so an empty one is given, and "identity" keeps it from being announced.
func sendOnce(r *http.Request) {
	r.Body, r.GetBody, r.TransferEncoding = io.NopCloser(strings.NewReader("")), nil, []string{"identity"}
}

// retryAfter reads seconds, fractions included, and holds them to a minute.
func retryAfter(value string) time.Duration {
	s, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || !(s > 0) {
		return 0
	}
	return time.Duration(min(s, 60) * float64(time.Second))
}
