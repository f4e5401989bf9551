package state

import (
	"encoding/json"
	"fmt"
	"testing"

	"gradeusher.example/gradeusher/balance/routes"
)

// BenchmarkRoute sets 1,000 rules of which one has another weight, from the encoding of the log.
func BenchmarkRoute(b *testing.B) {
	t := routes.Table{}
	for i := range 1000 {
		r := table("a1")[0]
		r.Name, r.Source = fmt.Sprint("rule-", i), routes.Match{"service": fmt.Sprint("app-", i)}
		t = append(t, r)
	}
	machine := New()
	for i := 0; b.Loop(); i++ {
		b.StopTimer()
		t[0].Destinations[0].Weight = float64(i + 1)
		base := machine.Generation()
		text, err := json.Marshal(Command{Op: SetRoutes, Base: &base, Ops: routes.Diff(machine.routing.table, t.Canonical())})
		if err != nil {
			b.Fatal(err)
		}
		b.StartTimer()
		c, err := Decode(text)
		if err != nil {
			b.Fatal(err)
		}
		if r := machine.Apply(c); r.Err != nil || !r.RoutesChanged {
			b.Fatal(r)
		}
	}
}
