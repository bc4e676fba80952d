package simwire

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

// form is a value together with how it is written and read. Each is one line of a golden file.
type form struct {
	name  string
	write string
	read  func(text string) (any, error) // nil: it is only written
	value any                            // that read is to return
	full  bool                           // no field of value may be left at zero, so that each has been pinned
}

// checkForms holds each form against its line in a golden file, both ways. The file is what the other end, or the next version, reads: it
// changes with the protocol alone, never with a name in the code.
func checkForms(t *testing.T, file string, forms []form) {
	t.Helper()
	path := filepath.Join("testdata", file)
	if *update {
		var all strings.Builder
		for _, f := range forms {
			fmt.Fprintf(&all, "%s\t%s\n", f.name, f.write)
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
		if name != f.name {
			t.Errorf("%s: line %d is of %q, want %q", path, i+1, name, f.name)
		}
		if f.write != want {
			t.Errorf("%s is written\n%s\nwant\n%s", f.name, f.write, want)
		}
		if f.read == nil {
			continue
		}
		if got, err := f.read(want); err != nil || !reflect.DeepEqual(got, f.value) {
			t.Errorf("%s is read as\n%+v, %v\nwant\n%+v", f.name, got, err, f.value)
		}
		if field := unset(reflect.ValueOf(f.value), f.name); f.full && field != "" {
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
