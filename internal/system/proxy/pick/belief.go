package pick

// Beliefs about which server keeps which leading parts of prompts. A chain key names a part together with all parts
// before it. Each server's beliefs are a list by last use, bounded by a share of its memory; all together are bounded too.

const (
	beliefsMost  = 8192 // beliefs kept over all servers
	beliefPart   = 256  // a last part of fewer tokens is not worth remembering
	keepShare    = 0.7  // of a server's memory that is believed to keep parts
	chainsMost   = 16   // parts of a prompt that are looked at
	chainKeySeed = 0x9e3779b97f4a7c15
)

type belief struct {
	key          uint64
	server       *server
	tokens       int
	older, newer *belief // of its server
}

type beliefs struct {
	byKey map[uint64][]*belief
	count int
}

func newBeliefs() beliefs { return beliefs{byKey: map[uint64][]*belief{}} }

// chain is the prompt of one request: the key and the tokens up to each part's end.
type chain struct {
	n      int
	keys   [chainsMost]uint64
	tokens [chainsMost]int
	parts  int // of the prompt; n is at most chainsMost
}

func chainOf(r *Request) (c chain) {
	key, sum := uint64(chainKeySeed), 0
	c.parts = len(r.Prefix)
	for _, part := range r.Prefix {
		if c.n == chainsMost {
			break
		}
		key = mix(key ^ mix(part.ID+chainKeySeed))
		sum += max(part.Tokens, 0)
		c.keys[c.n], c.tokens[c.n] = key, sum
		c.n++
	}
	return c
}

// shared is the key and the tokens of the parts that other requests may share: all but the last.
func (c *chain) shared() (key uint64, tokens int) {
	i := min(c.parts-1, c.n) - 1
	if i < 0 {
		return 0, 0
	}
	return c.keys[i], c.tokens[i]
}

// use notes that s now keeps the parts of c.
func (b *beliefs) use(s *server, c *chain, most int64) {
	sum := 0
	for i := range c.n {
		size := c.tokens[i] - sum
		sum = c.tokens[i]
		if i == c.parts-1 && size < beliefPart {
			break
		}
		b.touch(s, c.keys[i], size)
	}
	for s.believed > most && s.oldest != nil {
		b.forget(s.oldest)
	}
}

func (b *beliefs) touch(s *server, key uint64, tokens int) {
	for _, x := range b.byKey[key] {
		if x.server == s {
			s.unlink(x)
			s.link(x)
			return
		}
	}
	if b.count >= beliefsMost {
		b.evict(s)
	}
	x := &belief{key: key, server: s, tokens: tokens}
	b.byKey[key] = append(b.byKey[key], x)
	b.count++
	s.believed += int64(tokens)
	s.link(x)
}

// evict makes room for one more belief: the oldest of the server that gets it, or else of any.
func (b *beliefs) evict(s *server) {
	if s.oldest != nil {
		b.forget(s.oldest)
		return
	}
	for _, l := range b.byKey {
		b.forget(l[0].server.oldest)
		return
	}
}

func (b *beliefs) forget(x *belief) {
	l := b.byKey[x.key]
	for i, y := range l {
		if y == x {
			l[i] = l[len(l)-1]
			l[len(l)-1] = nil
			l = l[:len(l)-1]
			break
		}
	}
	if len(l) == 0 {
		delete(b.byKey, x.key)
	} else {
		b.byKey[x.key] = l
	}
	b.count--
	x.server.believed -= int64(x.tokens)
	x.server.unlink(x)
}

// drop forgets all of a server.
func (b *beliefs) drop(s *server) {
	for s.oldest != nil {
		b.forget(s.oldest)
	}
}

func (s *server) link(x *belief) {
	x.older, x.newer = s.young, nil
	if s.young != nil {
		s.young.newer = x
	} else {
		s.oldest = x
	}
	s.young = x
}

func (s *server) unlink(x *belief) {
	if x.older != nil {
		x.older.newer = x.newer
	} else {
		s.oldest = x.newer
	}
	if x.newer != nil {
		x.newer.older = x.older
	} else {
		s.young = x.older
	}
	x.older, x.newer = nil, nil
}

// rateEstimate follows the median of the rates at which servers of common speed read prompts: each sample moves it by a
// fixed small part, so no single one counts for much.
type rateEstimate struct{ value float64 } // tokens in a millisecond

func (e *rateEstimate) sample(v float64) {
	if v > e.value {
		e.value *= 1.02
	} else {
		e.value /= 1.02
	}
	e.value = min(max(e.value, 1), 10000)
}
