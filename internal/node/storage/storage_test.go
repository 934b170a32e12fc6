package storage

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/syndtr/goleveldb/leveldb/storage"
)

// disk simulates the files of a machine across a loss of power. Synced data survives. Of the writes
// after the last sync either each is complete, missing or torn, or all are lost. A file that was never
// synced may be missing, and a removed file may reappear.
type disk struct {
	mu             sync.Mutex
	rng            *rand.Rand
	files          map[storage.FileDesc]*file
	removed        map[storage.FileDesc]*file // durable files that were removed and may reappear
	meta           storage.FileDesc
	operationsLeft int   // writes, syncs, creations and renames until the loss of power; below 0: none occurs
	afterPowerLoss *disk // the disk after the loss of power; nil before it
	full           bool  // writes fail
}

type file struct {
	synced  []byte
	durable bool
	content []byte
	pending []write
}

type write struct {
	offset int
	data   []byte
}

func newDisk(rng *rand.Rand) *disk {
	return &disk{rng: rng, files: make(map[storage.FileDesc]*file), removed: make(map[storage.FileDesc]*file), operationsLeft: -1}
}

// countOperation counts an operation. It returns an error when the disk is full or has lost power.
func (d *disk) countOperation() error {
	if d.afterPowerLoss != nil {
		return io.ErrClosedPipe
	}
	if d.full {
		return fmt.Errorf("no space")
	}
	if d.operationsLeft == 0 {
		d.afterPowerLoss = d.simulatePowerLoss()
		return io.ErrClosedPipe
	}
	d.operationsLeft = max(d.operationsLeft-1, -1)
	return nil
}

func (d *disk) simulatePowerLoss() *disk {
	next := newDisk(d.rng)
	next.meta = d.meta
	loseAll := d.rng.IntN(3) == 0
	for fd, f := range d.files {
		if !f.durable && (loseAll || d.rng.IntN(2) == 0) {
			continue
		}
		restored := bytes.Clone(f.synced)
		for _, w := range f.pending {
			data := w.data
			switch x := d.rng.IntN(3); {
			case loseAll || x == 0:
				continue
			case x == 1:
				data = data[:d.rng.IntN(len(data)+1)]
			}
			for len(restored) < w.offset+len(data) {
				restored = append(restored, 0)
			}
			copy(restored[w.offset:], data)
		}
		next.files[fd] = &file{synced: restored, content: bytes.Clone(restored), durable: true}
	}
	for fd, f := range d.removed {
		if next.files[fd] == nil && d.rng.IntN(2) == 0 {
			next.files[fd] = &file{synced: f.synced, content: bytes.Clone(f.synced), durable: true}
		}
	}
	return next
}

type unlocker struct{}

func (unlocker) Unlock() {}

func (d *disk) Lock() (storage.Locker, error) { return unlocker{}, nil }
func (d *disk) Log(string)                    {}
func (d *disk) Close() error                  { return nil }

func (d *disk) SetMeta(fd storage.FileDesc) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countOperation(); err != nil {
		return err
	}
	d.meta = fd
	return nil
}

func (d *disk) GetMeta() (storage.FileDesc, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.files[d.meta] == nil {
		return storage.FileDesc{}, os.ErrNotExist
	}
	return d.meta, nil
}

func (d *disk) List(ft storage.FileType) (out []storage.FileDesc, _ error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for fd := range d.files {
		if fd.Type&ft != 0 {
			out = append(out, fd)
		}
	}
	return out, nil
}

type reader struct{ *bytes.Reader }

func (reader) Close() error { return nil }

func (d *disk) Open(fd storage.FileDesc) (storage.Reader, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.files[fd]
	if f == nil {
		return nil, os.ErrNotExist
	}
	return reader{bytes.NewReader(bytes.Clone(f.content))}, nil
}

type writer struct {
	d *disk
	f *file
}

func (d *disk) Create(fd storage.FileDesc) (storage.Writer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countOperation(); err != nil {
		return nil, err
	}
	f := &file{}
	d.files[fd] = f
	return &writer{d, f}, nil
}

func (w *writer) Write(p []byte) (int, error) {
	w.d.mu.Lock()
	defer w.d.mu.Unlock()
	w.f.pending = append(w.f.pending, write{len(w.f.content), bytes.Clone(p)})
	if err := w.d.countOperation(); err != nil { // the write may have been executed in part
		return 0, err
	}
	w.f.content = append(w.f.content, p...)
	return len(p), nil
}

func (w *writer) Sync() error {
	w.d.mu.Lock()
	defer w.d.mu.Unlock()
	if err := w.d.countOperation(); err != nil {
		return err
	}
	w.f.synced, w.f.pending, w.f.durable = bytes.Clone(w.f.content), nil, true
	return nil
}

func (w *writer) Close() error { return nil }

func (d *disk) Remove(fd storage.FileDesc) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countOperation(); err != nil {
		return err
	}
	if f := d.files[fd]; f != nil && f.durable {
		d.removed[fd] = f
	}
	delete(d.files, fd)
	return nil
}

func (d *disk) Rename(from, to storage.FileDesc) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countOperation(); err != nil {
		return err
	}
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

// TestPowerLost checks that acknowledged writes survive any loss of power, and that a write in
// progress is stored completely or not at all.
func TestPowerLost(t *testing.T) {
	Convey("Losses of power at random operations", t, func() {
		losses, inFlight := 0, 0
		for seed := range uint64(60) {
			rng := rand.New(rand.NewPCG(seed, 9))
			d := newDisk(rand.New(rand.NewPCG(seed, 10))) // a separate generator: the store writes from its own goroutines
			acknowledged, attempted := 0, 0
			for range 12 {
				d.operationsLeft = 1 + rng.IntN(60)
				if rng.IntN(4) == 0 {
					d.operationsLeft = rng.IntN(12) // while the store is opened
				}
				s, err := OpenFiles(d)
				for err == nil {
					attempted++
					value := bytes.Repeat([]byte(fmt.Sprintf("%08d", attempted)), 1+rng.IntN(30_000))
					if err = s.Put(Entry{Key: "a", Value: value}, Entry{Key: "b", Value: value[:8]}); err == nil {
						acknowledged = attempted
					}
				}
				if s != nil {
					s.Close()
				}
				d.mu.Lock()
				afterPowerLoss := d.afterPowerLoss
				d.mu.Unlock()
				if afterPowerLoss == nil {
					t.Fatalf("seed %d: %v without a loss of power", seed, err)
				}
				losses++
				d = afterPowerLoss
				s, err = OpenFiles(d)
				if err != nil {
					t.Fatalf("seed %d: open after a loss of power: %v", seed, err)
				}
				a, errA := s.Get("a")
				b, errB := s.Get("b")
				if errA != nil || errB != nil {
					t.Fatalf("seed %d: get: %v, %v", seed, errA, errB)
				}
				stored := 0
				fmt.Sscanf(string(b), "%08d", &stored)
				if stored != acknowledged && stored != attempted || len(a)%8 != 0 || len(a) >= 8 && !bytes.Equal(a[:8], b) || len(a) >= 8 && !bytes.Equal(a[len(a)-8:], b) {
					t.Fatalf("seed %d: acknowledged %d, attempted %d, stored %d", seed, acknowledged, attempted, stored)
				}
				if stored == attempted && stored != acknowledged {
					inFlight++
				}
				acknowledged, attempted = stored, stored
				s.Close()
			}
		}
		So(losses, ShouldBeGreaterThan, 500)
		So(inFlight, ShouldBeGreaterThan, 0) // an unacknowledged write may be stored
	})
	Convey("A full disk returns an error and keeps its data", t, func() {
		d := newDisk(rand.New(rand.NewPCG(1, 1)))
		s, err := OpenFiles(d)
		So(err, ShouldBeNil)
		So(s.Put(Entry{Key: "k", Value: []byte("v")}), ShouldBeNil)
		d.full = true
		So(s.Put(Entry{Key: "k", Value: []byte("w")}), ShouldNotBeNil)
		s.Close()
		d.full = false
		s, err = OpenFiles(d)
		So(err, ShouldBeNil)
		v, err := s.Get("k")
		So(err, ShouldBeNil)
		So(string(v), ShouldBeIn, "v", "w")
		s.Close()
	})
	Convey("Only damaged data is reported as damaged", t, func() {
		d := newDisk(rand.New(rand.NewPCG(1, 1)))
		s, err := OpenFiles(d)
		So(err, ShouldBeNil)
		So(s.Put(Entry{Key: "k", Value: []byte("v")}), ShouldBeNil)
		s.Close()
		d.full = true
		_, err = OpenFiles(d)
		So(err, ShouldNotBeNil)
		So(errors.Is(err, ErrDamaged), ShouldBeFalse)
		d.full = false
		d.files[d.meta].content = []byte("not a manifest")
		_, err = OpenFiles(d)
		So(errors.Is(err, ErrDamaged), ShouldBeTrue)
	})
	Convey("The size of the store is bounded after many writes", t, func() {
		dir := t.TempDir()
		s, err := Open(dir)
		So(err, ShouldBeNil)
		for i := range 400 {
			So(s.Put(Entry{Key: "entry", Value: bytes.Repeat([]byte{byte(i)}, 256<<10)}), ShouldBeNil)
		}
		So(s.Close(), ShouldBeNil)
		size := int64(0)
		filepath.Walk(dir, func(_ string, info os.FileInfo, err error) error {
			if err == nil && !info.IsDir() {
				size += info.Size()
			}
			return nil
		})
		So(size, ShouldBeLessThan, 32<<20)
		t.Logf("%d kB after 100 MB", size>>10)
	})
}
