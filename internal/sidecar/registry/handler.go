package registry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/client"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

// The headers of a node's answers.
const (
	HeaderRevision = "X-Keeper-Revision" // revision of the list that the node knows
	HeaderAge      = "X-Keeper-Age-Ms"   // time since the node last knew itself up to date; "unknown": not since its start
	HeaderLeader   = "X-Keeper-Leader"   // name of the leader
	HeaderCluster  = "X-Keeper-Cluster"
)

const (
	writeTimeout   = 2 * time.Second  // of a call; a client's own time-out is longer
	answerTimeout  = 2 * writeTimeout // of a call with the writing of its answer
	restoreTimeout = 30 * time.Second // for the body of a backup to arrive
)

// The names of operations with limits of their own, in metrics.
const (
	opRestore   = "restore"
	opPutRoutes = "put-routes"
)

// callHandler answers a call, or returns why it is refused and writes nothing.
type callHandler func(http.ResponseWriter, *http.Request) error

// handler returns the handler of all calls.
func (n *Node) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/servers", n.servers)
	mux.HandleFunc("GET /v1/servers/{uid}", n.admit("get", n.server))
	mux.HandleFunc("POST /v1/servers", n.admit("register", n.register))
	mux.HandleFunc("POST /v1/servers/{uid}/drain", n.admit("drain", n.changeServer(state.Drain)))
	mux.HandleFunc("POST /v1/servers/{uid}/serve", n.admit("serve", n.changeServer(state.Serve)))
	mux.HandleFunc("DELETE /v1/servers/{uid}", n.admit("leave", n.changeServer(state.Deregister)))
	mux.HandleFunc("POST /v1/renew", n.admit("renew", n.renew))
	mux.HandleFunc("GET /v1/routes", n.routes)
	mux.HandleFunc("PUT /v1/routes", n.admit(opPutRoutes, n.putRoutes))
	mux.HandleFunc("GET /v1/duties", n.roles)
	mux.HandleFunc("POST /v1/duties/renew", n.admit("renew-duties", n.renewRoles))
	for op, action := range map[state.Op]client.RoleAction{
		state.Campaign:   client.Campaign,
		state.Withdraw:   client.Withdraw,
		state.Release:    client.Release,
		state.Move:       client.Move,
		state.Checkpoint: client.Checkpoint,
		state.Forget:     client.Forget,
	} {
		mux.HandleFunc("POST /v1/duties/{name}/"+string(action), n.admit(string(op), n.changeRole(op)))
	}
	mux.HandleFunc("GET /v1/status", n.status) // not admitted: operators need it when all else is refused
	mux.HandleFunc("POST /v1/keepers", n.admit("join", n.addNode))
	mux.HandleFunc("DELETE /v1/keepers/{name}", n.admit("remove", n.removeNode))
	mux.HandleFunc("GET /v1/backup", n.admit("backup", n.backup))
	mux.HandleFunc("POST /v1/restore", n.admit(opRestore, n.restore))
	mux.Handle("GET /metrics", n.metrics.handler())
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.setHeaders(w.Header())
		// Each watch sets the deadline anew with each line. On a connection that is reused, the last one would cut this answer off.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerTimeout)) // without it the call goes on
		n.limitBodyTime(w, r)
		mux.ServeHTTP(w, r)
	})
}

func (n *Node) setHeaders(header http.Header) {
	n.store.read(func(m *state.Machine) {
		header.Set(HeaderRevision, strconv.FormatInt(m.Revision(), 10))
		header.Set(HeaderCluster, m.Cluster())
	})
	header.Set(HeaderAge, n.age())
	header.Set(HeaderLeader, n.replica.Leader())
}

func (n *Node) age() string {
	if age, known := n.replica.Age(); known {
		return strconv.FormatInt(age.Milliseconds(), 10)
	}
	return "unknown"
}

// admit returns the handler of an operation that is counted among the calls in progress, and refused where there are too many.
func (n *Node) admit(op string, handle callHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case n.calls <- struct{}{}:
			defer func() { <-n.calls }()
		default:
			n.refuse(w, op, errTooManyCalls)
			return
		}
		start := time.Now()
		if err := n.readBody(w, r, op); err != nil {
			n.refuse(w, op, err)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), writeTimeout)
		defer cancel()
		if err := handle(w, r.WithContext(ctx)); err != nil {
			n.refuse(w, op, err)
			return
		}
		n.metrics.recordCall(op, outcomeOK, time.Since(start))
	}
}

// limitBodyTime bounds how long net/http waits for a body that no handler reads. It reads the rest of a body before it writes an answer,
// without a bound of its own; a refused call whose body came slowly was never answered.
func (n *Node) limitBodyTime(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	controller := http.NewResponseController(w)
	// Neither fails on an HTTP/1 connection of net/http; without them the call goes on.
	_ = controller.SetReadDeadline(time.Now().Add(milliseconds(n.config.Limits.ReadMS)))
	_ = controller.EnableFullDuplex() // the answer need not wait for the rest of the body
}

// readBody reads the complete body of a call, within bounds of size and time, before the call is handled: a client that sends it slowly would
// be counted among the calls in progress for as long as it likes. The deadline is taken off again, since it would cut off the next call
// on the connection.
func (n *Node) readBody(w http.ResponseWriter, r *http.Request, op string) error {
	maxBytes, timeout := int64(n.config.Limits.MaxBodyKB)<<10, milliseconds(n.config.Limits.ReadMS)
	switch op {
	case opRestore:
		maxBytes, timeout = state.MaxSnapshotBytes, restoreTimeout
	case opPutRoutes:
		maxBytes = maxTableBytes
	}
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return err
	case err != nil:
		return invalidf("body: it did not come whole within %v", timeout)
	}
	r.Body = io.NopCloser(bytes.NewReader(text))
	return controller.SetReadDeadline(time.Time{})
}

// decode reads the JSON object in the body of a call. It refuses unknown keys, which likely are mistakes of the client.
func decode(r *http.Request, into any) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return invalidf("body: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return invalidf("body: there is more behind the object")
	}
	return nil
}

// reply writes an answer as a line of JSON.
func reply(w http.ResponseWriter, code int, answer any) {
	text, err := json.Marshal(answer)
	if err != nil {
		code, text = http.StatusInternalServerError, []byte(`{"code":"failed","reason":"the answer cannot be written"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(append(text, '\n')) // fails where the client is gone
}

// replyBytes writes an answer of a known length.
func replyBytes(w http.ResponseWriter, contentType string, body []byte) {
	header := w.Header()
	header.Set("Content-Type", contentType)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // fails where the client is gone
}
