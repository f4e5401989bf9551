package distribution

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/distribution/rpc"
)

// TestCompression: 1,800 similar routes are sent in less than a tenth of their bytes, and are compressed once for all subscribers.
// Without compression, a large configuration reached proxies over links of 10 Mbit/s more than 3 s after it was acknowledged.
func TestCompression(t *testing.T) {
	var body bytes.Buffer
	for i := range 1800 {
		fmt.Fprintf(&body, `{"name":"r-%d","hostname":"xago29.example","path_prefix":"/azp%dx/","category":"idempotent","timeout_ms":2500,"target":"lelo71b"},`, i, i*7919)
	}
	var cache recordCache
	r := controlstate.Record{Seq: 3, Op: controlstate.OpAmend, Body: body.Bytes()}
	w := cache.encode(r)
	if again := cache.encode(r); again != w {
		t.Error("the record was compressed again for another subscriber")
	}
	if len(w.GetBody())*10 > body.Len() {
		t.Errorf("compressed to %d bytes from %d", len(w.GetBody()), body.Len())
	}
	out, err := rpc.Expand(w.GetBody(), w.GetDeflated())
	if err != nil || !bytes.Equal(out, body.Bytes()) {
		t.Errorf("expanded to %d bytes, error %v", len(out), err)
	}
	if small := cache.encode(controlstate.Record{Seq: 4, Body: []byte("{}")}); small.GetDeflated() || string(small.GetBody()) != "{}" {
		t.Error("a small body was changed")
	}
	if _, err := rpc.Expand(w.GetBody()[:len(w.GetBody())/2], true); err == nil {
		t.Error("truncated bytes were expanded without an error")
	}
	random := make([]byte, 64<<10)
	_, _ = rand.NewChaCha8([32]byte{}).Read(random)
	for i := range uint64(2 * cachedRecords) {
		size := 5 << 10
		if i%4 == 0 {
			size = len(random) // such bodies reach the limit of bytes first
		}
		cache.encode(controlstate.Record{Seq: 10 + i, Body: random[:size]})
	}
	if len(cache.records) > cachedRecords || cache.bytes > cachedBytes || len(cache.records) < 10 {
		t.Errorf("the cache holds %d records with %d bytes", len(cache.records), cache.bytes)
	}
}
