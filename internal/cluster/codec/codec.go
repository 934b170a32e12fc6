// Package codec writes and reads the messages between control-plane machines: JSON for
// each message, and batches of messages for one call. It owns the list of message types.
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

// ErrTruncated is returned for a batch that does not hold all that its header announces.
var ErrTruncated = errors.New("the batch of messages is truncated")

// UnknownKindError is returned for a message whose kind this release does not know.
type UnknownKindError struct {
	Kind envelope.Kind
	From views.Member
}

func (e *UnknownKindError) Error() string {
	return fmt.Sprintf("a message of unknown kind %.40q from %s", string(e.Kind), e.From)
}

// messageJSON is the written form of a message; B is the form of its body.
type messageJSON[B any] struct {
	Kind  envelope.Kind `json:"k"`
	From  views.Member  `json:"f"`
	To    views.Member  `json:"t"`
	Epoch uint64        `json:"e,omitempty"`
	Body  B             `json:"b"`
}

type decoder func(text []byte) (envelope.Body, error)

// decoders holds a decoder for each kind of message.
var decoders = decodersOf(
	decoderOf[chain.UpdateRequest], decoderOf[chain.UpdateResponse], decoderOf[chain.Forward],
	decoderOf[chain.Acknowledge], decoderOf[chain.EntryMissing], decoderOf[chain.QueryRequest],
	decoderOf[chain.QueryResponse], decoderOf[chain.ConfirmView], decoderOf[chain.ViewConfirmed],
	decoderOf[chain.Repair], decoderOf[chain.RequestPending],
	decoderOf[consensus.Heartbeat], decoderOf[consensus.Join], decoderOf[consensus.Prepare],
	decoderOf[consensus.Promise], decoderOf[consensus.Accept], decoderOf[consensus.Accepted],
	decoderOf[consensus.Nack], decoderOf[consensus.Decide], decoderOf[consensus.Suspect],
)

func decodersOf(list ...func() (envelope.Kind, decoder)) map[envelope.Kind]decoder {
	byKind := make(map[envelope.Kind]decoder, len(list))
	for _, make := range list {
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

// EncodeMessage writes a message with its kind, and with the content of its entry.
func EncodeMessage(m envelope.Message) ([]byte, error) {
	return json.Marshal(messageJSON[envelope.Body]{Kind: m.Body.Kind(), From: m.From, To: m.To, Epoch: m.Epoch, Body: m.Body})
}

// DecodeMessage reads what EncodeMessage writes. The error for a kind that is not known
// here is an *UnknownKindError.
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
		return envelope.Message{}, fmt.Errorf("a message %q from %s: %w", raw.Kind, raw.From, err)
	}
	return envelope.Message{From: raw.From, To: raw.To, Epoch: raw.Epoch, Body: body}, nil
}

// batchHeader is the first line of a batch. The contents of entries follow it as they are:
// as JSON strings they would be scanned at every layer, and they are large.
type batchHeader struct {
	Messages     []json.RawMessage `json:"m"`
	ContentSizes []int             `json:"s"` // bytes, by message; 0: it brings no content
}

// EncodeBatch writes messages as the body of one call.
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

// DecodeBatch reads what EncodeBatch writes. A single message that is damaged or of an unknown
// kind is left out and its error is returned in unread; the others are returned.
func DecodeBatch(batch []byte) (messages []envelope.Message, unread []error, err error) {
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
			return messages, unread, fmt.Errorf("message %d has %d bytes of content, and %d are left: %w", i, size, len(contents), ErrTruncated)
		}
		m, err := DecodeMessage(text)
		if err != nil {
			unread = append(unread, err)
		} else {
			if size > 0 {
				m.Body = replaceContent(m.Body, bytes.Clone(contents[:size])) // it outlives the batch
			}
			messages = append(messages, m)
		}
		contents = contents[size:]
	}
	return messages, unread, nil
}

// replaceContent returns a body whose entry has another content. A body without an entry is
// returned as it is.
func replaceContent(body envelope.Body, content []byte) envelope.Body {
	carrier, ok := body.(chain.EntryCarrier)
	if !ok || carrier.AttachedEntry() == nil {
		return body
	}
	entry := *carrier.AttachedEntry()
	entry.Content = content
	return carrier.WithEntry(&entry)
}
