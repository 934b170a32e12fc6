package role

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"saddleport/internal/cluster/consensus"
	"saddleport/internal/cluster/message"
	"saddleport/internal/cluster/replica"
	"saddleport/internal/node/events"
	"saddleport/internal/node/storage"
)

// Which disk a core machine finds: its own, an empty one, a damaged one, another's. Only
// its own counts for what it has promised.
func TestDisk(t *testing.T) {
	Convey("A core machine's disk", t, func() {
		events.To(io.Discard)
		f := newFleet(t)
		first := func() replica.Record {
			s, r, err := openDisk(f.boot(1, true))
			So(err, ShouldBeNil)
			So(s.Close(), ShouldBeNil)
			return r
		}
		again := func(machine int) (replica.Record, error) {
			s, r, err := openDisk(f.boot(machine, false))
			if err == nil {
				So(s.Close(), ShouldBeNil)
			}
			return r, err
		}
		dir := f.boot(1, true).Dir
		r := first()
		So(r.State.Self.Disk, ShouldEqual, consensus.FirstDisk)
		So(r.State.View.Members, ShouldHaveLength, 3)

		Convey("is known again", func() {
			back, err := again(1)
			So(err, ShouldBeNil)
			So(back.State.Self, ShouldResemble, r.State.Self)
			So(back.State.View, ShouldResemble, r.State.View)
		})
		Convey("that is empty makes another member, which no view has", func() {
			So(os.RemoveAll(filepath.Join(dir, "state")), ShouldBeNil)
			back, err := again(1)
			So(err, ShouldBeNil)
			So(back.State.Self.Disk, ShouldNotEqual, consensus.FirstDisk)
			So(back.State.View.Epoch, ShouldEqual, uint64(0))
			once, err := again(1) // and stays that one
			So(err, ShouldBeNil)
			So(once.State.Self, ShouldResemble, back.State.Self)
		})
		Convey("that can't be read is set aside, and makes another member", func() {
			names, err := filepath.Glob(filepath.Join(dir, "state", "MANIFEST-*"))
			So(err, ShouldBeNil)
			So(names, ShouldNotBeEmpty)
			for _, name := range names {
				So(os.WriteFile(name, []byte("these bytes are no manifest at all"), 0o644), ShouldBeNil)
			}
			back, err := again(1)
			So(err, ShouldBeNil)
			So(back.State.Self.Disk, ShouldNotEqual, consensus.FirstDisk)
			_, err = os.Stat(filepath.Join(dir, "damaged"))
			So(err, ShouldBeNil)
		})
		Convey("of another address makes another member", func() {
			f.dirs[f.ip(2)] = dir
			back, err := again(2)
			So(err, ShouldBeNil)
			So(back.State.Self.Addr, ShouldEqual, f.boot(2, false).Inner())
			So(back.State.Self.Disk, ShouldNotEqual, consensus.FirstDisk)
			So(back.State.View.Epoch, ShouldEqual, uint64(0))
		})
		Convey("whose configuration is older than its view says is not trusted", func() {
			s, err := storage.Open(dir)
			So(err, ShouldBeNil)
			r.State.View.Base = 9 << message.MarkBits
			old, _ := json.Marshal(message.NewEntry(8, []byte("x")))
			So(s.Put(storage.Entry{Key: keyState, Value: replica.Encode(r)}, storage.Entry{Key: keyEntry, Value: old}), ShouldBeNil)
			So(s.Close(), ShouldBeNil)
			back, err := again(1)
			So(err, ShouldBeNil)
			So(back.State.Self.Disk, ShouldNotEqual, consensus.FirstDisk)
			So(back.Entry, ShouldBeNil)
		})
	})
}

// What a core machine has seen acknowledged it tells at its next start, before the chain
// stands: after a loss of power the proxies wait for no majority. What it holds beyond that
// it does not tell.
func TestKnownAtOnce(t *testing.T) {
	Convey("A core machine that starts alone", t, func() {
		events.To(io.Discard)
		f := newFleet(t)
		entry := func(version uint64) message.Entry {
			return message.NewEntry(version, []byte(config(int(version), "v")))
		}
		start := func(first bool) *core {
			boot := f.boot(1, first)
			c, err := newCore(NewNode(Fixed(boot), "keel"), boot)
			So(err, ShouldBeNil)
			return c
		}
		c := start(true)
		told, known := c.node.book.Get(charterAt)
		So(known, ShouldBeFalse)
		ctx, cancel := context.WithCancel(context.Background())
		over := make(chan struct{})
		go func() { defer close(over); c.write(ctx) }()
		seen, held := entry(3), entry(4)
		c.mu.Lock()
		c.known = &seen
		c.mu.Unlock()
		c.wake()
		until("it kept", func() bool { raw, err := c.disk.Get(keyKnown); return err == nil && raw != nil })
		So(c.keep(replica.Record{State: c.replica.Consensus.State, Entry: &held}), ShouldBeNil)
		cancel()
		<-over
		So(c.disk.Close(), ShouldBeNil)

		c = start(false)
		defer c.disk.Close()
		So(c.replica.Chain.Held().Rank, ShouldEqual, held.Rank)
		told, known = c.node.book.Get(charterAt)
		So(known, ShouldBeTrue)
		So(told.Rank, ShouldEqual, seen.Rank)
		So(string(told.Body), ShouldEqual, string(seen.Raw))
	})
}
