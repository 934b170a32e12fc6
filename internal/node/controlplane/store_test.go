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

// TestDisk checks which disks openStore accepts as those of this machine. An empty or damaged disk and
// one of another machine must make a new member, because the promises on the former disk are unknown.
func TestDisk(t *testing.T) {
	Convey("The disk of a control-plane machine", t, func() {
		events.SetOutput(io.Discard)
		machines := newTestMachines(t)
		first := func() replica.Record {
			s, r, err := openStore(machines.settings(1, true))
			So(err, ShouldBeNil)
			So(s.Close(), ShouldBeNil)
			return r
		}
		reopen := func(machine int) (replica.Record, error) {
			s, r, err := openStore(machines.settings(machine, false))
			if err == nil {
				So(s.Close(), ShouldBeNil)
			}
			return r, err
		}
		dir := machines.settings(1, true).DataDir
		r := first()
		So(r.State.Self.DiskID, ShouldEqual, consensus.FirstDiskID)
		So(r.State.View.Members, ShouldHaveLength, 3)

		Convey("keeps its identity and view when reopened", func() {
			reopened, err := reopen(1)
			So(err, ShouldBeNil)
			So(reopened.State.Self, ShouldResemble, r.State.Self)
			So(reopened.State.View, ShouldResemble, r.State.View)
		})
		Convey("that is empty makes a new member that belongs to no view", func() {
			So(os.RemoveAll(filepath.Join(dir, "state")), ShouldBeNil)
			reopened, err := reopen(1)
			So(err, ShouldBeNil)
			So(reopened.State.Self.DiskID, ShouldNotEqual, consensus.FirstDiskID)
			So(reopened.State.View.Epoch, ShouldEqual, uint64(0))
			reopenedAgain, err := reopen(1) // the new identity is kept
			So(err, ShouldBeNil)
			So(reopenedAgain.State.Self, ShouldResemble, reopened.State.Self)
		})
		Convey("that cannot be read is moved away and makes a new member", func() {
			names, err := filepath.Glob(filepath.Join(dir, "state", "MANIFEST-*"))
			So(err, ShouldBeNil)
			So(names, ShouldNotBeEmpty)
			for _, name := range names {
				So(os.WriteFile(name, []byte("not a manifest"), 0o644), ShouldBeNil)
			}
			reopened, err := reopen(1)
			So(err, ShouldBeNil)
			So(reopened.State.Self.DiskID, ShouldNotEqual, consensus.FirstDiskID)
			_, err = os.Stat(filepath.Join(dir, "damaged"))
			So(err, ShouldBeNil)
		})
		Convey("that cannot be opened now keeps its state and identity", func() {
			open, err := storage.Open(dir) // a former process that has not ended yet
			So(err, ShouldBeNil)
			_, err = reopen(1)
			So(err, ShouldNotBeNil)
			So(open.Close(), ShouldBeNil)
			reopened, err := reopen(1)
			So(err, ShouldBeNil)
			So(reopened.State.Self, ShouldResemble, r.State.Self)
			_, err = os.Stat(filepath.Join(dir, "damaged"))
			So(os.IsNotExist(err), ShouldBeTrue)
		})
		Convey("of another address makes a new member", func() {
			machines.dirs[2] = dir
			reopened, err := reopen(2)
			So(err, ShouldBeNil)
			So(reopened.State.Self.Addr, ShouldEqual, machines.settings(2, false).PeerAddr())
			So(reopened.State.Self.DiskID, ShouldNotEqual, consensus.FirstDiskID)
			So(reopened.State.View.Epoch, ShouldEqual, uint64(0))
		})
		Convey("of another address contributes no entry of that machine", func() {
			s, err := storage.Open(dir)
			So(err, ShouldBeNil)
			entry, _ := json.Marshal(chain.NewEntry(8, []byte("x")))
			So(s.Put(storage.Entry{Key: keyEntry, Value: entry}), ShouldBeNil)
			So(s.Close(), ShouldBeNil)
			machines.dirs[2] = dir
			boot := machines.settings(2, false)
			boot.Bootstrap = true // also if the settings declare the first start of the system
			store, reopened, err := openStore(boot)
			So(err, ShouldBeNil)
			So(store.Close(), ShouldBeNil)
			So(reopened.Entry, ShouldBeNil)
			So(reopened.State.Self.DiskID, ShouldNotEqual, consensus.FirstDiskID)
		})
		Convey("of an unknown format is moved away", func() {
			s, err := storage.Open(dir)
			So(err, ShouldBeNil)
			So(s.Put(storage.Entry{Key: keyState, Value: []byte(`{"format":99,"self":{"a":"x","d":"0"}}`)}), ShouldBeNil)
			So(s.Close(), ShouldBeNil)
			reopened, err := reopen(1)
			So(err, ShouldBeNil)
			So(reopened.State.Self.DiskID, ShouldNotEqual, consensus.FirstDiskID)
			_, err = os.Stat(filepath.Join(dir, "damaged"))
			So(err, ShouldBeNil)
		})
		Convey("whose configuration is older than its view requires is not trusted", func() {
			s, err := storage.Open(dir)
			So(err, ShouldBeNil)
			r.State.View.Base = 9 << chain.DigestBits
			old, _ := json.Marshal(chain.NewEntry(8, []byte("x")))
			So(s.Put(storage.Entry{Key: keyState, Value: replica.EncodeState(r)}, storage.Entry{Key: keyEntry, Value: old}), ShouldBeNil)
			So(s.Close(), ShouldBeNil)
			reopened, err := reopen(1)
			So(err, ShouldBeNil)
			So(reopened.State.Self.DiskID, ShouldNotEqual, consensus.FirstDiskID)
			So(reopened.Entry, ShouldBeNil)
		})
	})
}

// TestKnownAtOnce checks that a machine announces the last entry known as acknowledged when it starts,
// before the chain is established: after a loss of power, proxies get the configuration although no
// majority is up. An entry that is stored but not known as acknowledged must not be announced.
func TestKnownAtOnce(t *testing.T) {
	Convey("A control-plane machine that starts alone", t, func() {
		events.SetOutput(io.Discard)
		machines := newTestMachines(t)
		entry := func(version uint64) chain.Entry {
			return chain.NewEntry(version, []byte(testConfiguration(int(version))))
		}
		start := func(first bool) *replicaRunner {
			boot := machines.settings(1, first)
			c, err := newReplicaRunner(peer.NewNode(nodesettings.Fixed(boot), gossip.KindControlPlane), boot)
			So(err, ShouldBeNil)
			return c
		}
		c := start(true)
		announced, known := c.node.Store.Get(agentapi.ConfigurationKey)
		So(known, ShouldBeFalse)
		ctx, cancel := context.WithCancel(context.Background())
		stopped := make(chan struct{})
		go func() { defer close(stopped); c.runDisk(ctx) }()
		acknowledged, unacknowledged := entry(3), entry(4)
		c.enqueueDisk(diskJob{announce: &acknowledged})
		c.wakeDisk()
		waitUntil(t, "the acknowledged entry is on disk", func() bool {
			raw, err := c.store.Get(keyLastAcknowledged)
			return err == nil && raw != nil
		})
		So(c.persist(replica.Record{State: c.replica.Consensus.State, Entry: &unacknowledged}), ShouldBeNil)
		cancel()
		<-stopped
		So(c.store.Close(), ShouldBeNil)

		c = start(false)
		defer c.store.Close()
		So(c.replica.Chain.Stored().Version, ShouldEqual, unacknowledged.Version)
		announced, known = c.node.Store.Get(agentapi.ConfigurationKey)
		So(known, ShouldBeTrue)
		So(announced.Version, ShouldEqual, acknowledged.Version)
		So(string(announced.Value), ShouldEqual, string(acknowledged.Content))
	})
}

// TestAnnouncedBehindDisk checks that an entry is announced only once the disk has it. The tail of a chain
// acknowledges an entry in the step that stores it; if it were announced then, a loss of power could
// leave it in force at other processes but unknown here.
func TestAnnouncedBehindDisk(t *testing.T) {
	Convey("A configuration that a chain of one machine accepts while its disk stalls", t, func() {
		events.SetOutput(io.Discard)
		machines := newTestMachines(t)
		boot := machines.settings(1, true)
		boot.Seeds = boot.Seeds[:1]
		c, err := newReplicaRunner(peer.NewNode(nodesettings.Fixed(boot), gossip.KindControlPlane), boot)
		So(err, ShouldBeNil)
		entry := chain.NewEntry(3, []byte(testConfiguration(3)))
		_, out := c.replica.Put(c.now(), entry)
		c.processOutput(out)
		So(c.replica.Chain.Acknowledged(), ShouldEqual, entry.Version)
		_, known := c.node.Store.Get(agentapi.ConfigurationKey)
		So(known, ShouldBeFalse)

		ctx, cancel := context.WithCancel(context.Background())
		stopped := make(chan struct{})
		go func() { defer close(stopped); c.runDisk(ctx) }()
		for !known { // runs the loop of the machine, which handles what the disk releases
			(<-c.commands)()
			_, known = c.node.Store.Get(agentapi.ConfigurationKey)
		}
		raw, err := c.store.Get(keyEntry)
		So(err, ShouldBeNil)
		So(raw, ShouldNotBeNil)
		cancel()
		<-stopped
		So(c.store.Close(), ShouldBeNil)
	})
}

// TestDiskStaysSmall checks that a thousand configurations take little more disk space than a few of
// them: the store must not grow without a bound.
func TestDiskStaysSmall(t *testing.T) {
	Convey("After a thousand configurations of 100 kB", t, func() {
		dir := t.TempDir()
		s, err := storage.Open(dir)
		So(err, ShouldBeNil)
		raw := make([]byte, 100_000)
		for version := range uint64(1000) {
			rand.Read(raw) // random data cannot be compressed
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
