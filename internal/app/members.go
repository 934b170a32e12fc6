package app

// This file turns the sources of leaf servers on and over, as the operator file says,
// and is what the members commands do.

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

// keyed names the key that a settings' check found fault with.
func keyed(err error) error {
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
		return keyed(err)
	}
	for _, s := range o.Members.Sources {
		switch {
		case s == "consul" && len(o.Consul.Addrs) == 0:
			return &operator.KeyError{Key: "sources", Problem: "consul: [consul] addresses names none"}
		case s == "dns" && (len(o.DNS.Names) == 0 || len(o.DNS.Resolvers) == 0):
			return &operator.KeyError{Key: "sources", Problem: "dns: [dns] wants names and resolvers"}
		}
	}
	return nil
}

// ranked are the sources as the merge knows them.
func (o *Operator) ranked() (out []string) {
	for _, s := range o.Members.Sources {
		switch s {
		case "consul":
			out = append(out, consul.Names(o.Consul)...)
		case "dns":
			out = append(out, dnssrv.Names(o.DNS)...)
		default:
			out = append(out, s)
		}
	}
	return out
}

// memberships is the merge with the sources that feed it.
type memberships struct {
	*members.Service
	cfg *Config

	mu      sync.Mutex
	running map[string]*running // by the operator file's word
	list    *targets.Watch
}

type running struct {
	set  any // of which it was made
	stop chan struct{}
	over chan struct{}
}

// newMembers makes the merge; nothing is asked before start.
func newMembers(cfg *Config, op *Operator, b *upstream.Pool) (*memberships, error) {
	s, err := members.New(op.Members.MergeSettings(op.ranked()), cfg.settings.Router.Cells, b)
	if err != nil {
		return nil, err
	}
	if cfg.settings.Router.Probes {
		s.SetProbe(b.Reachable)
	}
	return &memberships{Service: s, cfg: cfg, running: make(map[string]*running)}, nil
}

// apply has the sources run that the operator file names. One whose settings have not
// changed goes on. After an error all is as before.
func (m *memberships) apply(op *Operator) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	type making struct {
		name string
		set  any
		run  func(stop <-chan struct{})
	}
	var next []making
	for _, name := range op.Members.Sources {
		switch name {
		case "consul":
			k := making{name: name, set: op.Consul}
			if r := m.running[name]; r == nil || !reflect.DeepEqual(r.set, k.set) {
				c, err := consul.New(op.Consul, m)
				if err != nil {
					return err
				}
				k.run = c.Run
			}
			next = append(next, k)
		case "dns":
			k := making{name: name, set: op.DNS}
			if r := m.running[name]; r == nil || !reflect.DeepEqual(r.set, k.set) {
				k.run = dnssrv.New(op.DNS, m).Run
			}
			next = append(next, k)
		default:
			k := making{name: name}
			if m.running[name] == nil {
				seed := m.cfg.known
				seed.Form = choice.Cached
				w := targets.New(targets.Config{Addr: m.cfg.discovery, Cells: m.cfg.settings.Router.Cells, Index: seed.Version,
					MultiAddress: true, Pushed: m.cfg.settings.Pushed, PollTimeout: m.cfg.look}, members.List{To: m})
				m.list = w
				k.run = func(stop <-chan struct{}) {
					if len(seed.Servers) > 0 {
						members.List{To: m}.UpdateList(seed, m.cfg.addrs)
					}
					w.Watch(true)
					w.Run(stop)
				}
			}
			next = append(next, k)
		}
	}
	// A source that goes, or is made anew, ends before its name means another.
	for name, r := range m.running {
		if i := slices.IndexFunc(next, func(k making) bool { return k.name == name }); i < 0 || next[i].run != nil {
			close(r.stop)
			<-r.over
			delete(m.running, name)
			if name == members.ListName {
				m.list = nil
			}
		}
	}
	if err := m.Configure(op.Members.MergeSettings(op.ranked())); err != nil {
		return err
	}
	for _, k := range next {
		if k.run == nil {
			continue
		}
		r := &running{k.set, make(chan struct{}), make(chan struct{})}
		m.running[k.name] = r
		go func() { k.run(r.stop); close(r.over) }()
	}
	log.Info("sources", "in-force", strings.Join(op.ranked(), ","))
	return nil
}

// moved turns to another discovery service.
func (m *memberships) moved(addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.list != nil {
		m.list.Switch(addr)
	}
}

// end ends the sources.
func (m *memberships) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.running {
		close(r.stop)
	}
	for _, r := range m.running {
		<-r.over
	}
	clear(m.running)
}

// page is the endpoint's text.
func (m *memberships) page() string {
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

// ---- The commands.

// Members prints what a running mixer believes of its leaf servers: of one, or of
// all; again and again, with watch, until ctx ends.
func Members(w io.Writer, operatorFile, name string, asJSON, watch bool, done <-chan struct{}) error {
	o, err := LoadOperator(operatorFile)
	if err != nil {
		return err
	}
	ask := func() (*members.Report, error) {
		var r members.Report
		return &r, control.Call(o.Control.Socket, &r, "members", "show", url.QueryEscape(name))
	}
	r, err := ask()
	if err != nil {
		return err
	}
	if err := showMembers(w, r, name, asJSON); err != nil || !watch {
		return err
	}
	was := make(map[string]membership.Explanation)
	for _, b := range r.Members {
		was[b.Name] = b
	}
	floor := r.Floor
	for {
		select {
		case <-done:
			return nil
		case <-time.After(time.Second):
		}
		r, err := ask()
		if err != nil {
			return err
		}
		at := time.Now().Format("15:04:05")
		if r.Floor != floor {
			floor = r.Floor
			fmt.Fprintf(w, "%s  floor in force: %v\n", at, floor)
		}
		now := make(map[string]membership.Explanation)
		for _, b := range r.Members {
			now[b.Name] = b
			if o, had := was[b.Name]; !had || o.State != b.State || o.Reason != b.Reason || o.Cell != b.Cell || !slices.Equal(o.Addresses, b.Addresses) {
				if asJSON {
					json.NewEncoder(w).Encode(b)
				} else {
					fmt.Fprintf(w, "%s  %s  %v  cell %d  %s  (%s)\n", at, b.Name, b.State, b.Cell, strings.Join(b.Addresses, " "), b.Reason)
				}
			}
		}
		for name := range was {
			if _, still := now[name]; !still {
				fmt.Fprintf(w, "%s  %s  forgotten\n", at, name)
			}
		}
		was = now
	}
}

func showMembers(w io.Writer, r *members.Report, name string, asJSON bool) error {
	if asJSON {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(r)
	}
	span := func(us int64) string {
		return (time.Duration(us) * time.Microsecond).Round(100 * time.Millisecond).String()
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if name == "" {
		fmt.Fprintf(w, "%d ready, %d draining, %d withheld, %d gone; %d changes, %d returns held back for flapping", r.Ready, r.Draining, r.Withheld, r.Gone, r.Changes, r.Damped)
		if r.Floor {
			fmt.Fprint(w, "; FLOOR IN FORCE: a mass disappearance is not believed yet")
		}
		fmt.Fprintln(w)
		if r.Refused+r.Skipped > 0 {
			fmt.Fprintf(w, "%d servers were beyond most-servers, %d said to be in cells that are not there\n", r.Refused, r.Skipped)
		}
		fmt.Fprintln(t, "source\theard\tlast answer\tindex\tservers\tcalls\tfailed\tolder news\t")
		for _, s := range r.Sources {
			heard, age := "yes", "never"
			if !s.Responsive {
				heard = "SILENT"
			}
			if s.Age >= 0 {
				age = span(s.Age) + " ago"
			}
			fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t\n", s.Name, heard, age, s.Index, s.Servers, s.Calls, s.Failed, s.Old)
		}
		if err := t.Flush(); err != nil {
			return err
		}
		fmt.Fprintln(w)
	}
	t = tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "server\tstate\tcell\taddresses\twhy\tsources\t")
	for _, b := range r.Members {
		var says []string
		for _, x := range b.Reports {
			word := "names it"
			switch {
			case x.Dropped:
				word = "dropped it"
			case x.Drain:
				word = "drain"
			case x.Health == membership.Critical:
				word = "critical"
			case x.Health == membership.Warning:
				word = "warning"
			}
			if !x.Responsive {
				word += " (silent)"
			}
			says = append(says, x.Source+": "+word)
		}
		fmt.Fprintf(t, "%s\t%v\t%d\t%s\t%s\t%s\t\n", b.Name, b.State, b.Cell, strings.Join(b.Addresses, " "), b.Reason, strings.Join(says, "; "))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if name != "" {
		fmt.Fprintln(w)
		t = tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "source\theard\tage\tsays\tcell\tchecks\taddresses\t")
		for _, x := range r.Members[0].Reports {
			cell, word := "-", "named"
			if x.HasCell {
				cell = fmt.Sprint(x.Cell)
			}
			if x.Dropped {
				word = "dropped"
			} else if x.Drain {
				word = "draining"
			}
			fmt.Fprintf(t, "%s\t%v\t%s\t%s\t%s\t%s\t%s\t\n", x.Source, x.Responsive, span(x.Age), word, cell, []string{"-", "passing", "warning", "critical"}[x.Health], strings.Join(x.Addresses, " "))
		}
		return t.Flush()
	}
	if r.More > 0 {
		fmt.Fprintf(w, "and %d more; --json or /-/members has up to 10,000\n", r.More)
	}
	return nil
}

// members does what the control socket asks.
func (m *mixer) membersCommand(words []string) (any, error) {
	if m.members == nil {
		return nil, errors.New("this mixer has the platform's list alone: [members] sources names none")
	}
	name := ""
	if len(words) == 3 {
		var err error
		if name, err = url.QueryUnescape(words[2]); err != nil {
			return nil, err
		}
	}
	return m.members.Report(name, 1000)
}

// rooted has paths of the operator file count from its folder.
func rooted(file string, paths ...*string) {
	for _, p := range paths {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(filepath.Dir(file), *p)
		}
	}
}
