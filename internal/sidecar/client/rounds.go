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

// rounds goes from keeper to keeper for a follower: it watches one until that ends or is no good, and then the next.
type rounds struct {
	what    string // for the log
	log     *slog.Logger
	keepers []string
	next    int           // the keeper that is watched next
	patient bool          // no keeper is in touch: the age is borne
	moves   chan []string // keepers to go on with
	fresh   atomic.Int64  // Unix time in ns at which what is held was last known to be up to date; 0: never
	http    *http.Transport
}

func newRounds(what string, keepers []string, log *slog.Logger) rounds {
	// Each begins at a keeper of its own choice, so that they share the watchers.
	return rounds{what: what, log: log, keepers: keepers, next: rand.IntN(len(keepers)), moves: make(chan []string, 1),
		http: &http.Transport{DialContext: (&net.Dialer{Timeout: connectTimeout}).DialContext, DisableCompression: true, DisableKeepAlives: true,
			ResponseHeaderTimeout: list.WatchTimeout}}
}

// Age is how long ago what is held was last known to be up to date. It tells false where it never was. Any goroutine may ask.
func (r *rounds) Age() (time.Duration, bool) {
	at := r.fresh.Load()
	if at == 0 {
		return 0, false
	}
	return time.Since(time.Unix(0, at)), true
}

// freshAt notes that what is held was up to date at a time, unless it is known to have been later.
func (r *rounds) freshAt(at time.Time) { r.fresh.Store(max(r.fresh.Load(), at.UnixNano())) }

// Move has other keepers be followed from now on. Of several moves that come at once the last counts.
func (r *rounds) Move(keepers []string) error {
	if err := checkKeepers(keepers); err != nil {
		return err
	}
	newest(r.moves, keepers)
	return nil
}

// newest puts a value in a channel of one, in the place of one that was not taken yet. It never waits.
func newest[T any](c chan T, v T) {
	for {
		select {
		case c <- v:
			return
		default:
		}
		select {
		case <-c:
		default:
		}
	}
}

// moved takes a move.
func (r *rounds) moved(keepers []string) {
	r.keepers, r.next, r.patient = keepers, rand.IntN(len(keepers)), false
}

// wait passes a time, or less where other keepers are to be followed. It tells false once ctx is done.
func (r *rounds) wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case keepers := <-r.moves:
		r.moved(keepers)
	case <-ctx.Done():
		return false
	}
	return true
}

var (
	errMoved = errors.New("other keepers are followed")
	errStale = errors.New("the keeper is out of touch")
)

// run watches until ctx is done. came: a watch was of use; after: how long its keeper wants to be left alone. wait passes a
// time, and tells false once ctx is done.
func (r *rounds) run(ctx context.Context, watch func(ctx context.Context, keeper string) (came bool, after time.Duration, err error),
	wait func(context.Context, time.Duration) bool) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval, pause.RandomizationFactor, pause.Multiplier = watchPauseLeast, watchPauseMost, 0.5, 2
	defer r.http.CloseIdleConnections()
	for failed := 0; ; {
		keeper := r.keepers[r.next%len(r.keepers)]
		came, after, err := watch(ctx, keeper)
		if ctx.Err() != nil {
			return
		}
		r.log.Info(r.what, "keeper", keeper, "err", err)
		r.next++
		if came || errors.Is(err, errMoved) {
			pause.Reset()
			failed = 0
		}
		failed++
		r.patient = failed >= len(r.keepers)
		pass := max(pause.NextBackOff(), after)
		if failed < len(r.keepers) && after == 0 { // others have not been asked
			pass = rand.N(watchPauseLeast)
		}
		if !wait(ctx, pass) {
			return
		}
	}
}

// stale tells that a keeper has been out of touch for longer than a follower bears. nil: it is not said.
func (r *rounds) stale(ageMS *int64, most time.Duration) bool {
	return ageMS != nil && time.Duration(*ageMS)*time.Millisecond > most
}

// get makes a call whose answer is read by the caller. after is how long the keeper wants to be left alone.
func (r *rounds) get(ctx context.Context, keeper, path string) (body io.ReadCloser, after time.Duration, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+keeper+path, nil)
	if err != nil {
		return nil, 0, err
	}
	resp, err := r.http.RoundTrip(req)
	if err != nil {
		return nil, 0, err
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 4096)) // what it says is for the log alone
		return nil, retryAfter(resp.Header), fmt.Errorf("status %d: %s", resp.StatusCode, bytes.TrimSpace(text))
	}
	return resp.Body, 0, nil
}

// line is one line of a watch, or why there is none.
type line struct {
	text []byte
	err  error
}

// open opens a watch and returns its lines, the last with an error, and what ends it.
func (r *rounds) open(ctx context.Context, keeper, path string) (lines <-chan line, end func(), after time.Duration, err error) {
	ctx, cancel := context.WithCancel(ctx)
	body, after, err := r.get(ctx, keeper, path)
	if err != nil {
		cancel()
		return nil, nil, after, err
	}
	all, ended := make(chan line), make(chan struct{})
	go func() {
		defer close(ended)
		in := bufio.NewScanner(body)
		in.Buffer(nil, list.MaxListBytes)
		send := func(l line) bool {
			select {
			case all <- l:
				return true
			case <-ctx.Done():
				return false
			}
		}
		for in.Scan() {
			if !send(line{text: bytes.Clone(bytes.TrimSpace(in.Bytes()))}) {
				return
			}
		}
		send(line{err: errors.Join(errors.New("the watch ended"), in.Err())})
	}()
	return all, func() {
		cancel()
		body.Close()
		<-ended
	}, 0, nil
}
