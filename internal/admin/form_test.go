package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"log/slog"
	"os"
	"reflect"
	"testing"

	"sorrelrudder/internal/metrics"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// fixedVars is a process with these metrics.
type fixedVars Vars

func (f fixedVars) Ready() error { return errors.New("unused") }
func (f fixedVars) Vars() Vars   { return Vars(f) }

// TestVarsForm guards against a change of the response to GET /_vars.
func TestVarsForm(t *testing.T) {
	value := Vars{
		Results: map[string]metrics.ClassCounts{
			"check": {Succeeded: 101, Rejected: 102, Failed: 103}, "order": {Succeeded: 104, Rejected: 105, Failed: 106},
		},
		Forwards: 107, Outstanding: 108, Discovered: 109, Ejected: 110,
	}
	for field, v := range reflect.ValueOf(value).Fields() {
		if v.IsZero() {
			t.Errorf("field %s is not set in the example", field.Name)
		}
	}
	server, err := Listen("127.0.0.1:0", fixedVars(value), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close(context.Background())
	_, body := call(t, server.Addr().String(), "GET", "/_vars")
	const path = "testdata/vars.json"
	if *update {
		if err := os.WriteFile(path, []byte(body), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	golden, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal([]byte(body), golden) {
		t.Errorf("/_vars written as\n%swant\n%s", body, golden)
	}
	var got Vars
	if err := json.Unmarshal(golden, &got); err != nil || !reflect.DeepEqual(got, value) {
		t.Errorf("decode /_vars: error %v\n got %+v\nwant %+v", err, got, value)
	}
}
