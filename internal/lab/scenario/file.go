// Package scenario reads scenarios: INI files that describe the fleet, the load and the faults
// of a run, with their variations. It expands a scenario into a plan, which both drivers run.
// Values out of range must never reach a driver: they are errors with file and line, so that a
// run can't hang on them.
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
	Length         time.Duration `ini:"length" default:"60s" range:"1s..24h" help:"how long load is generated"`
	Warmup         time.Duration `ini:"warmup" default:"5s" range:"0s..1h" help:"at the start of the load; requests due then are not counted in goodput and latencies, but the rules apply"`
	Seed           int           `ini:"seed" default:"1" range:"0..2000000000"`
	Repeats        int           `ini:"repeats" default:"1" range:"1..10000" help:"number of seeds in a sweep, starting at seed"`
	Rate           float64       `ini:"rate" default:"1" range:"0.001..1000" help:"factor on the rates of all classes"`
	OverQuotaValue float64       `ini:"over-share-worth" default:"1" range:"0..1" help:"value of a query above its tenant's quota, as a share of its normal value"`
}

// Proxies is the section [mixers].
type Proxies struct {
	Count       int           `ini:"count" default:"2" range:"1..1000"`
	Cores       float64       `ini:"cores" default:"1" range:"0.05..64" help:"real driver only"`
	Memory      inifile.Bytes `ini:"memory" default:"192MiB" range:"16MiB..16GiB" help:"real driver only: memory limit"`
	Sockets     int           `ini:"sockets" default:"1024" range:"64..65536" help:"real driver only"`
	DetectDelay time.Duration `ini:"notice" default:"2s" range:"0s..1m" help:"until the load balancer notices that a proxy has died"`
	StartDelay  time.Duration `ini:"boot" default:"500ms" range:"0s..1m" help:"until a started proxy is ready"`
}

// Settings is the section [settings]: the proxies' settings from the platform.
type Settings struct {
	Resolution       time.Duration `ini:"resolution" default:"5ms" range:"100us..1s" help:"minimum time between two batches"`
	AttemptCap       int           `ini:"send-cap" default:"4" range:"1..16" help:"maximum attempts for a part"`
	ParallelAttempts bool          `ini:"parallel-tries" default:"no" help:"two attempts for a part may be in flight at once"`
	Cancel           bool          `ini:"cancel" default:"yes"`
	Keepalive        time.Duration `ini:"keepalive" default:"15s" range:"100ms..1h"`
	Dial             time.Duration `ini:"dial-timeout" default:"250ms" range:"1ms..1m"`
	MaxRetryAfter    time.Duration `ini:"max-retry-after" default:"2s" range:"0s..1m"`
	MaxInFlight      int           `ini:"most-held" default:"20000" range:"0..10000000"`
	MaxPartsPerCall  int           `ini:"bundle-max" default:"1" range:"1..64"`
	CallWork         time.Duration `ini:"per-call-work" default:"0s" range:"0s..10s" help:"work of a call at a server, in addition to its parts"`
	PollInterval     time.Duration `ini:"look" default:"0s" range:"0s..1m" help:"lists are pushed to an agent on the proxy's machine, which the proxy polls this often (virtual driver); 0s: proxies fetch lists themselves"`
	DrainGrace       time.Duration `ini:"drain-grace" default:"2s" range:"0s..1m"`
	AskWithin        time.Duration `ini:"ask-within" default:"10s" range:"100ms..10m"`
}

// Group is the section [fleet], and a section [group NAME] for further servers in each cell.
type Group struct {
	Name             string
	Cells            int           `ini:"cells" default:"4" range:"1..20000" help:"[fleet] only: shard s is stored in cells s to s+width-1, modulo cells"`
	Width            int           `ini:"width" default:"1" range:"1..16" help:"[fleet] only"`
	Shards           int           `ini:"shards" default:"24" range:"1..1000000" help:"[fleet] only"`
	Replicas         int           `ini:"replicas" default:"3" range:"0..64" help:"servers per cell"`
	Cores            int           `ini:"cores" default:"4" range:"1..1024"`
	Speed            float64       `ini:"speed" default:"1" range:"0.01..100" help:"speed of each core"`
	SpeedSpread      float64       `ini:"speed-spread" default:"0" range:"0..0.9" help:"each server's speed is multiplied by a random factor within 1 plus or minus this"`
	Slots            int           `ini:"slots" default:"0" range:"0..100000" help:"parts in service at once; 0: as many as cores"`
	QueueLimit       int           `ini:"room" default:"64" range:"0..1000000" help:"parts in the queue; further ones are rejected"`
	Queue            string        `ini:"queue" default:"fifo" oneof:"fifo lifo random shortest fair"`
	Knee             int           `ini:"knee" default:"0" range:"0..1000000" help:"number of pending parts above which the server works slower; 0: never"`
	KneeLoss         float64       `ini:"loss" default:"1" range:"0..100" help:"with twice knee parts pending the server works 1/(1+loss) as fast"`
	CancelsRunning   bool          `ini:"stops-given-up" default:"no" help:"cancelled parts in service stop"`
	Handshake        time.Duration `ini:"handshake" default:"1ms" range:"0s..1s" help:"work of a new connection"`
	Site             string        `ini:"site" help:"empty: replicas are spread over the sites in turn"`
	KeyGain          float64       `ini:"key-gain" default:"0" range:"0..0.95" help:"share of the work saved for a part whose key is cached"`
	KeyTTL           time.Duration `ini:"key-for" default:"5s" range:"1ms..1h"`
	MaxKeys          int           `ini:"key-most" default:"200" range:"1..1000000" help:"keys that a server caches"`
	SlowStartShare   float64       `ini:"cold-share" default:"0.16" range:"0.01..1" help:"share of its capacity that a server has after a start"`
	SlowStartTime    time.Duration `ini:"cold-time" default:"18s" range:"0s..1h" help:"until the server has warmed up; 0s: at once"`
	SlowStartParts   int           `ini:"cold-work" default:"0" range:"0..1000000000" help:"or after this number of parts; 0: by time alone"`
	OverloadMultiple float64       `ini:"cold-multiple" default:"2" range:"0..1000" help:"a server that is sent more than this multiple of its capacity while it warms up crashes; 0: never"`
	OverloadWindow   time.Duration `ini:"cold-window" default:"2s" range:"1ms..1m" help:"period for cold-multiple"`
	OverloadDowntime time.Duration `ini:"cold-down" default:"3s" range:"1ms..1h" help:"until the server restarts after such a crash"`
}

// Network is the section [network].
type Network struct {
	Sites  []string      `ini:"sites" default:"amman" help:"proxies, clients and replicas are spread over them"`
	Local  time.Duration `ini:"local" default:"200us" range:"0s..10s" help:"one-way delay within a site"`
	Far    time.Duration `ini:"far" default:"2ms" range:"0s..10s" help:"one-way delay between sites"`
	Jitter time.Duration `ini:"jitter" default:"50us" range:"0s..10s" help:"mean of an exponential delay that is added"`
	Loss   float64       `ini:"loss" default:"0" range:"0..0.5" help:"share of messages that are delayed by 200 ms or more, as a packet loss delays TCP"`
}

// Link is a section [link A B], which describes one network path.
type Link struct {
	From, To string
	Delay    time.Duration `ini:"delay" default:"2ms" range:"0s..10s"`
	Jitter   time.Duration `ini:"jitter" default:"50us" range:"0s..10s"`
	Loss     float64       `ini:"loss" default:"0" range:"0..0.5"`
	Both     bool          `ini:"both" default:"yes" help:"in both directions"`
}

// Clients is the section [clients].
type Clients struct {
	Retries           int           `ini:"retries" default:"2" range:"0..100" help:"maximum retries after a rejection"`
	Backoff           time.Duration `ini:"pause" default:"200ms" range:"0s..1m" help:"before the next attempt, without Retry-After"`
	BackoffFactor     float64       `ini:"grow" default:"2" range:"0..10" help:"factor from one pause to the next"`
	Jitter            float64       `ini:"spread" default:"0.5" range:"0..10" help:"pauses are extended by up to this share, at random"`
	AdviceShare       float64       `ini:"heed" default:"1" range:"0..1" help:"share of clients that wait as long as Retry-After says"`
	MarkRetries       bool          `ini:"mark" default:"yes" help:"retries are marked as such"`
	RetryAfterFailure bool          `ini:"retry-failed" default:"no" help:"requests of safe classes are retried after failures too"`
	MinTimeLeft       time.Duration `ini:"least-left" default:"50ms" range:"0s..1m" help:"clients with less time left do not retry"`
	Conns             int           `ini:"connections" default:"256" range:"1..10000" help:"real driver only: idle connections kept to a proxy"`
}

// Class is a section [class NAME].
type Class struct {
	Name           string
	Rate           float64       `ini:"rate" default:"50" range:"0.001..1000000" help:"queries per second, Poisson"`
	Trace          string        `ini:"trace" help:"used instead of rate: a file with the time of each query in seconds"`
	Parts          int           `ini:"parts" default:"4" range:"1..4096"`
	MaxParts       int           `ini:"parts-most" default:"0" range:"0..4096" help:"the number of parts is drawn between parts and this; 0: always parts"`
	Contiguous     bool          `ini:"row" default:"no" help:"the shards of a query have consecutive numbers"`
	Keys           int           `ini:"keys" default:"0" range:"0..10000000" help:"number of keys that queries are about; a key always needs the same shards; 0: queries have no key"`
	KeyZipf        float64       `ini:"key-zipf" default:"0.6" range:"0..3"`
	Work           string        `ini:"work" default:"lognormal 8ms 0.5" help:"work of a part: fixed, exp, lognormal, gamma, pareto, empirical"`
	Sigma          float64       `ini:"query-sigma" default:"0" range:"0..3" help:"sigma of the logarithm of a factor that all parts of a query share"`
	Zipf           float64       `ini:"zipf" default:"0" range:"0..3" help:"skew of the shards' popularity; 0: uniform"`
	UnequalWeights bool          `ini:"weights-differ" default:"no"`
	LatencyTarget  time.Duration `ini:"aim" default:"500ms" range:"1ms..10m"`
	Timeout        time.Duration `ini:"patience" default:"2s" range:"10ms..10m" help:"client timeout over all attempts"`
	LeaveShare     float64       `ini:"impatient" default:"0" range:"0..1" help:"share of clients that disconnect before that"`
	LeaveAfter     string        `ini:"leave" default:"exp 500ms" help:"when those disconnect, after their first attempt"`
	Effect         string        `ini:"effect" default:"free" oneof:"free guarded single_shot"`
	DedupWindow    time.Duration `ini:"memory-span" default:"5s" range:"0s..10m" help:"guarded: how long repeated executions are suppressed"`
	RequiredShare  float64       `ini:"need" default:"1" range:"0.01..1"`
	MinShare       float64       `ini:"floor" default:"1" range:"0.01..1"`
	PartialValue   float64       `ini:"partial-earns" default:"0.9" range:"0..1"`
	LateValue      float64       `ini:"late-worth" default:"0.1" range:"0..1"`
	Value          float64       `ini:"value" default:"1" range:"0..1000000"`
}

// Load is the section [load].
type Load struct {
	Curve string `ini:"curve" help:"SPAN:FACTOR, SPAN:FACTOR ...: factor on all rates over time, linear in between"`
}

// Burst is a section [burst NAME].
type Burst struct {
	Name   string
	At     time.Duration `ini:"at" need:"yes" range:"0s..24h"`
	For    time.Duration `ini:"for" need:"yes" range:"1ms..24h"`
	Factor float64       `ini:"factor" default:"2" range:"0..1000"`
	Class  string        `ini:"class" help:"empty: all classes"`
	Tenant string        `ini:"tenant" help:"empty: all tenants"`
}

// Tenant is a section [tenant NAME]: one of the customers that share the proxies.
type Tenant struct {
	Name  string
	Usage float64 `ini:"usage" default:"1" range:"0.0001..1000000" help:"weight in the load, relative to the other tenants"`
	Quota float64 `ini:"quota" default:"0" range:"0..1000000" help:"queries per second; 0: unlimited"`
	Share float64 `ini:"share" default:"0" range:"0..1" help:"fraction in the proxies' settings"`
}

// List is the section [list]: the discovery service.
type List struct {
	Lag         time.Duration `ini:"lag" default:"1s" range:"0s..10m"`
	Jitter      time.Duration `ini:"jitter" default:"200ms" range:"0s..1m"`
	DetectDelay time.Duration `ini:"notice" default:"3s" range:"0s..10m" help:"until the end of a process is noticed"`
}

// Source is a section [source NAME]: the behaviour of one of the [members] sources. Its name
// is that of the section in the operator file: list, consul, dns.
type Source struct {
	Name          string
	Lag           time.Duration `ini:"lag" default:"500ms" range:"0s..10m" help:"from a change to its publication"`
	Jitter        time.Duration `ini:"jitter" default:"100ms" range:"0s..1m" help:"mean of an exponential delay that is added"`
	DetectDelay   time.Duration `ini:"notice" default:"3s" range:"0s..10m" help:"until the end of a process is noticed"`
	TTL           time.Duration `ini:"ttl" default:"2s" range:"1s..1h" help:"dns: lifetime of a record"`
	KeepsEnded    bool          `ini:"checks" default:"no" help:"a process that has ended stays listed, as critical"`
	ReportsDrains bool          `ini:"drains" default:"yes" help:"the source reports drains"`
	Wait          time.Duration `ini:"wait" default:"2s" range:"100ms..1m" help:"consul: duration of a blocking query"`
}

// Fault is a section [fault NAME].
type Fault struct {
	Name      string
	Do        string        `ini:"do" need:"yes" oneof:"die vanish hang slow fail busy pause drain release cut list-late list-lie list-silent list-down list-empty list-reset list-cell dns-truncate dns-junk sources kill-mixer restart-mixer"`
	At        time.Duration `ini:"at" need:"yes" range:"0s..24h"`
	For       time.Duration `ini:"for" default:"0s" range:"0s..24h" help:"0s: until the end of the run"`
	Every     time.Duration `ini:"every" default:"0s" range:"0s..24h" help:"interval between repetitions; 0s: once"`
	Times     int           `ini:"times" default:"0" range:"0..1000000" help:"maximum number of repetitions; 0: until the end of the run"`
	Chance    float64       `ini:"chance" default:"1" range:"0..1" help:"probability that each repetition happens"`
	Targets   string        `ini:"who" default:"all" help:"servers: all, server NAME, cell N, shard N, site NAME, group NAME; mixers: all, mixer N; cut: SITE SITE"`
	Share     float64       `ini:"share" default:"1" range:"0..1" help:"share of these that is affected, drawn again for each repetition"`
	Stagger   time.Duration `ini:"apart" default:"0s" range:"0s..1h" help:"delay between one affected target and the next"`
	Class     string        `ini:"class" help:"hang, fail: affected class; empty: all"`
	PartShare float64       `ini:"parts" default:"1" range:"0..1" help:"hang, fail: affected share of the parts"`
	Factor    float64       `ini:"factor" default:"4" range:"1..10000" help:"slow: factor on the duration of work"`
	Warm      bool          `ini:"warm" default:"no" help:"die, vanish, release: the server restarts without slow start"`
	Both      bool          `ini:"both" default:"yes" help:"cut: in both directions"`
	Source    string        `ini:"source" help:"list-..., drain: affected source of [members]; empty: all"`
	SwitchTo  []string      `ini:"to" help:"sources: the sources in use during the fault, highest rank first"`
	Delay     time.Duration `ini:"extra" default:"3s" range:"0s..10m" help:"list-late: added delay; release: time from the drain to the end of the process"`
}

// Expect is the section [expect]. All rules of the judge are expected to hold in addition.
type Expect struct {
	MinGoodput      float64 `ini:"goodput-least" default:"0" range:"0..1"`
	MaxLevelChanges int     `ini:"level-changes-most" default:"0" range:"0..100000" help:"maximum for each proxy; 0: not checked"`
	MinBroken       int     `ini:"broken-least" default:"0" range:"0..1000000" help:"minimum number of violations that the judge must report, for scenarios that test the judge"`
}

// Scenario is a valid scenario in one of its variations.
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
	Sources  []Source // described by [source NAME] sections
	Faults   []Fault
	Expect   Expect

	// Values are the keys that this variation sets, in the order of the file.
	Values []Value
	doc    *inifile.Doc
}

// Value is one key that a variation sets.
type Value struct{ Key, Value string }

// Vary is one key of the section [vary].
type Vary struct {
	Key    string // SECTION.KEY; KEY alone is a key of [scenario]
	Values []string
	Line   int
}

// Bounds on the size of a scenario.
const (
	maxIncludes   = 16
	maxVariations = 10_000
)

// Doc is the document of a scenario with everything it includes, and its variations.
type Doc struct {
	File   string
	doc    *inifile.Doc
	Varies []Vary
}

// IsScenario reports whether a document is a scenario (and not a drill).
func IsScenario(doc *inifile.Doc) bool {
	return slices.ContainsFunc(doc.Sections, func(s *inifile.Section) bool {
		return s.Name == "scenario" || s.Name == "include"
	})
}

// Open reads a file and everything it includes.
func Open(file string) (*Doc, error) {
	doc, err := inifile.Read(file)
	if err != nil {
		return nil, err
	}
	return build(file, doc)
}

// Parse parses the text of a scenario. file is its name in errors; included files are relative
// to its directory.
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

// include merges the documents that a document includes with its own sections; the document's
// own keys override included ones.
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

// mergeSections adds sections to a document; their keys override those of existing sections.
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

// overrideKeys overrides keys of a section; later errors name the file of the overriding
// section.
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

// Variations returns all combinations of the values in [vary]. Without that section there is
// one variation, which sets nothing.
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

// Scenario returns the scenario with the given values set.
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

// Read reads the first variation of a file.
func Read(file string) (*Scenario, error) {
	d, err := Open(file)
	if err != nil {
		return nil, err
	}
	return d.Scenario(d.Variations()[0])
}

// Label returns a name for a variation.
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

// String returns the scenario as one file, without includes and variations.
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

// quoted returns a value as it is written in a file.
func quoted(v string) string {
	if v == "" || strings.ContainsAny(v, "#;") {
		return strconv.Quote(v)
	}
	return v
}

// Sections returns the names of the document's sections.
func (d *Doc) Sections() []string {
	var out []string
	for _, s := range d.doc.Sections {
		out = append(out, s.Name)
	}
	return out
}

// Without returns the document without one section and the variations of its keys.
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

// WithoutKey returns the document with one key reset to its default.
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

// Keys returns the keys that a section sets.
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

// Fixed returns the document with these values set and without variations.
func (d *Doc) Fixed(values []Value) (*Doc, error) {
	s, err := d.Scenario(values)
	if err != nil {
		return nil, err
	}
	return &Doc{File: d.File, doc: s.doc}, nil
}
