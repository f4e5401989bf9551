package client

import (
	"context"
	"net/http"
	"net/url"
	"time"
)

const (
	statusTimeout     = 2 * time.Second
	snapshotTimeout   = time.Minute // of a backup or a restore
	membershipTimeout = 20 * time.Second
)

// Status asks every node for its own status. It returns the statuses, and the errors of nodes that did not answer, by address.
func Status[T any](ctx context.Context, registry *Client) (statuses map[string]T, failed map[string]error) {
	type answer struct {
		address string
		status  T
		err     error
	}
	answers := make(chan answer, len(registry.addresses))
	for _, address := range registry.addresses {
		go func() {
			a := answer{address: address}
			_, a.err = registry.attempt(ctx, address, request{method: http.MethodGet, path: "/v1/status", timeout: statusTimeout}, &a.status)
			answers <- a
		}()
	}
	statuses, failed = map[string]T{}, map[string]error{}
	for range registry.addresses {
		a := <-answers
		if a.err != nil {
			failed[a.address] = a.err
		} else {
			statuses[a.address] = a.status
		}
	}
	return statuses, failed
}

// Backup returns the complete state as a file. With exact it is the leader's of now; without, any node's, also when no majority is left.
func (c *Client) Backup(ctx context.Context, exact bool) (backup []byte, err error) {
	path := "/v1/backup"
	if exact {
		path += "?exact=1"
	}
	err = c.do(ctx, request{method: http.MethodGet, path: path, timeout: snapshotTimeout}, &backup)
	return backup, err
}

// Restore replaces the state of all nodes by a backup.
func (c *Client) Restore(ctx context.Context, backup []byte) (result Result, err error) {
	err = c.do(ctx, request{method: http.MethodPost, path: "/v1/restore", rawBody: backup, notIdempotent: true, timeout: snapshotTimeout}, &result)
	return result, err
}

// RemoveNode removes a node from the cluster.
func (c *Client) RemoveNode(ctx context.Context, name string) error {
	q := request{method: http.MethodDelete, path: "/v1/keepers/" + url.PathEscape(name), notIdempotent: true, timeout: membershipTimeout}
	return c.do(ctx, q, nil)
}
