package outlier

// Role is the name of the singleton role of the aggregator.
const Role = "herd"

const (
	termShift     = 40 // of a version: the term above, the sequence and a hash below
	sequenceShift = 16
	epochHashBits = 32 // the part of an epoch that is its holder's mark
)

// VersionOf orders assignments: by the role's term, then by publication. The hash keeps apart
// the publications of two holders that each believe to follow the same one.
func VersionOf(a Assignment) uint64 {
	return a.Epoch>>epochHashBits<<termShift | a.Seq&(1<<(termShift-sequenceShift)-1)<<sequenceShift | a.Epoch&(1<<sequenceShift-1)
}

// AggregatorRole is the aggregator in a process that may hold its role. It is not safe for
// concurrent use.
type AggregatorRole struct {
	cfg        Config
	self       string
	aggregator *Aggregator // nil: another process holds the role
	epoch      uint64
	last       Assignment
	version    uint64
}

// NewAggregatorRole returns the role of a process.
func NewAggregatorRole(cfg Config, self string) *AggregatorRole {
	return &AggregatorRole{cfg: cfg, self: self}
}

// Observe takes an assignment that was gossiped.
func (s *AggregatorRole) Observe(version uint64, a Assignment) {
	if version > s.version {
		s.version, s.last = version, a
	}
}

// SetHolder sets whether the process holds the role, and under which epoch. A new holder
// starts from what was last published.
func (s *AggregatorRole) SetHolder(now int64, epoch uint64, holds bool) {
	switch {
	case !holds:
		s.aggregator = nil
	case s.aggregator == nil || s.epoch != epoch:
		s.epoch, s.aggregator = epoch, NewAggregator(now, s.cfg, s.self, epoch, s.last)
	}
}

// AddEvidence takes a proxy's evidence; false: this process does not hold the role.
func (s *AggregatorRole) AddEvidence(now int64, from string, list []Evidence) bool {
	if s.aggregator == nil {
		return false
	}
	s.aggregator.AddEvidence(now, from, list)
	return true
}

// Busy reports whether there are candidates.
func (s *AggregatorRole) Busy() bool { return s.aggregator != nil && len(s.aggregator.candidates) > 0 }

// Step decides, and returns what is to be gossiped, if anything is.
func (s *AggregatorRole) Step(now int64, proxies int, members func(shard string) int) (a Assignment, version uint64, publish bool) {
	if s.aggregator == nil {
		return a, 0, false
	}
	if a, publish = s.aggregator.Step(now, proxies, members); publish {
		version = VersionOf(a)
		s.Observe(version, a)
	}
	return a, version, publish
}

// Counts returns the ejections and restorations under this aggregator.
func (s *AggregatorRole) Counts() (apart, back int) {
	if s.aggregator == nil {
		return 0, 0
	}
	return s.aggregator.Ejections, s.aggregator.Restorations
}

// Last returns the last assignment that this process has heard of.
func (s *AggregatorRole) Last() Assignment { return s.last }

// Reports returns the evidence on a member, if this process holds the role.
func (s *AggregatorRole) Reports(now int64, name string) (out []Report, holds bool) {
	if s.aggregator == nil {
		return nil, false
	}
	return s.aggregator.Reports(now, name), true
}
