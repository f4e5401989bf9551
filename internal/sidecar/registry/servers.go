package registry

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/client"
	"gradeusher.example/gradeusher/internal/sidecar/list"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

// registerRequest is the body of a registration.
type registerRequest struct {
	Servers []list.Registration `json:"servers"`
	Expect  *int64              `json:"expect,omitempty"` // see state.Command
}

// register handles POST /v1/servers.
func (n *Node) register(w http.ResponseWriter, r *http.Request) error {
	var request registerRequest
	if err := decode(r, &request); err != nil {
		return err
	}
	for i := range request.Servers {
		if request.Servers[i].State == "" {
			request.Servers[i].State = list.Serving
		}
	}
	return n.proposeAndReply(w, r, state.Command{Op: state.Register, Servers: request.Servers, Expect: request.Expect})
}

// expectRequest is the body of a change of one server, which may be left out.
type expectRequest struct {
	Expect *int64 `json:"expect,omitempty"`
}

// changeServer returns the handler of an operation on one server. What it expects stands in the query or in the body.
func (n *Node) changeServer(op state.Op) callHandler {
	return func(w http.ResponseWriter, r *http.Request) error {
		var request expectRequest
		if r.ContentLength != 0 {
			if err := decode(r, &request); err != nil {
				return err
			}
		}
		if text := r.URL.Query().Get("expect"); text != "" {
			revision, err := strconv.ParseInt(text, 10, 64)
			if err != nil {
				return invalidf("expect %.40q is no revision", text)
			}
			request.Expect = &revision
		}
		return n.proposeAndReply(w, r, state.Command{Op: op, UID: r.PathValue("uid"), Expect: request.Expect})
	}
}

func (n *Node) proposeAndReply(w http.ResponseWriter, r *http.Request, command state.Command) error {
	result, err := n.propose(r.Context(), command)
	if err != nil {
		return err
	}
	reply(w, http.StatusOK, client.Result{Revision: result.Revision, Cluster: n.store.cluster()})
	return nil
}

// server handles GET /v1/servers/{uid}: the entry with every write that was acknowledged before the call.
func (n *Node) server(w http.ResponseWriter, r *http.Request) error {
	if err := n.replica.Confirm(r.Context()); err != nil {
		return err
	}
	uid := r.PathValue("uid")
	var entry state.Entry
	var found bool
	var answer client.Result
	n.store.read(func(m *state.Machine) {
		entry, found = m.Entry(uid)
		answer.Cluster = m.Cluster()
	})
	if !found {
		return &state.Error{Code: state.NotFound, Reason: fmt.Sprintf("no server %.40q", uid)}
	}
	answer.Revision = entry.Revision
	answer.Server = &client.Entry{Target: entry.Target, LeaseMS: entry.LeaseMS, Revision: entry.Revision, Reason: entry.Reason}
	reply(w, http.StatusOK, answer)
	return nil
}

const maxRenewals = 4096 // in one call

// renewRequest is the body of a renewal of leases.
type renewRequest struct {
	Renewals []client.Renewal `json:"renewals"`
}

// renewAnswer names the servers that have to register again, because their lease is over or never was.
type renewAnswer struct {
	Unknown []string `json:"unknown"`
}

// renew handles POST /v1/renew. Only the leader renews, once it has confirmed that it still leads: a leader that was paused and resumes would
// accept renewals that its successor does not know of.
func (n *Node) renew(w http.ResponseWriter, r *http.Request) error {
	var request renewRequest
	if err := decode(r, &request); err != nil {
		return err
	}
	if len(request.Renewals) > maxRenewals {
		return invalidf("%d renewals, %d at most in a call", len(request.Renewals), maxRenewals)
	}
	if err := n.replica.Confirm(r.Context()); err != nil {
		return err
	}
	answer := renewAnswer{Unknown: []string{}}
	now := time.Now()
	for _, renewal := range request.Renewals {
		if !n.serverLessor.renew(now, renewal.UID, renewal.BootMS) && !n.hasFreshLease(renewal.UID, renewal.BootMS) {
			answer.Unknown = append(answer.Unknown, renewal.UID)
		}
	}
	reply(w, http.StatusOK, answer)
	return nil
}

// hasFreshLease tells whether a process has a lease that the lessor has not evaluated yet.
func (n *Node) hasFreshLease(uid string, bootMS int64) (fresh bool) {
	n.store.read(func(m *state.Machine) {
		entry, found := m.Entry(uid)
		mustRegister := entry.Reason == state.LeaseExpired || entry.Reason == state.RestoredFromBackup
		fresh = found && entry.BootMS == bootMS && entry.LeaseMS != 0 && !mustRegister
	})
	return fresh
}
