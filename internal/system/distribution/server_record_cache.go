package distribution

import (
	"sync"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/rpc"
)

const (
	cachedRecords = 256     // records whose compressed bodies are kept, at most
	cachedBytes   = 4 << 20 // bytes of these bodies, unless a single one has more
)

// recordCache keeps the newest large records as they go out. The zero value is ready.
type recordCache struct {
	mu      sync.Mutex // held while one is compressed: the others wait for it
	records []*distributionpb.Record
	bytes   int
}

// encode is r as it goes out. It is shared: do not change it.
func (c *recordCache) encode(r controlstate.Record) *distributionpb.Record {
	w := &distributionpb.Record{Seq: r.Seq, Op: uint32(r.Op), Base: r.Base, Body: r.Body, Zone: r.Zone}
	if len(r.Body) < rpc.MinCompressBytes {
		return w
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.records {
		if k.GetSeq() == r.Seq {
			return k
		}
	}
	w.Body, w.Deflated = rpc.Compress(r.Body)
	c.records, c.bytes = append(c.records, w), c.bytes+len(w.GetBody())
	for len(c.records) > 1 && (len(c.records) > cachedRecords || c.bytes > cachedBytes) {
		c.bytes -= len(c.records[0].GetBody())
		c.records[0] = nil
		c.records = c.records[1:]
	}
	return w
}
