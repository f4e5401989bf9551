package client

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/url"
	"strconv"
)

// WatchRoles watches the roles of a process (NAME#RUN; "": all roles) until ctx is done, at one node after the other, and calls onUpdate with what
// changes. Updates may come late, or not at all while it goes from node to node: an owner goes by the answers to its renewals. The error says
// which address is invalid.
func WatchRoles(ctx context.Context, addresses []string, process string, log *slog.Logger, onUpdate func(RolesUpdate)) error {
	if err := checkAddresses(addresses); err != nil {
		return err
	}
	rotation := newRotation("duties", addresses, log)
	watch := roleWatch{rotation: &rotation, process: process, onUpdate: onUpdate, revision: -1}
	rotation.run(ctx, watch.run, rotation.wait)
	return nil
}

type roleWatch struct {
	rotation *rotation
	process  string
	onUpdate func(RolesUpdate)
	revision int64  // of the last update; below 0: none came
	cluster  string // whose revision that is
}

func (rw *roleWatch) run(ctx context.Context, address string) watchResult {
	path := "/v1/duties?watch=1&ages=1&who=" + url.QueryEscape(rw.process)
	if rw.revision >= 0 {
		path += "&from=" + strconv.FormatInt(rw.revision, 10) + "&cluster=" + rw.cluster
	}
	return rw.rotation.watch(ctx, address, path, watchHandlers{onLine: rw.receive})
}

func (rw *roleWatch) receive(text []byte) (useful bool, err error) {
	if len(text) == 0 {
		return true, nil
	}
	var update RolesUpdate
	if err := json.Unmarshal(text, &update); err != nil {
		return true, fmt.Errorf("duties: %w", err)
	}
	rw.revision, rw.cluster = update.Revision, update.Cluster
	rw.onUpdate(update)
	return true, nil
}
