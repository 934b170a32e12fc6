package app

// This file declares the sections of the operator file and applies them. A subsystem adds its
// section by a line in Operator, one in sections and one in apply.

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

// Operator holds the settings of the operator file, one field for each section.
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
		{Name: "consul", Help: "Consul's catalogue and health as a source", Into: &o.Consul, Check: func() error { return keyError(o.Consul.Check()) }},
		{Name: "dns", Help: "DNS SRV records as a source", Into: &o.DNS, Check: func() error { return keyError(o.DNS.Check()) }},
		{Name: "levels", Help: "reduced service, by named levels", Into: &o.Levels, Check: o.checkLevels},
		{Name: "level", Help: "a level of reduced service", ForLabel: func(label string) (any, func() error) {
			l := &exchange.LevelSettings{Name: label}
			o.Level = append(o.Level, l)
			return l, func() error { return keyError(l.Check(nil)) }
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

// LoadOperator reads the operator file; with an empty path it returns the defaults. Relative
// paths in the file are resolved against the file's directory.
func LoadOperator(path string) (*Operator, error) {
	o := &Operator{}
	f, err := operator.Load(path, o.sections())
	if err != nil {
		return nil, err
	}
	o.File = f
	resolvePaths(path, &o.Hooks.Dir, &o.Control.Socket, &o.Consul.TokenFile, &o.Consul.CAFile)
	return o, nil
}

// Engines returns the hook engines by the names that manifests use.
func Engines() map[string]hook.Engine {
	return map[string]hook.Engine{"starlark": starlark.Engine{}, "wasm": &wasm.Engine{}, "wasm-fresh": &wasm.Engine{Fresh: true}}
}

// Loader returns a loader of hook sets with the limits of these settings. If classes is empty,
// hooks may name any class.
func (o *Operator) Loader(classes []choice.Class) *hook.Loader {
	return &hook.Loader{Engines: Engines(), Classes: classes, Workers: o.Hooks.Workers, Memory: o.Hooks.Memory}
}

// apply applies the settings of the operator file that may change at run time. Without a file it
// changes nothing. Hook sets are not loaded here: reload does that in the background.
func (p *proxy) apply(op *Operator) {
	p.mu.Lock()
	p.operator = op
	p.mu.Unlock()
	if op.File.Path == "" {
		return
	}
	logs.Apply(op.Log)
	p.hooks.Apply(op.Hooks)
	p.setMaxProcs()
}

// setMaxProcs adds a processor for each hook worker to GOMAXPROCS. With a single processor, a
// hook in an endless loop would block all other goroutines until the scheduler preempts it
// after 10 ms.
func (p *proxy) setMaxProcs() {
	n := max(1, int(math.Ceil(p.cfg.cores)))
	if p.operator.Hooks.Dir != "" {
		n += p.operator.Hooks.Workers
	}
	runtime.GOMAXPROCS(n)
}

// command runs a command of the control socket and returns its result.
func (p *proxy) command(args []string) (any, error) {
	switch line := strings.Join(args, " "); {
	case line == "hooks list":
		return p.hooks.Report(), nil
	case line == "hooks reload":
		if err := p.hooks.Reload(p.hooksDir()); err != nil {
			return nil, err
		}
		return p.hooks.Report(), nil
	case len(args) == 3 && args[0] == "hooks" && (args[1] == "enable" || args[1] == "disable"):
		if err := p.hooks.Enable(args[2], args[1] == "enable"); err != nil {
			return nil, err
		}
		return p.hooks.Report(), nil
	case len(args) >= 2 && args[0] == "segments" && p.feed == nil:
		return nil, errors.New("this proxy has no placement feed: the setting feed in section [segments] is empty")
	case line == "segments show":
		return p.feed.Report(1000), nil
	case len(args) == 3 && args[0] == "segments" && args[1] == "explain":
		key, err := url.QueryUnescape(args[2])
		if err != nil {
			return nil, err
		}
		return p.feed.Explain(key)
	case len(args) >= 2 && len(args) <= 3 && args[0] == "members" && args[1] == "show":
		return p.membersCommand(args)
	case len(args) >= 2 && args[0] == "level":
		return p.levelCommand(args[1:])
	case line == "counters":
		return p.exchange.Counters.String(), nil
	}
	return nil, fmt.Errorf("unknown command %.100q", strings.Join(args, " "))
}
