// Package platform is a client of the platform's service discovery: it reads the paged list of servers, and polls it at a
// bounded rate while it holds the duty to.
package platform

import (
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fastjson"
)

// Phase tells whether a server is to get requests.
type Phase uint8

// The phases of the platform's list.
const (
	Serving  Phase = iota
	Draining       // it is about to end: nothing new goes there
)

// Model is one model that a server has loaded.
type Model struct {
	Name     string
	Revision int64
	Adapters []string
}

// Instance is one incarnation of a server as the platform's list tells of it. The durations are as of the answer.
type Instance struct {
	ID         string
	Target     string // name of its service
	Address    string // ip:port
	Zone       string
	Slots      int
	Phase      Phase
	WarmUpLeft time.Duration // how much longer it is cold; 0: warm
	Remaining  time.Duration // of a server withdrawn at short notice: what is left to it; 0: not told
	Revision   string        // of its software
	Stage      string        // of a model server
	Models     []Model
}

// interner lets the strings that many instances share be one in memory.
type interner map[string]string

func (in interner) intern(b []byte) string {
	if s, ok := in[string(b)]; ok {
		return s
	}
	s := string(b)
	in[s] = s
	return s
}

func getDuration(object *fastjson.Value, name string) time.Duration {
	const most = 7 * 24 * time.Hour
	ms := object.GetFloat64(name)
	switch {
	case !(ms > 0):
		return 0
	case ms >= float64(most/time.Millisecond):
		return most
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// parsePage appends the instances of one answer to dst and gives the token of the next page, empty on the last.
// Unknown fields are passed over, and so are entries without an id, a target or an address: nothing can be sent there.
func parsePage(p *fastjson.Parser, body []byte, in interner, dst []Instance) ([]Instance, string, error) {
	document, err := p.ParseBytes(body)
	if err != nil {
		return dst, "", errors.Mark(errors.Wrap(err, "the platform's list cannot be read: ask again"), ErrMalformed)
	}
	list := document.Get("instances")
	if list == nil || list.Type() != fastjson.TypeArray {
		return dst, "", errors.Mark(errors.New("the platform's answer has no list under instances: check cloud_api.address"), ErrMalformed)
	}
	for _, e := range list.GetArray() {
		i := Instance{
			ID:         string(e.GetStringBytes("id")),
			Target:     in.intern(e.GetStringBytes("target")),
			Address:    string(e.GetStringBytes("address")),
			Zone:       in.intern(e.GetStringBytes("zone")),
			Slots:      max(0, int(min(e.GetFloat64("slots"), 1<<20))),
			WarmUpLeft: getDuration(e, "cold_left_ms"),
			Revision:   in.intern(e.GetStringBytes("revision")),
			Stage:      in.intern(e.GetStringBytes("stage")),
		}
		if i.ID == "" || i.Target == "" || i.Address == "" {
			continue
		}
		if string(e.GetStringBytes("phase")) == "draining" {
			i.Phase = Draining
		}
		if r := e.Get("remaining_ms"); r != nil && r.Type() == fastjson.TypeNumber {
			// 0 means "not told" in Remaining, so what has run out is the shortest time there is.
			i.Remaining = max(getDuration(e, "remaining_ms"), time.Millisecond)
		}
		for _, m := range e.GetArray("models") {
			model := Model{Name: in.intern(m.GetStringBytes("name")), Revision: int64(m.GetFloat64("revision"))}
			for _, a := range m.GetArray("adapters") {
				if b, err := a.StringBytes(); err == nil {
					model.Adapters = append(model.Adapters, in.intern(b))
				} else if b := a.GetStringBytes("name"); b != nil {
					model.Adapters = append(model.Adapters, in.intern(b))
				}
			}
			i.Models = append(i.Models, model)
		}
		dst = append(dst, i)
	}
	// A token may be of any kind that JSON has; what is not a string is handed back as it was written.
	var token string
	if t := document.Get("next_token"); t != nil && t.Type() != fastjson.TypeNull {
		if b, err := t.StringBytes(); err == nil {
			token = string(b)
		} else {
			token = t.String()
		}
	}
	return dst, token, nil
}

// sortAndDeduplicate sorts the list by id and drops what is told twice: a list that changes between two pages may repeat an
// entry, and the later page is the newer.
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
