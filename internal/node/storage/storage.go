// Package storage keeps the state of a control-plane machine on disk, in goleveldb. Every write is synced
// before it returns: promises to other machines rest on what is stored. It never takes
// a damaged store as an empty one, grow without a bound, or return before the disk has it.
package storage

import (
	"os"
	"path/filepath"

	"github.com/syndtr/goleveldb/leveldb"
	"github.com/syndtr/goleveldb/leveldb/errors"
	"github.com/syndtr/goleveldb/leveldb/opt"
	"github.com/syndtr/goleveldb/leveldb/storage"
	"github.com/syndtr/goleveldb/leveldb/util"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("store")

// Store is one open store. It is safe for concurrent use.
type Store struct {
	db    *leveldb.DB
	files storage.Storage
}

const bufferBytes = 1 << 20 // of the memory table and of the block cache

var options = &opt.Options{
	WriteBuffer: bufferBytes, BlockCacheCapacity: bufferBytes, OpenFilesCacheCapacity: 16, CompactionTableSize: bufferBytes,
	Strict: opt.StrictJournalChecksum | opt.StrictBlockChecksum, ErrorIfMissing: false,
}

// Open opens the store below a data directory, made where there is none. A last entry
// that was torn by a loss of power is dropped: it was never promised.
func Open(dir string) (*Store, error) {
	at := filepath.Join(dir, "state")
	if err := os.MkdirAll(at, 0o755); err != nil {
		return nil, Error.Wrap(err)
	}
	files, err := storage.OpenFile(at, false)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return OpenFiles(files)
}

// OpenFiles opens the store on files of the caller's. One whose making was cut short never
// contained anything: it is created again.
func OpenFiles(files storage.Storage) (*Store, error) {
	db, err := leveldb.Open(files, options)
	if errors.IsCorrupted(err) && neverCreated(files) {
		db, err = leveldb.Open(files, options)
	}
	if err != nil {
		files.Close()
		return nil, Error.Wrap(err)
	}
	return &Store{db: db, files: files}, nil
}

// neverCreated clears a store that has no entry point and never had a journal or a table: of
// one that contained something there would be either.
func neverCreated(files storage.Storage) bool {
	if _, err := files.GetMeta(); !os.IsNotExist(err) {
		return false
	}
	existing, err := files.List(storage.TypeJournal | storage.TypeTable)
	if err != nil || len(existing) > 0 {
		return false
	}
	rest, err := files.List(storage.TypeAll)
	for _, fd := range rest {
		if err == nil {
			err = files.Remove(fd)
		}
	}
	return err == nil
}

// Get returns the value of a key, nil if there is none.
func (s *Store) Get(key string) ([]byte, error) {
	v, err := s.db.Get([]byte(key), nil)
	if err == leveldb.ErrNotFound {
		return nil, nil
	}
	return v, Error.Wrap(err)
}

// Entry is one thing to keep; no value: the key is dropped.
type Entry struct {
	Key   string
	Value []byte
}

// Put writes entries, all or none, and returns once they are synced.
func (s *Store) Put(entries ...Entry) error {
	var b leveldb.Batch
	for _, e := range entries {
		if e.Value == nil {
			b.Delete([]byte(e.Key))
		} else {
			b.Put([]byte(e.Key), e.Value)
		}
	}
	return Error.Wrap(s.db.Write(&b, &opt.WriteOptions{Sync: true}))
}

// All returns the values of all keys with a prefix.
func (s *Store) All(prefix string) (map[string][]byte, error) {
	it := s.db.NewIterator(util.BytesPrefix([]byte(prefix)), nil)
	defer it.Release()
	out := make(map[string][]byte)
	for it.Next() {
		out[string(it.Key())] = append([]byte(nil), it.Value()...)
	}
	return out, Error.Wrap(it.Error())
}

// Close ends the store.
func (s *Store) Close() error {
	err := s.db.Close()
	if also := s.files.Close(); err == nil {
		err = also
	}
	return Error.Wrap(err)
}
