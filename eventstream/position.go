package eventstream

// Position is how far somebody has a stream: a caller, over all the servers that contributed to its
// response. The zero value is the position of somebody who has nothing of the stream. It is not safe
// for concurrent use.
type Position struct {
	// id is the id after which the stream goes on, or "" for its begin. number is its number, if
	// numbered is set.
	id       string
	number   int64
	numbered bool
	// unclear is set if an event without a number came after that.
	unclear bool
	// begun is the number of an event that began after that and broke off, if hasBegun is set.
	begun    int64
	hasBegun bool
	// events counts the events that were taken in.
	events int
}

// After returns the position of somebody who has a stream up to the event with the given id, or
// nothing of it if the id is empty.
func After(id string) Position {
	p := Position{id: id}
	p.number, p.numbered = parseNumber(id)
	return p
}

// LastEventID returns the id of the event after which a server must go on, or "" if it must begin
// at the beginning. It returns false if no server can be told.
func (p *Position) LastEventID() (string, bool) { return p.id, !p.unclear }

// Events returns how many events were taken in.
func (p *Position) Events() int { return p.events }

// IsBegin reports whether nothing of the stream is there.
func (p *Position) IsBegin() bool { return p.id == "" && !p.unclear }

// Number returns the number of the event after which a server must go on, if it has one.
func (p *Position) Number() (int64, bool) { return p.number, p.numbered }

// BrokeOff takes in that the stream broke off inside an event, of which the given block holds what is
// known. An event with that number must follow.
func (p *Position) BrokeOff(cut Block) {
	if number, numbered := cut.Number(); numbered && (!p.numbered || number > p.number) {
		p.begun, p.hasBegun = number, true
	}
}

// Verdict says what a block of a stream is to somebody who has the stream up to a position.
type Verdict uint8

const (
	// New is an event that the reader doesn't have.
	New Verdict = iota + 1
	// Idle is no event. It does no harm and changes nothing.
	Idle
	// Unneeded is an event that the reader has, or fields without an event of a response that has
	// not shown yet that it goes on with the stream.
	Unneeded
	// Skips is an event before which another one is missing that the stream is known to have.
	Skips
	// Foreign is an event that can't be told to belong to the stream.
	Foreign
)

// Follower takes in the response of one server.
type Follower struct {
	position *Position
	// continues is set if events of another response were taken in before.
	continues bool
	// placed is set once an event with a number came, and behind if the reader has what follows
	// the last one of them.
	placed, behind bool
	// took is set once an event was new.
	took bool
	// current is the verdict on the event of which a part was taken in. wasUnclear says whether the
	// position was unclear before it.
	current    Verdict
	wasUnclear bool
}

// Follow returns a follower for the response of one more server.
func (p *Position) Follow() *Follower {
	return &Follower{position: p, continues: p.events > 0}
}

// Take takes in a block, and moves the position behind it if it is new. The parts of an event that
// comes in parts have one verdict, that of the first one. If the event's id comes in a later part, it
// is taken for new, as one of a server that goes on where it was told.
func (f *Follower) Take(b Block) Verdict {
	if b.Begins {
		f.current = f.judge(b)
		f.wasUnclear = f.position.unclear
	}
	if f.current == New {
		f.advance(b)
	}
	return f.current
}

func (f *Follower) judge(b Block) Verdict {
	p := f.position
	number, numbered := b.Number()
	unplaced := f.continues && !f.placed
	switch {
	case b.Ends && !b.IsEvent() && b.HasFields && unplaced:
		return Unneeded
	case b.Ends && !b.IsEvent():
		return Idle
	case numbered && p.numbered && number <= p.number:
		f.placed, f.behind = true, number < p.number
		return Unneeded
	case numbered && p.hasBegun && number > p.begun:
		return Skips
	case numbered:
		f.placed, f.behind = true, false
		return New
	case f.behind:
		return Unneeded
	case unplaced && b.Ends:
		return Foreign
	}
	return New
}

// advance moves the position behind a new block, or behind what is known of its parts. Its id may
// come in any of them. Inside a block no server can go on.
func (f *Follower) advance(b Block) {
	p := f.position
	number, numbered := b.Number()
	switch {
	case !b.Ends:
		p.unclear = true
		return
	case !b.IsEvent():
		p.unclear = f.wasUnclear
		return
	case numbered:
		p.id, p.number, p.numbered = b.ID, number, true
		p.hasBegun = p.hasBegun && p.begun > number
	}
	p.unclear = !numbered
	p.events++
	f.took = true
}

// Took reports whether the response brought an event that was new.
func (f *Follower) Took() bool { return f.took }
