package inifile

// This file decodes sections into structs. The tags of a field define its key:
//
//	ini:"workers"        the name of the key; a field without it is skipped
//	default:"4"          the value if the file does not set the key
//	range:"1..64"        the minimum and the maximum, in the form of the value
//	oneof:"skip refuse"  the allowed values (of a list: for each item)
//	need:"yes"           the file must set the key
//	help:"..."           one line of description

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Bytes is a size in bytes. It is written with a unit: B, KiB, MiB or GiB.
type Bytes int64

func (b Bytes) String() string {
	for _, u := range units {
		if b >= u.size && b%u.size == 0 {
			return strconv.FormatInt(int64(b/u.size), 10) + u.name
		}
	}
	return "0B"
}

var units = []struct {
	name string
	size Bytes
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// Field describes one key of a struct for display.
type Field struct {
	Key, Value, Default, Range, Help string
	Kind                             string // the type in words: "span" (a duration), "size", "whole number", ...
}

// SetDefaults fills a struct with the defaults of its tags. It panics if a default is invalid.
func SetDefaults(into any) {
	if err := (&Section{}).Decode(into); err != nil && !strings.Contains(err.Error(), "must be given") {
		panic("inifile: invalid default: " + err.Error())
	}
}

// Decode fills a struct from the section. Keys that the section does not set get their defaults.
// The error is that of the first invalid line or, if all lines are valid, a missing key.
func (s *Section) Decode(into any) error {
	v := reflect.ValueOf(into).Elem()
	known := make(map[string]reflect.StructField)
	var names []string
	for i := range v.NumField() {
		f := v.Type().Field(i)
		key := f.Tag.Get("ini")
		if key == "" {
			continue
		}
		known[key] = f
		names = append(names, key)
		if text, ok := f.Tag.Lookup("default"); ok {
			if err := setField(v.Field(i), f, text); err != nil {
				return s.Errorf(key, "default %v", err)
			}
		}
	}
	for _, k := range s.Keys {
		f, ok := known[k.Name]
		if !ok {
			return s.Errorf(k.Name, "no such key here%s", suggestion(k.Name, names))
		}
		if err := setField(v.FieldByIndex(f.Index), f, k.Value); err != nil {
			return s.Errorf(k.Name, "%v", err)
		}
	}
	for _, key := range names {
		if known[key].Tag.Get("need") != "" && !s.Has(key) {
			return s.Errorf("", "%s must be given", key)
		}
	}
	return nil
}

// suggestion returns a hint with the known key that is most similar to name, or "" if none is.
func suggestion(name string, known []string) string {
	best, bestDistance := "", 3
	for _, k := range known {
		if d := distance(name, k); d < bestDistance {
			best, bestDistance = k, d
		}
	}
	if best == "" {
		return ""
	}
	return "; is " + best + " meant?"
}

// distance returns the Levenshtein distance of two strings, or 64 if one is longer than 64 bytes.
func distance(a, b string) int {
	if len(a) > 64 || len(b) > 64 {
		return 64
	}
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		corner := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			corner, row[j+1] = row[j+1], min(row[j]+1, row[j+1]+1, corner+cost)
		}
	}
	return row[len(b)]
}

// Fields returns the keys of a struct with their current values.
func Fields(of any) []Field {
	v := reflect.Indirect(reflect.ValueOf(of))
	var out []Field
	for i := range v.NumField() {
		f := v.Type().Field(i)
		if key := f.Tag.Get("ini"); key != "" {
			out = append(out, Field{Key: key, Value: formatValue(v.Field(i).Interface()), Default: f.Tag.Get("default"),
				Range: f.Tag.Get("range") + f.Tag.Get("oneof"), Help: f.Tag.Get("help"), Kind: typeName(v.Field(i).Interface())})
		}
	}
	return out
}

func formatValue(v any) string {
	if l, ok := v.([]string); ok {
		return strings.Join(l, ", ")
	}
	return fmt.Sprint(v)
}

func typeName(v any) string {
	switch v.(type) {
	case time.Duration:
		return "span"
	case Bytes:
		return "size"
	case int:
		return "whole number"
	case float64:
		return "number"
	case bool:
		return "yes or no"
	case []string:
		return "list"
	}
	return "text"
}

func setField(into reflect.Value, f reflect.StructField, text string) error {
	low, high, ranged := strings.Cut(f.Tag.Get("range"), "..")
	oneof := strings.Fields(f.Tag.Get("oneof"))
	checkRange := func(v, minimum, maximum float64) error {
		if ranged && (v < minimum || v > maximum) {
			return fmt.Errorf("%q is not within %s to %s", text, low, high)
		}
		return nil
	}
	switch into.Interface().(type) {
	case time.Duration:
		d, err := ParseDuration(text)
		if err != nil {
			return err
		}
		minimum, _ := time.ParseDuration(low)
		maximum, _ := time.ParseDuration(high)
		if err := checkRange(float64(d), float64(minimum), float64(maximum)); err != nil {
			return err
		}
		into.SetInt(int64(d))
	case Bytes:
		n, err := ParseSize(text)
		if err != nil {
			return err
		}
		minimum, _ := ParseSize(low)
		maximum, _ := ParseSize(high)
		if err := checkRange(float64(n), float64(minimum), float64(maximum)); err != nil {
			return err
		}
		into.SetInt(int64(n))
	case int:
		n, err := strconv.ParseInt(text, 10, 32)
		if err != nil {
			return fmt.Errorf("%q is not a whole number", text)
		}
		minimum, _ := strconv.ParseFloat(low, 64)
		maximum, _ := strconv.ParseFloat(high, 64)
		if err := checkRange(float64(n), minimum, maximum); err != nil {
			return err
		}
		into.SetInt(n)
	case float64:
		n, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
			return fmt.Errorf("%q is not a number", text)
		}
		minimum, _ := strconv.ParseFloat(low, 64)
		maximum, _ := strconv.ParseFloat(high, 64)
		if err := checkRange(n, minimum, maximum); err != nil {
			return err
		}
		into.SetFloat(n)
	case bool:
		switch text {
		case "yes", "true", "on":
			into.SetBool(true)
		case "no", "false", "off":
			into.SetBool(false)
		default:
			return fmt.Errorf("%q is neither yes nor no", text)
		}
	case string:
		if len(oneof) > 0 && !slices.Contains(oneof, text) {
			return fmt.Errorf("%q is none of: %s", text, strings.Join(oneof, ", "))
		}
		into.SetString(text)
	case []string:
		var list []string
		for item := range strings.SplitSeq(text, ",") {
			if item = strings.TrimSpace(item); item == "" {
				continue
			}
			if len(oneof) > 0 && !slices.Contains(oneof, item) {
				return fmt.Errorf("%q is none of: %s", item, strings.Join(oneof, ", "))
			}
			if slices.Contains(list, item) {
				return fmt.Errorf("%q is listed twice", item)
			}
			list = append(list, item)
		}
		into.Set(reflect.ValueOf(list))
	default:
		panic("inifile: field " + f.Name + " has an unsupported type")
	}
	return nil
}

// ParseDuration parses a duration, such as 250us, 3ms or 1m30s. A number without a unit is
// rejected, except 0, and so is a negative duration.
func ParseDuration(text string) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return 0, fmt.Errorf("%q is not a duration with a unit (us, ms, s, m, h)", text)
	}
	return d, nil
}

// ParseSize parses a size with its unit.
func ParseSize(text string) (Bytes, error) {
	for _, u := range units {
		if number, ok := strings.CutSuffix(text, u.name); ok {
			n, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
			if err != nil || n < 0 || n > math.MaxInt64/int64(u.size) {
				break
			}
			return Bytes(n) * u.size, nil
		}
	}
	return 0, fmt.Errorf("%q is not a size with a unit (B, KiB, MiB, GiB)", text)
}
