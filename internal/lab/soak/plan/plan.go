// Package plan says what a soak plays: how many processes, how many changes a second, and which
// faults strike which machines when. A plan is drawn from a seed or read from a TOML file; the
// same plan is played again by the file that it prints. It starts nothing.
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

// Kind is what a fault does.
type Kind string

// The faults. Each strikes all machines that it names at the same moment.
const (
	Terminate Kind = "terminate"   // SIGTERM; the process starts again once it has ended
	Kill      Kind = "kill"        // SIGKILL; the process starts again after ForS
	Reload    Kind = "reload"      // SIGHUP, after the settings file was written anew
	Freeze    Kind = "freeze"      // SIGSTOP, and SIGCONT after ForS
	Wipe      Kind = "wipe"        // SIGKILL; the data directory is empty at the next start, after ForS
	Cut       Kind = "cut"         // no bytes pass between the machines named and all others for ForS
	CutOneWay Kind = "cut-one-way" // the machines named hear nobody; what they say arrives
)

// Kinds lists all faults.
var Kinds = []Kind{Terminate, Kill, Reload, Freeze, Wipe, Cut, CutOneWay}

// Fault is one entry of a plan.
type Fault struct {
	AtS      float64  `toml:"at_s"` // seconds from the start of traffic
	Kind     Kind     `toml:"kind"`
	Machines []string `toml:"machines"`          // by name, as in core-1 or front-2
	Program  string   `toml:"program,omitempty"` // proxy or agent: only that one of a front machine
	ForS     float64  `toml:"for_s,omitempty"`   // seconds that it lasts
}

// Plan is what one run plays.
type Plan struct {
	Seed     uint64  `toml:"seed"`
	LengthS  float64 `toml:"length_s"` // seconds of traffic
	Cores    int     `toml:"cores"`    // control-plane machines
	Fronts   int     `toml:"fronts"`   // machines with a proxy and its agent
	Zones    int     `toml:"zones"`
	Changes  float64 `toml:"changes"`  // of the configuration, a second
	Routes   int     `toml:"routes"`   // of a configuration beside those that are followed
	Requests float64 `toml:"requests"` // a second, to each proxy
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

// Errors of plans. Each is returned with the field that is wrong.
var (
	ErrPlan   = errors.New("plan")
	ErrLength = fmt.Errorf("%w: length_s: more than 0 s and at most %v", ErrPlan, MaxLength)
)

// Core names a control-plane machine, from 1.
func Core(i int) string { return fmt.Sprint("core-", i) }

// Front names a machine with a proxy and its agent, from 1.
func Front(i int) string { return fmt.Sprint("front-", i) }

// IsCore reports whether a machine runs a control-plane process.
func IsCore(machine string) bool { return strings.HasPrefix(machine, "core-") }

// Cores and fronts as lists.
func (p *Plan) CoreMachines() []string { return names(Core, p.Cores) }

// FrontMachines lists the machines with a proxy and its agent.
func (p *Plan) FrontMachines() []string { return names(Front, p.Fronts) }

func names(name func(int) string, n int) (out []string) {
	for i := range n {
		out = append(out, name(i+1))
	}
	return out
}

// Processes counts the processes of a plan.
func (p *Plan) Processes() int { return p.Cores + 2*p.Fronts }

// Length is the time of traffic.
func (p *Plan) Length() time.Duration { return time.Duration(p.LengthS * float64(time.Second)) }

// Validate returns what is wrong with a plan, by field.
func (p *Plan) Validate() error {
	switch {
	case p.LengthS <= 0 || p.Length() > MaxLength:
		return ErrLength
	case p.Cores < 1 || p.Fronts < 1:
		return fmt.Errorf("%w: cores, fronts: at least 1 each", ErrPlan)
	case p.Processes() > MaxProcesses:
		return fmt.Errorf("%w: cores, fronts: %d processes, and %d at most", ErrPlan, p.Processes(), MaxProcesses)
	case p.Zones < 1 || p.Zones > 9:
		return fmt.Errorf("%w: zones: 1 to 9", ErrPlan)
	case p.Changes <= 0 || p.Changes > maxChanges:
		return fmt.Errorf("%w: changes: more than 0 and at most %d a second", ErrPlan, maxChanges)
	case p.Routes < 0 || p.Routes > maxRoutes:
		return fmt.Errorf("%w: routes: 0 to %d", ErrPlan, maxRoutes)
	case p.Requests <= 0 || p.Requests > maxRequests:
		return fmt.Errorf("%w: requests: more than 0 and at most %d a second", ErrPlan, maxRequests)
	case len(p.Faults) > maxFaults:
		return fmt.Errorf("%w: faults: %d at most", ErrPlan, maxFaults)
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
		return fmt.Errorf("kind: %q is none of %v", f.Kind, Kinds)
	case f.AtS < 0 || f.AtS > p.LengthS:
		return fmt.Errorf("at_s: %v is not within the run", f.AtS)
	case f.ForS < 0 || f.ForS > p.LengthS:
		return fmt.Errorf("for_s: %v is not within the run", f.ForS)
	case len(f.Machines) == 0:
		return errors.New("machines: none")
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

// Write prints the plan as Read takes it.
func (p *Plan) Write(w io.Writer) error { return toml.NewEncoder(w).Encode(p) }

const (
	firstFaultS = 6.0  // seconds before the first fault
	lastFaultS  = 12.0 // seconds without a fault at the end: all is judged in calm
	calmMinS    = 9.0  // seconds between two series of faults, so that machines come in touch
	calmMaxS    = 14.0
	seriesMost  = 4   // faults of a series
	overlapMaxS = 3.0 // seconds between two faults of a series
	faultMinS   = 0.2 // seconds that a fault lasts: as often 0.2 to 2 as 2 to 20, for time-outs are of all sizes
	faultMaxS   = 20.0
)

// Draw fills a plan with faults from its seed: series that overlap, and calm between them.
func (p *Plan) Draw() {
	rng := rand.New(rand.NewPCG(p.Seed, 53))
	at := firstFaultS + 4*rng.Float64()
	for at < p.LengthS-lastFaultS {
		end, wiped := at, false
		for range 1 + rng.IntN(seriesMost) {
			fault := p.drawFault(rng, at, rng.IntN(seriesMost) == 0)
			if fault.Kind == Wipe && wiped { // one disk may be lost at a time
				fault.Kind = Kill
			}
			wiped = wiped || fault.Kind == Wipe
			if limit := p.LengthS - lastFaultS; fault.AtS+fault.ForS > limit {
				fault.ForS = max(limit-fault.AtS, 0)
			}
			p.Faults = append(p.Faults, fault)
			end = max(end, fault.AtS+fault.ForS)
			if at += overlapMaxS * rng.Float64(); at >= p.LengthS-lastFaultS {
				break
			}
		}
		at = end + calmMinS + (calmMaxS-calmMinS)*rng.Float64()
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int {
		if a.AtS < b.AtS {
			return -1
		}
		return 1
	})
}

// drawFault draws one fault; large: it strikes a whole class.
func (p *Plan) drawFault(rng *rand.Rand, at float64, large bool) Fault {
	f := Fault{AtS: round(at), ForS: round(faultMinS * math.Pow(faultMaxS/faultMinS, rng.Float64()))}
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
