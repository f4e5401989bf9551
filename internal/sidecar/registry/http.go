package registry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/client"
	"gradeusher.example/gradeusher/internal/sidecar/list"
	"gradeusher.example/gradeusher/internal/sidecar/replica"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

// Headers of a keeper's answers.
const (
	HeaderRevision = "X-Keeper-Revision" // of the list that it knows
	HeaderAge      = "X-Keeper-Age-Ms"   // how long ago it last knew itself up to date; "unknown": not since its start
	HeaderLeader   = "X-Keeper-Leader"   // name of the leader
	HeaderCluster  = "X-Keeper-Cluster"
)

// problem is why a call was refused.
type problem struct {
	Code       string `json:"code"`
	Reason     string `json:"reason"`
	Leader     string `json:"leader,omitempty"`
	LeaderHTTP string `json:"leader_http,omitempty"` // where the leader answers, as it said itself
	Revision   int64  `json:"rev"`
}

// writeTimeout bounds how long a write waits for agreement. A client's own time-out is longer.
const writeTimeout = 2 * time.Second

// answerTimeout bounds a call with the writing of its answer.
const answerTimeout = 2 * writeTimeout

// handler is all that a keeper answers.
func (k *Node) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/servers", k.servers)
	mux.HandleFunc("GET /v1/servers/{uid}", k.admit("get", k.server))
	mux.HandleFunc("POST /v1/servers", k.admit("register", k.register))
	mux.HandleFunc("POST /v1/servers/{uid}/drain", k.admit("drain", k.changeServer(state.Drain)))
	mux.HandleFunc("POST /v1/servers/{uid}/serve", k.admit("serve", k.changeServer(state.Serve)))
	mux.HandleFunc("DELETE /v1/servers/{uid}", k.admit("leave", k.changeServer(state.Deregister)))
	mux.HandleFunc("POST /v1/renew", k.admit("renew", k.renew))
	mux.HandleFunc("GET /v1/routes", k.routes)
	mux.HandleFunc("PUT /v1/routes", k.admit("put-routes", k.putRoutes))
	mux.HandleFunc("GET /v1/duties", k.roles)
	mux.HandleFunc("POST /v1/duties/renew", k.admit("renew-duties", k.renewRoles))
	for op, turn := range map[state.Op]client.RoleAction{state.Campaign: client.Campaign, state.Withdraw: client.Withdraw, state.Release: client.Release,
		state.Move: client.Move, state.Checkpoint: client.Checkpoint, state.Forget: client.Forget} {
		mux.HandleFunc("POST /v1/duties/{name}/"+string(turn), k.admit(string(op), k.changeRole(op)))
	}
	mux.HandleFunc("GET /v1/status", k.status) // always answered: it is asked when all else is refused
	mux.HandleFunc("POST /v1/keepers", k.admit("join", k.addNode))
	mux.HandleFunc("DELETE /v1/keepers/{name}", k.admit("remove", k.removeNode))
	mux.HandleFunc("GET /v1/backup", k.admit("backup", k.backup))
	mux.HandleFunc("POST /v1/restore", k.admit("restore", k.restore))
	mux.Handle("GET /metrics", k.metrics.handler())
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := w.Header()
		k.store.read(func(m *state.Machine) {
			h.Set(HeaderRevision, strconv.FormatInt(m.Revision(), 10))
			h.Set(HeaderCluster, m.Cluster())
		})
		h.Set(HeaderAge, k.age())
		// Each watch sets it anew with each line; on a connection that is kept, the one before would cut this answer off.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerTimeout)) // it goes on without
		h.Set(HeaderLeader, k.replica.Leader())
		k.limitBodyTime(w, r)
		mux.ServeHTTP(w, r)
	})
}

func (k *Node) age() string {
	if age, known := k.replica.Age(); known {
		return strconv.FormatInt(age.Milliseconds(), 10)
	}
	return "unknown"
}

// admit gives a call its place among those that may go on at once.
func (k *Node) admit(op string, do func(http.ResponseWriter, *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case k.calls <- struct{}{}:
			defer func() { <-k.calls }()
		default:
			k.refuse(w, op, errTooManyCalls)
			return
		}
		began := time.Now()
		if err := k.readBody(w, r, op); err != nil {
			k.refuse(w, op, err)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), writeTimeout)
		defer cancel()
		err := do(w, r.WithContext(ctx))
		if err != nil {
			k.refuse(w, op, err)
			return
		}
		k.metrics.recordCall(op, "ok", time.Since(began))
	}
}

// limitBodyTime bounds how long net/http may wait for a body that no handler reads. Danger: it reads the rest of a body before it
// writes an answer, without a bound of its own, so a refused call whose body came slowly was never answered.
func (k *Node) limitBodyTime(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	conn := http.NewResponseController(w)
	// Neither fails on an HTTP/1 connection of net/http; without them the call goes on as before.
	_ = conn.SetReadDeadline(time.Now().Add(milliseconds(k.config.Limits.ReadMS)))
	_ = conn.EnableFullDuplex() // an answer need not wait for the rest of the body
}

// readBody reads a call's body whole, within its bounds. Danger: whoever sends one slowly would hold a place for as long as he
// likes; and a deadline that stays on the connection would cut off the next answer.
func (k *Node) readBody(w http.ResponseWriter, r *http.Request, op string) error {
	most, within := int64(k.config.Limits.MaxBodyKB)<<10, milliseconds(k.config.Limits.ReadMS)
	switch op {
	case "restore":
		most, within = state.MaxSnapshotBytes, restoreTimeout
	case "put-routes":
		most = maxTableBytes
	}
	conn := http.NewResponseController(w)
	if err := conn.SetReadDeadline(time.Now().Add(within)); err != nil {
		return err
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	var size *http.MaxBytesError
	switch {
	case errors.As(err, &size):
		return err
	case err != nil:
		return invalidf("body: it did not come whole within %v", within)
	}
	r.Body = io.NopCloser(bytes.NewReader(text))
	return conn.SetReadDeadline(time.Time{})
}

const restoreTimeout = 30 * time.Second // for a backup to come whole

var (
	errTooManyCalls   = errors.New("this keeper has as many calls as it takes")
	errBehind         = errors.New("this keeper is behind")
	errTooManyStarts  = errors.New("too many watches begin at once")
	errTooManyWatches = errors.New("this keeper has as many watchers as it takes")
)

// invalidError is a call that makes no sense, whoever is asked.
type invalidError struct{ error }

func invalidf(form string, args ...any) error { return invalidError{fmt.Errorf(form, args...)} }

// refuse answers a call that is not done.
func (k *Node) refuse(w http.ResponseWriter, op string, err error) {
	code, word, after := http.StatusInternalServerError, "failed", time.Duration(0)
	var of *state.Error
	var size *http.MaxBytesError
	switch {
	case errors.As(err, &of):
		word = string(of.Code)
		code = map[state.Code]int{state.Invalid: 400, state.Conflict: 409, state.NotFound: 404, state.LimitReached: 507}[of.Code]
	case errors.As(err, &size):
		code, word, err = http.StatusRequestEntityTooLarge, "bad", fmt.Errorf("a call holds %d bytes at most", size.Limit)
	case errors.As(err, &invalidError{}):
		code, word = http.StatusBadRequest, "bad"
	case errors.Is(err, replica.ErrNotLeader):
		code, word, after = http.StatusServiceUnavailable, "not-leader", 200*time.Millisecond
	case errors.Is(err, replica.ErrUncertain):
		// Not 503: a client that sends a write again after this may do it twice.
		code, word = http.StatusGatewayTimeout, "uncertain"
	case errors.Is(err, errTooManyCalls), errors.Is(err, errTooManyWatches), errors.Is(err, errTooManyStarts), errors.Is(err, replica.ErrBusy):
		code, word, after = http.StatusServiceUnavailable, "busy", time.Second
	case errors.Is(err, errBehind), errors.Is(err, errNoList):
		code, word, after = http.StatusServiceUnavailable, "behind", 500*time.Millisecond
	}
	k.metrics.recordCall(op, word, 0)
	p := problem{Code: word, Reason: err.Error(), Leader: k.replica.Leader()}
	k.store.read(func(m *state.Machine) {
		p.Revision = m.Revision()
		for _, known := range m.Nodes() {
			if known.Name == p.Leader {
				p.LeaderHTTP = known.HTTPAddress
			}
		}
	})
	if after > 0 { // spread, so that those who are refused together do not come again together
		after = after/2 + rand.N(after)
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	reply(w, code, p)
}

func reply(w http.ResponseWriter, code int, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		code, text = http.StatusInternalServerError, []byte(`{"code":"failed","reason":"the answer cannot be written"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(append(text, '\n')) // to a caller who may have gone
}

// decode reads a call's body strictly: a key that means nothing here is likely a mistake of the caller's.
func decode(r *http.Request, v any) error {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	err := d.Decode(v)
	if err != nil {
		return invalidf("body: %w", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return invalidf("body: there is more behind the object")
	}
	return nil
}

// registerRequest is the body of a registration.
type registerRequest struct {
	Servers []list.Registration `json:"servers"`
	Expect  *int64              `json:"expect,omitempty"`
}

func (k *Node) register(w http.ResponseWriter, r *http.Request) error {
	var c registerRequest
	if err := decode(r, &c); err != nil {
		return err
	}
	for i := range c.Servers {
		if c.Servers[i].State == "" {
			c.Servers[i].State = list.Serving
		}
	}
	return k.proposeAndReply(w, r, state.Command{Op: state.Register, Servers: c.Servers, Expect: c.Expect})
}

// expectRequest is the body of a write to one server; it may be left out.
type expectRequest struct {
	Expect *int64 `json:"expect,omitempty"`
}

func (k *Node) changeServer(op state.Op) func(http.ResponseWriter, *http.Request) error {
	return func(w http.ResponseWriter, r *http.Request) error {
		var c expectRequest
		if r.ContentLength != 0 {
			if err := decode(r, &c); err != nil {
				return err
			}
		}
		if v := r.URL.Query().Get("expect"); v != "" {
			n, err := strconv.ParseInt(v, 10, 64)
			if err != nil {
				return invalidf("expect %.40q is no revision", v)
			}
			c.Expect = &n
		}
		return k.proposeAndReply(w, r, state.Command{Op: op, UID: r.PathValue("uid"), Expect: c.Expect})
	}
}

func (k *Node) proposeAndReply(w http.ResponseWriter, r *http.Request, c state.Command) error {
	result, err := k.propose(r.Context(), c)
	if err != nil {
		return err
	}
	a := client.Result{Revision: result.Revision}
	k.store.read(func(m *state.Machine) { a.Cluster = m.Cluster() })
	reply(w, http.StatusOK, a)
	return nil
}

// server answers one entry, as it is after every write that was acknowledged before the call.
func (k *Node) server(w http.ResponseWriter, r *http.Request) error {
	if err := k.replica.Confirm(r.Context()); err != nil {
		return err
	}
	uid := r.PathValue("uid")
	var e state.Entry
	var ok bool
	a := client.Result{}
	k.store.read(func(m *state.Machine) {
		e, ok = m.Entry(uid)
		a.Cluster, a.Revision = m.Cluster(), m.Revision()
	})
	if !ok {
		return &state.Error{Code: state.NotFound, Reason: fmt.Sprintf("no server %.40q", uid)}
	}
	a.Revision, a.Server = e.Revision, &client.Entry{Target: e.Target, LeaseMS: e.LeaseMS, Revision: e.Revision, Reason: e.Reason}
	reply(w, http.StatusOK, a)
	return nil
}

const maxRenewals = 4096

type renewRequest struct {
	Renewals []client.Renewal `json:"renewals"`
}

// renewAnswer is the answer: who has to register again, as his lease is over or was never there.
type renewAnswer struct {
	Unknown []string `json:"unknown"`
}

func (k *Node) renew(w http.ResponseWriter, r *http.Request) error {
	var c renewRequest
	if err := decode(r, &c); err != nil {
		return err
	}
	if len(c.Renewals) > maxRenewals {
		return invalidf("%d renewals, %d at most in a call", len(c.Renewals), maxRenewals)
	}
	// Danger: a leader that was stopped and wakes would say that all is well, to be found out of office a moment later.
	if err := k.replica.Confirm(r.Context()); err != nil {
		return err
	}
	a := renewAnswer{Unknown: []string{}}
	now := time.Now()
	for _, c := range c.Renewals {
		if !k.serverLessor.renew(now, c.UID, c.BootMS) && !k.hasFreshLease(c.UID, c.BootMS) {
			a.Unknown = append(a.Unknown, c.UID)
		}
	}
	reply(w, http.StatusOK, a)
	return nil
}

// hasFreshLease tells whether a process's lease runs that the lessor has not looked at yet.
func (k *Node) hasFreshLease(uid string, boot int64) (ok bool) {
	k.store.read(func(m *state.Machine) {
		e, there := m.Entry(uid)
		ok = there && e.BootMS == boot && e.LeaseMS != 0 && e.Reason != state.LeaseExpired && e.Reason != state.RestoredFromBackup
	})
	return ok
}
