package distribution

import (
	"sync"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/rpc"
)

const (
	cachedRecords = 256     // records whose compressed bodies are cached, at most
	cachedBytes   = 4 << 20 // bytes of these bodies, unless a single one has more
)

// recordCache has the newest large records as they are sent, so that each is compressed once for all subscribers. The zero value is ready.
type recordCache struct {
	mu      sync.Mutex // held while one is compressed: the others wait for it
	records []*distributionpb.Record
	bytes   int
}

// encode returns a record as it is sent. The message is shared: do not change it.
func (c *recordCache) encode(record controlstate.Record) *distributionpb.Record {
	encoded := &distributionpb.Record{Seq: record.Seq, Op: uint32(record.Op), Base: record.Base, Body: record.Body, Zone: record.Zone}
	if len(record.Body) < rpc.MinCompressBytes {
		return encoded
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cached := range c.records {
		if cached.GetSeq() == record.Seq {
			return cached
		}
	}
	encoded.Body, encoded.Deflated = rpc.Compress(record.Body)
	c.records, c.bytes = append(c.records, encoded), c.bytes+len(encoded.GetBody())
	c.evict()
	return encoded
}

// evict drops the oldest records beyond the bounds. The caller holds mu.
func (c *recordCache) evict() {
	for len(c.records) > 1 && (len(c.records) > cachedRecords || c.bytes > cachedBytes) {
		c.bytes -= len(c.records[0].GetBody())
		c.records[0] = nil
		c.records = c.records[1:]
	}
}
