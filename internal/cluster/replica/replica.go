// Package replica combines the state machines of one control-plane process: the agreement on
// views (package consensus) and chain replication (package chain), with the state that both must
// keep on disk. It defines the order of effects: the messages and results of a step may be sent
// only once the record of that step, and all records before it, are synced. The package does no
// I/O and reads no clock. A violated invariant panics with the values that violate it.
package replica

import (
	"saddleport/internal/cluster/antientropy"
	"saddleport/internal/cluster/chain"
	"saddleport/internal/cluster/consensus"
	"saddleport/internal/cluster/envelope"
	"saddleport/internal/cluster/views"
)

// Config tunes the state machines.
type Config struct {
	Chain     chain.Config
	Consensus consensus.Config
	Repair    antientropy.Config // SweepInterval 0: no repair beyond that of the chain itself
}

const millisecond = int64(1000)

// DefaultConfig returns the production configuration: a failed machine is detected within 2 s, and
// the chain is reconfigured well within an operator's timeout of 6 s. faults is the number of
// machines that may fail at once.
func DefaultConfig(faults int) Config {
	return Config{
		Repair: antientropy.Config{RepairInterval: 2000 * millisecond, SweepInterval: 1000 * millisecond, MaxTracked: 64},
		Chain:  chain.Config{RetryInterval: 500 * millisecond, SuspectTimeout: 1200 * millisecond, CallTimeout: 5000 * millisecond},
		Consensus: consensus.Config{HeartbeatInterval: 500 * millisecond, FailureTimeout: 1800 * millisecond, SuspicionTimeout: 4000 * millisecond, RejoinDelay: 1000 * millisecond,
			ProposerStagger: 1000 * millisecond, BallotTimeout: 800 * millisecond, MinViewAge: 800 * millisecond, Voters: 2*faults + 1, MaxLearners: 16},
	}
}

// Output is the result of a step. Persist, if not nil, must be synced before Send and Results are
// delivered.
type Output struct {
	Persist *Record
	Send    []envelope.Message
	Results []chain.Result
}

// Machine is the replicated state machine of one control-plane process. It is not safe for
// concurrent use.
type Machine struct {
	Consensus     *consensus.Machine
	Chain         *chain.Machine
	cfg           Config
	lastSuspectAt int64
	repairs       *antientropy.Repairer
}

// New returns the machine of a process whose disk stores a record. The nonce distinguishes its
// calls from those that it made before a restart.
func New(now int64, cfg Config, record Record, seeds []string, nonce string, mutations chain.Mutations) *Machine {
	machine := &Machine{cfg: cfg, repairs: antientropy.New(cfg.Repair), Chain: chain.New(cfg.Chain, record.State.Self, record.currentEntry(), nonce, mutations)}
	machine.Consensus = consensus.New(now, cfg.Consensus, record.State, seeds, machine.Chain, mutations)
	return machine
}

// Step handles a message.
func (r *Machine) Step(now int64, msg envelope.Message) Output {
	self := r.Consensus.Self
	switch {
	case msg.To.DiskID != "" && msg.To != self: // addressed to a disk that this machine no longer has
		r.Consensus.HandleMisaddressed(msg.From)
	case chain.IsChainMessage(msg.Body):
		if msg.From != self {
			r.Consensus.ObserveChainMessage(now, msg)
		}
		r.Chain.Step(now, msg)
		for _, stale := range r.Chain.TakeStaleReplicas() {
			r.repair(now, stale.Member, stale.Viewstamp)
		}
	default:
		r.Consensus.Step(now, msg)
	}
	return r.drainOutput(now)
}

// Tick handles timeouts and periodic work. It must be called several times per heartbeat interval.
func (r *Machine) Tick(now int64) Output {
	r.Chain.Tick(now)
	r.reportSuspect(now)
	r.Consensus.Tick(now)
	r.sweep(now)
	return r.drainOutput(now)
}

// reportSuspect informs all members of one that makes no progress. A member that is known to store
// the version that was forwarded to it is not reported: it is itself waiting for another member.
func (r *Machine) reportSuspect(now int64) {
	suspect, found := r.Chain.TakeSuspect()
	if !found || now-r.lastSuspectAt < r.cfg.Consensus.HeartbeatInterval {
		return
	}
	viewstamp, alive := r.Consensus.LastHeard(now, suspect.Member)
	if suspect.MissingVersion == 0 || !alive || viewstamp.Version < suspect.MissingVersion {
		r.lastSuspectAt = now
		r.Consensus.Suspect(now, suspect.Member)
	}
}

// repair sends an outdated replica the entry that is stored here, if that is acknowledged and repair
// is enabled.
func (r *Machine) repair(now int64, member views.Member, viewstamp views.Viewstamp) {
	own := r.Chain.Stored()
	if r.cfg.Repair.SweepInterval > 0 && r.Chain.Acknowledged() >= own.Version && r.repairs.ShouldRepair(now, member.String(), viewstamp.Version, own.Version) {
		r.Chain.Repair(member)
	}
}

// sweep makes the head check one replica after another, learners included. Outdated replicas that
// are outside the chain or that no read has asked are found in no other way.
func (r *Machine) sweep(now int64) {
	v := r.Chain.View()
	if r.cfg.Repair.SweepInterval == 0 || v.Head() != r.Consensus.Self || r.Chain.Sealed() {
		return
	}
	replicas := make(map[string]views.Member, len(v.Members))
	names := make([]string, 0, len(v.Members))
	for _, x := range append(r.Consensus.Learners(now), v.Members...) {
		if x != r.Consensus.Self {
			replicas[x.String()] = x
			names = append(names, x.String())
		}
	}
	if name, due := r.repairs.Sweep(now, names); due {
		if viewstamp, alive := r.Consensus.LastHeard(now, replicas[name]); alive {
			r.repair(now, replicas[name], viewstamp)
		}
	}
}

// RepairStats returns the counters of sweeps and repairs.
func (r *Machine) RepairStats() antientropy.Stats { return r.repairs.Stats() }

// Put requests that a configuration be acknowledged. The Result under the returned id is part of
// this Output or of a later one.
func (r *Machine) Put(now int64, e chain.Entry) (string, Output) {
	id := r.Chain.Put(now, e)
	return id, r.drainOutput(now)
}

// Get requests the newest acknowledged configuration. Its Result is returned as that of Put.
func (r *Machine) Get(now int64) (string, Output) {
	id := r.Chain.Get(now)
	return id, r.drainOutput(now)
}

// StartLeave makes this machine hand over its vote. HasLeft reports when it has done so.
func (r *Machine) StartLeave(now int64) Output {
	r.Consensus.StartLeave()
	return r.Tick(now)
}

// HasLeft reports whether this process may end without weakening the control plane.
func (r *Machine) HasLeft(now int64) bool { return r.Consensus.HasLeft(now) }

// drainOutput collects the output of both state machines. Messages of this process to itself are
// delivered at once.
func (r *Machine) drainOutput(now int64) (out Output) {
	for {
		msgs, results := r.Chain.TakeOutput()
		out.Results = append(out.Results, results...)
		msgs = append(msgs, r.Consensus.TakeMessages()...)
		if len(msgs) == 0 {
			break
		}
		for _, msg := range msgs {
			if msg.To == r.Consensus.Self {
				r.Chain.Step(now, msg)
			} else {
				out.Send = append(out.Send, msg)
			}
		}
	}
	entry, epoch := r.Chain.TakeChanges()
	state := r.Consensus.TakeChanged()
	if entry || epoch || state {
		stored := r.Chain.Stored()
		out.Persist = &Record{State: r.Consensus.State, StoredEpoch: stored.Epoch}
		if entry {
			out.Persist.Entry = &stored
		}
	}
	return out
}
