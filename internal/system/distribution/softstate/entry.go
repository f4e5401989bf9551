package softstate

import (
	"bytes"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// Prefixes and names of keys. They are on the wire.
const (
	MemberPrefix = "member/" // then the name of a node: a Member
	ServerPrefix = "server/" // then the id of a server of the platform's list
	HintPrefix   = "hint/"
	ListKey      = "list" // changes with each complete reading of the platform's list, also one that changed nothing
)

// Entry is one entry of the soft state. Of two with the same key the one that supersedes the other counts.
type Entry struct {
	Key            string
	Fence, Version uint64
	Value          []byte
	Deleted        bool
}

// supersedes is a total order over entries of one key, so that merging commutes even where two writers drew the same version.
func (e Entry) supersedes(other Entry) bool {
	switch {
	case e.Fence != other.Fence:
		return e.Fence > other.Fence
	case e.Version != other.Version:
		return e.Version > other.Version
	case e.Deleted != other.Deleted:
		return e.Deleted
	}
	return bytes.Compare(e.Value, other.Value) > 0
}

// IsLazy reports whether a change of the key may wait for the next reply that is sent anyway.
func IsLazy(key string) bool { return key == ListKey }

// BelongsToList reports whether the entry of a key comes with the platform's list.
func BelongsToList(key string) bool { return key == ListKey || strings.HasPrefix(key, ServerPrefix) }

// StoredEntry is an entry of a table. It does not change, except that its value is decoded once.
type StoredEntry struct {
	Entry
	MadeBetween TimeBounds

	number uint64 // of the change that brought it

	decoded       bool
	valid         bool
	decodedMember Member
	decodedServer pick.Server
}

// AgeAt is how long before now the entry was made.
func (e *StoredEntry) AgeAt(now time.Time) Age { return e.MadeBetween.AgeAt(now) }

// decode reads the value once.
func (e *StoredEntry) decode() {
	if e.decoded {
		return
	}
	e.decoded = true
	if node, ok := strings.CutPrefix(e.Key, MemberPrefix); ok {
		e.decodedMember, e.valid = DecodeMember(e.Value)
		e.valid = e.valid && e.decodedMember.Node == node
	} else if id, ok := strings.CutPrefix(e.Key, ServerPrefix); ok {
		e.decodedServer, e.valid = decodeServer(id, e.Value)
	}
}

// Member returns the member that an entry is about; false: its value cannot be read.
func (e *StoredEntry) Member() (Member, bool) {
	e.decode()
	return e.decodedMember, e.valid
}

// ServerAt returns the server that an entry is about, with its times as of now; false: its value cannot be read.
func (e *StoredEntry) ServerAt(now time.Time) (pick.Server, bool) {
	e.decode()
	return CountDown(e.decodedServer, e.AgeAt(now)), e.valid
}

// EncodeEntries returns entries as messages, with their ages as of now.
func EncodeEntries(now time.Time, entries []*StoredEntry) []*distributionpb.Entry {
	out := make([]*distributionpb.Entry, len(entries))
	for i, e := range entries {
		age := e.AgeAt(now)
		out[i] = &distributionpb.Entry{Key: e.Key, Fence: e.Fence, Version: e.Version, Value: e.Value, Deleted: e.Deleted,
			AgeMs: millisecondsCeil(age.Max), LeastAgeMs: proto.Uint64(uint64(max(0, age.Min) / time.Millisecond))}
	}
	return out
}

// DecodeEntry reads an entry and its age from a message.
func DecodeEntry(message *distributionpb.Entry) (Entry, Age) {
	return Entry{Key: message.GetKey(), Fence: message.GetFence(), Version: message.GetVersion(), Value: message.GetValue(),
		Deleted: message.GetDeleted()}, ageFromProto(message)
}

// Marshal encodes a message, equal ones to equal bytes. The system's own messages hold valid strings, so no error is possible.
func Marshal(message proto.Message) []byte {
	b, _ := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	return b
}
