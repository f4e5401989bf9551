package registry

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/client"
	"gradeusher.example/gradeusher/internal/sidecar/list"
	"gradeusher.example/gradeusher/internal/sidecar/replica"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

// Status is what a keeper knows of itself and its cluster.
type Status struct {
	replica.Status
	AgeMS          int64        `json:"age_ms"` // how long ago it last knew itself up to date; below 0: not since its start
	Cluster        string       `json:"cluster"`
	Revision       int64        `json:"rev"`
	OldestRevision int64        `json:"oldest_rev"` // from which a watch can go on
	Servers        int          `json:"servers"`
	Generation     int64        `json:"generation"` // of the route table
	Watchers       int64        `json:"watchers"`
	Leases         int          `json:"leases"`      // that run, as the leader counts
	PendingLeases  int          `json:"leases_held"` // that have ended and are held back
	Nodes          []state.Node `json:"keepers"`
}

func (k *Node) status(w http.ResponseWriter, _ *http.Request) {
	s := Status{Status: k.replica.Status(), Watchers: k.watchers.Load()}
	s.AgeMS = s.Age.Milliseconds()
	s.Leases, s.PendingLeases = k.serverLessor.counts()
	k.store.read(func(m *state.Machine) {
		s.Cluster, s.Revision, s.OldestRevision, s.Servers, s.Nodes = m.Cluster(), m.Revision(), m.OldestRevision(), m.Len(), m.Nodes()
		s.Generation = m.Generation()
	})
	reply(w, http.StatusOK, s)
}

const maxCatchUpLag = 64 // commands that a keeper may be behind to get its vote

// addNode takes a keeper in: first without a vote, and with one once it says that it has caught up.
func (k *Node) addNode(w http.ResponseWriter, r *http.Request) error {
	var c joinRequest
	if err := decode(r, &c); err != nil {
		return err
	}
	if err := list.CheckUID(c.Name); err != nil {
		return invalidf("name: %w", err)
	}
	for _, a := range []string{c.Raft, c.HTTP} {
		if err := list.CheckAddress(a); err != nil {
			return invalidf("%w", err)
		}
	}
	if !k.membership.TryLock() {
		return errTooManyCalls // one change of members at a time
	}
	defer k.membership.Unlock()
	p := replica.Peer{Name: c.Name, Address: c.Raft}
	if c.Lost {
		// Its old vote goes first: with an empty store it could elect one who lacks what was acknowledged.
		if err := k.replica.Forget(c.Name); err != nil {
			return membershipError(err)
		}
		k.log.Warn("a keeper lost its store, and its vote", "keeper", c.Name)
		reply(w, http.StatusAccepted, problem{Code: "removed", Reason: c.Name + " has no vote: it can join"})
		return nil
	}
	if err := k.replica.Add(r.Context(), p); err != nil {
		return membershipError(err)
	}
	if commit := k.replica.Status().Commit; c.Applied+maxCatchUpLag < commit {
		reply(w, http.StatusAccepted, problem{Code: "catching-up", Reason: fmt.Sprintf("%s is at %d of %d", c.Name, c.Applied, commit)})
		return nil
	}
	if err := k.replica.Promote(p); err != nil {
		return err
	}
	if _, err := k.propose(r.Context(), state.Command{Op: state.SetNode, Node: &state.Node{Name: c.Name, HTTPAddress: c.HTTP}}); err != nil {
		return err
	}
	k.log.Info("keeper joined", "keeper", c.Name)
	return k.replyPeers(w)
}

// membershipError is a change of members that does not fit who is there.
func membershipError(err error) error {
	for _, known := range []error{replica.ErrNotLeader, replica.ErrUncertain, replica.ErrBusy} {
		if errors.Is(err, known) {
			return err
		}
	}
	return &state.Error{Code: state.Conflict, Reason: err.Error()}
}

func (k *Node) removeNode(w http.ResponseWriter, r *http.Request) error {
	if !k.membership.TryLock() {
		return errTooManyCalls
	}
	defer k.membership.Unlock()
	name := r.PathValue("name")
	if err := k.replica.Remove(name); err != nil {
		return membershipError(err)
	}
	if name == k.config.Name {
		k.log.Info("keeper removed", "keeper", name)
		return k.replyPeers(w) // it no longer leads: its successor notes the rest
	}
	if _, err := k.propose(r.Context(), state.Command{Op: state.RemoveNode, Node: &state.Node{Name: name}}); err != nil {
		return err
	}
	k.log.Info("keeper removed", "keeper", name)
	return k.replyPeers(w)
}

func (k *Node) replyPeers(w http.ResponseWriter) error {
	peers, err := k.replica.Peers()
	if err != nil {
		return err
	}
	reply(w, http.StatusOK, map[string]any{"peers": peers})
	return nil
}

// backup answers the whole state as a file. With exact=1 it holds every write that was acknowledged before; without, any
// keeper answers with what it has, also when no majority is left.
func (k *Node) backup(w http.ResponseWriter, r *http.Request) error {
	if r.URL.Query().Get("exact") == "1" {
		if err := k.replica.Confirm(r.Context()); err != nil {
			return err
		}
	}
	text, err := k.store.Snapshot()
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = w.Write(text) // to a caller who may have gone
	return nil
}

// restore replaces the state of all keepers by that of a backup. Its revision rises above all that was shown since: at least
// to the wall clock in microseconds, which no count of changes reaches.
func (k *Node) restore(w http.ResponseWriter, r *http.Request) error {
	if !k.membership.TryLock() {
		return errTooManyCalls
	}
	defer k.membership.Unlock()
	if err := k.replica.Confirm(r.Context()); err != nil {
		return err
	}
	m, err := state.ReadSnapshot(r.Body)
	if err != nil {
		return invalidf("%w", err)
	}
	if m.Cluster() == "" {
		return invalidf("the backup is of a cluster that never began")
	}
	k.restoring.Lock()
	defer k.restoring.Unlock()
	floor := time.Now().UnixMicro()
	k.store.read(func(now *state.Machine) {
		floor = max(floor, now.Revision()+1, now.Generation()+1)
		err = m.CarryOverRoles(now)
	})
	if err != nil {
		return err
	}
	m.RaiseRevision(floor)
	text, err := m.Snapshot()
	if err != nil {
		return err
	}
	if err := k.replica.Restore(text); err != nil {
		return err
	}
	k.log.Warn("restored from a backup", "rev", m.Revision(), "servers", m.Len())
	reply(w, http.StatusOK, client.Result{Revision: m.Revision(), Cluster: m.Cluster()})
	return nil
}
