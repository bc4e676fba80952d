package goldentest

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// Update reports whether the tests rewrite their golden files. Golden files that an earlier version has written, for later versions to
// read, must not be rewritten.
func Update() bool { return *update }

// Case is a test value with functions that encode and decode it.
type Case struct {
	Name   string
	Value  any
	Encode func() ([]byte, error)
	Decode func(data []byte) (any, error)
	Equal  func(decoded, value any) bool // nil: reflect.DeepEqual
}

// JSONCase returns the Case of a value that is stored or sent as JSON.
func JSONCase[T any](name string, value T) Case {
	return Case{
		Name:   name,
		Value:  value,
		Encode: func() ([]byte, error) { return json.Marshal(value) },
		Decode: func(data []byte) (any, error) {
			var read T
			err := json.Unmarshal(data, &read)
			return read, err
		},
	}
}

// Lines returns the encoded forms in a golden file, keyed by name. It reports an error for each line whose name is not in names. With
// -update it first writes the file. A line consists of a name, a space and the encoded form.
func Lines(t *testing.T, file string, names []string, form func(name string) string) map[string]string {
	t.Helper()
	if *update {
		var text strings.Builder
		for _, name := range names {
			fmt.Fprintf(&text, "%s %s\n", name, form(name))
		}
		if err := os.WriteFile(file, []byte(text.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	lines := map[string]string{}
	for line := range strings.Lines(string(text)) {
		name, form, _ := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		lines[name] = form
	}
	for name := range lines {
		if !slices.Contains(names, name) {
			t.Errorf("%s: line %q has no test case", file, name)
		}
	}
	return lines
}

// hexPrefix marks an encoded form that is not JSON.
const hexPrefix = "hex:"

// CheckCases compares the encoded form of each case with the line of that name in file. It also checks that the line decodes to the value.
func CheckCases(t *testing.T, file string, cases []Case) {
	t.Helper()
	forms := map[string]string{}
	var names []string
	for _, c := range cases {
		data, err := c.Encode()
		if err != nil {
			t.Fatalf("%s: encode value: %v", c.Name, err)
		}
		forms[c.Name] = string(data)
		if !json.Valid(data) {
			forms[c.Name] = hexPrefix + hex.EncodeToString(data)
		}
		names = append(names, c.Name)
	}
	lines := Lines(t, file, names, func(name string) string { return forms[name] })
	for _, c := range cases {
		want := []byte(lines[c.Name])
		if digits, isHex := strings.CutPrefix(lines[c.Name], hexPrefix); isHex {
			var err error
			if want, err = hex.DecodeString(digits); err != nil {
				t.Fatalf("%s: %s: decode hexadecimal digits: %v", file, c.Name, err)
			}
		}
		if forms[c.Name] != lines[c.Name] {
			t.Errorf("%s: encoded form\n got %s\nwant %s", c.Name, forms[c.Name], lines[c.Name])
		}
		equal := c.Equal
		if equal == nil {
			equal = reflect.DeepEqual
		}
		if got, err := c.Decode(want); err != nil || !equal(got, c.Value) {
			t.Errorf("%s: decoded value, error %v\n got %+v\nwant %+v", c.Name, err, got, c.Value)
		}
	}
}

// CheckFile compares the encoded form of c with a golden file that holds only this form. It also checks that the file decodes to the value.
func CheckFile(t *testing.T, file string, c Case) {
	t.Helper()
	got, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if *update {
		if err := os.WriteFile(file, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("encoded form\n got %s\nwant %s", got, want)
	}
	if read, err := c.Decode(want); err != nil || !reflect.DeepEqual(read, c.Value) {
		t.Errorf("decoded value, error %v\n got %+v\nwant %+v", err, read, c.Value)
	}
}

// CheckFields reports an error for each exported field of a struct in the cases that no case sets, since the encoding of the field is then
// not checked. It also reports an error for each such field without a json tag, since its encoding changes when the field is renamed. It
// checks structs of packages whose path accepts returns true for.
func CheckFields(t *testing.T, cases []Case, accepts func(pkgPath string) bool) {
	t.Helper()
	fields := fieldForms{accepts: accepts, set: map[string]bool{}, untagged: map[string]bool{}}
	for _, c := range cases {
		fields.walk(reflect.ValueOf(c.Value))
	}
	for _, name := range slices.Sorted(maps.Keys(fields.set)) {
		if !fields.set[name] {
			t.Errorf("%s is not set in any test case", name)
		}
		if fields.untagged[name] {
			t.Errorf("%s has no json tag: its encoding would change when the field is renamed", name)
		}
	}
}

// fieldForms records which exported fields are set in any test case and which have no json tag, keyed by type and field name.
type fieldForms struct {
	accepts       func(pkgPath string) bool
	set, untagged map[string]bool
}

func (f *fieldForms) walk(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if !v.IsNil() {
			f.walk(v.Elem())
		}
	case reflect.Slice:
		for i := range v.Len() {
			f.walk(v.Index(i))
		}
	case reflect.Map:
		for _, key := range v.MapKeys() {
			f.walk(v.MapIndex(key))
		}
	case reflect.Struct:
		f.walkStruct(v)
	}
}

func (f *fieldForms) walkStruct(v reflect.Value) {
	if !f.accepts(v.Type().PkgPath()) {
		return
	}
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if !field.IsExported() {
			continue
		}
		name := v.Type().String() + "." + field.Name
		f.set[name] = f.set[name] || !v.Field(i).IsZero()
		if field.Tag.Get("json") == "" {
			f.untagged[name] = true
		}
		f.walk(v.Field(i))
	}
}
