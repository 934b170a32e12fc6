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
	"saddleport/internal/cluster/message"
)

// Config tunes both machines.
type Config struct {
	Chain     chain.Config
	Consensus consensus.Config
	Repair    antientropy.Config // Sweep 0: nothing is repaired beyond what the chain itself does
}

const ms = int64(1000)

// Usual is the configuration for service: a loss is noticed within 2 s, and the chain is
// mended well within an operator's patience of 6 s. faults machines may be lost at once.
func Usual(faults int) Config {
	return Config{
		Repair: antientropy.Config{Again: 2000 * ms, Sweep: 1000 * ms, Most: 64},
		Chain:  chain.Config{Resend: 500 * ms, Stuck: 1200 * ms, Wait: 5000 * ms},
		Consensus: consensus.Config{Heartbeat: 500 * ms, Live: 1800 * ms, Unfit: 4000 * ms, Settle: 1000 * ms,
			Turn: 1000 * ms, Ballot: 800 * ms, Stable: 800 * ms, Voters: 2*faults + 1, Learners: 16},
	}
}

// Output is what a step returns: first what is to be written, then what may go out.
type Output struct {
	Write   *Record
	Send    []message.Message
	Results []chain.Result
}

// Machine is one core machine.
type Machine struct {
	Consensus *consensus.Machine
	Chain     *chain.Machine
	cfg       Config
	suspectAt int64
	repairs   *antientropy.Machine
}

// New returns a machine whose disk holds a record; nonce sets its calls apart from those
// of its earlier lives.
func New(now int64, cfg Config, r Record, seeds []string, nonce string, breaks chain.Breaks) *Machine {
	r0 := &Machine{cfg: cfg, repairs: antientropy.New(cfg.Repair), Chain: chain.New(cfg.Chain, r.State.Self, r.held(), nonce, breaks)}
	r0.Consensus = consensus.New(now, cfg.Consensus, r.State, seeds, r0.Chain, breaks)
	return r0
}

// Got takes a message.
func (r *Machine) Got(now int64, msg message.Message) Output {
	self := r.Consensus.Self
	switch {
	case msg.To.Disk != "" && msg.To != self: // to a disk that this machine no longer has
		r.Consensus.Stranger(msg.From)
	case chain.Speaks(msg.Body):
		if msg.From != self {
			r.Consensus.Hear(now, msg)
		}
		r.Chain.Got(now, msg)
		for _, old := range r.Chain.Old() {
			r.repair(now, old.Member, old.Stamp)
		}
	default:
		r.Consensus.Got(now, msg)
	}
	return r.output(now)
}

// Tick lets time pass; it wants to be called several times a heartbeat.
func (r *Machine) Tick(now int64) Output {
	r.Chain.Tick(now)
	r.complain(now)
	r.Consensus.Tick(now)
	r.sweep(now)
	return r.output(now)
}

// complain tells all of a member that does not move on. One that is known to hold what it
// was passed waits for others itself.
func (r *Machine) complain(now int64) {
	s, is := r.Chain.Suspected()
	if !is || now-r.suspectAt < r.cfg.Consensus.Heartbeat {
		return
	}
	stamp, live := r.Consensus.Heard(now, s.Member)
	if s.Lacks == 0 || !live || stamp.Rank < s.Lacks {
		r.suspectAt = now
		r.Consensus.Suspect(now, s.Member)
	}
}

// repair brings a copy that was found old up to date, if what is kept here is acknowledged.
func (r *Machine) repair(now int64, x message.Member, stamp message.Stamp) {
	own := r.Chain.Held()
	if r.cfg.Repair.Sweep > 0 && r.Chain.Acknowledged() >= own.Rank && r.repairs.Saw(now, x.String(), stamp.Rank, own.Rank) {
		r.Chain.Repair(x)
	}
}

// sweep has the head look at one copy after another: those outside the chain, and those that
// no read has asked, are found by it alone.
func (r *Machine) sweep(now int64) {
	v := r.Chain.View()
	if r.cfg.Repair.Sweep == 0 || v.Head() != r.Consensus.Self || r.Chain.Sealed() {
		return
	}
	copies := make(map[string]message.Member, len(v.Members))
	names := make([]string, 0, len(v.Members))
	for _, x := range append(r.Consensus.Learners(now), v.Members...) {
		if x != r.Consensus.Self {
			copies[x.String()] = x
			names = append(names, x.String())
		}
	}
	if name, due := r.repairs.Sweep(now, names); due {
		if stamp, live := r.Consensus.Heard(now, copies[name]); live {
			r.repair(now, copies[name], stamp)
		}
	}
}

// Repaired counts the repairs.
func (r *Machine) Repaired() antientropy.Stats { return r.repairs.Stats() }

// Put asks for a configuration to be acknowledged, Get for the newest that was. The Result
// under the id returned comes in this or a later Output.
func (r *Machine) Put(now int64, e message.Entry) (string, Output) {
	id := r.Chain.Put(now, e)
	return id, r.output(now)
}

// Get is as Put.
func (r *Machine) Get(now int64) (string, Output) {
	id := r.Chain.Get(now)
	return id, r.output(now)
}

// Leave has this machine hand its vote over; see Left.
func (r *Machine) Leave(now int64) Output {
	r.Consensus.Leave()
	return r.Tick(now)
}

// Left tells whether it may end without a loss.
func (r *Machine) Left(now int64) bool { return r.Consensus.Left(now) }

// output gathers what both want, and has them take at once what they send themselves.
func (r *Machine) output(now int64) (out Output) {
	for {
		msgs, results := r.Chain.Take()
		out.Results = append(out.Results, results...)
		msgs = append(msgs, r.Consensus.Take()...)
		if len(msgs) == 0 {
			break
		}
		for _, msg := range msgs {
			if msg.To == r.Consensus.Self {
				r.Chain.Got(now, msg)
			} else {
				out.Send = append(out.Send, msg)
			}
		}
	}
	entry, stamp := r.Chain.Changed()
	state := r.Consensus.Changed()
	if entry || stamp || state {
		held := r.Chain.Held()
		out.Write = &Record{State: r.Consensus.State, HeldEpoch: held.Epoch}
		if entry {
			out.Write.Entry = &held
		}
	}
	return out
}
