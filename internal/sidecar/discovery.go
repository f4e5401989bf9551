package sidecar

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"gradeusher.example/gradeusher/balance"
)

const (
	// watchTimeout is how long a watch may be silent: discovery writes at least an empty line every 2 s.
	// A machine that is cut off from the network sends nothing, and without a timeout the old list would
	// be trusted forever. What discovery publishes counts as known publishedWithin after it fell silent
	// all the same, so a new watch must have had the time to receive it by then.
	watchTimeout    = 4500 * time.Millisecond
	publishedWithin = 6 * time.Second
	// agentWatchTimeout is the watchTimeout for an agent on the same machine. Asking it again is free, so little
	// is lost if it was merely late; and the new watch may be silent too, which must leave time for one more.
	agentWatchTimeout = 3500 * time.Millisecond
	agentFirstTimeout = time.Second
	maxListBytes      = 4 << 20 // size of a list in a watch
)

// Target is one server in discovery's list.
type Target struct {
	ID      string
	Address string
	Zone    string
	Kind    string
	Cell    int
	State   balance.State
	Size    float64
	Started time.Time // when its process started; zero: long ago
}

// List is one message of discovery: all servers, or those that changed.
type List struct {
	Version  int64
	Complete bool
	Targets  []Target
}

// parseList parses discovery's JSON strictly: one invalid entry makes the whole list invalid.
func parseList(text []byte) (List, error) {
	var form struct {
		Rev     *int64
		All     bool
		Targets []struct {
			UID      string
			Endpoint string
			AZ       string
			Model    string
			PodGroup int `json:"pod_group"`
			State    string
			Capacity *float64 `json:"capacity_hint"`
			BootMS   int64    `json:"boot_ms"`
		}
	}
	if err := json.Unmarshal(text, &form); err != nil {
		return List{}, fmt.Errorf("list: %w", err)
	}
	if form.Rev == nil {
		return List{}, errors.New("list has no rev")
	}
	list := List{Version: *form.Rev, Complete: form.All}
	for index, item := range form.Targets {
		t := Target{ID: item.UID, Address: item.Endpoint, Zone: item.AZ, Kind: item.Model, Cell: item.PodGroup, Size: 1}
		switch item.State {
		case "SERVING":
			t.State = balance.Ready
		case "DRAINING":
			t.State = balance.Draining
		case "DELETED":
			t.State = balance.Removed
		default:
			return List{}, fmt.Errorf("target %d, %q: unknown state %q", index, item.UID, item.State)
		}
		if t.ID == "" {
			return List{}, fmt.Errorf("target %d has no uid", index)
		}
		if _, _, err := net.SplitHostPort(t.Address); err != nil && t.State != balance.Removed {
			return List{}, fmt.Errorf("target %d, %q: endpoint: %w", index, item.UID, err)
		}
		if item.Capacity != nil {
			if t.Size = *item.Capacity; t.Size < 0 {
				return List{}, fmt.Errorf("target %d, %q: capacity_hint %v is negative", index, item.UID, t.Size)
			}
		}
		if item.BootMS > 0 {
			t.Started = time.UnixMilli(item.BootMS)
		}
		list.Targets = append(list.Targets, t)
	}
	return list, nil
}

var (
	errBadList  = errors.New("invalid list")
	errTimedOut = errors.New("timed out")

	errWatchEnded = errors.New("the service ended the watch")
)

// discovery is the client of the discovery service.
type discovery struct {
	address      atomic.Value // string
	client       *http.Transport
	watchTimeout time.Duration
	firstTimeout time.Duration // for an agent's first complete list; doubled each time that none arrives
}

// newDiscovery returns the client of the list at an address. pushed is set if an agent on this
// machine answers there, immediately and at no cost.
func newDiscovery(address string, connect time.Duration, pushed bool) *discovery {
	d := &discovery{watchTimeout: watchTimeout, firstTimeout: agentFirstTimeout, client: &http.Transport{
		DialContext:        (&net.Dialer{Timeout: max(connect, time.Second)}).DialContext,
		DisableCompression: true,
		DisableKeepAlives:  true, // each watch uses a connection of its own
	}}
	if pushed {
		d.watchTimeout = agentWatchTimeout
	}
	d.address.Store(address)
	return d
}

// watch requests the changes after version from (negative: the complete list) and passes each list to onList, until the
// watch ends. The first list must arrive within first, or within the usual timeout if first is 0. It always returns an
// error, which states why the watch ended; one that wraps errTimedOut means that nothing arrived for too long.
func (d *discovery) watch(ctx context.Context, from int64, first time.Duration, onList func(List)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	first = cmp.Or(first, d.watchTimeout)
	silence := &watchTimer{cancel: cancel}
	silence.start(first)
	defer func() { silence.timer.Stop() }()
	resp, err := d.request(ctx, from)
	if err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("watch: status %d", resp.StatusCode)
	}
	reader := &watchReader{from: resp.Body, budget: maxListBytes}
	onHeartbeat := func() { silence.timer.Reset(d.watchTimeout) }
	if first == d.watchTimeout {
		reader.onHeartbeat = onHeartbeat // an empty line counts as a heartbeat
	}
	lists := json.NewDecoder(reader) // a list may be indented, and so span several lines
	for {
		list, err := nextList(ctx, lists)
		if err != nil {
			return fmt.Errorf("watch: %w", err)
		}
		silence.timer.Stop()
		silence.start(d.watchTimeout)
		reader.budget, reader.onHeartbeat = maxListBytes, onHeartbeat
		onList(list)
	}
}

// watchTimer ends a watch on which nothing arrives.
type watchTimer struct {
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

func (s *watchTimer) start(timeout time.Duration) {
	s.timer = time.AfterFunc(timeout, func() { s.cancel(fmt.Errorf("%w: nothing received for %v", errTimedOut, timeout)) })
}

// request opens a watch.
func (d *discovery) request(ctx context.Context, from int64) (*http.Response, error) {
	url := fmt.Sprintf("http://%s/v1/servers?watch=1", d.address.Load())
	if from >= 0 {
		url += "&from=" + strconv.FormatInt(from, 10)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, err
	}
	resp, err := d.client.RoundTrip(req)
	if err != nil {
		return nil, errors.Join(err, context.Cause(ctx))
	}
	return resp, nil
}

// nextList reads the next list of a watch. It returns errBadList for one that cannot be parsed.
func nextList(ctx context.Context, lists *json.Decoder) (List, error) {
	var text json.RawMessage
	switch err := lists.Decode(&text); {
	case err == nil:
	case errors.Is(err, io.EOF):
		return List{}, errWatchEnded
	case errors.As(err, new(*json.SyntaxError)), errors.Is(err, errLongList):
		return List{}, fmt.Errorf("%w: %w", errBadList, err)
	default:
		return List{}, errors.Join(err, context.Cause(ctx))
	}
	list, err := parseList(text)
	if err != nil {
		return List{}, fmt.Errorf("%w: %w", errBadList, err)
	}
	return list, nil
}

var errLongList = errors.New("list is too long")

// watchReader reads a watch. It calls onHeartbeat, if set, for each empty line, and bounds the number
// of bytes up to the end of a list.
//
// A list that begins and never ends counts as silence too, so a non-empty line is no heartbeat until the list is complete.
type watchReader struct {
	from        io.Reader
	budget      int // bytes
	onHeartbeat func()
}

// Read implements io.Reader.
func (s *watchReader) Read(p []byte) (int, error) {
	n, err := s.from.Read(p[:min(len(p), max(s.budget, 0)+1)])
	if s.budget -= n; s.budget < 0 {
		return 0, errLongList
	}
	if n > 0 && s.onHeartbeat != nil && len(bytes.TrimSpace(p[:n])) == 0 {
		s.onHeartbeat()
	}
	return n, err
}
