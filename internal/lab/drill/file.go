// Package drill runs scripted drills against the real program, which runs as a child
// process on loopback addresses between stand-in leaf servers, a stand-in discovery
// and scripted clients. This file defines the format of a drill file. A drill must
// never pass when something that it names did not happen.
package drill

import (
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"saddleport/internal/hook"
	"saddleport/internal/inifile"
)

// Main holds the section [drill].
type Main struct {
	Name    string        `ini:"name" need:"yes" help:"one word"`
	Note    string        `ini:"note" help:"what the drill shows"`
	Length  time.Duration `ini:"length" default:"60s" range:"1s..1h" help:"duration of the load"`
	Warmup  time.Duration `ini:"warmup" default:"2s" range:"0s..10m" help:"start of the load whose latencies do not count"`
	Seed    int           `ini:"seed" default:"1" range:"0..2000000000" help:"of arrivals, work and choice of parts"`
	Compare bool          `ini:"compare" default:"no" help:"run it without hooks first, and compare the classes that have no hook"`
}

// Proxy holds the section [mixer]: the limits that the platform sets for a proxy.
type Proxy struct {
	Count   int           `ini:"count" default:"1" range:"1..16" help:"proxies; clients use all of them in turn. Hooks are observed on the first"`
	Cores   float64       `ini:"cores" default:"1" range:"0.05..64"`
	Memory  inifile.Bytes `ini:"memory" default:"192MiB" range:"16MiB..16GiB" help:"memory limit; more resident memory than this fails the drill"`
	Sockets int           `ini:"sockets" default:"1024" range:"64..65536"`
}

// Reshape holds the section [reshape]: segments that split, merge and move.
type Reshape struct {
	Segments         int           `ini:"segments" default:"0" range:"0..100000" help:"segments at the start; 0: the fixed shards of [fleet]"`
	KeysPerSegment   int           `ini:"keys-per-segment" default:"8" range:"1..10000"`
	Every            time.Duration `ini:"every" default:"2s" range:"0s..1h" help:"time between reshapes; 0s: no reshapes"`
	Step             time.Duration `ini:"step" default:"20ms" range:"0s..1m" help:"duration of one step of a reshape"`
	Lag              time.Duration `ini:"lag" default:"500ms" range:"0s..1m" help:"delay of the map feed"`
	EpochsBehind     int           `ini:"desks-behind" default:"3" range:"0..200" help:"epochs by which the clients' map is out of date"`
	AbortShare       float64       `ini:"abort" default:"0.1" range:"0..1" help:"share of reshapes that are rolled back"`
	CrashShare       float64       `ini:"die" default:"0.05" range:"0..1" help:"share of steps at which the coordinator crashes"`
	CrashDowntime    time.Duration `ini:"away" default:"300ms" range:"0s..1m" help:"time until it restarts"`
	KillAfterCutover float64       `ini:"cut-kill" default:"0" range:"0..1" help:"share of cutovers immediately after which all servers of the new owner crash"`
	KillDowntime     time.Duration `ini:"cut-away" default:"2s" range:"10ms..1m" help:"time until they restart, in slow start"`
	Fence            bool          `ini:"fence" default:"yes" help:"no: leaf servers continue to accept bookings while they should be fenced; the judge must detect it"`
}

// Fleet holds the section [fleet]: the stand-in leaf servers.
type Fleet struct {
	Cells         int           `ini:"cells" default:"4" range:"1..64" help:"shard s belongs to cell s modulo cells"`
	Replicas      int           `ini:"replicas" default:"3" range:"1..16" help:"servers in each cell"`
	Shards        int           `ini:"shards" default:"24" range:"1..4096"`
	Cores         int           `ini:"cores" default:"8" range:"1..1024" help:"parts that one server runs concurrently"`
	QueueCapacity int           `ini:"room" default:"200" range:"0..100000" help:"parts that a server queues; more are rejected"`
	Median        time.Duration `ini:"median" default:"10ms" range:"10us..1m" help:"median work of a part"`
	Sigma         float64       `ini:"sigma" default:"0.4" range:"0..3" help:"standard deviation of the logarithm of the work"`
	ColdShare     float64       `ini:"cold" default:"0" range:"0..1" help:"share of its capacity that a restarted server has at first; 0: all"`
	WarmTime      time.Duration `ini:"warm" default:"18s" range:"10ms..10m" help:"time until it has its full capacity"`
}

// Class holds a section [class NAME].
type Class struct {
	Name          string
	Rate          float64       `ini:"rate" default:"50" range:"0.1..100000" help:"queries a second, Poisson"`
	Parts         int           `ini:"parts" default:"4" range:"1..4096"`
	Timeout       time.Duration `ini:"patience" default:"4s" range:"10ms..1m"`
	LatencyTarget time.Duration `ini:"aim" default:"1500ms" range:"1ms..1m"`
	Booking       bool          `ini:"books" default:"no" help:"with [reshape]: each query books one key; text must begin with book"`
	Effect        string        `ini:"effect" default:"free" oneof:"free guarded single_shot"`
	Need          float64       `ini:"need" default:"1" range:"0.01..1"`
	Floor         float64       `ini:"floor" default:"1" range:"0.01..1"`
	Text          string        `ini:"text" default:"c41e77d0"`
	Hooked        bool          `ini:"hooked" default:"no" help:"one of the drill's hooks handles this class"`
	MaxRefused    float64       `ini:"refused-most" default:"1" range:"0..1" help:"the drill fails if a larger share of its queries is refused"`
	MaxFailed     float64       `ini:"failed-most" default:"0.01" range:"0..1" help:"the drill fails if a larger share of its queries fails"`
}

// Step holds a section [step NAME]: one scripted action.
type Step struct {
	Name   string
	At     time.Duration `ini:"at" need:"yes" range:"0s..1h"`
	Action string        `ini:"do" need:"yes" oneof:"hooks reload bad-hooks disable enable stop hang fail busy claim well kill revive drain serve evacuate" help:"evacuate: all segments of a cell move at once; hooks: load another set; bad-hooks: load a set that must be rejected; stop: SIGTERM, with the load continuing for 0.3 s"`
	Set    string        `ini:"set" help:"hooks: folder of the set, relative to the drill's folder"`
	By     string        `ini:"by" default:"signal" oneof:"signal command" help:"hooks: SIGHUP or the control socket"`
	Hook   string        `ini:"hook" help:"name of the hook for disable and enable"`
	Cell   int           `ini:"cell" default:"0" range:"0..63" help:"cell for evacuate"`
	Server string        `ini:"server" help:"leaf servers are named s-CELL-REPLICA, from 0"`
}

// Expect holds the section [expect]: the results that the drill requires.
type Expect struct {
	MaxP99Growth float64       `ini:"p99-within" default:"0.2" range:"0..10" help:"with compare: largest relative increase of the p99 of a class without a hook"`
	P99Slack     time.Duration `ini:"p99-slack" default:"2ms" range:"0s..1s" help:"absolute increase allowed in addition, for the machine's clock"`
	MinRate      float64       `ini:"rate-least" default:"1" range:"0..100000" help:"least queries a second over all classes"`
	MinFaults    int           `ini:"faults-least" default:"0" range:"0..1000000" help:"least number of failed hook calls"`
	FaultKinds   []string      `ini:"fault-kinds" oneof:"overrun memory thrown garbage forbidden busy short quarantined" help:"kinds of failure that must occur"`
	MinSwaps     int           `ini:"swaps-least" default:"0" range:"0..1000" help:"least number of sets activated"`
	MinOpened    int           `ini:"opened-least" default:"0" range:"0..1000" help:"least number of times that breakers opened"`
	MinCutKills  int           `ini:"cut-kills-least" default:"0" range:"0..100000" help:"least number of new owners that crashed immediately after a cutover"`
	MinEvacuated int           `ini:"evacuated-least" default:"0" range:"0..100000" help:"least number of segments moved by evacuation"`
	MinReshapes  int           `ini:"reshapes-least" default:"0" range:"0..100000" help:"least number of completed reshapes"`
	MinAnswered  float64       `ini:"answered-least" default:"0" range:"0..1" help:"least share of each class that is answered"`
	MinCalls     int           `ini:"calls-least" default:"0" range:"0..100000000" help:"least number of hook calls"`
}

// Drill is a validated drill file.
type Drill struct {
	File string
	Main
	Proxy   Proxy
	Fleet   Fleet
	Reshape Reshape
	Hooks   hook.Settings // Dir is the set at the start
	Classes []Class
	Steps   []Step // sorted by time
	Expect  Expect
}

// Read reads and validates a drill file.
func Read(file string) (*Drill, error) {
	doc, err := inifile.Read(file)
	if err != nil {
		return nil, err
	}
	return decode(file, doc)
}

// Parse parses and validates a drill's text; file names it in errors.
func Parse(file string, text []byte) (*Drill, error) {
	doc, err := inifile.Parse(file, text)
	if err != nil {
		return nil, err
	}
	return decode(file, doc)
}

func decode(file string, doc *inifile.Doc) (*Drill, error) {
	d := &Drill{File: file}
	inifile.SetDefaults(&d.Proxy)
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
			err = s.Decode(&d.Proxy)
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
					err = s.Errorf("floor", "%v is above need, which is %v", c.Floor, c.Need)
				}
				d.Classes = append(d.Classes, c)
			case s.Kind == "step" && s.Label != "":
				p := Step{Name: s.Label}
				if err = s.Decode(&p); err == nil {
					err = p.validate(s, d)
				}
				d.Steps = append(d.Steps, p)
			default:
				err = s.Errorf("", "unknown section; known sections: drill, mixer, fleet, hooks, reshape, expect, class NAME, step NAME")
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
		return nil, &inifile.Error{File: file, Problem: "no section [class NAME]: the drill has no load"}
	}
	for _, p := range d.Steps {
		at := sections["step "+p.Name]
		if p.At >= d.Length {
			return nil, at.Errorf("at", "%v is not before the drill's end at %v", p.At, d.Length)
		}
		if p.Server != "" && !slices.Contains(d.Servers(), p.Server) {
			return nil, at.Errorf("server", "%s: no such server; the fleet is s-0-0 to s-%d-%d", p.Server, d.Fleet.Cells-1, d.Fleet.Replicas-1)
		}
	}
	if d.Warmup >= d.Length {
		return nil, sections["drill"].Errorf("warmup", "%v is not before the drill's end at %v", d.Warmup, d.Length)
	}
	slices.SortStableFunc(d.Steps, func(a, b Step) int { return int(a.At - b.At) })
	return d, nil
}

func (p *Step) validate(s *inifile.Section, d *Drill) error {
	need := map[string]string{"hooks": "set", "bad-hooks": "set", "disable": "hook", "enable": "hook", "hang": "server", "fail": "server",
		"busy": "server", "claim": "server", "well": "server", "kill": "server", "revive": "server", "drain": "server", "serve": "server"}[p.Action]
	if p.Action == "evacuate" && (p.Cell >= d.Fleet.Cells || d.Reshape.Segments == 0) {
		return s.Errorf("cell", "%d: no such cell, or no [reshape] section", p.Cell)
	}
	if need != "" && !s.Has(need) {
		return s.Errorf("do", "%s requires the key %s", p.Action, need)
	}
	return nil
}

// Servers returns the names of the fleet's servers.
func (d *Drill) Servers() []string {
	var out []string
	for c := range d.Fleet.Cells {
		for r := range d.Fleet.Replicas {
			out = append(out, fmt.Sprintf("s-%d-%d", c, r))
		}
	}
	return out
}

// resolvePath returns a path relative to the drill's folder.
func (d *Drill) resolvePath(p string) string {
	if p == "" || filepath.IsAbs(p) {
		return p
	}
	return filepath.Join(filepath.Dir(d.File), p)
}

// Hooked reports whether the drill uses hooks.
func (d *Drill) Hooked() bool {
	return d.Hooks.Dir != "" || slices.ContainsFunc(d.Steps, func(s Step) bool { return s.Action == "hooks" })
}

// Shorten sets the drill's length and removes the steps after it.
func (d *Drill) Shorten(length time.Duration) {
	d.Length = length
	d.Warmup = min(d.Warmup, length/4)
	d.Steps = slices.DeleteFunc(d.Steps, func(s Step) bool { return s.At >= length })
}
