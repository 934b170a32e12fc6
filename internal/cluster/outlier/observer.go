// Package outlier detects members, among servers and among callers, that are much slower than their
// peers, by the evidence of all proxies together. An Observer collects the evidence of one proxy
// from the answers and bytes that the proxy handles anyway. An Aggregator merges the evidence of all
// proxies and decides which members are ejected. Ejections is the set of ejections in force in one
// proxy. None of these types sends probes, redirects requests or reads a clock. A shard is never
// emptied: at most a share of it is ejected, and no member is ejected if the majority is slow.
//
// All times are microseconds of the caller's monotonic clock.
package outlier

import (
	"cmp"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	slowRatio    = 2.5 // multiple of the peers' median from which a sample indicates slowness
	maxSlowScore = 0.8 // maximum score of one slow sample
	maxFastScore = 1.0 // maximum amount that one fast sample subtracts
)

// Config configures Observer, Aggregator and Ejections.
type Config struct {
	SampleLifetime       int64   // time for which a sample counts
	SingleSampleLifetime int64   // time for which a slow sample counts if the sample before it was not slow
	RecentSpan           int64   // age up to which all samples of a member are reported if they do not indicate slowness
	LastSamplesSpan      int64   // age up to which at least the last minRecentSamples of such a member are reported
	ReportDelay          int64   // delay until a suspicion is reported; most suspicions end with the next answer
	MedianWindow         int64   // window of the peers' median, which covers the current and the previous window
	MedianSampleInterval int64   // minimum time between two samples of one member that count for the peers' median
	MinMedian            int64   // lower bound of the peers' median
	MinMedianSamples     int     // samples of a kind that are required for a median
	SuspectScore         float64 // score from which a proxy suspects a member and reports its evidence
	ReportInterval       int64   // time after which unchanged evidence is reported again
	RequestScore         float64 // score over all proxies from which evidence is requested from the other proxies
	EjectScore           float64 // score over all proxies from which a member is ejected
	MinEjectSamples      int     // samples that are required for an ejection
	MaxEjectedShare      float64 // maximum share of a shard that may be ejected
	EvidenceDelay        int64   // time between the request for evidence and the decision, in which the evidence of the other proxies arrives
	EvidenceLifetime     int64   // time for which reported evidence counts
	MinEjectionTime      int64   // minimum duration of an ejection
	RestoreRatio         float64 // median ratio up to which an ejected member counts as recovered
	MinRestoreSamples    int     // samples that are required for a restoration by RestoreRatio
	NoEvidenceTimeout    int64   // time without evidence of slowness after which an ejected member is restored on trial
	ProbationTime        int64   // time after a restoration during which half of EjectScore suffices
	RenewInterval        int64   // time between two publications of an unchanged assignment
	AssignmentLifetime   int64   // time after which an assignment that was not renewed becomes invalid
	LocalEjectDelay      int64   // time after which a proxy ejects a suspected member locally if the aggregator has not
	LocalScoreFactor     float64 // factor on EjectScore for a local ejection
}

// DefaultConfig is the configuration used in production.
var DefaultConfig = Config{SampleLifetime: 12_000_000, SingleSampleLifetime: 2_000_000, RecentSpan: 600_000, LastSamplesSpan: 5_000_000, ReportDelay: 300_000, MedianWindow: 10_000_000, MedianSampleInterval: 100_000, MinMedian: 3_000, MinMedianSamples: 20,
	SuspectScore: 0.75, ReportInterval: 1_000_000, RequestScore: 1.5, EjectScore: 2.3, MinEjectSamples: 3, MaxEjectedShare: 0.34, EvidenceDelay: 400_000, EvidenceLifetime: 2_500_000, MinEjectionTime: 3_000_000, RestoreRatio: 1.7, MinRestoreSamples: 3,
	NoEvidenceTimeout: 15_000_000, ProbationTime: 20_000_000, RenewInterval: 3_000_000, AssignmentLifetime: 10_000_000, LocalEjectDelay: 5_000_000, LocalScoreFactor: 2}

// Callers is the name of the shard that contains all callers.
const Callers = "callers"

// Sample is the latency of one answer, or of one attempt that ended without an answer.
type Sample struct {
	Name     string // name of the server or caller
	Shard    string
	Kind     string // samples of one kind differ only in the member; each is compared with the kind's median
	Latency  int64  // microseconds
	Complete bool   // false: no complete answer arrived, and Latency is a lower bound
}

// Evidence is the evidence of one proxy on one member.
type Evidence struct {
	Name      string `json:"n"`
	Shard     string `json:"s"`
	ShardSize int    `json:"o,omitempty"` // members of the shard that the proxy has seen
	Sketch    Sketch `json:"k"`
}

// kindStats maintains the median latency of a kind of samples, over the current and the previous
// window.
type kindStats struct {
	windows            [2]*hdrhistogram.Histogram
	current            int // index of the current window
	windowStart        int64
	median             int64 // as of the last update; 0: none
	samplesUntilUpdate int   // samples until the median is computed again
}

// memberSamples is a member with a ring buffer of its last samples.
type memberSamples struct {
	name, shard    string
	ring           [ringSize]sample
	count          int   // number of samples so far
	suspectedAt    int64 // 0: not suspected
	firstSeenAt    int64
	medianSampleAt int64 // when a sample of this member last counted for the median of its kind
}

// sample is a latency ratio, as a cell of a sketch, with its time.
type sample struct {
	at   int64
	cell int64
}

const (
	ringSize         = 16
	minRecentSamples = 4 // number of last samples that are reported regardless of RecentSpan
)

// lastSeenAt returns the time of the last sample, or the time at which the member was first seen.
func (m *memberSamples) lastSeenAt() int64 {
	if m.count == 0 {
		return m.firstSeenAt
	}
	return m.ring[(m.count-1)%ringSize].at
}

// forEachRecent calls f for the samples that are not older than span, latest first, until f returns
// false.
func (m *memberSamples) forEachRecent(now, span int64, f func(sample) bool) {
	for i := m.count - 1; i >= max(m.count-ringSize, 0); i-- {
		if x := m.ring[i%ringSize]; now-x.at > span || !f(x) {
			return
		}
	}
}

// worstRun returns the score and the length of the run of latest samples with the highest score.
// Earlier samples are ignored, because they were taken before the member's latency changed. A single
// slow sample expires sooner, because it most likely belongs to the tail of the distribution.
func (m *memberSamples) worstRun(now int64, cfg *Config) (score float64, length int) {
	span := cfg.SampleLifetime
	if m.count < 2 || cellScore(m.ring[(m.count-2+ringSize)%ringSize].cell) <= 0 {
		span = cfg.SingleSampleLifetime
	}
	sum, n := 0.0, 0
	m.forEachRecent(now, span, func(x sample) bool {
		n++
		if sum += cellScore(x.cell); sum > score {
			score, length = sum, n
		}
		return true
	})
	return score, length
}

// Observer collects the evidence of one proxy. It is not safe for concurrent use.
type Observer struct {
	cfg                 Config
	kinds               map[string]*kindStats
	members             map[string]*memberSamples
	shardSizes          map[string]int // number of members seen, by shard
	suspected           int
	reportedAt          int64
	reportedFingerprint int // of the evidence that was reported last
	Dropped             int // samples dropped because of maxMembers
}

const (
	maxMembers       = 8192
	maxKinds         = 512
	maxReported      = 48      // members in one message
	samplesPerMedian = 16      // samples of a kind between two updates of its median
	maxLatency       = 1 << 26 // microseconds; higher latencies count as this
	expiryFactor     = 10      // a member that was not seen for this multiple of SampleLifetime is removed
)

// NewObserver returns an observer without samples.
func NewObserver(cfg Config) *Observer {
	return &Observer{cfg: cfg, kinds: make(map[string]*kindStats), members: make(map[string]*memberSamples), shardSizes: make(map[string]int)}
}

// median adds a sample to its kind and returns the median of the kind, or 0 if there are too few
// samples. Samples of one member count at most once per MedianSampleInterval: otherwise a member with
// many answers would be compared mainly with itself.
func (o *Observer) median(now int64, s Sample, member *memberSamples) int64 {
	stats := o.kinds[s.Kind]
	if stats == nil {
		if len(o.kinds) >= maxKinds {
			for name, stats := range o.kinds {
				if now-stats.windowStart > 2*o.cfg.MedianWindow {
					delete(o.kinds, name)
				}
			}
			if len(o.kinds) >= maxKinds {
				return 0
			}
		}
		stats = &kindStats{windowStart: now}
		for i := range stats.windows {
			stats.windows[i] = hdrhistogram.New(1, maxLatency, 1)
		}
		o.kinds[s.Kind] = stats
	}
	if now-stats.windowStart >= o.cfg.MedianWindow {
		stats.current, stats.windowStart = 1-stats.current, now
		stats.windows[stats.current].Reset()
	}
	if now-member.medianSampleAt < o.cfg.MedianSampleInterval {
		return stats.median
	}
	if s.Complete || s.Latency > stats.median {
		member.medianSampleAt = now
		stats.windows[stats.current].RecordValue(min(max(s.Latency, 1), maxLatency))
	}
	if stats.samplesUntilUpdate--; stats.samplesUntilUpdate <= 0 {
		stats.samplesUntilUpdate, stats.median = samplesPerMedian, 0
		merged := hdrhistogram.New(1, maxLatency, 1)
		merged.Merge(stats.windows[0])
		merged.Merge(stats.windows[1])
		if n := int(merged.TotalCount()); n >= o.cfg.MinMedianSamples {
			stats.median = max(merged.ValueAtQuantile(50), o.cfg.MinMedian)
		} else {
			stats.samplesUntilUpdate = o.cfg.MinMedianSamples - n
		}
	}
	return stats.median
}

// Record adds a sample and reports whether its member is suspected.
func (o *Observer) Record(now int64, s Sample) bool {
	member := o.members[s.Name]
	if member == nil {
		if len(o.members) >= maxMembers {
			o.Expire(now)
		}
		if len(o.members) >= maxMembers {
			o.Dropped++
			return false
		}
		member = &memberSamples{name: s.Name, shard: s.Shard, medianSampleAt: now - o.cfg.MedianSampleInterval, firstSeenAt: now}
		o.members[s.Name] = member
		o.shardSizes[s.Shard]++
	}
	median := o.median(now, s, member)
	if median == 0 {
		return false
	}
	ratio := float64(max(s.Latency, 1)) / float64(median)
	if !s.Complete && ratio < slowRatio {
		return false // the actual latency is unknown, so the sample does not prove that the member is fast
	}
	member.ring[member.count%ringSize] = sample{now, cellOf(ratio)}
	member.count++
	if ratio >= slowRatio || member.suspectedAt != 0 { // otherwise the sample cannot raise a suspicion
		o.evaluate(now, member)
	}
	return member.suspectedAt != 0
}

// evaluate updates whether a member is suspected.
func (o *Observer) evaluate(now int64, member *memberSamples) {
	score, _ := member.worstRun(now, &o.cfg)
	switch suspected := score >= o.cfg.SuspectScore; {
	case suspected && member.suspectedAt == 0:
		member.suspectedAt = now
		o.suspected++
	case !suspected && member.suspectedAt != 0 && score < o.cfg.SuspectScore/2: // hysteresis
		member.suspectedAt = 0
		o.suspected--
	}
}

// sketch returns the samples of a member to report: the run of samples that indicates slowness or, if
// there is none, the latest samples, which are not older than maxAge.
func (o *Observer) sketch(now int64, member *memberSamples, maxAge int64) Sketch {
	out := newSketch()
	score, length := member.worstRun(now, &o.cfg)
	limit := length
	if score < o.cfg.SuspectScore/2 {
		limit = ringSize
	}
	n := 0
	member.forEachRecent(now, o.cfg.SampleLifetime, func(x sample) bool {
		n++
		if age := now - x.at; n > limit || score < o.cfg.SuspectScore/2 && (age > maxAge || n > minRecentSamples && age > o.cfg.RecentSpan) {
			return false
		}
		out.add(x.cell)
		return true
	})
	return out
}

// Suspected returns the number of members that this proxy suspects.
func (o *Observer) Suspected() int { return o.suspected }

// TakeEvidence returns the evidence on the members that this proxy suspects and on those that the
// assignment ejects or requests, highest score first and at most maxReported of them. It returns nil
// if unchanged evidence was reported less than ReportInterval ago.
func (o *Observer) TakeEvidence(now int64, assignment Assignment) (out []Evidence) {
	report := func(member *memberSamples, maxAge int64) {
		if sketch := o.sketch(now, member, maxAge); sketch.Samples() > 0 {
			out = append(out, Evidence{Name: member.name, Shard: member.shard, ShardSize: o.shardSizes[member.shard], Sketch: sketch})
		}
	}
	done := make(map[string]bool, len(assignment.Requested)+len(assignment.Ejected))
	reportOnce := func(name string, maxAge int64) {
		if member := o.members[name]; member != nil && !done[name] {
			done[name] = true
			report(member, maxAge)
		}
	}
	for _, ejected := range assignment.Ejected { // an ejected member receives few requests, so all its unexpired samples are reported
		reportOnce(ejected.Name, o.cfg.SampleLifetime)
	}
	for _, name := range assignment.Requested {
		reportOnce(name, o.cfg.LastSamplesSpan)
	}
	if o.suspected > 0 {
		for name, member := range o.members {
			if o.evaluate(now, member); member.suspectedAt != 0 && now-member.suspectedAt >= o.cfg.ReportDelay {
				reportOnce(name, o.cfg.LastSamplesSpan)
			}
		}
	}
	slices.SortFunc(out, func(a, b Evidence) int {
		return cmp.Or(cmp.Compare(b.Sketch.Score(), a.Sketch.Score()), cmp.Compare(a.Name, b.Name))
	})
	fingerprint := 0
	for _, evidence := range out {
		fingerprint += len(evidence.Name) + 100*o.members[evidence.Name].count
	}
	if fingerprint == o.reportedFingerprint && now-o.reportedAt < o.cfg.ReportInterval {
		return nil
	}
	o.reportedFingerprint, o.reportedAt = fingerprint, now
	return out[:min(len(out), maxReported)]
}

// Members returns the number of members of a shard that were seen recently.
func (o *Observer) Members(shard string) int { return o.shardSizes[shard] }

// Expire removes the members that were not seen for expiryFactor times SampleLifetime.
func (o *Observer) Expire(now int64) {
	for name, member := range o.members {
		if now-member.lastSeenAt() > expiryFactor*o.cfg.SampleLifetime {
			if member.suspectedAt != 0 {
				o.suspected--
			}
			if o.shardSizes[member.shard]--; o.shardSizes[member.shard] <= 0 {
				delete(o.shardSizes, member.shard)
			}
			delete(o.members, name)
		}
	}
}

// LocalView is the state of a member according to the evidence of this proxy alone.
type LocalView struct {
	Name, Shard  string
	Median       float64 // median latency as a multiple of the peers' median
	Samples      int
	Score        float64
	SuspectedFor int64 // microseconds; 0: not suspected
}

// Describe returns the state of one member, and false if the member is unknown.
func (o *Observer) Describe(now int64, name string) (LocalView, bool) {
	member := o.members[name]
	if member == nil {
		return LocalView{}, false
	}
	score, _ := member.worstRun(now, &o.cfg)
	sketch := o.sketch(now, member, o.cfg.LastSamplesSpan)
	view := LocalView{Name: name, Shard: member.shard, Median: sketch.Median(), Samples: sketch.Samples(), Score: score}
	if member.suspectedAt != 0 {
		view.SuspectedFor = max(now-member.suspectedAt, 1)
	}
	return view, true
}

// suspects returns the members that this proxy suspects, highest score first.
func (o *Observer) suspects(now int64) (out []LocalView) {
	if o.suspected == 0 {
		return nil
	}
	for name, member := range o.members {
		if member.suspectedAt == 0 {
			continue
		}
		if o.evaluate(now, member); member.suspectedAt != 0 {
			view, _ := o.Describe(now, name)
			out = append(out, view)
		}
	}
	slices.SortFunc(out, func(a, b LocalView) int { return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Name, b.Name)) })
	return out
}
