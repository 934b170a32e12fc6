package measure

// Separation is a failure that separates processes for longer than the failure detector takes to
// report a death, so that each side records the other as dead.
type Separation string

// The kinds of separation.
const (
	ControlPlaneLost     Separation = "control plane lost"               // all its processes end, and restart without knowing any peer
	ControlPlaneShutDown Separation = "control plane shut down in order" // each process announces that it leaves
	ControlPlaneCutOff   Separation = "control plane cut off"            // from all agents; both sides keep running
	AgentsRestarted      Separation = "control plane lost, agents too"   // agents are restarted one by one while the control plane is down
	SeedsGone            Separation = "control plane back without seeds" // the machines that the settings name as seeds stay down
	ZonesCutApart        Separation = "zones cut into two halves"
)

// Separations lists all kinds of separation.
var Separations = []Separation{ControlPlaneLost, ControlPlaneShutDown, ControlPlaneCutOff, AgentsRestarted, SeedsGone, ZonesCutApart}

const (
	seedCount      = 3        // the first processes are the seeds
	restartStagger = 300 * ms // between two agents that are restarted
	restartPause   = 100 * ms // from the end of a process to its next start
	shutDownPause  = 400 * ms // for the last calls of a process that leaves
)

// separate simulates a separation and returns at its end.
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
		w.isCut = func(p, q *proc) bool { return p.isCore() != q.isCore() }
		w.until(end, nil)
		w.isCut = nil
	case ZonesCutApart:
		half := w.plan.Zones / 2
		w.isCut = func(p, q *proc) bool { return (p.zone < half) != (q.zone < half) }
		w.until(end, nil)
		w.isCut = nil
	}
}

func (p *proc) isCore() bool { return p.i < p.w.plan.cores() }

// kill ends processes without an announcement.
func kill(procs []*proc) {
	for _, p := range procs {
		p.up = false
		p.incarnation++
		p.w.killed[p.addr] = true
	}
}

func start(procs []*proc) {
	for _, p := range procs {
		p.start()
	}
}

// everyoneKnown reports whether every process that is up knows all others that are up, and no
// other process.
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
