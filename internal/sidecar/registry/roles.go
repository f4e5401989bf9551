package registry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/client"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

// proposeRoleChange has a command of duties agreed on, at the time that it is here, and returns the number that the result has. A restore
// that goes on refuses it.
func (k *Node) proposeRoleChange(ctx context.Context, op state.Op, c state.RoleCall) (int64, error) {
	r, err := k.proposeRole(ctx, op, c)
	return r.Revision, err
}

func (k *Node) proposeRole(ctx context.Context, op state.Op, c state.RoleCall) (state.Result, error) {
	// Danger: a duty that is granted while a backup takes the place of the state would be granted again.
	if !k.restoring.TryRLock() {
		return state.Result{}, errTooManyCalls
	}
	defer k.restoring.RUnlock()
	c.NowMS = time.Now().UnixMilli()
	return k.propose(ctx, state.Command{Op: op, Role: &c})
}

// changeRole is a call that changes a duty.
func (k *Node) changeRole(op state.Op) func(http.ResponseWriter, *http.Request) error {
	return func(w http.ResponseWriter, r *http.Request) error {
		var c client.RoleCall
		if err := decode(r, &c); err != nil {
			return err
		}
		result, err := k.proposeRole(r.Context(), op, state.RoleCall{Name: r.PathValue("name"), Process: c.Process, Location: c.Location, RoleLocation: c.RoleLocation, Load: c.Load,
			TTLMS: c.TTLMS, Epoch: c.Epoch, Successor: c.Successor, Rejoin: c.Rejoin, Failed: c.Failed, Force: c.Force, Step: c.Step, StepNo: c.StepNo,
			IdleRoles: c.IdleRoles, IdleMS: c.IdleMS})
		if err != nil {
			return err
		}
		a := client.RoleResult{Role: *result.Role}
		k.store.read(func(m *state.Machine) { a.Cluster = m.Cluster() })
		reply(w, http.StatusOK, a)
		return nil
	}
}

// renewRoles begins the leases of all duties of a process anew, and answers all that it holds and waits for.
func (k *Node) renewRoles(w http.ResponseWriter, r *http.Request) error {
	var c struct {
		Who string `json:"who"`
	}
	if err := decode(r, &c); err != nil {
		return err
	}
	if err := state.CheckProcess(c.Who); err != nil {
		return invalidf("who: %w", err)
	}
	if !k.restoring.TryRLock() {
		return errTooManyCalls
	}
	defer k.restoring.RUnlock()
	// Danger: a leader that was stopped and wakes would say that all is well while another has given the duties away.
	if err := k.replica.Confirm(r.Context()); err != nil {
		return err
	}
	a := client.RoleRenewal{Owned: []client.OwnedRole{}, Waiting: []string{}}
	var all []state.Role
	k.store.read(func(m *state.Machine) { a.Cluster, a.Revision, all = m.Cluster(), m.RoleRevision(), m.RolesOf(c.Who) })
	renewed, ok := k.roleLessor.renew(time.Now(), c.Who, all)
	if !ok {
		return errBehind
	}
	for i, d := range all {
		if d.IsOwner(c.Who) {
			a.Owned = append(a.Owned, client.OwnedRole{Name: d.Name, Epoch: d.Epoch, TTLMS: d.Owner.TTLMS, Renewed: renewed[i], HandoverRequested: d.HandoverRequested, Successor: d.Successor, Step: d.Step, StepNo: d.StepNo})
		} else {
			a.Waiting = append(a.Waiting, d.Name)
		}
	}
	reply(w, http.StatusOK, a)
	return nil
}

// rolesQuery is a call for duties.
type rolesQuery struct {
	listQuery
	process, name string // only those of a process, or one
}

func parseRolesQuery(r *http.Request) (a rolesQuery, err error) {
	if a.listQuery, err = parseListQuery(r); err != nil {
		return a, err
	}
	a.process, a.name = r.URL.Query().Get("who"), r.URL.Query().Get("name")
	if a.process != "" {
		if err := state.CheckProcess(a.process); err != nil {
			return a, invalidf("who: %w", err)
		}
	}
	return a, nil
}

// rolesUpdate is what is new for one who knows a revision; told are the names that he was told of, where he asks for a process's.
func (k *Node) rolesUpdate(a rolesQuery, from int64, told map[string]bool) (n client.RolesUpdate, changed <-chan struct{}) {
	n = client.RolesUpdate{Complete: from < 0, Roles: []state.Role{}}
	k.store.read(func(m *state.Machine) {
		changed = k.store.rolesChanged
		n.Revision, n.Cluster = m.RoleRevision(), m.Cluster()
		switch {
		case a.process == "":
			n.Roles = append(n.Roles, m.RolesSince(from)...)
		default:
			for _, d := range m.RolesOf(a.process) {
				told[d.Name] = true
			}
			for name := range told {
				if d, ok := m.Role(name); ok && d.Revision > from {
					n.Roles = append(n.Roles, d)
				}
			}
		}
	})
	kept := n.Roles[:0]
	for _, d := range n.Roles {
		if a.name != "" && d.Name != a.name {
			continue
		}
		if a.process != "" { // who else waits is nothing to him
			own := d.WaitingIndex(a.process)
			if own >= 0 {
				d.Waiting = d.Waiting[own : own+1]
			} else {
				d.Waiting = nil
			}
			d.Failures = nil
			if own < 0 && !d.IsOwner(a.process) {
				delete(told, d.Name)
			}
		}
		kept = append(kept, d)
	}
	n.Roles = kept
	return n, changed
}

// roles answers roles, or a watch.
func (k *Node) roles(w http.ResponseWriter, r *http.Request) {
	a, err := parseRolesQuery(r)
	if err == nil && a.watch {
		if err = k.watchRoles(w, r, a); err != nil {
			k.refuse(w, "watch-duties", err)
		}
		return
	}
	k.admit("duties", func(w http.ResponseWriter, r *http.Request) error {
		if err != nil {
			return err
		}
		if a.exact {
			if err := k.replica.Confirm(r.Context()); err != nil {
				return err
			}
		}
		n, _ := k.rolesUpdate(a, a.from, map[string]bool{})
		if n.Cluster == "" {
			return errNoList
		}
		reply(w, http.StatusOK, n)
		return nil
	})(w, r)
}

// watchRoles writes duties that change, until the caller goes, is too slow, or this keeper ends. Changes that come while a line is
// written make one line.
func (k *Node) watchRoles(w http.ResponseWriter, r *http.Request, a rolesQuery) error {
	if err := k.admitWatch(&k.roleWatchers); err != nil {
		return err
	}
	defer k.roleWatchers.Add(-1)
	var rev int64
	at, err := k.waitUntilKnown(r, a.cluster, func() (ahead bool, changed <-chan struct{}) {
		k.store.read(func(m *state.Machine) { rev, changed = m.RoleRevision(), k.store.rolesChanged })
		return a.from > rev, changed
	})
	switch {
	case errors.Is(err, errBehind):
		return fmt.Errorf("%w: it knows revision %d of duties, not %d", errBehind, rev, a.from)
	case err != nil:
		return err
	case at != positionKnown:
		a.from = -1
	}
	beat := beginWatch(w, a.withAges)
	defer beat.Stop()
	told := map[string]bool{}
	for from, first := a.from, true; ; first = false {
		n, changed := k.rolesUpdate(a, from, told)
		if first || len(n.Roles) > 0 {
			line, err := json.Marshal(n)
			if err != nil || !k.writeLines(w, append(line, '\n')) {
				return nil // its answer has begun: all there is to say is to end it
			}
		}
		from = n.Revision
		select {
		case <-changed:
			continue
		case <-beat.C:
			if !k.writeLines(w, []byte("\n")) {
				return nil
			}
		case <-r.Context().Done():
			return nil
		case <-k.ending:
			return nil
		}
	}
}
