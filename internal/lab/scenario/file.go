// Package scenario reads scenarios: INI files that say what fleet, load and faults a
// run has. It owns their form, the variations, and the limits on what may be asked
// for; and it draws a scenario out into a plan, which both drives play. It must
// never let an absurd value through to a drive: that is an error with file and
// line, not a run that hangs.
package scenario

import (
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"saddleport/internal/exchange"
	"saddleport/internal/inifile"
	"saddleport/internal/source/members"
)

// Main is the section [scenario].
type Main struct {
	Name           string        `ini:"name" need:"yes" help:"one word"`
	Note           string        `ini:"note" help:"what it shows"`
	Length         time.Duration `ini:"length" default:"60s" range:"1s..24h" help:"of the load"`
	Warmup         time.Duration `ini:"warmup" default:"5s" range:"0s..1h" help:"at its start; what is due then does not count for goodput and latencies, but rules hold"`
	Seed           int           `ini:"seed" default:"1" range:"0..2000000000"`
	Repeats        int           `ini:"repeats" default:"1" range:"1..10000" help:"of a sweep: so many seeds, from seed on"`
	Rate           float64       `ini:"rate" default:"1" range:"0.001..1000" help:"all classes' rates times this"`
	OverQuotaValue float64       `ini:"over-share-worth" default:"1" range:"0..1" help:"of what a query beyond its tenant's quota is worth"`
}

// Mixers is the section [mixers].
type Proxies struct {
	Count       int           `ini:"count" default:"2" range:"1..1000"`
	Cores       float64       `ini:"cores" default:"1" range:"0.05..64" help:"real drive"`
	Memory      inifile.Bytes `ini:"memory" default:"192MiB" range:"16MiB..16GiB" help:"real drive: its limit"`
	Sockets     int           `ini:"sockets" default:"1024" range:"64..65536" help:"real drive"`
	DetectDelay time.Duration `ini:"notice" default:"2s" range:"0s..1m" help:"until the front knows that a mixer has died"`
	StartDelay  time.Duration `ini:"boot" default:"500ms" range:"0s..1m" help:"until a mixer that was started is ready"`
}

// Settings is the section [settings]: what the platform tells the mixers.
type Settings struct {
	Resolution       time.Duration `ini:"resolution" default:"5ms" range:"100us..1s" help:"least time between two batches"`
	AttemptCap       int           `ini:"send-cap" default:"4" range:"1..16" help:"attempts of a part"`
	ParallelAttempts bool          `ini:"parallel-tries" default:"no" help:"two attempts of a part may be out at once"`
	Cancel           bool          `ini:"cancel" default:"yes"`
	Keepalive        time.Duration `ini:"keepalive" default:"15s" range:"100ms..1h"`
	Dial             time.Duration `ini:"dial-timeout" default:"250ms" range:"1ms..1m"`
	MaxRetryAfter    time.Duration `ini:"max-retry-after" default:"2s" range:"0s..1m"`
	MaxInFlight      int           `ini:"most-held" default:"20000" range:"0..10000000"`
	MaxPartsPerCall  int           `ini:"bundle-max" default:"1" range:"1..64"`
	CallWork         time.Duration `ini:"per-call-work" default:"0s" range:"0s..10s" help:"work of a call at a server, beside its parts'"`
	PollInterval     time.Duration `ini:"look" default:"0s" range:"0s..1m" help:"lists are pushed to an agent on the mixer's machine, which the mixer looks at this often (virtual drive); 0s: lists are asked for"`
	DrainGrace       time.Duration `ini:"drain-grace" default:"2s" range:"0s..1m"`
	AskWithin        time.Duration `ini:"ask-within" default:"10s" range:"100ms..10m"`
}

// Group is the section [fleet], and [group NAME] for further servers of each cell.
type Group struct {
	Name             string
	Cells            int           `ini:"cells" default:"4" range:"1..20000" help:"[fleet] alone: shard s is held by cells s to s+width-1, modulo cells"`
	Width            int           `ini:"width" default:"1" range:"1..16" help:"[fleet] alone"`
	Shards           int           `ini:"shards" default:"24" range:"1..1000000" help:"[fleet] alone"`
	Replicas         int           `ini:"replicas" default:"3" range:"0..64" help:"servers of a cell"`
	Cores            int           `ini:"cores" default:"4" range:"1..1024"`
	Speed            float64       `ini:"speed" default:"1" range:"0.01..100" help:"of each core"`
	SpeedSpread      float64       `ini:"speed-spread" default:"0" range:"0..0.9" help:"each server's speed is drawn within 1 plus or minus this"`
	Slots            int           `ini:"slots" default:"0" range:"0..100000" help:"parts in work at once; 0: as many as cores"`
	QueueLimit       int           `ini:"room" default:"64" range:"0..1000000" help:"parts that wait; beyond, they are turned away"`
	Queue            string        `ini:"queue" default:"fifo" oneof:"fifo lifo random shortest fair"`
	Knee             int           `ini:"knee" default:"0" range:"0..1000000" help:"parts held above which it works slower; 0: never"`
	KneeLoss         float64       `ini:"loss" default:"1" range:"0..100" help:"at twice the knee it works 1/(1+loss) as fast"`
	CancelsRunning   bool          `ini:"stops-given-up" default:"no" help:"parts in work that are given up stop"`
	Handshake        time.Duration `ini:"handshake" default:"1ms" range:"0s..1s" help:"work of a new connection"`
	Site             string        `ini:"site" help:"empty: replicas go to the sites in turn"`
	KeyGain          float64       `ini:"key-gain" default:"0" range:"0..0.95" help:"less work for a part whose key it met lately"`
	KeyTTL           time.Duration `ini:"key-for" default:"5s" range:"1ms..1h"`
	MaxKeys          int           `ini:"key-most" default:"200" range:"1..1000000" help:"keys that it remembers"`
	SlowStartShare   float64       `ini:"cold-share" default:"0.16" range:"0.01..1" help:"of its capacity, at a start"`
	SlowStartTime    time.Duration `ini:"cold-time" default:"18s" range:"0s..1h" help:"until it is warm; 0s: at once"`
	SlowStartParts   int           `ini:"cold-work" default:"0" range:"0..1000000000" help:"or after so many parts; 0: time alone"`
	OverloadMultiple float64       `ini:"cold-multiple" default:"2" range:"0..1000" help:"sent more than this multiple of its capacity while cold, it falls; 0: never"`
	OverloadWindow   time.Duration `ini:"cold-window" default:"2s" range:"1ms..1m" help:"over so long"`
	OverloadDowntime time.Duration `ini:"cold-down" default:"3s" range:"1ms..1h" help:"and is away for this"`
}

// Network is the section [network].
type Network struct {
	Sites  []string      `ini:"sites" default:"amman" help:"mixers, clients and replicas are spread over them"`
	Local  time.Duration `ini:"local" default:"200us" range:"0s..10s" help:"one way, within a site"`
	Far    time.Duration `ini:"far" default:"2ms" range:"0s..10s" help:"one way, between sites"`
	Jitter time.Duration `ini:"jitter" default:"50us" range:"0s..10s" help:"mean of an exponential added to it"`
	Loss   float64       `ini:"loss" default:"0" range:"0..0.5" help:"share of messages that come 200 ms late and more, as TCP makes of a loss"`
}

// Link is a section [link A B]: a way of its own.
type Link struct {
	From, To string
	Delay    time.Duration `ini:"delay" default:"2ms" range:"0s..10s"`
	Jitter   time.Duration `ini:"jitter" default:"50us" range:"0s..10s"`
	Loss     float64       `ini:"loss" default:"0" range:"0..0.5"`
	Both     bool          `ini:"both" default:"yes" help:"and back"`
}

// Clients is the section [clients].
type Clients struct {
	Retries           int           `ini:"retries" default:"2" range:"0..100" help:"tries beside the first, after a refusal"`
	Backoff           time.Duration `ini:"pause" default:"200ms" range:"0s..1m" help:"before the next try, without advice"`
	BackoffFactor     float64       `ini:"grow" default:"2" range:"0..10" help:"each pause is this times the one before"`
	Jitter            float64       `ini:"spread" default:"0.5" range:"0..10" help:"pauses are stretched by up to this share, at random"`
	AdviceShare       float64       `ini:"heed" default:"1" range:"0..1" help:"share of clients that wait as long as advised"`
	MarkRetries       bool          `ini:"mark" default:"yes" help:"later tries are marked"`
	RetryAfterFailure bool          `ini:"retry-failed" default:"no" help:"safe classes are asked again after failures too"`
	MinTimeLeft       time.Duration `ini:"least-left" default:"50ms" range:"0s..1m" help:"with less time left they do not ask again"`
	Conns             int           `ini:"connections" default:"256" range:"1..10000" help:"real drive: idle ones kept to a mixer"`
}

// Class is a section [class NAME].
type Class struct {
	Name           string
	Rate           float64       `ini:"rate" default:"50" range:"0.001..1000000" help:"queries a second, Poisson"`
	Trace          string        `ini:"trace" help:"instead: a file with the seconds of each query"`
	Parts          int           `ini:"parts" default:"4" range:"1..4096"`
	MaxParts       int           `ini:"parts-most" default:"0" range:"0..4096" help:"drawn between parts and this; 0: always parts"`
	Contiguous     bool          `ini:"row" default:"no" help:"its shards have numbers in a row"`
	Keys           int           `ini:"keys" default:"0" range:"0..10000000" help:"what queries concern: so many; one key always wants the same shards; 0: they have none"`
	KeyZipf        float64       `ini:"key-zipf" default:"0.6" range:"0..3"`
	Work           string        `ini:"work" default:"lognormal 8ms 0.5" help:"of a part: fixed, exp, lognormal, gamma, pareto, empirical"`
	Sigma          float64       `ini:"query-sigma" default:"0" range:"0..3" help:"of the logarithm of a factor that a query's parts share"`
	Zipf           float64       `ini:"zipf" default:"0" range:"0..3" help:"skew of the shards asked for; 0: even"`
	UnequalWeights bool          `ini:"weights-differ" default:"no"`
	LatencyTarget  time.Duration `ini:"aim" default:"500ms" range:"1ms..10m"`
	Timeout        time.Duration `ini:"patience" default:"2s" range:"10ms..10m" help:"over all tries"`
	LeaveShare     float64       `ini:"impatient" default:"0" range:"0..1" help:"share of clients that leave before"`
	LeaveAfter     string        `ini:"leave" default:"exp 500ms" help:"when those do, from their first try"`
	Effect         string        `ini:"effect" default:"free" oneof:"free guarded single_shot"`
	DedupWindow    time.Duration `ini:"memory-span" default:"5s" range:"0s..10m" help:"guarded: repeats are dropped for so long"`
	RequiredShare  float64       `ini:"need" default:"1" range:"0.01..1"`
	MinShare       float64       `ini:"floor" default:"1" range:"0.01..1"`
	PartialValue   float64       `ini:"partial-earns" default:"0.9" range:"0..1"`
	LateValue      float64       `ini:"late-worth" default:"0.1" range:"0..1"`
	Value          float64       `ini:"value" default:"1" range:"0..1000000"`
}

// Load is the section [load].
type Load struct {
	Curve string `ini:"curve" help:"SPAN:FACTOR, SPAN:FACTOR ...: all rates over time, straight in between"`
}

// Burst is a section [burst NAME].
type Burst struct {
	Name   string
	At     time.Duration `ini:"at" need:"yes" range:"0s..24h"`
	For    time.Duration `ini:"for" need:"yes" range:"1ms..24h"`
	Factor float64       `ini:"factor" default:"2" range:"0..1000"`
	Class  string        `ini:"class" help:"empty: all"`
	Tenant string        `ini:"tenant" help:"of this one alone"`
}

// Tenant is a section [tenant NAME]: one of those who share the mixers.
type Tenant struct {
	Name  string
	Usage float64 `ini:"usage" default:"1" range:"0.0001..1000000" help:"its part of the load, beside the others'"`
	Quota float64 `ini:"quota" default:"0" range:"0..1000000" help:"queries a second that are within its share; 0: all are"`
	Share float64 `ini:"share" default:"0" range:"0..1" help:"as the mixers are told"`
}

// List is the section [list]: discovery.
type List struct {
	Lag         time.Duration `ini:"lag" default:"1s" range:"0s..10m"`
	Jitter      time.Duration `ini:"jitter" default:"200ms" range:"0s..1m"`
	DetectDelay time.Duration `ini:"notice" default:"3s" range:"0s..10m" help:"until it is known that a process has ended"`
}

// Source is a section [source NAME]: how one of the [members] sources tells. It has
// the section's name from the operator file: list, consul, dns.
type Source struct {
	Name          string
	Lag           time.Duration `ini:"lag" default:"500ms" range:"0s..10m" help:"until news is there"`
	Jitter        time.Duration `ini:"jitter" default:"100ms" range:"0s..1m" help:"mean of an exponential added to it"`
	DetectDelay   time.Duration `ini:"notice" default:"3s" range:"0s..10m" help:"until it is known that a process has ended"`
	TTL           time.Duration `ini:"ttl" default:"2s" range:"1s..1h" help:"dns: lifetime of records"`
	KeepsEnded    bool          `ini:"checks" default:"no" help:"a process that has ended stays, as critical"`
	ReportsDrains bool          `ini:"drains" default:"yes" help:"it tells of drains"`
	Wait          time.Duration `ini:"wait" default:"2s" range:"100ms..1m" help:"consul: how long a call waits"`
}

// Fault is a section [fault NAME].
type Fault struct {
	Name      string
	Do        string        `ini:"do" need:"yes" oneof:"die vanish hang slow fail busy pause drain release cut list-late list-lie list-silent list-down list-empty list-reset list-cell dns-truncate dns-junk sources kill-mixer restart-mixer"`
	At        time.Duration `ini:"at" need:"yes" range:"0s..24h"`
	For       time.Duration `ini:"for" default:"0s" range:"0s..24h" help:"0s: to the end"`
	Every     time.Duration `ini:"every" default:"0s" range:"0s..24h" help:"again and again; 0s: once"`
	Times     int           `ini:"times" default:"0" range:"0..1000000" help:"at most so often; 0: to the end"`
	Chance    float64       `ini:"chance" default:"1" range:"0..1" help:"that each time comes to pass"`
	Targets   string        `ini:"who" default:"all" help:"servers: all, server NAME, cell N, shard N, site NAME, group NAME; mixers: all, mixer N; cut: SITE SITE"`
	Share     float64       `ini:"share" default:"1" range:"0..1" help:"of them, drawn anew each time"`
	Stagger   time.Duration `ini:"apart" default:"0s" range:"0s..1h" help:"between one and the next that it hits"`
	Class     string        `ini:"class" help:"hang, fail: empty is all"`
	PartShare float64       `ini:"parts" default:"1" range:"0..1" help:"hang, fail: share of the parts"`
	Factor    float64       `ini:"factor" default:"4" range:"1..10000" help:"slow"`
	Warm      bool          `ini:"warm" default:"no" help:"die, vanish, release: it comes back warm"`
	Both      bool          `ini:"both" default:"yes" help:"cut: both ways"`
	Source    string        `ini:"source" help:"list-..., drain: which of the [members] sources; empty: all"`
	SwitchTo  []string      `ini:"to" help:"sources: which are in force while it holds, the highest-ranked first"`
	Delay     time.Duration `ini:"extra" default:"3s" range:"0s..10m" help:"list-late: so much later; release: from the drain to the end of the process"`
}

// Expect is the section [expect]. The rules are always expected.
type Expect struct {
	MinGoodput      float64 `ini:"goodput-least" default:"0" range:"0..1"`
	MaxLevelChanges int     `ini:"level-changes-most" default:"0" range:"0..100000" help:"of each mixer; 0: not looked at"`
	MinBroken       int     `ini:"broken-least" default:"0" range:"0..1000000" help:"so many rules must be seen broken: a scenario that shows the judge at work"`
}

// Scenario is a file that has been read and found right, in one of its variations.
type Scenario struct {
	File string
	Main
	Proxies  Proxies
	Settings Settings
	Groups   []Group // [fleet] first
	Network  Network
	Links    []Link
	Clients  Clients
	Classes  []Class
	Load     Load
	Bursts   []Burst
	Tenants  []Tenant
	List     List
	Members  members.Settings
	Levels   exchange.LevelsSettings
	Level    []exchange.LevelSettings
	Sources  []Source // those that [source NAME] sections describe
	Faults   []Fault
	Expect   Expect

	// Values are what this variation sets, in the order of the file.
	Values []Value
	doc    *inifile.Doc
}

// Value is one key that a variation sets.
type Value struct{ Key, Value string }

// Vary is one line of the section [vary].
type Vary struct {
	Key    string // as SECTION.KEY; KEY alone is one of [scenario]
	Values []string
	Line   int
}

// Bounds of files.
const (
	maxIncludes   = 16
	maxVariations = 10_000
)

// Doc is a scenario's document with what it includes, and its variations.
type Doc struct {
	File   string
	doc    *inifile.Doc
	Varies []Vary
}

// Is tells whether a document is a scenario's (and not a drill's).
func IsScenario(doc *inifile.Doc) bool {
	return slices.ContainsFunc(doc.Sections, func(s *inifile.Section) bool {
		return s.Name == "scenario" || s.Name == "include"
	})
}

// Open reads a file and what it includes.
func Open(file string) (*Doc, error) {
	doc, err := inifile.Read(file)
	if err != nil {
		return nil, err
	}
	return build(file, doc)
}

// Text reads a scenario's text; file is its name in complaints, and what it
// includes counts from its folder.
func Parse(file string, text []byte) (*Doc, error) {
	doc, err := inifile.Parse(file, text)
	if err != nil {
		return nil, err
	}
	return build(file, doc)
}

func build(file string, doc *inifile.Doc) (*Doc, error) {
	budget := maxIncludes
	doc, err := include(doc, &budget, []string{file})
	if err != nil {
		return nil, err
	}
	d := &Doc{File: file, doc: doc}
	total := 1
	for _, s := range doc.Sections {
		if s.Name != "vary" {
			continue
		}
		for _, k := range s.Keys {
			v := Vary{Key: k.Name, Line: k.Line}
			for item := range strings.SplitSeq(k.Value, ",") {
				if item = strings.TrimSpace(item); item != "" {
					v.Values = append(v.Values, item)
				}
			}
			if len(v.Values) == 0 {
				return nil, s.Errorf(k.Name, "no values")
			}
			if total *= len(v.Values); total > maxVariations {
				return nil, s.Errorf(k.Name, "more than %d variations", maxVariations)
			}
			d.Varies = append(d.Varies, v)
		}
	}
	doc.Sections = slices.DeleteFunc(doc.Sections, func(s *inifile.Section) bool { return s.Name == "vary" })
	return d, nil
}

// include puts what a document includes below it: a key of the document's own
// stands over the included one's.
func include(doc *inifile.Doc, budget *int, including []string) (*inifile.Doc, error) {
	out := &inifile.Doc{File: doc.File}
	var own []*inifile.Section
	for _, s := range doc.Sections {
		if s.Name != "include" {
			own = append(own, s)
			continue
		}
		var files struct {
			Files []string `ini:"files" need:"yes"`
		}
		if err := s.Decode(&files); err != nil {
			return nil, err
		}
		for _, f := range files.Files {
			path := filepath.Join(filepath.Dir(doc.File), f)
			if slices.Contains(including, path) {
				return nil, s.Errorf("files", "%s includes itself", f)
			}
			if *budget--; *budget < 0 {
				return nil, s.Errorf("files", "more than %d files", maxIncludes)
			}
			sub, err := inifile.Read(path)
			if err != nil {
				return nil, s.Errorf("files", "%v", err)
			}
			if sub, err = include(sub, budget, append(slices.Clone(including), path)); err != nil {
				return nil, err
			}
			mergeSections(out, sub.Sections)
		}
	}
	mergeSections(out, own)
	return out, nil
}

func mergeSections(doc *inifile.Doc, sections []*inifile.Section) {
	for _, s := range sections {
		i := slices.IndexFunc(doc.Sections, func(o *inifile.Section) bool { return o.Name == s.Name })
		if i < 0 {
			doc.Sections = append(doc.Sections, s)
			continue
		}
		doc.Sections[i] = overrideKeys(doc.Sections[i], s.Keys, s.File, s.Line)
	}
}

// over lays keys over a section's; complaints then name the file of the later.
func overrideKeys(s *inifile.Section, keys []inifile.Key, file string, line int) *inifile.Section {
	out := *s
	out.File, out.Line, out.Keys = file, line, slices.Clone(s.Keys)
	for i := range out.Keys {
		if out.Keys[i].File == "" {
			out.Keys[i].File = s.File
		}
	}
	for _, k := range keys {
		out.Keys = slices.DeleteFunc(out.Keys, func(o inifile.Key) bool { return o.Name == k.Name })
		out.Keys = append(out.Keys, k)
	}
	return &out
}

// Variations are all variations of a document, each as the values it sets. Without
// a section [vary] there is one, which sets nothing.
func (d *Doc) Variations() [][]Value {
	out := [][]Value{nil}
	for _, v := range d.Varies {
		var next [][]Value
		for _, have := range out {
			for _, value := range v.Values {
				next = append(next, append(slices.Clone(have), Value{v.Key, value}))
			}
		}
		out = next
	}
	return out
}

// Scenario is the document with these values set.
func (d *Doc) Scenario(values []Value) (*Scenario, error) {
	doc := &inifile.Doc{File: d.doc.File, Sections: slices.Clone(d.doc.Sections)}
	for _, v := range values {
		section, key := "scenario", v.Key
		if i := strings.LastIndexByte(v.Key, '.'); i >= 0 {
			section, key = strings.ReplaceAll(v.Key[:i], ".", " "), v.Key[i+1:]
		}
		line := 0
		for _, x := range d.Varies {
			if x.Key == v.Key {
				line = x.Line
			}
		}
		k := inifile.Key{Name: key, Value: v.Value, Line: line, File: d.doc.File}
		i := slices.IndexFunc(doc.Sections, func(s *inifile.Section) bool { return s.Name == section })
		if i < 0 {
			kind, label, _ := strings.Cut(section, " ")
			doc.Sections = append(doc.Sections, &inifile.Section{File: d.doc.File, Name: section, Kind: kind, Label: label, Line: line, Keys: []inifile.Key{k}})
			continue
		}
		s := doc.Sections[i]
		doc.Sections[i] = overrideKeys(s, []inifile.Key{k}, s.File, s.Line)
	}
	s, err := decodeScenario(d.File, doc)
	if err != nil {
		return nil, err
	}
	s.Values = values
	return s, nil
}

// Read reads a file that has one variation, or takes the first of several.
func Read(file string) (*Scenario, error) {
	d, err := Open(file)
	if err != nil {
		return nil, err
	}
	return d.Scenario(d.Variations()[0])
}

// Label names a variation.
func Label(values []Value) string {
	var out []string
	for _, v := range values {
		out = append(out, v.Key+"="+v.Value)
	}
	if len(out) == 0 {
		return "-"
	}
	return strings.Join(out, " ")
}

// String writes the scenario as one file, without includes and variations.
func (s *Scenario) String() string {
	var b strings.Builder
	for i, sec := range s.doc.Sections {
		if i > 0 {
			b.WriteByte('\n')
		}
		fmt.Fprintf(&b, "[%s]\n", sec.Name)
		for _, k := range sec.Keys {
			fmt.Fprintf(&b, "%s = %s\n", k.Name, quoted(k.Value))
		}
	}
	return b.String()
}

// quoted is a value as it may stand in a file.
func quoted(v string) string {
	if v == "" || strings.ContainsAny(v, "#;") {
		return strconv.Quote(v)
	}
	return v
}

// Sections names the sections of the document.
func (d *Doc) Sections() []string {
	var out []string
	for _, s := range d.doc.Sections {
		out = append(out, s.Name)
	}
	return out
}

// Without is the document without one section and the variations of it.
func (d *Doc) Without(section string) *Doc {
	out := &Doc{File: d.File, doc: &inifile.Doc{File: d.doc.File}}
	for _, s := range d.doc.Sections {
		if s.Name != section {
			out.doc.Sections = append(out.doc.Sections, s)
		}
	}
	prefix := strings.ReplaceAll(section, " ", ".") + "."
	for _, v := range d.Varies {
		if !strings.HasPrefix(v.Key, prefix) {
			out.Varies = append(out.Varies, v)
		}
	}
	return out
}

// WithoutKey is the document with one key back at its default.
func (d *Doc) WithoutKey(section, key string) *Doc {
	out := &Doc{File: d.File, Varies: d.Varies, doc: &inifile.Doc{File: d.doc.File}}
	for _, s := range d.doc.Sections {
		if s.Name == section {
			c := *s
			c.Keys = slices.DeleteFunc(slices.Clone(s.Keys), func(k inifile.Key) bool { return k.Name == key })
			s = &c
		}
		out.doc.Sections = append(out.doc.Sections, s)
	}
	return out
}

// Keys are the keys that a section gives.
func (d *Doc) Keys(section string) []string {
	for _, s := range d.doc.Sections {
		if s.Name == section {
			var out []string
			for _, k := range s.Keys {
				out = append(out, k.Name)
			}
			return out
		}
	}
	return nil
}

// Fixed is the document with these values set for good.
func (d *Doc) Fixed(values []Value) (*Doc, error) {
	s, err := d.Scenario(values)
	if err != nil {
		return nil, err
	}
	return &Doc{File: d.File, doc: s.doc}, nil
}
