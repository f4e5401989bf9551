package rpc

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
)

// ErrExpand marks bytes that cannot be expanded because they are damaged or too large.
var ErrExpand = errors.New("distribution: bytes cannot be expanded")

// A configuration of thousands of routes is highly repetitive, and the link from one control-plane node to its subscribers is narrow:
// large bodies are sent compressed, and are compressed once for all subscribers.

// MinCompressBytes is the size from which bytes are compressed; compressing less is not worth the time.
const MinCompressBytes = 4 << 10

// maxExpandedBytes bounds the size of expanded bytes.
const maxExpandedBytes = 64 << 20

// Compress compresses large bodies with DEFLATE, and reports whether it did.
func Compress(b []byte) (out []byte, deflated bool) {
	if len(b) < MinCompressBytes {
		return b, false
	}
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return b, false
	}
	if _, err = writer.Write(b); err == nil {
		err = writer.Close()
	}
	if err != nil || buffer.Len() >= len(b) {
		return b, false
	}
	return bytes.Clone(buffer.Bytes()), true
}

// Expand reverses Compress. It fails with ErrExpand if the bytes are damaged or expand to more than 64 MiB.
func Expand(b []byte, deflated bool) ([]byte, error) {
	if !deflated {
		return b, nil
	}
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), maxExpandedBytes+1))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "distribution: compressed bytes cannot be read: ask for a snapshot"), ErrExpand)
	}
	if len(out) > maxExpandedBytes {
		return nil, errors.Mark(errors.Newf("distribution: compressed bytes expand to more than %d: reduce the size of the configuration",
			maxExpandedBytes), ErrExpand)
	}
	return out, nil
}
