// Package registry tracks the servers: which incarnations exist, at which address and zone, for
// which service, and whether each is available, draining or unresponsive. Every control-plane
// machine has a registry, updated by the heartbeats that the machine receives itself and by
// gossip from the others. The registry never accepts a heartbeat with a lower sequence than one
// that it has seen, and never restores an incarnation that has deregistered. A server whose
// heartbeats are missing here is not taken to be unresponsive if another machine receives them.
package registry

import (
	"encoding/json"
	"fmt"
	"strings"

	"saddleport/internal/cluster/gossip"
)

// Server is one incarnation of a server, in the form in which it is gossiped.
type Server struct {
	ID         string  `json:"-"`
	Service    string  `json:"s"`
	Addr       string  `json:"a"`
	Zone       string  `json:"z"`
	Revision   string  `json:"v,omitempty"`
	Capacity   float64 `json:"c"`
	State      State   `json:"t"`
	WarmupLeft int64   `json:"w,omitempty"` // remaining slow-start time in milliseconds when the entry was gossiped
	Owner      string  `json:"b"`           // the control-plane machine that receives its heartbeats
}

// The lifecycle states that a server reports in a heartbeat.
const (
	LifecycleAvailable = "available"
	LifecycleDraining  = "draining"
)

// State is the state of a server as the registry knows it.
type State int

// The states. The entry of a server that has deregistered has no value.
const (
	Available State = iota
	Draining
	Unresponsive
)

func (s State) String() string {
	return [...]string{"available", "draining", "silent"}[min(max(s, 0), Unresponsive)]
}

// Prefix is the prefix of the keys of servers in the gossip store.
const Prefix = "s/"

// Heartbeat is the body of a server's heartbeat. The names of its fields are part of the servers'
// interface.
type Heartbeat struct {
	Service    string  `json:"target_service"`
	Addr       string  `json:"address"`
	Zone       string  `json:"zone"`
	Revision   string  `json:"revision"`
	Capacity   float64 `json:"capacity"`
	State      string  `json:"lifecycle_state"`
	WarmupLeft float64 `json:"warmup_left_ms"`
	Sequence   int64   `json:"sequence"`
}

// FieldError is returned for a heartbeat with an invalid field.
type FieldError struct {
	Field   string // its name on the wire
	Problem string
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

// ErrFull is returned for a new server while the registry tracks maxServers servers.
var ErrFull = fmt.Errorf("this machine already tracks %d servers, the maximum", maxServers)

// Validate returns a *FieldError if a field of the heartbeat, or the id of its sender, is invalid.
func (h Heartbeat) Validate(id string) error {
	switch {
	case id == "" || len(id) > 200:
		return &FieldError{"id", "must have 1 to 200 bytes"}
	case h.Service == "" || len(h.Service) > 200:
		return &FieldError{"target_service", "must have 1 to 200 bytes"}
	case h.Addr == "" || len(h.Addr) > 100 || !strings.Contains(h.Addr, ":"):
		return &FieldError{"address", fmt.Sprintf("%.100q is not host:port", h.Addr)}
	case h.Sequence < 0 || h.Sequence > 1<<50:
		return &FieldError{"sequence", fmt.Sprintf("%d is out of range", h.Sequence)}
	case h.State != LifecycleAvailable && h.State != LifecycleDraining:
		return &FieldError{"lifecycle_state", fmt.Sprintf("%.40q is neither available nor draining", h.State)}
	}
	return nil
}

// The version of a server's entry is the sequence of its heartbeat, shifted by versionShift bits. The
// low bits make the versions for a server that has become unresponsive after that heartbeat, and for
// one that was removed after being unresponsive for long, higher than it and lower than that of the
// next heartbeat.
const (
	versionShift        = 2
	unresponsiveBit     = 1
	removedBit          = 2
	deregisteredVersion = uint64(1) << 62
)

// maxServers is the maximum number of servers whose heartbeats one machine tracks.
const maxServers = 10_000

// trackedServer is a server that sends its heartbeats to this machine or was adopted by it.
type trackedServer struct {
	server      Server
	sequence    int64  // of the last heartbeat
	lastHeardAt int64  // microseconds of the caller's clock
	replicated  uint64 // version of its entry as draining that a majority of the control plane stores; 0: none is known to be
}

// Registry tracks the servers whose heartbeats one control-plane machine receives. It is not safe for
// concurrent use.
type Registry struct {
	self             string
	heartbeatTimeout int64 // microseconds without a heartbeat after which a server is unresponsive
	tracked          map[string]*trackedServer
}

// New returns the registry of a machine. A server that sends no heartbeat for heartbeatTimeout
// microseconds is unresponsive.
func New(self string, heartbeatTimeout int64) *Registry {
	return &Registry{self: self, heartbeatTimeout: heartbeatTimeout, tracked: make(map[string]*trackedServer)}
}

// entryOf returns the gossip entry of a server.
func entryOf(s Server, version uint64) gossip.Entry {
	body, err := json.Marshal(s)
	if err != nil {
		panic(err) // a struct of strings and numbers can always be encoded
	}
	return gossip.Entry{Key: Prefix + s.ID, Version: version, Value: body}
}

// Parse decodes the gossiped entry of a server. That of a deleted entry has only its ID.
func Parse(entry gossip.Entry) (s Server, err error) {
	if !entry.Deleted() {
		err = json.Unmarshal(entry.Value, &s)
	}
	s.ID = strings.TrimPrefix(entry.Key, Prefix)
	return s, err
}

// HandleHeartbeat handles a heartbeat and returns the entry to gossip, if anything changed. stored is
// the entry of the server in the gossip store, if known. The error is a *FieldError or ErrFull.
func (r *Registry) HandleHeartbeat(now int64, id string, heartbeat Heartbeat, stored gossip.Entry, known bool) (update gossip.Entry, changed bool, err error) {
	if err := heartbeat.Validate(id); err != nil {
		return update, false, err
	}
	if known && stored.Version >= deregisteredVersion {
		return update, false, nil // a delayed heartbeat must not restore a deregistered server
	}
	tracked := r.tracked[id]
	if tracked != nil && heartbeat.Sequence < tracked.sequence {
		return update, false, nil
	}
	server := Server{ID: id, Service: heartbeat.Service, Addr: heartbeat.Addr, Zone: heartbeat.Zone, Revision: heartbeat.Revision, Capacity: heartbeat.Capacity,
		WarmupLeft: int64(heartbeat.WarmupLeft), Owner: r.self}
	if heartbeat.State == LifecycleDraining {
		server.State = Draining
	}
	version := uint64(heartbeat.Sequence) << versionShift
	if tracked == nil {
		if len(r.tracked) >= maxServers {
			return update, false, ErrFull
		}
		tracked = &trackedServer{}
		r.tracked[id] = tracked
	}
	tracked.server, tracked.sequence, tracked.lastHeardAt = server, heartbeat.Sequence, now
	if known {
		if version < stored.Version {
			return update, false, nil // another machine has received a later heartbeat
		}
		previous, err := Parse(stored)
		if previous.WarmupLeft = server.WarmupLeft; err == nil && previous == server && !stored.Deleted() {
			return update, false, nil
		}
		if version == stored.Version { // a repetition of the same heartbeat
			return update, false, nil
		}
	}
	return entryOf(server, version), true, nil
}

// Adopt makes this machine track a server that was owned by another machine, or by this one before
// a restart. The server becomes unresponsive unless it sends heartbeats to this machine or another.
func (r *Registry) Adopt(now int64, entry gossip.Entry) {
	s, err := Parse(entry)
	if err != nil || entry.Deleted() || s.State == Unresponsive || r.tracked[s.ID] != nil || len(r.tracked) >= maxServers {
		return
	}
	r.tracked[s.ID] = &trackedServer{server: s, sequence: int64(entry.Version >> versionShift), lastHeardAt: now}
}

// Tracks reports whether a server sends its heartbeats to this machine or was adopted by it.
func (r *Registry) Tracks(id string) bool { return r.tracked[id] != nil }

// MarkReplicated records that a majority of the control plane stores a version of a draining server's entry. It has
// no effect for a server that is not tracked.
func (r *Registry) MarkReplicated(id string, version uint64) {
	if tracked := r.tracked[id]; tracked != nil {
		tracked.replicated = version
	}
}

// IsReplicated reports whether MarkReplicated was called for a version of a server's entry, and the server
// has been tracked since.
func (r *Registry) IsReplicated(id string, version uint64) bool {
	tracked := r.tracked[id]
	return tracked != nil && version != 0 && tracked.replicated == version
}

// RemovedEntry returns the entry that removes a server which was unresponsive for long. A later
// heartbeat restores the server.
func RemovedEntry(entry gossip.Entry) gossip.Entry {
	return gossip.Entry{Key: entry.Key, Version: entry.Version>>versionShift<<versionShift | removedBit}
}

// HandleDeregister handles the deregistration of a server and returns the entry to gossip. The
// incarnation cannot be restored afterwards.
func (r *Registry) HandleDeregister(id string) gossip.Entry {
	delete(r.tracked, id)
	return gossip.Entry{Key: Prefix + id, Version: deregisteredVersion}
}

// HandleUpdate handles an entry that another machine has gossiped. If the entry makes a server
// unresponsive or removes it although a later heartbeat was received here, HandleUpdate returns the
// entry that corrects it.
func (r *Registry) HandleUpdate(now int64, entry gossip.Entry) (update gossip.Entry, changed bool) {
	s, err := Parse(entry)
	if err != nil {
		return update, false
	}
	tracked := r.tracked[s.ID]
	switch {
	case tracked == nil:
	case entry.Deleted() && entry.Version >= deregisteredVersion:
		delete(r.tracked, s.ID)
	case (s.State == Unresponsive || entry.Deleted()) && uint64(tracked.sequence)<<versionShift > entry.Version && now-tracked.lastHeardAt < r.heartbeatTimeout:
		return entryOf(tracked.server, uint64(tracked.sequence)<<versionShift), true // this machine receives its heartbeats
	case s.Owner != r.self && entry.Version > uint64(tracked.sequence)<<versionShift:
		delete(r.tracked, s.ID) // another machine receives its heartbeats now
	}
	return update, false
}

// Tick returns the entries of servers that have become unresponsive to this machine, and stops
// tracking them.
func (r *Registry) Tick(now int64) (updates []gossip.Entry) {
	for id, tracked := range r.tracked {
		if now-tracked.lastHeardAt > r.heartbeatTimeout {
			s := tracked.server
			s.State, s.Owner = Unresponsive, r.self
			updates = append(updates, entryOf(s, uint64(tracked.sequence)<<versionShift|unresponsiveBit))
			delete(r.tracked, id)
		}
	}
	return updates
}

// Len returns the number of tracked servers.
func (r *Registry) Len() int { return len(r.tracked) }
