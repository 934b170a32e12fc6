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

// fieldError returns an error for one field of a message.
func fieldError(message, field, problem string) error {
	return fmt.Errorf("%s: field %s: %s", message, field, problem)
}

// message is one line, split at its spaces. Its methods decode the next field. err is the first error found; once
// it is set, they return zero values.
type message struct {
	name       string
	fields     []string
	fieldNames []string
	next       int
	err        error
}

// newMessage splits a line. err is set unless the line has exactly the given fields.
func newMessage(line string, fieldNames ...string) *message {
	tokens := strings.Split(line, " ")
	m := &message{name: tokens[0], fields: tokens[1:], fieldNames: fieldNames}
	if got := len(m.fields); got < len(fieldNames) {
		m.err = fieldError(m.name, fieldNames[got], "missing")
	} else if got > len(fieldNames) {
		m.err = fmt.Errorf("%s: %d fields too many", m.name, got-len(fieldNames))
	}
	return m
}

// fail records a problem with the field decoded last, unless there was an error before.
func (m *message) fail(problem string) {
	if m.err == nil {
		m.err = fieldError(m.name, m.fieldNames[m.next-1], problem)
	}
}

// optionalText decodes the next field. It returns "" for "-", which stands for an absent value.
func (m *message) optionalText() string {
	m.next++
	if m.err != nil {
		return ""
	}
	if value := m.fields[m.next-1]; value != "-" {
		return value
	}
	return ""
}

// requiredText decodes the next field, which must not be absent.
func (m *message) requiredText() string {
	value := m.optionalText()
	if value == "" {
		m.fail("absent")
	}
	return value
}

// integer decodes an integer from minimum to maximum.
func (m *message) integer(minimum, maximum int64) int64 {
	text := m.requiredText()
	if m.err != nil {
		return 0
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		m.fail(fmt.Sprintf("%q is not an integer", text))
	} else if n < minimum || n > maximum {
		m.fail(fmt.Sprintf("%d is not within %d to %d", n, minimum, maximum))
	}
	return n
}

// duration decodes a time or duration in microseconds, or another number that is not negative.
func (m *message) duration() choice.Micros { return m.integer(0, math.MaxInt64) }

// optionalDuration decodes a time or duration that may be absent; it is 0 then.
func (m *message) optionalDuration() choice.Micros {
	if m.err == nil && m.fields[m.next] == "-" {
		m.next++
		return 0
	}
	return m.duration()
}

// number decodes a finite decimal number.
func (m *message) number() float64 {
	text := m.requiredText()
	if m.err != nil {
		return 0
	}
	f, err := settings.ParseNumber(text)
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
	name := m.requiredText()
	v, ok := verdicts[name]
	if !ok {
		m.fail(fmt.Sprintf("unknown verdict %q", name))
	}
	return v
}

// loadReport decodes a list of name:number pairs, separated by commas, that may be absent.
func (m *message) loadReport() []choice.Reading {
	report := m.optionalText()
	if report == "" {
		return nil
	}
	var readings []choice.Reading
	for pair := range strings.SplitSeq(report, ",") {
		name, value, ok := strings.Cut(pair, ":")
		f, err := settings.ParseNumber(value)
		if !ok || name == "" || err != nil {
			m.fail(fmt.Sprintf("%q is not name:number", pair))
			return nil
		}
		readings = append(readings, choice.Reading{Name: name, Value: f})
	}
	return readings
}

// decodeRow decodes one row of a server list.
func decodeRow(line string) (choice.Server, error) {
	m := newMessage(line, "node", "hall", "sku", "slot-no", "state", "scale", "up-since")
	server := choice.Server{
		ID:      m.requiredText(),
		Zone:    m.optionalText(),
		Kind:    m.optionalText(),
		Cell:    int(m.integer(0, math.MaxInt32)),
		State:   choice.State(m.integer(0, 2)),
		Scale:   m.number(),
		UpSince: m.optionalDuration(),
	}
	return server, m.err
}

// Flags in the bitmap of a request.
const (
	flagHint   = 1
	flagRepeat = 2
	flagWrite  = 4
)

// decodeRequest decodes a NEW_REQUEST: a query if its shard is negative, else a part.
func decodeRequest(line string) (choice.Event, error) {
	m := newMessage(line, "op-id", "profile", "job-no", "path-key", "grace", "user-group",
		"bitmap", "slab", "amount", "predicted")
	id, class, number, key := m.requiredText(), m.requiredText(), m.duration(), m.optionalText()
	grace, tenant, flags := m.integer(math.MinInt64, math.MaxInt64), m.optionalText(), m.duration()
	shard, amount := m.integer(math.MinInt32, math.MaxInt32), m.number()
	hinted := flags&flagHint != 0
	predicted := m.optionalDuration()
	if shard >= 0 {
		return choice.Part{ID: id, Class: class, Number: number, Key: key, Shard: int(shard), Weight: amount,
			Hinted: hinted, Predicted: predicted}, m.err
	}
	if amount < 0 || amount != math.Trunc(amount) || amount > math.MaxInt32 {
		m.next--
		m.fail("not a count of parts")
	}
	return choice.Query{ID: id, Class: class, Number: number, Key: key, Grace: grace, Tenant: tenant,
		Hinted: hinted, Repeat: flags&flagRepeat != 0, Write: flags&flagWrite != 0, Parts: int(amount),
		Predicted: predicted}, m.err
}

// decodeEvent decodes the messages that are an event by themselves. known is false if the name is not that of such
// a message.
func decodeEvent(name, line string) (event choice.Event, known bool, err error) {
	switch name {
	case "NEW_REQUEST":
		event, err = decodeRequest(line)
		return event, true, err
	case "REPLY":
		m := newMessage(line, "op-id", "node", "delay-seen", "complete", "attempt", "verdict", "gauge")
		event = choice.Outcome{ID: m.requiredText(), Server: m.requiredText(), Delay: m.duration(), Closed: m.bool(),
			Attempt: int(m.integer(0, math.MaxInt32)), Verdict: m.verdict(), Load: m.loadReport()}
		return event, true, m.err
	case "CHECK_RESULT":
		m := newMessage(line, "delay-seen", "verdict", "node", "gauge")
		event = choice.ProbeResult{Delay: m.duration(), Verdict: m.verdict(), Server: m.requiredText(), Load: m.loadReport()}
		return event, true, m.err
	case "CLIENT_LEFT":
		m := newMessage(line, "op-id")
		return choice.ClientLeft{ID: m.requiredText()}, true, m.err
	case "ELAPSED":
		m := newMessage(line, "cookie")
		return choice.Elapsed{Token: m.duration()}, true, m.err
	case "HEAD_RECEIVED":
		m := newMessage(line, "op-id", "delay-seen", "attempt", "node")
		event = choice.Started{ID: m.requiredText(), Delay: m.duration(), Attempt: int(m.integer(0, math.MaxInt32)),
			Server: m.requiredText()}
		return event, true, m.err
	case "MAIL":
		m := newMessage(line, "from", "bytes")
		from := m.duration()
		raw, err := hex.DecodeString(m.optionalText())
		if err != nil {
			m.fail("not hex digits")
		}
		return choice.PeerMessage{From: from, Bytes: raw}, true, m.err
	}
	return nil, false, nil
}
