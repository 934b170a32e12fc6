package app

// This file is what the level commands do.

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"saddleport/internal/control"
	"saddleport/internal/exchange"
	"saddleport/internal/operator"
)

func (o *Operator) levels() (out []exchange.LevelSettings) {
	for _, l := range o.Level {
		out = append(out, *l)
	}
	return out
}

func (o *Operator) checkLevels() error {
	for i, name := range o.Levels.Names {
		if !slices.ContainsFunc(o.Level, func(l *exchange.LevelSettings) bool { return l.Name == name }) {
			return &operator.KeyError{Key: "levels", Problem: "there is no section [level " + name + "]"}
		}
		if slices.Contains(o.Levels.Names[:i], name) || name == "full" {
			return &operator.KeyError{Key: "levels", Problem: name + " stands twice, or is full service's name"}
		}
	}
	if o.Levels.MinStay > o.Levels.MaxStay {
		return &operator.KeyError{Key: "least-stay", Problem: "is above most-stay"}
	}
	return nil
}

// mostPin bounds a pin: a level that nobody remembers must not stand for ever.
const mostPin = 24 * time.Hour

// levelCommand does what the control socket asks.
func (m *mixer) levelCommand(words []string) (any, error) {
	switch {
	case len(words) == 1 && words[0] == "show":
		return m.x.Levels("", 0, false)
	case len(words) == 1 && words[0] == "release":
		return m.x.Levels("", 0, true)
	case len(words) == 3 && words[0] == "pin":
		span, err := time.ParseDuration(words[2])
		if err != nil || span <= 0 || span > mostPin {
			return nil, fmt.Errorf("%.40q is no span within 0 to %v", words[2], mostPin)
		}
		return m.x.Levels(words[1], span, false)
	}
	return nil, errors.New("say show, pin LEVEL SPAN or release")
}

// Level asks a running mixer for its level, or has it pin or release one, and prints
// what it tells; history adds all changes.
func Level(w io.Writer, operatorFile string, asJSON, history bool, words ...string) error {
	o, err := LoadOperator(operatorFile)
	if err != nil {
		return err
	}
	var r exchange.LevelReport
	if err := control.Call(o.Control.Socket, &r, append([]string{"level"}, words...)...); err != nil {
		return err
	}
	if asJSON {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(r)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if history {
		fmt.Fprintln(t, "at\tfrom\tto\twhy\t")
		for _, c := range r.Past {
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t\n", c.At.Format("2006-01-02 15:04:05"), c.From, c.To, c.Why)
		}
		return t.Flush()
	}
	fmt.Fprintf(w, "level %s", r.Level)
	if r.Trying != "" {
		fmt.Fprintf(w, ", trying %s", r.Trying)
	}
	if !r.Pinned.IsZero() {
		fmt.Fprintf(w, ", pinned until %s", r.Pinned.Format("15:04:05"))
	}
	g := r.Signals
	fmt.Fprintf(w, "; stays at least %.0f s; %d changes\nin the last second: %.0f queries, refused %.1f%%, failed or late %.1f%%, cold %.1f%%, unsound %.1f%%, queue %.1f ms\n\n",
		r.StayS, len(r.Past), g.QueryRate, 100*g.Refused, 100*g.Failed, 100*g.SlowStart, 100*g.CellsDown, g.Queue)
	fmt.Fprintln(t, "level\tseconds\tqueries\tturned away by it\tasked for in part\tvalue answered in time\t")
	for _, c := range r.Cost {
		fmt.Fprintf(t, "%s\t%.0f\t%d\t%d\t%d\t%.1f%%\t\n", c.Level, c.Seconds, c.Asked, c.Refused, c.Short, 100*c.Answered)
	}
	return t.Flush()
}
