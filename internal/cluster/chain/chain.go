// Package chain owns what the core machines keep: one configuration each, of which the
// higher rank counts, passed from the head of an agreed view to its tail. It owns what is
// acknowledged, who is passed what, and reads at the tail. It must never change the
// membership, acknowledge what the tail does not hold on its disk, or answer a read from a
// view that may be over.
//
// A machine here is a value that is stepped: it does no I/O and reads no clock. What it
// returns may go out only once what it keeps is synced.
package chain

import (
	"encoding/json"
	"fmt"
	"slices"
	"unicode/utf8"
)

// Member is one disk of the core, at an address. A machine that comes back with an empty
// disk is another member.
type Member struct {
	Addr string `json:"a"`
	Disk string `json:"d"`
}

func (m Member) String() string { return m.Addr + "/" + m.Disk }

// View is what most of the members have agreed on: who they are, in which order, and
// which of them form the chain, from head to tail.
type View struct {
	Epoch   uint64   `json:"e"`
	Members []Member `json:"m"`
	Chain   []Member `json:"c"`
	Base    uint64   `json:"b"` // whoever is in this view holds an entry of this rank, or a higher one
	Size    int      `json:"n"` // members wanted
}

// Most is how many members are more than half.
func (v View) Most() int { return len(v.Members)/2 + 1 }

// Has tells whether m is a member.
func (v View) Has(m Member) bool { return slices.Contains(v.Members, m) }

// Head and Tail are the ends of the chain; the zero Member where there is no view.
func (v View) Head() Member {
	if len(v.Chain) == 0 {
		return Member{}
	}
	return v.Chain[0]
}

// Tail is as Head.
func (v View) Tail() Member {
	if len(v.Chain) == 0 {
		return Member{}
	}
	return v.Chain[len(v.Chain)-1]
}

// Check holds a view to what makes it safe: the chain is made of members, and is more than
// half of them, so that whatever it acknowledged is on the disk of one in every majority.
func (v View) Check() error {
	seen := make(map[Member]bool)
	for _, m := range v.Members {
		if seen[m] {
			return fmt.Errorf("epoch %d: %s is a member twice", v.Epoch, m)
		}
		seen[m] = true
	}
	in := make(map[Member]bool)
	for _, m := range v.Chain {
		if !seen[m] || in[m] {
			return fmt.Errorf("epoch %d: %s is in the chain and no member, or twice", v.Epoch, m)
		}
		in[m] = true
	}
	if len(v.Chain) < v.Most() {
		return fmt.Errorf("epoch %d: a chain of %d is not more than half of %d", v.Epoch, len(v.Chain), len(v.Members))
	}
	return nil
}

// Entry is a configuration with its rank: the version above, a mark of the bytes below.
type Entry struct {
	Rank uint64
	Raw  []byte
}

// entryForm is how an entry is told and kept: text as text, for base64 hides from those
// who pack it that its lines are alike; what is no text, and what older programs kept, as
// base64.
type entryForm struct {
	Rank uint64 `json:"r"`
	Text string `json:"t,omitempty"`
	Raw  []byte `json:"w,omitempty"`
}

// MarshalJSON keeps every byte.
func (e Entry) MarshalJSON() ([]byte, error) {
	if utf8.Valid(e.Raw) {
		return json.Marshal(entryForm{Rank: e.Rank, Text: string(e.Raw)})
	}
	return json.Marshal(entryForm{Rank: e.Rank, Raw: e.Raw})
}

// UnmarshalJSON takes both forms.
func (e *Entry) UnmarshalJSON(text []byte) error {
	var f entryForm
	if err := json.Unmarshal(text, &f); err != nil {
		return err
	}
	e.Rank, e.Raw = f.Rank, f.Raw
	if f.Text != "" {
		e.Raw = []byte(f.Text)
	}
	return nil
}

// MarkBits is the number of bits of a rank below its version.
const MarkBits = 16

// Version is the version of a rank.
func Version(rank uint64) uint64 { return rank >> MarkBits }

// Kind says what a message is.
type Kind string

// The messages of the chain.
const (
	Enter  Kind = "enter"  // to the head: an entry that an operator sent
	Done   Kind = "done"   // from the head: it is acknowledged, or why not
	Pass   Kind = "pass"   // to the next in the chain
	Ack    Kind = "ack"    // back from it
	Lacks  Kind = "lacks"  // back from it: it was asked again, and does not hold the entry
	Read   Kind = "read"   // to the tail
	Stand  Kind = "stand"  // from the tail to all members: is this view still yours?
	Stands Kind = "stands" // the answer
	Told   Kind = "told"   // from the tail: what a read found
	Mend   Kind = "mend"   // to a member whose copy was found old
	Waits  Kind = "waits"  // from the head or the tail: it is here, and waits for others
)

// Message is one message between core machines. Which fields are filled hangs on Kind.
type Message struct {
	Kind  Kind   `json:"k"`
	From  Member `json:"f"`
	To    Member `json:"t"`
	Epoch uint64 `json:"e,omitempty"`
	ID    string `json:"i,omitempty"`
	Rank  uint64 `json:"r,omitempty"`
	Entry *Entry `json:"n,omitempty"`
	Why   string `json:"y,omitempty"` // of a refusal
	Pact  *Pact  `json:"p,omitempty"`
}

// Pact is what the messages of the agreement carry besides (package consensus).
type Pact struct {
	Ballot   Ballot    `json:"b"`
	View     *View     `json:"v,omitempty"`
	Accepted *Proposal `json:"a,omitempty"`
	Sealed   bool      `json:"s,omitempty"`
	Member   Member    `json:"m"`
}

// Ballot orders proposals.
type Ballot struct {
	N  uint64 `json:"n"`
	By string `json:"b"`
}

// Less orders ballots.
func (b Ballot) Less(o Ballot) bool { return b.N < o.N || b.N == o.N && b.By < o.By }

// Proposal is a view under a ballot.
type Proposal struct {
	Ballot Ballot `json:"b"`
	View   View   `json:"v"`
}

// Result is what the caller of Put or Get is told.
type Result struct {
	ID    string
	OK    bool
	Entry Entry  // of a read
	Why   string // of a refusal
}

// Config tunes a chain; the times are microseconds of the caller's clock.
type Config struct {
	Resend int64 // a message of the chain without an answer is sent again
	Stuck  int64 // and its receiver is complained of
	Wait   int64 // a caller is told that there is no answer
}

// Breaks leaves rules out on purpose, so that the checker can show that it finds each.
type Breaks struct {
	AckEarly   bool // the head acknowledges what it alone holds
	StaleRead  bool // the tail does not ask whether its view stands
	NoSeal     bool // a member goes on in a view after it has promised another
	ShortChain bool // a chain may be less than half of the members
	KeepDisk   bool // a disk that was lost votes on under its old name
	Forget     bool // a proposer passes over what others have accepted
}

type waiter struct {
	id     string
	from   Member // itself: the caller is here
	rank   uint64
	since  int64
	asked  map[Member]bool // of a read: who says that the view stands
	sentAt int64
}

// Machine is the chain as one member sees it.
type Machine struct {
	cfg    Config
	breaks Breaks
	self   Member

	view   View
	sealed bool // another view was promised
	held   Entry
	dirty  bool   // held has changed since Dirty was last asked
	sure   uint64 // the highest rank known to be acknowledged

	passing  Entry  // what was passed on and has no answer; rank 0: nothing
	passAt   int64  // when what is behind passFirst last moved
	first    uint64 // the rank that was passed then
	passSent int64
	asked    int      // times that passing was sent since it was sent whole
	waiting  []waiter // at the head
	reads    []waiter // at the tail
	calls    []waiter // here, sent to the head or the tail
	queue    []call
	numbers  uint64
	nonce    string

	out     []Message
	results []Result
	accused Member
	lacks   uint64 // what the accused has not been seen to hold; 0: it does not answer calls
	old     []Old
}

// Old is a copy that a read found to be older than the reader's.
type Old struct {
	Member Member
	Rank   uint64
}

type call struct {
	id    string
	entry *Entry // nil: a read
	since int64
	sent  int64
	whole bool  // the receiver was sent the entry: from then on its rank will do
	heard int64 // when it was last refused: its receiver lives
}

const (
	mostWaiting = 256
	mostAsked   = 4 // an older program answers no rank: then it is sent the entry after all
)

// New returns a chain of one that knows no view. nonce sets its calls apart from those of
// its earlier lives.
func New(cfg Config, self Member, held Entry, nonce string, breaks Breaks) *Machine {
	return &Machine{cfg: cfg, self: self, held: held, nonce: nonce, breaks: breaks}
}

// Held is the entry that is kept here.
func (m *Machine) Held() Entry { return m.held }

// Sure is the highest rank known to be acknowledged.
func (m *Machine) Sure() uint64 { return m.sure }

// Keep keeps an entry if it ranks above the one that is kept.
func (m *Machine) Keep(e Entry) {
	if e.Rank > m.held.Rank {
		m.held, m.dirty = e, true
	}
}

// Dirty tells whether what is kept has changed since it was last asked.
func (m *Machine) Dirty() bool {
	d := m.dirty
	m.dirty = false
	return d
}

// Adopt takes a view over. The entry that goes with it was kept before.
func (m *Machine) Adopt(now int64, v View) {
	if m.held.Rank < v.Base {
		panic(fmt.Sprintf("invariant: %s is in epoch %d and holds rank %d below its base %d", m.self, v.Epoch, m.held.Rank, v.Base))
	}
	m.view, m.sealed, m.passing = v, false, Entry{}
	for _, w := range m.waiting {
		m.refuse(w, "the view has changed")
	}
	for _, w := range m.reads {
		m.refuse(w, "the view has changed")
	}
	m.waiting, m.reads = nil, nil
	if v.Head() == m.self && m.held.Rank > 0 {
		m.pass(now, m.held, true) // what the tail may not have
	}
	for i := range m.queue {
		m.queue[i].sent, m.queue[i].whole = 0, false
	}
}

// Seal has the member refuse to go on in its view.
func (m *Machine) Seal() { m.sealed = !m.breaks.NoSeal }

// Sealed tells whether it does.
func (m *Machine) Sealed() bool { return m.sealed }

// Accused is the member that does not move on, if any; asking clears it. lacks is the rank
// that it was passed and did not acknowledge: one that is known to hold it waits for others
// itself, and is not to blame.
func (m *Machine) Accused() (x Member, lacks uint64, is bool) {
	x, lacks = m.accused, m.lacks
	m.accused, m.lacks = Member{}, 0
	return x, lacks, x != Member{}
}

// View is the view in force here.
func (m *Machine) View() View { return m.view }

// Old returns the copies that reads found old since it was last asked.
func (m *Machine) Old() []Old {
	old := m.old
	m.old = nil
	return old
}

// Mend sends a member the entry that is kept here.
func (m *Machine) Mend(to Member) {
	held := m.held
	m.send(to, Message{Kind: Mend, Epoch: m.view.Epoch, Rank: held.Rank, Entry: &held})
}

// Take returns what is to be sent and told since it was last asked.
func (m *Machine) Take() ([]Message, []Result) {
	out, results := m.out, m.results
	m.out, m.results = nil, nil
	return out, results
}

func (m *Machine) send(to Member, msg Message) {
	msg.From, msg.To = m.self, to
	m.out = append(m.out, msg)
}

func (m *Machine) refuse(w waiter, why string) {
	m.send(w.from, Message{Kind: Done, ID: w.id, Why: why})
}

// Put asks for an entry to be acknowledged; the Result comes under the id returned.
func (m *Machine) Put(now int64, e Entry) string { return m.ask(now, &e) }

// Get asks for the newest acknowledged entry.
func (m *Machine) Get(now int64) string { return m.ask(now, nil) }

func (m *Machine) ask(now int64, e *Entry) string {
	m.numbers++
	id := fmt.Sprintf("%s.%d", m.nonce, m.numbers)
	if len(m.queue) >= mostWaiting {
		m.results = append(m.results, Result{ID: id, Why: "too many callers wait"})
		return id
	}
	m.queue = append(m.queue, call{id: id, entry: e, since: now})
	m.forward(now)
	return id
}

// forward sends the calls made here to the head or the tail.
func (m *Machine) forward(now int64) {
	for i := range m.queue {
		c := &m.queue[i]
		if c.sent != 0 && now-c.sent < m.cfg.Resend || len(m.view.Chain) == 0 {
			continue
		}
		c.sent = max(now, 1)
		if c.entry != nil {
			msg := Message{Kind: Enter, ID: c.id, Epoch: m.view.Epoch, Rank: c.entry.Rank}
			if !c.whole {
				msg.Entry, c.whole = c.entry, true
			}
			m.send(m.view.Head(), msg)
		} else {
			m.send(m.view.Tail(), Message{Kind: Read, ID: c.id, Epoch: m.view.Epoch})
		}
	}
}

func (m *Machine) end(id string, r Result) {
	for i, c := range m.queue {
		if c.id == id {
			m.queue = slices.Delete(m.queue, i, i+1)
			r.ID = id
			m.results = append(m.results, r)
			return
		}
	}
}

func (m *Machine) at() int { return slices.Index(m.view.Chain, m.self) }

// next is the member behind this one, if there is one.
func (m *Machine) next() (Member, bool) {
	if i := m.at(); i >= 0 && i+1 < len(m.view.Chain) {
		return m.view.Chain[i+1], true
	}
	return Member{}, false
}

// pass sends an entry on along the chain; the tail acknowledges it. known: the next member
// most likely holds it, and its rank alone goes there; one that does not says so. Entries
// are large, and links and machines may be slow: sent again whole they would hold up
// themselves.
func (m *Machine) pass(now int64, e Entry, known bool) {
	n, ok := m.next()
	if !ok {
		m.acknowledged(now, e.Rank)
		return
	}
	if m.passing.Rank == 0 {
		m.passAt, m.first = now, e.Rank
	}
	m.passing, m.passSent = e, now
	msg := Message{Kind: Pass, Epoch: m.view.Epoch, Rank: e.Rank}
	if m.asked++; !known || m.asked >= mostAsked {
		msg.Entry, m.asked = &e, 0
	}
	m.send(n, msg)
	if m.breaks.AckEarly && m.at() == 0 {
		m.acknowledged(now, e.Rank)
	}
}

// acknowledged notes that all from here to the tail hold a rank, and tells those before.
func (m *Machine) acknowledged(now int64, rank uint64) {
	if rank >= m.passing.Rank {
		m.passing = Entry{}
	} else if rank >= m.first {
		m.passAt, m.first = now, m.passing.Rank
	}
	m.sure = max(m.sure, rank)
	if i := m.at(); i > 0 {
		m.send(m.view.Chain[i-1], Message{Kind: Ack, Epoch: m.view.Epoch, Rank: rank})
		return
	}
	m.waiting = slices.DeleteFunc(m.waiting, func(w waiter) bool {
		if w.rank > rank {
			return false
		}
		m.send(w.from, Message{Kind: Done, ID: w.id, Rank: rank})
		return true
	})
}

// Got takes a message of the chain.
func (m *Machine) Got(now int64, msg Message) {
	current := msg.Epoch == m.view.Epoch && !m.sealed
	switch msg.Kind {
	case Enter:
		m.entered(now, msg)
	case Done:
		if msg.Why != "" {
			m.again(msg.ID, now)
			return
		}
		m.end(msg.ID, Result{OK: true})
	case Pass:
		i := m.at()
		if !current || i <= 0 || m.view.Chain[i-1] != msg.From || msg.Rank < m.passing.Rank { // an older one that comes late is behind it
			return
		}
		switch {
		case m.passing.Rank == msg.Rank: // on its way, and asked for again from here
		case msg.Entry != nil:
			m.Keep(*msg.Entry)
			m.pass(now, *msg.Entry, false)
		case m.held.Rank == msg.Rank:
			m.pass(now, m.held, true)
		default:
			m.send(msg.From, Message{Kind: Lacks, Epoch: msg.Epoch, Rank: msg.Rank})
		}
	case Lacks:
		if n, ok := m.next(); ok && current && n == msg.From && m.passing.Rank == msg.Rank {
			m.pass(now, m.passing, false)
		}
	case Ack:
		if n, ok := m.next(); ok && current && n == msg.From {
			m.acknowledged(now, msg.Rank)
		}
	case Read:
		m.read(now, msg)
	case Stand:
		if m.view.Epoch == msg.Epoch && !m.sealed && m.view.Has(m.self) {
			m.send(msg.From, Message{Kind: Stands, Epoch: msg.Epoch, ID: msg.ID, Rank: m.held.Rank})
		}
	case Mend:
		if msg.Entry != nil && m.view.Has(msg.From) {
			m.Keep(*msg.Entry)
		}
	case Stands:
		if msg.Rank < m.held.Rank && m.view.Has(msg.From) && len(m.old) < mostWaiting {
			m.old = append(m.old, Old{msg.From, msg.Rank})
		}
		for i := range m.reads {
			if w := &m.reads[i]; w.id == msg.ID && msg.Epoch == m.view.Epoch && m.view.Has(msg.From) {
				w.asked[msg.From] = true
				m.stands(i)
				return
			}
		}
	case Waits:
		for i := range m.queue {
			if m.queue[i].id == msg.ID {
				m.queue[i].heard = now
			}
		}
	case Told:
		if msg.Why != "" {
			m.again(msg.ID, now)
			return
		}
		r := Result{OK: true}
		if msg.Entry != nil {
			r.Entry = *msg.Entry
		}
		m.end(msg.ID, r)
	}
}

// again has a call that was refused for the view's sake go out once more, a little later.
func (m *Machine) again(id string, now int64) {
	for i := range m.queue {
		if m.queue[i].id == id {
			m.queue[i].sent, m.queue[i].heard, m.queue[i].whole = max(now-m.cfg.Resend/2, 1), now, false
		}
	}
}

func (m *Machine) entered(now int64, msg Message) {
	w := waiter{id: msg.ID, from: msg.From, since: now}
	switch {
	case m.view.Head() != m.self || m.sealed:
		m.refuse(w, "not the head")
		return
	case msg.Entry == nil && Version(msg.Rank) > Version(m.held.Rank):
		m.refuse(w, "not known here")
		return
	case len(m.waiting) >= mostWaiting:
		m.refuse(w, "too many wait")
		return
	}
	// A version not above the one that is held alters nothing; it is acknowledged once
	// that one is.
	if msg.Entry != nil && Version(msg.Entry.Rank) > Version(m.held.Rank) {
		m.Keep(*msg.Entry)
	}
	w.rank = m.held.Rank
	if m.sure >= w.rank {
		m.send(w.from, Message{Kind: Done, ID: w.id, Rank: m.sure})
		return
	}
	if slices.ContainsFunc(m.waiting, func(o waiter) bool { return o.id == w.id }) {
		m.send(w.from, Message{Kind: Waits, ID: w.id})
		return
	}
	m.waiting = append(m.waiting, w)
	m.pass(now, m.held, m.passing.Rank == m.held.Rank)
}

func (m *Machine) read(now int64, msg Message) {
	w := waiter{id: msg.ID, from: msg.From, since: now, sentAt: now, asked: map[Member]bool{m.self: true}}
	if m.view.Tail() != m.self || m.sealed || len(m.reads) >= mostWaiting {
		m.send(w.from, Message{Kind: Told, ID: w.id, Why: "not the tail"})
		return
	}
	if slices.ContainsFunc(m.reads, func(o waiter) bool { return o.id == w.id }) {
		m.send(w.from, Message{Kind: Waits, ID: w.id})
		return
	}
	m.reads = append(m.reads, w)
	if !m.breaks.StaleRead {
		m.stand(w)
	}
	m.stands(len(m.reads) - 1)
}

func (m *Machine) stand(w waiter) {
	for _, o := range m.view.Members {
		if o != m.self && !w.asked[o] {
			m.send(o, Message{Kind: Stand, Epoch: m.view.Epoch, ID: w.id})
		}
	}
}

// stands answers a read once most members say that the view stands: had another taken
// over before the read began, most of them would have promised it.
func (m *Machine) stands(i int) {
	w := m.reads[i]
	if len(w.asked) < m.view.Most() && !m.breaks.StaleRead {
		return
	}
	m.reads = slices.Delete(m.reads, i, i+1)
	held := m.held
	m.send(w.from, Message{Kind: Told, ID: w.id, Entry: &held})
}

// Tick sends again what has no answer, complains of who does not move on, and gives up
// what has waited too long.
func (m *Machine) Tick(now int64) {
	if n, ok := m.next(); ok && m.passing.Rank != 0 && !m.sealed {
		if now-m.passSent >= m.cfg.Resend {
			m.pass(now, m.passing, true)
		}
		if now-m.passAt >= m.cfg.Stuck {
			m.accused, m.lacks = n, m.first
		}
	}
	for i := range m.reads {
		if w := &m.reads[i]; now-w.sentAt >= m.cfg.Resend {
			w.sentAt = now
			m.stand(*w)
		}
	}
	old := func(w waiter) bool { return now-w.since >= m.cfg.Wait }
	m.waiting = slices.DeleteFunc(m.waiting, old)
	m.reads = slices.DeleteFunc(m.reads, old)
	for _, c := range slices.Clone(m.queue) {
		if now-c.since >= m.cfg.Wait {
			m.end(c.id, Result{Why: "no answer from the chain in time"})
		} else if c.sent != 0 && now-max(c.since, c.heard) >= m.cfg.Stuck && len(m.view.Chain) > 0 {
			x := m.view.Head()
			if c.entry == nil {
				x = m.view.Tail()
			}
			if x != m.self {
				m.accused, m.lacks = x, 0
			}
		}
	}
	m.forward(now)
}
