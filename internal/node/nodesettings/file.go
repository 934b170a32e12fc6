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

// rereadInterval is how often Watch reads the settings file, which may change without a SIGHUP.
const rereadInterval = 5 * time.Second

// File is a settings file that may change while the process runs.
type File struct {
	path    string
	text    atomic.Pointer[string]
	current atomic.Pointer[Settings]

	NoEjection bool // set by a proxy's command line: no server or caller is ejected
}

// Open reads the settings file at a path.
func Open(path string) (*File, error) {
	settings, text, err := load(path)
	if err != nil {
		return nil, err
	}
	f := &File{path: path}
	f.text.Store(&text)
	f.current.Store(settings)
	return f, nil
}

// Fixed returns a File without a path, whose settings never change, for tests.
func Fixed(settings *Settings) *File {
	f := &File{}
	f.current.Store(settings)
	return f
}

// Current returns the settings of the last valid version of the file.
func (f *File) Current() *Settings { return f.current.Load() }

// Watch rereads the file on SIGHUP and every rereadInterval until ctx ends. If the file can't be read
// or is invalid, the settings stay as they are. Addresses take effect only when the process restarts.
func (f *File) Watch(ctx context.Context) {
	if f.path == "" {
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
		raw, err := os.ReadFile(f.path)
		text := string(raw)
		if err == nil && text == *f.text.Load() {
			continue
		}
		if err == nil {
			f.text.Store(&text)
			var settings *Settings
			if settings, err = Parse(text); err == nil {
				f.current.Store(settings)
				events.Reloaded.Log("file", f.path)
			}
		}
		if err != nil {
			events.SettingsInvalid.Log("file", f.path, "err", err)
		}
	}
}
