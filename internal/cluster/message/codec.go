package message

import (
	"encoding/json"
	"fmt"
)

// UnknownKind is the error of a message whose kind this program does not speak.
type UnknownKind struct {
	Of   Kind
	From Member
}

func (e *UnknownKind) Error() string {
	return fmt.Sprintf("a message of unknown kind %.40q from %s", string(e.Of), e.From)
}

type form struct {
	Kind  Kind            `json:"k"`
	From  Member          `json:"f"`
	To    Member          `json:"t"`
	Epoch uint64          `json:"e,omitempty"`
	Body  json.RawMessage `json:"b"`
}

var decoders = map[Kind]func([]byte) (Body, error){}

func speak[T Body]() {
	var zero T
	decoders[zero.Kind()] = func(raw []byte) (Body, error) {
		var body T
		err := json.Unmarshal(raw, &body)
		return body, err
	}
}

func init() {
	speak[Enter]()
	speak[Entered]()
	speak[Pass]()
	speak[Ack]()
	speak[Lacks]()
	speak[Read]()
	speak[ReadResult]()
	speak[Confirm]()
	speak[Confirmed]()
	speak[Repair]()
	speak[Waiting]()
	speak[Heartbeat]()
	speak[Join]()
	speak[Prepare]()
	speak[Promise]()
	speak[Accept]()
	speak[AcceptedBallot]()
	speak[Nack]()
	speak[Decide]()
	speak[Suspect]()
}

// MarshalJSON writes the message with its kind.
func (m Message) MarshalJSON() ([]byte, error) {
	body, err := json.Marshal(m.Body)
	if err != nil {
		return nil, err
	}
	return json.Marshal(form{Kind: m.Body.Kind(), From: m.From, To: m.To, Epoch: m.Epoch, Body: body})
}

// UnmarshalJSON reads one; a kind that is not spoken here is an *UnknownKind.
func (m *Message) UnmarshalJSON(text []byte) error {
	var f form
	if err := json.Unmarshal(text, &f); err != nil {
		return err
	}
	decode, known := decoders[f.Kind]
	if !known {
		return &UnknownKind{f.Kind, f.From}
	}
	body, err := decode(f.Body)
	if err != nil {
		return fmt.Errorf("a message %q from %s: %w", f.Kind, f.From, err)
	}
	*m = Message{From: f.From, To: f.To, Epoch: f.Epoch, Body: body}
	return nil
}
