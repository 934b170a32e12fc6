// Package reshape is a stand-in for the owners of segments: cells that own ranges of keys, a
// coordinator that splits, merges and moves the ranges at random from a seed, and the
// placement feed that proxies and clients read. It has the authoritative state of which cell
// owns which keys. A cell never does what core/placement's Owner does not allow, except in
// drills that switch the fence off (NoFence).
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

// Config configures a World.
type Config struct {
	Cells             map[int][]string // servers by cell
	Segments          int              // number at the start
	KeysPerSegment    int              // keys of each segment
	Interval          time.Duration    // between reshapes; 0: no reshapes
	StepTime          time.Duration    // duration of one step of a reshape
	FeedDelay         time.Duration    // delay until the feed shows a change
	AbortShare        float64          // share of reshapes that are aborted
	CrashShare        float64          // share of steps at which the coordinator crashes; it restarts after Downtime
	Downtime          time.Duration
	NoFence           bool
	HandoverKillShare float64                        // share of activations right after which the new owner's cell is killed
	KillCell          func(cell int) <-chan struct{} // kills all servers of a cell; the channel is closed when they have restarted
	Seed              uint64
	Judge             *judge.Judge
}

// World is the simulated set of cells with its coordinator and its feed.
type World struct {
	Addr string // of the feed
	Config
	Keys []string // all keys, in order

	http *http.Server
	rng  *rand.Rand

	mu            sync.Mutex
	owners        map[int]*placement.Owner
	current       *placement.Map
	nextSegmentID uint32
	lastReshapeID int64
	busy          map[uint32]bool
	down          map[int]bool // killed cells, which the coordinator can't reach
	counts        map[string]int
	changed       chan struct{}

	killsPending sync.WaitGroup

	feedMu    sync.Mutex
	published []publishedMap // includes maps that the feed does not show yet
}

type publishedMap struct {
	visibleAt time.Time
	full      *placement.Map
	update    *placement.Update
}

const history = 256 // maps that the feed keeps

// New creates a World and starts its feed.
func New(c Config) (*World, error) {
	w := &World{Config: c, rng: rand.New(rand.NewPCG(c.Seed, 77)), owners: make(map[int]*placement.Owner), busy: make(map[uint32]bool), down: make(map[int]bool),
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
	w.nextSegmentID = uint32(c.Segments + 1)
	var err error
	if w.current, err = (*placement.Map)(nil).Apply(u); err != nil {
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
	w.published = []publishedMap{{time.Time{}, w.current, u}}
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

// Close waits until killed cells have restarted and stops the feed.
func (w *World) Close() {
	w.killsPending.Wait()
	w.http.Close()
}

// Counts returns the counts of events, by name: reshapes by outcome, crashes of the
// coordinator, rejected parts. The names are keys of stored reports, and drills check some of them.
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

// visible returns the maps that the feed shows by now.
func (w *World) visible() []publishedMap {
	w.feedMu.Lock()
	defer w.feedMu.Unlock()
	n := sort.Search(len(w.published), func(i int) bool { return w.published[i].visibleAt.After(time.Now()) })
	return w.published[:n:n]
}

// Map returns the map that the feed showed the given number of epochs ago, as a client that is
// behind has it.
func (w *World) Map(behind int) *placement.Map {
	v := w.visible()
	return v[max(len(v)-1-behind, 0)].full
}

func (w *World) feed(rw http.ResponseWriter, r *http.Request) {
	epoch, _ := strconv.ParseInt(r.URL.Query().Get("epoch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	end := time.Now().Add(time.Duration(min(wait, 60000)) * time.Millisecond)
	for {
		v := w.visible()
		now := v[len(v)-1]
		if now.full.Epoch() > epoch || !time.Now().Before(end) {
			out := placement.Update{Epoch: now.full.Epoch(), Base: epoch} // no change
			if i := slices.IndexFunc(v, func(p publishedMap) bool { return p.full.Epoch() == epoch+1 }); epoch > 0 && i >= 0 {
				out = *v[i].update // one change at a time, in order
			} else if now.full.Epoch() > epoch {
				out = placement.Update{Epoch: now.full.Epoch(), Segments: now.full.Segments(), Cells: w.cellList()}
			}
			rw.Header().Set("Content-Type", "application/json")
			json.NewEncoder(rw).Encode(out)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(10 * time.Millisecond): // polls, because maps become visible by the clock
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
	m, err := w.current.Apply(u)
	if err != nil {
		return err
	}
	w.current = m
	w.feedMu.Lock()
	defer w.feedMu.Unlock()
	w.published = append(w.published, publishedMap{time.Now().Add(w.FeedDelay), m, u})
	if len(w.published) > history {
		w.published = slices.Clone(w.published[len(w.published)-history:])
	}
	return nil
}

// ---- The coordinator.

// Run starts reshapes until ctx is done and then waits for those in progress.
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
			w.execute(r)
		}()
	}
}

func (w *World) count(what string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[what]++
}

// plan returns a random reshape. The caller holds w.mu.
func (w *World) plan() (*placement.Reshape, error) {
	segments := w.current.Segments()
	i := w.rng.IntN(len(segments))
	s := segments[i]
	w.lastReshapeID++
	cell := func() int { return w.rng.IntN(len(w.Cells)) }
	busy := func(id uint32) bool { return w.busy[id] }
	sources, targets := []uint32{s.ID}, []placement.Segment(nil)
	kind := []string{"split", "merge", "move"}[w.rng.IntN(3)]
	switch kind {
	case "split":
		in := w.keysIn(s.Range)
		if len(in) < 2 {
			return nil, fmt.Errorf("the segment has too few keys to split")
		}
		at := in[1+w.rng.IntN(len(in)-1)]
		targets = []placement.Segment{{ID: w.nextSegmentID, Range: placement.Range{From: s.From, To: at}, Cell: s.Cell},
			{ID: w.nextSegmentID + 1, Range: placement.Range{From: at, To: s.To}, Cell: cell()}}
		w.nextSegmentID += 2
	case "merge":
		if i+1 == len(segments) {
			return nil, fmt.Errorf("the segment has no neighbour to merge with")
		}
		sources = append(sources, segments[i+1].ID)
		targets = []placement.Segment{{ID: w.nextSegmentID, Range: placement.Range{From: s.From, To: segments[i+1].To}, Cell: cell()}}
		w.nextSegmentID++
	case "move":
		targets = []placement.Segment{{ID: s.ID, Range: s.Range, Cell: (s.Cell + 1 + w.rng.IntN(max(len(w.Cells)-1, 1))) % len(w.Cells)}}
	}
	r, err := w.current.Plan(w.lastReshapeID, sources, targets, busy)
	if err != nil {
		return nil, err
	}
	for _, id := range sources {
		w.busy[id] = true
	}
	w.counts[kind]++
	return r, nil
}

// keysIn returns the keys in a range.
func (w *World) keysIn(r placement.Range) []string {
	from := sort.SearchStrings(w.Keys, r.From)
	to := len(w.Keys)
	if r.To != "" {
		to = sort.SearchStrings(w.Keys, r.To)
	}
	return w.Keys[from:max(to, from)]
}

// execute runs a reshape to its end. The reshape is the state that the coordinator stores: after
// a crash it continues from there and may repeat an action.
func (w *World) execute(r *placement.Reshape) {
	r.Start()
	w.mu.Lock()
	abortStep := -1
	if w.rng.Float64() < w.AbortShare {
		abortStep = w.rng.IntN(3)
	}
	w.mu.Unlock()
	for step := 0; !r.Finished(); step++ {
		if step == abortStep && r.Abort() == nil {
			w.count("aborted")
		}
		action := r.NextAction()
		done := w.perform(r, action)
		time.Sleep(w.StepTime)
		w.mu.Lock()
		crashes := w.rng.Float64() < w.CrashShare
		w.mu.Unlock()
		if crashes { // between an action and the storing of its result
			w.count("coordinator died")
			time.Sleep(w.Downtime)
			continue
		}
		if done {
			r.Completed(action)
		}
		if done && action == placement.Activate {
			w.killNewOwner(r)
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

// killNewOwner kills, in a random share of cases, the cell of a new owner right after its
// activation. At most one cell is down at a time.
func (w *World) killNewOwner(r *placement.Reshape) {
	w.mu.Lock()
	defer w.mu.Unlock()
	cell := r.Targets[len(r.Targets)-1].Cell
	if w.KillCell == nil || w.HandoverKillShare == 0 || len(w.down) > 0 || w.rng.Float64() >= w.HandoverKillShare {
		return
	}
	w.down[cell] = true
	w.counts["owner died after the cut"]++
	w.killsPending.Add(1)
	go func() {
		defer w.killsPending.Done()
		<-w.KillCell(cell)
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.down, cell)
	}()
}

// Evacuate moves all segments of a cell at once and returns when all moves have ended.
func (w *World) Evacuate(cell int) error {
	w.mu.Lock()
	var all []*placement.Reshape
	for _, s := range w.current.Segments() {
		if s.Cell != cell {
			continue
		}
		w.lastReshapeID++
		to := s
		to.Cell = (cell + 1 + len(all)%max(len(w.Cells)-1, 1)) % len(w.Cells)
		r, err := w.current.Plan(w.lastReshapeID, []uint32{s.ID}, []placement.Segment{to}, func(id uint32) bool { return w.busy[id] })
		if err != nil { // the segment is already being reshaped
			continue
		}
		w.busy[s.ID] = true
		all = append(all, r)
	}
	w.counts["evacuated"] += len(all)
	w.mu.Unlock()
	if len(all) == 0 {
		return fmt.Errorf("cell %d has no segment that can be moved", cell)
	}
	var ended sync.WaitGroup
	for _, r := range all {
		ended.Go(func() { w.execute(r) })
	}
	ended.Wait()
	return nil
}

// perform performs an action of a reshape and reports whether it is done. Killed cells perform
// nothing.
func (w *World) perform(r *placement.Reshape, action placement.Action) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, list := range [][]placement.Segment{r.Sources, r.Targets} {
		for _, s := range list {
			if w.down[s.Cell] && action != placement.Publish {
				w.counts["waited for a dead cell"]++
				return false
			}
		}
	}
	span := placement.Range{From: r.Sources[0].From, To: r.Sources[len(r.Sources)-1].To}
	switch action {
	case placement.Copy, placement.CopyFinal:
		for _, s := range r.Sources {
			for _, t := range r.Targets {
				shared, overlap := s.Range.Intersect(t.Range)
				if !overlap || s.Cell == t.Cell {
					continue
				}
				booked, ok := w.owners[s.Cell].CopyOut(r.ID, shared, action == placement.CopyFinal)
				if !ok {
					return false
				}
				w.owners[t.Cell].CopyIn(r.ID, shared, booked)
			}
		}
	case placement.Fence:
		fenced := true
		for _, s := range r.Sources {
			fenced = w.owners[s.Cell].Fence(r.ID, s.Range) && fenced
		}
		return fenced
	case placement.Activate:
		for _, t := range r.Targets {
			w.owners[t.Cell].Activate(r.ID, t.Range, w.current.Epoch()+1)
		}
	case placement.Publish:
		if r.Published {
			return true
		}
		already := slices.ContainsFunc(r.Targets, func(t placement.Segment) bool { // it was published, but the coordinator crashed before it stored that
			in, _, known := w.current.Range(t.ID)
			owner, _ := w.current.Lookup(t.From)
			return known && in == t.Range && owner.ID == t.ID && owner.Cell == t.Cell
		})
		if !already {
			if err := w.publish(r.Update(w.current.Epoch())); err != nil {
				w.counts["not published"]++
				return false
			}
		}
	case placement.Drop:
		for _, s := range r.Sources {
			w.owners[s.Cell].Drop(r.ID, s.Range, w.current.Epoch())
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

// ---- The execution of parts by the leaf servers of a cell.

// CellOwner implements leaf.KeyOwner for the servers of a cell.
type CellOwner struct {
	World *World
	Cell  int
}

// parseKeys parses the epoch and the ranges of keys from the options of a part.
func parseKeys(p frame.Part) (epoch int64, ranges []placement.Range, ok bool) {
	for item := range strings.SplitSeq(p.Options, ",") {
		if v, found := strings.CutPrefix(item, "e="); found {
			epoch, _ = strconv.ParseInt(v, 10, 64)
		}
		if v, found := strings.CutPrefix(item, "r="); found {
			for pair := range strings.SplitSeq(v, ";") {
				a, b, cut := strings.Cut(pair, "..")
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

// Begin implements leaf.KeyOwner. A part whose text begins with "book" books the one key that
// it names; any other part reads.
func (k *CellOwner) Begin(server string, p frame.Part) (finish func() (value string, owned bool), epoch int64, owned bool) {
	w, o := k.World, k.World.owners[k.Cell]
	w.mu.Lock()
	defer w.mu.Unlock()
	_, ranges, ok := parseKeys(p)
	if !ok {
		return nil, o.Epoch, false
	}
	query, _, _ := strings.Cut(p.ID, ".")
	if !strings.HasPrefix(p.Text, "book") {
		return k.read(server, ranges)
	}
	key := ranges[0].From
	outcome := o.Begin(key, query)
	switch outcome {
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

// read begins a part that reads ranges of keys. The caller holds w.mu.
func (k *CellOwner) read(server string, ranges []placement.Range) (func() (string, bool), int64, bool) {
	w, o := k.World, k.World.owners[k.Cell]
	owned := func() bool {
		for _, r := range ranges {
			if o.CanRead(r) != placement.Accepted {
				w.counts["turned away"]++
				return false
			}
		}
		return true
	}
	if !owned() {
		return nil, o.Epoch, false
	}
	return func() (string, bool) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !owned() { // the cell lost the keys while the part waited for its data
			return "", false
		}
		var keys []string
		for _, r := range ranges {
			keys = append(keys, w.keysIn(r)...)
		}
		return server + "|" + strings.Join(keys, " "), true
	}, o.Epoch, true
}

// RunUnowned implements leaf.KeyOwner for a faulty server: it books and reads keys that its cell
// does not own, without the knowledge of the cell.
func (k *CellOwner) RunUnowned(server string, p frame.Part) func() (string, bool) {
	return func() (string, bool) {
		_, ranges, _ := parseKeys(p)
		k.World.mu.Lock()
		defer k.World.mu.Unlock()
		k.World.counts["claimed"]++
		if query, _, _ := strings.Cut(p.ID, "."); strings.HasPrefix(p.Text, "book") && len(ranges) == 1 {
			k.World.Judge.KeyRan(ranges[0].From, query, server)
			return server + "|booked " + ranges[0].From + " for " + query, true
		}
		return server + "|", true // it has no data of these keys
	}
}

// Lost implements leaf.KeyOwner: a part that had begun but was not stored had no effect.
func (k *CellOwner) Lost(p frame.Part) {
	k.World.mu.Lock()
	defer k.World.mu.Unlock()
	query, _, _ := strings.Cut(p.ID, ".")
	if _, ranges, ok := parseKeys(p); ok && k.World.owners[k.Cell].Running[ranges[0].From] == query {
		delete(k.World.owners[k.Cell].Running, ranges[0].From)
		k.World.counts["bookings lost in a death"]++
	}
}

// Epoch implements leaf.KeyOwner and returns the epoch that the cell knows.
func (k *CellOwner) Epoch() int64 {
	k.World.mu.Lock()
	defer k.World.mu.Unlock()
	return k.World.owners[k.Cell].Epoch
}
