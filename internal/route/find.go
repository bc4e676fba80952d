package route

import "strings"

// Find returns the route of a request, and the part of the request's path below the path of the route. host is the Host header, path the
// decoded path, and uri the request target as sent by the client. Find does not allocate memory. The error is ErrInvalidHost,
// ErrAmbiguousPath, ErrUnknownHost or ErrUnknownPath.
func (t *Table) Find(host, path, uri string) (m *Match, rest string, err error) {
	h := t.anyHost
	if len(t.hosts) > 0 {
		var buf hostBuffer
		name, err := parseHost(host, &buf)
		if err != nil {
			return nil, "", err
		}
		h = t.findHost(name)
	}
	if h == nil {
		return nil, "", ErrUnknownHost
	}
	if t.matchesPaths && (hasDotSegments(path) || hasEncodedSlash(uri)) {
		return nil, "", ErrAmbiguousPath
	}
	for i := min(len(path), h.longest); i >= 0; i-- {
		if i < len(path) && path[i] != '/' {
			continue
		}
		p := h.paths[path[:i]]
		if p == nil {
			continue
		}
		rest := path[i:]
		if m := p.find(rest); m != nil {
			return m, rest, nil
		}
	}
	return nil, "", ErrUnknownPath
}

// find returns the route for rest, the part of a request's path that begins with the class, or nil if there is none.
func (p *pathRoutes) find(rest string) *Match {
	if len(p.classes) > 0 {
		if m := p.classes[firstSegment(rest)]; m != nil {
			return m
		}
	}
	return p.anyClass
}

// findHost returns the routes of the most specific host or pattern that matches name, or nil if none matches.
func (t *Table) findHost(name []byte) *hostRoutes {
	if h := t.hosts[string(name)]; h != nil {
		return h
	}
	if name[0] == '[' { // no pattern matches an IPv6 address
		return t.anyHost
	}
	for i, c := range name {
		if c != '.' {
			continue
		}
		if h := t.hosts[string(name[i:])]; h != nil {
			return h
		}
	}
	return t.anyHost
}

// RewriteTarget returns the request target to send to the pool. If the route strips its path, as many leading segments as that path has
// are removed from uri; otherwise uri is returned unchanged.
func (m *Match) RewriteTarget(uri string) string {
	if !m.StripPath {
		return uri
	}
	i := 0
	for range strings.Count(m.path, "/") {
		next := strings.IndexAny(uri[i+1:], "/?")
		if next < 0 {
			return "/"
		}
		i += 1 + next
		if uri[i] == '?' {
			break
		}
	}
	if uri[i] == '?' {
		return "/" + uri[i:]
	}
	return uri[i:]
}
