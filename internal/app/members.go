package app

// This file starts, replaces and stops the sources of leaf servers that the operator file
// configures, and implements the members commands.

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"saddleport/choice"
	"saddleport/internal/control"
	"saddleport/internal/core/membership"
	"saddleport/internal/operator"
	"saddleport/internal/source/consul"
	"saddleport/internal/source/dnssrv"
	"saddleport/internal/source/members"
	"saddleport/internal/source/targets"
	"saddleport/internal/upstream"
)

// keyError turns an error of the form "key: problem", as checks of settings return it, into an
// operator.KeyError. Other errors stay as they are.
func keyError(err error) error {
	if err == nil {
		return nil
	}
	if key, problem, ok := strings.Cut(err.Error(), ": "); ok && !strings.Contains(key, " ") {
		return &operator.KeyError{Key: key, Problem: problem}
	}
	return err
}

func (o *Operator) checkMembers() error {
	if err := o.Members.Check(); err != nil {
		return keyError(err)
	}
	for _, source := range o.Members.Sources {
		switch {
		case source == "consul" && len(o.Consul.Addrs) == 0:
			return &operator.KeyError{Key: "sources", Problem: "consul: the setting addresses in section [consul] is empty"}
		case source == "dns" && (len(o.DNS.Names) == 0 || len(o.DNS.Resolvers) == 0):
			return &operator.KeyError{Key: "sources", Problem: "dns: section [dns] needs names and resolvers"}
		}
	}
	return nil
}

// sourceNames returns the names that the membership merge has for the configured sources, the
// highest-ranked first.
func (o *Operator) sourceNames() (out []string) {
	for _, source := range o.Members.Sources {
		switch source {
		case "consul":
			out = append(out, consul.Names(o.Consul)...)
		case "dns":
			out = append(out, dnssrv.Names(o.DNS)...)
		default:
			out = append(out, source)
		}
	}
	return out
}

// memberSources is the membership merge with the sources that report to it.
type memberSources struct {
	*members.Service
	cfg *Config

	mu      sync.Mutex
	running map[string]*runningSource // by the source's name in the operator file
	list    *targets.Watch            // the platform's list; nil if it is not a source
}

type runningSource struct {
	settings any // that the source was started with
	stop     chan struct{}
	done     chan struct{} // closed when the source has stopped
}

// newMemberSources makes the membership merge. apply starts the sources.
func newMemberSources(cfg *Config, op *Operator, pool *upstream.Pool) (*memberSources, error) {
	service, err := members.New(op.Members.MergeSettings(op.sourceNames()), cfg.settings.Router.Cells, pool)
	if err != nil {
		return nil, err
	}
	if cfg.settings.Router.Probes {
		service.SetProbe(pool.Reachable)
	}
	return &memberSources{Service: service, cfg: cfg, running: make(map[string]*runningSource)}, nil
}

// apply starts the sources that the operator file names and stops all others. A source whose
// settings have not changed keeps running. If the settings of a source are invalid, apply returns
// an error before it changes anything.
func (m *memberSources) apply(op *Operator) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	type plannedSource struct {
		name     string
		settings any
		run      func(stop <-chan struct{}) // nil: the running source stays
	}
	var plannedSources []plannedSource
	for _, name := range op.Members.Sources {
		switch name {
		case "consul":
			planned := plannedSource{name: name, settings: op.Consul}
			if r := m.running[name]; r == nil || !reflect.DeepEqual(r.settings, planned.settings) {
				c, err := consul.New(op.Consul, m)
				if err != nil {
					return err
				}
				planned.run = c.Run
			}
			plannedSources = append(plannedSources, planned)
		case "dns":
			planned := plannedSource{name: name, settings: op.DNS}
			if r := m.running[name]; r == nil || !reflect.DeepEqual(r.settings, planned.settings) {
				planned.run = dnssrv.New(op.DNS, m).Run
			}
			plannedSources = append(plannedSources, planned)
		default:
			planned := plannedSource{name: name}
			if m.running[name] == nil {
				initial := m.cfg.known
				initial.Form = choice.Cached
				watch := targets.New(targets.Config{Addr: m.cfg.discovery, Cells: m.cfg.settings.Router.Cells, Index: initial.Version,
					MultiAddress: true, Pushed: m.cfg.settings.Pushed, PollTimeout: m.cfg.pollTimeout}, members.List{To: m})
				m.list = watch
				planned.run = func(stop <-chan struct{}) {
					if len(initial.Servers) > 0 {
						members.List{To: m}.UpdateList(initial, m.cfg.knownAddrs)
					}
					watch.Watch(true)
					watch.Run(stop)
				}
			}
			plannedSources = append(plannedSources, planned)
		}
	}
	// A removed or changed source stops before the merge gets its new settings, so that it can't
	// report under a name that now belongs to another source.
	for name, r := range m.running {
		if i := slices.IndexFunc(plannedSources, func(planned plannedSource) bool { return planned.name == name }); i < 0 || plannedSources[i].run != nil {
			close(r.stop)
			<-r.done
			delete(m.running, name)
			if name == members.ListName {
				m.list = nil
			}
		}
	}
	if err := m.Configure(op.Members.MergeSettings(op.sourceNames())); err != nil {
		return err
	}
	for _, planned := range plannedSources {
		if planned.run == nil {
			continue
		}
		r := &runningSource{planned.settings, make(chan struct{}), make(chan struct{})}
		m.running[planned.name] = r
		go func() { planned.run(r.stop); close(r.done) }()
	}
	log.Info("sources", "in-force", strings.Join(op.sourceNames(), ","))
	return nil
}

// switchDiscovery makes the platform's list come from another discovery address.
func (m *memberSources) switchDiscovery(addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.list != nil {
		m.list.Switch(addr)
	}
}

// stopAll stops all sources and waits until they have stopped.
func (m *memberSources) stopAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.running {
		close(r.stop)
	}
	for _, r := range m.running {
		<-r.done
	}
	clear(m.running)
}

// reportJSON returns the body of the members endpoint: the report as JSON, or an error's text.
func (m *memberSources) reportJSON() string {
	r, err := m.Report("", 10_000)
	if err != nil {
		return err.Error()
	}
	text, err := json.Marshal(r)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// Members prints the state of the leaf servers in the running proxy whose control socket the
// operator file names: of one server, or of all if name is empty. With watch, it then prints
// each change, polling once a second until done is closed.
func Members(w io.Writer, operatorFile, name string, asJSON, watch bool, done <-chan struct{}) error {
	op, err := LoadOperator(operatorFile)
	if err != nil {
		return err
	}
	fetch := func() (*members.Report, error) {
		var r members.Report
		return &r, control.Call(op.Control.Socket, &r, "members", "show", url.QueryEscape(name))
	}
	r, err := fetch()
	if err != nil {
		return err
	}
	if err := showMembers(w, r, name, asJSON); err != nil || !watch {
		return err
	}
	previous := make(map[string]membership.Explanation)
	for _, member := range r.Members {
		previous[member.Name] = member
	}
	floor := r.Floor
	for {
		select {
		case <-done:
			return nil
		case <-time.After(time.Second):
		}
		r, err := fetch()
		if err != nil {
			return err
		}
		timestamp := time.Now().Format("15:04:05")
		if r.Floor != floor {
			floor = r.Floor
			fmt.Fprintf(w, "%s  floor active: %v\n", timestamp, floor)
		}
		current := make(map[string]membership.Explanation)
		for _, member := range r.Members {
			current[member.Name] = member
			if old, known := previous[member.Name]; !known || old.State != member.State || old.Reason != member.Reason || old.Cell != member.Cell || !slices.Equal(old.Addresses, member.Addresses) {
				if asJSON {
					json.NewEncoder(w).Encode(member)
				} else {
					fmt.Fprintf(w, "%s  %s  %v  cell %d  %s  (%s)\n", timestamp, member.Name, member.State, member.Cell, strings.Join(member.Addresses, " "), member.Reason)
				}
			}
		}
		for name := range previous {
			if _, present := current[name]; !present {
				fmt.Fprintf(w, "%s  %s  forgotten\n", timestamp, name)
			}
		}
		previous = current
	}
}

func showMembers(w io.Writer, r *members.Report, name string, asJSON bool) error {
	if asJSON {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(r)
	}
	formatAge := func(us int64) string {
		return (time.Duration(us) * time.Microsecond).Round(100 * time.Millisecond).String()
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if name == "" {
		fmt.Fprintf(w, "%d ready, %d draining, %d withheld, %d gone; %d changes, %d returns delayed by flap damping", r.Ready, r.Draining, r.Withheld, r.Gone, r.Changes, r.Damped)
		if r.Floor {
			fmt.Fprint(w, "; FLOOR ACTIVE: the removal of many servers at once is not confirmed yet")
		}
		fmt.Fprintln(w)
		if r.Refused+r.Skipped > 0 {
			fmt.Fprintf(w, "%d servers rejected beyond most-servers, %d skipped because their cell does not exist\n", r.Refused, r.Skipped)
		}
		fmt.Fprintln(table, "source\tresponsive\tlast answer\tindex\tservers\tcalls\tfailed\tstale answers\t")
		for _, s := range r.Sources {
			responsive, age := "yes", "never"
			if !s.Responsive {
				responsive = "SILENT"
			}
			if s.Age >= 0 {
				age = formatAge(s.Age) + " ago"
			}
			fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t\n", s.Name, responsive, age, s.Index, s.Servers, s.Calls, s.Failed, s.Old)
		}
		if err := table.Flush(); err != nil {
			return err
		}
		fmt.Fprintln(w)
	}
	table = tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "server\tstate\tcell\taddresses\treason\tsources\t")
	for _, member := range r.Members {
		var reports []string
		for _, report := range member.Reports {
			claim := "listed"
			switch {
			case report.Dropped:
				claim = "dropped"
			case report.Drain:
				claim = "drain"
			case report.Health == membership.Critical:
				claim = "critical"
			case report.Health == membership.Warning:
				claim = "warning"
			}
			if !report.Responsive {
				claim += " (unresponsive)"
			}
			reports = append(reports, report.Source+": "+claim)
		}
		fmt.Fprintf(table, "%s\t%v\t%d\t%s\t%s\t%s\t\n", member.Name, member.State, member.Cell, strings.Join(member.Addresses, " "), member.Reason, strings.Join(reports, "; "))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if name != "" {
		fmt.Fprintln(w)
		table = tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintln(table, "source\tresponsive\tage\treports\tcell\tchecks\taddresses\t")
		for _, report := range r.Members[0].Reports {
			cell, claim := "-", "named"
			if report.HasCell {
				cell = fmt.Sprint(report.Cell)
			}
			if report.Dropped {
				claim = "dropped"
			} else if report.Drain {
				claim = "draining"
			}
			fmt.Fprintf(table, "%s\t%v\t%s\t%s\t%s\t%s\t%s\t\n", report.Source, report.Responsive, formatAge(report.Age), claim, cell, []string{"-", "passing", "warning", "critical"}[report.Health], strings.Join(report.Addresses, " "))
		}
		return table.Flush()
	}
	if r.More > 0 {
		fmt.Fprintf(w, "and %d more; --json or /-/members has up to 10,000\n", r.More)
	}
	return nil
}

// membersCommand runs a members command of the control socket.
func (p *proxy) membersCommand(args []string) (any, error) {
	if p.members == nil {
		return nil, errors.New("this proxy has only the platform's list: the setting sources in section [members] is empty")
	}
	name := ""
	if len(args) == 3 {
		var err error
		if name, err = url.QueryUnescape(args[2]); err != nil {
			return nil, err
		}
	}
	return p.members.Report(name, 1000)
}

// resolvePaths resolves relative paths against the directory of the operator file.
func resolvePaths(file string, paths ...*string) {
	for _, p := range paths {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(filepath.Dir(file), *p)
		}
	}
}
