package show

// This file holds a progress bar for work of known length.

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// Bar shows the progress of some work and the estimated time left.
type Bar struct {
	w        *os.File
	terminal bool
	label    string
	started  time.Time

	mu    sync.Mutex
	last  time.Time
	dirty bool
}

// NewBar returns a bar with a label that writes to w.
func NewBar(w *os.File, what string) *Bar {
	info, err := w.Stat()
	return &Bar{w: w, terminal: err == nil && info.Mode()&os.ModeCharDevice != 0, label: what, started: time.Now(), last: time.Now()}
}

// Set shows the completed share, from 0 to 1, and a remark.
func (b *Bar) Set(share float64, remark string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	pause := plainInterval
	if b.terminal {
		pause = 100 * time.Millisecond
	}
	if time.Since(b.last) < pause {
		return
	}
	b.last = time.Now()
	share = min(max(share, 0), 1)
	left := "?"
	if spent := time.Since(b.started); share > 0.005 {
		left = time.Duration(float64(spent) * (1 - share) / share).Round(time.Second).String()
	}
	done := int(width * share)
	line := fmt.Sprintf("%-13s [%s%s] %3.0f%%  %s left  %s", b.label, strings.Repeat("=", done), strings.Repeat(".", width-done), 100*share, left, remark)
	if b.terminal {
		fmt.Fprintf(b.w, "\r\x1b[K%s", line)
		b.dirty = true
	} else {
		fmt.Fprintln(b.w, line)
	}
}

// End removes the bar from a terminal.
func (b *Bar) End() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.dirty {
		fmt.Fprint(b.w, "\r\x1b[K")
		b.dirty = false
	}
}
