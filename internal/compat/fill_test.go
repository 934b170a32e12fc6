package compat

import (
	"encoding/json"
	"hash/fnv"
	"reflect"
	"strings"
	"testing"

	"saddleport/internal/cluster/outlier"
)

// fill sets every field of a value to a value derived from the field's JSON name, so that the result doesn't
// depend on the names or the order of the Go fields.
func fill(t *testing.T, v reflect.Value, name string) {
	t.Helper()
	if v.CanAddr() && fillSpecial(t, v) {
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(t, v.Elem(), name)
	case reflect.Struct:
		for i := range v.NumField() {
			field := v.Type().Field(i)
			tag, _, _ := strings.Cut(field.Tag.Get("json"), ",")
			if field.IsExported() && tag != "-" {
				fill(t, v.Field(i), tag)
			}
		}
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			v.SetBytes([]byte("bytes of " + name))
			return
		}
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fallthrough
	case reflect.Array:
		for i := range v.Len() {
			fill(t, v.Index(i), name)
		}
	case reflect.String:
		v.SetString("text of " + name)
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(float64(number(name)) / 4)
	case reflect.Int, reflect.Int64:
		v.SetInt(number(name))
	case reflect.Uint8:
		v.SetUint(2)
	case reflect.Uint64:
		v.SetUint(uint64(number(name)))
	default:
		t.Fatalf("%s: fill does not support the type %s", name, v.Type())
	}
}

// fillSpecial sets a value whose type encodes its own JSON, and reports whether v is one.
func fillSpecial(t *testing.T, v reflect.Value) bool {
	t.Helper()
	var text string
	switch v.Addr().Interface().(type) {
	case *json.RawMessage:
		text = `{"raw":1}`
	case *outlier.Sketch:
		text = `[16,3,40,1]`
	default:
		return false
	}
	if err := json.Unmarshal([]byte(text), v.Addr().Interface()); err != nil {
		t.Fatal(err)
	}
	return true
}

// number returns a number from 1 to 1000 that depends on a name alone.
func number(name string) int64 {
	hash := fnv.New32a()
	hash.Write([]byte(name))
	return int64(hash.Sum32()%1000 + 1)
}
