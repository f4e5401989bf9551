package registry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/client"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

// proposeRole proposes an operation on roles, with the time by this node's clock. While a backup replaces the state it refuses: a role that is
// granted meanwhile would be granted again under the same epoch.
func (n *Node) proposeRole(ctx context.Context, op state.Op, call state.RoleCall) (state.Result, error) {
	if !n.restoring.TryRLock() {
		return state.Result{}, errTooManyCalls
	}
	defer n.restoring.RUnlock()
	call.NowMS = time.Now().UnixMilli()
	return n.propose(ctx, state.Command{Op: op, Role: &call})
}

// changeRole returns the handler of POST /v1/duties/{name}/..., which changes a role.
func (n *Node) changeRole(op state.Op) callHandler {
	return func(w http.ResponseWriter, r *http.Request) error {
		var request client.RoleCall
		if err := decode(r, &request); err != nil {
			return err
		}
		result, err := n.proposeRole(r.Context(), op, roleCall(r.PathValue("name"), request))
		if err != nil {
			return err
		}
		reply(w, http.StatusOK, client.RoleResult{Role: *result.Role, Cluster: n.store.cluster()})
		return nil
	}
}

func roleCall(name string, request client.RoleCall) state.RoleCall {
	return state.RoleCall{
		Name:         name,
		Process:      request.Process,
		Location:     request.Location,
		RoleLocation: request.RoleLocation,
		Load:         request.Load,
		TTLMS:        request.TTLMS,
		Epoch:        request.Epoch,
		Successor:    request.Successor,
		Rejoin:       request.Rejoin,
		Failed:       request.Failed,
		Force:        request.Force,
		Step:         request.Step,
		StepNo:       request.StepNo,
		IdleRoles:    request.IdleRoles,
		IdleMS:       request.IdleMS,
	}
}

// renewRolesRequest is the body of a renewal.
type renewRolesRequest struct {
	Process string `json:"who"`
}

// renewRoles handles POST /v1/duties/renew: it renews the leases of all roles that a process owns, and answers all that it owns and waits for.
// The leader confirms first that it still leads: one that was paused and resumes would renew leases that its successor has ended.
func (n *Node) renewRoles(w http.ResponseWriter, r *http.Request) error {
	var request renewRolesRequest
	if err := decode(r, &request); err != nil {
		return err
	}
	if err := state.CheckProcess(request.Process); err != nil {
		return invalidf("who: %w", err)
	}
	if !n.restoring.TryRLock() {
		return errTooManyCalls
	}
	defer n.restoring.RUnlock()
	if err := n.replica.Confirm(r.Context()); err != nil {
		return err
	}
	answer := client.RoleRenewal{Owned: []client.OwnedRole{}, Waiting: []string{}}
	var roles []state.Role
	n.store.read(func(m *state.Machine) {
		answer.Cluster, answer.Revision, roles = m.Cluster(), m.RoleRevision(), m.RolesOf(request.Process)
	})
	renewed, ok := n.roleLessor.renew(time.Now(), request.Process, roles)
	if !ok {
		return errBehind
	}
	for i := range roles {
		if roles[i].IsOwner(request.Process) {
			answer.Owned = append(answer.Owned, ownedRole(&roles[i], renewed[i]))
		} else {
			answer.Waiting = append(answer.Waiting, roles[i].Name)
		}
	}
	reply(w, http.StatusOK, answer)
	return nil
}

func ownedRole(role *state.Role, renewed bool) client.OwnedRole {
	return client.OwnedRole{
		Name:              role.Name,
		Epoch:             role.Epoch,
		TTLMS:             role.Owner.TTLMS,
		Renewed:           renewed,
		HandoverRequested: role.HandoverRequested,
		Successor:         role.Successor,
		Step:              role.Step,
		StepNo:            role.StepNo,
	}
}

// rolesQuery is a call for roles.
type rolesQuery struct {
	watchQuery
	process string // only those that it owns or waits for; "": all
	name    string // only the one; "": all
}

func parseRolesQuery(r *http.Request) (rolesQuery, error) {
	base, err := parseWatchQuery(r)
	if err != nil {
		return rolesQuery{watchQuery: base}, err
	}
	asked := rolesQuery{watchQuery: base, process: r.URL.Query().Get("who"), name: r.URL.Query().Get("name")}
	if asked.process != "" {
		if err := state.CheckProcess(asked.process); err != nil {
			return asked, invalidf("who: %w", err)
		}
	}
	return asked, nil
}

// roles handles GET /v1/duties: roles, or a watch.
func (n *Node) roles(w http.ResponseWriter, r *http.Request) {
	asked, err := parseRolesQuery(r)
	n.serveQuery(w, r, query{
		watch: asked.watch, err: err, op: "duties", watchOp: "watch-duties",
		answer:   func(w http.ResponseWriter, r *http.Request) error { return n.replyRoles(w, r, asked) },
		runWatch: func(w http.ResponseWriter, r *http.Request) error { return n.watchRoles(w, r, asked) },
	})
}

func (n *Node) replyRoles(w http.ResponseWriter, r *http.Request, asked rolesQuery) error {
	if asked.exact {
		if err := n.replica.Confirm(r.Context()); err != nil {
			return err
		}
	}
	update, _ := n.rolesUpdate(asked, asked.from, map[string]bool{})
	if update.Cluster == "" {
		return errNoList
	}
	reply(w, http.StatusOK, update)
	return nil
}

// rolesUpdate returns the roles that changed after a revision, and a channel that is closed when there are more. published are the names of
// roles that a client who asks for those of a process has received: it gets one more update of a role that the process lost.
func (n *Node) rolesUpdate(asked rolesQuery, from int64, published map[string]bool) (update client.RolesUpdate, changed <-chan struct{}) {
	update = client.RolesUpdate{Complete: from < 0, Roles: []state.Role{}}
	var roles []state.Role
	n.store.read(func(m *state.Machine) {
		changed = n.store.rolesChanged
		update.Revision, update.Cluster = m.RoleRevision(), m.Cluster()
		if asked.process == "" {
			roles = m.RolesSince(from)
		} else {
			roles = rolesOfProcess(m, asked.process, from, published)
		}
	})
	for _, role := range roles {
		if asked.name != "" && role.Name != asked.name {
			continue
		}
		if asked.process != "" && !reduceTo(&role, asked.process) {
			delete(published, role.Name)
		}
		update.Roles = append(update.Roles, role)
	}
	return update, changed
}

// rolesOfProcess returns the roles that changed after a revision among those that a process owns or waits for and those that were published. It
// adds their names to published.
func rolesOfProcess(m *state.Machine, process string, from int64, published map[string]bool) []state.Role {
	for _, role := range m.RolesOf(process) {
		published[role.Name] = true
	}
	var roles []state.Role
	for _, name := range slices.Sorted(maps.Keys(published)) {
		if role, found := m.Role(name); found && role.Revision > from {
			roles = append(roles, role)
		}
	}
	return roles
}

// reduceTo takes out of a role what is of no use to a process, the other candidates, and returns whether the process owns it or waits for it.
func reduceTo(role *state.Role, process string) bool {
	role.Failures = nil
	i := role.WaitingIndex(process)
	if i < 0 {
		role.Waiting = nil
		return role.IsOwner(process)
	}
	role.Waiting = role.Waiting[i : i+1]
	return true
}

// watchRoles writes roles that change until the client is gone or too slow, or this node ends. Changes that come while a line is written make
// one line.
func (n *Node) watchRoles(w http.ResponseWriter, r *http.Request, asked rolesQuery) error {
	if err := n.admitWatch(&n.roleWatchers); err != nil {
		return err
	}
	defer n.roleWatchers.Add(-1)
	from, err := n.resolveRolesFrom(r, asked)
	if err != nil {
		return err
	}
	stream := n.beginWatch(w, r, asked.withAges)
	defer stream.close()
	n.streamRoles(stream, asked, from)
	return nil
}

// resolveRolesFrom waits until this node knows the revision that a client has, and returns the one from which it goes on; below 0: it needs all.
func (n *Node) resolveRolesFrom(r *http.Request, asked rolesQuery) (int64, error) {
	var revision int64
	where, err := n.waitUntilKnown(r, asked.cluster, func() (known bool, changed <-chan struct{}) {
		n.store.read(func(m *state.Machine) { revision, changed = m.RoleRevision(), n.store.rolesChanged })
		return asked.from <= revision, changed
	})
	switch {
	case errors.Is(err, errBehind):
		return 0, fmt.Errorf("%w: it knows revision %d of duties, not %d", errBehind, revision, asked.from)
	case err != nil:
		return 0, err
	case where != positionKnown:
		return -1, nil
	}
	return asked.from, nil
}

func (n *Node) streamRoles(stream *watchStream, asked rolesQuery, from int64) {
	published := map[string]bool{}
	for first := true; ; first = false {
		update, changed := n.rolesUpdate(asked, from, published)
		if first || len(update.Roles) > 0 {
			line, err := json.Marshal(update)
			if err != nil || !stream.write(append(line, '\n')) {
				return
			}
		}
		from = update.Revision
		switch stream.wait(changed) {
		case watchEnded:
			return
		case watchHeartbeat:
			if !stream.write(emptyLine) {
				return
			}
		case watchChanged:
		}
	}
}
