// Package logs writes the program's log through log/slog, as one line of key=value pairs per
// event. It owns the format of a line, the level, and the rate limit of repeated lines. It must
// never block a caller on anything but the one write, drop a line without counting it, or store
// anything that grows with input from peers: event names are constants in the code.
//
// A line is
//
//	2026/12/01 13:20:59.123456 level=info component=back event=dial-failed server=s-3 err="..."
//
// Every event is documented in docs/oncall.md; a test compares the page with the code.
package logs

import (
	"context"
	"io"
	"log/slog"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Settings are the operator file's section [log].
type Settings struct {
	Level  string `ini:"level" default:"info" oneof:"debug info warn error" help:"the lowest level that is logged"`
	Repeat int    `ini:"repeat" default:"20" range:"0..10000" help:"lines per second of one event; 0: no limit. unlogged= gives the number left out"`
}

// sink is the destination of all lines, with the level and the rate limits.
type sink struct {
	level        slog.LevelVar
	maxPerSecond atomic.Int64

	mu     sync.Mutex
	w      io.Writer
	now    func() time.Time
	limits map[string]*eventLimit
	buf    []byte
}

// eventLimit limits the lines of one event of one component to maxPerSecond.
type eventLimit struct {
	windowStart         time.Time
	written, suppressed int
}

var std = newSink(os.Stderr, time.Now)

func newSink(w io.Writer, now func() time.Time) *sink {
	s := &sink{w: w, now: now, limits: make(map[string]*eventLimit)}
	s.maxPerSecond.Store(20)
	return s
}

// For returns the logger of a component. Its messages must be event names.
func For(component string) *slog.Logger { return slog.New(&handler{s: std, component: component}) }

// Apply sets the level and the rate limit. It may be called at any time.
func Apply(settings Settings) {
	var level slog.Level
	if level.UnmarshalText([]byte(settings.Level)) == nil {
		std.level.Set(level)
	}
	std.maxPerSecond.Store(int64(settings.Repeat))
}

// Redirect sends the lines to another writer and returns a function that undoes this, for tests.
func Redirect(w io.Writer) (restore func()) {
	std.mu.Lock()
	defer std.mu.Unlock()
	previous := std.w
	std.w = w
	return func() {
		std.mu.Lock()
		defer std.mu.Unlock()
		std.w = previous
	}
}

// handler is a slog.Handler for one component.
type handler struct {
	s         *sink
	component string
	attrs     []slog.Attr
	group     string
}

func (h *handler) Enabled(_ context.Context, l slog.Level) bool { return l >= h.s.level.Level() }

func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	more := *h
	more.attrs = append(append([]slog.Attr(nil), h.attrs...), attrs...)
	return &more
}

func (h *handler) WithGroup(name string) slog.Handler {
	more := *h
	more.group += name + "."
	return &more
}

func (h *handler) Handle(_ context.Context, r slog.Record) error {
	s := h.s
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	limit := s.limits[h.component+" "+r.Message]
	if limit == nil {
		limit = &eventLimit{}
		s.limits[h.component+" "+r.Message] = limit
	}
	if maxPerSecond := s.maxPerSecond.Load(); maxPerSecond > 0 {
		if now.Sub(limit.windowStart) >= time.Second {
			limit.windowStart, limit.written = now, 0
		}
		if int64(limit.written) >= maxPerSecond {
			limit.suppressed++
			return nil
		}
		limit.written++
	}
	b := now.UTC().AppendFormat(s.buf[:0], "2006/01/02 15:04:05.000000")
	b = append(b, " level="...)
	b = append(b, levelName(r.Level)...)
	b = append(b, " component="...)
	b = append(b, h.component...)
	b = append(b, " event="...)
	b = append(b, r.Message...)
	for _, a := range h.attrs {
		b = appendAttr(b, h.group, a)
	}
	r.Attrs(func(a slog.Attr) bool {
		b = appendAttr(b, h.group, a)
		return true
	})
	if limit.suppressed > 0 {
		b = append(b, " unlogged="...)
		b = strconv.AppendInt(b, int64(limit.suppressed), 10)
		limit.suppressed = 0
	}
	b = append(b, '\n')
	s.buf = b
	if cap(s.buf) > 64<<10 { // do not keep the buffer of one long line
		s.buf = nil
	}
	_, err := s.w.Write(b)
	return err
}

func levelName(l slog.Level) string {
	switch {
	case l >= slog.LevelError:
		return "error"
	case l >= slog.LevelWarn:
		return "warn"
	case l >= slog.LevelInfo:
		return "info"
	}
	return "debug"
}

// Pairs is an attribute value that already consists of key=value pairs. It is written without its
// key and without quotes.
type Pairs string

const maxValue = 2000 // bytes of one value; the rest is cut off

func appendAttr(b []byte, group string, a slog.Attr) []byte {
	v := a.Value.Resolve()
	if v.Kind() == slog.KindGroup {
		for _, inner := range v.Group() {
			b = appendAttr(b, group+a.Key+".", inner)
		}
		return b
	}
	b = append(b, ' ')
	if raw, ok := v.Any().(Pairs); ok {
		return append(b, raw...)
	}
	b = append(b, group...)
	b = append(b, a.Key...)
	b = append(b, '=')
	text := ""
	switch v.Kind() {
	case slog.KindInt64:
		return strconv.AppendInt(b, v.Int64(), 10)
	case slog.KindUint64:
		return strconv.AppendUint(b, v.Uint64(), 10)
	case slog.KindBool:
		return strconv.AppendBool(b, v.Bool())
	default:
		text = v.String()
	}
	if len(text) > maxValue {
		text = text[:maxValue] + "..."
	}
	if plain(text) {
		return append(b, text...)
	}
	return strconv.AppendQuote(b, text)
}

// plain reports whether a value can be written without quotes.
func plain(s string) bool {
	for i := range len(s) {
		if c := s[i]; c <= ' ' || c >= 0x7f || c == '"' || c == '=' || c == '\\' {
			return false
		}
	}
	return s != ""
}
