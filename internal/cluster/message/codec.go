package message

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// UnknownKind is the error of a message whose kind this program does not speak.
type UnknownKindError struct {
	Kind Kind
	From Member
}

func (e *UnknownKindError) Error() string {
	return fmt.Sprintf("a message of unknown kind %.40q from %s", string(e.Kind), e.From)
}

// written and read are the forms of a message.
type messageJSON struct {
	Kind  Kind   `json:"k"`
	From  Member `json:"f"`
	To    Member `json:"t"`
	Epoch uint64 `json:"e,omitempty"`
	Body  Body   `json:"b"`
}

type rawMessageJSON struct {
	Kind  Kind            `json:"k"`
	From  Member          `json:"f"`
	To    Member          `json:"t"`
	Epoch uint64          `json:"e,omitempty"`
	Body  json.RawMessage `json:"b"`
}

var decoders = make(map[Kind]func([]byte) (Body, error))

func register[T Body]() {
	var zero T
	decoders[zero.Kind()] = func(raw []byte) (Body, error) {
		var body T
		err := json.Unmarshal(raw, &body)
		return body, err
	}
}

func init() {
	register[UpdateRequest]()
	register[UpdateResponse]()
	register[Forward]()
	register[Acknowledge]()
	register[EntryMissing]()
	register[QueryRequest]()
	register[QueryResponse]()
	register[ConfirmView]()
	register[ViewConfirmed]()
	register[Repair]()
	register[RequestPending]()
	register[Heartbeat]()
	register[Join]()
	register[Prepare]()
	register[Promise]()
	register[Accept]()
	register[Accepted]()
	register[Nack]()
	register[Decide]()
	register[Suspect]()
}

// MarshalJSON writes the message with its kind.
func (m Message) MarshalJSON() ([]byte, error) {
	return json.Marshal(messageJSON{Kind: m.Body.Kind(), From: m.From, To: m.To, Epoch: m.Epoch, Body: m.Body})
}

// UnmarshalJSON reads one; a kind that is not spoken here is an *UnknownKind.
func (m *Message) UnmarshalJSON(text []byte) error {
	var r rawMessageJSON
	if err := json.Unmarshal(text, &r); err != nil {
		return err
	}
	decode, known := decoders[r.Kind]
	if !known {
		return &UnknownKindError{r.Kind, r.From}
	}
	body, err := decode(r.Body)
	if err != nil {
		return fmt.Errorf("a message %q from %s: %w", r.Kind, r.From, err)
	}
	*m = Message{From: r.From, To: r.To, Epoch: r.Epoch, Body: body}
	return nil
}

// mailHead is the first line of mail. The contents of entries stand behind it as they are:
// as texts in JSON they would be read through at every layer, and they are large.
type batchHeader struct {
	Messages []json.RawMessage `json:"m"`
	Sizes    []int             `json:"s"` // by message, of its content; 0: it has none
}

// EncodeMail writes messages as one body.
func EncodeBatch(list []Message) ([]byte, error) {
	var head batchHeader
	var contents []byte
	for _, m := range list {
		content := ContentOf(m.Body)
		if len(content) > 0 {
			e := *entryOf(m.Body)
			e.Content = nil
			m.Body = withEntry(m.Body, &e)
		}
		text, err := m.MarshalJSON()
		if err != nil {
			return nil, err
		}
		head.Messages = append(head.Messages, text)
		head.Sizes = append(head.Sizes, len(content))
		contents = append(contents, content...)
	}
	line, err := json.Marshal(head)
	if err != nil {
		return nil, err
	}
	return append(append(line, '\n'), contents...), nil
}

// DecodeMail reads what it can: one message that is spoilt, or of a kind that is not spoken
// here, takes no other with it.
func DecodeBatch(batch []byte) (list []Message, unread []error, err error) {
	line, contents, whole := bytes.Cut(batch, []byte{'\n'})
	var head batchHeader
	if err := json.Unmarshal(line, &head); err != nil {
		return nil, nil, err
	}
	if !whole || len(head.Sizes) != len(head.Messages) {
		return nil, nil, errors.New("the mail was cut short")
	}
	for i, text := range head.Messages {
		size := head.Sizes[i]
		if size < 0 || size > len(contents) {
			return list, unread, fmt.Errorf("the mail's message %d has %d bytes of content, and %d are left", i, size, len(contents))
		}
		var m Message
		if err := m.UnmarshalJSON(text); err != nil {
			unread = append(unread, err)
		} else {
			list = append(list, m.withContent(contents[:size:size]))
		}
		contents = contents[size:]
	}
	return list, unread, nil
}

// with gives a message the content that it came with.
func (m Message) withContent(content []byte) Message {
	e := entryOf(m.Body)
	if e == nil || len(content) == 0 {
		return m
	}
	whole := *e
	whole.Content = bytes.Clone(content) // it is kept for long, and the mail is not
	m.Body = withEntry(m.Body, &whole)
	return m
}

// withEntry is a body with another entry.
func withEntry(body Body, e *Entry) Body {
	switch b := body.(type) {
	case UpdateRequest:
		b.Entry = e
		return b
	case Forward:
		b.Entry = e
		return b
	case QueryResponse:
		b.Entry = e
		return b
	case Repair:
		b.Entry = *e
		return b
	case Prepare:
		b.Entry = e
		return b
	case Promise:
		b.Entry = e
		return b
	case Accept:
		b.Entry = e
		return b
	case Decide:
		b.Entry = e
		return b
	}
	return body
}
