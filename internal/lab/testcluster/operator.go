package testcluster

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
)

const (
	callTimeout     = time.Second // of silence, after which the operator moves on
	initialBackoff  = 50 * time.Millisecond
	maxBackoff      = time.Second
	maxRedirects    = 2 // that a call follows 307
	maxClientErrors = 3 // other 4xx
)

var errAnswerLost = errors.New("the answer was lost on its way")

// ErrRefused marks an order that was refused.
var ErrRefused = errors.New("order refused")

// Operator is the stand-in operator: PROTOCOL.md "The operator's API". It makes one call at a time, Status apart.
type Operator struct {
	ControlAddresses []string // control addresses, in the order in which they are tried
	// LoseAnswer reports whether an answer that has come counts as lost on its way; nil: none does.
	LoseAnswer func() bool

	evidence *rules.Evidence
	now      func() time.Duration
	http     *http.Client
	next     int
}

// Replace sends a whole configuration on top of version base until there is a clear answer or ctx ends.
func (o *Operator) Replace(ctx context.Context, c *rules.Config, base int64) error {
	body, err := json.Marshal(c)
	if err != nil {
		return err
	}
	return o.submit(ctx, "/Config.Replace", body, &rules.Change{Config: c, Base: base})
}

// ReplaceInvalid sends a configuration that must be refused.
func (o *Operator) ReplaceInvalid(ctx context.Context, c *rules.Config, base int64) error {
	body, err := json.Marshal(c)
	if err != nil {
		return err
	}
	return o.submit(ctx, "/Config.Replace", body, &rules.Change{Config: c, Base: base, Invalid: true})
}

// Amend adds, replaces and removes routes. after is the whole configuration that comes of it.
func (o *Operator) Amend(ctx context.Context, after *rules.Config, base int64, upsert []rules.Route, remove []string) error {
	body, err := json.Marshal(map[string]any{"revision": after.Revision, "upsert": map[string]any{"routes": upsert},
		"remove": map[string]any{"routes": remove}})
	if err != nil {
		return err
	}
	return o.submit(ctx, "/Config.Amend", body, &rules.Change{Config: after, Base: base})
}

// Evacuate asks that a zone's servers get nothing more; start false: it takes that back.
func (o *Operator) Evacuate(ctx context.Context, zone string, start bool) error {
	path := "/Evacuation.Finish/" + zone
	if start {
		path = "/Evacuation.Start/" + zone
	}
	return o.submit(ctx, path, nil, &rules.Change{Zone: zone, Start: start})
}

// Read gives the newest configuration.
func (o *Operator) Read(ctx context.Context) (*rules.Config, error) {
	sent := o.now()
	status, body, err := o.call(ctx, http.MethodGet, "/Config.Read", nil, -1)
	switch {
	case err != nil:
		return nil, err
	case status != http.StatusOK:
		return nil, errors.Newf("Config.Read was answered %d: look at the keepers' logs", status)
	}
	c := &rules.Config{}
	if err := json.Unmarshal(body, c); err != nil {
		return nil, err
	}
	o.evidence.RecordReading(rules.Reading{Sent: sent, Revision: c.Revision})
	return c, nil
}

// submit sends a change and records what came of it.
func (o *Operator) submit(ctx context.Context, path string, body []byte, change *rules.Change) error {
	change.Sent, change.AcknowledgedAt, change.Ended = o.now(), rules.Never, rules.Never
	o.evidence.RecordChange(change)
	base := change.Base
	if change.Config == nil {
		base = -1
	}
	status, answer, err := o.call(ctx, http.MethodPost, path, body, base)
	o.evidence.Update(func() {
		change.Ended, change.Status = o.now(), status
		if status >= 200 && status < 300 {
			change.AcknowledgedAt = change.Ended
		}
	})
	switch {
	case err != nil:
		return err
	case status >= 300:
		return errors.Mark(errors.Newf("%s was answered %d: %s", path, status, answer), ErrRefused)
	}
	return nil
}

// call asks one control-plane node after the other, with growing backoff, until there is a clear answer or ctx ends.
func (o *Operator) call(ctx context.Context, method, path string, body []byte, base int64) (int, []byte, error) {
	backoff, clientErrors := initialBackoff, 0
	for {
		at := o.ControlAddresses[o.next%len(o.ControlAddresses)]
		status, answer, err := o.callOnce(ctx, method, "http://"+at+path, body, base)
		switch {
		case err != nil, status >= 500, status == http.StatusRequestTimeout, status == http.StatusTooManyRequests:
			o.next++
		case status >= 200 && status < 300:
			return status, answer, nil
		case status == 400, status == 409, status == 412, status == 413, status == 422:
			return status, answer, nil
		default:
			if clientErrors++; clientErrors >= maxClientErrors {
				return status, answer, nil
			}
		}
		timer := time.NewTimer(backoff)
		select {
		case <-ctx.Done():
			timer.Stop()
			return 0, nil, errors.Wrapf(ctx.Err(), "no clear answer to %s came in time (last: %d, %v): look at the keepers' logs", path, status, err)
		case <-timer.C:
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// callOnce makes one call and follows 307 twice.
func (o *Operator) callOnce(ctx context.Context, method, url string, body []byte, base int64) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for hop := 0; ; hop++ {
		req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
		if err != nil {
			return 0, nil, err
		}
		if base >= 0 {
			req.Header.Set("X-Base-Version", strconv.FormatInt(base, 10))
			req.Header.Set("Content-Type", "application/json")
		}
		resp, err := o.http.Do(req)
		if err != nil {
			return 0, nil, err
		}
		answer, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
		_ = resp.Body.Close()
		if err != nil {
			return 0, nil, err
		}
		if o.LoseAnswer != nil && o.LoseAnswer() {
			return 0, nil, errAnswerLost
		}
		if resp.StatusCode != http.StatusTemporaryRedirect || hop >= maxRedirects {
			return resp.StatusCode, answer, nil
		}
		url = resp.Header.Get("Location")
	}
}

// NodeStatus is what GET /status of a control-plane node answers operators.
type NodeStatus struct {
	Node     string   `json:"node"`
	Current  bool     `json:"current"`
	Epoch    uint64   `json:"epoch"`
	Chain    []string `json:"chain"`
	Revision int64    `json:"revision"`
	Proxies  []struct {
		Node   string `json:"node"`
		Silent int64  `json:"silent_ms"`
	} `json:"proxies"`
}

// Status is that of the most recent view among the control-plane nodes; nil: none answers.
func (o *Operator) Status(ctx context.Context) *NodeStatus {
	var best *NodeStatus
	for _, at := range o.ControlAddresses {
		status, body, err := o.callOnce(ctx, http.MethodGet, "http://"+at+"/status", nil, -1)
		s := &NodeStatus{}
		if err != nil || status != http.StatusOK || json.Unmarshal(body, s) != nil {
			continue
		}
		if best == nil || s.Current && !best.Current || s.Current == best.Current && s.Epoch > best.Epoch {
			best = s
		}
	}
	return best
}
