package registry

import (
	"net/http"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/client"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

// backup handles GET /v1/backup: the complete state as a file. With exact=1 it has every write that was acknowledged before; without, any node
// answers with what it has, also when no majority is left.
func (n *Node) backup(w http.ResponseWriter, r *http.Request) error {
	if r.URL.Query().Get("exact") == "1" {
		if err := n.replica.Confirm(r.Context()); err != nil {
			return err
		}
	}
	text, err := n.store.Snapshot()
	if err != nil {
		return err
	}
	replyBytes(w, "application/octet-stream", text)
	return nil
}

// restore handles POST /v1/restore: it replaces the state of all nodes by that of a backup. The revision and the generation rise above all that
// were published since the backup: at least to the wall clock in microseconds, which no count of changes reaches.
func (n *Node) restore(w http.ResponseWriter, r *http.Request) error {
	if !n.membership.TryLock() {
		return errTooManyCalls
	}
	defer n.membership.Unlock()
	if err := n.replica.Confirm(r.Context()); err != nil {
		return err
	}
	restored, err := state.ReadSnapshot(r.Body)
	if err != nil {
		return invalidf("%w", err)
	}
	if restored.Cluster() == "" {
		return invalidf("the backup is of a cluster that never began")
	}
	n.restoring.Lock()
	defer n.restoring.Unlock()
	floor := time.Now().UnixMicro()
	n.store.read(func(current *state.Machine) {
		floor = max(floor, current.Revision()+1, current.Generation()+1)
		err = restored.CarryOverRoles(current)
	})
	if err != nil {
		return err
	}
	restored.RaiseRevision(floor)
	text, err := restored.Snapshot()
	if err != nil {
		return err
	}
	if err := n.replica.Restore(text); err != nil {
		return err
	}
	n.log.Warn("restored from a backup", "rev", restored.Revision(), "servers", restored.Len())
	reply(w, http.StatusOK, client.Result{Revision: restored.Revision(), Cluster: restored.Cluster()})
	return nil
}
