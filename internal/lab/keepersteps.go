package lab

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"go.etcd.io/bbolt"

	"gradeusher.example/gradeusher/internal/lab/clock"
	"gradeusher.example/gradeusher/internal/lab/plan"
	"gradeusher.example/gradeusher/internal/sidecar/client"
)

// keeperState is what the lab reads of a keeper's status.
type keeperState struct {
	Role    string `json:"role"`
	AgeMS   int64  `json:"age_ms"`
	Rev     int64  `json:"rev"`
	Cluster string `json:"cluster"`
}

const leaderPatience = 10 * time.Second

// leader asks the keepers who leads, by a way without faults, until one does.
func (ks *keepers) leader(ctx context.Context) (*keeper, error) {
	var own []string
	for _, k := range ks.all {
		own = append(own, k.http.Addr.String())
	}
	c, err := client.New(own)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(ctx, leaderPatience)
	defer cancel()
	for {
		all, _ := client.Status[keeperState](ctx, c)
		for _, k := range ks.all {
			if s, ok := all[k.http.Addr.String()]; ok && s.Role == "leader" && s.AgeMS == 0 {
				return k, nil
			}
		}
		select {
		case <-ctx.Done():
			return nil, errors.New("no keeper leads")
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// of is the keeper that a step means: whoever led when its fault began, where it says so.
func (ks *keepers) of(ctx context.Context, s *plan.Step) (*keeper, error) {
	if k, ok := plan.KeeperOf(s.Sidecar); ok {
		return ks.all[k], nil
	}
	ks.mu.Lock()
	k := ks.chosen[s.Fault]
	ks.mu.Unlock()
	if k != nil {
		return k, nil
	}
	if s.Do == plan.Backup || s.Do == plan.Restore {
		return nil, nil // whoever leads
	}
	k, err := ks.leader(ctx)
	if err != nil {
		return nil, err
	}
	ks.mu.Lock()
	defer ks.mu.Unlock()
	ks.chosen[s.Fault] = k
	return k, nil
}

// nameOf is whom a step acts on.
func (ks *keepers) nameOf(s *plan.Step) string {
	if k, ok := plan.KeeperOf(s.Sidecar); ok {
		return ks.all[k].name
	}
	ks.mu.Lock()
	defer ks.mu.Unlock()
	if k := ks.chosen[s.Fault]; k != nil {
		return k.name
	}
	return "leader"
}

// inTurn has steps that wait run one after the other where they act on one keeper, and beside each other where not.
func (ks *keepers) inTurn(s *plan.Step, run func()) {
	ks.mu.Lock()
	before := ks.turns[s.Sidecar]
	own := make(chan struct{})
	ks.turns[s.Sidecar] = own
	ks.mu.Unlock()
	go func() {
		defer close(own)
		if before != nil {
			<-before
		}
		run()
	}()
}

// step does what a step says to a keeper.
func (ks *keepers) step(ctx context.Context, s *plan.Step) (int64, error) {
	k, err := ks.of(ctx, s)
	if err != nil {
		return clock.Now(), err
	}
	switch s.Do {
	case plan.Stop, plan.Cont, plan.Disk:
		k.mu.Lock()
		defer k.mu.Unlock()
		now := clock.Now()
		switch s.Do {
		case plan.Stop:
			return now, k.run.Signal(syscall.SIGSTOP, false)
		case plan.Cont:
			return now, k.run.Signal(syscall.SIGCONT, false)
		}
		return now, k.run.SetDiskState(s.Mode)
	case plan.Tear:
		return clock.Now(), tear(filepath.Join(k.folder, "data", "raft"), s.Mode)
	case plan.Link, plan.Reset, plan.Forget:
		return ks.links(k, s)
	case plan.Backup, plan.Restore:
		return clock.Now(), ks.save(ctx, s.Do == plan.Backup)
	case plan.Start:
		return clock.Now(), ks.start(k)
	}
	k.mu.Lock()
	p := k.run
	k.mu.Unlock()
	at := clock.Now()
	sig := syscall.SIGKILL
	if s.Do == plan.Term {
		sig = syscall.SIGTERM
	}
	_, err = endBy(p, sig)
	return at, err
}

// save takes a backup, or restores the one that was taken.
func (ks *keepers) save(ctx context.Context, take bool) error {
	c, ctx, done, err := ks.fleet.callKeepers(ctx)
	if err != nil {
		return err
	}
	defer done()
	ks.mu.Lock()
	defer ks.mu.Unlock()
	if take {
		ks.backup, err = c.Backup(ctx, true)
		return err
	}
	_, err = c.Restore(ctx, ks.backup)
	return err
}

// tear takes the end off a keeper's newest log file ("torn") or snapshot ("short").
func tear(folder, mode string) error {
	pattern := filepath.Join(folder, "log.bolt")
	if mode == "short" {
		pattern = filepath.Join(folder, "snapshots", "*", "state.bin")
	}
	paths, err := filepath.Glob(pattern)
	if err != nil || len(paths) == 0 {
		return fmt.Errorf("nothing to tear at %s: %w", pattern, err)
	}
	slices.SortFunc(paths, func(a, b string) int { return cmp.Compare(modified(a), modified(b)) })
	path := paths[len(paths)-1]
	size, err := inUse(path)
	if err != nil {
		return err
	}
	return os.Truncate(path, size/2)
}

// inUse is how many bytes of a file hold anything: a log's file is laid out ahead of what is written, and a tear in that part is none.
func inUse(path string) (size int64, err error) {
	if filepath.Base(path) != "log.bolt" {
		info, err := os.Stat(path)
		if err != nil {
			return 0, err
		}
		return info.Size(), nil
	}
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second, ReadOnly: true})
	if err != nil {
		return 0, err
	}
	defer db.Close()
	err = db.View(func(tx *bbolt.Tx) error {
		size = tx.Size()
		return nil
	})
	return size, err
}

func modified(path string) int64 {
	info, err := os.Stat(path)
	if err != nil {
		return math.MinInt64
	}
	return info.ModTime().UnixNano()
}
