package admission

// Rank orders calls by importance, the most important having the lowest rank. The
// high bits hold the class of the call and the low bits its priority within the
// class. The priority is drawn once at the entry, the node at which a request
// enters, and passed down the whole call chain, so that all overloaded services of
// a chain keep the same calls.
type Rank uint16

const (
	priorityBits = 10
	// Priorities is the number of priorities within a class.
	Priorities = 1 << priorityBits
	// MaxClasses is the number of classes that a Rank distinguishes; any further
	// classes are treated as the last one.
	MaxClasses = 1 << (16 - priorityBits)
	// RankAll is the level that admits every call.
	RankAll Rank = 0xffff
)

// RankOf returns the rank of a call of the given class and priority.
func RankOf(class uint8, priority uint16) Rank {
	c := min(Rank(class), MaxClasses-1)
	return c<<priorityBits | min(Rank(priority), Priorities-1)
}

func (r Rank) class() int { return int(r >> priorityBits) }

func (r Rank) priority() int { return int(r & (Priorities - 1)) }
