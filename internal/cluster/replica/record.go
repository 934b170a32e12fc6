package replica

import (
	"encoding/json"
	"fmt"

	"saddleport/internal/cluster/chain"
	"saddleport/internal/cluster/consensus"
)

// StateFormat is the version of the form in which the state stands on disk. A state without
// one was written by earlier releases and is read too.
const StateFormat = 1

// Record is what must be on disk. Entry is nil if its content has not changed.
type Record struct {
	State       consensus.State
	StoredEpoch uint64 // epoch of the stored entry; it may be newer than the one that the entry itself names
	Entry       *chain.Entry
}

// currentEntry returns the entry under its newest epoch.
func (r Record) currentEntry() chain.Entry {
	var e chain.Entry
	if r.Entry != nil {
		e = *r.Entry
	}
	e.Epoch = max(e.Epoch, r.StoredEpoch)
	return e
}

// EntryBehindView reports whether the entry is older than the one that the view rests on.
func (r Record) EntryBehindView() bool {
	return r.currentEntry().Viewstamp().Less(r.State.View.BaseViewstamp())
}

// stateJSON is the form of a record's state on disk. The entry stands beside it.
type stateJSON struct {
	Format int `json:"format,omitempty"`
	consensus.State
	StoredEpoch uint64 `json:"heldEpoch,omitempty"`
}

// EncodeState writes the state of a record as it stands on disk.
func EncodeState(r Record) []byte {
	b, err := json.Marshal(stateJSON{StateFormat, r.State, r.StoredEpoch})
	if err != nil {
		panic(fmt.Sprintf("invariant: a state without a form: %v", err))
	}
	return b
}

// UnknownFormatError is returned for a state that a later release has written.
type UnknownFormatError struct{ Format int }

func (e *UnknownFormatError) Error() string {
	return fmt.Sprintf("the state is of format %d; this program reads up to %d", e.Format, StateFormat)
}

// DecodeState reads what EncodeState writes.
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
