package client

import (
	"context"
	"net/http"
	"net/url"

	"gradeusher.example/gradeusher/internal/sidecar/state"
)

// RoleCall is what a call to change a duty says; each looks at the fields that it needs, as state.RoleCall tells.
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

// RoleResult is what became of it.
type RoleResult struct {
	Role    state.Role `json:"duty"`
	Cluster string     `json:"cluster"`
}

// RolesUpdate is all duties, or those that changed since a revision.
type RolesUpdate struct {
	Revision int64        `json:"rev"`
	Complete bool         `json:"all"`
	Roles    []state.Role `json:"duties"`
	Cluster  string       `json:"cluster"`
}

// RoleRenewal is all that a process holds and waits for.
type RoleRenewal struct {
	Revision int64       `json:"rev"`
	Cluster  string      `json:"cluster"`
	Owned    []OwnedRole `json:"holds"`
	Waiting  []string    `json:"waits"`
}

// OwnedRole is a duty as its holder needs to know it.
type OwnedRole struct {
	Name              string `json:"name"`
	Epoch             int64  `json:"epoch"`
	TTLMS             int64  `json:"ttl_ms"`
	Renewed           bool   `json:"renewed"` // its lease has begun anew, not before the renewal was sent
	HandoverRequested bool   `json:"asked,omitempty"`
	Successor         string `json:"to,omitempty"`
	Step              string `json:"step,omitempty"`
	StepNo            int64  `json:"step_no"`
}

// Roles are all duties, or the one of a name, with every change that was acknowledged before the call.
func (c *Client) Roles(ctx context.Context, name string) (n RolesUpdate, err error) {
	path := "/v1/duties?exact=1"
	if name != "" {
		path += "&name=" + url.QueryEscape(name)
	}
	err = c.do(ctx, request{method: http.MethodGet, path: path}, &n)
	return n, err
}

// RenewRoles begins all leases of a process anew. Errors are those of Register.
func (c *Client) RenewRoles(ctx context.Context, who string) (r RoleRenewal, err error) {
	err = c.do(ctx, request{method: http.MethodPost, path: "/v1/duties/renew", body: map[string]string{"who": who}}, &r)
	return r, err
}

// RoleAction is what ChangeDuty does.
type RoleAction string

// What can be done to a duty.
const (
	Campaign   RoleAction = "campaign"   // wait for it, or get it
	Withdraw   RoleAction = "withdraw"   // wait no more
	Release    RoleAction = "release"    // let go of it
	Move       RoleAction = "move"       // ask its holder to
	Checkpoint RoleAction = "checkpoint" // record a step
	Forget     RoleAction = "forget"     // forget idle duties, in the office of this one
)

// ChangeRole does it. Errors are those of Register. What a second call might do otherwise than the first, a checkpoint, is not sent
// again where its outcome is unknown.
func (c *Client) ChangeRole(ctx context.Context, turn RoleAction, name string, q RoleCall) (d RoleResult, err error) {
	err = c.do(ctx, request{method: http.MethodPost, path: "/v1/duties/" + url.PathEscape(name) + "/" + string(turn), body: q, notIdempotent: turn == Checkpoint}, &d)
	return d, err
}
