package client

import (
	"context"
	"net/http"
	"net/url"

	"gradeusher.example/gradeusher/internal/sidecar/state"
)

// DutyCall is what a call to change a duty says; each looks at the fields that it needs, as state.RoleCall tells.
type DutyCall struct {
	Who    string `json:"who,omitempty"` // NAME#RUN
	Room   string `json:"room,omitempty"`
	At     string `json:"at,omitempty"`
	Load   int64  `json:"load,omitempty"`
	TTLMS  int64  `json:"ttl_ms,omitempty"`
	Epoch  int64  `json:"epoch,omitempty"`
	To     string `json:"to,omitempty"`
	Again  bool   `json:"again,omitempty"`
	Failed bool   `json:"failed,omitempty"`
	Force  bool   `json:"force,omitempty"`
	Step   string `json:"step,omitempty"`
	StepNo *int64 `json:"step_no,omitempty"`

	Idle   []string `json:"idle,omitempty"`
	IdleMS int64    `json:"idle_ms,omitempty"`
}

// DutyDone is what became of it.
type DutyDone struct {
	Duty    state.Role `json:"duty"`
	Cluster string     `json:"cluster"`
}

// DutyNews is all duties, or those that changed since a revision.
type DutyNews struct {
	Rev     int64        `json:"rev"`
	All     bool         `json:"all"`
	Duties  []state.Role `json:"duties"`
	Cluster string       `json:"cluster"`
}

// DutyRenewal is all that a process holds and waits for.
type DutyRenewal struct {
	Rev     int64      `json:"rev"`
	Cluster string     `json:"cluster"`
	Holds   []HeldDuty `json:"holds"`
	Waits   []string   `json:"waits"`
}

// HeldDuty is a duty as its holder needs to know it.
type HeldDuty struct {
	Name    string `json:"name"`
	Epoch   int64  `json:"epoch"`
	TTLMS   int64  `json:"ttl_ms"`
	Renewed bool   `json:"renewed"` // its lease has begun anew, not before the renewal was sent
	Asked   bool   `json:"asked,omitempty"`
	To      string `json:"to,omitempty"`
	Step    string `json:"step,omitempty"`
	StepNo  int64  `json:"step_no"`
}

// Duties are all duties, or the one of a name, with every change that was acknowledged before the call.
func (c *Client) Duties(ctx context.Context, name string) (n DutyNews, err error) {
	path := "/v1/duties?exact=1"
	if name != "" {
		path += "&name=" + url.QueryEscape(name)
	}
	err = c.do(ctx, call{method: http.MethodGet, path: path}, &n)
	return n, err
}

// RenewDuties begins all leases of a process anew. Errors are those of Register.
func (c *Client) RenewDuties(ctx context.Context, who string) (r DutyRenewal, err error) {
	err = c.do(ctx, call{method: http.MethodPost, path: "/v1/duties/renew", body: map[string]string{"who": who}}, &r)
	return r, err
}

// DutyTurn is what ChangeDuty does.
type DutyTurn string

// What can be done to a duty.
const (
	Campaign   DutyTurn = "campaign"   // wait for it, or get it
	Withdraw   DutyTurn = "withdraw"   // wait no more
	Release    DutyTurn = "release"    // let go of it
	Move       DutyTurn = "move"       // ask its holder to
	Checkpoint DutyTurn = "checkpoint" // record a step
	Forget     DutyTurn = "forget"     // forget idle duties, in the office of this one
)

// ChangeDuty does it. Errors are those of Register. What a second call might do otherwise than the first, a checkpoint, is not sent
// again where its outcome is unknown.
func (c *Client) ChangeDuty(ctx context.Context, turn DutyTurn, name string, q DutyCall) (d DutyDone, err error) {
	err = c.do(ctx, call{method: http.MethodPost, path: "/v1/duties/" + url.PathEscape(name) + "/" + string(turn), body: q, once: turn == Checkpoint}, &d)
	return d, err
}
