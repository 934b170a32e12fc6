package app

// This file implements the level commands.

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

func (o *Operator) levelSettings() (out []exchange.LevelSettings) {
	for _, l := range o.Level {
		out = append(out, *l)
	}
	return out
}

func (o *Operator) checkLevels() error {
	for i, name := range o.Levels.Names {
		if !slices.ContainsFunc(o.Level, func(l *exchange.LevelSettings) bool { return l.Name == name }) {
			return &operator.KeyError{Key: "levels", Problem: "section [level " + name + "] does not exist"}
		}
		if slices.Contains(o.Levels.Names[:i], name) || name == "full" {
			return &operator.KeyError{Key: "levels", Problem: name + " is listed twice, or is the name of full service"}
		}
	}
	if o.Levels.MinStay > o.Levels.MaxStay {
		return &operator.KeyError{Key: "least-stay", Problem: "must not be above most-stay"}
	}
	return nil
}

// maxPin bounds the duration of a pin, so that a forgotten pin does not last for ever.
const maxPin = 24 * time.Hour

// levelCommand runs a level command of the control socket.
func (p *proxy) levelCommand(args []string) (any, error) {
	switch {
	case len(args) == 1 && args[0] == "show":
		return p.exchange.Levels("", 0, false)
	case len(args) == 1 && args[0] == "release":
		return p.exchange.Levels("", 0, true)
	case len(args) == 3 && args[0] == "pin":
		duration, err := time.ParseDuration(args[2])
		if err != nil || duration <= 0 || duration > maxPin {
			return nil, fmt.Errorf("%.40q is not a duration above 0 and up to %v", args[2], maxPin)
		}
		return p.exchange.Levels(args[1], duration, false)
	}
	return nil, errors.New("expected show, pin LEVEL DURATION or release")
}

// Level sends a level command (show, pin or release) to the running proxy whose control socket
// the operator file names, and prints the resulting state; with history, it prints the level
// changes in its place.
func Level(w io.Writer, operatorFile string, asJSON, history bool, args ...string) error {
	o, err := LoadOperator(operatorFile)
	if err != nil {
		return err
	}
	var r exchange.LevelReport
	if err := control.Call(o.Control.Socket, &r, append([]string{"level"}, args...)...); err != nil {
		return err
	}
	if asJSON {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(r)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if history {
		fmt.Fprintln(t, "time\tfrom\tto\treason\t")
		for _, c := range r.Past {
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t\n", c.At.Format("2006-01-02 15:04:05"), c.From, c.To, c.Why)
		}
		return t.Flush()
	}
	fmt.Fprintf(w, "level %s", r.Level)
	if r.Trying != "" {
		fmt.Fprintf(w, ", trial of %s", r.Trying)
	}
	if !r.Pinned.IsZero() {
		fmt.Fprintf(w, ", pinned until %s", r.Pinned.Format("15:04:05"))
	}
	signals := r.Signals
	fmt.Fprintf(w, "; minimum stay %.0f s; %d changes\nin the last second: %.0f queries, rejected %.1f%%, failed or late %.1f%%, servers in slow start %.1f%%, cells down %.1f%%, queue %.1f ms\n\n",
		r.StayS, len(r.Past), signals.QueryRate, 100*signals.Refused, 100*signals.Failed, 100*signals.SlowStart, 100*signals.CellsDown, signals.Queue)
	fmt.Fprintln(t, "level\tseconds\tqueries\trejected by the level\treduced share\tvalue answered in time\t")
	for _, c := range r.Cost {
		fmt.Fprintf(t, "%s\t%.0f\t%d\t%d\t%d\t%.1f%%\t\n", c.Level, c.Seconds, c.Asked, c.Refused, c.Short, 100*c.Answered)
	}
	return t.Flush()
}
