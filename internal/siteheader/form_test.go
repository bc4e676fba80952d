package siteheader

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"sorrelrudder/internal/goldentest"
)

func requestForm(name string, q *Request, full bool) goldentest.Form {
	text, err := q.String()
	if err != nil {
		panic(err)
	}
	// The order of these two keys has no meaning in a dictionary, so it is normalized.
	text = strings.Replace(text, `key="k-1", tenant="acme"`, `tenant="acme", key="k-1"`, 1)
	read := func(text string) (any, error) { return ParseRequest([]string{text}, "far") }
	return goldentest.Form{Name: name, Written: text, Read: read, Value: q, Full: full}
}

func responseForm(name string, a Response, full bool) goldentest.Form {
	text, err := a.String()
	if err != nil {
		panic(err)
	}
	read := func(text string) (any, error) { return ParseResponse([]string{text}, maxAttempts) }
	return goldentest.Form{Name: name, Written: text, Read: read, Value: a, Full: full}
}

// TestFieldForm pins the encoding of the header fields that sites exchange.
func TestFieldForm(t *testing.T) {
	const us = time.Microsecond
	full := &Request{
		TimeLeft: 400001 * us, Pool: "orders", Class: "order", Tenant: "acme", Key: "k-1", ExpectedWork: 2500 * us, IsRetry: true, AttemptsMade: 3, AttemptsAllowed: 2,
		Executions: []Execution{
			{DedupGroup{Zone: "a", Cell: 12, InCell: true}, 30 * time.Second}, {DedupGroup{Zone: "b"}, 7 * us}, {DedupGroup{}, 0},
		},
		Origin: "near", Path: []string{"near"}, Stamp: time.Hour, StampAge: 20 * time.Millisecond, StallTimeout: 215 * time.Millisecond,
	}
	minimal := &Request{TimeLeft: us, Pool: "orders", Class: "read", AttemptsAllowed: 1, Origin: "near", Path: []string{"near"}}
	goldentest.CheckForms(t, "fields.golden", []goldentest.Form{
		requestForm("full request", full, true),
		requestForm("least request", minimal, false),
		responseForm("refused", Response{Outcome: Rejected, Attempts: 1, Credits: 12, RetryAfter: 40 * time.Millisecond, Stamp: time.Hour}, true),
		responseForm("served", Response{Outcome: Served, Attempts: 2, Credits: 13, Stamp: time.Hour}, false),
		responseForm("may have run", Response{Outcome: MayHaveExecuted}, false),
	})
}

// TestNames pins the names of the fields, the version and the bounds, which must be the same at both sites.
func TestNames(t *testing.T) {
	got := []any{RequestField, ResponseField, Version, maxFieldBytes, maxTextBytes, maxListItems, maxDuration, maxStamp, maxCount, maxAttempts}
	want := []any{"Sorrel-Hop", "Sorrel-Hop-Answer", 1, 4096, 256, 8, 24 * time.Hour, 876000 * time.Hour, 1 << 20, 16}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
