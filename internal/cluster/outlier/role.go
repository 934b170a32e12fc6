package outlier

// Role is the name of the singleton role of the aggregator as other processes know it.
const Role = "herd"

const (
	termShift     = 40 // a version consists of the term in the high bits, the sequence number and a hash
	sequenceShift = 16
	epochHashBits = 32 // low bits of an epoch, which contain a hash of its holder
)

// VersionOf returns a version that orders assignments by the term of the role and then by sequence
// number. The hash distinguishes publications of two processes that both believe to have succeeded
// the same holder.
func VersionOf(assignment Assignment) uint64 {
	return assignment.Epoch>>epochHashBits<<termShift | assignment.Seq&(1<<(termShift-sequenceShift)-1)<<sequenceShift | assignment.Epoch&(1<<sequenceShift-1)
}

// AggregatorRole runs the aggregator in a process that may hold the role. It is not safe for
// concurrent use.
type AggregatorRole struct {
	cfg        Config
	self       string
	aggregator *Aggregator // nil: another process holds the role
	epoch      uint64
	published  Assignment
	version    uint64
}

// NewAggregatorRole returns the aggregator role of a process that does not hold it yet.
func NewAggregatorRole(cfg Config, self string) *AggregatorRole {
	return &AggregatorRole{cfg: cfg, self: self}
}

// Observe records an assignment that was received by gossip, if it is newer than the recorded one.
func (r *AggregatorRole) Observe(version uint64, assignment Assignment) {
	if version > r.version {
		r.version, r.published = version, assignment
	}
}

// SetHolder sets whether the process holds the role, and under which epoch. A new holder starts from
// the last published assignment.
func (r *AggregatorRole) SetHolder(now int64, epoch uint64, holds bool) {
	switch {
	case !holds:
		r.aggregator = nil
	case r.aggregator == nil || r.epoch != epoch:
		r.epoch, r.aggregator = epoch, NewAggregator(now, r.cfg, r.self, epoch, r.published)
	}
}

// AddEvidence records the evidence of a proxy. It returns false if this process does not hold the role.
func (r *AggregatorRole) AddEvidence(now int64, proxy string, list []Evidence) bool {
	if r.aggregator == nil {
		return false
	}
	r.aggregator.AddEvidence(now, proxy, list)
	return true
}

// Busy reports whether there are candidates.
func (r *AggregatorRole) Busy() bool { return r.aggregator != nil && len(r.aggregator.candidates) > 0 }

// Step runs Aggregator.Step and returns the assignment and version to gossip, if publish is true.
func (r *AggregatorRole) Step(now int64, proxies int, members func(shard string) int) (assignment Assignment, version uint64, publish bool) {
	if r.aggregator == nil {
		return assignment, 0, false
	}
	if assignment, publish = r.aggregator.Step(now, proxies, members); publish {
		version = VersionOf(assignment)
		r.Observe(version, assignment)
	}
	return assignment, version, publish
}

// Counts returns the number of ejections and restorations by this aggregator.
func (r *AggregatorRole) Counts() (ejections, restorations int) {
	if r.aggregator == nil {
		return 0, 0
	}
	return r.aggregator.Ejections, r.aggregator.Restorations
}

// Last returns the latest assignment that this process knows.
func (r *AggregatorRole) Last() Assignment { return r.published }

// Reports returns the evidence on a member, if this process holds the role.
func (r *AggregatorRole) Reports(now int64, name string) (reports []Report, holds bool) {
	if r.aggregator == nil {
		return nil, false
	}
	return r.aggregator.Reports(now, name), true
}
