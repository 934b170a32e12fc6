package controlplane

import (
	"context"
	"errors"
	"io"
	"path/filepath"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	leveldbstorage "github.com/syndtr/goleveldb/leveldb/storage"

	"saddleport/internal/cluster/chain"
	"saddleport/internal/cluster/gossip"
	"saddleport/internal/cluster/replica"
	"saddleport/internal/node/events"
	"saddleport/internal/node/nodesettings"
	"saddleport/internal/node/peer"
	"saddleport/internal/node/storage"
)

var errDiskFull = errors.New("no space left on device")

// fullFiles are the files of a store on a disk that can be made full.
type fullFiles struct {
	leveldbstorage.Storage
	full *atomic.Bool
}

func (f fullFiles) Create(fd leveldbstorage.FileDesc) (leveldbstorage.Writer, error) {
	w, err := f.Storage.Create(fd)
	return fullWriter{w, f.full}, err
}

type fullWriter struct {
	leveldbstorage.Writer
	full *atomic.Bool
}

func (w fullWriter) Write(p []byte) (int, error) {
	if w.full.Load() {
		return 0, errDiskFull
	}
	return w.Writer.Write(p)
}

// newRunnerOnFullDisk returns a runner whose loop does not run and whose store rejects writes until it is opened
// again.
func newRunnerOnFullDisk(t *testing.T) *replicaRunner {
	c := newStoppedRunner(t)
	So(c.store.Close(), ShouldBeNil)
	files, err := leveldbstorage.OpenFile(filepath.Join(c.dataDir, "state"), false)
	So(err, ShouldBeNil)
	full := &atomic.Bool{}
	c.store, err = storage.OpenFiles(fullFiles{files, full})
	So(err, ShouldBeNil)
	full.Store(true)
	Reset(func() { c.store.Close() })
	return c
}

// newStoppedRunner returns the runner of machine 1, whose loop does not run.
func newStoppedRunner(t *testing.T) *replicaRunner {
	events.SetOutput(io.Discard)
	boot := newTestMachines(t).settings(1, true)
	c, err := newReplicaRunner(peer.NewNode(nodesettings.Fixed(boot), gossip.KindControlPlane), boot)
	So(err, ShouldBeNil)
	return c
}

// startDisk runs the disk goroutine until the end of the test.
func startDisk(c *replicaRunner) {
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { defer close(stopped); c.runDisk(ctx) }()
	Reset(func() { cancel(); <-stopped })
}

func TestFailedWrites(t *testing.T) {
	Convey("After a failed write the store is opened again and the record is written", t, func() {
		c := newRunnerOnFullDisk(t)
		entry := chain.NewEntry(3, []byte(testConfiguration(3)))
		result := chain.Result{ID: "waiting"}
		answer := make(chan chain.Result, 1)
		c.pendingCalls[result.ID] = answer
		startDisk(c)
		c.enqueueDisk(diskJob{Output: replica.Output{Persist: &replica.Record{State: c.replica.Consensus.State, Entry: &entry}, Results: []chain.Result{result}}})
		c.wakeDisk()
		waitUntil(t, "the result is released", func() bool {
			select {
			case f := <-c.commands:
				f()
			default:
			}
			return len(answer) == 1
		})
		raw, err := c.store.Get(keyEntry)
		So(err, ShouldBeNil)
		So(raw, ShouldNotBeNil)
	})
	Convey("Tracked servers whose write failed are written later and not counted before", t, func() {
		c := newRunnerOnFullDisk(t)
		c.writeServers(&serversCopy{encoded: []byte("[]"), count: 7})
		So(c.storedServers(), ShouldEqual, 0)
		startDisk(c)
		waitUntil(t, "the servers are written", func() bool { return c.storedServers() == 7 })
	})
	Convey("A reopened store that has lost its state is not written to", t, func() {
		c := newStoppedRunner(t)
		former := c.store
		c.dataDir = t.TempDir()
		c.reopenStore()
		So(c.store == former, ShouldBeTrue)
		So(c.persist(replica.Record{State: c.replica.Consensus.State}), ShouldNotBeNil)
	})
}

func TestAbandonedCalls(t *testing.T) {
	Convey("A call whose caller has given up leaves neither an entry nor results", t, func() {
		c := newStoppedRunner(t)
		Reset(func() { c.store.Close() })
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() {
			_, err := c.call(ctx, func(int64) (string, replica.Output) { return "abandoned", replica.Output{} })
			ended <- err
		}()
		(<-c.commands)()
		So(c.pendingCalls, ShouldHaveLength, 1)
		cancel()
		(<-c.commands)()
		So(<-ended, ShouldEqual, ErrNoAnswer)
		So(c.pendingCalls, ShouldBeEmpty)
		for range maxQueuedOutputs + 10 { // the disk stalls
			c.enqueueDisk(diskJob{Output: replica.Output{Results: []chain.Result{{ID: "abandoned"}}}})
		}
		So(c.diskQueue[maxQueuedOutputs-1].Results, ShouldBeEmpty)
	})
}
