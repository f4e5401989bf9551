// Package prefixcache estimates which server has which leading parts of prompts in its prefix cache (vLLM: automatic prefix caching).
//
// Problem: a model server skips the prefill of leading tokens that it still has cached, but does not say what it has. A proxy knows only
// what it sent where. The Index records that, with one least-recently-used list for each server, bounded by the tokens that its memory
// is estimated to cache, and with a bound on the entries of all servers together.
//
// Terms: a Part is a span of a prompt that several requests may share; a Chain gives each leading run of parts a key; an entry says that
// a server has cached the run with that key.
//
// Invariants, which Verify checks: each entry is listed under its key and in its server's list exactly once; a server's tokens are the
// sum over its entries; the Index has at most MaxEntries entries. The package is pure and not safe for concurrent use.
package prefixcache

import "fmt"

const (
	// MaxEntries bounds the entries of all servers together.
	MaxEntries = 8192
	// minPrivatePartTokens is from how many tokens a prompt's last part is recorded: only a retry of the same prompt can use it.
	minPrivatePartTokens = 256
)

// Index maps keys of chains to the servers that are estimated to have them cached. Make it with NewIndex.
type Index struct {
	byKey map[uint64][]*entry
	count int // entries
}

// entry says that a server has one part cached behind the parts before it.
type entry struct {
	key          uint64
	server       *Server
	tokens       int    // of the part alone
	older, newer *entry // neighbours in the server's list
}

// NewIndex makes an empty Index.
func NewIndex() *Index { return &Index{byKey: map[uint64][]*entry{}} }

// Len is the number of entries.
func (x *Index) Len() int { return x.count }

// Record notes that the server has the parts of c cached from now on, and drops what it used the longest ago where its entries exceed maxTokens
// tokens.
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

// RemoveServer drops all entries of s.
func (x *Index) RemoveServer(s *Server) {
	for s.oldest != nil {
		x.remove(s.oldest)
	}
}

// touch makes key the most recently used one of s, with a new entry where there is none.
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

// evict frees one entry: the least recently used one of s, which gets the next entry, or else of any server.
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

// Lookup is the result of looking a chain up. It is valid until the Index changes.
type Lookup struct {
	entries   [MaxParts][]*entry // of each part, until the first that no server has
	endTokens [MaxParts]int
}

// Find looks a chain up in place: l is overwritten.
func (x *Index) Find(c *Chain, l *Lookup) {
	*l = Lookup{endTokens: c.EndTokens}
	for i := range c.Len {
		l.entries[i] = x.byKey[c.Keys[i]]
		if len(l.entries[i]) == 0 {
			break // without this part, none after it helps
		}
	}
}

// CachedTokens is how many leading tokens of the prompt s is estimated to have cached.
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

// Verify reports a violated invariant. It visits all entries, and is meant for tests.
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
		return fmt.Errorf("prefixcache: %d entries, counted %d, at most %d are allowed", count, x.count, MaxEntries)
	}
	for s, sum := range tokens {
		if sum != s.tokens {
			return fmt.Errorf("prefixcache: entries of %d tokens, counted %d", sum, s.tokens)
		}
	}
	return nil
}
