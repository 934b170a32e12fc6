package replica

import (
	"encoding/json"
	"fmt"

	"saddleport/internal/cluster/chain"
	"saddleport/internal/cluster/consensus"
)

// Format is the version of the form in which a record stands on the disk. Records without
// one were kept by older programs and are read too.
const StateFormat = 1

// Record is what must be on the disk. Entry is nil where its content has not changed.
type Record struct {
	State       consensus.State
	StoredEpoch uint64 // of the entry; it may be newer than what the entry itself says
	Entry       *chain.Entry
}

// held is the entry as it counts.
func (r Record) currentEntry() chain.Entry {
	var e chain.Entry
	if r.Entry != nil {
		e = *r.Entry
	}
	e.Epoch = max(e.Epoch, r.StoredEpoch)
	return e
}

// Behind tells whether the entry is older than the one that goes with the view.
func (r Record) EntryBehindView() bool {
	return r.currentEntry().Viewstamp().Less(r.State.View.BaseViewstamp())
}

// stored is a record's state as it stands on the disk, beside the entry.
type stateJSON struct {
	Format int `json:"format,omitempty"`
	consensus.State
	StoredEpoch uint64 `json:"heldEpoch,omitempty"`
}

// Encode writes the state of a record as it stands on the disk; Decode reads it back.
func EncodeState(r Record) []byte {
	b, err := json.Marshal(stateJSON{StateFormat, r.State, r.StoredEpoch})
	if err != nil {
		panic(fmt.Sprintf("invariant: a state without a form: %v", err))
	}
	return b
}

// Decode is as Encode.
func DecodeState(b []byte) (r Record, err error) {
	var s stateJSON
	if err := json.Unmarshal(b, &s); err != nil {
		return r, err
	}
	if s.Format > StateFormat {
		return r, fmt.Errorf("the state is of format %d; this program reads up to %d", s.Format, StateFormat)
	}
	return Record{State: s.State, StoredEpoch: s.StoredEpoch}, nil
}
