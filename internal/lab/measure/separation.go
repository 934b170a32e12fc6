package measure

// Separation is a way in which processes lose each other for longer than it takes until a
// death is reported, so that each side believes the other dead.
type Separation string

// The separations.
const (
	ControlPlaneLost     Separation = "control plane lost"               // all its processes, which come back knowing nobody
	ControlPlaneShutDown Separation = "control plane shut down in order" // each process announces its end
	ControlPlaneCutOff   Separation = "control plane cut off"            // from all agents
	AgentsRestarted      Separation = "control plane lost, agents too"   // agents are restarted one by one while it is away
	SeedsGone            Separation = "control plane back without seeds" // the machines that the settings name stay away
	ZonesCutApart        Separation = "zones cut into two halves"
)

// Separations lists all of them.
var Separations = []Separation{ControlPlaneLost, ControlPlaneShutDown, ControlPlaneCutOff, AgentsRestarted, SeedsGone, ZonesCutApart}

const (
	seedCount      = 3        // the first processes
	restartStagger = 300 * ms // between two agents that are restarted
	restartPause   = 100 * ms // from the end of a process to its next start
	shutDownPause  = 400 * ms // for the last calls of a process that ends
)

// separate plays a separation and returns at its end.
func (w *gossipWorld) separate(separation Separation, span int64) {
	end := w.now + span
	cores, agents := w.procs[:w.plan.cores()], w.procs[w.plan.cores():]
	switch separation {
	case ControlPlaneLost:
		kill(cores)
		w.until(end, nil)
		start(cores)
	case ControlPlaneShutDown:
		for _, p := range cores {
			p.members.AnnounceLeave(w.now)
			p.flush()
		}
		w.until(w.now+shutDownPause, nil)
		kill(cores)
		w.until(end, nil)
		start(cores)
	case AgentsRestarted:
		kill(cores)
		for i, p := range agents {
			at := int64(i) * restartStagger
			w.after(at, func() { kill([]*proc{p}) })
			w.after(at+restartPause, p.start)
		}
		w.until(max(end, w.now+int64(len(agents)+1)*restartStagger), nil)
		start(cores)
	case SeedsGone:
		kill(cores)
		w.until(end, nil)
		start(cores[seedCount:])
	case ControlPlaneCutOff:
		w.cut = func(p, q *proc) bool { return p.isCore() != q.isCore() }
		w.until(end, nil)
		w.cut = nil
	case ZonesCutApart:
		half := w.plan.Zones / 2
		w.cut = func(p, q *proc) bool { return (p.zone < half) != (q.zone < half) }
		w.until(end, nil)
		w.cut = nil
	}
}

func (p *proc) isCore() bool { return p.i < p.w.plan.cores() }

// kill ends processes without a word.
func kill(procs []*proc) {
	for _, p := range procs {
		p.up = false
		p.life++
		p.w.killed[p.addr] = true
	}
}

func start(procs []*proc) {
	for _, p := range procs {
		p.start()
	}
}

// everyoneKnown reports whether every process that is up knows every other one, and no more.
func (w *gossipWorld) everyoneKnown() bool {
	live := 0
	for _, p := range w.procs {
		if p.up {
			live++
		}
	}
	for _, p := range w.procs {
		if !p.up {
			continue
		}
		peers := p.members.Peers("")
		if len(peers) != live-1 {
			return false
		}
		for _, peer := range peers {
			if !w.byAddr[peer.Addr].up {
				return false
			}
		}
	}
	return true
}
