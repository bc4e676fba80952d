package emulator

import (
	"reflect"
	"testing"
)

// TestCountsAdd guards against a field of Counts that Add does not add.
func TestCountsAdd(t *testing.T) {
	var one, sum Counts
	fields := reflect.ValueOf(&one).Elem()
	for i := range fields.NumField() {
		switch field := fields.Field(i); field.Kind() {
		case reflect.Int:
			field.SetInt(int64(i + 1))
		case reflect.Float64:
			field.SetFloat(float64(i + 1))
		default:
			t.Fatalf("field %s is neither int nor float64", fields.Type().Field(i).Name)
		}
	}
	sum.Add(one)
	if sum != one {
		t.Errorf("sum of zero counts and one: got %+v, want %+v", sum, one)
	}
	sum.Add(one)
	if sum.Requests != 2*one.Requests || sum.WatchRequestsRejected != 2*one.WatchRequestsRejected {
		t.Errorf("sum of one twice: got %+v, want twice %+v", sum, one)
	}
}
