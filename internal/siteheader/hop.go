// Package siteheader reads and writes the fields that cross between two sites with a request and its answer, as
// docs/protocol/hop.md has them: dictionaries of RFC 9651. It opens no socket and decides nothing but whether a field can be
// read and is within its bounds; whether its sender may send it at all is for who received it.
package siteheader

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/dunglas/httpsfv"
)

// The names of the fields.
const (
	RequestField  = "Sorrel-Hop"
	ResponseField = "Sorrel-Hop-Answer"
)

// Version is the highest that this package knows.
const Version = 1

const (
	// mostField bounds a field, mostText a string in it, and mostPrior the groups that may have run a request.
	mostField = 4 << 10
	mostText  = 256
	mostPrior = 8
	// mostTime bounds any length of time, mostCount any number.
	mostTime  = 24 * time.Hour
	mostStamp = 100 * 365 * 24 * time.Hour
	mostCount = 1 << 20
	// mostAttempts bounds the attempts of one request over all sites.
	mostAttempts = 16
)

// The errors of reading a field.
var (
	ErrVersion   = errors.New("hop: a version that is not known") // 505
	ErrLoop      = errors.New("hop: a second hop")                // 508
	ErrMalformed = errors.New("hop: the field cannot be read")    // 400
)

// Request is what crosses with a request.
type Request struct {
	TimeLeft        time.Duration // that the client still waits; above 0
	Pool            string        // as both sites' files name it
	Class           string
	Tenant          string
	Key             string        // of the module, "" if there is none
	ExpectedWork    time.Duration // rough work; 0: not known
	IsRetry         bool          // the client marked it as a retry
	AttemptsMade    int           // attempts made so far
	AttemptsAllowed int           // further attempts that the far site may make, at least 1
	Executions      []Execution   // groups that may have run it
	Origin          string
	Path            []string // sites, the origin first
	// Stamp is the last that the receiver has given, Ago how long ago it came, and Within how long the sender waits for a word
	// of the receiver until it gives up what is out.
	Stamp, StampAge, StallTimeout time.Duration
}

// Execution is a group that may have run a request, and how long it still drops a repeat.
type Execution struct {
	Group          DedupGroup
	DedupRemaining time.Duration
}

// DedupGroup says who drops a repeat: all (the zero Group), the servers of a zone, or those of a cell of a zone.
type DedupGroup struct {
	Zone   string
	Cell   int // in Zone, if InCell
	InCell bool
}

// String is the group as it crosses.
func (g DedupGroup) String() string {
	switch {
	case g.Zone == "" && !g.InCell:
		return "all"
	case g.InCell:
		return "cell:" + g.Zone + "/" + strconv.Itoa(g.Cell)
	}
	return "zone:" + g.Zone
}

func parseGroup(text string) (DedupGroup, error) {
	if text == "all" {
		return DedupGroup{}, nil
	}
	if zone, ok := strings.CutPrefix(text, "zone:"); ok && zone != "" {
		return DedupGroup{Zone: zone}, nil
	}
	rest, ok := strings.CutPrefix(text, "cell:")
	i := strings.LastIndexByte(rest, '/')
	if ok && i >= 0 {
		if n, err := strconv.ParseUint(rest[i+1:], 10, 20); err == nil {
			return DedupGroup{Zone: rest[:i], Cell: int(n), InCell: true}, nil
		}
	}
	return DedupGroup{}, fmt.Errorf("%w: group %.80q", ErrMalformed, text)
}

// Contains reports whether a server of a zone and cell is of the group.
func (g DedupGroup) Contains(zone string, cell int) bool {
	return g.Zone == "" && !g.InCell || g.Zone == zone && (!g.InCell || g.Cell == cell)
}

// Delay is how long a request has been on its way, from when its receiver gave the stamp, beside the time that the sender had it:
// a round trip, or more where the link held it up. A stamp of a clock that has begun anew tells 0.
func (r *Request) Delay(now time.Duration) time.Duration { return max(0, now-r.Stamp-r.StampAge) }

// Outcome says how a request ended at the far site.
type Outcome string

// The ends.
const (
	Served          Outcome = "served"
	Rejected        Outcome = "refused"      // nothing has run
	MayHaveExecuted Outcome = "may-have-run" // also what is taken of an answer that cannot be read
)

// Response is what crosses with an answer.
type Response struct {
	Outcome    Outcome
	Attempts   int           // attempts made there
	Credits    int           // requests granted from now on
	RetryAfter time.Duration // with Refused: until room is expected; 0: not known
	Stamp      time.Duration // of the receiver's own clock, which means nothing to others
}

// String is the request as its field has it. It is the inverse of ParseRequest for what that accepts.
func (r *Request) String() (string, error) {
	d := httpsfv.NewDictionary()
	add := func(key string, v any) { d.Add(key, httpsfv.NewItem(v)) }
	add("v", int64(Version))
	add("left", r.TimeLeft.Microseconds())
	add("pool", r.Pool)
	add("class", r.Class)
	for key, v := range map[string]string{"tenant": r.Tenant, "key": r.Key} {
		if v != "" {
			add(key, v)
		}
	}
	if r.ExpectedWork > 0 {
		add("cost", r.ExpectedWork.Microseconds())
	}
	if r.IsRetry {
		add("retry", true)
	}
	add("used", int64(r.AttemptsMade))
	add("may", int64(r.AttemptsAllowed))
	if len(r.Executions) > 0 {
		list := httpsfv.InnerList{Params: httpsfv.NewParams()}
		for _, p := range r.Executions {
			item := httpsfv.NewItem(p.Group.String())
			item.Params.Add("for", p.DedupRemaining.Microseconds())
			list.Items = append(list.Items, item)
		}
		d.Add("ran", list)
	}
	add("stamp", r.Stamp.Microseconds())
	add("ago", r.StampAge.Microseconds())
	add("within", r.StallTimeout.Microseconds())
	add("origin", r.Origin)
	passed := httpsfv.InnerList{Params: httpsfv.NewParams()}
	for _, site := range r.Path {
		passed.Items = append(passed.Items, httpsfv.NewItem(site))
	}
	d.Add("passed", passed)
	return httpsfv.Marshal(d)
}

// reader reads a dictionary and keeps the first error.
type reader struct {
	d   *httpsfv.Dictionary
	err error
}

func newReader(field []string) (*reader, error) {
	n := 0
	for _, f := range field {
		n += len(f)
	}
	if n == 0 || n > mostField {
		return nil, fmt.Errorf("%w: %d bytes", ErrMalformed, n)
	}
	d, err := httpsfv.UnmarshalDictionary(field)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	r := &reader{d: d}
	v := r.whole("v", true, mostCount)
	if r.err == nil && v != Version {
		return nil, fmt.Errorf("%w: %d", ErrVersion, v)
	}
	return r, r.err
}

func (r *reader) bad(key, what string) {
	if r.err == nil {
		r.err = fmt.Errorf("%w: %s %s", ErrMalformed, key, what)
	}
}

// item returns the value under key, or nil.
func (r *reader) item(key string, needed bool) any {
	m, ok := r.d.Get(key)
	if !ok {
		if needed {
			r.bad(key, "is missing")
		}
		return nil
	}
	item, ok := m.(httpsfv.Item)
	if !ok {
		r.bad(key, "is a list")
		return nil
	}
	return item.Value
}

func (r *reader) whole(key string, needed bool, most int64) int64 {
	switch v := r.item(key, needed).(type) {
	case nil:
	case int64:
		if v >= 0 && v <= most {
			return v
		}
		r.bad(key, "is out of range")
	default:
		r.bad(key, "is no integer")
	}
	return 0
}

func (r *reader) duration(key string, needed bool) time.Duration {
	return time.Duration(r.whole(key, needed, mostTime.Microseconds())) * time.Microsecond
}

// stamp is a time of a clock that may have run for long.
func (r *reader) stamp(key string, needed bool) time.Duration {
	return time.Duration(r.whole(key, needed, mostStamp.Microseconds())) * time.Microsecond
}

func (r *reader) text(key string, needed bool) string {
	switch v := r.item(key, needed).(type) {
	case nil:
	case string:
		if len(v) <= mostText && (v != "" || !needed) {
			return v
		}
		r.bad(key, "is empty or too long")
	default:
		r.bad(key, "is no string")
	}
	return ""
}

// list returns the inner list under key.
func (r *reader) list(key string, needed bool, most int) []httpsfv.Item {
	m, ok := r.d.Get(key)
	if !ok {
		if needed {
			r.bad(key, "is missing")
		}
		return nil
	}
	l, ok := m.(httpsfv.InnerList)
	if !ok || len(l.Items) > most {
		r.bad(key, "is no list, or too long a one")
		return nil
	}
	return l.Items
}

// ParseRequest reads the field of a request at the site self. The error is ErrVersion, ErrLoop or ErrField.
func ParseRequest(field []string, self string) (*Request, error) {
	r, err := newReader(field)
	if err != nil {
		return nil, err
	}
	q := &Request{
		TimeLeft: r.duration("left", true), Pool: r.text("pool", true), Class: r.text("class", true), Tenant: r.text("tenant", false), Key: r.text("key", false),
		ExpectedWork: r.duration("cost", false), AttemptsMade: int(r.whole("used", true, mostAttempts)), AttemptsAllowed: int(r.whole("may", true, mostAttempts)),
		Origin: r.text("origin", true), Stamp: r.stamp("stamp", true), StampAge: r.duration("ago", true), StallTimeout: r.duration("within", true),
	}
	switch v := r.item("retry", false).(type) {
	case nil:
	case bool:
		q.IsRetry = v
	default:
		r.bad("retry", "is no boolean")
	}
	if r.err == nil && q.TimeLeft <= 0 {
		r.bad("left", "is 0")
	}
	if r.err == nil && q.AttemptsAllowed < 1 {
		r.bad("may", "is 0")
	}
	for _, item := range r.list("ran", false, mostPrior) {
		text, ok := item.Value.(string)
		us, has := item.Params.Get("for")
		n, whole := us.(int64)
		if !ok || !has || !whole || len(text) > mostText || n < 0 || n > mostTime.Microseconds() {
			r.bad("ran", "has an entry that cannot be read")
			break
		}
		g, err := parseGroup(text)
		if err != nil {
			return nil, err
		}
		q.Executions = append(q.Executions, Execution{g, time.Duration(n) * time.Microsecond})
	}
	for _, item := range r.list("passed", true, mostPrior) {
		site, ok := item.Value.(string)
		if !ok || site == "" || len(site) > mostText {
			r.bad("passed", "has an entry that is no site")
			break
		}
		q.Path = append(q.Path, site)
	}
	if r.err != nil {
		return nil, r.err
	}
	if len(q.Path) != 1 || q.Path[0] != q.Origin || q.Origin == self {
		return nil, fmt.Errorf("%w: from %q by way of %q at %q", ErrLoop, q.Origin, q.Path, self)
	}
	return q, nil
}

// String is the answer as its field has it.
func (a *Response) String() (string, error) {
	d := httpsfv.NewDictionary()
	add := func(key string, v any) { d.Add(key, httpsfv.NewItem(v)) }
	add("v", int64(Version))
	add("how", httpsfv.Token(a.Outcome))
	add("spent", int64(a.Attempts))
	add("room", int64(a.Credits))
	add("stamp", a.Stamp.Microseconds())
	if a.RetryAfter > 0 {
		add("wait", a.RetryAfter.Microseconds())
	}
	return httpsfv.Marshal(d)
}

// ParseResponse reads the field of an answer to a request that might make so many attempts. What cannot be read, or says less
// than it should, is taken for the worst: it may have run, all attempts are spent, and nothing is granted.
func ParseResponse(field []string, may int) (Response, error) {
	worst := Response{Outcome: MayHaveExecuted, Attempts: may}
	r, err := newReader(field)
	if err != nil {
		return worst, err
	}
	a := Response{Attempts: int(r.whole("spent", true, mostAttempts)), Credits: int(r.whole("room", true, mostCount)), RetryAfter: r.duration("wait", false), Stamp: r.stamp("stamp", true)}
	word, ok := r.item("how", true).(httpsfv.Token)
	switch a.Outcome = Outcome(word); a.Outcome {
	case Served, Rejected, MayHaveExecuted:
	default:
		ok = false
	}
	if !ok {
		r.bad("how", "is no word of this version")
	}
	if r.err == nil && a.Attempts > may {
		r.bad("spent", "is more than was allowed")
	}
	if r.err != nil {
		return worst, r.err
	}
	return a, nil
}
