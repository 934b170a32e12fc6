package wire

import (
	"encoding/hex"
	"fmt"
	"math"
	"strconv"
	"strings"

	"saddleport/choice"
	"saddleport/internal/settings"
)

// fieldError says what is wrong with one field of a message.
func fieldError(message, field, problem string) error {
	return fmt.Errorf("%s: field %s: %s", message, field, problem)
}

// message is one line, cut at its spaces, with the first complaint about it.
type message struct {
	name   string
	fields []string
	names  []string
	next   int
	err    error
}

func newMessage(line string, fields ...string) *message {
	cut := strings.Split(line, " ")
	m := &message{name: cut[0], fields: cut[1:], names: fields}
	if n := len(m.fields); n < len(fields) {
		m.err = fieldError(m.name, fields[n], "missing")
	} else if n > len(fields) {
		m.err = fmt.Errorf("%s: %d fields too many", m.name, n-len(fields))
	}
	return m
}

func (m *message) fail(problem string) {
	if m.err == nil {
		m.err = fieldError(m.name, m.names[m.next-1], problem)
	}
}

// text takes the next field; "-" is an absent value.
func (m *message) text() string {
	m.next++
	if m.err != nil {
		return ""
	}
	if s := m.fields[m.next-1]; s != "-" {
		return s
	}
	return ""
}

// word takes the next field, which must be there.
func (m *message) word() string {
	s := m.text()
	if s == "" {
		m.fail("absent")
	}
	return s
}

// integer takes a whole number within bounds.
func (m *message) integer(least, most int64) int64 {
	s := m.word()
	if m.err != nil {
		return 0
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		m.fail(fmt.Sprintf("%q is not a whole number", s))
	} else if n < least || n > most {
		m.fail(fmt.Sprintf("%d is not within %d to %d", n, least, most))
	}
	return n
}

func (m *message) span() choice.Micros { return m.integer(0, math.MaxInt64) }

// optionalSpan takes a time that may be absent.
func (m *message) optionalSpan() choice.Micros {
	if m.err == nil && m.fields[m.next] == "-" {
		m.next++
		return 0
	}
	return m.span()
}

func (m *message) number() float64 {
	s := m.word()
	if m.err != nil {
		return 0
	}
	f, err := settings.ParseNumber(s)
	if err != nil {
		m.fail(err.Error())
	}
	return f
}

func (m *message) bool() bool { return m.integer(0, 1) == 1 }

var verdicts = map[string]choice.Verdict{
	"served":          choice.Served,
	"server_error":    choice.ServerError,
	"turned_away":     choice.Rejected,
	"no_answer":       choice.NoAnswer,
	"no_connection":   choice.NoConnection,
	"connection_lost": choice.ConnectionLost,
	"called_off":      choice.Cancelled,
	"not_sent":        choice.NotSent,
}

func (m *message) verdict() choice.Verdict {
	s := m.word()
	v, ok := verdicts[s]
	if !ok {
		m.fail(fmt.Sprintf("unknown verdict %q", s))
	}
	return v
}

func (m *message) load() []choice.Reading {
	s := m.text()
	if s == "" {
		return nil
	}
	var load []choice.Reading
	for pair := range strings.SplitSeq(s, ",") {
		name, value, ok := strings.Cut(pair, ":")
		f, err := settings.ParseNumber(value)
		if !ok || name == "" || err != nil {
			m.fail(fmt.Sprintf("%q is not name:number", pair))
			return nil
		}
		load = append(load, choice.Reading{Name: name, Value: f})
	}
	return load
}

func decodeRow(line string) (choice.Server, error) {
	m := newMessage(line, "node", "hall", "sku", "slot-no", "state", "scale", "up-since")
	s := choice.Server{
		ID:      m.word(),
		Zone:    m.text(),
		Kind:    m.text(),
		Cell:    int(m.integer(0, math.MaxInt32)),
		State:   choice.State(m.integer(0, 2)),
		Scale:   m.number(),
		UpSince: m.optionalSpan(),
	}
	return s, m.err
}

// Bit values of a request's bitmap.
const (
	bitHint   = 1
	bitRepeat = 2
	bitWrite  = 4
)

func decodeRequest(line string) (choice.Event, error) {
	m := newMessage(line, "op-id", "profile", "job-no", "path-key", "grace", "user-group",
		"bitmap", "slab", "amount", "predicted")
	id, class, job, key := m.word(), m.word(), m.span(), m.text()
	grace, tenant, bits := m.integer(math.MinInt64, math.MaxInt64), m.text(), m.span()
	shard, amount := m.integer(math.MinInt32, math.MaxInt32), m.number()
	hinted := bits&bitHint != 0
	predicted := m.optionalSpan()
	if shard >= 0 {
		return choice.Part{ID: id, Class: class, Number: job, Key: key, Shard: int(shard), Weight: amount,
			Hinted: hinted, Predicted: predicted}, m.err
	}
	if amount < 0 || amount != math.Trunc(amount) || amount > math.MaxInt32 {
		m.next--
		m.fail("not a count of parts")
	}
	return choice.Query{ID: id, Class: class, Number: job, Key: key, Grace: grace, Tenant: tenant,
		Hinted: hinted, Repeat: bits&bitRepeat != 0, Write: bits&bitWrite != 0, Parts: int(amount),
		Predicted: predicted}, m.err
}

// decodeEvent reads the messages that become one event by themselves. It
// reports false for a name it does not know.
func decodeEvent(name, line string) (ev choice.Event, known bool, err error) {
	switch name {
	case "NEW_REQUEST":
		ev, err = decodeRequest(line)
		return ev, true, err
	case "REPLY":
		m := newMessage(line, "op-id", "node", "delay-seen", "complete", "attempt", "verdict", "gauge")
		ev = choice.Outcome{ID: m.word(), Server: m.word(), Delay: m.span(), Closed: m.bool(),
			Attempt: int(m.integer(0, math.MaxInt32)), Verdict: m.verdict(), Load: m.load()}
		return ev, true, m.err
	case "CHECK_RESULT":
		m := newMessage(line, "delay-seen", "verdict", "node", "gauge")
		ev = choice.ProbeResult{Delay: m.span(), Verdict: m.verdict(), Server: m.word(), Load: m.load()}
		return ev, true, m.err
	case "CLIENT_LEFT":
		m := newMessage(line, "op-id")
		return choice.ClientLeft{ID: m.word()}, true, m.err
	case "ELAPSED":
		m := newMessage(line, "cookie")
		return choice.Elapsed{Token: m.span()}, true, m.err
	case "HEAD_RECEIVED":
		m := newMessage(line, "op-id", "delay-seen", "attempt", "node")
		ev = choice.Started{ID: m.word(), Delay: m.span(), Attempt: int(m.integer(0, math.MaxInt32)),
			Server: m.word()}
		return ev, true, m.err
	case "MAIL":
		m := newMessage(line, "from", "bytes")
		from := m.span()
		raw, err := hex.DecodeString(m.text())
		if err != nil {
			m.fail("not hex digits")
		}
		return choice.PeerMessage{From: from, Bytes: raw}, true, m.err
	}
	return nil, false, nil
}
