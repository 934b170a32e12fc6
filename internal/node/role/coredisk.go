package role

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
	"saddleport/internal/node/storage"
)

// openDisk reads what the disk holds. One that is empty though the system is not new, that
// can't be read, or that is another machine's, is another disk: what it once held and
// promised is not known, and it counts for nothing until the others have taken it in.
func openDisk(boot *Boot) (*storage.Store, replica.Record, error) {
	s, r, err := readDisk(boot)
	if err == nil && r.State.Self == (views.Member{}) {
		return initDisk(s, boot, boot.Bootstrap && slices.Contains(boot.SeedPeers(), boot.Inner()))
	}
	if err == nil {
		return s, r, nil
	}
	events.Damaged.Log("dir", boot.Dir, "err", err)
	if s != nil {
		s.Close()
	}
	if err := setAside(boot.Dir); err != nil {
		return nil, r, err
	}
	if s, err = storage.Open(boot.Dir); err != nil {
		return nil, r, err
	}
	return initDisk(s, boot, false)
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

// initDisk gives an empty disk its name. founder: it is of the system's first view.
func initDisk(s *storage.Store, boot *Boot, founder bool) (*storage.Store, replica.Record, error) {
	r := replica.Record{State: consensus.State{Self: views.Member{Addr: boot.Inner(), DiskID: nonce()}}}
	if founder {
		r.State.View = consensus.InitialView(boot.SeedPeers())
		if first := (views.Member{Addr: boot.Inner(), DiskID: consensus.FirstDiskID}); r.State.View.Has(first) {
			r.State.Self = first
		}
	} else if !boot.Bootstrap {
		events.Filling.Log("as", r.State.Self)
	}
	return s, r, s.Put(storage.Entry{Key: keyState, Value: replica.EncodeState(r)})
}

func readDisk(boot *Boot) (*storage.Store, replica.Record, error) {
	var r replica.Record
	s, err := storage.Open(boot.Dir)
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
	if own := boot.Inner(); r.State.Self.Addr != own {
		return s, r, fmt.Errorf("the state is of the machine at %s, and this one is at %s", r.State.Self.Addr, own)
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
		return s, r, errors.New("the configuration is older than the view says")
	}
	return s, r, nil
}

// write is the disk's goroutine. What came together is written together; a disk that
// refuses is asked again, and until it has written nothing goes out.
func (c *core) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.ready:
		}
		c.mu.Lock()
		batch, servers, known := c.queue, c.servers, c.known
		c.queue, c.servers, c.known = nil, nil, nil
		c.since = time.Now()
		c.mu.Unlock()
		var r replica.Record
		dirty := false
		for _, out := range batch {
			if out.Persist != nil {
				dirty, r.State, r.StoredEpoch = true, out.Persist.State, out.Persist.StoredEpoch
				if out.Persist.Entry != nil {
					r.Entry = out.Persist.Entry
				}
			}
		}
		for dirty && ctx.Err() == nil {
			err := c.keep(r)
			if err == nil {
				break
			}
			events.Refused.Log("err", err)
			select {
			case <-ctx.Done():
			case <-time.After(diskRetry):
			}
			if s, err := storage.Open(c.dir); err == nil { // a store that failed once takes no more writes
				c.disk.Close()
				c.disk = s
			}
		}
		c.mu.Lock()
		c.since = time.Time{}
		c.mu.Unlock()
		if ctx.Err() != nil {
			return
		}
		if servers != nil { // nothing rests on it: should it fail, the next change is kept
			c.disk.Put(storage.Entry{Key: keyServers, Value: servers})
		}
		for _, out := range batch {
			c.send(out.Send)
			if len(out.Results) > 0 {
				results := out.Results
				c.do(ctx, func() { c.results(results) })
			}
		}
		if known != nil { // nothing rests on it either, and it is large: last
			if raw, err := json.Marshal(known); err == nil {
				c.disk.Put(storage.Entry{Key: keyKnown, Value: raw})
			}
		}
	}
}

func (c *core) keep(r replica.Record) error {
	entries := []storage.Entry{{Key: keyState, Value: replica.EncodeState(r)}}
	if r.Entry != nil {
		raw, err := json.Marshal(r.Entry)
		if err != nil {
			return err
		}
		entries = append(entries, storage.Entry{Key: keyEntry, Value: raw})
	}
	return c.disk.Put(entries...)
}

// remember has the servers that beat here kept on the disk, in their own time.
func (c *core) remember(servers []byte) {
	c.mu.Lock()
	c.servers = servers
	c.mu.Unlock()
	c.wake()
}

// remembered is what was kept of them.
func (c *core) remembered() (list []gossip.Entry) {
	if raw, err := c.disk.Get(keyServers); err == nil && raw != nil {
		json.Unmarshal(raw, &list)
	}
	return list
}
