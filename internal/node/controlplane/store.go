package controlplane

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"saddleport/internal/cluster/chain"
	"saddleport/internal/cluster/consensus"
	"saddleport/internal/cluster/replica"
	"saddleport/internal/cluster/views"
	"saddleport/internal/node/events"
	"saddleport/internal/node/nodesettings"
	"saddleport/internal/node/storage"
)

// Reasons not to trust the state on a disk, besides storage.ErrDamaged.
var (
	ErrForeignState   = errors.New("the stored state belongs to another machine")
	ErrOutdatedEntry  = errors.New("the stored configuration is older than the stored view requires")
	ErrUndecodedState = errors.New("the stored state cannot be decoded")
)

// isUntrusted reports whether an error of readStore means that the state on the disk cannot be relied upon. Any
// other error says nothing about the state: the disk may be full, or another process may have it open.
func isUntrusted(err error) bool {
	return errors.Is(err, storage.ErrDamaged) || errors.Is(err, ErrForeignState) || errors.Is(err, ErrOutdatedEntry) || errors.Is(err, ErrUndecodedState)
}

// openStore opens the store of this machine. A disk that is empty although Bootstrap is not set (so the
// system is not new), that is damaged, or that belongs to another machine is treated as a new disk:
// its former contents and consensus promises are unknown, and the machine has no vote until the other
// members grant it one. If the disk only refuses to be opened, its state is left in place and the error is
// returned: the machine keeps its vote for the next start.
func openStore(boot *nodesettings.Settings) (*storage.Store, replica.Record, error) {
	store, record, err := readStore(boot)
	if err == nil && record.State.Self == (views.Member{}) {
		return initStore(store, boot, boot.Bootstrap && slices.Contains(boot.SeedPeers(), boot.PeerAddr()))
	}
	if err == nil {
		return store, record, nil
	}
	if store != nil {
		store.Close()
	}
	if !isUntrusted(err) {
		return nil, record, err
	}
	events.DiskDamaged.Log("dir", boot.DataDir, "err", err)
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
		return store, record, fmt.Errorf("%w: %w", ErrUndecodedState, err)
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
			return store, record, fmt.Errorf("%w: %w", ErrUndecodedState, err)
		}
	}
	if record.EntryBehindView() {
		return store, record, ErrOutdatedEntry
	}
	return store, record, nil
}
