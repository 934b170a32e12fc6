// Package envelope defines the messages between control-plane machines, apart from their bodies.
// Each body is defined beside the state machine that it belongs to: those of chain replication
// in package chain, those of the agreement on views in package consensus. Package codec encodes
// and decodes messages.
package envelope

import "saddleport/internal/cluster/views"

// Kind identifies the type of a body on the wire. Kinds must never change: while a release is rolled
// out, processes of two releases exchange messages.
type Kind string

// Body is the content of a message: one of the message types of chain or consensus.
type Body interface{ Kind() Kind }

// Message is one message between control-plane machines.
type Message struct {
	From, To views.Member // To.DiskID is empty if only the address is known
	Epoch    uint64       // of the view that the message belongs to
	Body     Body
}
