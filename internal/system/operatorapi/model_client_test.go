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

const callerPatience = time.Second

// modelOrder is what an operator wants, and what it got.
type modelOrder struct {
	change   controlstate.Change
	revision int64
	again    bool // was sent and settled before

	called, answered time.Duration // answered: when it was settled or given up
	status           int           // 0: no clear answer
	body             string
	tries            []modelTry
}

// modelTry is one sending of an order.
type modelTry struct {
	called, ended time.Duration
	acknowledged  bool
}

func (o *modelOrder) path() string {
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

func (o *modelOrder) request() *http.Request {
	r := httptest.NewRequest(http.MethodPost, o.path(), strings.NewReader(string(o.change.Body)))
	if o.change.Zone == "" {
		r.Header.Set("X-Base-Version", strconv.FormatInt(o.change.Base, 10))
	} else {
		r.Body, r.ContentLength = http.NoBody, 0
	}
	return r
}

// call sends one request to a keeper, and waits for its answer for a second; nil: none came.
func (w *modelWorld) call(k *modelKeeper, r *http.Request) *httptest.ResponseRecorder {
	hungUp, hangUp := context.WithCancel(context.Background())
	defer hangUp()
	answers := make(chan *httptest.ResponseRecorder, 1)
	life := k.lifeNow()
	w.running.Go(func() { w.deliver(k, life, r, hungUp, answers) })
	patience := callerPatience
	if w.chance(12, "caller's connection reset") {
		patience = w.between(time.Millisecond, 30*time.Millisecond)
	}
	select {
	case a := <-answers:
		return a
	case <-time.After(patience):
		return nil
	}
}

// deliver brings a request to a keeper, perhaps late, and its answer back. The end of the caller's connection follows its
// bytes within a round trip of up to 200 ms; while the keeper stands still, or where its connection was reset, it may be lost.
func (w *modelWorld) deliver(k *modelKeeper, life context.Context, r *http.Request, hungUp context.Context, answers chan<- *httptest.ResponseRecorder) {
	if w.chance(30, "request lost") {
		return
	}
	began := time.Now()
	time.Sleep(w.between(200*time.Microsecond, 2*time.Millisecond))
	held := w.chance(12, "request held up")
	if held {
		time.Sleep(w.between(time.Second, 22*time.Second))
	}
	waiting := time.Now()
	k.thawed()
	stood := time.Since(waiting) > 0
	if life.Err() != nil {
		return // of a process that is gone, and its sockets with it
	}
	if stood {
		w.count("request waited through a freeze")
		time.Sleep(w.between(0, 100*time.Millisecond))
	}
	ctx, cancel := context.WithCancel(context.WithValue(life, connectionKey{}, &connection{acceptedAt: began}))
	defer cancel()
	endMayBeLost := stood || !held
	if !endMayBeLost || !w.chance(2, "end of a connection lost") {
		stop := context.AfterFunc(hungUp, func() { time.AfterFunc(w.between(0, 200*time.Millisecond), cancel) })
		defer stop()
	}
	answer := httptest.NewRecorder()
	k.handler.ServeHTTP(answer, r.WithContext(ctx))
	if life.Err() != nil || w.chance(20, "answer lost") {
		return
	}
	time.Sleep(w.between(200*time.Microsecond, 2*time.Millisecond))
	answers <- answer
}

// settle sends an order until it gets a clear answer or its operator gives up.
func (w *modelWorld) settle(o *modelOrder) {
	const giveUp = 6 * time.Second
	o.called = w.since()
	once := o.change.Zone != "" && w.chance(6, "order given up after one try")
	pause := 20 * time.Millisecond
	for w.since()-o.called < giveUp {
		try := modelTry{called: w.since()}
		a := w.call(w.keepers[w.between(0, time.Duration(len(w.keepers)))], o.request())
		try.ended, try.acknowledged = w.since(), a != nil && a.Code == http.StatusOK
		o.tries = append(o.tries, try)
		if a != nil && a.Code != http.StatusServiceUnavailable {
			o.status, o.body = a.Code, a.Body.String()
			break
		}
		if once {
			break
		}
		time.Sleep(pause)
		pause = min(2*pause, 400*time.Millisecond)
	}
	o.answered = w.since()
}

// configOperator sends changes of the configuration on the version that it believes to be current, whole ones and
// amendments, its own and those that others send as well, and at times an order that was settled long before.
func (w *modelWorld) configOperator(number, orders int, old []*modelOrder, done func(*modelOrder)) {
	var mine []*modelOrder
	for range orders {
		time.Sleep(w.between(0, 300*time.Millisecond))
		if len(mine)+len(old) > 0 && w.chance(4, "order sent again after it was settled") {
			all := append(append([]*modelOrder(nil), old...), mine...)
			was := all[w.between(0, time.Duration(len(all)))]
			o := &modelOrder{change: was.change, revision: was.revision, again: true}
			w.settle(o)
			done(o)
			continue
		}
		w.mu.Lock()
		base := w.state.Revision()
		w.mu.Unlock()
		mark := fmt.Sprint("operator-", number)
		if w.chance(3, "order that others send as well") {
			mark = "shared"
		}
		o := &modelOrder{revision: base + 1 + int64(w.between(0, 2))}
		o.change = controlstate.Change{Op: controlstate.OpReplace, Base: base, Body: modelConfig(base, o.revision, mark)}
		if base > 0 && w.chance(3, "amendment") {
			o.change.Op = controlstate.OpAmend
			o.change.Body = fmt.Appendf(nil, `{"revision":%d,"built_on":%d,"upsert":{"services":[{"name":%q}]}}`, o.revision, base, mark)
		}
		w.settle(o)
		done(o)
		mine = append(mine, o)
	}
}

func modelConfig(base, revision int64, mark string) []byte {
	return fmt.Appendf(nil, `{"revision":%d,"built_on":%d,"routes":[],"services":[{"name":%q}]}`, revision, base, mark)
}

// zoneOperator evacuates a zone and takes it back, again and again.
func (w *modelWorld) zoneOperator(zone string, orders int, done func(*modelOrder)) {
	op := controlstate.OpEvacuate
	for range orders {
		time.Sleep(w.between(0, 200*time.Millisecond))
		o := &modelOrder{change: controlstate.Change{Op: op, Zone: zone}}
		w.settle(o)
		done(o)
		if op = controlstate.OpEvacuate; w.between(0, 2) == 0 {
			op = controlstate.OpReadmit
		}
	}
}
