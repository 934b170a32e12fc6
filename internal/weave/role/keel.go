package role

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"saddleport/internal/fabric/charter"
	"saddleport/internal/fabric/roster"
	"saddleport/internal/fabric/rumour"
	"saddleport/internal/weave/calls"
	"saddleport/internal/weave/events"
	"saddleport/internal/weave/link"
	"saddleport/internal/weave/store"
)

// Beaten is the answer to a heartbeat.
type Beaten struct {
	Endpoint string `json:"heartbeat_endpoint,omitempty"`
}

// Nothing is a body of no meaning.
type Nothing struct{}

// Keep hands a core machine a configuration to keep; with none it only asks.
type Keep struct {
	Rank uint64 `json:"rank"`
	Raw  []byte `json:"raw,omitempty"`
}

// Kept tells what a core machine keeps on its disk.
type Kept struct {
	Rank uint64 `json:"rank"`
	Raw  []byte `json:"raw,omitempty"` // if that ranks above what was handed
}

var (
	beatCall     = calls.Call[roster.Beat, Beaten]{Method: "POST", Path: "/Instances.Heartbeat/{name}", Most: 16 << 10, Who: "servers"}
	leaveCall    = calls.Call[calls.Raw, Nothing]{Method: "POST", Path: "/Instances.Deregister/{name}", Most: 16 << 10, Who: "servers"}
	replaceCall  = calls.Call[calls.Raw, Nothing]{Method: "POST", Path: "/Config.Replace", Most: mostCall, Who: "the operator"}
	describeCall = calls.Call[calls.Raw, calls.Raw]{Method: "GET", Path: "/Config.Describe", Most: mostCall, Who: "the operator"}
	keepCall     = calls.Call[Keep, Kept]{Method: "POST", Path: "/Charter.Keep", Most: 2 * mostCall, Who: "core processes"}
)

const (
	quietBeats = 3.5 // beats missed, before a server is silent
	tickEvery  = 250 * time.Millisecond
	keepTime   = 2 * time.Second
)

type keel struct {
	*Node
	roster *roster.Roster // under mu

	disk  sync.Mutex // held while writing
	store *store.Store
	rank  uint64 // of what is kept
	raw   []byte
	whole bool // this disk has not lost what it once held
}

// rank orders configurations: by version, and of one version by their bytes.
func rank(revision int64, raw []byte) uint64 {
	sum := sha256.Sum256(raw)
	return uint64(revision)<<16 | uint64(binary.BigEndian.Uint16(sum[:]))
}

// Keel is a core process: it takes heartbeats and configurations.
func Keel(ctx context.Context, set *Settings) error {
	boot := set.Boot()
	s, err := store.Open(boot.Dir)
	if err != nil {
		return err
	}
	defer s.Close()
	k := &keel{Node: NewNode(set, "keel"), store: s}
	k.roster = roster.New(k.self.Addr, int64(quietBeats*float64(boot.Beat.Microseconds())))
	if k.raw, err = s.Get("charter"); err != nil {
		return err
	}
	whole, err := s.Get("whole")
	if err != nil {
		return err
	}
	if k.whole = whole != nil || boot.Bootstrap; k.whole && whole == nil {
		if err := s.Put(store.Entry{Key: "whole", Value: []byte("1")}); err != nil {
			return err
		}
	}
	k.took = k.told
	if k.raw != nil {
		if c, err := charter.Read(k.raw); err == nil {
			k.rank = rank(c.Revision, k.raw)
			k.announce(c)
		}
	}
	outer, inner := http.NewServeMux(), http.NewServeMux()
	k.Node.Serve(inner)
	keepCall.On(inner, func(_ context.Context, _ calls.Named, m Keep) (Kept, error) { return k.keep(m) })
	beatCall.On(outer, k.beat)
	leaveCall.On(outer, func(_ context.Context, who calls.Named, _ calls.Raw) (Nothing, error) {
		events.ServerLeft.Log("server", who.Name)
		k.mu.Lock()
		defer k.mu.Unlock()
		k.put(k.roster.Left(who.Name), passTimes)
		return Nothing{}, nil
	})
	replaceCall.On(outer, k.replace)
	describeCall.On(outer, k.describe)
	lnOuter, err := link.Listen(ctx, boot.Control)
	if err != nil {
		return err
	}
	lnInner, err := link.Listen(ctx, boot.Inner())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, 2)
	go func() { failed <- calls.Serve(ctx, lnOuter, outer, 10*time.Second) }()
	go func() { failed <- calls.Serve(ctx, lnInner, inner, 0) }()
	go k.Run(ctx)
	go set.Watch(ctx)
	events.Started.Log("program", "keel", "name", boot.Name, "control", boot.Control, "inner", boot.Inner(), "rank", k.rank, "whole", k.whole)
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			events.Stopping.Log()
			return nil
		case err := <-failed:
			return err
		case <-tick.C:
			k.mu.Lock()
			for _, i := range k.roster.Tick(k.now()) {
				events.ServerSilent.Log("server", i.Key)
				k.put(i, passTimes)
			}
			k.mu.Unlock()
		}
	}
}

// told has the roster see the news of others. Under mu.
func (k *keel) told(i rumour.Item) {
	if len(i.Key) > 2 && i.Key[:2] == roster.Prefix {
		if news, is := k.roster.Told(k.now(), i); is {
			k.put(news, passTimes)
		}
	}
}

func (k *keel) beat(_ context.Context, who calls.Named, b roster.Beat) (Beaten, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	held, known := k.book.Get(roster.Prefix + who.Name)
	news, is, err := k.roster.Heard(k.now(), who.Name, b, held, known)
	if err != nil {
		events.BadBeat.Log("server", who.Name, "peer", who.Peer, "err", err)
		return Beaten{}, calls.Fail(http.StatusBadRequest, "%v", err)
	}
	if is {
		if !known {
			events.ServerNew.Log("server", who.Name, "service", b.Service, "addr", b.Addr, "zone", b.Zone)
		} else if b.State == "draining" {
			events.ServerDrains.Log("server", who.Name, "service", b.Service)
		}
		k.put(news, passTimes)
	}
	return Beaten{}, nil
}

// announce makes a configuration that is acknowledged known.
func (k *keel) announce(c *charter.Charter) {
	k.Put(rumour.Item{Key: charterAt, Rank: rank(c.Revision, c.Raw), Body: json.RawMessage(c.Raw)})
}

// keep writes a configuration down if it is newer than the one that is kept.
func (k *keel) keep(m Keep) (Kept, error) {
	k.disk.Lock()
	defer k.disk.Unlock()
	if m.Raw != nil && m.Rank > k.rank {
		if err := k.store.Put(store.Entry{Key: "charter", Value: m.Raw}); err != nil {
			return Kept{}, err
		}
		k.rank, k.raw = m.Rank, m.Raw
	}
	if !k.whole {
		return Kept{}, errors.New("this disk was lost and is being filled")
	}
	ans := Kept{Rank: k.rank}
	if k.rank > m.Rank {
		ans.Raw = k.raw
	}
	return ans, nil
}

// ask hands a configuration to all core machines, and returns once most have kept it or a
// higher one, with the highest that was seen.
func (k *keel) ask(ctx context.Context, m Keep) (Keep, error) {
	peers := k.Peers("keel")
	need := max((len(peers)+1)/2+1, k.set.Boot().Faults+1)
	ctx, cancel := context.WithTimeout(ctx, keepTime)
	defer cancel()
	answers := make(chan Kept, len(peers)+1)
	for _, p := range peers {
		go func() {
			if ans, err := keepCall.Ask(ctx, k.client, p.Addr, "", m); err == nil {
				answers <- ans
			}
		}()
	}
	go func() {
		if ans, err := k.keep(m); err == nil {
			answers <- ans
		}
	}()
	for got := 0; got < need; got++ {
		select {
		case ans := <-answers:
			if ans.Rank > m.Rank {
				m = Keep{Rank: ans.Rank, Raw: ans.Raw}
			}
		case <-ctx.Done():
			return m, calls.Fail(http.StatusServiceUnavailable, "%d of %d core machines answered", got, need)
		}
	}
	return m, nil
}

func (k *keel) replace(ctx context.Context, who calls.Named, raw calls.Raw) (Nothing, error) {
	c, err := charter.Read(raw)
	if err != nil {
		events.Invalid.Log("peer", who.Peer, "path", err)
		return Nothing{}, calls.Fail(http.StatusBadRequest, "%v", err)
	}
	m := Keep{Rank: rank(c.Revision, raw), Raw: raw}
	highest, err := k.ask(ctx, m)
	if err != nil {
		events.Unsafe.Log("version", c.Revision, "err", err)
		return Nothing{}, err
	}
	events.Acknowledged.Log("version", c.Revision, "highest", highest.Rank>>16)
	if highest.Rank == m.Rank {
		k.announce(c)
	}
	return Nothing{}, nil
}

func (k *keel) describe(ctx context.Context, _ calls.Named, _ calls.Raw) (calls.Raw, error) {
	highest, err := k.ask(ctx, Keep{})
	if err == nil && highest.Raw != nil { // most keep it before it is told
		highest, err = k.ask(ctx, highest)
	}
	if err != nil {
		return nil, err
	}
	if highest.Raw == nil {
		return nil, calls.Fail(http.StatusServiceUnavailable, "no configuration was ever acknowledged")
	}
	return highest.Raw, nil
}

// host is the part of an address before its port.
func host(addr string) string {
	h, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return h
}
