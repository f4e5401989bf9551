package softstate

import (
	"bytes"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// Prefixes and names of keys. They are part of the wire format.
const (
	MemberPrefix = "member/" // followed by the name of a node: a Member
	ServerPrefix = "server/" // followed by the id of a server of the platform's list
	HintPrefix   = "hint/"
	ListKey      = "list" // changes with each complete reading of the platform's list, even if the servers did not change
)

// Entry is one entry of the soft state. Of two entries with the same key, the one that supersedes the other is kept.
type Entry struct {
	Key            string
	Fence, Version uint64
	Value          []byte
	Deleted        bool
}

// supersedes is a total order over the entries of one key, so that merging commutes even if two writers used the same version.
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

// IsLazy reports whether a change of the key may wait for the next reply that is sent for another reason.
func IsLazy(key string) bool { return key == ListKey }

// BelongsToList reports whether the entry of a key is part of the platform's list.
func BelongsToList(key string) bool { return key == ListKey || strings.HasPrefix(key, ServerPrefix) }

// StoredEntry is an entry of a table. It is immutable, except that its value is decoded lazily.
type StoredEntry struct {
	Entry
	MadeBetween TimeBounds

	number uint64 // number of the change that stored it

	decoded       bool
	valid         bool
	decodedMember Member
	decodedServer pick.Server
}

// AgeAt returns how long before now the entry was made.
func (e *StoredEntry) AgeAt(now time.Time) Age { return e.MadeBetween.AgeAt(now) }

// decode decodes the value on the first call.
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

// Member returns the member that the entry describes; false if its value cannot be decoded.
func (e *StoredEntry) Member() (Member, bool) {
	e.decode()
	return e.decodedMember, e.valid
}

// ServerAt returns the server that the entry describes, with its times as of now; false if its value cannot be decoded.
func (e *StoredEntry) ServerAt(now time.Time) (pick.Server, bool) {
	e.decode()
	return CountDown(e.decodedServer, e.AgeAt(now)), e.valid
}

// EncodeEntries returns entries as wire messages, with their ages as of now.
func EncodeEntries(now time.Time, entries []*StoredEntry) []*distributionpb.Entry {
	out := make([]*distributionpb.Entry, len(entries))
	for i, e := range entries {
		age := e.AgeAt(now)
		out[i] = &distributionpb.Entry{Key: e.Key, Fence: e.Fence, Version: e.Version, Value: e.Value, Deleted: e.Deleted,
			AgeMs: millisecondsCeil(age.Max), LeastAgeMs: proto.Uint64(uint64(max(0, age.Min) / time.Millisecond))}
	}
	return out
}

// DecodeEntry decodes an entry and its age from a wire message.
func DecodeEntry(message *distributionpb.Entry) (Entry, Age) {
	return Entry{Key: message.GetKey(), Fence: message.GetFence(), Version: message.GetVersion(), Value: message.GetValue(),
		Deleted: message.GetDeleted()}, ageFromProto(message)
}

// Marshal encodes a message deterministically. The system's own messages hold valid strings, so no error is possible.
func Marshal(message proto.Message) []byte {
	b, _ := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	return b
}
