package siteheader

import (
	"fmt"
	"time"

	"github.com/dunglas/httpsfv"
)

// Values of the isRequired parameters: whether a key must be present in the dictionary.
const (
	required = true
	optional = false
)

// ParseRequest decodes the values of a RequestField that the site self has received. The error wraps ErrVersion, ErrLoop or ErrMalformed.
func ParseRequest(values []string, self string) (*Request, error) {
	d, err := newDecoder(values)
	if err != nil {
		return nil, err
	}
	r := &Request{
		TimeLeft:        d.duration("left", required),
		Pool:            d.text("pool", required),
		Class:           d.text("class", required),
		Tenant:          d.text("tenant", optional),
		Key:             d.text("key", optional),
		ExpectedWork:    d.duration("cost", optional),
		AttemptsMade:    int(d.integer("used", required, maxAttempts)),
		AttemptsAllowed: int(d.integer("may", required, maxAttempts)),
		Origin:          d.text("origin", required),
		Stamp:           d.stamp("stamp"),
		StampAge:        d.duration("ago", required),
		StallTimeout:    d.duration("within", required),
		IsRetry:         d.boolean("retry"),
	}
	if d.err == nil && r.TimeLeft <= 0 {
		d.fail("left", "is 0")
	}
	if d.err == nil && r.AttemptsAllowed < 1 {
		d.fail("may", "is 0")
	}
	r.Executions = d.executions("ran")
	r.Path = d.sites("passed")
	if d.err != nil {
		return nil, d.err
	}
	if len(r.Path) != 1 || r.Path[0] != r.Origin || r.Origin == self {
		return nil, fmt.Errorf("%w: from %q by way of %q at %q", ErrLoop, r.Origin, r.Path, self)
	}
	return r, nil
}

// ParseResponse decodes the values of a ResponseField. attemptsAllowed is the number of attempts that the request allowed. The error wraps
// ErrVersion or ErrMalformed. With an error, the returned response is the worst case: the request may have been executed, all allowed
// attempts were made, and there are no credits.
func ParseResponse(values []string, attemptsAllowed int) (Response, error) {
	worst := Response{Outcome: MayHaveExecuted, Attempts: attemptsAllowed}
	d, err := newDecoder(values)
	if err != nil {
		return worst, err
	}
	r := Response{
		Attempts:   int(d.integer("spent", required, maxAttempts)),
		Credits:    int(d.integer("room", required, maxCount)),
		RetryAfter: d.duration("wait", optional),
		Stamp:      d.stamp("stamp"),
		Outcome:    d.outcome("how"),
	}
	if d.err == nil && r.Attempts > attemptsAllowed {
		d.fail("spent", "is more than the attempts allowed")
	}
	if d.err != nil {
		return worst, d.err
	}
	return r, nil
}

// decoder decodes the items of a dictionary and records the first error. Its results are invalid after an error.
type decoder struct {
	dictionary *httpsfv.Dictionary
	err        error
}

// newDecoder parses the values of a field and checks the version of the field.
func newDecoder(values []string) (*decoder, error) {
	size := 0
	for _, v := range values {
		size += len(v)
	}
	if size == 0 || size > maxFieldBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrMalformed, size)
	}
	dictionary, err := httpsfv.UnmarshalDictionary(values)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	d := &decoder{dictionary: dictionary}
	version := d.integer("v", required, maxCount)
	if d.err == nil && version != Version {
		return nil, fmt.Errorf("%w: %d", ErrVersion, version)
	}
	return d, d.err
}

// fail records an error unless an earlier one is recorded.
func (d *decoder) fail(key, problem string) {
	if d.err == nil {
		d.err = fmt.Errorf("%w: %s %s", ErrMalformed, key, problem)
	}
}

// item returns the value of an item, or nil if the key is missing or its value is a list.
func (d *decoder) item(key string, isRequired bool) any {
	member, ok := d.dictionary.Get(key)
	if !ok {
		if isRequired {
			d.fail(key, "is missing")
		}
		return nil
	}
	item, ok := member.(httpsfv.Item)
	if !ok {
		d.fail(key, "is a list")
		return nil
	}
	return item.Value
}

// integer returns an integer from 0 to limit, inclusive.
func (d *decoder) integer(key string, isRequired bool, limit int64) int64 {
	switch v := d.item(key, isRequired).(type) {
	case nil:
	case int64:
		if v >= 0 && v <= limit {
			return v
		}
		d.fail(key, "is out of range")
	default:
		d.fail(key, "is no integer")
	}
	return 0
}

func (d *decoder) duration(key string, isRequired bool) time.Duration {
	return time.Duration(d.integer(key, isRequired, maxDuration.Microseconds())) * time.Microsecond
}

// stamp returns a required reading of a clock. The clock may have run for years, so the bound is maxStamp instead of maxDuration.
func (d *decoder) stamp(key string) time.Duration {
	return time.Duration(d.integer(key, required, maxStamp.Microseconds())) * time.Microsecond
}

// text returns a string. A required string must not be empty.
func (d *decoder) text(key string, isRequired bool) string {
	switch v := d.item(key, isRequired).(type) {
	case nil:
	case string:
		if len(v) <= maxTextBytes && (v != "" || !isRequired) {
			return v
		}
		d.fail(key, "is empty or too long")
	default:
		d.fail(key, "is no string")
	}
	return ""
}

// boolean returns an optional boolean.
func (d *decoder) boolean(key string) bool {
	switch v := d.item(key, optional).(type) {
	case nil:
	case bool:
		return v
	default:
		d.fail(key, "is no boolean")
	}
	return false
}

func (d *decoder) outcome(key string) Outcome {
	token, ok := d.item(key, required).(httpsfv.Token)
	outcome := Outcome(token)
	if !ok || outcome != Served && outcome != Rejected && outcome != MayHaveExecuted {
		d.fail(key, "is not an outcome of this version")
	}
	return outcome
}

// list returns the items of an inner list.
func (d *decoder) list(key string, isRequired bool) []httpsfv.Item {
	member, ok := d.dictionary.Get(key)
	if !ok {
		if isRequired {
			d.fail(key, "is missing")
		}
		return nil
	}
	list, ok := member.(httpsfv.InnerList)
	if !ok || len(list.Items) > maxListItems {
		d.fail(key, "is no list, or too long a one")
		return nil
	}
	return list.Items
}

// executions returns the executions of an optional list.
func (d *decoder) executions(key string) []Execution {
	var executions []Execution
	for _, item := range d.list(key, optional) {
		text, isText := item.Value.(string)
		value, hasRemaining := item.Params.Get("for")
		remaining, isInteger := value.(int64)
		if !isText || !hasRemaining || !isInteger || len(text) > maxTextBytes || remaining < 0 || remaining > maxDuration.Microseconds() {
			d.fail(key, "has an entry that cannot be read")
			break
		}
		group, err := parseDedupGroup(text)
		if err != nil {
			d.err = err // replaces an earlier error, which is less specific
			break
		}
		executions = append(executions, Execution{group, time.Duration(remaining) * time.Microsecond})
	}
	return executions
}

// sites returns the site names of a required list.
func (d *decoder) sites(key string) []string {
	var sites []string
	for _, item := range d.list(key, required) {
		site, ok := item.Value.(string)
		if !ok || site == "" || len(site) > maxTextBytes {
			d.fail(key, "has an entry that is no site")
			break
		}
		sites = append(sites, site)
	}
	return sites
}
