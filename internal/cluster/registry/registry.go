// Package registry owns the servers: which lives are there, where, for which service, and
// whether one serves, leaves or has fallen silent. Every core machine runs one, fed by
// the beats that it takes itself and by the news of the others. It must never trust a
// beat of a lower sequence than one it has seen, bring back a life that has left, or take
// silence here for silence everywhere.
package registry

import (
	"encoding/json"
	"fmt"
	"strings"

	"saddleport/internal/cluster/gossip"
)

// Server is what is told of one life of a server.
type Server struct {
	ID       string  `json:"-"`
	Service  string  `json:"s"`
	Addr     string  `json:"a"`
	Zone     string  `json:"z"`
	Revision string  `json:"v,omitempty"`
	Capacity float64 `json:"c"`
	State    State   `json:"t"`
	Warm     int64   `json:"w,omitempty"` // ms that it is still slow, when this was told
	By       string  `json:"b"`           // the core machine that hears it
}

// What a server says of itself in a heartbeat.
const (
	SaysAvailable = "available"
	SaysDraining  = "draining"
)

// State is how a server stands.
type State int

// The states. Left is told by no body at all.
const (
	Available State = iota
	Draining
	Silent
)

func (s State) String() string {
	return [...]string{"available", "draining", "silent"}[min(max(s, 0), Silent)]
}

// Prefix begins the keys of servers among the news.
const Prefix = "s/"

// Beat is a heartbeat.
type Beat struct {
	Service  string  `json:"target_service"`
	Addr     string  `json:"address"`
	Zone     string  `json:"zone"`
	Revision string  `json:"revision"`
	Capacity float64 `json:"capacity"`
	State    string  `json:"lifecycle_state"`
	Warm     float64 `json:"warmup_left_ms"`
	Sequence int64   `json:"sequence"`
}

// Check tells what is wrong with a beat.
func (b Beat) Check(id string) error {
	switch {
	case id == "" || len(id) > 200:
		return fmt.Errorf("the id is not of 1 to 200 bytes")
	case b.Service == "" || len(b.Service) > 200:
		return fmt.Errorf("target_service: not of 1 to 200 bytes")
	case b.Addr == "" || len(b.Addr) > 100 || !strings.Contains(b.Addr, ":"):
		return fmt.Errorf("address: %.100q is not host:port", b.Addr)
	case b.Sequence < 0 || b.Sequence > 1<<50:
		return fmt.Errorf("sequence: %d is out of bounds", b.Sequence)
	case b.State != SaysAvailable && b.State != SaysDraining:
		return fmt.Errorf("lifecycle_state: %.40q is neither available nor draining", b.State)
	}
	return nil
}

// A rank is the sequence of the beat that the news rests on; silence after it, and being
// let go after long silence, rank above it and below the next beat.
const (
	shift   = 2
	silence = 1
	let     = 2
	left    = uint64(1) << 62
)

const most = 10_000 // servers heard by one machine

type heard struct {
	server Server
	seq    int64
	at     int64 // microseconds of the caller's clock
}

// Roster is the state of one core machine.
type Roster struct {
	self  string
	quiet int64 // microseconds without a beat after which a server is silent
	mine  map[string]*heard
}

// New returns a roster of the core machine self, to which a server that says nothing for
// quiet microseconds is silent.
func New(self string, quiet int64) *Roster {
	return &Roster{self: self, quiet: quiet, mine: make(map[string]*heard)}
}

func item(s Server, rank uint64) gossip.Item {
	body, err := json.Marshal(s)
	if err != nil {
		panic(err) // a struct of texts and numbers always has a form
	}
	return gossip.Item{Key: Prefix + s.ID, Rank: rank, Body: body}
}

// Parse reads the news of a server; gone ones have their id alone.
func Parse(i gossip.Item) (s Server, err error) {
	if !i.Gone() {
		err = json.Unmarshal(i.Body, &s)
	}
	s.ID = strings.TrimPrefix(i.Key, Prefix)
	return s, err
}

// Heard takes a beat and returns the news that it makes, if any. held is the news that is
// known of the server so far.
func (r *Roster) Heard(now int64, id string, b Beat, held gossip.Item, known bool) (news gossip.Item, is bool, err error) {
	if err := b.Check(id); err != nil {
		return news, false, err
	}
	if known && held.Rank >= left {
		return news, false, nil // it has left: a late beat brings nothing back
	}
	h := r.mine[id]
	if h != nil && b.Sequence < h.seq {
		return news, false, nil
	}
	s := Server{ID: id, Service: b.Service, Addr: b.Addr, Zone: b.Zone, Revision: b.Revision, Capacity: b.Capacity,
		Warm: int64(b.Warm), By: r.self}
	if b.State == SaysDraining {
		s.State = Draining
	}
	rank := uint64(b.Sequence) << shift
	if h == nil {
		if len(r.mine) >= most {
			return news, false, fmt.Errorf("%d servers are heard here already", most)
		}
		h = &heard{}
		r.mine[id] = h
	}
	h.server, h.seq, h.at = s, b.Sequence, now
	if known {
		if rank < held.Rank {
			return news, false, nil // others have heard a later one
		}
		was, err := Parse(held)
		if was.Warm = s.Warm; err == nil && was == s && !held.Gone() {
			return news, false, nil
		}
		if rank == held.Rank { // the same beat, sent here once more
			return news, false, nil
		}
	}
	return item(s, rank), true, nil
}

// Adopt has this machine listen for a server that another one heard, or that it heard in an
// earlier life itself: it is silent unless it beats here, or is told to beat elsewhere.
func (r *Roster) Adopt(now int64, i gossip.Item) {
	s, err := Parse(i)
	if err != nil || i.Gone() || s.State == Silent || r.mine[s.ID] != nil || len(r.mine) >= most {
		return
	}
	r.mine[s.ID] = &heard{server: s, seq: int64(i.Rank >> shift), at: now}
}

// Hears tells whether a server beats here, or is listened for.
func (r *Roster) Hears(id string) bool { return r.mine[id] != nil }

// Let is the news that a server that has long been silent is let go. One that beats again
// comes back.
func Let(i gossip.Item) gossip.Item { return gossip.Item{Key: i.Key, Rank: i.Rank>>shift<<shift | let} }

// Left takes a server's last word.
func (r *Roster) Left(id string) gossip.Item {
	delete(r.mine, id)
	return gossip.Item{Key: Prefix + id, Rank: left}
}

// Told takes the news of others: what is heard here too late a beat of is answered.
func (r *Roster) Told(now int64, i gossip.Item) (news gossip.Item, is bool) {
	s, err := Parse(i)
	if err != nil {
		return news, false
	}
	h := r.mine[s.ID]
	switch {
	case h == nil:
	case i.Gone() && i.Rank >= left:
		delete(r.mine, s.ID)
	case (s.State == Silent || i.Gone()) && uint64(h.seq)<<shift > i.Rank && now-h.at < r.quiet:
		return item(h.server, uint64(h.seq)<<shift), true // it is heard here
	case s.By != r.self && i.Rank > uint64(h.seq)<<shift:
		delete(r.mine, s.ID) // it beats elsewhere now
	}
	return news, false
}

// Tick returns the news of servers that have fallen silent here.
func (r *Roster) Tick(now int64) (news []gossip.Item) {
	for id, h := range r.mine {
		if now-h.at > r.quiet {
			s := h.server
			s.State, s.By = Silent, r.self
			news = append(news, item(s, uint64(h.seq)<<shift|silence))
			delete(r.mine, id)
		}
	}
	return news
}

// Len counts the servers that beat here.
func (r *Roster) Len() int { return len(r.mine) }
