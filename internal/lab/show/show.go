// Package show displays the progress of a long run: on a terminal one line that is
// overwritten, elsewhere a line every ten seconds. It must never write to the stream
// that receives the result.
package show

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"saddleport/internal/lab/drill"
)

const (
	width         = 30
	plainInterval = 10 * time.Second
)

// Progress writes the progress of runs to one file.
type Progress struct {
	w        *os.File
	terminal bool

	mu    sync.Mutex
	dirty bool
	last  time.Duration
	run   string
}

// New returns a Progress that writes to w.
func New(w *os.File) *Progress {
	info, err := w.Stat()
	return &Progress{w: w, terminal: err == nil && info.Mode()&os.ModeCharDevice != 0}
}

// Sample shows the state of a run.
func (p *Progress) Sample(run string, s drill.Sample) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if run != p.run {
		p.run, p.last = run, -plainInterval
	}
	if !p.terminal && s.At-p.last < plainInterval {
		return
	}
	p.last = s.At
	done := min(int(float64(width)*float64(s.At)/float64(s.Of)), width)
	line := fmt.Sprintf("%-13s [%s%s] %3.0fs of %.0fs  %3d open  %3d MiB  %3d files", run, strings.Repeat("=", done),
		strings.Repeat(".", width-done), s.At.Seconds(), s.Of.Seconds(), s.Open, s.RSS>>20, s.Files)
	off := 0
	for _, h := range s.Hooks {
		if h.State != "in service" {
			off++
		}
	}
	if len(s.Hooks) > 0 {
		line += fmt.Sprintf("  %d hooks, %d out of service", len(s.Hooks), off)
	}
	if p.terminal {
		fmt.Fprintf(p.w, "\r\x1b[K%s", line)
		p.dirty = true
	} else {
		fmt.Fprintln(p.w, line)
	}
}

// Notice writes a message on a separate line.
func (p *Progress) Notice(run, format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.clear()
	fmt.Fprintf(p.w, "%-13s "+format+"\n", append([]any{run}, args...)...)
}

// End removes the progress line from a terminal.
func (p *Progress) End() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.clear()
}

func (p *Progress) clear() {
	if p.dirty {
		fmt.Fprint(p.w, "\r\x1b[K")
		p.dirty = false
	}
}
