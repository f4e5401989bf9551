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
	callTimeout     = time.Second // for one call, after which the operator calls another node
	initialBackoff  = 50 * time.Millisecond
	maxBackoff      = time.Second
	maxRedirects    = 2 // redirects (307) that a call follows
	maxClientErrors = 3 // other 4xx answers, after which the operator gives up
	noBase          = -1
)

var errAnswerLost = errors.New("the answer was lost on its way")

// ErrRefused marks a change that the control plane has refused.
var ErrRefused = errors.New("order refused")

// Operator is the stand-in operator: PROTOCOL.md "The operator's API". It makes one call at a time, apart from Status and the calls of its clones.
type Operator struct {
	ControlAddresses []string // of the control-plane nodes, in the order in which they are called
	// LoseAnswer reports whether an answer that has come is to be treated as lost; nil: none is.
	LoseAnswer func() bool

	evidence *rules.Evidence
	now      func() time.Duration
	http     *http.Client
	next     int // index into ControlAddresses of the node to call, modulo their number
}

// Clone returns an operator that makes calls, and records them, while o makes others. It begins at the first control-plane node.
func (o *Operator) Clone() *Operator {
	return &Operator{ControlAddresses: o.ControlAddresses, LoseAnswer: o.LoseAnswer, evidence: o.evidence, now: o.now, http: o.http}
}

// Replace sends a complete configuration that builds on version base until there is a clear answer or ctx ends. The error is marked with
// ErrRefused if the answer is a refusal.
func (o *Operator) Replace(ctx context.Context, c *rules.Config, base int64) error {
	return o.replace(ctx, &rules.Change{Config: c, Base: base})
}

// ReplaceInvalid is Replace with a configuration that must be refused, and is recorded as such.
func (o *Operator) ReplaceInvalid(ctx context.Context, c *rules.Config, base int64) error {
	return o.replace(ctx, &rules.Change{Config: c, Base: base, Invalid: true})
}

func (o *Operator) replace(ctx context.Context, change *rules.Change) error {
	body, err := json.Marshal(change.Config)
	if err != nil {
		return err
	}
	return o.submit(ctx, "/Config.Replace", body, change)
}

// Amend adds, replaces and removes routes on top of version base, as Replace does. after is the complete configuration that results.
func (o *Operator) Amend(ctx context.Context, after *rules.Config, base int64, upsert []rules.Route, remove []string) error {
	message := amendment{Remove: removedRoutes{remove}, Revision: after.Revision, Upsert: upsertedRoutes{upsert}}
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	return o.submit(ctx, "/Config.Amend", body, &rules.Change{Config: after, Base: base})
}

// amendment is the body of Config.Amend.
type amendment struct {
	Remove   removedRoutes  `json:"remove"`
	Revision int64          `json:"revision"`
	Upsert   upsertedRoutes `json:"upsert"`
}

type removedRoutes struct {
	Names []string `json:"routes"`
}

type upsertedRoutes struct {
	Routes []rules.Route `json:"routes"`
}

// Evacuate starts the evacuation of a zone, or finishes it, as Replace does.
func (o *Operator) Evacuate(ctx context.Context, zone string, start bool) error {
	path := "/Evacuation.Finish/" + zone
	if start {
		path = "/Evacuation.Start/" + zone
	}
	return o.submit(ctx, path, nil, &rules.Change{Zone: zone, Start: start})
}

// Read returns the newest configuration, and records the reading. It calls until there is a clear answer or ctx ends.
func (o *Operator) Read(ctx context.Context) (*rules.Config, error) {
	sent := o.now()
	status, body, err := o.call(ctx, http.MethodGet, "/Config.Read", nil, noBase)
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

// submit sends a change and records its outcome.
func (o *Operator) submit(ctx context.Context, path string, body []byte, change *rules.Change) error {
	change.Sent, change.AcknowledgedAt, change.Ended = o.now(), rules.Never, rules.Never
	o.evidence.RecordChange(change)
	base := change.Base
	if change.Config == nil {
		base = noBase
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

// call calls one control-plane node after the other, with exponential backoff, until there is a clear answer or ctx ends. base is the version
// on which the change builds, or noBase.
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
		case refusal(status):
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
			return 0, nil, errors.Wrapf(ctx.Err(), "no clear answer to %s came in time (last: %d, %v, %s): look at the keepers' logs", path, status, err,
				bytes.TrimSpace(answer))
		case <-timer.C:
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// refusal reports whether a status is a clear refusal of a change.
func refusal(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusConflict, http.StatusPreconditionFailed, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return true
	}
	return false
}

// callOnce makes one call, and follows up to maxRedirects redirects.
func (o *Operator) callOnce(ctx context.Context, method, url string, body []byte, base int64) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for redirects := 0; ; redirects++ {
		req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
		if err != nil {
			return 0, nil, err
		}
		if base != noBase {
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
		if resp.StatusCode != http.StatusTemporaryRedirect || redirects >= maxRedirects {
			return resp.StatusCode, answer, nil
		}
		url = resp.Header.Get("Location")
	}
}

// NodeStatus is the part of a control-plane node's status (GET /status) that the test cluster reads.
type NodeStatus struct {
	Node     string   `json:"node"`
	Current  bool     `json:"current"` // the system takes changes there
	Epoch    uint64   `json:"epoch"`   // of its view
	Chain    []string `json:"chain"`
	Revision int64    `json:"revision"` // of the configuration
	Proxies  []struct {
		Node   string `json:"node"`
		Silent int64  `json:"silent_ms"`
	} `json:"proxies"`
}

// Status returns the status of the control-plane node with the most recent view, and nil if none answers. Current nodes come first.
func (o *Operator) Status(ctx context.Context) *NodeStatus {
	var best *NodeStatus
	for _, at := range o.ControlAddresses {
		status, body, err := o.callOnce(ctx, http.MethodGet, "http://"+at+"/status", nil, noBase)
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
