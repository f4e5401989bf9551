package client

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"

	"gradeusher.example/gradeusher/internal/sidecar/list"
)

// Entry is a server as the registry has it.
type Entry struct {
	list.Target
	LeaseMS  int64  `json:"lease_ms,omitempty"` // length of its lease; 0: it has none
	Revision int64  `json:"rev"`                // of its last change
	Reason   string `json:"why,omitempty"`      // why it drains, as state.Entry has it
}

// Result is the outcome of a write, or a server.
type Result struct {
	Revision int64  `json:"rev"` // of the server
	Cluster  string `json:"cluster"`
	Server   *Entry `json:"server,omitempty"`
}

// List returns the complete list. With exact it has every write that was acknowledged before the call.
func (c *Client) List(ctx context.Context, exact bool) (list.List, error) {
	path := "/v1/servers"
	if exact {
		path += "?exact=1"
	}
	var text []byte
	if err := c.do(ctx, request{method: http.MethodGet, path: path}, &text); err != nil {
		return list.List{}, err
	}
	return list.Parse(text)
}

// Server returns one server, with every write that was acknowledged before the call, and whether there is one.
func (c *Client) Server(ctx context.Context, uid string) (entry Entry, found bool, err error) {
	var result Result
	err = c.do(ctx, request{method: http.MethodGet, path: "/v1/servers/" + url.PathEscape(uid)}, &result)
	var refused *RefusedError
	if errors.As(err, &refused) && refused.Status == http.StatusNotFound {
		return Entry{}, false, nil
	}
	if err != nil || result.Server == nil {
		return Entry{}, false, err
	}
	return *result.Server, true, nil
}

// Register puts servers on the list, all or none. expect, if not nil, is the revision that the only server's entry must have; 0: there must be no
// entry. Errors are a *RefusedError, ErrUncertain where expect is given, or wrap the last cause when ctx is done.
func (c *Client) Register(ctx context.Context, servers []list.Registration, expect *int64) (result Result, err error) {
	err = c.do(ctx, request{method: http.MethodPost, path: "/v1/servers", notIdempotent: expect != nil,
		body: map[string]any{"servers": servers, "expect": expect}}, &result)
	return result, err
}

// Action is what Change does to a server.
type Action string

// The actions on a server.
const (
	Drain      Action = "drain" // it gets no new work
	Serve      Action = "serve" // it gets work again
	Deregister Action = "leave" // it is removed from the list
)

// Change acts on one server. expect and errors are as with Register.
func (c *Client) Change(ctx context.Context, action Action, uid string, expect *int64) (result Result, err error) {
	q := request{method: http.MethodPost, path: "/v1/servers/" + url.PathEscape(uid) + "/" + string(action), notIdempotent: expect != nil}
	if action == Deregister {
		q.method, q.path = http.MethodDelete, "/v1/servers/"+url.PathEscape(uid)
	}
	if expect != nil {
		q.path += "?expect=" + strconv.FormatInt(*expect, 10)
	}
	err = c.do(ctx, q, &result)
	return result, err
}

// Renewal names the lease of one process of a server.
type Renewal struct {
	UID    string `json:"uid"`
	BootMS int64  `json:"boot_ms"`
}

// Renew renews leases, and returns the uids of those that cannot be renewed: their servers have to register again. Errors are those of
// Register.
func (c *Client) Renew(ctx context.Context, renewals []Renewal) (unknown []string, err error) {
	var answer struct {
		Unknown []string `json:"unknown"`
	}
	err = c.do(ctx, request{method: http.MethodPost, path: "/v1/renew", body: map[string]any{"renewals": renewals}}, &answer)
	return answer.Unknown, err
}
