package client

import (
	"context"
	"net/http"
	"net/url"

	"gradeusher.example/gradeusher/internal/sidecar/state"
)

// RoleCall holds the arguments of ChangeRole. Each action reads those that state.RoleCall names for it.
type RoleCall struct {
	Process      string `json:"who,omitempty"` // NAME#RUN
	Location     string `json:"room,omitempty"`
	RoleLocation string `json:"at,omitempty"`
	Load         int64  `json:"load,omitempty"`
	TTLMS        int64  `json:"ttl_ms,omitempty"`
	Epoch        int64  `json:"epoch,omitempty"`
	Successor    string `json:"to,omitempty"`
	Rejoin       bool   `json:"again,omitempty"`
	Failed       bool   `json:"failed,omitempty"`
	Force        bool   `json:"force,omitempty"`
	Step         string `json:"step,omitempty"`
	StepNo       *int64 `json:"step_no,omitempty"`

	IdleRoles []string `json:"idle,omitempty"`
	IdleMS    int64    `json:"idle_ms,omitempty"`
}

// RoleResult is a role after a change.
type RoleResult struct {
	Role    state.Role `json:"duty"`
	Cluster string     `json:"cluster"`
}

// RolesUpdate is all roles, or those that changed since a revision.
type RolesUpdate struct {
	Revision int64        `json:"rev"` // of the role table
	Complete bool         `json:"all"`
	Roles    []state.Role `json:"duties"`
	Cluster  string       `json:"cluster"`
}

// RoleRenewal is all that a process owns and waits for.
type RoleRenewal struct {
	Revision int64       `json:"rev"` // of the role table
	Cluster  string      `json:"cluster"`
	Owned    []OwnedRole `json:"holds"`
	Waiting  []string    `json:"waits"` // names of roles
}

// OwnedRole is a role as its owner needs to know it.
type OwnedRole struct {
	Name              string `json:"name"`
	Epoch             int64  `json:"epoch"`
	TTLMS             int64  `json:"ttl_ms"`
	Renewed           bool   `json:"renewed"` // the lease has begun anew, not before the renewal was sent
	HandoverRequested bool   `json:"asked,omitempty"`
	Successor         string `json:"to,omitempty"`
	Step              string `json:"step,omitempty"`
	StepNo            int64  `json:"step_no"`
}

// Roles returns all roles, or the one of a name, with every change that was acknowledged before the call.
func (c *Client) Roles(ctx context.Context, name string) (update RolesUpdate, err error) {
	path := "/v1/duties?exact=1"
	if name != "" {
		path += "&name=" + url.QueryEscape(name)
	}
	err = c.do(ctx, request{method: http.MethodGet, path: path}, &update)
	return update, err
}

// RenewRoles renews all leases of a process (NAME#RUN). Errors are those of Register.
func (c *Client) RenewRoles(ctx context.Context, process string) (renewal RoleRenewal, err error) {
	err = c.do(ctx, request{method: http.MethodPost, path: "/v1/duties/renew", body: map[string]string{"who": process}}, &renewal)
	return renewal, err
}

// RoleAction is what ChangeRole does.
type RoleAction string

// The actions on a role.
const (
	Campaign   RoleAction = "campaign"   // become a candidate, or the owner if the role is free
	Withdraw   RoleAction = "withdraw"   // wait no more
	Release    RoleAction = "release"    // give the role up, as its owner
	Move       RoleAction = "move"       // ask the owner to give it up
	Checkpoint RoleAction = "checkpoint" // record a step, as its owner
	Forget     RoleAction = "forget"     // have idle roles forgotten, as the owner of this one
)

// ChangeRole acts on a role. Errors are those of Register. A checkpoint, which is not idempotent, is not retried where its outcome is unknown.
func (c *Client) ChangeRole(ctx context.Context, action RoleAction, name string, call RoleCall) (result RoleResult, err error) {
	path := "/v1/duties/" + url.PathEscape(name) + "/" + string(action)
	err = c.do(ctx, request{method: http.MethodPost, path: path, body: call, notIdempotent: action == Checkpoint}, &result)
	return result, err
}
