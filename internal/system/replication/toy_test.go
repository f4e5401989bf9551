package replication

import (
	"encoding/json"

	"gradeusher.example/gradeusher/internal/system/controlstate"
)

// toy is a small state machine: a register with versions (OpReplace), and a note without (OpEvacuate).
type toy struct {
	rev  int64
	note string
	last *toyRecord
}

type toyRecord struct {
	Rev  int64
	Body string
	prev *toyRecord
}

func (s *toy) Check(ch controlstate.Change) controlstate.Verdict {
	if string(ch.Body) == "bad" {
		return controlstate.Verdict{Kind: controlstate.Invalid, Reason: "bad"}
	}
	if ch.Op != controlstate.OpReplace {
		return controlstate.Verdict{Kind: controlstate.Accept}
	}
	for r := s.last; r != nil; r = r.prev {
		if r.Body == string(ch.Body) {
			return controlstate.Verdict{Kind: controlstate.Already}
		}
	}
	if ch.Base != s.rev {
		return controlstate.Verdict{Kind: controlstate.Stale}
	}
	return controlstate.Verdict{Kind: controlstate.Accept}
}

func (s *toy) Apply(r controlstate.Record) (State, error) {
	n := *s
	if r.Op == controlstate.OpReplace {
		n.rev++
		n.last = &toyRecord{Rev: n.rev, Body: string(r.Body), prev: s.last}
	} else {
		n.note = r.Zone
	}
	return &n, nil
}

type toyImage struct {
	Rev     int64
	Note    string
	Records []toyRecord
}

func (s *toy) Encode() []byte {
	im := toyImage{Rev: s.rev, Note: s.note}
	for r := s.last; r != nil; r = r.prev {
		im.Records = append(im.Records, *r)
	}
	data, _ := json.Marshal(im)
	return data
}

type toyMachine struct{}

func (toyMachine) Empty() State { return &toy{} }

func (toyMachine) Decode(data []byte) (State, error) {
	var im toyImage
	if err := json.Unmarshal(data, &im); err != nil {
		return nil, err
	}
	s := &toy{rev: im.Rev, note: im.Note}
	for i := len(im.Records) - 1; i >= 0; i-- {
		r := im.Records[i]
		s.last = &toyRecord{Rev: r.Rev, Body: r.Body, prev: s.last}
	}
	return s, nil
}
