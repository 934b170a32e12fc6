// Package wire speaks the simulator's text wire for any number of decision
// modules. It decides nothing: it decodes events, hands each instance its own
// in order, and encodes the actions that come back.
package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"strings"

	"saddleport/choice"
)

// maxLine bounds one line; batches may be larger.
const maxLine = 16 << 20

// instance is one router; killed ones stay as a mark, with a nil router.
type instance struct {
	name   string
	router *choice.Router
	events []choice.Event
	queued bool
}

type host struct {
	in        *bufio.Scanner
	line      int
	instances map[string]*instance
	lists     [16][]choice.Server
	current   *instance
	touched   []*instance // in order of their first event in the batch
}

// Run serves batches from in until it ends, writing one reply each to out.
func Run(in io.Reader, out io.Writer) error {
	h := &host{in: bufio.NewScanner(in), instances: make(map[string]*instance)}
	h.in.Buffer(make([]byte, 1<<16), maxLine)
	w := bufio.NewWriterSize(out, 1<<16)
	for {
		line, ok := h.next()
		if !ok {
			return h.scanError()
		}
		if err := h.batch(line, w); err != nil {
			return fmt.Errorf("line %d: %w", h.line, err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	}
}

func (h *host) next() (string, bool) {
	if !h.in.Scan() {
		return "", false
	}
	h.line++
	return h.in.Text(), true
}

func (h *host) scanError() error {
	if err := h.in.Err(); err != nil {
		return fmt.Errorf("line %d: %w", h.line+1, err)
	}
	return nil
}

// batch reads from a SYNC line to its GO and writes the reply.
func (h *host) batch(first string, w *bufio.Writer) error {
	if name, _, _ := strings.Cut(first, " "); name != "SYNC" {
		return fmt.Errorf("%s: a batch must open with SYNC", name)
	}
	m := newMessage(first, "clock")
	now := m.integer(0, math.MaxInt64)
	if m.err != nil {
		return m.err
	}
	h.current, h.touched = nil, h.touched[:0]
	for {
		line, ok := h.next()
		if !ok {
			if err := h.in.Err(); err != nil {
				return err
			}
			return errors.New("SYNC: input ended before GO")
		}
		if line == "GO" {
			h.reply(now, w)
			return nil
		}
		if err := h.message(line); err != nil {
			return err
		}
	}
}

func (h *host) message(line string) error {
	name, _, _ := strings.Cut(line, " ")
	switch name {
	case "INSTANCE":
		return h.selectInstance(line)
	case "REGISTER":
		return h.register(line)
	}
	inst := h.current
	if inst == nil {
		return fmt.Errorf("%s: no INSTANCE selected", name)
	}
	switch name {
	case "NEW_INSTANCE":
		seed, settings, err := decodeStart(line)
		if err != nil {
			return err
		}
		inst.router, err = choice.New(seed, settings)
		if err != nil {
			return fmt.Errorf("NEW_INSTANCE: %w", err)
		}
		inst.events = nil
		h.instances[inst.name] = inst
		h.touch(inst)
		return nil
	case "DETACH":
		if m := newMessage(line); m.err != nil {
			return m.err
		}
		if h.instances[inst.name] == nil {
			return fmt.Errorf("DETACH: instance %s was never started", inst.name)
		}
		inst.router, inst.events = nil, nil
		return nil
	}
	ev, err := h.event(name, line)
	if err != nil {
		return err
	}
	if h.instances[inst.name] == nil {
		return fmt.Errorf("%s: instance %s was never started", name, inst.name)
	}
	if inst.router != nil {
		inst.events = append(inst.events, ev)
		h.touch(inst)
	}
	return nil
}

func (h *host) event(name, line string) (choice.Event, error) {
	if name == "ANNOUNCE" {
		return h.announce(line)
	}
	ev, known, err := decodeEvent(name, line)
	if err == nil && !known {
		err = fmt.Errorf("%q: unknown message", name)
	}
	return ev, err
}

func (h *host) selectInstance(line string) error {
	m := newMessage(line, "i")
	name := m.word()
	if m.err != nil {
		return m.err
	}
	if h.current = h.instances[name]; h.current == nil {
		h.current = &instance{name: name}
	}
	return nil
}

func (h *host) touch(inst *instance) {
	if !inst.queued {
		inst.queued = true
		h.touched = append(h.touched, inst)
	}
}

// register reads a list and its rows. The number may be reused, so each
// ANNOUNCE takes the rows as they stand when it comes.
func (h *host) register(line string) error {
	m := newMessage(line, "list", "entries")
	list, n := m.integer(0, int64(len(h.lists)-1)), m.integer(0, math.MaxInt32)
	if m.err != nil {
		return m.err
	}
	rows := make([]choice.Server, 0, min(n, 1024))
	for range n {
		row, ok := h.next()
		if !ok {
			return errors.New("REGISTER: field entries: input ended before the last ROW")
		}
		if !strings.HasPrefix(row, "ROW ") {
			return fmt.Errorf("REGISTER: field entries: %d rows of %d came", len(rows), n)
		}
		server, err := decodeRow(row)
		if err != nil {
			return err
		}
		rows = append(rows, server)
	}
	h.lists[list] = rows
	return nil
}

func (h *host) announce(line string) (choice.Event, error) {
	m := newMessage(line, "form", "stamp", "list")
	form := choice.Form(m.integer(0, int64(choice.Failed)))
	if m.err == nil && form == choice.Failed {
		return choice.List{Form: form}, nil
	}
	version, list := m.span(), m.integer(0, int64(len(h.lists)-1))
	if m.err != nil {
		return nil, m.err
	}
	if h.lists[list] == nil {
		return nil, fieldError("ANNOUNCE", "list", fmt.Sprintf("list %d was never registered", list))
	}
	return choice.List{Form: form, Version: version, Servers: h.lists[list]}, nil
}

func (h *host) reply(now choice.Micros, w *bufio.Writer) {
	for _, inst := range h.touched {
		inst.queued = false
		if inst.router == nil {
			continue
		}
		actions := inst.router.Step(now, inst.events)
		inst.events = nil
		if len(actions) == 0 {
			continue
		}
		w.WriteString("AT " + inst.name + "\n")
		for _, a := range actions {
			w.WriteString(encode(a) + "\n")
		}
	}
	w.WriteString("NEXT\n")
}
