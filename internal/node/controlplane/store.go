package controlplane

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"saddleport/internal/cluster/chain"
	"saddleport/internal/cluster/consensus"
	"saddleport/internal/cluster/gossip"
	"saddleport/internal/cluster/replica"
	"saddleport/internal/cluster/views"
	"saddleport/internal/node/events"
	"saddleport/internal/node/nodesettings"
	"saddleport/internal/node/storage"
)

// Reasons not to trust the state on a disk.
var (
	ErrForeignState  = errors.New("the stored state belongs to another machine")
	ErrOutdatedEntry = errors.New("the stored configuration is older than the stored view requires")
)

// openStore opens the store of this machine. A disk that is empty although Bootstrap is not set (so the
// system is not new), that cannot be read, or that belongs to another machine is treated as a new disk:
// its former contents and consensus promises are unknown, and the machine has no vote until the other
// members grant it one.
func openStore(boot *nodesettings.Settings) (*storage.Store, replica.Record, error) {
	store, record, err := readStore(boot)
	if err == nil && record.State.Self == (views.Member{}) {
		return initStore(store, boot, boot.Bootstrap && slices.Contains(boot.SeedPeers(), boot.PeerAddr()))
	}
	if err == nil {
		return store, record, nil
	}
	events.DiskDamaged.Log("dir", boot.DataDir, "err", err)
	if store != nil {
		store.Close()
	}
	if err := moveDamagedState(boot.DataDir); err != nil {
		return nil, record, err
	}
	if store, err = storage.Open(boot.DataDir); err != nil {
		return nil, record, err
	}
	return initStore(store, boot, false)
}

// moveDamagedState moves a state that is not trusted to the directory "damaged". A state that was
// moved there before is deleted.
func moveDamagedState(dir string) error {
	damaged := filepath.Join(dir, "damaged")
	if err := os.RemoveAll(damaged); err != nil {
		return err
	}
	if err := os.Rename(filepath.Join(dir, "state"), damaged); err != nil && !os.IsNotExist(err) {
		return err
	}
	return nil
}

// initStore writes the identity of this machine to an empty disk. isFounder states that the machine
// starts with the first view of the system, consensus.InitialView of the seeds. It is a member of that
// view unless the view leaves its address out, as it does for one of an even number of seeds.
func initStore(store *storage.Store, boot *nodesettings.Settings, isFounder bool) (*storage.Store, replica.Record, error) {
	record := replica.Record{State: consensus.State{Self: views.Member{Addr: boot.PeerAddr(), DiskID: newNonce()}}}
	if isFounder {
		record.State.View = consensus.InitialView(boot.SeedPeers())
		if first := (views.Member{Addr: boot.PeerAddr(), DiskID: consensus.FirstDiskID}); record.State.View.Has(first) {
			record.State.Self = first
		}
	} else if !boot.Bootstrap {
		events.DiskEmpty.Log("as", record.State.Self)
	}
	return store, record, store.Put(storage.Entry{Key: keyState, Value: replica.EncodeState(record)})
}

func readStore(boot *nodesettings.Settings) (*storage.Store, replica.Record, error) {
	var record replica.Record
	store, err := storage.Open(boot.DataDir)
	if err != nil {
		return nil, record, err
	}
	state, err := store.Get(keyState)
	if err != nil || state == nil {
		return store, record, err
	}
	if record, err = replica.DecodeState(state); err != nil {
		return store, record, err
	}
	if ownAddr := boot.PeerAddr(); record.State.Self.Addr != ownAddr {
		return store, record, fmt.Errorf("%w: it belongs to %s, and this machine is %s", ErrForeignState, record.State.Self.Addr, ownAddr)
	}
	raw, err := store.Get(keyEntry)
	if err != nil {
		return store, record, err
	}
	if raw != nil {
		record.Entry = &chain.Entry{}
		if err := json.Unmarshal(raw, record.Entry); err != nil {
			return store, record, err
		}
	}
	if record.EntryBehindView() {
		return store, record, ErrOutdatedEntry
	}
	return store, record, nil
}

// runDisk is the disk goroutine. It writes all queued outputs in one batch. A failed write is retried,
// and nothing of the batch is sent, announced or answered before the write succeeds.
func (c *replicaRunner) runDisk(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.diskWake:
		}
		c.mu.Lock()
		batch, servers := c.diskQueue, c.serversToPersist
		c.diskQueue, c.serversToPersist = nil, nil
		c.writeStartedAt = time.Now()
		c.mu.Unlock()
		if record, dirty := mergeRecords(batch); dirty {
			c.persistWithRetry(ctx, record)
		}
		c.mu.Lock()
		c.writeStartedAt = time.Time{}
		c.mu.Unlock()
		if ctx.Err() != nil {
			return
		}
		// No consensus promise depends on this write. It is not retried if it fails: the disk has the servers
		// again once they have changed.
		if servers != nil {
			c.store.Put(storage.Entry{Key: keyServers, Value: servers})
		}
		c.releaseOutputs(ctx, batch)
	}
}

// mergeRecords combines the newest state and the newest entry of a batch into one record. dirty reports
// whether the batch contains a record.
func mergeRecords(batch []diskJob) (record replica.Record, dirty bool) {
	for _, job := range batch {
		if job.Persist == nil {
			continue
		}
		dirty, record.State, record.StoredEpoch = true, job.Persist.State, job.Persist.StoredEpoch
		if job.Persist.Entry != nil {
			record.Entry = job.Persist.Entry
		}
	}
	return record, dirty
}

// persistWithRetry writes a record and retries until the write succeeds or ctx ends.
func (c *replicaRunner) persistWithRetry(ctx context.Context, record replica.Record) {
	for ctx.Err() == nil {
		err := c.persist(record)
		if err == nil {
			return
		}
		events.DiskWriteFailed.Log("err", err)
		select {
		case <-ctx.Done():
		case <-time.After(diskRetryInterval):
		}
		if reopened, err := storage.Open(c.dataDir); err == nil { // a store rejects all writes after one has failed
			c.store.Close()
			c.store = reopened
		}
	}
}

// releaseOutputs sends the messages, delivers the results and announces the entry of a batch that was
// written to disk.
func (c *replicaRunner) releaseOutputs(ctx context.Context, batch []diskJob) {
	var acknowledged *chain.Entry
	for _, job := range batch {
		c.enqueueMessages(job.Send)
		if len(job.Results) > 0 {
			c.runOnLoop(ctx, func() { c.deliverResults(job.Results) })
		}
		if job.announce != nil {
			acknowledged = job.announce
		}
	}
	if acknowledged == nil {
		return
	}
	c.runOnLoop(ctx, func() { c.announce(*acknowledged) })
	if raw, err := json.Marshal(acknowledged); err == nil { // written last: no consensus promise depends on it, and it is large
		c.store.Put(storage.Entry{Key: keyLastAcknowledged, Value: raw})
	}
}

func (c *replicaRunner) persist(record replica.Record) error {
	entries := []storage.Entry{{Key: keyState, Value: replica.EncodeState(record)}}
	if record.Entry != nil {
		raw, err := json.Marshal(record.Entry)
		if err != nil {
			return err
		}
		entries = append(entries, storage.Entry{Key: keyEntry, Value: raw})
	}
	return c.store.Put(entries...)
}

// persistServers queues the tracked servers for the next write to disk.
func (c *replicaRunner) persistServers(servers []byte) {
	c.mu.Lock()
	c.serversToPersist = servers
	c.mu.Unlock()
	c.wakeDisk()
}

// loadServers returns the servers that persistServers wrote, or nil if there are none.
func (c *replicaRunner) loadServers() (servers []gossip.Entry) {
	if raw, err := c.store.Get(keyServers); err == nil && raw != nil {
		json.Unmarshal(raw, &servers)
	}
	return servers
}
