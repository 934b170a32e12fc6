package storage

import (
	"bytes"
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

// disk is files as a machine's disk keeps them over a loss of power: what was synced is
// there; of later writes each is there, missing or torn, or all of them are gone; a file
// that was never synced is there or not, and one that was removed may come back.
type disk struct {
	mu    sync.Mutex
	rng   *rand.Rand
	files map[storage.FileDesc]*file
	gone  map[storage.FileDesc]*file // removed
	meta  storage.FileDesc
	left  int   // writes, syncs and names until the power goes; below 0: it does not
	after *disk // what is there afterwards, once it has gone
	full  bool  // it refuses writes
}

type file struct {
	synced  []byte
	lasting bool
	now     []byte
	pending []write
}

type write struct {
	at   int
	data []byte
}

func newDisk(rng *rand.Rand) *disk {
	return &disk{rng: rng, files: make(map[storage.FileDesc]*file), gone: make(map[storage.FileDesc]*file), left: -1}
}

// step counts an operation, and takes the power when its time has come.
func (d *disk) step() error {
	if d.after != nil {
		return io.ErrClosedPipe
	}
	if d.full {
		return fmt.Errorf("no space")
	}
	if d.left == 0 {
		d.after = d.lost()
		return io.ErrClosedPipe
	}
	d.left = max(d.left-1, -1)
	return nil
}

func (d *disk) lost() *disk {
	n := newDisk(d.rng)
	n.meta = d.meta
	all := d.rng.IntN(3) == 0
	for fd, f := range d.files {
		if !f.lasting && (all || d.rng.IntN(2) == 0) {
			continue
		}
		is := bytes.Clone(f.synced)
		for _, w := range f.pending {
			data := w.data
			switch x := d.rng.IntN(3); {
			case all || x == 0:
				continue
			case x == 1:
				data = data[:d.rng.IntN(len(data)+1)]
			}
			for len(is) < w.at+len(data) {
				is = append(is, 0)
			}
			copy(is[w.at:], data)
		}
		n.files[fd] = &file{synced: is, now: bytes.Clone(is), lasting: true}
	}
	for fd, f := range d.gone {
		if n.files[fd] == nil && d.rng.IntN(2) == 0 {
			n.files[fd] = &file{synced: f.synced, now: bytes.Clone(f.synced), lasting: true}
		}
	}
	return n
}

type unlocker struct{}

func (unlocker) Unlock() {}

func (d *disk) Lock() (storage.Locker, error) { return unlocker{}, nil }
func (d *disk) Log(string)                    {}
func (d *disk) Close() error                  { return nil }

func (d *disk) SetMeta(fd storage.FileDesc) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.step(); err != nil {
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
	return reader{bytes.NewReader(bytes.Clone(f.now))}, nil
}

type writer struct {
	d *disk
	f *file
}

func (d *disk) Create(fd storage.FileDesc) (storage.Writer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.step(); err != nil {
		return nil, err
	}
	f := &file{}
	d.files[fd] = f
	return &writer{d, f}, nil
}

func (w *writer) Write(p []byte) (int, error) {
	w.d.mu.Lock()
	defer w.d.mu.Unlock()
	w.f.pending = append(w.f.pending, write{len(w.f.now), bytes.Clone(p)})
	if err := w.d.step(); err != nil { // the write may have begun
		return 0, err
	}
	w.f.now = append(w.f.now, p...)
	return len(p), nil
}

func (w *writer) Sync() error {
	w.d.mu.Lock()
	defer w.d.mu.Unlock()
	if err := w.d.step(); err != nil {
		return err
	}
	w.f.synced, w.f.pending, w.f.lasting = bytes.Clone(w.f.now), nil, true
	return nil
}

func (w *writer) Close() error { return nil }

func (d *disk) Remove(fd storage.FileDesc) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.step(); err != nil {
		return err
	}
	if f := d.files[fd]; f != nil && f.lasting {
		d.gone[fd] = f
	}
	delete(d.files, fd)
	return nil
}

func (d *disk) Rename(from, to storage.FileDesc) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.step(); err != nil {
		return err
	}
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

// What was put is there after any loss of power; what was being put is there whole or not
// at all.
func TestPowerLost(t *testing.T) {
	Convey("Losses of power at every kind of moment", t, func() {
		losses, inFlight := 0, 0
		for seed := range uint64(60) {
			rng := rand.New(rand.NewPCG(seed, 9))
			d := newDisk(rand.New(rand.NewPCG(seed, 10))) // its own: the store writes from goroutines of its own
			want, tried := 0, 0
			for range 12 {
				d.left = 1 + rng.IntN(60)
				if rng.IntN(4) == 0 {
					d.left = rng.IntN(12) // while it is opened
				}
				s, err := OpenFiles(d)
				for err == nil {
					tried++
					value := bytes.Repeat([]byte(fmt.Sprintf("%08d", tried)), 1+rng.IntN(30_000))
					if err = s.Put(Entry{Key: "a", Value: value}, Entry{Key: "b", Value: value[:8]}); err == nil {
						want = tried
					}
				}
				if s != nil {
					s.Close()
				}
				d.mu.Lock()
				after := d.after
				d.mu.Unlock()
				if after == nil {
					t.Fatalf("seed %d: %v though there is power", seed, err)
				}
				losses++
				d = after
				s, err = OpenFiles(d)
				if err != nil {
					t.Fatalf("seed %d: after a loss of power: %v", seed, err)
				}
				a, errA := s.Get("a")
				b, errB := s.Get("b")
				if errA != nil || errB != nil {
					t.Fatalf("seed %d: %v %v", seed, errA, errB)
				}
				have := 0
				fmt.Sscanf(string(b), "%08d", &have)
				if have != want && have != tried || len(a)%8 != 0 || len(a) >= 8 && !bytes.Equal(a[:8], b) || len(a) >= 8 && !bytes.Equal(a[len(a)-8:], b) {
					t.Fatalf("seed %d: put %d, tried %d, there is %d", seed, want, tried, have)
				}
				if have == tried && have != want {
					inFlight++
				}
				want, tried = have, have
				s.Close()
			}
		}
		So(losses, ShouldBeGreaterThan, 500)
		So(inFlight, ShouldBeGreaterThan, 0) // what was not acknowledged may be there
	})
	Convey("A disk that refuses writes says so, and keeps what it has", t, func() {
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
	Convey("The store stays small however much was put", t, func() {
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
