package wire

import (
	"fmt"
	"strconv"
	"strings"

	"saddleport/choice"
)

// pairs are the settings of a NEW_INSTANCE, with the first complaint.
type pairs struct {
	values map[string]string
	err    error
}

func (p *pairs) fail(path, problem string) {
	if p.err == nil {
		p.err = fieldError("NEW_INSTANCE", path, problem)
	}
}

// number reads a setting; one that was not told is 0.
func (p *pairs) number(path string) float64 {
	s, told := p.values[path]
	if !told {
		return 0
	}
	f, err := parseNumber(s)
	if err != nil {
		p.fail(path, err.Error())
	}
	return f
}

func (p *pairs) integer(path string) int64 {
	s, told := p.values[path]
	if !told {
		return 0
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		p.fail(path, fmt.Sprintf("%q is not a whole number", s))
	}
	return n
}

func (p *pairs) bool(path string) bool {
	s, told := p.values[path]
	if told && s != "true" && s != "false" {
		p.fail(path, fmt.Sprintf("%q is neither true nor false", s))
	}
	return s == "true"
}

// list reads a number per class; nil when it was not told.
func (p *pairs) list(path string, classes int) []float64 {
	s, told := p.values[path]
	if !told {
		return nil
	}
	var out []float64
	for item := range strings.SplitSeq(s, ",") {
		f, err := parseNumber(item)
		if err != nil {
			p.fail(path, err.Error())
			return nil
		}
		out = append(out, f)
	}
	if len(out) != classes {
		p.fail(path, fmt.Sprintf("%d values for %d classes", len(out), classes))
		return nil
	}
	return out
}

func at(list []float64, i int) float64 {
	if i < len(list) {
		return list[i]
	}
	return 0
}

var effects = map[string]choice.Effect{"free": choice.Safe, "guarded": choice.Keyed, "single_shot": choice.Unsafe}

func (p *pairs) count(path string) int {
	n := p.integer(path)
	if n < 0 || n > 1<<16 {
		p.fail(path, fmt.Sprintf("%d is not a count", n))
		return 0
	}
	return int(n)
}

func (p *pairs) classes() []choice.Class {
	n := p.count("request-classes.count")
	need, floor := p.list("family-info.need-by-class", n), p.list("family-info.class-floor", n)
	partial, fetch := p.list("family-info.partial-earns", n), p.list("family-info.class-fetch", n)
	classes := make([]choice.Class, 0, n)
	for i := range n {
		at1 := fmt.Sprintf("request-classes.%d.", i)
		effect, ok := effects[p.values[at1+"effect"]]
		if !ok {
			p.fail(at1+"effect", fmt.Sprintf("unknown effect %q", p.values[at1+"effect"]))
		}
		classes = append(classes, choice.Class{
			Name:       p.values[at1+"name"],
			Aim:        p.integer(at1 + "aim"),
			AimStretch: p.number(at1 + "aim-stretch"),
			Deadline:   p.integer(at1 + "deadline"),
			MemorySpan: p.integer(at1 + "memory-span"),
			Effect:     effect,
			LateWorth:  p.number(at1 + "late-worth"),
			Value:      p.number(at1 + "value"),
			Need:       at(need, i),
			Floor:      at(floor, i),
			Partial:    at(partial, i),
			Fetch:      int(at(fetch, i)),
		})
	}
	return classes
}

func (p *pairs) tenants() []choice.Tenant {
	tenants := make([]choice.Tenant, 0)
	for i := range p.count("tenants.count") {
		at1 := fmt.Sprintf("tenants.%d.", i)
		tenants = append(tenants, choice.Tenant{Name: p.values[at1+"name"], QuotaPerS: p.number(at1 + "quota-per-s")})
	}
	return tenants
}

// decodeStart reads a NEW_INSTANCE. Settings it does not know are skipped.
func decodeStart(line string) (seed uint64, s choice.Settings, err error) {
	fields := strings.Split(line, " ")
	if len(fields) < 2 {
		return 0, s, fieldError("NEW_INSTANCE", "init-seed", "missing")
	}
	seed, err = strconv.ParseUint(fields[1], 10, 64)
	if err != nil {
		return 0, s, fieldError("NEW_INSTANCE", "init-seed", fmt.Sprintf("%q is not a whole number", fields[1]))
	}
	p := &pairs{values: make(map[string]string, len(fields))}
	for _, pair := range fields[2:] {
		path, value, ok := strings.Cut(pair, "=")
		if !ok {
			return 0, s, fieldError("NEW_INSTANCE", "profile-data", fmt.Sprintf("%q is not path=value", pair))
		}
		p.values[path] = value
	}
	_, budget := p.values["rules.extra-window"]
	s = choice.Settings{
		Classes:       p.classes(),
		Tenants:       p.tenants(),
		Routers:       int(p.integer("balancers")),
		Resolution:    p.integer("resolution"),
		Shards:        p.count("family-info.slices"),
		Cells:         p.count("family-info.places"),
		Width:         p.count("family-info.width"),
		BundleMax:     p.count("family-info.bundle-max"),
		PerCallWork:   p.integer("family-info.per-call-work"),
		AskDiscovery:  p.values["discovery"] == "ask",
		Cancel:        p.bool("limits.cancel"),
		ParallelTries: p.bool("limits.parallel-tries"),
		Probes:        p.bool("limits.probes"),
		RetryAdvice:   p.bool("limits.retry-after"),
		MaxRetryAfter: p.integer("limits.max-retry-after"),
		AttemptCap:    p.count("limits.send-cap"),
		Keepalive:     p.integer("limits.keepalive"),
		AnswerSlack:   p.integer("rules.answer-slack"),
		AskWithin:     p.integer("rules.ask-within"),
		DrainGrace:    p.integer("rules.drain-grace"),
		StartCapacity: p.number("rules.start-capacity"),
		Cold:          p.integer("rules.cold"),
		FallMultiple:  p.number("rules.fall-multiple"),
		Fall:          p.integer("rules.fall"),
		ExtraBudget:   budget,
		ExtraSpare:    p.number("rules.spare-attempts"),
		ExtraRatio:    p.number("rules.extra-ratio"),
		ExtraWindow:   p.integer("rules.extra-window"),
	}
	return seed, s, p.err
}
