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
	squeezeFrom  = 4 << 10  // bytes; less is not worth the time
	expandedMost = 64 << 20 // bytes that compressed ones may come to
	squeezedKept = 4        // records whose compressed bodies are kept
)

// squeeze compresses what is large, and tells whether it did.
func squeeze(b []byte) (out []byte, deflated bool) {
	if len(b) < squeezeFrom {
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

// expand undoes squeeze. It fails where the bytes are damaged or come to more than 64 MiB.
func expand(b []byte, deflated bool) ([]byte, error) {
	if !deflated {
		return b, nil
	}
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), expandedMost+1))
	if err != nil {
		return nil, errors.Wrap(err, "distribution: compressed bytes cannot be read: ask for a snapshot")
	}
	if len(out) > expandedMost {
		return nil, errors.Newf("distribution: compressed bytes come to more than %d: make the configuration smaller", expandedMost)
	}
	return out, nil
}

// squeezer keeps the newest records as they go out. The zero squeezer is ready.
type squeezer struct {
	mu   sync.Mutex // held while one is compressed: the others wait for it
	kept []*distributionpb.Record
}

// record is r as it goes out. It is shared: do not change it.
func (s *squeezer) record(r controlstate.Record) *distributionpb.Record {
	w := &distributionpb.Record{Seq: r.Seq, Op: uint32(r.Op), Base: r.Base, Body: r.Body, Zone: r.Zone}
	if len(r.Body) < squeezeFrom {
		return w
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.kept {
		if k.GetSeq() == r.Seq {
			return k
		}
	}
	w.Body, w.Deflated = squeeze(r.Body)
	if s.kept = append(s.kept, w); len(s.kept) > squeezedKept {
		s.kept = s.kept[1:]
	}
	return w
}
