// Package plan describes a run of the soak: the number of processes, the rate of changes, and which
// faults are injected on which machines at which time. A plan is generated from a seed or read from
// a TOML file. A run writes its plan, so that it can be repeated. The package starts no processes.
package plan

import (
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// Kind is the kind of a fault.
type Kind string

// The kinds of faults. A fault is injected on all machines that it names at the same time.
const (
	Terminate Kind = "terminate"   // SIGTERM; the process is restarted once it has ended
	Kill      Kind = "kill"        // SIGKILL; the process is restarted after ForS
	Reload    Kind = "reload"      // SIGHUP, after the settings file has been rewritten
	Freeze    Kind = "freeze"      // SIGSTOP, and SIGCONT after ForS
	Wipe      Kind = "wipe"        // SIGKILL; the process is restarted after ForS with an empty data directory
	Cut       Kind = "cut"         // no bytes pass between the named machines and all others for ForS
	CutOneWay Kind = "cut-one-way" // the named machines receive nothing from all others for ForS; what they send arrives
)

// Kinds lists all kinds of faults.
var Kinds = []Kind{Terminate, Kill, Reload, Freeze, Wipe, Cut, CutOneWay}

// Fault is one entry of a plan.
type Fault struct {
	AtS      float64  `toml:"at_s"` // seconds from the start of traffic
	Kind     Kind     `toml:"kind"`
	Machines []string `toml:"machines"`          // by name, such as core-1 or front-2
	Program  string   `toml:"program,omitempty"` // proxy or agent: only this program of a front machine; empty: all programs
	ForS     float64  `toml:"for_s,omitempty"`   // duration in seconds
}

// Plan describes one run.
type Plan struct {
	Seed     uint64  `toml:"seed"`
	LengthS  float64 `toml:"length_s"` // seconds of traffic
	Cores    int     `toml:"cores"`    // control-plane machines
	Fronts   int     `toml:"fronts"`   // machines that run a proxy and its agent
	Zones    int     `toml:"zones"`
	Changes  float64 `toml:"changes"`  // configuration changes per second
	Routes   int     `toml:"routes"`   // routes of a configuration in addition to those that clients request
	Requests float64 `toml:"requests"` // requests per second to each proxy
	Faults   []Fault `toml:"faults"`
}

// Limits of a plan.
const (
	MaxProcesses = 300
	MaxLength    = time.Hour
	maxChanges   = 50
	maxRoutes    = 2000
	maxRequests  = 500
	maxFaults    = 1000
)

// Errors of plans. Each is returned with the name of the invalid field.
var (
	ErrPlan   = errors.New("plan")
	ErrLength = fmt.Errorf("%w: length_s: more than 0 s and at most %v", ErrPlan, MaxLength)
)

// CoreName returns the name of the i-th control-plane machine, counted from 1.
func CoreName(i int) string { return fmt.Sprint("core-", i) }

// FrontName returns the name of the i-th machine with a proxy and its agent, counted from 1.
func FrontName(i int) string { return fmt.Sprint("front-", i) }

// IsCore reports whether a machine runs a control-plane process.
func IsCore(machine string) bool { return strings.HasPrefix(machine, "core-") }

// CoreMachines lists the machines with a control-plane process.
func (p *Plan) CoreMachines() []string { return machineNames(CoreName, p.Cores) }

// FrontMachines lists the machines with a proxy and its agent.
func (p *Plan) FrontMachines() []string { return machineNames(FrontName, p.Fronts) }

func machineNames(name func(int) string, n int) (out []string) {
	for i := range n {
		out = append(out, name(i+1))
	}
	return out
}

// Processes returns the number of processes of a plan.
func (p *Plan) Processes() int { return p.Cores + 2*p.Fronts }

// Length is the duration of the traffic.
func (p *Plan) Length() time.Duration { return time.Duration(p.LengthS * float64(time.Second)) }

// Validate returns an error that names the first invalid field of a plan, or nil.
func (p *Plan) Validate() error {
	switch {
	case p.LengthS <= 0 || p.Length() > MaxLength:
		return ErrLength
	case p.Cores < 1 || p.Fronts < 1:
		return fmt.Errorf("%w: cores, fronts: at least 1 of each", ErrPlan)
	case p.Processes() > MaxProcesses:
		return fmt.Errorf("%w: cores, fronts: %d processes exceed the maximum of %d", ErrPlan, p.Processes(), MaxProcesses)
	case p.Zones < 1 || p.Zones > 9:
		return fmt.Errorf("%w: zones: 1 to 9", ErrPlan)
	case p.Changes <= 0 || p.Changes > maxChanges:
		return fmt.Errorf("%w: changes: more than 0 and at most %d per second", ErrPlan, maxChanges)
	case p.Routes < 0 || p.Routes > maxRoutes:
		return fmt.Errorf("%w: routes: 0 to %d", ErrPlan, maxRoutes)
	case p.Requests <= 0 || p.Requests > maxRequests:
		return fmt.Errorf("%w: requests: more than 0 and at most %d per second", ErrPlan, maxRequests)
	case len(p.Faults) > maxFaults:
		return fmt.Errorf("%w: faults: at most %d", ErrPlan, maxFaults)
	}
	for i, fault := range p.Faults {
		if err := p.validateFault(fault); err != nil {
			return fmt.Errorf("%w: faults[%d].%w", ErrPlan, i, err)
		}
	}
	return nil
}

func (p *Plan) validateFault(f Fault) error {
	machines := append(p.CoreMachines(), p.FrontMachines()...)
	switch {
	case !slices.Contains(Kinds, f.Kind):
		return fmt.Errorf("kind: %q is not one of %v", f.Kind, Kinds)
	case f.AtS < 0 || f.AtS > p.LengthS:
		return fmt.Errorf("at_s: %v is not within the run", f.AtS)
	case f.ForS < 0 || f.ForS > p.LengthS:
		return fmt.Errorf("for_s: %v is not within the run", f.ForS)
	case len(f.Machines) == 0:
		return errors.New("machines: at least one is required")
	case f.Program != "" && f.Program != "proxy" && f.Program != "agent":
		return fmt.Errorf("program: %q is neither proxy nor agent", f.Program)
	}
	for _, machine := range f.Machines {
		if !slices.Contains(machines, machine) {
			return fmt.Errorf("machines: %q is no machine of the plan", machine)
		}
		if f.Kind == Wipe && !IsCore(machine) {
			return fmt.Errorf("machines: %q has no disk to wipe", machine)
		}
	}
	return nil
}

// Read reads a plan. Unknown keys are errors.
func Read(r io.Reader) (*Plan, error) {
	p := &Plan{}
	meta, err := toml.NewDecoder(r).Decode(p)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrPlan, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("%w: %s: not known", ErrPlan, unknown[0])
	}
	return p, p.Validate()
}

// Write writes the plan in the form that Read accepts.
func (p *Plan) Write(w io.Writer) error { return toml.NewEncoder(w).Encode(p) }

const (
	firstFaultS = 6.0  // seconds before the first fault
	lastFaultS  = 12.0 // seconds without a fault at the end, so that the end state is judged without faults
	minGapS     = 9.0  // seconds between two series of faults, so that the machines get in contact again
	maxGapS     = 14.0
	maxSeries   = 4   // maximum number of faults in a series
	maxOverlapS = 3.0 // maximum of seconds between the starts of two faults of a series
	minFaultS   = 0.2 // duration of a fault in seconds. It is log-uniform, as often 0.2 to 2 as 2 to 20, because timeouts are of all sizes.
	maxFaultS   = 20.0
)

// Generate adds faults to a plan, from its seed: series of overlapping faults, with a span without
// faults between two series.
func (p *Plan) Generate() {
	rng := rand.New(rand.NewPCG(p.Seed, 53))
	at := firstFaultS + 4*rng.Float64()
	for at < p.LengthS-lastFaultS {
		end, wiped := at, false
		for range 1 + rng.IntN(maxSeries) {
			fault := p.generateFault(rng, at, rng.IntN(maxSeries) == 0)
			if fault.Kind == Wipe && wiped { // at most one disk is lost in a series
				fault.Kind = Kill
			}
			wiped = wiped || fault.Kind == Wipe
			if limit := p.LengthS - lastFaultS; fault.AtS+fault.ForS > limit {
				fault.ForS = max(limit-fault.AtS, 0)
			}
			p.Faults = append(p.Faults, fault)
			end = max(end, fault.AtS+fault.ForS)
			if at += maxOverlapS * rng.Float64(); at >= p.LengthS-lastFaultS {
				break
			}
		}
		at = end + minGapS + (maxGapS-minGapS)*rng.Float64()
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int {
		if a.AtS < b.AtS {
			return -1
		}
		return 1
	})
}

// generateFault generates one fault. A large one applies to all machines of a class.
func (p *Plan) generateFault(rng *rand.Rand, at float64, large bool) Fault {
	f := Fault{AtS: round(at), ForS: round(minFaultS * math.Pow(maxFaultS/minFaultS, rng.Float64()))}
	class := p.FrontMachines()
	onCore := rng.IntN(2) == 0
	if onCore {
		class = p.CoreMachines()
	}
	f.Machines = []string{class[rng.IntN(len(class))]}
	if large {
		f.Machines = class
	}
	kinds := []Kind{Terminate, Kill, Reload, Freeze, Cut, CutOneWay}
	if onCore && !large {
		kinds = append(kinds, Wipe)
	}
	f.Kind = kinds[rng.IntN(len(kinds))]
	if !onCore && f.Kind != Cut && f.Kind != CutOneWay && rng.IntN(2) == 0 {
		f.Program = []string{"proxy", "agent"}[rng.IntN(2)]
	}
	if f.Kind == Terminate || f.Kind == Reload {
		f.ForS = 0
	}
	return f
}

func round(s float64) float64 { return float64(int(s*100)) / 100 }
