// Package prefixcache estimates which server has which leading parts of prompts in its prefix cache (vLLM: automatic prefix caching).
//
// Problem: a model server skips the prefill of leading tokens that it still has cached, but does not report what it has cached. A
// proxy knows only what it sent to each server. The Index records that in one least-recently-used list per server. A list is bounded
// by the number of tokens that the server's memory is estimated to cache, and the entries of all servers together are bounded as well.
//
// Terms: a Part is a span of a prompt that several requests may share; a Chain assigns a key to
// each leading run of parts; an entry states that a server has cached the run with that key.
//
// Invariants, which Verify checks: each entry is listed under its key and in its server's list exactly once; the token count of a
// server is the sum over its entries; the Index has at most MaxEntries entries. The package is pure and not safe for concurrent use.
package prefixcache

import "fmt"

const (
	// MaxEntries limits the entries of all servers together.
	MaxEntries = 8192
	// minPrivatePartTokens is the minimum number of tokens for a prompt's
	// last part to be recorded: only a retry of the same prompt can use it.
	minPrivatePartTokens = 256
)

// Index maps the keys of chains to the servers that are estimated to have them cached. Create it with NewIndex.
type Index struct {
	byKey map[uint64][]*entry
	count int // number of entries
}

// entry states that a server has cached one part and the parts before it.
type entry struct {
	key          uint64
	server       *Server
	tokens       int    // of this part alone
	older, newer *entry // neighbours in the server's list
}

// NewIndex creates an empty Index.
func NewIndex() *Index { return &Index{byKey: map[uint64][]*entry{}} }

// Len returns the number of entries.
func (x *Index) Len() int { return x.count }

// Record records that the server has the parts of c cached from now on, and removes
// its least recently used entries until they have at most maxTokens tokens.
func (x *Index) Record(server *Server, c *Chain, maxTokens int64) {
	sum := 0
	for i := range c.Len {
		size := c.EndTokens[i] - sum
		sum = c.EndTokens[i]
		if c.isPrivate(i) && size < minPrivatePartTokens {
			break
		}
		x.touch(server, c.Keys[i], size)
	}
	for server.tokens > maxTokens && server.oldest != nil {
		x.remove(server.oldest)
	}
}

// RemoveServer removes all entries of s.
func (x *Index) RemoveServer(s *Server) {
	for s.oldest != nil {
		x.remove(s.oldest)
	}
}

// touch makes key the most recently used entry of the server, and creates the entry if necessary.
func (x *Index) touch(server *Server, key uint64, tokens int) {
	for _, e := range x.byKey[key] {
		if e.server == server {
			server.unlink(e)
			server.link(e)
			return
		}
	}
	if x.count >= MaxEntries {
		x.evict(server)
	}
	e := &entry{key: key, server: server, tokens: tokens}
	x.byKey[key] = append(x.byKey[key], e)
	x.count++
	server.tokens += int64(tokens)
	server.link(e)
}

// evict removes one entry: the least recently used one of s, to which an entry is about to be added, or of any server if s has none.
func (x *Index) evict(s *Server) {
	if s.oldest != nil {
		x.remove(s.oldest)
		return
	}
	for _, entries := range x.byKey {
		x.remove(entries[0].server.oldest)
		return
	}
}

func (x *Index) remove(removed *entry) {
	entries := x.byKey[removed.key]
	for i, other := range entries {
		if other == removed {
			entries[i] = entries[len(entries)-1]
			entries[len(entries)-1] = nil
			entries = entries[:len(entries)-1]
			break
		}
	}
	if len(entries) == 0 {
		delete(x.byKey, removed.key)
	} else {
		x.byKey[removed.key] = entries
	}
	x.count--
	removed.server.tokens -= int64(removed.tokens)
	removed.server.unlink(removed)
}

// Lookup is the result of looking up a chain. It is valid until the Index changes.
type Lookup struct {
	entries   [MaxParts][]*entry // by part, up to the first part that no server has cached
	endTokens [MaxParts]int
}

// Find looks up a chain and overwrites l with the result.
func (x *Index) Find(c *Chain, l *Lookup) {
	*l = Lookup{endTokens: c.EndTokens}
	for i := range c.Len {
		l.entries[i] = x.byKey[c.Keys[i]]
		if len(l.entries[i]) == 0 {
			break // the parts after it cannot be used without it
		}
	}
}

// CachedTokens returns how many leading tokens of the prompt s is estimated to have cached.
func (l *Lookup) CachedTokens(s *Server) (tokens int) {
	for i := range l.entries {
		if !hasServer(l.entries[i], s) {
			break
		}
		tokens = l.endTokens[i]
	}
	return tokens
}

func hasServer(entries []*entry, s *Server) bool {
	for _, e := range entries {
		if e.server == s {
			return true
		}
	}
	return false
}

// Verify returns an error if an invariant is violated. It visits all entries and is meant for tests.
func (x *Index) Verify() error {
	count, tokens := 0, map[*Server]int64{}
	for key, entries := range x.byKey {
		for _, e := range entries {
			if e.key != key {
				return fmt.Errorf("prefixcache: an entry with the key %x is listed under %x", e.key, key)
			}
			count++
			tokens[e.server] += int64(e.tokens)
		}
	}
	if count != x.count || count > MaxEntries {
		return fmt.Errorf("prefixcache: found %d entries, the counter is %d, the limit is %d", count, x.count, MaxEntries)
	}
	for s, sum := range tokens {
		if sum != s.tokens {
			return fmt.Errorf("prefixcache: the entries of a server have %d tokens, its counter is %d", sum, s.tokens)
		}
	}
	return nil
}
