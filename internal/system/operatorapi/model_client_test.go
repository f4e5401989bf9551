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
)

const callerTimeout = time.Second

// modelChange is what an operator wants, and what it got.
type modelChange struct {
	change   controlstate.Change
	revision int64
	resent   bool // was sent and settled before

	startedAt, endedAt time.Duration // answered: when it was settled or given up
	status             int           // 0: no clear answer
	body               string
	attempts           []modelAttempt
}

// modelAttempt is one sending of an order.
type modelAttempt struct {
	startedAt, endedAt time.Duration
	acknowledged       bool
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

func (o *modelChange) request() *http.Request {
	r := httptest.NewRequest(http.MethodPost, o.path(), strings.NewReader(string(o.change.Body)))
	if o.change.Zone == "" {
		r.Header.Set("X-Base-Version", strconv.FormatInt(o.change.Base, 10))
	} else {
		r.Body, r.ContentLength = http.NoBody, 0
	}
	return r
}

// sendRequest sends one request to a keeper, and waits for its answer for a second; nil: none came.
func (w *modelCluster) sendRequest(k *modelNode, r *http.Request) *httptest.ResponseRecorder {
	hungUp, hangUp := context.WithCancel(context.Background())
	defer hangUp()
	answers := make(chan *httptest.ResponseRecorder, 1)
	life := k.currentIncarnation()
	w.pending.Go(func() { w.deliverRequest(k, life, r, hungUp, answers) })
	patience := callerTimeout
	if w.happens(12, "caller's connection reset") {
		patience = w.randomDuration(time.Millisecond, 30*time.Millisecond)
	}
	select {
	case a := <-answers:
		return a
	case <-time.After(patience):
		return nil
	}
}

// deliverRequest brings a request to a keeper, perhaps late, and its answer back. The end of the caller's connection follows its
// bytes within a round trip of up to 200 ms; while the keeper stands still, or where its connection was reset, it may be lost.
func (w *modelCluster) deliverRequest(k *modelNode, life context.Context, r *http.Request, hungUp context.Context, answers chan<- *httptest.ResponseRecorder) {
	if w.happens(30, "request lost") {
		return
	}
	began := time.Now()
	time.Sleep(w.randomDuration(200*time.Microsecond, 2*time.Millisecond))
	held := w.happens(12, "request held up")
	if held {
		time.Sleep(w.randomDuration(time.Second, 22*time.Second))
	}
	waiting := time.Now()
	k.waitWhileFrozen()
	stood := time.Since(waiting) > 0
	if life.Err() != nil {
		return // of a process that is gone, and its sockets with it
	}
	if stood {
		w.recordEvent("request waited through a freeze")
		time.Sleep(w.randomDuration(0, 100*time.Millisecond))
	}
	ctx, cancel := context.WithCancel(context.WithValue(life, connectionKey{}, &connection{acceptedAt: began}))
	defer cancel()
	endMayBeLost := stood || !held
	if !endMayBeLost || !w.happens(2, "end of a connection lost") {
		stop := context.AfterFunc(hungUp, func() { time.AfterFunc(w.randomDuration(0, 200*time.Millisecond), cancel) })
		defer stop()
	}
	answer := httptest.NewRecorder()
	k.handler.ServeHTTP(answer, r.WithContext(ctx))
	if life.Err() != nil || w.happens(20, "answer lost") {
		return
	}
	time.Sleep(w.randomDuration(200*time.Microsecond, 2*time.Millisecond))
	answers <- answer
}

// sendUntilResolved sends an order until it gets a clear answer or its operator gives up.
func (w *modelCluster) sendUntilResolved(change *modelChange) {
	const giveUp = 6 * time.Second
	change.startedAt = w.elapsed()
	once := change.change.Zone != "" && w.happens(6, "order given up after one try")
	pause := 20 * time.Millisecond
	for w.elapsed()-change.startedAt < giveUp {
		try := modelAttempt{startedAt: w.elapsed()}
		a := w.sendRequest(w.nodes[w.randomDuration(0, time.Duration(len(w.nodes)))], change.request())
		try.endedAt, try.acknowledged = w.elapsed(), a != nil && a.Code == http.StatusOK
		change.attempts = append(change.attempts, try)
		if a != nil && a.Code != http.StatusServiceUnavailable {
			change.status, change.body = a.Code, a.Body.String()
			break
		}
		if once {
			break
		}
		time.Sleep(pause)
		pause = min(2*pause, 400*time.Millisecond)
	}
	change.endedAt = w.elapsed()
}

// runConfigOperator sends changes of the configuration on the version that it believes to be current, whole ones and
// amendments, its own and those that others send as well, and at times an order that was settled long before.
func (w *modelCluster) runConfigOperator(number, orders int, old []*modelChange, done func(*modelChange)) {
	var mine []*modelChange
	for range orders {
		time.Sleep(w.randomDuration(0, 300*time.Millisecond))
		if len(mine)+len(old) > 0 && w.happens(4, "order sent again after it was settled") {
			all := append(append([]*modelChange(nil), old...), mine...)
			was := all[w.randomDuration(0, time.Duration(len(all)))]
			o := &modelChange{change: was.change, revision: was.revision, resent: true}
			w.sendUntilResolved(o)
			done(o)
			continue
		}
		w.mu.Lock()
		base := w.state.Revision()
		w.mu.Unlock()
		mark := fmt.Sprint("operator-", number)
		if w.happens(3, "order that others send as well") {
			mark = "shared"
		}
		o := &modelChange{revision: base + 1 + int64(w.randomDuration(0, 2))}
		o.change = controlstate.Change{Op: controlstate.OpReplace, Base: base, Body: modelConfig(base, o.revision, mark)}
		if base > 0 && w.happens(3, "amendment") {
			o.change.Op = controlstate.OpAmend
			o.change.Body = fmt.Appendf(nil, `{"revision":%d,"built_on":%d,"upsert":{"services":[{"name":%q}]}}`, o.revision, base, mark)
		}
		w.sendUntilResolved(o)
		done(o)
		mine = append(mine, o)
	}
}

func modelConfig(base, revision int64, mark string) []byte {
	return fmt.Appendf(nil, `{"revision":%d,"built_on":%d,"routes":[],"services":[{"name":%q}]}`, revision, base, mark)
}

// runZoneOperator evacuates a zone and takes it back, again and again.
func (w *modelCluster) runZoneOperator(zone string, orders int, done func(*modelChange)) {
	op := controlstate.OpEvacuate
	for range orders {
		time.Sleep(w.randomDuration(0, 200*time.Millisecond))
		o := &modelChange{change: controlstate.Change{Op: op, Zone: zone}}
		w.sendUntilResolved(o)
		done(o)
		if op = controlstate.OpEvacuate; w.randomDuration(0, 2) == 0 {
			op = controlstate.OpReadmit
		}
	}
}
