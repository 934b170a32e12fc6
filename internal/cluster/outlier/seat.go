package outlier

// Duty is the name of the duty to hold the council.
const Duty = "herd"

const (
	numberBits = 40 // of a rank: the takeover above, the count of words and a mark below
	markBits   = 16
	epochMark  = 32 // the part of an epoch that is its holder's mark
)

// Rank orders what councils say: by the duty's takeovers, then by words. The mark keeps
// the words of two holders apart who each think that they followed the same one.
func Rank(a Assignment) uint64 {
	return a.Epoch>>epochMark<<numberBits | a.Seq&(1<<(numberBits-markBits)-1)<<markBits | a.Epoch&(1<<markBits-1)
}

// Seat is a process that may hold the council. It is not safe for concurrent use.
type Seat struct {
	cfg     Config
	self    string
	council *Council // nil: another holds it
	epoch   uint64
	last    Assignment
	rank    uint64
}

// NewSeat returns the seat of a process.
func NewSeat(cfg Config, self string) *Seat { return &Seat{cfg: cfg, self: self} }

// Told takes a council's word from the news.
func (s *Seat) Told(rank uint64, a Assignment) {
	if rank > s.rank {
		s.rank, s.last = rank, a
	}
}

// Holds says whether the process holds the duty, and under which epoch. Who takes it over
// begins with what is said to be in force.
func (s *Seat) Holds(now int64, epoch uint64, holds bool) {
	switch {
	case !holds:
		s.council = nil
	case s.council == nil || s.epoch != epoch:
		s.epoch, s.council = epoch, NewCouncil(now, s.cfg, s.self, epoch, s.last)
	}
}

// Given takes a mixer's evidence; false: this process does not hold the council.
func (s *Seat) Given(now int64, from string, list []Evidence) bool {
	if s.council == nil {
		return false
	}
	s.council.Given(now, from, list)
	return true
}

// Busy tells whether the council has something to look after.
func (s *Seat) Busy() bool { return s.council != nil && len(s.council.cases) > 0 }

// Step decides, and returns what is to be told to all, if anything is.
func (s *Seat) Step(now int64, mixers int, members func(shard string) int) (a Assignment, rank uint64, say bool) {
	if s.council == nil {
		return a, 0, false
	}
	if a, say = s.council.Step(now, mixers, members); say {
		rank = Rank(a)
		s.Told(rank, a)
	}
	return a, rank, say
}

// Moves counts those set apart and those that came back under this council.
func (s *Seat) Moves() (apart, back int) {
	if s.council == nil {
		return 0, 0
	}
	return s.council.Moves, s.council.Backs
}

// Last is the council's last word as far as this process has heard.
func (s *Seat) Last() Assignment { return s.last }

// Words are the evidence on a member, where the council is held here.
func (s *Seat) Words(now int64, name string) (out []Word, held bool) {
	if s.council == nil {
		return nil, false
	}
	return s.council.Words(now, name), true
}
