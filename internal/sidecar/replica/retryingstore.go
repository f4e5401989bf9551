package replica

import (
	"log/slog"
	"time"

	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
)

// retryingStore writes terms and votes again until the disk takes them, where raft would end the process. While a write waits, this replica neither
// votes nor leads; it goes on by itself when the disk has room. Log entries that cannot be written are refused by raft itself.
type retryingStore struct {
	*raftboltdb.BoltStore
	log  *slog.Logger
	stop chan struct{} // closed when the replica ends
}

const retryInterval = 200 * time.Millisecond

// Set implements raft.StableStore.
func (s *retryingStore) Set(key, value []byte) error {
	s.retry(func() error { return s.BoltStore.Set(key, value) })
	return nil
}

// SetUint64 implements raft.StableStore.
func (s *retryingStore) SetUint64(key []byte, value uint64) error {
	s.retry(func() error { return s.BoltStore.SetUint64(key, value) })
	return nil
}

// retry calls write until it succeeds. When the replica ends before, it never returns: a vote that was not stored must not be given either, and the
// process is about to end.
func (s *retryingStore) retry(write func() error) {
	failed := false
	for {
		err := write()
		if err == nil {
			break
		}
		if !failed {
			s.log.Error("the disk cannot be written: this keeper stands aside", "err", err)
		}
		failed = true
		select {
		case <-time.After(retryInterval):
		case <-s.stop:
			select {}
		}
	}
	if failed {
		s.log.Info("the disk can be written again")
	}
}
