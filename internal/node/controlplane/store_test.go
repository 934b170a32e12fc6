package controlplane

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"saddleport/internal/cluster/chain"
	"saddleport/internal/cluster/consensus"
	"saddleport/internal/cluster/gossip"
	"saddleport/internal/cluster/replica"
	"saddleport/internal/node/agentapi"
	"saddleport/internal/node/events"
	"saddleport/internal/node/nodesettings"
	"saddleport/internal/node/peer"
	"saddleport/internal/node/storage"
)

// Which disk a core machine finds: its own, an empty one, a damaged one, another's. Only
// its own counts for what it has promised.
func TestDisk(t *testing.T) {
	Convey("A core machine's disk", t, func() {
		events.SetOutput(io.Discard)
		f := newTestMachines(t)
		first := func() replica.Record {
			s, r, err := openStore(f.settings(1, true))
			So(err, ShouldBeNil)
			So(s.Close(), ShouldBeNil)
			return r
		}
		again := func(machine int) (replica.Record, error) {
			s, r, err := openStore(f.settings(machine, false))
			if err == nil {
				So(s.Close(), ShouldBeNil)
			}
			return r, err
		}
		dir := f.settings(1, true).DataDir
		r := first()
		So(r.State.Self.DiskID, ShouldEqual, consensus.FirstDiskID)
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
			So(back.State.Self.DiskID, ShouldNotEqual, consensus.FirstDiskID)
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
			So(back.State.Self.DiskID, ShouldNotEqual, consensus.FirstDiskID)
			_, err = os.Stat(filepath.Join(dir, "damaged"))
			So(err, ShouldBeNil)
		})
		Convey("of another address makes another member", func() {
			f.dirs[2] = dir
			back, err := again(2)
			So(err, ShouldBeNil)
			So(back.State.Self.Addr, ShouldEqual, f.settings(2, false).PeerAddr())
			So(back.State.Self.DiskID, ShouldNotEqual, consensus.FirstDiskID)
			So(back.State.View.Epoch, ShouldEqual, uint64(0))
		})
		Convey("of another address brings nothing of that machine's along", func() {
			s, err := storage.Open(dir)
			So(err, ShouldBeNil)
			entry, _ := json.Marshal(chain.NewEntry(8, []byte("x")))
			So(s.Put(storage.Entry{Key: keyEntry, Value: entry}), ShouldBeNil)
			So(s.Close(), ShouldBeNil)
			f.dirs[2] = dir
			boot := f.settings(2, false)
			boot.Bootstrap = true // even where the settings take it for the first start
			moved, back, err := openStore(boot)
			So(err, ShouldBeNil)
			So(moved.Close(), ShouldBeNil)
			So(back.Entry, ShouldBeNil)
			So(back.State.Self.DiskID, ShouldNotEqual, consensus.FirstDiskID)
		})
		Convey("of a format that is not known here is set aside", func() {
			s, err := storage.Open(dir)
			So(err, ShouldBeNil)
			So(s.Put(storage.Entry{Key: keyState, Value: []byte(`{"format":99,"self":{"a":"x","d":"0"}}`)}), ShouldBeNil)
			So(s.Close(), ShouldBeNil)
			back, err := again(1)
			So(err, ShouldBeNil)
			So(back.State.Self.DiskID, ShouldNotEqual, consensus.FirstDiskID)
			_, err = os.Stat(filepath.Join(dir, "damaged"))
			So(err, ShouldBeNil)
		})
		Convey("whose configuration is older than its view says is not trusted", func() {
			s, err := storage.Open(dir)
			So(err, ShouldBeNil)
			r.State.View.Base = 9 << chain.DigestBits
			old, _ := json.Marshal(chain.NewEntry(8, []byte("x")))
			So(s.Put(storage.Entry{Key: keyState, Value: replica.EncodeState(r)}, storage.Entry{Key: keyEntry, Value: old}), ShouldBeNil)
			So(s.Close(), ShouldBeNil)
			back, err := again(1)
			So(err, ShouldBeNil)
			So(back.State.Self.DiskID, ShouldNotEqual, consensus.FirstDiskID)
			So(back.Entry, ShouldBeNil)
		})
	})
}

// What a core machine has seen acknowledged it tells at its next start, before the chain
// stands: after a loss of power the proxies wait for no majority. What it holds beyond that
// it does not tell.
func TestKnownAtOnce(t *testing.T) {
	Convey("A core machine that starts alone", t, func() {
		events.SetOutput(io.Discard)
		f := newTestMachines(t)
		entry := func(version uint64) chain.Entry {
			return chain.NewEntry(version, []byte(testConfiguration(int(version))))
		}
		start := func(first bool) *replicaRunner {
			boot := f.settings(1, first)
			c, err := newReplicaRunner(peer.NewNode(nodesettings.Fixed(boot), gossip.KindControlPlane), boot)
			So(err, ShouldBeNil)
			return c
		}
		c := start(true)
		announced, known := c.node.Store.Get(agentapi.ConfigurationKey)
		So(known, ShouldBeFalse)
		ctx, cancel := context.WithCancel(context.Background())
		over := make(chan struct{})
		go func() { defer close(over); c.runDisk(ctx) }()
		seen, held := entry(3), entry(4)
		c.enqueue(diskJob{announce: &seen})
		c.wake()
		waitUntil(t, "the acknowledged entry on disk", func() bool {
			raw, err := c.store.Get(keyLastAcknowledged)
			return err == nil && raw != nil
		})
		So(c.persist(replica.Record{State: c.replica.Consensus.State, Entry: &held}), ShouldBeNil)
		cancel()
		<-over
		So(c.store.Close(), ShouldBeNil)

		c = start(false)
		defer c.store.Close()
		So(c.replica.Chain.Stored().Version, ShouldEqual, held.Version)
		announced, known = c.node.Store.Get(agentapi.ConfigurationKey)
		So(known, ShouldBeTrue)
		So(announced.Version, ShouldEqual, seen.Version)
		So(string(announced.Value), ShouldEqual, string(seen.Content))
	})
}

// The tail of a chain acknowledges an entry in the step that stores it. Other processes hear of
// it only once the disk has it: after a loss of power it might else be in force and unknown.
func TestAnnouncedBehindDisk(t *testing.T) {
	Convey("A configuration that a chain of one takes while its disk stalls", t, func() {
		events.SetOutput(io.Discard)
		f := newTestMachines(t)
		boot := f.settings(1, true)
		boot.Seeds = boot.Seeds[:1]
		c, err := newReplicaRunner(peer.NewNode(nodesettings.Fixed(boot), gossip.KindControlPlane), boot)
		So(err, ShouldBeNil)
		entry := chain.NewEntry(3, []byte(testConfiguration(3)))
		_, out := c.replica.Put(c.now(), entry)
		c.process(out)
		So(c.replica.Chain.Acknowledged(), ShouldEqual, entry.Version)
		_, known := c.node.Store.Get(agentapi.ConfigurationKey)
		So(known, ShouldBeFalse)

		ctx, cancel := context.WithCancel(context.Background())
		over := make(chan struct{})
		go func() { defer close(over); c.runDisk(ctx) }()
		for !known { // the loop of the machine: it takes what the disk releases
			(<-c.commands)()
			_, known = c.node.Store.Get(agentapi.ConfigurationKey)
		}
		raw, err := c.store.Get(keyEntry)
		So(err, ShouldBeNil)
		So(raw, ShouldNotBeNil)
		cancel()
		<-over
		So(c.store.Close(), ShouldBeNil)
	})
}

// A thousand configurations leave a disk that is not much larger than a few of them.
func TestDiskStaysSmall(t *testing.T) {
	Convey("After a thousand orders of 100 kB", t, func() {
		dir := t.TempDir()
		s, err := storage.Open(dir)
		So(err, ShouldBeNil)
		raw := make([]byte, 100_000)
		for version := range uint64(1000) {
			rand.Read(raw) // nothing that a store could make smaller
			text, err := json.Marshal(chain.NewEntry(version+1, raw))
			So(err, ShouldBeNil)
			So(s.Put(storage.Entry{Key: keyState, Value: make([]byte, 800)}, storage.Entry{Key: keyEntry, Value: text}), ShouldBeNil)
		}
		So(s.Close(), ShouldBeNil)
		size := int64(0)
		So(filepath.WalkDir(dir, func(_ string, d os.DirEntry, err error) error {
			if info, e := d.Info(); e == nil && !d.IsDir() {
				size += info.Size()
			}
			return err
		}), ShouldBeNil)
		t.Logf("%d bytes on disk", size)
		So(size, ShouldBeLessThan, int64(48<<20))
	})
}
