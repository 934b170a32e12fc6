package app

// This file implements the segments commands.

import (
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"os"
	"text/tabwriter"
	"time"

	"saddleport/internal/control"
	"saddleport/internal/core/placement"
	"saddleport/internal/source/segments"
)

// SegmentsCheck checks a file with a complete segment map and prints a summary.
func SegmentsCheck(w io.Writer, file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var u placement.Update
	if err := json.Unmarshal(text, &u); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	if u.Base != 0 {
		return fmt.Errorf("%s: the map is an update of epoch %d; a complete map is required", file, u.Base)
	}
	m, err := (*placement.Map)(nil).Apply(&u)
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	_, err = fmt.Fprintf(w, "epoch=%d segments=%d cells=%d ok\n", m.Epoch(), m.Len(), m.Cells())
	return err
}

// SegmentsShow prints the segment map of the running proxy whose control socket the operator
// file names, and the state of its feed.
func SegmentsShow(w io.Writer, operator string, asJSON bool) error {
	o, err := LoadOperator(operator)
	if err != nil {
		return err
	}
	var r segments.Report
	if err := control.Call(o.Control.Socket, &r, "segments", "show"); err != nil {
		return err
	}
	if asJSON {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(r)
	}
	lastAnswer := "no answer yet"
	if r.HeardMS >= 0 {
		lastAnswer = "last answer " + (time.Duration(r.HeardMS) * time.Millisecond).Round(100*time.Millisecond).String() + " ago"
	}
	if r.Stale {
		lastAnswer += ", STALE"
	}
	fmt.Fprintf(w, "feed %s: %s; %d calls, %d suppressed, %d maps rejected\n", r.Feed, lastAnswer, r.Calls, r.Spared, r.Refused)
	if r.Err != "" {
		fmt.Fprintf(w, "last error: %s\n", r.Err)
	}
	fmt.Fprintf(w, "epoch %d (servers reported %d), %d segments on %d cells, %d retired segments kept\n", r.Epoch, r.Wanted, r.Segments, r.Cells, r.Retired)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "segment\tkeys\tcell\tsince\t")
	for _, s := range r.List {
		fmt.Fprintf(t, "%d\t%v\t%d\t%d\t\n", s.ID, s.Range, s.Cell, s.Since)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if r.Segments > len(r.List) {
		fmt.Fprintf(w, "and %d more\n", r.Segments-len(r.List))
	}
	return nil
}

// SegmentsExplain prints the segment, cell and servers to which a running proxy routes a key.
func SegmentsExplain(w io.Writer, operator, key string) error {
	o, err := LoadOperator(operator)
	if err != nil {
		return err
	}
	var e segments.Explain
	if err := control.Call(o.Control.Socket, &e, "segments", "explain", url.QueryEscape(key)); err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "key %q at epoch %d: segment %d %v, on cell %d since epoch %d; servers %v\n", e.Key, e.Epoch, e.Segment.ID,
		e.Segment.Range, e.Segment.Cell, e.Segment.Since, e.Servers)
	return err
}
