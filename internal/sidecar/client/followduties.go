package client

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/url"
	"strconv"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/list"
)

// FollowDuties watches the duties of a process, "": all, until ctx is done, at one keeper after the other, and tells what changes. A
// line may come late, or never while keepers change: whoever holds a duty goes by the answers to his renewals.
func FollowDuties(ctx context.Context, keepers []string, who string, log *slog.Logger, told func(DutyNews)) error {
	if err := checkKeepers(keepers); err != nil {
		return err
	}
	r := newRounds("duties", keepers, log)
	from, cluster := int64(-1), ""
	watch := func(ctx context.Context, keeper string) (came bool, after time.Duration, err error) {
		path := "/v1/duties?watch=1&ages=1&who=" + url.QueryEscape(who)
		if from >= 0 {
			path += "&from=" + strconv.FormatInt(from, 10) + "&cluster=" + cluster
		}
		lines, end, after, err := r.open(ctx, keeper, path)
		if err != nil {
			return false, after, err
		}
		defer end()
		silent := time.NewTimer(list.WatchTimeout)
		defer silent.Stop()
		for {
			select {
			case l := <-lines:
				if l.err != nil {
					return came, 0, l.err
				}
				silent.Reset(list.WatchTimeout)
				came = true
				if len(l.text) == 0 {
					continue
				}
				var n DutyNews
				if err := json.Unmarshal(l.text, &n); err != nil {
					return came, 0, fmt.Errorf("duties: %w", err)
				}
				from, cluster = n.Rev, n.Cluster
				told(n)
			case <-silent.C:
				return came, 0, fmt.Errorf("nothing came for %v", list.WatchTimeout)
			case <-ctx.Done():
				return came, 0, ctx.Err()
			}
		}
	}
	r.run(ctx, watch, r.wait)
	return nil
}
