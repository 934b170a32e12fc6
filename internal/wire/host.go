// Package wire implements the simulator's text protocol for any number of routers. It makes no decisions: it
// decodes events, passes them in order to the instance that they are for, and encodes the resulting actions.
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

// maxLine is the largest length of a line in bytes; batches may be larger.
const maxLine = 16 << 20

// instance is one router. A detached instance stays known, with a nil router.
type instance struct {
	name   string
	router *choice.Router
	events []choice.Event
	queued bool // in host.active
}

// host serves the instances of one simulator.
type host struct {
	input      *bufio.Scanner
	lineNumber int
	instances  map[string]*instance
	lists      [16][]choice.Server
	current    *instance
	active     []*instance // instances with events in the batch, in order of the first one
}

// Run reads batches from in until it ends and writes one reply to each to out. Errors of the input name its line.
func Run(in io.Reader, out io.Writer) error {
	h := &host{input: bufio.NewScanner(in), instances: make(map[string]*instance)}
	h.input.Buffer(make([]byte, 1<<16), maxLine)
	w := bufio.NewWriterSize(out, 1<<16)
	for {
		line, ok := h.nextLine()
		if !ok {
			return h.scanError()
		}
		if err := h.serveBatch(line, w); err != nil {
			return fmt.Errorf("line %d: %w", h.lineNumber, err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	}
}

func (h *host) nextLine() (string, bool) {
	if !h.input.Scan() {
		return "", false
	}
	h.lineNumber++
	return h.input.Text(), true
}

func (h *host) scanError() error {
	if err := h.input.Err(); err != nil {
		return fmt.Errorf("line %d: %w", h.lineNumber+1, err)
	}
	return nil
}

// serveBatch reads the batch that begins with the given SYNC line up to its GO, and writes the reply.
func (h *host) serveBatch(first string, w *bufio.Writer) error {
	if name, _, _ := strings.Cut(first, " "); name != "SYNC" {
		return fmt.Errorf("%s: a batch must start with SYNC", name)
	}
	m := newMessage(first, "clock")
	now := m.integer(0, math.MaxInt64)
	if m.err != nil {
		return m.err
	}
	h.current, h.active = nil, h.active[:0]
	for {
		line, ok := h.nextLine()
		if !ok {
			if err := h.input.Err(); err != nil {
				return err
			}
			return errors.New("SYNC: input ended before GO")
		}
		if line == "GO" {
			h.writeReply(now, w)
			return nil
		}
		if err := h.handleMessage(line); err != nil {
			return err
		}
	}
}

// handleMessage handles one message between SYNC and GO.
func (h *host) handleMessage(line string) error {
	name, _, _ := strings.Cut(line, " ")
	switch name {
	case "INSTANCE":
		return h.selectInstance(line)
	case "REGISTER":
		return h.readList(line)
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
		h.markActive(inst)
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
	event, err := h.decodeEvent(name, line)
	if err != nil {
		return err
	}
	if h.instances[inst.name] == nil {
		return fmt.Errorf("%s: instance %s was never started", name, inst.name)
	}
	if inst.router != nil {
		inst.events = append(inst.events, event)
		h.markActive(inst)
	}
	return nil
}

// decodeEvent decodes a message that is an event for an instance.
func (h *host) decodeEvent(name, line string) (choice.Event, error) {
	if name == "ANNOUNCE" {
		return h.decodeAnnounce(line)
	}
	event, known, err := decodeEvent(name, line)
	if err == nil && !known {
		err = fmt.Errorf("%q: unknown message", name)
	}
	return event, err
}

// selectInstance sets the instance that the next messages are for. A new one is known once it is started.
func (h *host) selectInstance(line string) error {
	m := newMessage(line, "i")
	name := m.requiredText()
	if m.err != nil {
		return m.err
	}
	if h.current = h.instances[name]; h.current == nil {
		h.current = &instance{name: name}
	}
	return nil
}

func (h *host) markActive(inst *instance) {
	if !inst.queued {
		inst.queued = true
		h.active = append(h.active, inst)
	}
}

// readList reads a REGISTER and its rows. The number of a list may be reused, so each ANNOUNCE uses the rows that
// the list has at that point.
func (h *host) readList(line string) error {
	m := newMessage(line, "list", "entries")
	list, count := m.integer(0, int64(len(h.lists)-1)), m.integer(0, math.MaxInt32)
	if m.err != nil {
		return m.err
	}
	rows := make([]choice.Server, 0, min(count, 1024))
	for range count {
		row, ok := h.nextLine()
		if !ok {
			return errors.New("REGISTER: field entries: input ended before the last ROW")
		}
		if !strings.HasPrefix(row, "ROW ") {
			return fmt.Errorf("REGISTER: field entries: got %d of %d rows", len(rows), count)
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

func (h *host) decodeAnnounce(line string) (choice.Event, error) {
	m := newMessage(line, "form", "stamp", "list")
	form := choice.Form(m.integer(0, int64(choice.Failed)))
	if m.err == nil && form == choice.Failed {
		return choice.List{Form: form}, nil
	}
	version, list := m.duration(), m.integer(0, int64(len(h.lists)-1))
	if m.err != nil {
		return nil, m.err
	}
	if h.lists[list] == nil {
		return nil, fieldError("ANNOUNCE", "list", fmt.Sprintf("list %d was never registered", list))
	}
	return choice.List{Form: form, Version: version, Servers: h.lists[list]}, nil
}

// writeReply lets the active instances handle their events and writes their actions.
func (h *host) writeReply(now choice.Micros, w *bufio.Writer) {
	for _, inst := range h.active {
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
