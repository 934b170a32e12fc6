// Package replica is the replicated state of one control-plane machine: the agreement on views
// (package consensus) and the chain under it (package chain), with what both must keep on
// disk. It owns the order of effects: what a step returns to be sent or answered may go out
// only once what it returns to be written, and all that was written before, is synced. It does
// no I/O and reads no clock. A broken invariant panics with the values that break it.
package replica

import (
	"saddleport/internal/cluster/antientropy"
	"saddleport/internal/cluster/chain"
	"saddleport/internal/cluster/consensus"
	"saddleport/internal/cluster/envelope"
	"saddleport/internal/cluster/views"
)

// Config tunes the machines.
type Config struct {
	Chain     chain.Config
	Consensus consensus.Config
	Repair    antientropy.Config // SweepInterval 0: no repair beyond what the chain does itself
}

const millisecond = int64(1000)

// DefaultConfig is the configuration for service: a loss is noticed within 2 s, and the chain
// is repaired well within an operator's timeout of 6 s. faults is the number of machines that
// may be lost at once.
func DefaultConfig(faults int) Config {
	return Config{
		Repair: antientropy.Config{RepairInterval: 2000 * millisecond, SweepInterval: 1000 * millisecond, MaxTracked: 64},
		Chain:  chain.Config{RetryInterval: 500 * millisecond, SuspectTimeout: 1200 * millisecond, CallTimeout: 5000 * millisecond},
		Consensus: consensus.Config{HeartbeatInterval: 500 * millisecond, FailureTimeout: 1800 * millisecond, SuspicionTimeout: 4000 * millisecond, RejoinDelay: 1000 * millisecond,
			ProposerStagger: 1000 * millisecond, BallotTimeout: 800 * millisecond, MinViewAge: 800 * millisecond, Voters: 2*faults + 1, MaxLearners: 16},
	}
}

// Output is the result of a step. Persist must be synced before Send and Results go out.
type Output struct {
	Persist *Record
	Send    []envelope.Message
	Results []chain.Result
}

// Machine is the replicated state of one control-plane machine. It is not safe for concurrent
// use.
type Machine struct {
	Consensus     *consensus.Machine
	Chain         *chain.Machine
	cfg           Config
	lastSuspectAt int64
	repairs       *antientropy.Repairer
}

// New returns a machine whose disk holds a record. The nonce distinguishes its calls from those
// that it made before a restart.
func New(now int64, cfg Config, record Record, seeds []string, nonce string, mutations chain.Mutations) *Machine {
	machine := &Machine{cfg: cfg, repairs: antientropy.New(cfg.Repair), Chain: chain.New(cfg.Chain, record.State.Self, record.currentEntry(), nonce, mutations)}
	machine.Consensus = consensus.New(now, cfg.Consensus, record.State, seeds, machine.Chain, mutations)
	return machine
}

// Step handles a message.
func (r *Machine) Step(now int64, msg envelope.Message) Output {
	self := r.Consensus.Self
	switch {
	case msg.To.DiskID != "" && msg.To != self: // to a disk that this machine no longer has
		r.Consensus.HandleMisaddressed(msg.From)
	case chain.IsChainMessage(msg.Body):
		if msg.From != self {
			r.Consensus.ObserveChainMessage(now, msg)
		}
		r.Chain.Step(now, msg)
		for _, old := range r.Chain.TakeStaleReplicas() {
			r.repair(now, old.Member, old.Viewstamp)
		}
	default:
		r.Consensus.Step(now, msg)
	}
	return r.drainOutput(now)
}

// Tick lets time pass. It is to be called several times a heartbeat interval.
func (r *Machine) Tick(now int64) Output {
	r.Chain.Tick(now)
	r.reportSuspect(now)
	r.Consensus.Tick(now)
	r.sweep(now)
	return r.drainOutput(now)
}

// reportSuspect informs all members of one that makes no progress. One that is known to store
// what it was forwarded is waiting for another itself.
func (r *Machine) reportSuspect(now int64) {
	suspect, found := r.Chain.Suspected()
	if !found || now-r.lastSuspectAt < r.cfg.Consensus.HeartbeatInterval {
		return
	}
	viewstamp, live := r.Consensus.LastHeard(now, suspect.Member)
	if suspect.MissingVersion == 0 || !live || viewstamp.Version < suspect.MissingVersion {
		r.lastSuspectAt = now
		r.Consensus.Suspect(now, suspect.Member)
	}
}

// repair brings an outdated replica up to date if the entry stored here is acknowledged.
func (r *Machine) repair(now int64, member views.Member, viewstamp views.Viewstamp) {
	own := r.Chain.Stored()
	if r.cfg.Repair.SweepInterval > 0 && r.Chain.Acknowledged() >= own.Version && r.repairs.ShouldRepair(now, member.String(), viewstamp.Version, own.Version) {
		r.Chain.Repair(member)
	}
}

// sweep makes the head check one replica after another, for those outside the chain and those
// that no read has asked are found in no other way.
func (r *Machine) sweep(now int64) {
	v := r.Chain.View()
	if r.cfg.Repair.SweepInterval == 0 || v.Head() != r.Consensus.Self || r.Chain.Sealed() {
		return
	}
	copies := make(map[string]views.Member, len(v.Members))
	names := make([]string, 0, len(v.Members))
	for _, x := range append(r.Consensus.Learners(now), v.Members...) {
		if x != r.Consensus.Self {
			copies[x.String()] = x
			names = append(names, x.String())
		}
	}
	if name, due := r.repairs.Sweep(now, names); due {
		if stamp, live := r.Consensus.LastHeard(now, copies[name]); live {
			r.repair(now, copies[name], stamp)
		}
	}
}

// RepairStats counts the repairs.
func (r *Machine) RepairStats() antientropy.Stats { return r.repairs.Stats() }

// Put requests that a configuration be acknowledged. The Result under the returned id comes in
// this Output or a later one.
func (r *Machine) Put(now int64, e chain.Entry) (string, Output) {
	id := r.Chain.Put(now, e)
	return id, r.drainOutput(now)
}

// Get requests the newest acknowledged configuration. The Result comes as that of Put.
func (r *Machine) Get(now int64) (string, Output) {
	id := r.Chain.Get(now)
	return id, r.drainOutput(now)
}

// StartLeave makes this machine hand its vote over; see HasLeft.
func (r *Machine) StartLeave(now int64) Output {
	r.Consensus.StartLeave()
	return r.Tick(now)
}

// HasLeft reports whether this machine may end without weakening the control plane.
func (r *Machine) HasLeft(now int64) bool { return r.Consensus.HasLeft(now) }

// drainOutput collects what both machines want done, and delivers at once what this machine
// sends to itself.
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
	entry, stamp := r.Chain.TakeChanges()
	state := r.Consensus.TakeChanged()
	if entry || stamp || state {
		stored := r.Chain.Stored()
		out.Persist = &Record{State: r.Consensus.State, StoredEpoch: stored.Epoch}
		if entry {
			out.Persist.Entry = &stored
		}
	}
	return out
}
