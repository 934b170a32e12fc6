// Package settings decodes a deployment's settings. It owns the names and units of the
// settings in both of their forms: the path=value pairs of the simulator's protocol and the nested
// JSON of a proxy's configuration. It must never substitute a value for a missing setting, or
// depend on where a text came from.
package settings

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"

	"saddleport/choice"
)

// Settings are the settings of the decisions and those that only the network side needs.
type Settings struct {
	Router         choice.Settings
	MaxInFlight    int           // limit of queries and parts in flight together; 0: none given
	StreamsPerConn int           // limit of parts in flight on one leaf connection; 0: none given
	DialTimeout    choice.Micros // a connection that is not established by then has failed
	PullReports    bool          // load reports arrive only in probe responses
	Pushed         bool          // the list is pushed to an agent, and the decisions do not request it
}

// FieldError is an invalid setting; Path names it.
type FieldError struct{ Path, Problem string }

func (e *FieldError) Error() string { return "field " + e.Path + ": " + e.Problem }

// ParseNumber parses a finite number.
func ParseNumber(s string) (float64, error) {
	f, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		return 0, fmt.Errorf("%q is not a number", s)
	}
	return f, nil
}

// ParsePairs parses path=value arguments. The last value of a repeated path counts.
func ParsePairs(args []string) (map[string]string, error) {
	values := make(map[string]string, len(args))
	for _, pair := range args {
		path, value, ok := strings.Cut(pair, "=")
		if !ok {
			return nil, &FieldError{"profile-data", fmt.Sprintf("%q is not path=value", pair)}
		}
		values[path] = value
	}
	return values, nil
}

// Flatten converts nested JSON into the paths of the simulator's protocol. A list of scalars
// becomes one value joined by commas; a list of objects becomes PATH.count and the paths of its
// numbered items.
func Flatten(doc gjson.Result) map[string]string {
	values := make(map[string]string)
	flatten(values, "", doc)
	return values
}

func flatten(values map[string]string, path string, v gjson.Result) {
	switch {
	case v.IsObject():
		v.ForEach(func(key, item gjson.Result) bool {
			at := key.String()
			if path != "" {
				at = path + "." + at
			}
			flatten(values, at, item)
			return true
		})
	case v.IsArray():
		items := v.Array()
		if len(items) > 0 && items[0].IsObject() {
			values[path+".count"] = strconv.Itoa(len(items))
			for i, item := range items {
				flatten(values, path+"."+strconv.Itoa(i), item)
			}
			return
		}
		texts := make([]string, len(items))
		for i, item := range items {
			texts[i] = item.String()
		}
		values[path] = strings.Join(texts, ",")
	case v.Type == gjson.Number:
		values[path] = v.Raw
	case v.Type != gjson.Null:
		values[path] = v.String()
	}
}

// decoder reads settings by path and keeps the first error.
type decoder struct {
	values map[string]string
	err    error
}

func (d *decoder) fail(path, problem string) {
	if d.err == nil {
		d.err = &FieldError{path, problem}
	}
}

// number returns a setting, or 0 if it is missing.
func (d *decoder) number(path string) float64 {
	s, present := d.values[path]
	if !present {
		return 0
	}
	f, err := ParseNumber(s)
	if err != nil {
		d.fail(path, err.Error())
	}
	return f
}

func (d *decoder) integer(path string) int64 {
	s, present := d.values[path]
	if !present {
		return 0
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil { // some JSON encoders write 5000 as 5000.0
		var f float64
		if f, err = ParseNumber(s); err != nil || f != math.Trunc(f) || math.Abs(f) > 1<<53 {
			d.fail(path, fmt.Sprintf("%q is not a whole number", s))
			return 0
		}
		n = int64(f)
	}
	return n
}

func (d *decoder) bool(path string) bool {
	s, present := d.values[path]
	if present && s != "true" && s != "false" {
		d.fail(path, fmt.Sprintf("%q is neither true nor false", s))
	}
	return s == "true"
}

// perClass returns a list of one number for each class, or nil if the setting is missing.
func (d *decoder) perClass(path string, classes int) []float64 {
	s, present := d.values[path]
	if !present {
		return nil
	}
	var out []float64
	for item := range strings.SplitSeq(s, ",") {
		f, err := ParseNumber(item)
		if err != nil {
			d.fail(path, err.Error())
			return nil
		}
		out = append(out, f)
	}
	if len(out) != classes {
		d.fail(path, fmt.Sprintf("%d values for %d classes", len(out), classes))
		return nil
	}
	return out
}

func valueAt(list []float64, i int) float64 {
	if i < len(list) {
		return list[i]
	}
	return 0
}

var effects = map[string]choice.Effect{"free": choice.Safe, "guarded": choice.Keyed, "single_shot": choice.Unsafe}

func (d *decoder) count(path string) int {
	n := d.integer(path)
	if n < 0 || n > 1<<16 {
		d.fail(path, fmt.Sprintf("%d is not a count", n))
		return 0
	}
	return int(n)
}

func (d *decoder) classes() []choice.Class {
	n := d.count("request-classes.count")
	need, floor := d.perClass("family-info.need-by-class", n), d.perClass("family-info.class-floor", n)
	partial, fetch := d.perClass("family-info.partial-earns", n), d.perClass("family-info.class-fetch", n)
	classes := make([]choice.Class, 0, n)
	for i := range n {
		prefix := fmt.Sprintf("request-classes.%d.", i)
		effect, ok := effects[d.values[prefix+"effect"]]
		if !ok {
			d.fail(prefix+"effect", fmt.Sprintf("unknown effect %q", d.values[prefix+"effect"]))
		}
		classes = append(classes, choice.Class{
			Name:                 d.values[prefix+"name"],
			LatencyTarget:        d.integer(prefix + "aim"),
			LatencyTargetStretch: d.number(prefix + "aim-stretch"),
			Deadline:             d.integer(prefix + "deadline"),
			DedupWindow:          d.integer(prefix + "memory-span"),
			Effect:               effect,
			LateValue:            d.number(prefix + "late-worth"),
			Value:                d.number(prefix + "value"),
			RequiredShare:        valueAt(need, i),
			MinShare:             valueAt(floor, i),
			PartialValue:         valueAt(partial, i),
			FetchParts:           int(valueAt(fetch, i)),
		})
	}
	return classes
}

func (d *decoder) tenants() []choice.Tenant {
	tenants := make([]choice.Tenant, 0)
	for i := range d.count("tenants.count") {
		prefix := fmt.Sprintf("tenants.%d.", i)
		tenants = append(tenants, choice.Tenant{Name: d.values[prefix+"name"], QuotaPerS: d.number(prefix + "quota-per-s")})
	}
	return tenants
}

// Decode decodes settings by path. Unknown settings are ignored. The error is that of the first
// invalid setting.
func Decode(values map[string]string) (s Settings, err error) {
	d := &decoder{values: values}
	_, hasRetryBudget := d.values["rules.extra-window"]
	s.Router = choice.Settings{
		Classes:           d.classes(),
		Tenants:           d.tenants(),
		Routers:           int(d.integer("balancers")),
		Resolution:        d.integer("resolution"),
		Shards:            d.count("family-info.slices"),
		Cells:             d.count("family-info.places"),
		Width:             d.count("family-info.width"),
		MaxPartsPerCall:   d.count("family-info.bundle-max"),
		PerCallWork:       d.integer("family-info.per-call-work"),
		AskDiscovery:      d.values["discovery"] == "ask",
		Cancel:            d.bool("limits.cancel"),
		ParallelAttempts:  d.bool("limits.parallel-tries"),
		Probes:            d.bool("limits.probes"),
		RetryAdvice:       d.bool("limits.retry-after"),
		MaxRetryAfter:     d.integer("limits.max-retry-after"),
		AttemptCap:        d.count("limits.send-cap"),
		Keepalive:         d.integer("limits.keepalive"),
		AnswerSlack:       d.integer("rules.answer-slack"),
		AskWithin:         d.integer("rules.ask-within"),
		DrainGrace:        d.integer("rules.drain-grace"),
		StartCapacity:     d.number("rules.start-capacity"),
		SlowStart:         d.integer("rules.cold"),
		OverloadMultiple:  d.number("rules.fall-multiple"),
		OverloadWindow:    d.integer("rules.fall"),
		RetryBudget:       hasRetryBudget,
		RetryBudgetMin:    d.number("rules.spare-attempts"),
		RetryBudgetRatio:  d.number("rules.extra-ratio"),
		RetryBudgetWindow: d.integer("rules.extra-window"),
	}
	s.MaxInFlight = d.count("limits.most-held")
	s.StreamsPerConn = d.count("limits.streams-per-conn")
	s.DialTimeout = d.integer("limits.dial-timeout")
	s.Pushed = d.values["discovery"] == "push"
	s.PullReports = d.values["report.source"] == "pull"
	return s, d.err
}
