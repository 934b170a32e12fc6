// Package registry tracks the servers: which incarnations exist, where, for which service, and
// whether each is available, draining or silent. Every control-plane machine runs one, fed by
// the heartbeats that it receives itself and by gossip from the others. It never trusts a
// heartbeat with a lower sequence than one it has seen, brings back an incarnation that has
// deregistered, or takes silence here for silence everywhere.
package registry

import (
	"encoding/json"
	"fmt"
	"strings"

	"saddleport/internal/cluster/gossip"
)

// Server is one incarnation of a server as it is gossiped.
type Server struct {
	ID         string  `json:"-"`
	Service    string  `json:"s"`
	Addr       string  `json:"a"`
	Zone       string  `json:"z"`
	Revision   string  `json:"v,omitempty"`
	Capacity   float64 `json:"c"`
	State      State   `json:"t"`
	WarmupLeft int64   `json:"w,omitempty"` // milliseconds that it is still slow, when this was gossiped
	Owner      string  `json:"b"`           // the control-plane machine that receives its heartbeats
}

// What a server says of itself in a heartbeat.
const (
	LifecycleAvailable = "available"
	LifecycleDraining  = "draining"
)

// State is the state of a server.
type State int

// The states. A server that deregistered has an entry without a value.
const (
	Available State = iota
	Draining
	Unresponsive
)

func (s State) String() string {
	return [...]string{"available", "draining", "silent"}[min(max(s, 0), Unresponsive)]
}

// Prefix begins the keys of servers in the gossip store.
const Prefix = "s/"

// Heartbeat is the body of a server's heartbeat; the names on the wire are the operators'.
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

// FieldError is returned for a heartbeat that is not valid.
type FieldError struct {
	Field   string // as it is named on the wire
	Problem string
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

// ErrFull is returned for a new server when the registry tracks as many as it may.
var ErrFull = fmt.Errorf("%d servers are tracked here already", maxServers)

// Validate returns what is wrong with a heartbeat.
func (b Heartbeat) Validate(id string) error {
	switch {
	case id == "" || len(id) > 200:
		return &FieldError{"id", "not of 1 to 200 bytes"}
	case b.Service == "" || len(b.Service) > 200:
		return &FieldError{"target_service", "not of 1 to 200 bytes"}
	case b.Addr == "" || len(b.Addr) > 100 || !strings.Contains(b.Addr, ":"):
		return &FieldError{"address", fmt.Sprintf("%.100q is not host:port", b.Addr)}
	case b.Sequence < 0 || b.Sequence > 1<<50:
		return &FieldError{"sequence", fmt.Sprintf("%d is out of bounds", b.Sequence)}
	case b.State != LifecycleAvailable && b.State != LifecycleDraining:
		return &FieldError{"lifecycle_state", fmt.Sprintf("%.40q is neither available nor draining", b.State)}
	}
	return nil
}

// The version of a server's entry is the sequence of its heartbeat, shifted. Silence after that
// heartbeat, and removal after long silence, come above it and below the next heartbeat.
const (
	versionShift        = 2
	silentBit           = 1
	removedBit          = 2
	deregisteredVersion = uint64(1) << 62
)

// maxServers is how many servers one machine tracks.
const maxServers = 10_000 // servers heard by one machine

type trackedServer struct {
	server      Server
	sequence    int64
	lastHeardAt int64 // microseconds of the caller's clock
}

// Registry is the servers as one control-plane machine sees them. It is not safe for
// concurrent use.
type Registry struct {
	self           string
	silenceTimeout int64 // microseconds without a heartbeat after which a server is silent
	tracked        map[string]*trackedServer
}

// New returns the registry of a machine, to which a server that sends nothing for
// silenceTimeout microseconds is silent.
func New(self string, silenceTimeout int64) *Registry {
	return &Registry{self: self, silenceTimeout: silenceTimeout, tracked: make(map[string]*trackedServer)}
}

func entryOf(s Server, version uint64) gossip.Entry {
	body, err := json.Marshal(s)
	if err != nil {
		panic(err) // a struct of texts and numbers always has a form
	}
	return gossip.Entry{Key: Prefix + s.ID, Version: version, Value: body}
}

// Parse reads the gossiped entry of a server. Of a deleted one only the id is known.
func Parse(i gossip.Entry) (s Server, err error) {
	if !i.Deleted() {
		err = json.Unmarshal(i.Value, &s)
	}
	s.ID = strings.TrimPrefix(i.Key, Prefix)
	return s, err
}

// HandleHeartbeat takes a heartbeat and returns the entry to gossip, if anything changed.
// stored is the entry that is known of the server so far.
func (r *Registry) HandleHeartbeat(now int64, id string, b Heartbeat, stored gossip.Entry, known bool) (update gossip.Entry, changed bool, err error) {
	if err := b.Validate(id); err != nil {
		return update, false, err
	}
	if known && stored.Version >= deregisteredVersion {
		return update, false, nil // deregistered: a late heartbeat brings nothing back
	}
	h := r.tracked[id]
	if h != nil && b.Sequence < h.sequence {
		return update, false, nil
	}
	s := Server{ID: id, Service: b.Service, Addr: b.Addr, Zone: b.Zone, Revision: b.Revision, Capacity: b.Capacity,
		WarmupLeft: int64(b.WarmupLeft), Owner: r.self}
	if b.State == LifecycleDraining {
		s.State = Draining
	}
	version := uint64(b.Sequence) << versionShift
	if h == nil {
		if len(r.tracked) >= maxServers {
			return update, false, ErrFull
		}
		h = &trackedServer{}
		r.tracked[id] = h
	}
	h.server, h.sequence, h.lastHeardAt = s, b.Sequence, now
	if known {
		if version < stored.Version {
			return update, false, nil // others have heard a later one
		}
		previous, err := Parse(stored)
		if previous.WarmupLeft = s.WarmupLeft; err == nil && previous == s && !stored.Deleted() {
			return update, false, nil
		}
		if version == stored.Version { // the same heartbeat again
			return update, false, nil
		}
	}
	return entryOf(s, version), true, nil
}

// Adopt makes this machine track a server that another machine owned, or that it owned itself
// before a restart: it is silent unless it sends heartbeats here or is heard elsewhere.
func (r *Registry) Adopt(now int64, i gossip.Entry) {
	s, err := Parse(i)
	if err != nil || i.Deleted() || s.State == Unresponsive || r.tracked[s.ID] != nil || len(r.tracked) >= maxServers {
		return
	}
	r.tracked[s.ID] = &trackedServer{server: s, sequence: int64(i.Version >> versionShift), lastHeardAt: now}
}

// Tracks reports whether a server sends its heartbeats here or was adopted.
func (r *Registry) Tracks(id string) bool { return r.tracked[id] != nil }

// RemovedEntry is the entry of a server that is removed after long silence. A later heartbeat
// brings it back.
func RemovedEntry(i gossip.Entry) gossip.Entry {
	return gossip.Entry{Key: i.Key, Version: i.Version>>versionShift<<versionShift | removedBit}
}

// HandleDeregister takes a server's last call and returns the entry to gossip.
func (r *Registry) HandleDeregister(id string) gossip.Entry {
	delete(r.tracked, id)
	return gossip.Entry{Key: Prefix + id, Version: deregisteredVersion}
}

// HandleUpdate takes an entry that another machine gossiped. If it is older than what was
// heard here, the entry that corrects it is returned.
func (r *Registry) HandleUpdate(now int64, i gossip.Entry) (update gossip.Entry, changed bool) {
	s, err := Parse(i)
	if err != nil {
		return update, false
	}
	h := r.tracked[s.ID]
	switch {
	case h == nil:
	case i.Deleted() && i.Version >= deregisteredVersion:
		delete(r.tracked, s.ID)
	case (s.State == Unresponsive || i.Deleted()) && uint64(h.sequence)<<versionShift > i.Version && now-h.lastHeardAt < r.silenceTimeout:
		return entryOf(h.server, uint64(h.sequence)<<versionShift), true // it is heard here
	case s.Owner != r.self && i.Version > uint64(h.sequence)<<versionShift:
		delete(r.tracked, s.ID) // its heartbeats go elsewhere now
	}
	return update, false
}

// Tick returns the entries of servers that have become silent here.
func (r *Registry) Tick(now int64) (updates []gossip.Entry) {
	for id, h := range r.tracked {
		if now-h.lastHeardAt > r.silenceTimeout {
			s := h.server
			s.State, s.Owner = Unresponsive, r.self
			updates = append(updates, entryOf(s, uint64(h.sequence)<<versionShift|silentBit))
			delete(r.tracked, id)
		}
	}
	return updates
}

// Len counts the servers that send their heartbeats here.
func (r *Registry) Len() int { return len(r.tracked) }
