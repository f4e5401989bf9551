package pick

import (
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/conf"
)

func TestSmoke(t *testing.T) {
	c := &conf.Config{Services: map[string]*conf.Service{"a": {Name: "a"}, "b": {Name: "b"}}}
	r := &conf.Route{Host: "h", Prefix: "/", MaxTries: 2, Shares: []conf.Share{{Service: "a", Weight: 3}, {Service: "b", Weight: 1}}}
	c.Routes = []*conf.Route{r}
	p := New(Settings{Zone: "z", Region: "r"})
	p.SetWorld(0, World{Config: c, Self: "p", Peers: []string{"p"}, Servers: []Server{
		{ID: "1", Service: "a", Zone: "z", Region: "r", Slots: 4}, {ID: "2", Service: "a", Zone: "z", Region: "r", Slots: 4}, {ID: "3", Service: "b", Zone: "z", Region: "r", Slots: 4}}})
	got := ""
	for range 8 {
		q := &Request{Route: r, Left: time.Second}
		p.Arrive(0, q)
		ch := p.Choose(0, q, nil, false)
		got += ch.Server.ID
		p.Done(time.Millisecond, ch.Ticket, Served, 0)
	}
	t.Log(got, p.Describe(0))
}
