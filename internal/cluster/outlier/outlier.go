// Package outlier tells laggards from the prompt: servers and callers that take many times
// as long as their peers. It owns three machines. A Watch is one mixer's own evidence,
// from the answers and bytes that it sees anyway. A Council merges the evidence of all
// mixers and says who is set apart. A Groups is what is in force in one mixer. None of
// them sends a probe, moves a request, reads a clock, or empties a shard: a bounded part
// of one may be set apart, and where most of it is slow nobody is.
//
// All times are microseconds of the caller's steady clock.
package outlier

import (
	"cmp"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	slowRatio   = 2.5 // times the peers' middle: from there on a sample speaks for slowness
	mostFor     = 0.8 // one sample's word at most
	mostAgainst = 1.0 // and against
)

// Config tunes the machines.
type Config struct {
	Span     int64   // a sample counts for so long
	Single   int64   // one alone that speaks for slowness, for so long
	Recent   int64   // the samples of so long are told where nothing speaks for slowness,
	Few      int64   // or the last few of so long
	Linger   int64   // a doubt that stands for so long is told: most are gone with the next answer
	Kinds    int64   // the same of the peers' middle
	Thin     int64   // between two samples of one member that count for the peers' middle
	Floor    int64   // the peers' middle counts as this at least
	Measure  int     // samples of a kind before its middle is one
	Doubt    float64 // score from which a mixer tells its evidence
	Again    int64   // evidence that has not changed is told anew after so long
	Ask      float64 // score of all mixers together from which the others' evidence is asked for
	Agree    float64 // score of all mixers together from which a member is set apart
	Least    int     // samples for that
	Share    float64 // of a shard that may be set apart
	Settle   int64   // after the first doubt: for the others' evidence to come
	Fresh    int64   // evidence told longer ago does not count
	Stay     int64   // a member set apart stays so for so long
	Well     float64 // its middle, from which it is prompt again
	Enough   int     // samples for that
	Unheard  int64   // without evidence of slowness for so long it is tried
	Watchful int64   // after its return: half the score does
	Renew    int64   // between two words on an assignment that stands
	Lease    int64   // an assignment that was not renewed for so long is void
	Alone    int64   // a doubt that no council has taken up for so long is acted on alone
	Careful  float64 // a mixer alone wants so many times the score
}

// Usual is the configuration for service.
var Usual = Config{Span: 12_000_000, Single: 2_000_000, Recent: 600_000, Few: 5_000_000, Linger: 300_000, Kinds: 10_000_000, Thin: 100_000, Floor: 3_000, Measure: 20,
	Doubt: 0.75, Again: 1_000_000, Ask: 1.5, Agree: 2.3, Least: 3, Share: 0.34, Settle: 400_000, Fresh: 2_500_000, Stay: 3_000_000, Well: 1.7, Enough: 3,
	Unheard: 15_000_000, Watchful: 20_000_000, Renew: 3_000_000, Lease: 10_000_000, Alone: 5_000_000, Careful: 2}

// Callers is the shard that callers stand in.
const Callers = "callers"

// Sample is one answer, or one wait that was given up.
type Sample struct {
	Name  string // of the server, or of the caller
	Shard string
	Kind  string // what is alike in all but the member: its middle is what a sample is measured by
	Took  int64
	Whole bool // else it would have taken longer
}

// Evidence is what one mixer knows of one member.
type Evidence struct {
	Name   string `json:"n"`
	Shard  string `json:"s"`
	Of     int    `json:"o,omitempty"` // members of the shard that the mixer has seen
	Sketch Sketch `json:"k"`
}

type kind struct {
	half [2]*hdrhistogram.Histogram
	now  int
	from int64
	mid  int64 // the middle when it was last looked at
	due  int   // samples until the next look
}

// seen is a member and its last samples, as a ring.
type seen struct {
	name, shard string
	last        [ringSize]sample
	n           int   // samples so far
	doubtAt     int64 // since when it is doubted; 0: it is not
	since       int64 // when it was first seen
	basisAt     int64 // when a sample of it last counted for its kind's middle
}

type sample struct {
	at   int64
	cell int64
}

const (
	ringSize  = 16
	fewRecent = 4 // samples are recent, however old within the span
)

func (m *seen) at() int64 {
	if m.n == 0 {
		return m.since
	}
	return m.last[(m.n-1)%ringSize].at
}

// back calls f with the samples that still count, the last one first, until it has enough.
func (m *seen) back(now, span int64, f func(sample) bool) {
	for i := m.n - 1; i >= max(m.n-ringSize, 0); i-- {
		if x := m.last[i%ringSize]; now-x.at > span || !f(x) {
			return
		}
	}
}

// run is the run of last samples that speaks most for slowness, as its score and length:
// what came before a change says nothing of what is now.
// One sample alone is soon out of date: a heavy tail's, most likely.
func (m *seen) run(now int64, cfg *Config) (score float64, length int) {
	span := cfg.Span
	if m.n < 2 || speaksOf(m.last[(m.n-2+ringSize)%ringSize].cell) <= 0 {
		span = cfg.Single
	}
	sum, n := 0.0, 0
	m.back(now, span, func(x sample) bool {
		n++
		if sum += speaksOf(x.cell); sum > score {
			score, length = sum, n
		}
		return true
	})
	return score, length
}

// Watch is one mixer's own evidence. It is not safe for concurrent use.
type Watch struct {
	cfg     Config
	kinds   map[string]*kind
	seen    map[string]*seen
	shards  map[string]int // members seen, by shard
	doubted int
	toldAt  int64
	told    int // a mark of what was told last
	Dropped int // samples that found no room
}

const (
	mostSeen  = 8192
	mostKinds = 512
	mostTold  = 48 // members of one message
	lookEvery = 16 // samples
	mostTook  = 1 << 26
	forgotten = 10 // spans: a member not seen for so long is forgotten
)

// NewWatch returns a watch that has seen nothing.
func NewWatch(cfg Config) *Watch {
	return &Watch{cfg: cfg, kinds: make(map[string]*kind), seen: make(map[string]*seen), shards: make(map[string]int)}
}

// middle takes a sample into its kind and returns the kind's middle; 0: there is none yet.
// Each member counts now and then only: else one that asks a lot would be its own measure.
func (w *Watch) middle(now int64, s Sample, m *seen) int64 {
	k := w.kinds[s.Kind]
	if k == nil {
		if len(w.kinds) >= mostKinds {
			for name, old := range w.kinds {
				if now-old.from > 2*w.cfg.Kinds {
					delete(w.kinds, name)
				}
			}
			if len(w.kinds) >= mostKinds {
				return 0
			}
		}
		k = &kind{from: now}
		for i := range k.half {
			k.half[i] = hdrhistogram.New(1, mostTook, 1)
		}
		w.kinds[s.Kind] = k
	}
	if now-k.from >= w.cfg.Kinds {
		k.now, k.from = 1-k.now, now
		k.half[k.now].Reset()
	}
	if now-m.basisAt < w.cfg.Thin {
		return k.mid
	}
	if s.Whole || s.Took > k.mid {
		m.basisAt = now
		k.half[k.now].RecordValue(min(max(s.Took, 1), mostTook))
	}
	if k.due--; k.due <= 0 {
		k.due, k.mid = lookEvery, 0
		both := hdrhistogram.New(1, mostTook, 1)
		both.Merge(k.half[0])
		both.Merge(k.half[1])
		if n := int(both.TotalCount()); n >= w.cfg.Measure {
			k.mid = max(both.ValueAtQuantile(50), w.cfg.Floor)
		} else {
			k.due = w.cfg.Measure - n
		}
	}
	return k.mid
}

// Saw takes a sample, and tells whether its member is doubted.
func (w *Watch) Saw(now int64, s Sample) bool {
	m := w.seen[s.Name]
	if m == nil {
		if len(w.seen) >= mostSeen {
			w.Forget(now)
		}
		if len(w.seen) >= mostSeen {
			w.Dropped++
			return false
		}
		m = &seen{name: s.Name, shard: s.Shard, basisAt: now - w.cfg.Thin, since: now}
		w.seen[s.Name] = m
		w.shards[s.Shard]++
	}
	mid := w.middle(now, s, m)
	if mid == 0 {
		return false
	}
	ratio := float64(max(s.Took, 1)) / float64(mid)
	if !s.Whole && ratio < slowRatio {
		return false // it would have taken longer; how long, nobody knows
	}
	m.last[m.n%ringSize] = sample{now, cell(ratio)}
	m.n++
	if ratio >= slowRatio || m.doubtAt != 0 { // else nothing new speaks for slowness
		w.judge(now, m)
	}
	return m.doubtAt != 0
}

func (w *Watch) judge(now int64, m *seen) {
	score, _ := m.run(now, &w.cfg)
	switch doubted := score >= w.cfg.Doubt; {
	case doubted && m.doubtAt == 0:
		m.doubtAt = now
		w.doubted++
	case !doubted && m.doubtAt != 0 && score < w.cfg.Doubt/2: // hysteresis
		m.doubtAt = 0
		w.doubted--
	}
}

// sketch is what is told of a member: the run that speaks for slowness, or else the last
// samples.
func (w *Watch) sketch(now int64, m *seen, few int64) Sketch {
	out := newSketch()
	score, length := m.run(now, &w.cfg)
	most := length
	if score < w.cfg.Doubt/2 {
		most = ringSize
	}
	n := 0
	m.back(now, w.cfg.Span, func(x sample) bool {
		n++
		if old := now - x.at; n > most || score < w.cfg.Doubt/2 && (old > few || n > fewRecent && old > w.cfg.Recent) {
			return false
		}
		out.add(x.cell)
		return true
	})
	return out
}

// Doubted counts the members doubted here.
func (w *Watch) Doubted() int { return w.doubted }

// Tell returns the evidence on the members that are doubted here, and on those that are
// asked for: worst first, a bounded number; nothing where it was told a moment ago.
func (w *Watch) Tell(now int64, said Assignment) (out []Evidence) {
	told := func(m *seen, few int64) {
		if k := w.sketch(now, m, few); k.Samples() > 0 {
			out = append(out, Evidence{Name: m.name, Shard: m.shard, Of: w.shards[m.shard], Sketch: k})
		}
	}
	done := make(map[string]bool, len(said.Asked)+len(said.Apart))
	tell := func(name string, few int64) {
		if m := w.seen[name]; m != nil && !done[name] {
			done[name] = true
			told(m, few)
		}
	}
	for _, a := range said.Apart { // it is seldom met: all since it was set apart counts
		tell(a.Name, w.cfg.Span)
	}
	for _, name := range said.Asked {
		tell(name, w.cfg.Few)
	}
	if w.doubted > 0 {
		for name, m := range w.seen {
			if w.judge(now, m); m.doubtAt != 0 && now-m.doubtAt >= w.cfg.Linger {
				tell(name, w.cfg.Few)
			}
		}
	}
	slices.SortFunc(out, func(a, b Evidence) int {
		return cmp.Or(cmp.Compare(b.Sketch.Score(), a.Sketch.Score()), cmp.Compare(a.Name, b.Name))
	})
	mark := 0
	for _, e := range out {
		mark += len(e.Name) + 100*w.seen[e.Name].n
	}
	if mark == w.told && now-w.toldAt < w.cfg.Again {
		return nil
	}
	w.told, w.toldAt = mark, now
	return out[:min(len(out), mostTold)]
}

// Members counts the members of a shard that were seen lately.
func (w *Watch) Members(shard string) int { return w.shards[shard] }

// Forget lets go of members that were not seen for long.
func (w *Watch) Forget(now int64) {
	for name, m := range w.seen {
		if now-m.at() > forgotten*w.cfg.Span {
			if m.doubtAt != 0 {
				w.doubted--
			}
			if w.shards[m.shard]--; w.shards[m.shard] <= 0 {
				delete(w.shards, m.shard)
			}
			delete(w.seen, name)
		}
	}
}

// Own is a member as this mixer alone sees it.
type Own struct {
	Name, Shard string
	Middle      float64 // times its peers' middle
	Samples     int
	Score       float64
	Doubted     int64 // for so long; 0: it is not
}

// Of returns what is known here of one member.
func (w *Watch) Of(now int64, name string) (Own, bool) {
	m := w.seen[name]
	if m == nil {
		return Own{}, false
	}
	score, _ := m.run(now, &w.cfg)
	k := w.sketch(now, m, w.cfg.Few)
	o := Own{Name: name, Shard: m.shard, Middle: k.Middle(), Samples: k.Samples(), Score: score}
	if m.doubtAt != 0 {
		o.Doubted = max(now-m.doubtAt, 1)
	}
	return o, true
}

// doubts returns the members doubted here, worst first.
func (w *Watch) doubts(now int64) (out []Own) {
	if w.doubted == 0 {
		return nil
	}
	for name, m := range w.seen {
		if m.doubtAt == 0 {
			continue
		}
		if w.judge(now, m); m.doubtAt != 0 {
			o, _ := w.Of(now, name)
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b Own) int { return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Name, b.Name)) })
	return out
}
