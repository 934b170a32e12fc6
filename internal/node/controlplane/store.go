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

// Reasons not to trust what a disk holds.
var (
	ErrForeignState  = errors.New("the state belongs to another machine")
	ErrOutdatedEntry = errors.New("the configuration is older than the view on disk requires")
)

// openStore reads the disk. One that is empty although the system is not new, that cannot be
// read, or that belongs to another machine counts as another disk: what it once stored and
// promised is not known, and the machine has no vote until the others give it one.
func openStore(boot *nodesettings.Settings) (*storage.Store, replica.Record, error) {
	s, r, err := readStore(boot)
	if err == nil && r.State.Self == (views.Member{}) {
		return initStore(s, boot, boot.Bootstrap && slices.Contains(boot.SeedPeers(), boot.PeerAddr()))
	}
	if err == nil {
		return s, r, nil
	}
	events.DiskDamaged.Log("dir", boot.DataDir, "err", err)
	if s != nil {
		s.Close()
	}
	if err := setAside(boot.DataDir); err != nil {
		return nil, r, err
	}
	if s, err = storage.Open(boot.DataDir); err != nil {
		return nil, r, err
	}
	return initStore(s, boot, false)
}

// setAside moves a state that is not trusted out of the way.
func setAside(dir string) error {
	aside := filepath.Join(dir, "damaged")
	if err := os.RemoveAll(aside); err != nil {
		return err
	}
	if err := os.Rename(filepath.Join(dir, "state"), aside); err != nil && !os.IsNotExist(err) {
		return err
	}
	return nil
}

// initStore gives an empty disk its name. founder: it belongs to the system's first view.
func initStore(s *storage.Store, boot *nodesettings.Settings, founder bool) (*storage.Store, replica.Record, error) {
	r := replica.Record{State: consensus.State{Self: views.Member{Addr: boot.PeerAddr(), DiskID: nonce()}}}
	if founder {
		r.State.View = consensus.InitialView(boot.SeedPeers())
		if first := (views.Member{Addr: boot.PeerAddr(), DiskID: consensus.FirstDiskID}); r.State.View.Has(first) {
			r.State.Self = first
		}
	} else if !boot.Bootstrap {
		events.DiskEmpty.Log("as", r.State.Self)
	}
	return s, r, s.Put(storage.Entry{Key: keyState, Value: replica.EncodeState(r)})
}

func readStore(boot *nodesettings.Settings) (*storage.Store, replica.Record, error) {
	var r replica.Record
	s, err := storage.Open(boot.DataDir)
	if err != nil {
		return nil, r, err
	}
	state, err := s.Get(keyState)
	if err != nil || state == nil {
		return s, r, err
	}
	if r, err = replica.DecodeState(state); err != nil {
		return s, r, err
	}
	if own := boot.PeerAddr(); r.State.Self.Addr != own {
		return s, r, fmt.Errorf("%w: its machine is at %s, and this one is at %s", ErrForeignState, r.State.Self.Addr, own)
	}
	raw, err := s.Get(keyEntry)
	if err != nil {
		return s, r, err
	}
	if raw != nil {
		r.Entry = &chain.Entry{}
		if err := json.Unmarshal(raw, r.Entry); err != nil {
			return s, r, err
		}
	}
	if r.EntryBehindView() {
		return s, r, ErrOutdatedEntry
	}
	return s, r, nil
}

// runDisk is the disk goroutine. What is queued is written together. A disk that refuses is
// tried again, and nothing is sent, announced or answered until it has written.
func (c *replicaRunner) runDisk(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.diskWake:
		}
		c.mu.Lock()
		batch, servers := c.queue, c.servers
		c.queue, c.servers = nil, nil
		c.writeStartedAt = time.Now()
		c.mu.Unlock()
		if record, dirty := recordOf(batch); dirty {
			c.persistUntilDone(ctx, record)
		}
		c.mu.Lock()
		c.writeStartedAt = time.Time{}
		c.mu.Unlock()
		if ctx.Err() != nil {
			return
		}
		if servers != nil { // no promise rests on it: if it fails, the next change is written
			c.store.Put(storage.Entry{Key: keyRememberedServers, Value: servers})
		}
		c.release(ctx, batch)
	}
}

// recordOf returns what a batch wants written, and whether it wants anything.
func recordOf(batch []diskJob) (record replica.Record, dirty bool) {
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

// persistUntilDone writes a record, again and again if the disk refuses, until ctx ends.
func (c *replicaRunner) persistUntilDone(ctx context.Context, record replica.Record) {
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
		if s, err := storage.Open(c.dataDir); err == nil { // a store that failed once takes no more writes
			c.store.Close()
			c.store = s
		}
	}
}

// release sends, answers and announces what has waited for the disk.
func (c *replicaRunner) release(ctx context.Context, batch []diskJob) {
	var acknowledged *chain.Entry
	for _, job := range batch {
		c.enqueueMessages(job.Send)
		if len(job.Results) > 0 {
			c.do(ctx, func() { c.deliver(job.Results) })
		}
		if job.announce != nil {
			acknowledged = job.announce
		}
	}
	if acknowledged == nil {
		return
	}
	c.do(ctx, func() { c.announce(*acknowledged) })
	if raw, err := json.Marshal(acknowledged); err == nil { // nothing rests on it, and it is large: last
		c.store.Put(storage.Entry{Key: keyLastAcknowledged, Value: raw})
	}
}

func (c *replicaRunner) persist(r replica.Record) error {
	entries := []storage.Entry{{Key: keyState, Value: replica.EncodeState(r)}}
	if r.Entry != nil {
		raw, err := json.Marshal(r.Entry)
		if err != nil {
			return err
		}
		entries = append(entries, storage.Entry{Key: keyEntry, Value: raw})
	}
	return c.store.Put(entries...)
}

// rememberServers has the tracked servers written to disk when there is time.
func (c *replicaRunner) rememberServers(servers []byte) {
	c.mu.Lock()
	c.servers = servers
	c.mu.Unlock()
	c.wake()
}

// rememberedServers returns what was written of them.
func (c *replicaRunner) rememberedServers() (list []gossip.Entry) {
	if raw, err := c.store.Get(keyRememberedServers); err == nil && raw != nil {
		json.Unmarshal(raw, &list)
	}
	return list
}
