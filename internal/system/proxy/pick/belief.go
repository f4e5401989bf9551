package pick

// Beliefs about which server keeps which leading parts of prompts. A chain key names a part together with all parts
// before it. Each server's beliefs are a list by last use, bounded by a share of its memory; all together are bounded too.

const (
	maxPrefixEntries     = 8192 // beliefs kept over all servers
	minPrivatePartTokens = 256  // a last part of fewer tokens is not worth remembering
	indexedMemoryShare   = 0.7  // of a server's memory that is believed to keep parts
	maxChainParts        = 16   // parts of a prompt that are looked at
	chainKeySeed         = 0x9e3779b97f4a7c15
)

type prefixEntry struct {
	key          uint64
	server       *server
	tokens       int
	older, newer *prefixEntry // of its server
}

type prefixIndex struct {
	byKey map[uint64][]*prefixEntry
	count int
}

func newPrefixIndex() prefixIndex { return prefixIndex{byKey: map[uint64][]*prefixEntry{}} }

// prefixChain is the prompt of one request: the key and the tokens up to each part's end.
type prefixChain struct {
	n      int
	keys   [maxChainParts]uint64
	tokens [maxChainParts]int
	parts  int // of the prompt; n is at most maxChainParts
}

func newPrefixChain(r *Request) (c prefixChain) {
	key, sum := uint64(chainKeySeed), 0
	c.parts = len(r.Prefix)
	for _, part := range r.Prefix {
		if c.n == maxChainParts {
			break
		}
		key = mix64(key ^ mix64(part.ID+chainKeySeed))
		sum += max(part.Tokens, 0)
		c.keys[c.n], c.tokens[c.n] = key, sum
		c.n++
	}
	return c
}

// shared is the key and the tokens of the parts that other requests may share: all but the last.
func (c *prefixChain) shared() (key uint64, tokens int) {
	i := min(c.parts-1, c.n) - 1
	if i < 0 {
		return 0, 0
	}
	return c.keys[i], c.tokens[i]
}

// record notes that s now keeps the parts of c.
func (b *prefixIndex) record(s *server, c *prefixChain, most int64) {
	sum := 0
	for i := range c.n {
		size := c.tokens[i] - sum
		sum = c.tokens[i]
		if i == c.parts-1 && size < minPrivatePartTokens {
			break
		}
		b.touch(s, c.keys[i], size)
	}
	for s.indexedTokens > most && s.leastRecentEntry != nil {
		b.remove(s.leastRecentEntry)
	}
}

func (b *prefixIndex) touch(s *server, key uint64, tokens int) {
	for _, x := range b.byKey[key] {
		if x.server == s {
			s.unlinkEntry(x)
			s.linkEntry(x)
			return
		}
	}
	if b.count >= maxPrefixEntries {
		b.evict(s)
	}
	x := &prefixEntry{key: key, server: s, tokens: tokens}
	b.byKey[key] = append(b.byKey[key], x)
	b.count++
	s.indexedTokens += int64(tokens)
	s.linkEntry(x)
}

// evict makes room for one more belief: the oldest of the server that gets it, or else of any.
func (b *prefixIndex) evict(s *server) {
	if s.leastRecentEntry != nil {
		b.remove(s.leastRecentEntry)
		return
	}
	for _, l := range b.byKey {
		b.remove(l[0].server.leastRecentEntry)
		return
	}
}

func (b *prefixIndex) remove(x *prefixEntry) {
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
	x.server.indexedTokens -= int64(x.tokens)
	x.server.unlinkEntry(x)
}

// removeServer forgets all of a server.
func (b *prefixIndex) removeServer(s *server) {
	for s.leastRecentEntry != nil {
		b.remove(s.leastRecentEntry)
	}
}

func (s *server) linkEntry(x *prefixEntry) {
	x.older, x.newer = s.mostRecentEntry, nil
	if s.mostRecentEntry != nil {
		s.mostRecentEntry.newer = x
	} else {
		s.leastRecentEntry = x
	}
	s.mostRecentEntry = x
}

func (s *server) unlinkEntry(x *prefixEntry) {
	if x.older != nil {
		x.older.newer = x.newer
	} else {
		s.leastRecentEntry = x.newer
	}
	if x.newer != nil {
		x.newer.older = x.older
	} else {
		s.mostRecentEntry = x.older
	}
	x.older, x.newer = nil, nil
}

// prefillRate follows the median of the rates at which servers of common speed read prompts: each sample moves it by a
// fixed small part, so no single one counts for much.
type prefillRate struct{ tokensPerMS float64 } // tokens in a millisecond

func (e *prefillRate) observe(v float64) {
	if v > e.tokensPerMS {
		e.tokensPerMS *= 1.02
	} else {
		e.tokensPerMS /= 1.02
	}
	e.tokensPerMS = min(max(e.tokensPerMS, 1), 10000)
}
