// Package envelope holds the form in which control-plane machines address messages to one
// another. The bodies stand beside the state machine that owns them: those of chain
// replication in package chain, those of the agreement on views in package consensus.
// Package codec writes and reads them.
package envelope

import "saddleport/internal/cluster/views"

// Kind names the type of a body on the wire. Kinds never change: processes of two releases
// talk to each other while a release is rolled out.
type Kind string

// Body is the content of a message: one of the message types of chain or consensus.
type Body interface{ Kind() Kind }

// Message is one message between control-plane machines.
type Message struct {
	From, To views.Member // To.DiskID is empty if only the address is known
	Epoch    uint64       // of the view that the message belongs to
	Body     Body
}
