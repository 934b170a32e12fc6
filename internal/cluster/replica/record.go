package replica

import (
	"encoding/json"
	"fmt"

	"saddleport/internal/cluster/chain"
	"saddleport/internal/cluster/consensus"
)

// StateFormat is the version of the format in which the state is stored on disk. A state without
// a version was written by an earlier release and is also read.
const StateFormat = 1

// Record is what must be durable. Entry is nil if it has not changed since the last record.
type Record struct {
	State       consensus.State
	StoredEpoch uint64 // epoch of the stored entry; it may be newer than Entry.Epoch on disk
	Entry       *chain.Entry
}

// currentEntry returns the entry with its newest epoch. Without an entry it returns one that has only
// an epoch.
func (r Record) currentEntry() chain.Entry {
	var e chain.Entry
	if r.Entry != nil {
		e = *r.Entry
	}
	e.Epoch = max(e.Epoch, r.StoredEpoch)
	return e
}

// EntryBehindView reports whether the entry is older than the one that the view is based on.
func (r Record) EntryBehindView() bool {
	return r.currentEntry().Viewstamp().Less(r.State.View.BaseViewstamp())
}

// stateJSON is the form of a record's state on disk. The entry is stored separately.
type stateJSON struct {
	Format int `json:"format,omitempty"`
	consensus.State
	StoredEpoch uint64 `json:"heldEpoch,omitempty"`
}

// EncodeState returns the state of a record in the form in which it is stored on disk.
func EncodeState(r Record) []byte {
	b, err := json.Marshal(stateJSON{StateFormat, r.State, r.StoredEpoch})
	if err != nil {
		panic(fmt.Sprintf("invariant: state cannot be encoded: %v", err))
	}
	return b
}

// UnknownFormatError is returned for a state in a format newer than StateFormat, which a later release
// has written.
type UnknownFormatError struct{ Format int }

func (e *UnknownFormatError) Error() string {
	return fmt.Sprintf("state has format %d; this program reads formats up to %d", e.Format, StateFormat)
}

// DecodeState reads what EncodeState has written. Its record has no entry. The error for a newer
// format is an *UnknownFormatError.
func DecodeState(b []byte) (r Record, err error) {
	var s stateJSON
	if err := json.Unmarshal(b, &s); err != nil {
		return r, err
	}
	if s.Format > StateFormat {
		return r, &UnknownFormatError{s.Format}
	}
	return Record{State: s.State, StoredEpoch: s.StoredEpoch}, nil
}
