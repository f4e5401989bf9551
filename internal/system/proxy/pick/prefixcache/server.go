package prefixcache

// Server is the list of one server's entries in an Index, ordered by last use. The zero value has no entries. It must not be copied.
type Server struct {
	oldest, newest *entry
	tokens         int64
}

// Tokens returns the sum of the tokens of the server's entries.
func (s *Server) Tokens() int64 { return s.tokens }

// Len returns the number of the server's entries. It traverses the list.
func (s *Server) Len() (n int) {
	for e := s.oldest; e != nil; e = e.newer {
		n++
	}
	return n
}

// link makes e the most recently used entry.
func (s *Server) link(e *entry) {
	e.older, e.newer = s.newest, nil
	if s.newest != nil {
		s.newest.newer = e
	} else {
		s.oldest = e
	}
	s.newest = e
}

// unlink removes e from the list.
func (s *Server) unlink(e *entry) {
	if e.older != nil {
		e.older.newer = e.newer
	} else {
		s.oldest = e.newer
	}
	if e.newer != nil {
		e.newer.older = e.older
	} else {
		s.newest = e.older
	}
	e.older, e.newer = nil, nil
}
