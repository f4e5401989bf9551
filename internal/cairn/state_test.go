package cairn

import (
	"os"
	"testing"
)

func TestSmoke(t *testing.T) {
	a, _ := os.ReadFile("../conf/testdata/replace.json")
	b, _ := os.ReadFile("../conf/testdata/amend.json")
	s := Empty()
	c := Change{Op: OpReplace, Body: a}
	for i, c := range []Change{c, {Op: OpAmend, Base: 7, Body: b}, {Op: OpEvacuate, Zone: "z"}} {
		v := s.Check(c)
		t.Log(i, v)
		n, err := s.Apply(c.Record(v.Seq))
		if err != nil {
			t.Fatal(err)
		}
		s = n
		t.Log(s.Check(c))
		d, err := Decode(s.Encode())
		if err != nil || d.Seq != s.Seq {
			t.Fatal(err)
		}
		t.Log(s.Check(Change{Op: OpReplace, Base: 7, Body: a}), s.Check(Change{Op: OpReplace, Base: s.Revision(), Body: a}))
	}
	t.Log(string(s.Config.Raw))
	t.Log(s.Config.Match("FICU95.example:80", "/lohu930/x/y").Name)
}
