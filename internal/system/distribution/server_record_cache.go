package distribution

import (
	"sync"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/rpc"
)

const (
	cachedRecords = 256     // maximum number of records whose compressed bodies are cached
	cachedBytes   = 4 << 20 // maximum bytes of these bodies, unless a single one is larger
)

// recordCache holds the newest large records in encoded form, so that each is compressed once for all subscribers. The zero value is
// ready to use.
type recordCache struct {
	mu      sync.Mutex // held while a record is compressed: concurrent callers wait for the result
	records []*distributionpb.Record
	bytes   int
}

// encode returns a record in wire format. The message is shared and must not be modified.
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

// evict removes the oldest records beyond the bounds. The caller holds mu.
func (c *recordCache) evict() {
	for len(c.records) > 1 && (len(c.records) > cachedRecords || c.bytes > cachedBytes) {
		c.bytes -= len(c.records[0].GetBody())
		c.records[0] = nil
		c.records = c.records[1:]
	}
}
