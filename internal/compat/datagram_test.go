package compat

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/failuredetector"
	"gradeusher.example/gradeusher/internal/system/wal"
)

// TestDatagrams: the failure detector's messages, a line for each kind by its number.
func TestDatagrams(t *testing.T) {
	var out bytes.Buffer
	for kind := failuredetector.Kind(1); kind <= 7; kind++ {
		m := failuredetector.Message{Kind: kind, From: "edge-1", Incarnation: 0x0102030405060708, Nonce: 300}
		if kind >= 4 && kind <= 6 {
			m.Node, m.NodeIncarnation, m.Age = "edge-2", 0x1112131415161718, 1234*time.Millisecond
		}
		text := m.Append(nil)
		fmt.Fprintf(&out, "%d %s\n", kind, hex.EncodeToString(text))
		if got, err := failuredetector.Decode(text); err != nil || got != m {
			t.Errorf("kind %d reads as %+v: %v", kind, got, err)
		}
	}
	golden(t, "datagrams.txt", out.Bytes())
}

// TestLogBytes writes a log and compares its files by bytes, so that an earlier version can read them, too.
func TestLogBytes(t *testing.T) {
	dir := t.TempDir()
	log, err := wal.Open(dir, wal.Options{ReserveBytes: -1, Nonce: func() uint64 { return 0x0102030405060708 }})
	if err == nil {
		_, err = log.Load()
	}
	if err != nil {
		t.Fatal(err)
	}
	for _, err := range []error{
		log.SaveMeta("register", []byte("a promise")),
		log.Append([]wal.Entry{{Seq: 1, Data: []byte("one")}, {Seq: 2, Data: []byte("two")}}),
		log.Append([]wal.Entry{{Seq: 3, Data: []byte("three")}}),
		log.Truncate(2),
		log.Append([]wal.Entry{{Seq: 3, Data: []byte("another three")}}),
		log.Compact(wal.Snapshot{Seq: 1, Data: []byte("a state")}),
		log.SaveMeta("register", []byte("another promise")),
		log.Close(),
	} {
		if err != nil {
			t.Fatal(err)
		}
	}
	golden(t, "log_bytes.txt", contents(t, dir))
}

// contents are the names and bytes of all files in a folder.
func contents(t *testing.T, dir string) []byte {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*"))
	if err != nil {
		t.Fatal(err)
	}
	slices.Sort(files)
	var out bytes.Buffer
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "%s\n%s", filepath.Base(file), hex.Dump(text))
	}
	return out.Bytes()
}
