// Package storage stores the state of a control-plane machine on disk, in goleveldb. Every write is
// synced before it returns, because the machine's promises to other machines depend on the stored
// state. The package must never treat a damaged store as an empty one, grow without a bound, or
// return from a write before the data is synced.
package storage

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/syndtr/goleveldb/leveldb"
	leveldberrors "github.com/syndtr/goleveldb/leveldb/errors"
	"github.com/syndtr/goleveldb/leveldb/opt"
	"github.com/syndtr/goleveldb/leveldb/storage"
	"github.com/syndtr/goleveldb/leveldb/util"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("store")

// ErrDamaged is the cause of an error if the stored data itself cannot be read. After any other error, such
// as a full disk or a store that another process has open, the data may be sound.
var ErrDamaged = errors.New("the stored data is damaged")

// wrap adds the class Error to an error, and ErrDamaged if the data is damaged.
func wrap(err error) error {
	if leveldberrors.IsCorrupted(err) {
		err = fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return Error.Wrap(err)
}

// Store is an open key-value store. It is safe for concurrent use.
type Store struct {
	db    *leveldb.DB
	files storage.Storage
}

const bufferBytes = 1 << 20 // size of the write buffer, of the block cache and of a table

var options = &opt.Options{
	WriteBuffer: bufferBytes, BlockCacheCapacity: bufferBytes, OpenFilesCacheCapacity: 16, CompactionTableSize: bufferBytes,
	Strict: opt.StrictJournalChecksum | opt.StrictBlockChecksum, ErrorIfMissing: false,
}

// Open opens the store in the data directory dir and creates it if there is none. A last entry that
// a loss of power cut off is dropped: its write never returned, so no promise depends on it.
func Open(dir string) (*Store, error) {
	path := filepath.Join(dir, "state")
	if err := os.MkdirAll(path, 0o755); err != nil {
		return nil, wrap(err)
	}
	files, err := storage.OpenFile(path, false)
	if err != nil {
		return nil, wrap(err)
	}
	return OpenFiles(files)
}

// OpenFiles opens the store on the given files and closes them if that fails. A store whose creation
// was interrupted never contained data and is created again.
func OpenFiles(files storage.Storage) (*Store, error) {
	db, err := leveldb.Open(files, options)
	if leveldberrors.IsCorrupted(err) && clearUnfinished(files) {
		db, err = leveldb.Open(files, options)
	}
	if err != nil {
		files.Close()
		return nil, wrap(err)
	}
	return &Store{db: db, files: files}, nil
}

// clearUnfinished removes the files of a store whose creation was interrupted, and reports whether
// it did. Such a store has neither a CURRENT file nor a journal or a table; a store that contained
// data would have a journal or a table.
func clearUnfinished(files storage.Storage) bool {
	if _, err := files.GetMeta(); !os.IsNotExist(err) {
		return false
	}
	existing, err := files.List(storage.TypeJournal | storage.TypeTable)
	if err != nil || len(existing) > 0 {
		return false
	}
	leftover, err := files.List(storage.TypeAll)
	for _, fd := range leftover {
		if err == nil {
			err = files.Remove(fd)
		}
	}
	return err == nil
}

// Get returns the value of a key, or nil if the key does not exist.
func (s *Store) Get(key string) ([]byte, error) {
	v, err := s.db.Get([]byte(key), nil)
	if err == leveldb.ErrNotFound {
		return nil, nil
	}
	return v, wrap(err)
}

// Entry is a key and its value. Writing an entry without a value deletes the key.
type Entry struct {
	Key   string
	Value []byte
}

// Put writes the entries atomically and returns once they are synced.
func (s *Store) Put(entries ...Entry) error {
	var b leveldb.Batch
	for _, e := range entries {
		if e.Value == nil {
			b.Delete([]byte(e.Key))
		} else {
			b.Put([]byte(e.Key), e.Value)
		}
	}
	return wrap(s.db.Write(&b, &opt.WriteOptions{Sync: true}))
}

// All returns the keys that begin with prefix, and their values.
func (s *Store) All(prefix string) (map[string][]byte, error) {
	iterator := s.db.NewIterator(util.BytesPrefix([]byte(prefix)), nil)
	defer iterator.Release()
	out := make(map[string][]byte)
	for iterator.Next() {
		out[string(iterator.Key())] = append([]byte(nil), iterator.Value()...)
	}
	return out, wrap(iterator.Error())
}

// Close closes the store and its files.
func (s *Store) Close() error {
	err := s.db.Close()
	if closeErr := s.files.Close(); err == nil {
		err = closeErr
	}
	return wrap(err)
}
