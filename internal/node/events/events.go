// Package events owns what the system's programs log: numbered events, each with its
// place in the catalogue, written as lines of key=value by charmbracelet/log. It owns the
// bound on lines that repeat. It must never log what the catalogue does not have, or grow
// with what a peer sends.
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

// Event is one entry of the catalogue.
type Event struct {
	Number      int
	Name        string
	Level       log.Level
	Description string // what has happened
	Action      string // what an operator may do about it; "": nothing

	gate *gate
}

// gate bounds the lines of one event.
type gate struct {
	mu     sync.Mutex
	at     time.Time
	passed int
	kept   int
}

const mostLines = 10 // a second, of one event

var (
	catalogue []*Event
	std       = log.NewWithOptions(os.Stderr, log.Options{ReportTimestamp: true, TimeFormat: "2006-01-02T15:04:05.000Z07:00", Formatter: log.LogfmtFormatter})
)

// SetOutput sends the lines elsewhere, for tests.
func SetOutput(w io.Writer) { std.SetOutput(w) }

// SetLevel sets the least level that is written.
func SetLevel(text string) error {
	l, err := log.ParseLevel(text)
	if err == nil {
		std.SetLevel(l)
	}
	return err
}

func add(number int, name string, level log.Level, means, do string) *Event {
	for _, e := range catalogue {
		if e.Number == number || e.Name == name {
			panic(fmt.Sprintf("event %d %s stands twice", number, name))
		}
	}
	e := &Event{Number: number, Name: name, Level: level, Description: means, Action: do, gate: &gate{}}
	catalogue = append(catalogue, e)
	return e
}

// Log writes the event with pairs of key and value.
func (e *Event) Log(pairs ...any) {
	g := e.gate
	g.mu.Lock()
	now := time.Now()
	if now.Sub(g.at) >= time.Second {
		g.at, g.passed = now, 0
	}
	g.passed++
	over := g.passed > mostLines
	kept := g.kept
	if over {
		g.kept++
	} else {
		g.kept = 0
	}
	g.mu.Unlock()
	if over {
		return
	}
	if kept > 0 {
		pairs = append(pairs, "unlogged", kept)
	}
	std.Log(e.Level, e.Name, append([]any{"event", e.Number}, pairs...)...)
}

// Page prints the catalogue as the operators' page.
func Page() string {
	var b strings.Builder
	b.WriteString("# Events\n\nWhat `proxy`, `agent` and `controlplane` log, one line an event, `key=value`, on standard error.\n" +
		"Of one event at most " + fmt.Sprint(mostLines) + " lines a second are written; `unlogged` counts those left out.\n" +
		"`saddlectl events` prints this page; a test holds it to the code.\n\n" +
		"| number | event | level | what has happened | what to do |\n| --- | --- | --- | --- | --- |\n")
	for _, e := range catalogue {
		fmt.Fprintf(&b, "| %d | `%s` | %s | %s | %s |\n", e.Number, e.Name, e.Level, e.Description, e.Action)
	}
	return b.String()
}
