// Package drill plays scripted drills against the real program: as a child process
// on loopback addresses, between stand-in leaf servers, a stand-in discovery and
// scripted desks. This file owns the form of a drill's file. A drill must never
// pass because something it names did not happen.
package drill

import (
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"saddleport/internal/hook"
	"saddleport/internal/inifile"
)

// Main is the section [drill].
type Main struct {
	Name    string        `ini:"name" need:"yes" help:"one word"`
	Note    string        `ini:"note" help:"what it shows"`
	Length  time.Duration `ini:"length" default:"60s" range:"1s..1h" help:"of the load"`
	Warmup  time.Duration `ini:"warmup" default:"2s" range:"0s..10m" help:"at its start; latencies of then do not count"`
	Seed    int           `ini:"seed" default:"1" range:"0..2000000000" help:"of arrivals, work and parts"`
	Compare bool          `ini:"compare" default:"no" help:"play it without hooks first, and compare the classes without a hook"`
}

// Mixer is the section [mixer]: what the platform tells it.
type Mixer struct {
	Count   int           `ini:"count" default:"1" range:"1..16" help:"mixers; desks ask any of them. Hooks are watched on the first"`
	Cores   float64       `ini:"cores" default:"1" range:"0.05..64"`
	Memory  inifile.Bytes `ini:"memory" default:"192MiB" range:"16MiB..16GiB" help:"its limit, and what it may hold at most in the drill"`
	Sockets int           `ini:"sockets" default:"1024" range:"64..65536"`
}

// Reshape is the section [reshape]: segments that split, merge and move.
type Reshape struct {
	Segments         int           `ini:"segments" default:"0" range:"0..100000" help:"at the start; 0: the shards of [fleet], which stay"`
	KeysPerSegment   int           `ini:"keys-per-segment" default:"8" range:"1..10000"`
	Every            time.Duration `ini:"every" default:"2s" range:"0s..1h" help:"between reshapes; 0s: none"`
	Step             time.Duration `ini:"step" default:"20ms" range:"0s..1m" help:"that one step of a reshape takes"`
	Lag              time.Duration `ini:"lag" default:"500ms" range:"0s..1m" help:"of the feed"`
	EpochsBehind     int           `ini:"desks-behind" default:"3" range:"0..200" help:"epochs that the desks' map is old"`
	AbortShare       float64       `ini:"abort" default:"0.1" range:"0..1" help:"share of reshapes that are taken back"`
	CrashShare       float64       `ini:"die" default:"0.05" range:"0..1" help:"share of steps at which the coordinator dies"`
	CrashDowntime    time.Duration `ini:"away" default:"300ms" range:"0s..1m" help:"until it comes back"`
	KillAfterCutover float64       `ini:"cut-kill" default:"0" range:"0..1" help:"share of cuts right after which all servers of the new owner die"`
	KillDowntime     time.Duration `ini:"cut-away" default:"2s" range:"10ms..1m" help:"until they come back, cold"`
	Fence            bool          `ini:"fence" default:"yes" help:"no: leaf servers book on when they are to be fenced; the judge must find it"`
}

// Fleet is the section [fleet]: the stand-in leaf servers.
type Fleet struct {
	Cells         int           `ini:"cells" default:"4" range:"1..64" help:"shard s is held by cell s modulo cells"`
	Replicas      int           `ini:"replicas" default:"3" range:"1..16" help:"servers of a cell"`
	Shards        int           `ini:"shards" default:"24" range:"1..4096"`
	Cores         int           `ini:"cores" default:"8" range:"1..1024" help:"parts that one server runs at once"`
	QueueCapacity int           `ini:"room" default:"200" range:"0..100000" help:"parts that wait there; beyond: turned away"`
	Median        time.Duration `ini:"median" default:"10ms" range:"10us..1m" help:"work of a part"`
	Sigma         float64       `ini:"sigma" default:"0.4" range:"0..3" help:"of its logarithm"`
	ColdShare     float64       `ini:"cold" default:"0" range:"0..1" help:"share of its capacity that a server has which comes back; 0: all"`
	WarmTime      time.Duration `ini:"warm" default:"18s" range:"10ms..10m" help:"until it has all of it"`
}

// Class is a section [class NAME].
type Class struct {
	Name          string
	Rate          float64       `ini:"rate" default:"50" range:"0.1..100000" help:"queries a second, Poisson"`
	Parts         int           `ini:"parts" default:"4" range:"1..4096"`
	Timeout       time.Duration `ini:"patience" default:"4s" range:"10ms..1m"`
	LatencyTarget time.Duration `ini:"aim" default:"1500ms" range:"1ms..1m"`
	Booking       bool          `ini:"books" default:"no" help:"with [reshape]: books one key; text must begin with book"`
	Effect        string        `ini:"effect" default:"free" oneof:"free guarded single_shot"`
	Need          float64       `ini:"need" default:"1" range:"0.01..1"`
	Floor         float64       `ini:"floor" default:"1" range:"0.01..1"`
	Text          string        `ini:"text" default:"c41e77d0"`
	Hooked        bool          `ini:"hooked" default:"no" help:"a hook of the drill's sets is for it"`
	MaxRefused    float64       `ini:"refused-most" default:"1" range:"0..1" help:"more of its queries refused than this share fails the drill"`
	MaxFailed     float64       `ini:"failed-most" default:"0.01" range:"0..1" help:"likewise failed"`
}

// Step is a section [step NAME]: something that happens.
type Step struct {
	Name   string
	At     time.Duration `ini:"at" need:"yes" range:"0s..1h"`
	Action string        `ini:"do" need:"yes" oneof:"hooks reload bad-hooks disable enable stop hang fail busy claim well kill revive drain serve evacuate" help:"evacuate: all segments of a cell move at once; hooks: another set; bad-hooks: one that must be rejected; stop: SIGTERM, the load goes on for 0.3 s"`
	Set    string        `ini:"set" help:"hooks: its folder, from the drill's"`
	By     string        `ini:"by" default:"signal" oneof:"signal command" help:"hooks: SIGHUP or the control socket"`
	Hook   string        `ini:"hook" help:"disable, enable"`
	Cell   int           `ini:"cell" default:"0" range:"0..63" help:"evacuate"`
	Server string        `ini:"server" help:"leaf servers are named s-CELL-REPLICA, from 0"`
}

// Expect is the section [expect]: what must have happened.
type Expect struct {
	MaxP99Growth float64       `ini:"p99-within" default:"0.2" range:"0..10" help:"with compare: how much the p99 of a class without a hook may grow"`
	P99Slack     time.Duration `ini:"p99-slack" default:"2ms" range:"0s..1s" help:"and this much beside: the clock of the machine"`
	MinRate      float64       `ini:"rate-least" default:"1" range:"0..100000" help:"queries a second over all classes"`
	MinFaults    int           `ini:"faults-least" default:"0" range:"0..1000000" help:"calls of hooks that must have failed"`
	FaultKinds   []string      `ini:"fault-kinds" oneof:"overrun memory thrown garbage forbidden busy short quarantined" help:"kinds that must be among them"`
	MinSwaps     int           `ini:"swaps-least" default:"0" range:"0..1000" help:"sets that must have been put in force"`
	MinOpened    int           `ini:"opened-least" default:"0" range:"0..1000" help:"breakers that must have opened"`
	MinCutKills  int           `ini:"cut-kills-least" default:"0" range:"0..100000" help:"new owners that must have died right after a cut"`
	MinEvacuated int           `ini:"evacuated-least" default:"0" range:"0..100000" help:"segments that must have moved at once"`
	MinReshapes  int           `ini:"reshapes-least" default:"0" range:"0..100000" help:"reshapes that must have come to their end"`
	MinAnswered  float64       `ini:"answered-least" default:"0" range:"0..1" help:"share of each class that must be answered"`
	MinCalls     int           `ini:"calls-least" default:"0" range:"0..100000000" help:"calls of hooks"`
}

// Drill is a file that has been read and found right.
type Drill struct {
	File string
	Main
	Mixer   Mixer
	Fleet   Fleet
	Reshape Reshape
	Hooks   hook.Settings // Dir: the set at the start
	Classes []Class
	Steps   []Step // in order of time
	Expect  Expect
}

// Read reads a drill's file.
func Read(file string) (*Drill, error) {
	doc, err := inifile.Read(file)
	if err != nil {
		return nil, err
	}
	return decode(file, doc)
}

// Parse reads a drill's text.
func Parse(file string, text []byte) (*Drill, error) {
	doc, err := inifile.Parse(file, text)
	if err != nil {
		return nil, err
	}
	return decode(file, doc)
}

func decode(file string, doc *inifile.Doc) (*Drill, error) {
	d := &Drill{File: file}
	inifile.SetDefaults(&d.Mixer)
	inifile.SetDefaults(&d.Fleet)
	inifile.SetDefaults(&d.Reshape)
	inifile.SetDefaults(&d.Hooks)
	inifile.SetDefaults(&d.Expect)
	hasMain := false
	sections := make(map[string]*inifile.Section)
	for _, s := range doc.Sections {
		sections[s.Name] = s
		var err error
		switch s.Name {
		case "drill":
			hasMain, err = true, s.Decode(&d.Main)
		case "mixer":
			err = s.Decode(&d.Mixer)
		case "fleet":
			err = s.Decode(&d.Fleet)
		case "hooks":
			err = s.Decode(&d.Hooks)
		case "reshape":
			err = s.Decode(&d.Reshape)
		case "expect":
			err = s.Decode(&d.Expect)
		default:
			switch {
			case s.Kind == "class" && s.Label != "":
				c := Class{Name: s.Label}
				err = s.Decode(&c)
				if err == nil && c.Floor > c.Need {
					err = s.Errorf("floor", "%v is above need, %v", c.Floor, c.Need)
				}
				d.Classes = append(d.Classes, c)
			case s.Kind == "step" && s.Label != "":
				p := Step{Name: s.Label}
				if err = s.Decode(&p); err == nil {
					err = p.validate(s, d)
				}
				d.Steps = append(d.Steps, p)
			default:
				err = s.Errorf("", "no such section; there are: drill, mixer, fleet, hooks, reshape, expect, class NAME, step NAME")
			}
		}
		if err != nil {
			return nil, err
		}
	}
	switch {
	case !hasMain:
		return nil, &inifile.Error{File: file, Problem: "no section [drill]"}
	case len(d.Classes) == 0:
		return nil, &inifile.Error{File: file, Problem: "no section [class NAME]: there would be no load"}
	}
	for _, p := range d.Steps {
		at := sections["step "+p.Name]
		if p.At >= d.Length {
			return nil, at.Errorf("at", "%v is not before the drill's end, %v", p.At, d.Length)
		}
		if p.Server != "" && !slices.Contains(d.Servers(), p.Server) {
			return nil, at.Errorf("server", "%s: there is none of that name; the fleet is s-0-0 to s-%d-%d", p.Server, d.Fleet.Cells-1, d.Fleet.Replicas-1)
		}
	}
	if d.Warmup >= d.Length {
		return nil, sections["drill"].Errorf("warmup", "%v is not before the drill's end, %v", d.Warmup, d.Length)
	}
	slices.SortStableFunc(d.Steps, func(a, b Step) int { return int(a.At - b.At) })
	return d, nil
}

func (p *Step) validate(s *inifile.Section, d *Drill) error {
	need := map[string]string{"hooks": "set", "bad-hooks": "set", "disable": "hook", "enable": "hook", "hang": "server", "fail": "server",
		"busy": "server", "claim": "server", "well": "server", "kill": "server", "revive": "server", "drain": "server", "serve": "server"}[p.Action]
	if p.Action == "evacuate" && (p.Cell >= d.Fleet.Cells || d.Reshape.Segments == 0) {
		return s.Errorf("cell", "%d: there is none, or no [reshape]", p.Cell)
	}
	if need != "" && !s.Has(need) {
		return s.Errorf("do", "%s wants a %s", p.Action, need)
	}
	return nil
}

// Servers names the fleet.
func (d *Drill) Servers() []string {
	var out []string
	for c := range d.Fleet.Cells {
		for r := range d.Fleet.Replicas {
			out = append(out, fmt.Sprintf("s-%d-%d", c, r))
		}
	}
	return out
}

// path is a path that counts from the drill's folder.
func (d *Drill) resolvePath(p string) string {
	if p == "" || filepath.IsAbs(p) {
		return p
	}
	return filepath.Join(filepath.Dir(d.File), p)
}

// Hooked tells whether the drill has hooks at all.
func (d *Drill) Hooked() bool {
	return d.Hooks.Dir != "" || slices.ContainsFunc(d.Steps, func(s Step) bool { return s.Action == "hooks" })
}

// Shorten has the drill last so long; steps after that do not happen.
func (d *Drill) Shorten(length time.Duration) {
	d.Length = length
	d.Warmup = min(d.Warmup, length/4)
	d.Steps = slices.DeleteFunc(d.Steps, func(s Step) bool { return s.At >= length })
}
