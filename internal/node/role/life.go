package role

import (
	"context"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"saddleport/internal/node/events"
)

const lookEvery = 5 * time.Second // at the settings file, which may change without a signal

// Settings are a settings file that may change while the process runs.
type Settings struct {
	file string
	text atomic.Pointer[string]
	now  atomic.Pointer[Boot]

	Alike bool // of a proxy: nobody is set apart
}

// OpenSettings reads a settings file.
func OpenSettings(file string) (*Settings, error) {
	s := &Settings{file: file}
	boot, err := Load(file)
	if err != nil {
		return nil, err
	}
	text, _ := os.ReadFile(file)
	t := string(text)
	s.text.Store(&t)
	s.now.Store(boot)
	return s, nil
}

// Fixed makes settings that don't change, for tests.
func Fixed(boot *Boot) *Settings {
	s := &Settings{}
	s.now.Store(boot)
	return s
}

// Boot is what the file says now.
func (s *Settings) Boot() *Boot { return s.now.Load() }

// Watch rereads the file on SIGHUP, and when it has changed, until ctx ends. One that
// can't be read changes nothing. Addresses count from the next start.
func (s *Settings) Watch(ctx context.Context) {
	if s.file == "" {
		return
	}
	hup := make(chan os.Signal, 4)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	tick := time.NewTicker(lookEvery)
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
			var boot *Boot
			if boot, err = ParseBoot(t); err == nil {
				s.now.Store(boot)
				events.Reloaded.Log("file", s.file)
			}
		}
		if err != nil {
			events.Unread.Log("file", s.file, "err", err)
		}
	}
}
