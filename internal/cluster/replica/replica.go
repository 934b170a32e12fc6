// Package replica is a core machine's control state as one machine that is stepped: the
// agreement on the view (pact) and the chain under it, with what both must have on the
// disk. It owns the order of things: what a step returns to be sent or told may go out only
// once what it returns to be written is synced, and so is all that was before it. It does
// no I/O and reads no clock; a broken invariant panics with what was seen.
package replica

import (
	"encoding/json"
	"fmt"

	"saddleport/internal/cluster/antientropy"
	"saddleport/internal/cluster/chain"
	"saddleport/internal/cluster/consensus"
)

// Config tunes both machines.
type Config struct {
	Chain chain.Config
	Pact  consensus.Config
	Mend  antientropy.Config // Sweep 0: nothing is mended beyond what the chain itself does
}

const ms = int64(1000)

// Usual is the configuration for service: a loss is noticed within 2 s, and the chain is
// mended well within an operator's patience of 6 s.
func Usual(faults int) Config {
	return Config{
		Mend:  antientropy.Config{Again: 2000 * ms, Sweep: 1000 * ms, Most: 64},
		Chain: chain.Config{Resend: 500 * ms, Stuck: 1200 * ms, Wait: 5000 * ms},
		Pact: consensus.Config{Beat: 500 * ms, Live: 1800 * ms, Gone: 4000 * ms, Lost: 20_000 * ms, Unfit: 4000 * ms, Settle: 1000 * ms,
			Turn: 1000 * ms, Ballot: 800 * ms, Least: 2*faults + 1, Most: 15, Flapped: 800 * ms},
	}
}

// Record is what must be on the disk. Entry is nil where it has not changed.
type Record struct {
	State consensus.State
	Entry *chain.Entry
}

// Output is what a step returns: first what is to be written, then what may go out.
type Output struct {
	Write   *Record
	Send    []chain.Message
	Results []chain.Result
}

// Machine is one core machine.
type Machine struct {
	Pact  *consensus.Machine
	Chain *chain.Machine
	cfg   Config
	asked int64
	mend  *antientropy.Machine
}

// New returns a machine whose disk holds a record; nonce sets its calls apart from those
// of its earlier lives.
func New(now int64, cfg Config, r Record, seeds []string, nonce string, breaks chain.Breaks) *Machine {
	var held chain.Entry
	if r.Entry != nil {
		held = *r.Entry
	}
	h := &Machine{cfg: cfg, mend: antientropy.New(cfg.Mend), Chain: chain.New(cfg.Chain, r.State.Self, held, nonce, breaks)}
	h.Pact = consensus.New(now, cfg.Pact, r.State, seeds, h.Chain, breaks)
	return h
}

// Got takes a message.
func (h *Machine) Got(now int64, msg chain.Message) Output {
	switch msg.Kind {
	case chain.Enter, chain.Done, chain.Pass, chain.Ack, chain.Lacks, chain.Read, chain.Stand, chain.Stands, chain.Told, chain.Mend, chain.Waits:
		if msg.To != h.Pact.Self {
			h.Pact.Stranger(msg.From)
			break
		}
		if msg.From != h.Pact.Self {
			h.Pact.Hear(now, msg)
		}
		h.Chain.Got(now, msg)
		for _, o := range h.Chain.Old() {
			h.repair(now, o.Member, o.Rank)
		}
	default:
		if msg.To.Disk != "" && msg.To != h.Pact.Self {
			h.Pact.Stranger(msg.From)
			break
		}
		h.Pact.Got(now, msg)
	}
	return h.output(now)
}

// Tick lets time pass; it wants to be called several times a beat.
func (h *Machine) Tick(now int64) Output {
	h.Chain.Tick(now)
	if x, lacks, is := h.Chain.Accused(); is && now-h.asked >= h.cfg.Pact.Beat {
		if rank, live := h.Pact.Rank(now, x); lacks == 0 || !live || rank < lacks {
			h.asked = now
			h.Pact.Accuse(now, x)
		}
	}
	h.Pact.Tick(now)
	h.sweep(now)
	return h.output(now)
}

// repair mends a member's copy that was found old, if what is kept here is acknowledged.
func (h *Machine) repair(now int64, x chain.Member, rank uint64) {
	own := h.Chain.Held().Rank
	if h.cfg.Mend.Sweep > 0 && h.Chain.Sure() >= own && h.mend.Saw(now, x.String(), rank, own) {
		h.Chain.Mend(x)
	}
}

// sweep has the head look at one member's copy after another: those outside the chain, and
// those that no read has asked, are found by it alone.
func (h *Machine) sweep(now int64) {
	v := h.Chain.View()
	if h.cfg.Mend.Sweep == 0 || v.Head() != h.Pact.Self || h.Chain.Sealed() || len(v.Members) < 2 {
		return
	}
	members := make(map[string]chain.Member, len(v.Members))
	names := make([]string, 0, len(v.Members))
	for _, x := range v.Members {
		if x != h.Pact.Self {
			members[x.String()] = x
			names = append(names, x.String())
		}
	}
	if name, due := h.mend.Sweep(now, names); due {
		if rank, live := h.Pact.Rank(now, members[name]); live {
			h.repair(now, members[name], rank)
		}
	}
}

// Mended counts the repairs.
func (h *Machine) Mended() antientropy.Stats { return h.mend.Stats() }

// Put asks for a configuration to be acknowledged, Get for the newest that was. The Result
// under the id returned comes in this or a later Output.
func (h *Machine) Put(now int64, e chain.Entry) (string, Output) {
	id := h.Chain.Put(now, e)
	return id, h.output(now)
}

// Get is as Put.
func (h *Machine) Get(now int64) (string, Output) {
	id := h.Chain.Get(now)
	return id, h.output(now)
}

// output gathers what both want, and has them take at once what they send themselves.
func (h *Machine) output(now int64) (out Output) {
	for {
		msgs, results := h.Chain.Take()
		out.Results = append(out.Results, results...)
		msgs = append(msgs, h.Pact.Take()...)
		if len(msgs) == 0 {
			break
		}
		for _, msg := range msgs {
			if msg.To == h.Pact.Self {
				h.Chain.Got(now, msg)
			} else {
				out.Send = append(out.Send, msg)
			}
		}
	}
	entry, state := h.Chain.Dirty(), h.Pact.Dirty()
	if entry || state {
		out.Write = &Record{State: h.Pact.State}
		if entry {
			held := h.Chain.Held()
			out.Write.Entry = &held
		}
	}
	return out
}

// Encode writes a state as it stands on the disk; Decode reads it back.
func Encode(s consensus.State) []byte {
	b, err := json.Marshal(s)
	if err != nil {
		panic(fmt.Sprintf("invariant: a state without a form: %v", err))
	}
	return b
}

// Decode is as Encode.
func Decode(b []byte) (s consensus.State, err error) {
	err = json.Unmarshal(b, &s)
	return s, err
}
