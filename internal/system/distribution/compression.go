package distribution

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
)

// A configuration of thousands of routes is much the same line again and again, and the way from one keeper to its
// followers is narrow: what is large goes out compressed, and is compressed once for all of them.

const (
	compressFrom  = 4 << 10  // bytes; less is not worth the time
	expandedLimit = 64 << 20 // bytes that compressed ones may come to
	cachedRecords = 256      // records whose compressed bodies are kept, at most
	cachedBytes   = 4 << 20  // bytes of these bodies, unless a single one has more
)

// Compress compresses what is large by DEFLATE, and tells whether it did.
func Compress(b []byte) (out []byte, deflated bool) {
	if len(b) < compressFrom {
		return b, false
	}
	var buffer bytes.Buffer
	w, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return b, false
	}
	if _, err = w.Write(b); err == nil {
		err = w.Close()
	}
	if err != nil || buffer.Len() >= len(b) {
		return b, false
	}
	return bytes.Clone(buffer.Bytes()), true
}

// Expand undoes compress. It fails where the bytes are damaged or come to more than 64 MiB.
func Expand(b []byte, deflated bool) ([]byte, error) {
	if !deflated {
		return b, nil
	}
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), expandedLimit+1))
	if err != nil {
		return nil, errors.Wrap(err, "distribution: compressed bytes cannot be read: ask for a snapshot")
	}
	if len(out) > expandedLimit {
		return nil, errors.Newf("distribution: compressed bytes come to more than %d: make the configuration smaller", expandedLimit)
	}
	return out, nil
}

// recordCache keeps the newest large records as they go out. The zero value is ready.
type recordCache struct {
	mu      sync.Mutex // held while one is compressed: the others wait for it
	records []*distributionpb.Record
	bytes   int
}

// encode is r as it goes out. It is shared: do not change it.
func (c *recordCache) encode(r controlstate.Record) *distributionpb.Record {
	w := &distributionpb.Record{Seq: r.Seq, Op: uint32(r.Op), Base: r.Base, Body: r.Body, Zone: r.Zone}
	if len(r.Body) < compressFrom {
		return w
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.records {
		if k.GetSeq() == r.Seq {
			return k
		}
	}
	w.Body, w.Deflated = Compress(r.Body)
	c.records, c.bytes = append(c.records, w), c.bytes+len(w.GetBody())
	for len(c.records) > 1 && (len(c.records) > cachedRecords || c.bytes > cachedBytes) {
		c.bytes -= len(c.records[0].GetBody())
		c.records[0] = nil
		c.records = c.records[1:]
	}
	return w
}
