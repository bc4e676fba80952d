package siteheader

import (
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "sorrelrudder/internal/fixedseed"
)

func drawRequest(t *rapid.T) *Request {
	text := rapid.StringMatching(`[ -~]{1,40}`)
	us := rapid.Map(rapid.Int64Range(1, maxDuration.Microseconds()), func(n int64) time.Duration { return time.Duration(n) * time.Microsecond })
	zone := rapid.StringMatching(`[a-z][a-z-]{0,20}`)
	q := &Request{
		TimeLeft: us.Draw(t, "left"), Pool: text.Draw(t, "pool"), Class: text.Draw(t, "class"), Origin: text.Draw(t, "origin"),
		AttemptsMade: rapid.IntRange(0, maxAttempts).Draw(t, "used"), AttemptsAllowed: rapid.IntRange(1, maxAttempts).Draw(t, "may"),
		IsRetry: rapid.Bool().Draw(t, "retry"), Stamp: us.Draw(t, "stamp"), StampAge: us.Draw(t, "ago"), StallTimeout: us.Draw(t, "within"),
	}
	if rapid.Bool().Draw(t, "more") {
		q.Tenant, q.Key, q.ExpectedWork = text.Draw(t, "tenant"), text.Draw(t, "key"), us.Draw(t, "cost")
	}
	for range rapid.IntRange(0, 3).Draw(t, "ran") {
		g := DedupGroup{}
		switch rapid.IntRange(0, 2).Draw(t, "group") {
		case 1:
			g.Zone = zone.Draw(t, "zone")
		case 2:
			g = DedupGroup{Zone: zone.Draw(t, "zone"), Cell: rapid.IntRange(0, 1000).Draw(t, "cell"), InCell: true}
		}
		q.Executions = append(q.Executions, Execution{g, us.Draw(t, "for")})
	}
	q.Path = []string{q.Origin}
	return q
}

// TestRoundTrip guards against encoding that loses or changes a part of a request or response. It also guards against accepting a request
// that has returned to its origin or was forwarded before.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := drawRequest(t)
		text, err := q.String()
		if err != nil {
			t.Fatal(err)
		}
		got, err := ParseRequest([]string{text}, q.Origin+" not")
		if err != nil {
			t.Fatalf("decode %s: unexpected error: %v", text, err)
		}
		if !reflect.DeepEqual(q, got) {
			t.Fatalf("encoded %+v, decoded %+v", q, got)
		}
		if _, err := ParseRequest([]string{text}, q.Origin); !errors.Is(err, ErrLoop) {
			t.Fatalf("request that has returned to its origin: got error %v, want ErrLoop", err)
		}
		q.Path = append(q.Path, "third")
		if text, err = q.String(); err != nil {
			t.Fatal(err)
		}
		if _, err := ParseRequest([]string{text}, "fourth"); !errors.Is(err, ErrLoop) {
			t.Fatalf("request that was forwarded before: got error %v, want ErrLoop", err)
		}
		a := Response{
			Outcome: rapid.SampledFrom([]Outcome{Served, Rejected, MayHaveExecuted}).Draw(t, "how"), Attempts: rapid.IntRange(0, q.AttemptsAllowed).Draw(t, "spent"),
			Credits: rapid.IntRange(0, maxCount).Draw(t, "room"), RetryAfter: time.Duration(rapid.IntRange(0, 1e6).Draw(t, "wait")) * time.Microsecond,
		}
		if text, err = a.String(); err != nil {
			t.Fatal(err)
		}
		if got, err := ParseResponse([]string{text}, q.AttemptsAllowed); err != nil || got != a {
			t.Fatalf("decode %s: got %+v, error %v", text, got, err)
		}
	})
}

const validField = `v=1, left=400000, pool="orders", class="order", used=1, may=2, stamp=5, ago=1, within=200000, origin="a", passed=("a")`

// TestInvalidRequests guards against accepting malformed request fields or values out of bounds.
func TestInvalidRequests(t *testing.T) {
	if _, err := ParseRequest([]string{validField}, "b"); err != nil {
		t.Fatal(err)
	}
	for text, want := range map[string]error{
		"":     ErrMalformed,
		"v=1":  ErrMalformed,
		"v=2":  ErrVersion,
		"v=1;": ErrMalformed,
		strings.Replace(validField, "v=1", "v=2", 1):                         ErrVersion,
		strings.Replace(validField, "v=1", `v="1"`, 1):                       ErrMalformed,
		strings.Replace(validField, "left=400000", "left=0", 1):              ErrMalformed,
		strings.Replace(validField, "left=400000", "left=-5", 1):             ErrMalformed,
		strings.Replace(validField, "left=400000", "left=0.5", 1):            ErrMalformed,
		strings.Replace(validField, "left=400000", "left=99999999999999", 1): ErrMalformed,
		strings.Replace(validField, `pool="orders", `, "", 1):                ErrMalformed,
		strings.Replace(validField, `class="order", `, "", 1):                ErrMalformed,
		strings.Replace(validField, `"order"`, `""`, 1):                      ErrMalformed,
		strings.Replace(validField, "may=2", "may=0", 1):                     ErrMalformed,
		strings.Replace(validField, "may=2", "may=1000", 1):                  ErrMalformed,
		strings.Replace(validField, `("a")`, `"a"`, 1):                       ErrMalformed,
		strings.Replace(validField, `("a")`, `()`, 1):                        ErrLoop,
		strings.Replace(validField, `("a")`, `("c")`, 1):                     ErrLoop,
		validField + `, ran=("all")`:                                         ErrMalformed,
		validField + `, ran=("none";for=5)`:                                  ErrMalformed,
		validField + `, ran=("cell:x";for=5)`:                                ErrMalformed,
		validField + `, ran=(7;for=5)`:                                       ErrMalformed,
		validField + `, retry=1`:                                             ErrMalformed,
		validField + `, tenant=("x")`:                                        ErrMalformed,
		validField + `, key="` + strings.Repeat("k", maxTextBytes+1) + `"`:   ErrMalformed,
		validField + `, x="` + strings.Repeat("k", maxFieldBytes) + `"`:      ErrMalformed,
	} {
		if q, err := ParseRequest([]string{text}, "b"); !errors.Is(err, want) {
			t.Errorf("decode %.120s: got %+v, error %v, want error %v", text, q, err, want)
		}
	}
}

// TestInvalidResponses guards against treating a request as not executed if the response field does not state so.
func TestInvalidResponses(t *testing.T) {
	for _, text := range []string{
		"", "v=2, how=refused, spent=0, room=5", "v=1, spent=0, room=5", `v=1, how="refused", spent=0, room=5`, "v=1, how=gone, spent=0, room=5",
		"v=1, how=refused, room=5", "v=1, how=refused, spent=3, room=5", "v=1, how=refused, spent=0", "how=refused", "v=1, how=refused, spent=0, room=-1",
	} {
		if a, err := ParseResponse([]string{text}, 2); err == nil || a != (Response{Outcome: MayHaveExecuted, Attempts: 2}) {
			t.Errorf("decode %q: got %+v, error %v, want the worst case and an error", text, a, err)
		}
	}
}

// TestDedupGroupContains guards against a wrong encoding of a dedup group, and against a group that includes a server outside of it.
func TestDedupGroupContains(t *testing.T) {
	for _, c := range []struct {
		group string
		zone  string
		cell  int
		want  bool
	}{
		{"all", "a", 1, true}, {"zone:a", "a", 1, true}, {"zone:a", "b", 1, false},
		{"cell:a/1", "a", 1, true}, {"cell:a/1", "a", 2, false}, {"cell:a/1", "b", 1, false},
	} {
		g, err := parseDedupGroup(c.group)
		if err != nil || g.String() != c.group || g.Contains(c.zone, c.cell) != c.want {
			t.Errorf("group %s, server in %s/%d: parsed group %v, error %v", c.group, c.zone, c.cell, g, err)
		}
	}
}

// FuzzParse guards against a panic, and against a field that is accepted but changes when it is encoded again.
func FuzzParse(f *testing.F) {
	f.Add(validField, "b")
	f.Add(validField+`, ran=("all";for=5 "zone:x";for=7 "cell:x/3";for=0), tenant="t", key="k", cost=9, retry`, "b")
	f.Add("v=1, how=served, spent=1, room=3", "")
	f.Fuzz(func(t *testing.T, text, self string) {
		if q, err := ParseRequest([]string{text}, self); err == nil {
			again, err := q.String()
			if err != nil {
				t.Fatalf("decoded %q cannot be encoded: %v", text, err)
			}
			back, err := ParseRequest([]string{again}, self)
			if err != nil || !reflect.DeepEqual(q, back) {
				t.Fatalf("%q was encoded again as %q: first %+v, then %+v, error %v", text, again, q, back, err)
			}
		}
		if a, err := ParseResponse([]string{text}, 3); err != nil && (a.Outcome != MayHaveExecuted || a.Attempts != 3 || a.Credits != 0) {
			t.Fatalf("invalid response field %q: got %+v, want the worst case", text, a)
		}
	})
}
