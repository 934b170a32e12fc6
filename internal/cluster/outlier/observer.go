// Package outlier finds members that are much slower than their peers, among servers and among
// callers, by the evidence of all proxies together. An Observer is one proxy's own evidence,
// from the answers and bytes that it sees anyway. An Aggregator merges the evidence of all
// proxies and decides who is ejected. Ejections is what is in force in one proxy. None of them
// sends a probe, moves a request or reads a clock, and a shard is never emptied: at most a
// share of it is ejected, and if most of it is slow nobody is.
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
	mostFor     = 0.8 // weight of one sample, at most
	mostAgainst = 1.0 // and against
)

// Config tunes the machines.
type Config struct {
	SampleLifetime       int64   // a sample counts for so long
	SingleSampleLifetime int64   // of a single sample that speaks for slowness
	RecentSpan           int64   // samples of so long are reported if nothing speaks for slowness,
	LastSamplesSpan      int64   // or the last few of so long
	ReportDelay          int64   // a suspicion is reported after so long: most are gone with the next answer
	MedianWindow         int64   // the same of the peers' middle
	MedianSampleInterval int64   // between two samples of one member that count for the peers' middle
	MinMedian            int64   // the peers' middle counts as this at least
	MinMedianSamples     int     // samples of a kind before its middle is one
	SuspectScore         float64 // score from which a proxy reports its evidence
	ReportInterval       int64   // evidence that has not changed is reported again after so long
	RequestScore         float64 // score of all proxies together from which evidence is requested of the others
	EjectScore           float64 // score of all proxies together from which a member is ejected
	MinEjectSamples      int     // samples for that
	MaxEjectedShare      float64 // of a shard that may be ejected
	EvidenceDelay        int64   // after the first suspicion: time for the others' evidence to come
	EvidenceLifetime     int64   // evidence that was reported longer ago does not count
	MinEjectionTime      int64   // a member stays ejected at least for so long
	RestoreRatio         float64 // its middle, from which it is prompt again
	MinRestoreSamples    int     // samples for that
	NoEvidenceTimeout    int64   // without evidence of slowness for so long it is tried
	ProbationTime        int64   // after its return: half the score does
	RenewInterval        int64   // between two publications of an unchanged assignment
	AssignmentLifetime   int64   // an assignment that was not renewed for so long is void
	LocalEjectDelay      int64   // a suspicion that no aggregator takes up for so long is acted on locally
	LocalScoreFactor     float64 // factor on EjectScore for a proxy that acts alone
}

// DefaultConfig is the configuration for service.
var DefaultConfig = Config{SampleLifetime: 12_000_000, SingleSampleLifetime: 2_000_000, RecentSpan: 600_000, LastSamplesSpan: 5_000_000, ReportDelay: 300_000, MedianWindow: 10_000_000, MedianSampleInterval: 100_000, MinMedian: 3_000, MinMedianSamples: 20,
	SuspectScore: 0.75, ReportInterval: 1_000_000, RequestScore: 1.5, EjectScore: 2.3, MinEjectSamples: 3, MaxEjectedShare: 0.34, EvidenceDelay: 400_000, EvidenceLifetime: 2_500_000, MinEjectionTime: 3_000_000, RestoreRatio: 1.7, MinRestoreSamples: 3,
	NoEvidenceTimeout: 15_000_000, ProbationTime: 20_000_000, RenewInterval: 3_000_000, AssignmentLifetime: 10_000_000, LocalEjectDelay: 5_000_000, LocalScoreFactor: 2}

// Callers is the shard that all callers belong to.
const Callers = "callers"

// Sample is one answer, or one wait that was given up.
type Sample struct {
	Name     string // of the server, or of the caller
	Shard    string
	Kind     string // what is alike in all but the member: its middle is what a sample is measured by
	Latency  int64  // microseconds
	Complete bool   // otherwise it would have taken longer
}

// Evidence is what one proxy knows of one member.
type Evidence struct {
	Name      string `json:"n"`
	Shard     string `json:"s"`
	ShardSize int    `json:"o,omitempty"` // members of the shard that the mixer has seen
	Sketch    Sketch `json:"k"`
}

type kind struct {
	half [2]*hdrhistogram.Histogram
	now  int
	from int64
	mid  int64 // the middle when it was last looked at
	due  int   // samples until the next look
}

// memberSamples is a member with its last samples, as a ring.
type memberSamples struct {
	name, shard string
	last        [ringSize]sample
	n           int   // samples so far
	suspectedAt int64 // 0: it is not suspected
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

func (m *memberSamples) at() int64 {
	if m.n == 0 {
		return m.since
	}
	return m.last[(m.n-1)%ringSize].at
}

// back calls f with the samples that still count, the last one first, until it has enough.
func (m *memberSamples) back(now, span int64, f func(sample) bool) {
	for i := m.n - 1; i >= max(m.n-ringSize, 0); i-- {
		if x := m.last[i%ringSize]; now-x.at > span || !f(x) {
			return
		}
	}
}

// run is the run of last samples that speaks most for slowness, as its score and length:
// what came before a change says nothing of what is now.
// One sample alone is soon out of date: a heavy tail's, most likely.
func (m *memberSamples) run(now int64, cfg *Config) (score float64, length int) {
	span := cfg.SampleLifetime
	if m.n < 2 || speaksOf(m.last[(m.n-2+ringSize)%ringSize].cell) <= 0 {
		span = cfg.SingleSampleLifetime
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

// Observer is one proxy's own evidence. It is not safe for concurrent use.
type Observer struct {
	cfg          Config
	kinds        map[string]*kind
	seen         map[string]*memberSamples
	shards       map[string]int // members seen, by shard
	suspected    int
	reportedAt   int64
	reportedMark int // what was reported last
	Dropped      int // samples that found no room
}

const (
	maxMembers  = 8192
	maxKinds    = 512
	maxReported = 48 // members of one message
	medianEvery = 16 // samples
	maxLatency  = 1 << 26
	expirySpans = 10 // spans: a member not seen for so long is forgotten
)

// NewObserver returns an observer without samples.
func NewObserver(cfg Config) *Observer {
	return &Observer{cfg: cfg, kinds: make(map[string]*kind), seen: make(map[string]*memberSamples), shards: make(map[string]int)}
}

// middle adds a sample to its kind and returns the kind's median; 0: there is none yet. Each
// member counts only now and then: otherwise one that answers a lot would be its own measure.
func (w *Observer) middle(now int64, s Sample, m *memberSamples) int64 {
	k := w.kinds[s.Kind]
	if k == nil {
		if len(w.kinds) >= maxKinds {
			for name, old := range w.kinds {
				if now-old.from > 2*w.cfg.MedianWindow {
					delete(w.kinds, name)
				}
			}
			if len(w.kinds) >= maxKinds {
				return 0
			}
		}
		k = &kind{from: now}
		for i := range k.half {
			k.half[i] = hdrhistogram.New(1, maxLatency, 1)
		}
		w.kinds[s.Kind] = k
	}
	if now-k.from >= w.cfg.MedianWindow {
		k.now, k.from = 1-k.now, now
		k.half[k.now].Reset()
	}
	if now-m.basisAt < w.cfg.MedianSampleInterval {
		return k.mid
	}
	if s.Complete || s.Latency > k.mid {
		m.basisAt = now
		k.half[k.now].RecordValue(min(max(s.Latency, 1), maxLatency))
	}
	if k.due--; k.due <= 0 {
		k.due, k.mid = medianEvery, 0
		both := hdrhistogram.New(1, maxLatency, 1)
		both.Merge(k.half[0])
		both.Merge(k.half[1])
		if n := int(both.TotalCount()); n >= w.cfg.MinMedianSamples {
			k.mid = max(both.ValueAtQuantile(50), w.cfg.MinMedian)
		} else {
			k.due = w.cfg.MinMedianSamples - n
		}
	}
	return k.mid
}

// Record takes a sample, and reports whether its member is suspected.
func (w *Observer) Record(now int64, s Sample) bool {
	m := w.seen[s.Name]
	if m == nil {
		if len(w.seen) >= maxMembers {
			w.Expire(now)
		}
		if len(w.seen) >= maxMembers {
			w.Dropped++
			return false
		}
		m = &memberSamples{name: s.Name, shard: s.Shard, basisAt: now - w.cfg.MedianSampleInterval, since: now}
		w.seen[s.Name] = m
		w.shards[s.Shard]++
	}
	mid := w.middle(now, s, m)
	if mid == 0 {
		return false
	}
	ratio := float64(max(s.Latency, 1)) / float64(mid)
	if !s.Complete && ratio < slowRatio {
		return false // it would have taken longer; how long, nobody knows
	}
	m.last[m.n%ringSize] = sample{now, cell(ratio)}
	m.n++
	if ratio >= slowRatio || m.suspectedAt != 0 { // else nothing new speaks for slowness
		w.evaluate(now, m)
	}
	return m.suspectedAt != 0
}

func (w *Observer) evaluate(now int64, m *memberSamples) {
	score, _ := m.run(now, &w.cfg)
	switch doubted := score >= w.cfg.SuspectScore; {
	case doubted && m.suspectedAt == 0:
		m.suspectedAt = now
		w.suspected++
	case !doubted && m.suspectedAt != 0 && score < w.cfg.SuspectScore/2: // hysteresis
		m.suspectedAt = 0
		w.suspected--
	}
}

// sketch returns what is reported of a member: the run of samples that speaks for slowness, or
// else the last samples.
func (w *Observer) sketch(now int64, m *memberSamples, few int64) Sketch {
	out := newSketch()
	score, length := m.run(now, &w.cfg)
	most := length
	if score < w.cfg.SuspectScore/2 {
		most = ringSize
	}
	n := 0
	m.back(now, w.cfg.SampleLifetime, func(x sample) bool {
		n++
		if old := now - x.at; n > most || score < w.cfg.SuspectScore/2 && (old > few || n > fewRecent && old > w.cfg.RecentSpan) {
			return false
		}
		out.add(x.cell)
		return true
	})
	return out
}

// Suspected counts the members suspected here.
func (w *Observer) Suspected() int { return w.suspected }

// TakeEvidence returns the evidence on the members that are suspected here and on those that
// were asked for: worst first, a bounded number; nothing if it was reported a moment ago.
func (w *Observer) TakeEvidence(now int64, assignment Assignment) (out []Evidence) {
	report := func(m *memberSamples, few int64) {
		if k := w.sketch(now, m, few); k.Samples() > 0 {
			out = append(out, Evidence{Name: m.name, Shard: m.shard, ShardSize: w.shards[m.shard], Sketch: k})
		}
	}
	done := make(map[string]bool, len(assignment.Requested)+len(assignment.Ejected))
	reportOnce := func(name string, few int64) {
		if m := w.seen[name]; m != nil && !done[name] {
			done[name] = true
			report(m, few)
		}
	}
	for _, a := range assignment.Ejected { // it is seldom used: all samples since its ejection count
		reportOnce(a.Name, w.cfg.SampleLifetime)
	}
	for _, name := range assignment.Requested {
		reportOnce(name, w.cfg.LastSamplesSpan)
	}
	if w.suspected > 0 {
		for name, m := range w.seen {
			if w.evaluate(now, m); m.suspectedAt != 0 && now-m.suspectedAt >= w.cfg.ReportDelay {
				reportOnce(name, w.cfg.LastSamplesSpan)
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
	if mark == w.reportedMark && now-w.reportedAt < w.cfg.ReportInterval {
		return nil
	}
	w.reportedMark, w.reportedAt = mark, now
	return out[:min(len(out), maxReported)]
}

// Members counts the members of a shard that were seen recently.
func (w *Observer) Members(shard string) int { return w.shards[shard] }

// Expire removes members that were not seen for long.
func (w *Observer) Expire(now int64) {
	for name, m := range w.seen {
		if now-m.at() > expirySpans*w.cfg.SampleLifetime {
			if m.suspectedAt != 0 {
				w.suspected--
			}
			if w.shards[m.shard]--; w.shards[m.shard] <= 0 {
				delete(w.shards, m.shard)
			}
			delete(w.seen, name)
		}
	}
}

// LocalView is a member as this proxy alone sees it.
type LocalView struct {
	Name, Shard  string
	Median       float64 // times its peers' middle
	Samples      int
	Score        float64
	SuspectedFor int64 // microseconds; 0: it is not suspected
}

// Describe returns what is known here of one member.
func (w *Observer) Describe(now int64, name string) (LocalView, bool) {
	m := w.seen[name]
	if m == nil {
		return LocalView{}, false
	}
	score, _ := m.run(now, &w.cfg)
	k := w.sketch(now, m, w.cfg.LastSamplesSpan)
	o := LocalView{Name: name, Shard: m.shard, Median: k.Median(), Samples: k.Samples(), Score: score}
	if m.suspectedAt != 0 {
		o.SuspectedFor = max(now-m.suspectedAt, 1)
	}
	return o, true
}

// suspects returns the members suspected here, worst first.
func (w *Observer) suspects(now int64) (out []LocalView) {
	if w.suspected == 0 {
		return nil
	}
	for name, m := range w.seen {
		if m.suspectedAt == 0 {
			continue
		}
		if w.evaluate(now, m); m.suspectedAt != 0 {
			o, _ := w.Describe(now, name)
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b LocalView) int { return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Name, b.Name)) })
	return out
}
