// Package codec encodes and decodes the messages between control-plane machines: each message as
// JSON, and the messages of one call as a batch. It defines the list of message types.
package codec

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"saddleport/internal/cluster/chain"
	"saddleport/internal/cluster/consensus"
	"saddleport/internal/cluster/envelope"
	"saddleport/internal/cluster/views"
)

// ErrTruncated is returned for a batch that is shorter than its header announces.
var ErrTruncated = errors.New("batch of messages is truncated")

// UnknownKindError is returned for a message whose kind this release does not know.
type UnknownKindError struct {
	Kind envelope.Kind
	From views.Member
}

func (e *UnknownKindError) Error() string {
	return fmt.Sprintf("message of unknown kind %.40q from %s", string(e.Kind), e.From)
}

// messageJSON is the JSON form of a message; B is the form of its body.
type messageJSON[B any] struct {
	Kind  envelope.Kind `json:"k"`
	From  views.Member  `json:"f"`
	To    views.Member  `json:"t"`
	Epoch uint64        `json:"e,omitempty"`
	Body  B             `json:"b"`
}

// decoder decodes the body of a message of one kind.
type decoder func(text []byte) (envelope.Body, error)

// decoders maps each kind of message to its decoder.
var decoders = decodersOf(
	decoderOf[chain.UpdateRequest], decoderOf[chain.UpdateResponse], decoderOf[chain.Forward],
	decoderOf[chain.Acknowledge], decoderOf[chain.EntryMissing], decoderOf[chain.QueryRequest],
	decoderOf[chain.QueryResponse], decoderOf[chain.ConfirmView], decoderOf[chain.ViewConfirmed],
	decoderOf[chain.Repair], decoderOf[chain.RequestPending],
	decoderOf[consensus.Heartbeat], decoderOf[consensus.Join], decoderOf[consensus.Prepare],
	decoderOf[consensus.Promise], decoderOf[consensus.Accept], decoderOf[consensus.Accepted],
	decoderOf[consensus.Nack], decoderOf[consensus.Decide], decoderOf[consensus.Suspect],
)

func decodersOf(constructors ...func() (envelope.Kind, decoder)) map[envelope.Kind]decoder {
	byKind := make(map[envelope.Kind]decoder, len(constructors))
	for _, make := range constructors {
		kind, decode := make()
		byKind[kind] = decode
	}
	return byKind
}

func decoderOf[T envelope.Body]() (envelope.Kind, decoder) {
	var zero T
	return zero.Kind(), func(text []byte) (envelope.Body, error) {
		var body T
		err := json.Unmarshal(text, &body)
		return body, err
	}
}

// EncodeMessage encodes a message, with the content of its entry if it has one.
func EncodeMessage(m envelope.Message) ([]byte, error) {
	return json.Marshal(messageJSON[envelope.Body]{Kind: m.Body.Kind(), From: m.From, To: m.To, Epoch: m.Epoch, Body: m.Body})
}

// DecodeMessage decodes what EncodeMessage has written. The error for a kind that this release does
// not know is an *UnknownKindError.
func DecodeMessage(text []byte) (envelope.Message, error) {
	var raw messageJSON[json.RawMessage]
	if err := json.Unmarshal(text, &raw); err != nil {
		return envelope.Message{}, err
	}
	decode, known := decoders[raw.Kind]
	if !known {
		return envelope.Message{}, &UnknownKindError{raw.Kind, raw.From}
	}
	body, err := decode(raw.Body)
	if err != nil {
		return envelope.Message{}, fmt.Errorf("message %q from %s: %w", raw.Kind, raw.From, err)
	}
	return envelope.Message{From: raw.From, To: raw.To, Epoch: raw.Epoch, Body: body}, nil
}

// batchHeader is the first line of a batch. The contents of the messages' entries follow it as raw
// bytes: they are large, and as JSON strings they would be scanned at every layer.
type batchHeader struct {
	Messages     []json.RawMessage `json:"m"`
	ContentSizes []int             `json:"s"` // bytes of content of each message; 0: none
}

// EncodeBatch encodes messages as the body of one call.
func EncodeBatch(messages []envelope.Message) ([]byte, error) {
	var header batchHeader
	var contents []byte
	for _, m := range messages {
		content := chain.ContentOf(m.Body)
		if len(content) > 0 {
			m.Body = replaceContent(m.Body, nil)
		}
		text, err := EncodeMessage(m)
		if err != nil {
			return nil, err
		}
		header.Messages = append(header.Messages, text)
		header.ContentSizes = append(header.ContentSizes, len(content))
		contents = append(contents, content...)
	}
	line, err := json.Marshal(header)
	if err != nil {
		return nil, err
	}
	return append(append(line, '\n'), contents...), nil
}

// DecodeBatch decodes what EncodeBatch has written. A message that is malformed or of an unknown
// kind is left out, and its error is returned in undecodable; the other messages are returned.
// The error for an incomplete batch wraps ErrTruncated.
func DecodeBatch(batch []byte) (messages []envelope.Message, undecodable []error, err error) {
	line, contents, complete := bytes.Cut(batch, []byte{'\n'})
	var header batchHeader
	if err := json.Unmarshal(line, &header); err != nil {
		return nil, nil, err
	}
	if !complete || len(header.ContentSizes) != len(header.Messages) {
		return nil, nil, ErrTruncated
	}
	for i, text := range header.Messages {
		size := header.ContentSizes[i]
		if size < 0 || size > len(contents) {
			return messages, undecodable, fmt.Errorf("message %d has %d bytes of content, but only %d are left: %w", i, size, len(contents), ErrTruncated)
		}
		m, err := DecodeMessage(text)
		if err != nil {
			undecodable = append(undecodable, err)
		} else {
			if size > 0 {
				m.Body = replaceContent(m.Body, bytes.Clone(contents[:size])) // the content outlives the batch
			}
			messages = append(messages, m)
		}
		contents = contents[size:]
	}
	return messages, undecodable, nil
}

// replaceContent returns a copy of a body whose entry has the given content. A body without an entry
// is returned unchanged.
func replaceContent(body envelope.Body, content []byte) envelope.Body {
	carrier, ok := body.(chain.EntryCarrier)
	if !ok || carrier.AttachedEntry() == nil {
		return body
	}
	entry := *carrier.AttachedEntry()
	entry.Content = content
	return carrier.WithEntry(&entry)
}
