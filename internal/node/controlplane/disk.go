package controlplane

// This file writes the outputs of the replicated state machine to disk and releases them afterwards.

import (
	"context"
	"encoding/json"
	"time"

	"saddleport/internal/cluster/chain"
	"saddleport/internal/cluster/gossip"
	"saddleport/internal/cluster/replica"
	"saddleport/internal/node/events"
	"saddleport/internal/node/storage"
)

// serversCopy is the copy of the tracked servers for the disk, which adoptOrphans reads after a restart.
type serversCopy struct {
	encoded []byte // JSON of their gossip entries
	count   int
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
		c.mu.Unlock()
		if record, dirty := mergeRecords(batch); dirty {
			c.persistWithRetry(ctx, record)
		}
		if ctx.Err() != nil {
			return
		}
		c.releaseOutputs(ctx, batch)
		if servers != nil {
			c.writeServers(servers)
		}
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
			return
		case <-time.After(diskRetryInterval):
		}
		c.reopenStore()
	}
}

// reopenStore opens the store again after a failed write, because a store rejects all writes after that. The
// former store is closed first: its lock would keep the new one from being opened. If the store cannot be
// opened or has lost its state, writes go on failing, so that the machine acknowledges nothing.
func (c *replicaRunner) reopenStore() {
	c.store.Close()
	reopened, err := storage.Open(c.dataDir)
	if err != nil {
		events.DiskWriteFailed.Log("err", err)
		return
	}
	if state, err := reopened.Get(keyState); err != nil || state == nil {
		events.DiskWriteFailed.Log("err", "the reopened store has no state", "cause", err)
		reopened.Close()
		return
	}
	c.store = reopened
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

// writeServers writes the tracked servers. No consensus promise depends on this write, so it does not delay
// others: if it fails, it is tried again later.
func (c *replicaRunner) writeServers(servers *serversCopy) {
	if err := c.store.Put(storage.Entry{Key: keyServers, Value: servers.encoded}); err != nil {
		events.DiskWriteFailed.Log("err", err)
		c.reopenStore()
		time.AfterFunc(diskRetryInterval, func() { c.retryServers(servers) })
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serversOnDisk = servers.count
}

// retryServers queues servers whose write failed again, unless newer ones are queued.
func (c *replicaRunner) retryServers(servers *serversCopy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.serversToPersist == nil {
		c.serversToPersist = servers
		c.wakeDisk()
	}
}

// persistServers queues the tracked servers for the next write to disk.
func (c *replicaRunner) persistServers(servers *serversCopy) {
	c.mu.Lock()
	c.serversToPersist = servers
	c.mu.Unlock()
	c.wakeDisk()
}

// storedServers returns the number of tracked servers that this process has written to disk.
func (c *replicaRunner) storedServers() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.serversOnDisk
}

// loadServers returns the servers that writeServers wrote, or nil if there are none.
func (c *replicaRunner) loadServers() (servers []gossip.Entry) {
	if raw, err := c.store.Get(keyServers); err == nil && raw != nil {
		json.Unmarshal(raw, &servers)
	}
	return servers
}
