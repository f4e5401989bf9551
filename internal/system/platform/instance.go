// Package platform is a client of the platform's service discovery: it reads the paged list of servers and polls it on behalf of the
// entire system.
//
// The problem: the platform limits the rate of calls, returns its list in pages while the list changes, and may be slow, unreachable
// or partitioned from some of our nodes. So one node, the owner of a singleton role, polls for all; a read returns a complete list or
// an error; and if the list in use becomes stale, other nodes poll as well, rarely and at random times (package ownership, Standby).
//
// Invariants: the owner sends at most MaxCallsPerSecond on average, and waits longer after failures; every result carries the
// fencing token of its owner and a version, and of two results the one with the higher (Fence, Version) is in use.
package platform

import (
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fastjson"
)

// Phase determines whether a server may get new requests.
type Phase uint8

// The phases of the platform's list.
const (
	Serving  Phase = iota
	Draining       // shutting down: it gets no new requests
)

// Model is a model that a server has loaded.
type Model struct {
	Name     string
	Revision int64
	Adapters []string
}

// Instance is one incarnation of a server, an entry of the platform's list. Durations count from the response.
type Instance struct {
	ID         string
	Target     string // name of its service
	Address    string // ip:port
	Zone       string
	Slots      int
	Phase      Phase
	WarmUpLeft time.Duration // until it is warm; 0: it is warm already
	Remaining  time.Duration // until a server that is withdrawn at short notice terminates; 0: not known
	Revision   string        // of its software
	Stage      string        // of a model server
	Models     []Model
}

const (
	maxSlots    = 1 << 20
	maxDuration = 7 * 24 * time.Hour
)

// interner deduplicates strings that many instances share.
type interner map[string]string

func (in interner) intern(b []byte) string {
	if s, ok := in[string(b)]; ok {
		return s
	}
	s := string(b)
	in[s] = s
	return s
}

// getDuration reads a field in milliseconds, which may have a fraction, clamped to the range from 0 to maxDuration.
func getDuration(object *fastjson.Value, name string) time.Duration {
	ms := object.GetFloat64(name)
	switch {
	case !(ms > 0): // also where it is not a number
		return 0
	case ms >= float64(maxDuration/time.Millisecond):
		return maxDuration
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// parsePage appends the instances of one page to list and returns the token of the next page, empty on the last. Unknown fields are
// ignored, and so are entries without an id, a target or an address, to which nothing can be sent.
func parsePage(parser *fastjson.Parser, body []byte, shared interner, list []Instance) ([]Instance, string, error) {
	document, err := parser.ParseBytes(body)
	if err != nil {
		return list, "", errors.Mark(errors.Wrap(err, "the platform's list is not valid JSON: retry"), ErrMalformed)
	}
	entries := document.Get("instances")
	if entries == nil || entries.Type() != fastjson.TypeArray {
		return list, "", errors.Mark(errors.New("the platform's response has no array \"instances\": check cloud_api.address"), ErrMalformed)
	}
	for _, entry := range entries.GetArray() {
		instance := parseInstance(entry, shared)
		if !instance.isUsable() {
			continue
		}
		list = append(list, instance)
	}
	return list, nextToken(document), nil
}

// isUsable reports whether an entry names a server, by texts that messages can hold.
func (i *Instance) isUsable() bool {
	for _, text := range []string{i.ID, i.Target, i.Address} {
		if text == "" || !utf8.ValidString(text) {
			return false
		}
	}
	return utf8.ValidString(i.Zone)
}

// parseInstance reads one entry of the list.
func parseInstance(entry *fastjson.Value, shared interner) Instance {
	instance := Instance{
		ID:         string(entry.GetStringBytes("id")),
		Target:     shared.intern(entry.GetStringBytes("target")),
		Address:    string(entry.GetStringBytes("address")),
		Zone:       shared.intern(entry.GetStringBytes("zone")),
		Slots:      max(0, int(min(entry.GetFloat64("slots"), maxSlots))),
		WarmUpLeft: getDuration(entry, "cold_left_ms"),
		Revision:   shared.intern(entry.GetStringBytes("revision")),
		Stage:      shared.intern(entry.GetStringBytes("stage")),
	}
	if string(entry.GetStringBytes("phase")) == "draining" {
		instance.Phase = Draining
	}
	if r := entry.Get("remaining_ms"); r != nil && r.Type() == fastjson.TypeNumber {
		// 0 means "not known" in Remaining, so a time that has run out is represented by 1 ms.
		instance.Remaining = max(getDuration(entry, "remaining_ms"), time.Millisecond)
	}
	for _, m := range entry.GetArray("models") {
		instance.Models = append(instance.Models, parseModel(m, shared))
	}
	return instance
}

// parseModel reads a model with its adapters, each of which is a name or an object with a name.
func parseModel(entry *fastjson.Value, shared interner) Model {
	model := Model{Name: shared.intern(entry.GetStringBytes("name")), Revision: int64(entry.GetFloat64("revision"))}
	for _, adapter := range entry.GetArray("adapters") {
		name, err := adapter.StringBytes()
		if err != nil {
			name = adapter.GetStringBytes("name")
		}
		if err == nil || name != nil {
			model.Adapters = append(model.Adapters, shared.intern(name))
		}
	}
	return model
}

// nextToken returns the token of the next page. It may be of any JSON type: a token that is not a string is sent back in its JSON encoding.
func nextToken(document *fastjson.Value) string {
	token := document.Get("next_token")
	if token == nil || token.Type() == fastjson.TypeNull {
		return ""
	}
	if b, err := token.StringBytes(); err == nil {
		return string(b)
	}
	return token.String()
}

// sortAndDeduplicate sorts the list by id and keeps the last entry of each: a list that changes between two pages may contain an entry
// twice, and the later page is the newer.
func sortAndDeduplicate(list []Instance) []Instance {
	slices.SortStableFunc(list, func(a, b Instance) int { return strings.Compare(a.ID, b.ID) })
	out := list[:0]
	for _, i := range list {
		if n := len(out); n > 0 && out[n-1].ID == i.ID {
			out[n-1] = i
			continue
		}
		out = append(out, i)
	}
	clear(list[len(out):])
	return out
}
