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
	"gradeusher.example/gradeusher/internal/system/defaults"
)

// The kinds of errors of List, for errors.Is.
var (
	ErrRateLimited = errors.New("platform: call rate limit exceeded")                // a *RateError; RetryAfter returns its hint
	ErrMalformed   = errors.New("platform: the response is not a valid server list") // or it is too long
	ErrUnreachable = errors.New("platform: no response in time")
)

// RateError is returned if the platform rejected a call because of its rate limit (status 429). It matches ErrRateLimited.
type RateError struct {
	After time.Duration // the platform's Retry-After hint; 0: there was none
}

// Error returns the failure and its remedy.
func (e *RateError) Error() string {
	return "the platform responded with status 429: call less often, next after " + e.After.String()
}

// Is makes every RateError match ErrRateLimited.
func (e *RateError) Is(target error) bool { return target == ErrRateLimited }

// RetryAfter returns the hint of a RateError, or 0 if err is not a RateError or has no hint.
func RetryAfter(err error) time.Duration {
	var r *RateError
	if errors.As(err, &r) {
		return r.After
	}
	return 0
}

// Size limits of a list.
const (
	maxPageBytes   = 8 << 20
	maxHeaderBytes = 64 << 10 // of a response
	maxErrorBytes  = 4 << 10  // read from an error response
	maxPages       = 100
)

// Options configure a Client.
type Options struct {
	Address string        // host:port of the platform's list
	Timeout time.Duration // per page; 0: 1 s
}

// Client reads the platform's server list. It is safe for concurrent use.
type Client struct {
	listURL string
	timeout time.Duration
	client  *http.Client
	calls   atomic.Uint64
}

// NewClient returns a client, which connects on its first request.
func NewClient(options Options) *Client {
	options.Timeout = defaults.IfNotPositive(options.Timeout, time.Second)
	dialer := net.Dialer{Timeout: 500 * time.Millisecond, Control: setUserTimeout}
	return &Client{
		listURL: "http://" + strings.TrimSuffix(strings.TrimPrefix(options.Address, "http://"), "/") + "/instances",
		timeout: options.Timeout,
		client: &http.Client{
			Transport: &http.Transport{
				DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
					conn, err := dialer.DialContext(ctx, network, address)
					if err != nil {
						return nil, err
					}
					return framing.NewServerConn(conn, maxHeaderBytes), nil // so that surplus bytes after a response are not read as the next one
				},
				DisableCompression:     true,
				MaxIdleConns:           2,
				MaxIdleConnsPerHost:    2,
				IdleConnTimeout:        30 * time.Second,
				MaxResponseHeaderBytes: maxHeaderBytes,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// setUserTimeout makes the kernel close a connection whose packets are not acknowledged for one second, as in a network partition.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var set error
	if err := c.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, 1000)
	}); err != nil {
		return err
	}
	return set
}

// Calls returns the number of requests sent so far.
func (c *Client) Calls() uint64 { return c.calls.Load() }

// Close closes the idle connections.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// pageArrival holds when a page arrived and the number of instances in the list after it.
type pageArrival struct {
	at        time.Time
	instances int
}

// ageWarmUps adjusts the remaining warm-up times of a list so that all are relative to the arrival of the last page.
func ageWarmUps(list []Instance, pages []pageArrival) {
	last := pages[len(pages)-1].at
	first := 0
	for _, page := range pages {
		for i := first; i < page.instances; i++ {
			list[i].WarmUpLeft = max(0, list[i].WarmUpLeft-last.Sub(page.at))
		}
		first = page.instances
	}
}

// List returns the servers of a zone, or of all zones where it is empty, sorted by id, with warm-up times relative to the arrival of the
// last page. It returns either the complete list or an error that matches ErrRateLimited, ErrMalformed or ErrUnreachable. The client's
// timeout applies to each page; ctx bounds all pages together.
func (c *Client) List(ctx context.Context, zone string) ([]Instance, error) {
	var (
		list   []Instance
		page   bytes.Buffer
		parser fastjson.Parser
		token  string
		shared = interner{}
		pages  []pageArrival
	)
	for range maxPages {
		if err := c.fetchPage(ctx, zone, token, &page); err != nil {
			return nil, err
		}
		var (
			next string
			err  error
		)
		at := time.Now()
		if list, next, err = parsePage(&parser, page.Bytes(), shared, list); err != nil {
			return nil, err
		}
		pages = append(pages, pageArrival{at: at, instances: len(list)})
		switch next {
		case "":
			ageWarmUps(list, pages)
			return sortAndDeduplicate(list), nil
		case token:
			return nil, errors.Mark(errors.Newf("page %q of the platform's list names itself as the next page: retry", token), ErrMalformed)
		}
		token = next
	}
	return nil, errors.Mark(errors.Newf("the platform's list has more than %d pages: poll it by zone", maxPages), ErrMalformed)
}

// fetchPage reads one page of the list into a buffer.
func (c *Client) fetchPage(ctx context.Context, zone, token string, page *bytes.Buffer) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	response, err := c.request(ctx, c.pageURL(zone, token))
	if err != nil {
		return errors.Mark(errors.Wrap(err, "the platform's list cannot be reached: keep the previous list and retry"), ErrUnreachable)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		// Drain a short body, so that the connection can be reused.
		_, _ = io.CopyN(io.Discard, response.Body, maxErrorBytes)
		return statusError(response)
	}
	page.Reset()
	n, err := page.ReadFrom(io.LimitReader(response.Body, maxPageBytes+1))
	switch {
	case err != nil:
		return errors.Mark(errors.Wrap(err, "the platform's response was truncated: keep the previous list and retry"), ErrUnreachable)
	case n > maxPageBytes:
		return errors.Mark(errors.Newf("a page of the platform's list has more than %d bytes: poll it by zone", maxPageBytes), ErrMalformed)
	}
	return nil
}

// statusError returns the error for a response with a status other than 200.
func statusError(response *http.Response) error {
	if response.StatusCode == http.StatusTooManyRequests {
		return &RateError{After: parseRetryAfter(response.Header.Get("Retry-After"))}
	}
	return errors.Mark(errors.Newf("the platform responded with status %d: keep the previous list and retry", response.StatusCode), ErrUnreachable)
}

// pageURL returns the URL of a page of the list.
func (c *Client) pageURL(zone, token string) string {
	query := url.Values{}
	if zone != "" {
		query.Set("zone", zone)
	}
	if token != "" {
		query.Set("page_token", token)
	}
	if len(query) == 0 {
		return c.listURL
	}
	return c.listURL + "?" + query.Encode()
}

// request sends a request. If a reused connection fails, it retries once on a new connection: the old one may have been cut by a
// partition or closed by the platform.
func (c *Client) request(ctx context.Context, target string) (*http.Response, error) {
	response, reused, err := c.sendRequest(ctx, target)
	if err == nil {
		return response, nil
	}
	c.client.CloseIdleConnections()
	if reused && ctx.Err() == nil {
		response, _, err = c.sendRequest(ctx, target)
	}
	if err != nil {
		c.client.CloseIdleConnections()
		return nil, err
	}
	return response, nil
}

// sendRequest sends one request and counts it. It reports whether the request was sent on a reused connection.
func (c *Client) sendRequest(ctx context.Context, target string) (response *http.Response, reused bool, err error) {
	trace := &httptrace.ClientTrace{GotConn: func(got httptrace.GotConnInfo) { reused = got.Reused }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodGet, target, nil)
	if err != nil {
		return nil, false, errors.Wrap(err, "the platform's address is not a valid host:port: check cloud_api.address")
	}
	preventRetry(request)
	c.calls.Add(1)
	response, err = c.client.Do(request)
	return response, reused, err
}

// preventRetry keeps http.Transport from retrying a request without a body when a reused connection breaks before a response: the
// platform would count two calls, and Calls one. The transport does not retry a request that has a body and no GetBody, so the request
// gets an empty body; the transfer encoding "identity" keeps that body out of the request's headers.
func preventRetry(r *http.Request) {
	r.Body, r.GetBody, r.TransferEncoding = io.NopCloser(strings.NewReader("")), nil, []string{"identity"}
}

// parseRetryAfter parses a number of seconds, which may have a fraction, and caps it at one minute.
func parseRetryAfter(value string) time.Duration {
	s, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || !(s > 0) {
		return 0
	}
	return time.Duration(min(s, 60) * float64(time.Second))
}
