package nodesettings

import (
	"context"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"saddleport/internal/node/events"
)

// rereadInterval is how often the file is looked at, since it may change without a signal.
const rereadInterval = 5 * time.Second // at the settings file, which may change without a signal

// File is a settings file that may change while the process runs.
type File struct {
	file    string
	text    atomic.Pointer[string]
	current atomic.Pointer[Settings]

	NoEjection bool // of a proxy: no server or caller is ejected
}

// Open reads a settings file.
func Open(file string) (*File, error) {
	s := &File{file: file}
	boot, err := Load(file)
	if err != nil {
		return nil, err
	}
	text, _ := os.ReadFile(file)
	t := string(text)
	s.text.Store(&t)
	s.current.Store(boot)
	return s, nil
}

// Fixed returns settings that do not change, for tests.
func Fixed(boot *Settings) *File {
	s := &File{}
	s.current.Store(boot)
	return s
}

// Current returns the settings as they stand now.
func (s *File) Current() *Settings { return s.current.Load() }

// Watch rereads the file on SIGHUP and when it has changed, until ctx ends. A file that cannot
// be read changes nothing. Addresses take effect at the next start.
func (s *File) Watch(ctx context.Context) {
	if s.file == "" {
		return
	}
	hup := make(chan os.Signal, 4)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	tick := time.NewTicker(rereadInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-tick.C:
		}
		text, err := os.ReadFile(s.file)
		t := string(text)
		if err == nil && t == *s.text.Load() {
			continue
		}
		if err == nil {
			s.text.Store(&t)
			var boot *Settings
			if boot, err = Parse(t); err == nil {
				s.current.Store(boot)
				events.Reloaded.Log("file", s.file)
			}
		}
		if err != nil {
			events.SettingsInvalid.Log("file", s.file, "err", err)
		}
	}
}
