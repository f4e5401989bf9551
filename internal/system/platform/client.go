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
	maxPageBytes   = 8 << 20  // bytes of one page
	maxHeaderBytes = 64 << 10 // bytes of an answer's head
	maxPages       = 100
)

// Options are those of a Client.
type Options struct {
	Address string        // host:port of the platform's list
	Timeout time.Duration // of one call; 0: 1 s
}

// Client reads the platform's list. It may be used by many goroutines.
type Client struct {
	listURL string
	timeout time.Duration
	client  *http.Client
	calls   atomic.Uint64
}

// NewClient makes a client that connects when it is first asked.
func NewClient(options Options) *Client {
	if options.Timeout <= 0 {
		options.Timeout = time.Second
	}
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
					return framing.NewServerConn(conn, maxHeaderBytes), nil // no surplus answer becomes that of the next call
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

// setUserTimeout has the kernel give up a connection whose packets nobody acknowledges, as across a silent cut.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
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
func (c *Client) Close() { c.client.CloseIdleConnections() }

// pageArrival is when a page of the list had come, and how many instances had come with it and the pages before.
type pageArrival struct {
	at        time.Time
	instances int
}

// ageWarmUps has all cold states of a list count from when the last page had come.
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
		pages  []pageArrival
	)
	for range maxPages {
		if err := c.fetchPage(ctx, zone, token, &buf); err != nil {
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
		pages = append(pages, pageArrival{at: at, instances: len(list)})
		switch next {
		case "":
			ageWarmUps(list, pages)
			return sortAndDeduplicate(list), nil
		case token:
			return nil, errors.Mark(errors.Newf("the platform's page %q names itself as the next: ask again", token), ErrMalformed)
		}
		token = next
	}
	return nil, errors.Mark(errors.Newf("the platform's list has more than %d pages: poll it by zone", maxPages), ErrMalformed)
}

func (c *Client) fetchPage(ctx context.Context, zone, token string, page *bytes.Buffer) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	query := url.Values{}
	if zone != "" {
		query.Set("zone", zone)
	}
	if token != "" {
		query.Set("page_token", token)
	}
	target := c.listURL
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	response, reused, err := c.sendRequest(ctx, target)
	if err != nil {
		// The connection may be one that a cut has silenced, or that the platform has closed: the next call takes a new one.
		c.client.CloseIdleConnections()
		if reused && ctx.Err() == nil {
			response, _, err = c.sendRequest(ctx, target)
		}
	}
	if err != nil {
		c.client.CloseIdleConnections()
		return errors.Mark(errors.Wrap(err, "the platform's list was not reached: keep the old list and ask again"), ErrUnreachable)
	}
	defer response.Body.Close()
	switch {
	case response.StatusCode == http.StatusTooManyRequests:
		_, _ = io.CopyN(io.Discard, response.Body, 4<<10)
		return &RateError{After: parseRetryAfter(response.Header.Get("Retry-After"))}
	case response.StatusCode != http.StatusOK:
		_, _ = io.CopyN(io.Discard, response.Body, 4<<10)
		return errors.Mark(errors.Newf("the platform answered %d: keep the old list and ask again", response.StatusCode), ErrUnreachable)
	}
	page.Reset()
	n, err := page.ReadFrom(io.LimitReader(response.Body, maxPageBytes+1))
	switch {
	case err != nil:
		return errors.Mark(errors.Wrap(err, "the platform's answer broke off: keep the old list and ask again"), ErrUnreachable)
	case n > maxPageBytes:
		return errors.Mark(errors.Newf("a page of the platform's list has more than %d bytes: poll it by zone", maxPageBytes), ErrMalformed)
	}
	return nil
}

// sendRequest makes one call and counts it, and tells whether it went out on a connection that was used before.
func (c *Client) sendRequest(ctx context.Context, target string) (response *http.Response, reused bool, err error) {
	trace := &httptrace.ClientTrace{GotConn: func(got httptrace.GotConnInfo) { reused = got.Reused }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodGet, target, nil)
	if err != nil {
		return nil, false, errors.Wrap(err, "the platform's address is no host:port: check cloud_api.address")
	}
	preventRetry(request)
	c.calls.Add(1)
	response, err = c.client.Do(request)
	return response, reused, err
}

// preventRetry keeps http.Transport from sending a request without a body a second time when a reused connection breaks before
// an answer: the call would count twice against the platform's rate, and Calls would not know. The transport repeats no
// request that has a body and no GetBody, so an empty one is given, and "identity" keeps it from being announced.
func preventRetry(r *http.Request) {
	r.Body, r.GetBody, r.TransferEncoding = io.NopCloser(strings.NewReader("")), nil, []string{"identity"}
}

// parseRetryAfter reads seconds, fractions included, and holds them to a minute.
func parseRetryAfter(value string) time.Duration {
	s, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || !(s > 0) {
		return 0
	}
	return time.Duration(min(s, 60) * float64(time.Second))
}
