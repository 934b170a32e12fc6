package real

// This file runs the sources of the server list on real sockets. Each proxy has its own
// stand-in discovery, Consul agent and DNS server, since a server has a different
// address for each proxy, and an operator file that names them. A scenario without
// [members] has only the discovery.

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"saddleport/internal/control"
	"saddleport/internal/inifile"
	"saddleport/internal/lab/consulapi"
	"saddleport/internal/lab/disco"
	"saddleport/internal/lab/dnsserver"
	"saddleport/internal/lab/model"
	"saddleport/internal/source/consul"
	"saddleport/internal/source/dnssrv"
	"saddleport/internal/source/members"
)

const (
	service       = "trips"
	srvName       = "_trips._tcp.lab.example.org"
	zoneName      = ".lab.example.org"
	junkPerAnswer = 12 // junk datagrams sent before each answer under the fault dns-junk
)

// sources are the stand-ins of one proxy. A stand-in that the scenario does not use is
// nil; the discovery is always there.
type sources struct {
	disco  *disco.Server
	consul *consulapi.Server
	dns    *dnsserver.Server
}

func (r *run) hasSources() bool { return len(r.plan.Members.Sources) > 0 }

// startSources starts the stand-ins of all proxies.
func (r *run) startSources() error {
	for n := range r.plan.Proxies.Count {
		s := &sources{}
		r.standIns = append(r.standIns, s)
		var err error
		for _, l := range r.lists {
			switch l.Name {
			case "consul":
				var all []consulapi.Instance
				for _, e := range l.Entries() {
					all = append(all, r.consulInstance(n, e))
				}
				if s.consul, err = consulapi.Listen(service, all); err != nil {
					return err
				}
				s.consul.OnSent = func(i consulapi.Instance, at time.Time) { r.j.DrainReportedBy(n, "consul", i.ID, i.Maintenance, at) }
			case "dns":
				var all []dnsserver.Target
				for _, e := range l.Entries() {
					all = append(all, r.dnsTarget(n, e))
				}
				if s.dns, err = dnsserver.Listen(srvName, uint32(r.plan.Source("dns").TTL/time.Second), all); err != nil {
					return err
				}
				s.dns.OnSent = func(t dnsserver.Target, at time.Time) {
					name, _, _ := strings.Cut(t.Name, ".")
					r.j.DrainReportedBy(n, "dns", name, strings.HasSuffix(t.Text, "state=draining"), at)
				}
			}
		}
		var entries []disco.Entry // the platform's discovery always exists, since the configuration names it
		for _, l := range r.lists {
			if l.Name == "list" {
				for _, e := range l.Entries() {
					entries = append(entries, r.discoveryEntry(n, e))
				}
			}
		}
		if s.disco, err = disco.Listen(entries); err != nil {
			return err
		}
		s.disco.OnSent = func(e disco.Entry, at time.Time) {
			switch {
			case e.Status == "DELETED": // a deletion neither starts nor ends a drain
			case r.plan.Settings.PollInterval > 0: // the drain counts once the agent has the update: see agentsUpdated
			case r.hasSources():
				r.j.DrainReportedBy(n, "list", e.Name, e.Status == "DRAINING", at)
			case e.Status == "SERVING":
				r.j.DrainReported(e.Name, time.Time{})
			default:
				r.j.DrainReported(e.Name, at)
			}
		}
	}
	for _, l := range r.lists {
		l.Publish = func(news []model.Entry) { r.publish(l.Name, news) }
		if r.hasSources() || r.plan.Settings.PollInterval > 0 {
			l.BufferSilent = r.plan.Settings.PollInterval > 0 // an agent gets no updates while its discovery is down
			l.OnFault = func(c model.Change) { r.applySourceFault(l, c) }
		}
	}
	return nil
}

func (r *run) consulInstance(proxy int, e model.Entry) consulapi.Instance {
	spec := &r.plan.Servers[e.Server]
	i := consulapi.Instance{ID: spec.Name, Node: "node-" + spec.Name, Site: spec.Site, Kind: spec.Group, Address: r.hosts[e.Server].endpoints[proxy].addr,
		Cell: (spec.Cell + e.CellShift) % r.plan.Groups[0].Cells, Status: "passing", Maintenance: e.Status == model.Draining}
	if e.Status == model.Unhealthy {
		i.Status = "critical"
	}
	if e.Since >= 0 {
		i.Since = r.begin.Add(e.Since).UnixMilli()
	}
	return i
}

func (r *run) dnsTarget(proxy int, e model.Entry) dnsserver.Target {
	spec := &r.plan.Servers[e.Server]
	host, port, _ := net.SplitHostPort(r.hosts[e.Server].endpoints[proxy].addr)
	n, _ := strconv.Atoi(port)
	since := int64(0)
	if e.Since >= 0 {
		since = r.begin.Add(e.Since).UnixMilli()
	}
	return dnsserver.Target{Name: spec.Name + zoneName, Addrs: []string{host}, Port: uint16(n),
		Text: dnsserver.TXTRecord(spec.Name, spec.Site, spec.Group, (spec.Cell+e.CellShift)%r.plan.Groups[0].Cells, e.Status == model.Draining, since)}
}

// publish sends the changes of one source to all proxies' stand-ins. The list calls it
// under listMu.
func (r *run) publish(source string, changes []model.Entry) {
	for n, s := range r.standIns {
		for _, e := range changes {
			name := r.plan.Servers[e.Server].Name
			switch source {
			case "consul":
				if e.Status == model.Deleted {
					s.consul.Remove(name)
				} else {
					s.consul.Put(r.consulInstance(n, e))
				}
			case "dns":
				if e.Status == model.Deleted {
					s.dns.Remove(name + zoneName)
				} else {
					s.dns.Put(r.dnsTarget(n, e))
				}
			default:
				s.disco.Put(r.discoveryEntry(n, e))
				if r.plan.Settings.PollInterval > 0 {
					r.agentsUpdated(name, e.Status)
				}
			}
		}
	}
}

// agentsUpdated records that the proxies' agents have a server's new state. Where lists
// are pushed, this is the time at which a drain counts as reported.
func (r *run) agentsUpdated(name string, st model.Status) {
	switch st {
	case model.Serving:
		r.j.DrainReported(name, time.Time{})
	case model.Draining:
		r.j.DrainReported(name, time.Now())
	}
}

// applySourceFault starts or ends a fault of an entire source.
func (r *run) applySourceFault(l *model.List, c model.Change) {
	for n, s := range r.standIns {
		switch l.Name {
		case "consul":
			if c.Do == model.ListReset {
				if c.On {
					s.consul.ResetIndex()
				}
				continue
			}
			s.consul.Set(func(f *consulapi.Faults) {
				switch c.Do {
				case model.ListSilent:
					f.Silent = c.On
				case model.ListDown:
					f.NoLeader = c.On
				case model.ListEmpty:
					f.Empty = c.On
				}
			})
		case "dns":
			s.dns.Set(func(f *dnsserver.Faults) {
				switch c.Do {
				case model.ListSilent:
					f.Silent = c.On
				case model.ListDown:
					f.Rcode = 0
					if c.On {
						f.Rcode = 2 // SERVFAIL
					}
				case model.ListEmpty:
					f.NXDomain = c.On
				case model.DNSTruncate:
					f.Truncate = c.On
				case model.DNSJunk:
					f.JunkDatagrams = 0
					if c.On {
						f.JunkDatagrams = junkPerAnswer
					}
				}
			})
		default:
			switch c.Do {
			case model.ListSilent, model.ListDown:
				s.disco.SetUnavailable(c.On, c.Do == model.ListDown)
			case model.ListEmpty:
				for _, e := range l.Entries() {
					x := r.discoveryEntry(n, e)
					if c.On {
						x.Status = "DELETED"
					}
					s.disco.Put(x)
				}
			}
		}
	}
}

// writeOperatorFile writes the operator file of proxy n with the active sources, and
// returns its path.
func (r *run) writeOperatorFile(n int, active []string) (string, error) {
	s := r.standIns[n]
	var b strings.Builder
	section := func(name string, settings any) {
		fmt.Fprintf(&b, "[%s]\n", name)
		for _, f := range inifile.Fields(settings) {
			value := f.Value
			switch value {
			case "true":
				value = "yes"
			case "false":
				value = "no"
			}
			fmt.Fprintf(&b, "%s = %s\n", f.Key, value)
		}
	}
	m := r.plan.Members
	m.Sources = active
	fmt.Fprintf(&b, "[control]\nsocket = %s\n", r.socket(n))
	section("members", &m)
	if s.consul != nil {
		var c consul.Settings
		inifile.SetDefaults(&c)
		c.Addrs, c.Service, c.Wait = []string{s.consul.Addr}, service, r.plan.Source("consul").Wait
		section("consul", &c)
	}
	if s.dns != nil {
		var d dnssrv.Settings
		inifile.SetDefaults(&d)
		d.Names, d.Resolvers = []string{srvName}, []string{s.dns.Addr}
		section("dns", &d)
	}
	file := filepath.Join(r.dir, fmt.Sprintf("operator-%d.ini", n))
	return file, os.WriteFile(file, []byte(b.String()), 0o600)
}

func (r *run) socket(n int) string { return filepath.Join(r.dir, fmt.Sprintf("s%d", n)) }

// switchSources activates other sources at every proxy, by SIGHUP.
func (r *run) switchSources(c model.Change) {
	active := r.plan.Members.Sources
	if c.On {
		active = c.SwitchTo
	}
	r.proxyMu.Lock()
	defer r.proxyMu.Unlock()
	r.activeSources = active
	for _, m := range r.proxies {
		if m.proc == nil {
			continue
		}
		if _, err := r.writeOperatorFile(m.n, active); err != nil {
			go r.recordFault("writing the operator file of mixer %d: %v", m.n, err)
			continue
		}
		m.proc.Signal(syscall.SIGHUP)
	}
}

// recordMembers records, at the end, what every proxy reports about its member list.
func (r *run) recordMembers() {
	for _, m := range r.proxies {
		var rep members.Report
		if m.proc == nil {
			continue
		}
		if err := control.Call(r.socket(m.n), &rep, "members", "show"); err != nil {
			r.recordFault("mixer %d did not report its members: %v", m.n, err)
			continue
		}
		rep.Members = nil
		text, _ := json.Marshal(rep.Sources)
		r.recordEvent("mixer %d: %d ready, %d draining, %d withheld; %d changes, %d returns held back; sources %s", m.n, rep.Ready, rep.Draining, rep.Withheld,
			rep.Changes, rep.Damped, text)
	}
}
