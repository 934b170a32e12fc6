package app

// This file names the sections of the operator file, and does what it says. A
// subsystem adds its own by a line in Operator, one in sections and one in apply.

import (
	"errors"
	"fmt"
	"math"
	"net"
	"net/url"
	"runtime"
	"strings"

	"saddleport/choice"
	"saddleport/internal/control"
	"saddleport/internal/exchange"
	"saddleport/internal/hook"
	"saddleport/internal/hook/starlark"
	"saddleport/internal/hook/wasm"
	"saddleport/internal/logs"
	"saddleport/internal/operator"
	"saddleport/internal/source/consul"
	"saddleport/internal/source/dnssrv"
	"saddleport/internal/source/members"
	"saddleport/internal/source/segments"
)

// Operator is what the operator file says.
type Operator struct {
	File     *operator.File
	Log      logs.Settings
	Hooks    hook.Settings
	Control  control.Settings
	Segments segments.Settings
	Members  members.Settings
	Consul   consul.Settings
	DNS      dnssrv.Settings
	Levels   exchange.LevelsSettings
	Level    []*exchange.LevelSettings
}

func (o *Operator) sections() []operator.Section {
	return []operator.Section{
		{Name: "log", Help: "what is logged", Into: &o.Log},
		{Name: "control", Help: "where operators speak to the mixer", Into: &o.Control},
		{Name: "hooks", Help: "hooks of one's own", Into: &o.Hooks, Check: o.Hooks.Check},
		{Name: "segments", Help: "segments that split, merge and move", Into: &o.Segments, Check: o.checkSegments},
		{Name: "members", Help: "where leaf servers come from", Into: &o.Members, Check: o.checkMembers},
		{Name: "consul", Help: "Consul's catalogue and health as a source", Into: &o.Consul, Check: func() error { return keyed(o.Consul.Check()) }},
		{Name: "dns", Help: "DNS SRV records as a source", Into: &o.DNS, Check: func() error { return keyed(o.DNS.Check()) }},
		{Name: "levels", Help: "reduced service, by named levels", Into: &o.Levels, Check: o.checkLevels},
		{Name: "level", Help: "a level of reduced service", ForLabel: func(label string) (any, func() error) {
			l := &exchange.LevelSettings{Name: label}
			o.Level = append(o.Level, l)
			return l, func() error { return keyed(l.Check(nil)) }
		}},
	}
}

func (o *Operator) checkSegments() error {
	if o.Segments.Feed != "" {
		if _, _, err := net.SplitHostPort(o.Segments.Feed); err != nil {
			return &operator.KeyError{Key: "feed", Problem: fmt.Sprintf("%q is not an address", o.Segments.Feed)}
		}
	}
	return nil
}

// LoadOperator reads the operator file; an empty path means that there is none.
// Paths in it that are not absolute count from its folder.
func LoadOperator(path string) (*Operator, error) {
	o := &Operator{}
	f, err := operator.Load(path, o.sections())
	if err != nil {
		return nil, err
	}
	o.File = f
	rooted(path, &o.Hooks.Dir, &o.Control.Socket, &o.Consul.TokenFile, &o.Consul.CAFile)
	return o, nil
}

// Engines are the hooks' engines by the manifest's words.
func Engines() map[string]hook.Engine {
	return map[string]hook.Engine{"starlark": starlark.Engine{}, "wasm": &wasm.Engine{}, "wasm-fresh": &wasm.Engine{Fresh: true}}
}

// Loader loads sets as a mixer with these settings would; without classes, any
// class may be named.
func (o *Operator) Loader(classes []choice.Class) *hook.Loader {
	return &hook.Loader{Engines: Engines(), Classes: classes, Workers: o.Hooks.Workers, Memory: o.Hooks.Memory}
}

// apply turns to what the operator file says now. Without a file nothing is
// touched. A set is loaded while the mixer serves on.
func (m *mixer) apply(op *Operator) {
	m.mu.Lock()
	m.op = op
	m.mu.Unlock()
	if op.File.Path == "" {
		return
	}
	logs.Apply(op.Log)
	m.host.Apply(op.Hooks)
	m.procs()
}

// procs gives hooks processors of their own: with one, a hook that loops would
// hold up all until the scheduler takes it away, 10 ms later.
func (m *mixer) procs() {
	n := max(1, int(math.Ceil(m.cfg.cores)))
	if m.op.Hooks.Dir != "" {
		n += m.op.Hooks.Workers
	}
	runtime.GOMAXPROCS(n)
}

// command does what an operator asks on the control socket.
func (m *mixer) command(words []string) (any, error) {
	switch line := strings.Join(words, " "); {
	case line == "hooks list":
		return m.host.Report(), nil
	case line == "hooks reload":
		if err := m.host.Reload(m.dir()); err != nil {
			return nil, err
		}
		return m.host.Report(), nil
	case len(words) == 3 && words[0] == "hooks" && (words[1] == "enable" || words[1] == "disable"):
		if err := m.host.Enable(words[2], words[1] == "enable"); err != nil {
			return nil, err
		}
		return m.host.Report(), nil
	case len(words) >= 2 && words[0] == "segments" && m.feed == nil:
		return nil, errors.New("this mixer has no placement feed: [segments] feed names none")
	case line == "segments show":
		return m.feed.Report(1000), nil
	case len(words) == 3 && words[0] == "segments" && words[1] == "explain":
		key, err := url.QueryUnescape(words[2])
		if err != nil {
			return nil, err
		}
		return m.feed.Explain(key)
	case len(words) >= 2 && len(words) <= 3 && words[0] == "members" && words[1] == "show":
		return m.membersCommand(words)
	case len(words) >= 2 && words[0] == "level":
		return m.levelCommand(words[1:])
	case line == "counters":
		return m.x.Counters.String(), nil
	}
	return nil, fmt.Errorf("%.100q: there is no such word", strings.Join(words, " "))
}
