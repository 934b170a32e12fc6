// Package replica is a core machine's control state as one machine that is stepped: the
// agreement on the view (consensus) and the chain under it, with what both must have on the
// disk. It owns the order of things: what a step returns to be sent or told may go out only
// once what it returns to be written is synced, and so is all that was before it. It does
// no I/O and reads no clock; a broken invariant panics with what was seen.
package replica

import (
	"saddleport/internal/cluster/antientropy"
	"saddleport/internal/cluster/chain"
	"saddleport/internal/cluster/consensus"
	"saddleport/internal/cluster/envelope"
	"saddleport/internal/cluster/views"
)

// Config tunes both machines.
type Config struct {
	Chain     chain.Config
	Consensus consensus.Config
	Repair    antientropy.Config // Sweep 0: nothing is repaired beyond what the chain itself does
}

const millisecond = int64(1000)

// Usual is the configuration for service: a loss is noticed within 2 s, and the chain is
// mended well within an operator's patience of 6 s. faults machines may be lost at once.
func DefaultConfig(faults int) Config {
	return Config{
		Repair: antientropy.Config{RepairInterval: 2000 * millisecond, SweepInterval: 1000 * millisecond, MaxTracked: 64},
		Chain:  chain.Config{RetryInterval: 500 * millisecond, SuspectTimeout: 1200 * millisecond, CallTimeout: 5000 * millisecond},
		Consensus: consensus.Config{HeartbeatInterval: 500 * millisecond, FailureTimeout: 1800 * millisecond, SuspicionTimeout: 4000 * millisecond, RejoinDelay: 1000 * millisecond,
			ProposerStagger: 1000 * millisecond, BallotTimeout: 800 * millisecond, MinViewAge: 800 * millisecond, Voters: 2*faults + 1, MaxLearners: 16},
	}
}

// Output is what a step returns: first what is to be written, then what may go out.
type Output struct {
	Persist *Record
	Send    []envelope.Message
	Results []chain.Result
}

// Machine is one core machine.
type Machine struct {
	Consensus     *consensus.Machine
	Chain         *chain.Machine
	cfg           Config
	lastSuspectAt int64
	repairs       *antientropy.Repairer
}

// New returns a machine whose disk holds a record; nonce sets its calls apart from those
// of its earlier lives.
func New(now int64, cfg Config, record Record, seeds []string, nonce string, mutations chain.Mutations) *Machine {
	machine := &Machine{cfg: cfg, repairs: antientropy.New(cfg.Repair), Chain: chain.New(cfg.Chain, record.State.Self, record.currentEntry(), nonce, mutations)}
	machine.Consensus = consensus.New(now, cfg.Consensus, record.State, seeds, machine.Chain, mutations)
	return machine
}

// Got takes a message.
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

// Tick lets time pass; it wants to be called several times a heartbeat.
func (r *Machine) Tick(now int64) Output {
	r.Chain.Tick(now)
	r.reportSuspect(now)
	r.Consensus.Tick(now)
	r.sweep(now)
	return r.drainOutput(now)
}

// complain tells all of a member that does not move on. One that is known to hold what it
// was passed waits for others itself.
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

// repair brings a copy that was found old up to date, if what is kept here is acknowledged.
func (r *Machine) repair(now int64, member views.Member, viewstamp views.Viewstamp) {
	own := r.Chain.Stored()
	if r.cfg.Repair.SweepInterval > 0 && r.Chain.Acknowledged() >= own.Version && r.repairs.ShouldRepair(now, member.String(), viewstamp.Version, own.Version) {
		r.Chain.Repair(member)
	}
}

// sweep has the head look at one copy after another: those outside the chain, and those that
// no read has asked, are found by it alone.
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

// Repaired counts the repairs.
func (r *Machine) RepairStats() antientropy.Stats { return r.repairs.Stats() }

// Put asks for a configuration to be acknowledged, Get for the newest that was. The Result
// under the id returned comes in this or a later Output.
func (r *Machine) Put(now int64, e chain.Entry) (string, Output) {
	id := r.Chain.Put(now, e)
	return id, r.drainOutput(now)
}

// Get is as Put.
func (r *Machine) Get(now int64) (string, Output) {
	id := r.Chain.Get(now)
	return id, r.drainOutput(now)
}

// Leave has this machine hand its vote over; see Left.
func (r *Machine) StartLeave(now int64) Output {
	r.Consensus.StartLeave()
	return r.Tick(now)
}

// Left tells whether it may end without a loss.
func (r *Machine) HasLeft(now int64) bool { return r.Consensus.HasLeft(now) }

// output gathers what both want, and has them take at once what they send themselves.
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
