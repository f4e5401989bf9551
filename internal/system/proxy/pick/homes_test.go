package pick

import (
	"slices"
	"testing"
	"time"
)

// TestHomes sends prompts with shared parts through proxies that know nothing of each other, of one zone and of two
// regions: they agree on the server that reads a shared part. Long prompts go to a region apart, where no short ones come;
// without one, to a lane of the regions that both come to, and short ones elsewhere.
func TestHomes(t *testing.T) {
	t.Run("a region apart", func(t *testing.T) { testHomes(t, true) })
	t.Run("lanes", func(t *testing.T) { testHomes(t, false) })
}

func testHomes(t *testing.T, apart bool) {
	f := newFleet(aula())
	p, q := f.pickers[0], f.pickers[1] // both of one zone
	far := f.pickers[slices.IndexFunc(f.pickers, func(p *Picker) bool { return p.settings.Region != f.pickers[0].settings.Region })]
	long, short := f.cfg.Routes[0], f.cfg.Routes[1]
	if !apart {
		everywhere := *short
		everywhere.HomeRegions = nil
		short = &everywhere
	}
	now := Time(0)
	send := func(p *Picker, r *Request) *server {
		t.Helper()
		now += 300 * time.Millisecond
		r.TimeLeft = 5 * time.Second
		c := p.Pick(now, r, nil, false)
		if c.Verdict != Send {
			t.Fatalf("verdict %d", c.Verdict)
		}
		p.FirstEvent(now+250*time.Millisecond, c.Ticket)
		p.Done(now+250*time.Millisecond, c.Ticket, Served, 0)
		return p.servers[c.Server.ID]
	}
	homes := map[string]bool{}
	for subject := range uint64(20) {
		for _, x := range []*Picker{p, q, far} { // without short prompts there would be no lanes
			send(x, &Request{Route: short, TokensIn: 300, MaxTokensOut: 50})
		}
		ask := func(p *Picker, own uint64) *server {
			return send(p, &Request{Route: long, TokensIn: 16000, MaxTokensOut: 100, Prefix: []PrefixPart{{ID: subject, Tokens: 13000}, {ID: own, Tokens: 3000}}})
		}
		a, b, c, d := ask(p, 1000+subject), ask(p, 2000+subject), ask(q, 3000+subject), ask(far, 4000+subject)
		if a != b || a.ID != c.ID || a.ID != d.ID {
			t.Fatalf("subject %d went to %s, %s, %s and %s", subject, a.ID, b.ID, c.ID, d.ID)
		}
		if apart && a.Region != "iasi" || !apart && !a.inPromptPool {
			t.Fatalf("subject %d went to %s: no lane, or where short prompts come", subject, a.ID)
		}
		homes[a.ID] = true
	}
	if len(homes) < 2 {
		t.Fatal("all subjects share one server")
	}
	for i := range 20 {
		s := send(p, &Request{Route: short, TokensIn: 300, MaxTokensOut: 50, Prefix: []PrefixPart{{ID: 7, Tokens: 50}, {ID: uint64(5000 + i), Tokens: 250}}})
		if apart && s.Region != "cluj" || !apart && s.inPromptPool {
			t.Fatalf("a short prompt went to %s: a lane, or no home", s.ID)
		}
	}
}
