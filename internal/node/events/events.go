// Package events defines and logs the events of the system's programs: numbered events of a
// catalogue, written as lines of key=value by charmbracelet/log. It limits the lines per second of
// each event. The package must never log an event that is missing from the catalogue, and its memory
// must not grow with the input of peers.
package events

import (
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

// Event is an entry of the catalogue.
type Event struct {
	Number      int
	Name        string
	Level       log.Level
	Description string // what has happened, for operators
	Action      string // what an operator may do about it; empty: nothing

	limiter *rateLimiter
}

// rateLimiter limits the lines of one event to maxLinesPerSecond.
type rateLimiter struct {
	mu          sync.Mutex
	windowStart time.Time
	count       int
	suppressed  int
}

const maxLinesPerSecond = 10 // of one event

var (
	catalogue []*Event
	logger    = log.NewWithOptions(os.Stderr, log.Options{ReportTimestamp: true, TimeFormat: "2006-01-02T15:04:05.000Z07:00", Formatter: log.LogfmtFormatter})
)

// SetOutput redirects the log lines; it is meant for tests.
func SetOutput(w io.Writer) { logger.SetOutput(w) }

// SetLevel sets the minimum level of the lines that are written. It returns an error if the name of
// the level is unknown.
func SetLevel(text string) error {
	l, err := log.ParseLevel(text)
	if err == nil {
		logger.SetLevel(l)
	}
	return err
}

func register(number int, name string, level log.Level, description, action string) *Event {
	for _, e := range catalogue {
		if e.Number == number || e.Name == name {
			panic(fmt.Sprintf("event %d %s is registered twice", number, name))
		}
	}
	e := &Event{Number: number, Name: name, Level: level, Description: description, Action: action, limiter: &rateLimiter{}}
	catalogue = append(catalogue, e)
	return e
}

// Log writes the event with alternating keys and values. Lines above the limit are dropped; the next
// line that is written reports their number as unlogged.
func (e *Event) Log(pairs ...any) {
	limiter := e.limiter
	limiter.mu.Lock()
	now := time.Now()
	if now.Sub(limiter.windowStart) >= time.Second {
		limiter.windowStart, limiter.count = now, 0
	}
	limiter.count++
	suppress := limiter.count > maxLinesPerSecond
	suppressed := limiter.suppressed
	if suppress {
		limiter.suppressed++
	} else {
		limiter.suppressed = 0
	}
	limiter.mu.Unlock()
	if suppress {
		return
	}
	if suppressed > 0 {
		pairs = append(pairs, "unlogged", suppressed)
	}
	logger.Log(e.Level, e.Name, append([]any{"event", e.Number}, pairs...)...)
}

// Page returns docs/operate/events.md, the table of all events.
func Page() string {
	var b strings.Builder
	b.WriteString("# Events\n\nThe events that `proxy`, `agent` and `controlplane` log to standard error, one line per event, as `key=value`.\n" +
		"At most " + fmt.Sprint(maxLinesPerSecond) + " lines per second are written of one event; `unlogged` counts the dropped ones.\n" +
		"`saddlectl events` prints this page; a test compares it with the code.\n\n" +
		"| number | event | level | what has happened | what to do |\n| --- | --- | --- | --- | --- |\n")
	for _, e := range catalogue {
		fmt.Fprintf(&b, "| %d | `%s` | %s | %s | %s |\n", e.Number, e.Name, e.Level, e.Description, e.Action)
	}
	return b.String()
}
