// Package goldentest is used by tests alone and holds the serialized forms of values against golden files: what another process or the next
// version reads must not change with a name in the code.
package goldentest

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files anew")

// Form is a value with its serialized form: one line of a golden file.
type Form struct {
	Name    string
	Written string
	Read    func(text string) (any, error) // nil: the form is only written
	Value   any                            // that Read is to return
	Full    bool                           // no field of Value may be left at zero, so that each has been pinned
}

// CheckForms holds each form against its line in a golden file, both ways. The file is what the other end, or the next version, reads: it
// changes with the protocol alone, never with a name in the code.
func CheckForms(t *testing.T, file string, forms []Form) {
	t.Helper()
	path := filepath.Join("testdata", file)
	if *update {
		var all strings.Builder
		for _, f := range forms {
			fmt.Fprintf(&all, "%s\t%s\n", f.Name, f.Written)
		}
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(all.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	if len(lines) != len(forms) {
		t.Fatalf("%s has %d lines, and there are %d forms", path, len(lines), len(forms))
	}
	for i, f := range forms {
		name, want, _ := strings.Cut(lines[i], "\t")
		if name != f.Name {
			t.Errorf("%s: line %d is of %q, want %q", path, i+1, name, f.Name)
		}
		if f.Written != want {
			t.Errorf("%s is written\n%s\nwant\n%s", f.Name, f.Written, want)
		}
		if f.Read == nil {
			continue
		}
		if got, err := f.Read(want); err != nil || !reflect.DeepEqual(got, f.Value) {
			t.Errorf("%s is read as\n%+v, %v\nwant\n%+v", f.Name, got, err, f.Value)
		}
		if field := unset(reflect.ValueOf(f.Value), f.Name); f.Full && field != "" {
			t.Errorf("%s is left at zero: nothing pins it", field)
		}
	}
}

// unset is the path of a field that is zero, in v or in the first element of a list in it; empty: there is none.
func unset(v reflect.Value, path string) string {
	if !v.IsValid() || v.IsZero() {
		return path
	}
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		return unset(v.Elem(), path)
	case reflect.Slice:
		if v.Len() == 0 {
			return path
		}
		if v.Type().Elem().Kind() == reflect.Uint8 {
			return ""
		}
		return unset(v.Index(0), path+"[0]")
	case reflect.Struct:
		for i := range v.NumField() {
			if field := unset(v.Field(i), path+"."+v.Type().Field(i).Name); field != "" {
				return field
			}
		}
	}
	return ""
}
