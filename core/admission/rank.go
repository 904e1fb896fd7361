package admission

// Rank orders calls: a lower one matters more. The class stands in the high
// bits; the low bits are the call's priority within its class, which is drawn
// once at the entry and goes down the whole chain with the call, so that every
// layer under pressure keeps the same calls.
type Rank uint16

const (
	priorityBits = 10
	// Priorities is the number of priorities within a class.
	Priorities = 1 << priorityBits
	// MaxClasses is the number of classes a Rank tells apart; those beyond
	// share the last.
	MaxClasses = 1 << (16 - priorityBits)
	// RankAll admits every call.
	RankAll Rank = 0xffff
)

// RankOf returns the rank of a call of the given class and priority.
func RankOf(class uint8, priority uint16) Rank {
	c := min(Rank(class), MaxClasses-1)
	return c<<priorityBits | min(Rank(priority), Priorities-1)
}

func (r Rank) class() int { return int(r >> priorityBits) }

func (r Rank) priority() int { return int(r & (Priorities - 1)) }
