package outlier

// Duty is the name of the duty to hold the council.
const Role = "herd"

const (
	termShift     = 40 // of a rank: the takeover above, the count of words and a mark below
	sequenceShift = 16
	epochHashBits = 32 // the part of an epoch that is its holder's mark
)

// Rank orders what councils say: by the duty's takeovers, then by words. The mark keeps
// the words of two holders apart who each think that they followed the same one.
func VersionOf(a Assignment) uint64 {
	return a.Epoch>>epochHashBits<<termShift | a.Seq&(1<<(termShift-sequenceShift)-1)<<sequenceShift | a.Epoch&(1<<sequenceShift-1)
}

// Seat is a process that may hold the council. It is not safe for concurrent use.
type AggregatorRole struct {
	cfg        Config
	self       string
	aggregator *Aggregator // nil: another holds it
	epoch      uint64
	last       Assignment
	version    uint64
}

// NewSeat returns the seat of a process.
func NewAggregatorRole(cfg Config, self string) *AggregatorRole {
	return &AggregatorRole{cfg: cfg, self: self}
}

// Told takes a council's word from the news.
func (s *AggregatorRole) Observe(version uint64, a Assignment) {
	if version > s.version {
		s.version, s.last = version, a
	}
}

// Holds says whether the process holds the duty, and under which epoch. Who takes it over
// begins with what is said to be in force.
func (s *AggregatorRole) SetHolder(now int64, epoch uint64, holds bool) {
	switch {
	case !holds:
		s.aggregator = nil
	case s.aggregator == nil || s.epoch != epoch:
		s.epoch, s.aggregator = epoch, NewAggregator(now, s.cfg, s.self, epoch, s.last)
	}
}

// Given takes a mixer's evidence; false: this process does not hold the council.
func (s *AggregatorRole) AddEvidence(now int64, from string, list []Evidence) bool {
	if s.aggregator == nil {
		return false
	}
	s.aggregator.AddEvidence(now, from, list)
	return true
}

// Busy tells whether the council has something to look after.
func (s *AggregatorRole) Busy() bool { return s.aggregator != nil && len(s.aggregator.candidates) > 0 }

// Step decides, and returns what is to be told to all, if anything is.
func (s *AggregatorRole) Step(now int64, mixers int, members func(shard string) int) (a Assignment, version uint64, publish bool) {
	if s.aggregator == nil {
		return a, 0, false
	}
	if a, publish = s.aggregator.Step(now, mixers, members); publish {
		version = VersionOf(a)
		s.Observe(version, a)
	}
	return a, version, publish
}

// Moves counts those set apart and those that came back under this council.
func (s *AggregatorRole) Counts() (apart, back int) {
	if s.aggregator == nil {
		return 0, 0
	}
	return s.aggregator.Ejections, s.aggregator.Restorations
}

// Last is the council's last word as far as this process has heard.
func (s *AggregatorRole) Last() Assignment { return s.last }

// Words are the evidence on a member, where the council is held here.
func (s *AggregatorRole) Reports(now int64, name string) (out []Report, held bool) {
	if s.aggregator == nil {
		return nil, false
	}
	return s.aggregator.Reports(now, name), true
}
