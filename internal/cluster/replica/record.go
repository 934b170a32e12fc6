package replica

import (
	"encoding/json"
	"fmt"

	"saddleport/internal/cluster/consensus"
	"saddleport/internal/cluster/message"
)

// Format is the version of the form in which a record stands on the disk. Records without
// one were kept by older programs and are read too.
const Format = 1

// Record is what must be on the disk. Entry is nil where its content has not changed.
type Record struct {
	State     consensus.State
	HeldEpoch uint64 // of the entry; it may be newer than what the entry itself says
	Entry     *message.Entry
}

// held is the entry as it counts.
func (r Record) held() message.Entry {
	var e message.Entry
	if r.Entry != nil {
		e = *r.Entry
	}
	e.Epoch = max(e.Epoch, r.HeldEpoch)
	return e
}

// Behind tells whether the entry is older than the one that goes with the view.
func (r Record) Behind() bool { return r.held().Stamp().Less(r.State.View.BaseStamp()) }

// stored is a record's state as it stands on the disk, beside the entry.
type stored struct {
	Format int `json:"format,omitempty"`
	consensus.State
	HeldEpoch uint64 `json:"heldEpoch,omitempty"`
}

// Encode writes the state of a record as it stands on the disk; Decode reads it back.
func Encode(r Record) []byte {
	b, err := json.Marshal(stored{Format, r.State, r.HeldEpoch})
	if err != nil {
		panic(fmt.Sprintf("invariant: a state without a form: %v", err))
	}
	return b
}

// Decode is as Encode.
func Decode(b []byte) (r Record, err error) {
	var s stored
	if err := json.Unmarshal(b, &s); err != nil {
		return r, err
	}
	if s.Format > Format {
		return r, fmt.Errorf("the state is of format %d; this program reads up to %d", s.Format, Format)
	}
	return Record{State: s.State, HeldEpoch: s.HeldEpoch}, nil
}
