package rpc

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
)

// A configuration of thousands of routes is much the same line again and again, and the way from one keeper to its
// followers is narrow: what is large goes out compressed, and is compressed once for all of them.

const (
	MinCompressBytes = 4 << 10  // bytes; less is not worth the time
	maxExpandedBytes = 64 << 20 // bytes that compressed ones may come to
)

// Compress compresses what is large by DEFLATE, and tells whether it did.
func Compress(b []byte) (out []byte, deflated bool) {
	if len(b) < MinCompressBytes {
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
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), maxExpandedBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "distribution: compressed bytes cannot be read: ask for a snapshot")
	}
	if len(out) > maxExpandedBytes {
		return nil, errors.Newf("distribution: compressed bytes come to more than %d: make the configuration smaller", maxExpandedBytes)
	}
	return out, nil
}
