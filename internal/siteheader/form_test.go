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
	// The two come in either order, which means nothing in a dictionary.
	text = strings.Replace(text, `key="k-1", tenant="acme"`, `tenant="acme", key="k-1"`, 1)
	read := func(text string) (any, error) { return ParseRequest([]string{text}, "far") }
	return goldentest.Form{Name: name, Written: text, Read: read, Value: q, Full: full}
}

func answerForm(name string, a Answer, full bool) goldentest.Form {
	text, err := a.String()
	if err != nil {
		panic(err)
	}
	read := func(text string) (any, error) { return ParseAnswer([]string{text}, mostAttempts) }
	return goldentest.Form{Name: name, Written: text, Read: read, Value: a, Full: full}
}

// TestFieldForm pins the fields that cross between sites.
func TestFieldForm(t *testing.T) {
	const us = time.Microsecond
	full := &Request{
		Left: 400001 * us, Pool: "orders", Class: "order", Tenant: "acme", Key: "k-1", Cost: 2500 * us, Retry: true, Used: 3, May: 2,
		Ran: []Prior{
			{Group{Zone: "a", Cell: 12, InCell: true}, 30 * time.Second}, {Group{Zone: "b"}, 7 * us}, {Group{}, 0},
		},
		Origin: "near", Passed: []string{"near"}, Stamp: time.Hour, Ago: 20 * time.Millisecond, Within: 215 * time.Millisecond,
	}
	least := &Request{Left: us, Pool: "orders", Class: "read", May: 1, Origin: "near", Passed: []string{"near"}}
	goldentest.CheckForms(t, "fields.golden", []goldentest.Form{
		requestForm("full request", full, true),
		requestForm("least request", least, false),
		answerForm("refused", Answer{How: Refused, Spent: 1, Room: 12, Wait: 40 * time.Millisecond, Stamp: time.Hour}, true),
		answerForm("served", Answer{How: Served, Spent: 2, Room: 13, Stamp: time.Hour}, false),
		answerForm("may have run", Answer{How: MayHaveRun}, false),
	})
}

// TestNames pins the names of the fields, the version and the bounds, which both sites must have alike.
func TestNames(t *testing.T) {
	got := []any{RequestField, AnswerField, Version, mostField, mostText, mostPrior, mostTime, mostStamp, mostCount, mostAttempts}
	want := []any{"Sorrel-Hop", "Sorrel-Hop-Answer", 1, 4096, 256, 8, 24 * time.Hour, 876000 * time.Hour, 1 << 20, 16}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
