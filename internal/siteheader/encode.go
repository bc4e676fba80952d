package siteheader

import "github.com/dunglas/httpsfv"

// String encodes the request as the value of a RequestField. It is the inverse of ParseRequest for every request that ParseRequest
// accepts. It returns an error if a string of the request cannot be represented in a header field.
func (r *Request) String() (string, error) {
	d := httpsfv.NewDictionary()
	add := func(key string, v any) { d.Add(key, httpsfv.NewItem(v)) }
	add("v", int64(Version))
	add("left", r.TimeLeft.Microseconds())
	add("pool", r.Pool)
	add("class", r.Class)
	if r.Tenant != "" {
		add("tenant", r.Tenant)
	}
	if r.Key != "" {
		add("key", r.Key)
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
		d.Add("ran", encodeExecutions(r.Executions))
	}
	add("stamp", r.Stamp.Microseconds())
	add("ago", r.StampAge.Microseconds())
	add("within", r.StallTimeout.Microseconds())
	add("origin", r.Origin)
	path := httpsfv.InnerList{Params: httpsfv.NewParams()}
	for _, site := range r.Path {
		path.Items = append(path.Items, httpsfv.NewItem(site))
	}
	d.Add("passed", path)
	return httpsfv.Marshal(d)
}

func encodeExecutions(executions []Execution) httpsfv.InnerList {
	list := httpsfv.InnerList{Params: httpsfv.NewParams()}
	for _, e := range executions {
		item := httpsfv.NewItem(e.Group.String())
		item.Params.Add("for", e.DedupRemaining.Microseconds())
		list.Items = append(list.Items, item)
	}
	return list
}

// String encodes the response as the value of a ResponseField. It is the inverse of ParseResponse for every response that ParseResponse
// accepts.
func (r *Response) String() (string, error) {
	d := httpsfv.NewDictionary()
	add := func(key string, v any) { d.Add(key, httpsfv.NewItem(v)) }
	add("v", int64(Version))
	add("how", httpsfv.Token(r.Outcome))
	add("spent", int64(r.Attempts))
	add("room", int64(r.Credits))
	add("stamp", r.Stamp.Microseconds())
	if r.RetryAfter > 0 {
		add("wait", r.RetryAfter.Microseconds())
	}
	return httpsfv.Marshal(d)
}
