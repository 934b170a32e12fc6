// Package reshape is a stand-in for what holds segments: cells that own ranges of
// keys, a coordinator that splits, merges and moves them by chance from a seed, and
// the placement feed that mixers and desks read. It owns the truth of who holds
// what. It must never let a cell do what core/placement's Owner does not allow; the
// drills that leave the fence out say so.
package reshape

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"saddleport/internal/core/placement"
	"saddleport/internal/frame"
	"saddleport/internal/lab/judge"
)

// Config is how a world is.
type Config struct {
	Cells             map[int][]string // servers by cell
	Segments          int              // at the start
	KeysPerSegment    int              // keys of each
	Interval          time.Duration    // between reshapes; 0: none
	StepTime          time.Duration    // that one step of a reshape takes
	FeedDelay         time.Duration    // of the feed
	AbortShare        float64          // share of reshapes that are taken back
	CrashShare        float64          // share of steps at which the coordinator dies, and comes back after Away
	Downtime          time.Duration
	NoFence           bool
	HandoverKillShare float64                        // share of cuts right after which the new owner's cell dies
	KillCell          func(cell int) <-chan struct{} // has all servers of a cell die; closed once they are back
	Seed              uint64
	Judge             *judge.Judge
}

// World is all of it.
type World struct {
	Addr string // of the feed
	Config
	Keys []string // all, in order

	http *http.Server
	r    *rand.Rand

	mu      sync.Mutex
	owners  map[int]*placement.Owner
	m       *placement.Map
	next    uint32
	number  int64
	busy    map[uint32]bool
	down    map[int]bool // cells that are dead: the coordinator can't reach them
	counts  map[string]int
	changed chan struct{}

	killed sync.WaitGroup

	feedMu sync.Mutex
	told   []published // what the feed has, some of it not visible yet
}

type published struct {
	at time.Time
	m  *placement.Map
	u  *placement.Update
}

const history = 256

// New makes a world and starts its feed.
func New(c Config) (*World, error) {
	w := &World{Config: c, r: rand.New(rand.NewPCG(c.Seed, 77)), owners: make(map[int]*placement.Owner), busy: make(map[uint32]bool), down: make(map[int]bool),
		counts: make(map[string]int), changed: make(chan struct{})}
	govs := []string{"amman", "aqaba", "irbid", "karak", "zarqa"}
	n := c.Segments * c.KeysPerSegment
	for i := range n {
		w.Keys = append(w.Keys, fmt.Sprintf("%s/%06d", govs[i*len(govs)/n], i))
	}
	u := &placement.Update{Epoch: 1}
	var cells []int
	for id, servers := range c.Cells {
		cells = append(cells, id)
		u.Cells = append(u.Cells, placement.Cell{ID: id, Servers: servers})
	}
	slices.Sort(cells)
	for i := range c.Segments {
		s := placement.Segment{ID: uint32(i + 1), Cell: cells[i%len(cells)], Since: 1}
		if i > 0 {
			s.From = w.Keys[i*c.KeysPerSegment]
		}
		if i < c.Segments-1 {
			s.To = w.Keys[(i+1)*c.KeysPerSegment]
		}
		u.Segments = append(u.Segments, s)
	}
	w.next = uint32(c.Segments + 1)
	var err error
	if w.m, err = (*placement.Map)(nil).Apply(u); err != nil {
		return nil, err
	}
	for _, id := range cells {
		var mine []placement.Segment
		for _, s := range u.Segments {
			if s.Cell == id {
				mine = append(mine, s)
			}
		}
		w.owners[id] = placement.NewOwner(1, mine...)
		w.owners[id].NoFence = c.NoFence
	}
	w.told = []published{{time.Time{}, w.m, u}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.Addr = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /placement", w.feed)
	w.http = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, WriteTimeout: 90 * time.Second}
	go w.http.Serve(ln)
	return w, nil
}

// Close ends the feed.
func (w *World) Close() {
	w.killed.Wait()
	w.http.Close()
}

// Counts are what happened: reshapes by how they ended, steps at which the
// coordinator died, parts turned away.
func (w *World) Counts() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make(map[string]int)
	for k, n := range w.counts {
		out[k] = n
	}
	return out
}

// ---- The feed.

// visible are the maps that the feed tells by now.
func (w *World) visible() []published {
	w.feedMu.Lock()
	defer w.feedMu.Unlock()
	n := sort.Search(len(w.told), func(i int) bool { return w.told[i].at.After(time.Now()) })
	return w.told[:n:n]
}

// Map is what the feed told so many epochs ago: what a desk that is behind knows.
func (w *World) Map(behind int) *placement.Map {
	v := w.visible()
	return v[max(len(v)-1-behind, 0)].m
}

func (w *World) feed(rw http.ResponseWriter, r *http.Request) {
	epoch, _ := strconv.ParseInt(r.URL.Query().Get("epoch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	end := time.Now().Add(time.Duration(min(wait, 60000)) * time.Millisecond)
	for {
		v := w.visible()
		now := v[len(v)-1]
		if now.m.Epoch() > epoch || !time.Now().Before(end) {
			out := placement.Update{Epoch: now.m.Epoch(), Base: epoch} // no news
			if i := slices.IndexFunc(v, func(p published) bool { return p.m.Epoch() == epoch+1 }); epoch > 0 && i >= 0 {
				out = *v[i].u // one change at a time, in order
			} else if now.m.Epoch() > epoch {
				out = placement.Update{Epoch: now.m.Epoch(), Segments: now.m.Segments(), Cells: w.cellList()}
			}
			rw.Header().Set("Content-Type", "application/json")
			json.NewEncoder(rw).Encode(out)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(10 * time.Millisecond): // what becomes visible does so by the clock
		}
	}
}

func (w *World) cellList() (out []placement.Cell) {
	for id, servers := range w.Cells {
		out = append(out, placement.Cell{ID: id, Servers: servers})
	}
	return out
}

func (w *World) publish(u *placement.Update) error {
	m, err := w.m.Apply(u)
	if err != nil {
		return err
	}
	w.m = m
	w.feedMu.Lock()
	defer w.feedMu.Unlock()
	w.told = append(w.told, published{time.Now().Add(w.FeedDelay), m, u})
	if len(w.told) > history {
		w.told = slices.Clone(w.told[len(w.told)-history:])
	}
	return nil
}

// ---- The coordinator.

// Run reshapes until ctx is done, then ends what is under way.
func (w *World) Run(ctx context.Context) {
	if w.Interval <= 0 {
		return
	}
	var all sync.WaitGroup
	defer all.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(w.Interval):
		}
		w.mu.Lock()
		r, err := w.plan()
		w.mu.Unlock()
		if err != nil {
			w.count("not planned")
			continue
		}
		all.Add(1)
		go func() {
			defer all.Done()
			w.drive(r)
		}()
	}
}

func (w *World) count(what string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[what]++
}

// plan draws a reshape. Under mu.
func (w *World) plan() (*placement.Reshape, error) {
	segs := w.m.Segments()
	i := w.r.IntN(len(segs))
	s := segs[i]
	w.number++
	cell := func() int { return w.r.IntN(len(w.Cells)) }
	busy := func(id uint32) bool { return w.busy[id] }
	sources, targets := []uint32{s.ID}, []placement.Segment(nil)
	kind := []string{"split", "merge", "move"}[w.r.IntN(3)]
	switch kind {
	case "split":
		in := w.in(s.Range)
		if len(in) < 2 {
			return nil, fmt.Errorf("too few keys")
		}
		at := in[1+w.r.IntN(len(in)-1)]
		targets = []placement.Segment{{ID: w.next, Range: placement.Range{From: s.From, To: at}, Cell: s.Cell},
			{ID: w.next + 1, Range: placement.Range{From: at, To: s.To}, Cell: cell()}}
		w.next += 2
	case "merge":
		if i+1 == len(segs) {
			return nil, fmt.Errorf("nothing beside it")
		}
		sources = append(sources, segs[i+1].ID)
		targets = []placement.Segment{{ID: w.next, Range: placement.Range{From: s.From, To: segs[i+1].To}, Cell: cell()}}
		w.next++
	case "move":
		targets = []placement.Segment{{ID: s.ID, Range: s.Range, Cell: (s.Cell + 1 + w.r.IntN(max(len(w.Cells)-1, 1))) % len(w.Cells)}}
	}
	r, err := w.m.Plan(w.number, sources, targets, busy)
	if err != nil {
		return nil, err
	}
	for _, id := range sources {
		w.busy[id] = true
	}
	w.counts[kind]++
	return r, nil
}

// in are the keys in a range.
func (w *World) in(r placement.Range) []string {
	from := sort.SearchStrings(w.Keys, r.From)
	to := len(w.Keys)
	if r.To != "" {
		to = sort.SearchStrings(w.Keys, r.To)
	}
	return w.Keys[from:max(to, from)]
}

// drive takes a reshape to its end. The reshape is what is stored: after a death the
// coordinator goes on from it, and orders again what it may have ordered before.
func (w *World) drive(r *placement.Reshape) {
	r.Start()
	w.mu.Lock()
	abortAt := -1
	if w.r.Float64() < w.AbortShare {
		abortAt = w.r.IntN(3)
	}
	w.mu.Unlock()
	for step := 0; !r.Finished(); step++ {
		if step == abortAt && r.Abort() == nil {
			w.count("aborted")
		}
		d := r.NextAction()
		done := w.order(r, d)
		time.Sleep(w.StepTime)
		w.mu.Lock()
		dies := w.r.Float64() < w.CrashShare
		w.mu.Unlock()
		if dies { // between the order and what it stores of it
			w.count("coordinator died")
			time.Sleep(w.Downtime)
			continue
		}
		if done {
			r.Completed(d)
		}
		if done && d == placement.Activate {
			w.cut(r)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range r.Sources {
		delete(w.busy, s.ID)
	}
	if r.Step == placement.Done {
		w.counts["done"]++
	}
}

// cut has the cell of a new owner die right after it was told to accept, now and
// then: one cell at a time.
func (w *World) cut(r *placement.Reshape) {
	w.mu.Lock()
	defer w.mu.Unlock()
	cell := r.Targets[len(r.Targets)-1].Cell
	if w.KillCell == nil || w.HandoverKillShare == 0 || len(w.down) > 0 || w.r.Float64() >= w.HandoverKillShare {
		return
	}
	w.down[cell] = true
	w.counts["owner died after the cut"]++
	w.killed.Add(1)
	go func() {
		defer w.killed.Done()
		<-w.KillCell(cell)
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.down, cell)
	}()
}

// Evacuate moves all segments of a cell at once, and returns when that is over.
func (w *World) Evacuate(cell int) error {
	w.mu.Lock()
	var all []*placement.Reshape
	for _, s := range w.m.Segments() {
		if s.Cell != cell {
			continue
		}
		w.number++
		to := s
		to.Cell = (cell + 1 + len(all)%max(len(w.Cells)-1, 1)) % len(w.Cells)
		r, err := w.m.Plan(w.number, []uint32{s.ID}, []placement.Segment{to}, func(id uint32) bool { return w.busy[id] })
		if err != nil { // it is being reshaped already
			continue
		}
		w.busy[s.ID] = true
		all = append(all, r)
	}
	w.counts["evacuated"] += len(all)
	w.mu.Unlock()
	if len(all) == 0 {
		return fmt.Errorf("cell %d holds nothing that could be moved", cell)
	}
	var ended sync.WaitGroup
	for _, r := range all {
		ended.Go(func() { w.drive(r) })
	}
	ended.Wait()
	return nil
}

// order does what a reshape wants and tells whether it is done. Cells that are dead
// do nothing.
func (w *World) order(r *placement.Reshape, d placement.Action) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, list := range [][]placement.Segment{r.Sources, r.Targets} {
		for _, s := range list {
			if w.down[s.Cell] && d != placement.Publish {
				w.counts["waited for a dead cell"]++
				return false
			}
		}
	}
	span := placement.Range{From: r.Sources[0].From, To: r.Sources[len(r.Sources)-1].To}
	switch d {
	case placement.Copy, placement.CopyFinal:
		for _, s := range r.Sources {
			for _, t := range r.Targets {
				cut, both := s.Range.Intersect(t.Range)
				if !both || s.Cell == t.Cell {
					continue
				}
				booked, ok := w.owners[s.Cell].CopyOut(r.ID, cut, d == placement.CopyFinal)
				if !ok {
					return false
				}
				w.owners[t.Cell].CopyIn(r.ID, cut, booked)
			}
		}
	case placement.Fence:
		up := true
		for _, s := range r.Sources {
			up = w.owners[s.Cell].Fence(r.ID, s.Range) && up
		}
		return up
	case placement.Activate:
		for _, t := range r.Targets {
			w.owners[t.Cell].Activate(r.ID, t.Range, w.m.Epoch()+1)
		}
	case placement.Publish:
		if r.Published {
			return true
		}
		already := slices.ContainsFunc(r.Targets, func(t placement.Segment) bool { // published, and the coordinator died before it stored that
			in, _, known := w.m.Range(t.ID)
			held, _ := w.m.Lookup(t.From)
			return known && in == t.Range && held.ID == t.ID && held.Cell == t.Cell
		})
		if !already {
			if err := w.publish(r.Update(w.m.Epoch())); err != nil {
				w.counts["not published"]++
				return false
			}
		}
	case placement.Drop:
		for _, s := range r.Sources {
			w.owners[s.Cell].Drop(r.ID, s.Range, w.m.Epoch())
		}
	case placement.Unfence:
		for _, t := range r.Targets {
			w.owners[t.Cell].DiscardCopies(r.ID, t.Range)
		}
		for _, s := range r.Sources {
			w.owners[s.Cell].Unfence(r.ID, span)
		}
	}
	return true
}

// ---- What a leaf server of a cell does with a part.

// Keeper is a cell's side for its servers.
type CellOwner struct {
	World *World
	Cell  int
}

// names reads what a frame's list says of a part's keys.
func names(p frame.Part) (epoch int64, ranges []placement.Range, ok bool) {
	for item := range strings.SplitSeq(p.Options, ",") {
		if v, is := strings.CutPrefix(item, "e="); is {
			epoch, _ = strconv.ParseInt(v, 10, 64)
		}
		if v, is := strings.CutPrefix(item, "r="); is {
			for one := range strings.SplitSeq(v, ";") {
				a, b, cut := strings.Cut(one, "..")
				from, err1 := url.QueryUnescape(a)
				to, err2 := url.QueryUnescape(b)
				if !cut || err1 != nil || err2 != nil {
					return 0, nil, false
				}
				ranges = append(ranges, placement.Range{From: from, To: to})
			}
		}
	}
	return epoch, ranges, len(ranges) > 0
}

// Begin implements leaf.Keeper. A part whose text begins with "book" books the one
// key that it names; any other reads.
func (k *CellOwner) Begin(server string, p frame.Part) (finish func() (value string, held bool), epoch int64, held bool) {
	w, o := k.World, k.World.owners[k.Cell]
	w.mu.Lock()
	defer w.mu.Unlock()
	_, ranges, ok := names(p)
	if !ok {
		return nil, o.Epoch, false
	}
	query, _, _ := strings.Cut(p.ID, ".")
	if !strings.HasPrefix(p.Text, "book") {
		return k.read(server, ranges)
	}
	key := ranges[0].From
	word := o.Begin(key, query)
	switch word {
	case placement.Accepted:
		w.Judge.KeyRan(key, query, server)
		return func() (string, bool) {
			w.mu.Lock()
			defer w.mu.Unlock()
			o.End(key)
			return server + "|booked " + key + " for " + query, true
		}, o.Epoch, true
	case placement.AlreadyBooked:
		by := o.Booked[key]
		return func() (string, bool) { return server + "|had " + key + " for " + by, true }, o.Epoch, true
	}
	w.counts["turned away"]++
	return nil, o.Epoch, false
}

// read is under mu.
func (k *CellOwner) read(server string, ranges []placement.Range) (func() (string, bool), int64, bool) {
	w, o := k.World, k.World.owners[k.Cell]
	can := func() bool {
		for _, r := range ranges {
			if o.CanRead(r) != placement.Accepted {
				w.counts["turned away"]++
				return false
			}
		}
		return true
	}
	if !can() {
		return nil, o.Epoch, false
	}
	return func() (string, bool) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !can() { // it was cut off while this one waited for its data
			return "", false
		}
		var keys []string
		for _, r := range ranges {
			keys = append(keys, w.in(r)...)
		}
		return server + "|" + strings.Join(keys, " "), true
	}, o.Epoch, true
}

// Claim implements leaf.Keeper for a server that lies: it books and reads what its
// cell does not hold, and its cell knows nothing of it.
func (k *CellOwner) RunUnowned(server string, p frame.Part) func() (string, bool) {
	return func() (string, bool) {
		_, ranges, _ := names(p)
		k.World.mu.Lock()
		defer k.World.mu.Unlock()
		k.World.counts["claimed"]++
		if query, _, _ := strings.Cut(p.ID, "."); strings.HasPrefix(p.Text, "book") && len(ranges) == 1 {
			k.World.Judge.KeyRan(ranges[0].From, query, server)
			return server + "|booked " + ranges[0].From + " for " + query, true
		}
		return server + "|", true // it has no data of theirs
	}
}

// Lost implements leaf.Keeper: what was begun and not stored had no effect.
func (k *CellOwner) Lost(p frame.Part) {
	k.World.mu.Lock()
	defer k.World.mu.Unlock()
	query, _, _ := strings.Cut(p.ID, ".")
	if _, ranges, ok := names(p); ok && k.World.owners[k.Cell].Running[ranges[0].From] == query {
		delete(k.World.owners[k.Cell].Running, ranges[0].From)
		k.World.counts["bookings lost in a death"]++
	}
}

// Epoch is what the cell has heard of.
func (k *CellOwner) Epoch() int64 {
	k.World.mu.Lock()
	defer k.World.mu.Unlock()
	return k.World.owners[k.Cell].Epoch
}
