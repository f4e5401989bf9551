package operatorapi

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"time"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/testsupport/redirect"
)

const callerTimeout = time.Second

// modelChange is a change that an operator sends, and its outcome.
type modelChange struct {
	change   controlstate.Change
	revision int64
	resent   bool // was sent and resolved before

	startedAt, endedAt time.Duration // endedAt: when it was resolved or given up
	status             int           // 0: no definite response
	body               string
	attempts           []modelAttempt
}

// modelAttempt is one attempt of a change.
type modelAttempt struct {
	startedAt, endedAt time.Duration
	acknowledged       bool
	mayTakeEffect      bool // its caller has sent everything that a node needs for it
}

func (o *modelChange) path() string {
	switch o.change.Op {
	case controlstate.OpReplace:
		return "/Config.Replace"
	case controlstate.OpAmend:
		return "/Config.Amend"
	case controlstate.OpEvacuate:
		return "/Evacuation.Start/" + o.change.Zone
	}
	return "/Evacuation.Finish/" + o.change.Zone
}

func (o *modelChange) request(ctx context.Context, target string) *http.Request {
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader(string(o.change.Body)))
	if o.change.Zone == "" {
		r.Header.Set("X-Base-Version", strconv.FormatInt(o.change.Base, 10))
	} else {
		r.Body, r.ContentLength = http.NoBody, 0
	}
	return r
}

// sendRequest sends one request to a node and returns its response, or nil if none arrives within a second.
func (w *modelCluster) sendRequest(node *modelNode, r *http.Request) *httptest.ResponseRecorder {
	caller, hangUp := context.WithCancel(r.Context())
	defer hangUp()
	responses := make(chan *httptest.ResponseRecorder, 1)
	incarnation := node.currentIncarnation()
	w.pending.Go(func() { w.deliverRequest(incarnation, caller, node, r, responses) })
	timeout := callerTimeout
	if w.happens(12, "caller's connection reset") {
		timeout = w.randomDuration(time.Millisecond, 30*time.Millisecond)
	}
	select {
	case response := <-responses:
		return response
	case <-time.After(timeout):
		return nil
	}
}

// sendAndFollow sends a change to a node and follows its redirect. The redirected request may be lost or delayed like any other.
func (w *modelCluster) sendAndFollow(node *modelNode, change *modelChange) (response *httptest.ResponseRecorder, redirected bool) {
	response = w.sendRequest(node, change.request(context.Background(), change.path()))
	if response == nil {
		return nil, false
	}
	target, redirected := redirect.Target(response)
	if redirected {
		w.recordEvent("request redirected")
		response = w.sendRequest(node, change.request(context.Background(), target))
	}
	return response, redirected
}

// deliverRequest delivers a request to a node, perhaps late, and its response to the caller. The end of the caller's connection arrives
// any time after it, or never. The context incarnation ends with the node's process, and caller with the caller's connection.
func (w *modelCluster) deliverRequest(incarnation, caller context.Context, node *modelNode, r *http.Request,
	responses chan<- *httptest.ResponseRecorder,
) {
	if w.happens(30, "request lost") {
		return
	}
	time.Sleep(w.randomDuration(200*time.Microsecond, 2*time.Millisecond))
	delayed := w.happens(12, "request delayed")
	if delayed {
		time.Sleep(w.randomDuration(time.Second, 22*time.Second))
	}
	arrivedAt := time.Now()
	node.waitWhileFrozen()
	stalled := time.Since(arrivedAt) > 0
	if incarnation.Err() != nil {
		return // the process that had the connection has ended
	}
	if stalled {
		w.recordEvent("request waited through a freeze")
		time.Sleep(w.randomDuration(0, 100*time.Millisecond))
	}
	ctx, cancel := context.WithCancel(incarnation)
	defer cancel()
	if !w.happens(2, "end of a connection lost") {
		stop := context.AfterFunc(caller, func() { time.AfterFunc(w.randomDuration(0, 5*time.Second), cancel) })
		defer stop()
	}
	response := httptest.NewRecorder()
	node.handler.ServeHTTP(response, r.WithContext(ctx))
	if incarnation.Err() != nil || w.happens(20, "response lost") {
		return
	}
	time.Sleep(w.randomDuration(200*time.Microsecond, 2*time.Millisecond))
	responses <- response
}

// sendUntilResolved sends a change until it gets a definite response or its operator gives up.
func (w *modelCluster) sendUntilResolved(change *modelChange) {
	const giveUpAfter = 6 * time.Second
	change.startedAt = w.elapsed()
	singleAttempt := change.change.Zone != "" && w.happens(6, "change given up after one attempt")
	backoff := 20 * time.Millisecond
	for w.elapsed()-change.startedAt < giveUpAfter {
		attempt := modelAttempt{startedAt: w.elapsed()}
		node := w.nodes[w.randomDuration(0, time.Duration(len(w.nodes)))]
		response, redirected := w.sendAndFollow(node, change)
		attempt.mayTakeEffect = redirected || change.change.Zone == "" || w.unredirected
		attempt.endedAt = w.elapsed()
		attempt.acknowledged = response != nil && response.Code == http.StatusOK
		change.attempts = append(change.attempts, attempt)
		if response != nil && response.Code != http.StatusServiceUnavailable {
			change.status, change.body = response.Code, response.Body.String()
			break
		}
		if singleAttempt {
			break
		}
		time.Sleep(backoff)
		backoff = min(2*backoff, 400*time.Millisecond)
	}
	change.endedAt = w.elapsed()
}

// runConfigOperator sends changes based on the version of the configuration that was current just before: replacements and amendments,
// changes of its own and changes that other operators send too, and sometimes a change that was resolved long before.
func (w *modelCluster) runConfigOperator(number, changeCount int, old []*modelChange, done func(*modelChange)) {
	var mine []*modelChange
	for range changeCount {
		time.Sleep(w.randomDuration(0, 300*time.Millisecond))
		if len(mine)+len(old) > 0 && w.happens(4, "change sent again after it was resolved") {
			all := append(append([]*modelChange(nil), old...), mine...)
			earlier := all[w.randomDuration(0, time.Duration(len(all)))]
			o := &modelChange{change: earlier.change, revision: earlier.revision, resent: true}
			w.sendUntilResolved(o)
			done(o)
			continue
		}
		w.mu.Lock()
		base := w.state.Revision()
		w.mu.Unlock()
		serviceName := fmt.Sprint("operator-", number)
		if w.happens(3, "change that others send too") {
			serviceName = "shared"
		}
		o := &modelChange{revision: base + 1 + int64(w.randomDuration(0, 2))}
		o.change = controlstate.Change{Op: controlstate.OpReplace, Base: base, Body: modelConfig(base, o.revision, serviceName)}
		if base > 0 && w.happens(3, "amendment") {
			o.change.Op = controlstate.OpAmend
			o.change.Body = fmt.Appendf(nil, `{"revision":%d,"built_on":%d,"upsert":{"services":[{"name":%q}]}}`, o.revision, base, serviceName)
		}
		w.sendUntilResolved(o)
		done(o)
		mine = append(mine, o)
	}
}

func modelConfig(base, revision int64, serviceName string) []byte {
	return fmt.Appendf(nil, `{"revision":%d,"built_on":%d,"routes":[],"services":[{"name":%q}]}`, revision, base, serviceName)
}

// runZoneOperator repeatedly evacuates and readmits a zone, in random order.
func (w *modelCluster) runZoneOperator(zone string, changeCount int, done func(*modelChange)) {
	op := controlstate.OpEvacuate
	for range changeCount {
		time.Sleep(w.randomDuration(0, 200*time.Millisecond))
		o := &modelChange{change: controlstate.Change{Op: op, Zone: zone}}
		w.sendUntilResolved(o)
		done(o)
		if op = controlstate.OpEvacuate; w.randomDuration(0, 2) == 0 {
			op = controlstate.OpReadmit
		}
	}
}
