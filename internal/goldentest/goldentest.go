// Package goldentest compares the serialized forms of values with golden files. Tests use it to guard against a change of data that another
// process or the next version reads, such as one caused by renaming an identifier.
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

var update = flag.Bool("update", false, "rewrite the golden files")

// Form is a value and its serialized form, which is one line of a golden file.
type Form struct {
	Name    string
	Written string
	Read    func(text string) (any, error) // nil: the form is not parsed
	Value   any                            // expected result of Read
	Full    bool                           // each field of Value must be non-zero, so that its encoding is checked
}

// CheckForms compares each form with its line in testdata/file, and checks that Read parses the line as Value. The file holds data that a
// peer or the next version reads. It changes only with the protocol, never because an identifier in the code is renamed.
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
		t.Fatalf("%s has %d lines, want %d, one for each form", path, len(lines), len(forms))
	}
	for i, f := range forms {
		name, want, _ := strings.Cut(lines[i], "\t")
		if name != f.Name {
			t.Errorf("%s: line %d has the name %q, want %q", path, i+1, name, f.Name)
		}
		if f.Written != want {
			t.Errorf("%s is encoded as\n%s\nwant\n%s", f.Name, f.Written, want)
		}
		if f.Read == nil {
			continue
		}
		if got, err := f.Read(want); err != nil || !reflect.DeepEqual(got, f.Value) {
			t.Errorf("%s is parsed as\n%+v, error %v\nwant\n%+v", f.Name, got, err, f.Value)
		}
		if field := unset(reflect.ValueOf(f.Value), f.Name); f.Full && field != "" {
			t.Errorf("%s is zero: its encoding is not checked", field)
		}
	}
}

// unset returns the path of a field that is zero in v or in the first element of a slice in v. It returns "" if there is none.
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
