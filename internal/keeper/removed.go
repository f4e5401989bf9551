package keeper

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/replica"
	"gradeusher.example/gradeusher/internal/state"
)

const (
	removedEvery = time.Second
	removedAfter = 3 * time.Second // out of touch; then the others are asked
	mostStatus   = 1 << 20         // bytes
)

// awaitRemoval returns true once this keeper has been taken out of the cluster, false when ctx is done. One that led when it
// was removed knows; one that followed hears nothing more, and asks the others.
func (k *Keeper) awaitRemoval(ctx context.Context) bool {
	client := &http.Client{Timeout: removedEvery, Transport: &http.Transport{DisableKeepAlives: true}}
	tick := time.NewTicker(removedEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return false
		}
		if k.replica.Removed() {
			return true
		}
		if age, known := k.replica.Age(); known && age > removedAfter && k.leftOut(ctx, client) {
			return true
		}
	}
}

// leftOut tells whether a leader says that this keeper is none of the members. Danger: only a leader's word counts: a keeper
// that was cut off before this one was added knows nothing of it either.
func (k *Keeper) leftOut(ctx context.Context, client *http.Client) bool {
	var others []string
	k.store.read(func(m *state.Machine) {
		for _, p := range m.Keepers() {
			others = append(others, p.HTTP)
		}
	})
	for _, p := range k.config.Peers {
		others = append(others, p.HTTP)
	}
	for _, at := range others {
		if at == or(k.config.AdvertiseHTTP, k.config.HTTP) {
			continue
		}
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at+"/v1/status", nil)
		if err != nil {
			continue
		}
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		var s Status
		err = json.NewDecoder(io.LimitReader(resp.Body, mostStatus)).Decode(&s)
		resp.Body.Close()
		named := slices.ContainsFunc(s.Peers, func(p replica.Peer) bool { return p.Name == k.config.Name })
		if err == nil && s.Role == "leader" && s.AgeMS == 0 && len(s.Peers) > 0 && !named {
			return true
		}
	}
	return false
}
