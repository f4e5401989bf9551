package replica

import (
	"log/slog"
	"time"

	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
)

// retryingStore has terms and votes wait for a disk that cannot be written: the library gives the whole process up otherwise.
// While one waits, this replica neither votes nor leads, and it goes on by itself when the disk has room. A log entry that
// cannot be written is refused by the library alone.
type retryingStore struct {
	*raftboltdb.BoltStore
	log  *slog.Logger
	stop chan struct{} // closed when the replica ends
}

const retryInterval = 200 * time.Millisecond // between two tries

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

// retry tries until it works. Danger: when the replica ends, a vote that was not kept must not be given either, so this then
// never returns; the process is about to end.
func (s *retryingStore) retry(try func() error) {
	for n := 0; ; n++ {
		err := try()
		if err == nil {
			if n > 0 {
				s.log.Info("the disk can be written again")
			}
			return
		}
		if n == 0 {
			s.log.Error("the disk cannot be written: this keeper stands aside", "err", err)
		}
		select {
		case <-time.After(retryInterval):
		case <-s.stop:
			select {}
		}
	}
}
