package client

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"gradeusher.example/gradeusher/internal/sidecar/list"
)

const (
	minWatchBackoff = 100 * time.Millisecond
	maxWatchBackoff = 5 * time.Second // so that a fleet comes back to its nodes over some seconds
	maxRefusalBytes = 4096            // of the text of a refusal, for the log
	defaultMaxAge   = 2500 * time.Millisecond
	watchTimeout    = list.WatchTimeout // without a line, after which a watch is lost; nodes write one every second
)

// rotation goes from node to node for a subscriber: it watches one until the watch ends or is of no use, and then the next. Its fields are those of
// the goroutine of run, but for addressChanges and lastUpToDate.
type rotation struct {
	name           string // in log lines
	log            *slog.Logger
	addresses      []string
	next           int           // index of the node that is watched next
	toleratesAge   bool          // no node is up to date: one that is not is watched all the same
	addressChanges chan []string // addresses to go on with
	lastUpToDate   atomic.Int64  // Unix time in ns at which the subscriber's copy was last known to be up to date; 0: never
	http           *http.Transport
}

func newRotation(name string, addresses []string, log *slog.Logger) rotation {
	return rotation{
		name:      name,
		log:       log,
		addresses: addresses,
		// Each subscriber begins at a random node, so that the nodes share the watches.
		next:           rand.IntN(len(addresses)),
		addressChanges: make(chan []string, 1),
		http: &http.Transport{
			DialContext:           (&net.Dialer{Timeout: connectTimeout}).DialContext,
			DisableCompression:    true,
			DisableKeepAlives:     true,
			ResponseHeaderTimeout: watchTimeout,
		},
	}
}

// Age returns how long ago the subscriber's copy was last known to be up to date, and whether it ever was. It is safe for concurrent use.
func (r *rotation) Age() (time.Duration, bool) {
	at := r.lastUpToDate.Load()
	if at == 0 {
		return 0, false
	}
	return time.Since(time.Unix(0, at)), true
}

// recordUpToDate records that the copy was up to date an age ago, unless a later time is known.
func (r *rotation) recordUpToDate(ageMS *int64) {
	at := time.Now()
	if ageMS != nil {
		at = at.Add(-time.Duration(*ageMS) * time.Millisecond)
	}
	r.lastUpToDate.Store(max(r.lastUpToDate.Load(), at.UnixNano()))
}

// recordUpToDateNow records that the copy is up to date.
func (r *rotation) recordUpToDateNow() { r.lastUpToDate.Store(time.Now().UnixNano()) }

// SetAddresses has the nodes of these addresses be watched from now on. Where several calls follow each other closely, the last one counts. It is safe
// for concurrent use. The error says which address is invalid.
func (r *rotation) SetAddresses(addresses []string) error {
	if err := checkAddresses(addresses); err != nil {
		return err
	}
	putLatest(r.addressChanges, addresses)
	return nil
}

func (r *rotation) applyAddresses(addresses []string) {
	r.addresses, r.next, r.toleratesAge = addresses, rand.IntN(len(addresses)), false
}

// wait waits for a time, or until the addresses change. It returns false once ctx is done.
func (r *rotation) wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case addresses := <-r.addressChanges:
		r.applyAddresses(addresses)
	case <-ctx.Done():
		return false
	}
	return true
}

var (
	errAddressesChanged = errors.New("other keepers are followed")
	errNotUpToDate      = errors.New("the keeper is out of touch")
	errWatchEnded       = errors.New("the watch ended")
)

// watchResult is how a watch went.
type watchResult struct {
	useful     bool          // it brought something
	retryAfter time.Duration // how long the node asks not to be called
	err        error         // why it ended
}

// run watches node after node until ctx is done. wait waits for a time, and returns false once ctx is done.
func (r *rotation) run(ctx context.Context, watch func(ctx context.Context, address string) watchResult, wait func(context.Context, time.Duration) bool) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval, pause.RandomizationFactor, pause.Multiplier = minWatchBackoff, maxWatchBackoff, 0.5, 2
	defer r.http.CloseIdleConnections()
	failures := 0 // watches since the last useful one
	for {
		address := r.addresses[r.next%len(r.addresses)]
		result := watch(ctx, address)
		if ctx.Err() != nil {
			return
		}
		r.log.Info(r.name, "keeper", address, "err", result.err)
		r.next++
		if result.useful || errors.Is(result.err, errAddressesChanged) {
			pause.Reset()
			failures = 0
		}
		failures++
		r.toleratesAge = failures >= len(r.addresses)
		delay := max(pause.NextBackOff(), result.retryAfter)
		if !r.toleratesAge && result.retryAfter == 0 { // other nodes have not been tried
			delay = rand.N(minWatchBackoff)
		}
		if !wait(ctx, delay) {
			return
		}
	}
}

// checkAge returns whether an answer of an age is of use, and errNotUpToDate where another node should be watched instead. An age of nil is not
// known, and fine.
func (r *rotation) checkAge(ageMS *int64, maxAge time.Duration) (useful bool, err error) {
	if ageMS == nil || time.Duration(*ageMS)*time.Millisecond <= maxAge {
		return true, nil
	}
	if !r.toleratesAge {
		return false, fmt.Errorf("%w for %d ms", errNotUpToDate, *ageMS)
	}
	return false, nil
}

// watchHandlers say what a subscriber does during a watch.
type watchHandlers struct {
	// onLine is called with each line, which is empty where nothing changed. It returns whether the watch was of use, and an error where it is to
	// end.
	onLine func(text []byte) (useful bool, err error)

	ticks  <-chan time.Time // nil: none
	onTick func(now time.Time)

	confirmations  <-chan confirmation // nil: none
	onConfirmation func(confirmation)
}

// watch watches a node until the watch ends, writes nothing for watchTimeout, the addresses change or ctx is done.
func (r *rotation) watch(ctx context.Context, address, path string, handlers watchHandlers) watchResult {
	lines, end, retryAfter, err := r.openWatch(ctx, address, path)
	if err != nil {
		return watchResult{retryAfter: retryAfter, err: err}
	}
	defer end()
	timeout := time.NewTimer(watchTimeout)
	defer timeout.Stop()
	useful := false
	for {
		select {
		case l := <-lines:
			if l.err != nil {
				return watchResult{useful: useful, err: l.err}
			}
			timeout.Reset(watchTimeout)
			lineUseful, err := handlers.onLine(l.text)
			useful = useful || lineUseful
			if err != nil {
				return watchResult{useful: useful, err: err}
			}
		case now := <-handlers.ticks:
			handlers.onTick(now)
		case c := <-handlers.confirmations:
			handlers.onConfirmation(c)
		case addresses := <-r.addressChanges:
			r.applyAddresses(addresses)
			return watchResult{useful: useful, err: errAddressesChanged}
		case <-timeout.C:
			return watchResult{useful: useful, err: fmt.Errorf("nothing came for %v", watchTimeout)}
		case <-ctx.Done():
			return watchResult{useful: useful, err: ctx.Err()}
		}
	}
}

// get makes a call whose answer the caller reads and closes. retryAfter is how long the node asks not to be called.
func (r *rotation) get(ctx context.Context, address, path string) (body io.ReadCloser, retryAfter time.Duration, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, 0, err
	}
	resp, err := r.http.RoundTrip(req)
	if err != nil {
		return nil, 0, err
	}
	if resp.StatusCode != http.StatusOK {
		defer func() { _ = resp.Body.Close() }()
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes)) // for the log alone
		return nil, parseRetryAfter(resp.Header), fmt.Errorf("status %d: %s", resp.StatusCode, bytes.TrimSpace(text))
	}
	return resp.Body, 0, nil
}

// line is one line of a watch, or why there is none.
type line struct {
	text []byte
	err  error
}

// openWatch begins a watch. It returns its lines, the last of which has an error, and a function that ends it.
func (r *rotation) openWatch(ctx context.Context, address, path string) (lines <-chan line, end func(), retryAfter time.Duration, err error) {
	ctx, cancel := context.WithCancel(ctx)
	body, retryAfter, err := r.get(ctx, address, path)
	if err != nil {
		cancel()
		return nil, nil, retryAfter, err
	}
	received, ended := make(chan line), make(chan struct{})
	go func() {
		defer close(ended)
		readLines(ctx, body, received)
	}()
	return received, func() {
		cancel()
		_ = body.Close()
		<-ended
	}, 0, nil
}

// readLines sends the lines of a watch until it ends or ctx is done.
func readLines(ctx context.Context, body io.Reader, received chan<- line) {
	send := func(l line) bool {
		select {
		case received <- l:
			return true
		case <-ctx.Done():
			return false
		}
	}
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, list.MaxListBytes)
	for scanner.Scan() {
		if !send(line{text: bytes.Clone(bytes.TrimSpace(scanner.Bytes()))}) {
			return
		}
	}
	send(line{err: errors.Join(errWatchEnded, scanner.Err())})
}
