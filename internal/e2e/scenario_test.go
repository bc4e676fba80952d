package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"strings"
	"testing"
)

// TestReport guards against a report that passes although a rule was violated or a bound missed, and against changes of the JSON form that
// other tools read.
func TestReport(t *testing.T) {
	scenarios["test"] = Scenario{Name: "test", Run: func(_ context.Context, e *Env) error {
		e.Measure("plain", 3)
		e.AtLeast("kept", 2, 1)
		if e.Seed == 2 {
			e.AtMost("missed", 2, 1)
		}
		if e.Seed == 3 {
			e.Fail("rule %d", 2)
		}
		if e.Seed == 4 {
			return errors.New("trouble")
		}
		return nil
	}}
	defer delete(scenarios, "test")
	for seed, want := range map[uint64]string{
		1: `{"scenario":"test","seed":1,"pass":true,"broken":[],"measures":{"kept":2,"plain":3}}`,
		2: `{"scenario":"test","seed":2,"pass":false,"broken":["bound: missed is 2, want at most 1"],"measures":{"kept":2,"missed":2,"plain":3}}`,
		3: `{"scenario":"test","seed":3,"pass":false,"broken":["rule 2"],"measures":{"kept":2,"plain":3}}`,
	} {
		r, err := Play(context.Background(), "test", Options{Seed: seed})
		if err != nil {
			t.Fatal(err)
		}
		var b bytes.Buffer
		if err := r.WriteJSON(&b); err != nil || strings.TrimSpace(b.String()) != want {
			t.Errorf("report: got %s, error %v, want %s", b.String(), err, want)
		}
		if !json.Valid(b.Bytes()) {
			t.Error("WriteJSON wrote invalid JSON")
		}
		var table bytes.Buffer
		if err := r.WriteTable(&table); err != nil {
			t.Fatal(err)
		}
		if ok := strings.Contains(table.String(), "passed"); ok != r.Pass || !strings.Contains(table.String(), "at least 1") {
			t.Errorf("WriteTable wrote\n%s\nwant the verdict of the report and the bound", table.String())
		}
	}
	if _, err := Play(context.Background(), "test", Options{Seed: 4}); err == nil {
		t.Error("Play returned no error for a scenario that failed")
	}
	if _, err := Play(context.Background(), "none", Options{}); !errors.Is(err, ErrUnknownScenario) {
		t.Errorf("Play of an unknown scenario: got %v, want ErrUnknownScenario", err)
	}
}

// TestField guards against a log field that is not unquoted, and against a key that matches the end of another key.
func TestField(t *testing.T) {
	line := `time=x level=INFO msg="pool drains" pool=a load="1 requests, \"2\"" last=z`
	for key, want := range map[string]string{"msg": "pool drains", "pool": "a", "load": `1 requests, "2"`, "last": "z", "none": "", "oad": ""} {
		if got := LogField(line, key); got != want {
			t.Errorf("field %s: got %q, want %q", key, got, want)
		}
	}
}
