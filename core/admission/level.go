package admission

import "time"

const (
	// levelInterval is the time between two moves of the level.
	levelInterval = 50 * time.Millisecond
	// newsIntervals is the number of intervals that a move takes to show.
	newsIntervals = 2
	// leastShare is the part of a class from which its demand can be told.
	leastShare = 1.0 / 512
	// demandWeight is the weight of the newest interval in the demand.
	demandWeight = 0.3
	// jumpWeight is its weight when it is more than jump times the smoothed one.
	jump       = 1.5
	jumpWeight = 0.8
	// queueTarget is the queue time that keeps the upstream busy through short
	// lulls, and queueSettle the time within which the level corrects it.
	queueTarget = 30 * time.Millisecond
	queueSettle = 400 * time.Millisecond
	// idleOpen is the factor by which an upstream with room is opened further; it
	// grows by idleGrowth with each interval up to idleMost, as the news of a move
	// takes some intervals to show.
	idleOpen   = 1.05
	idleGrowth = 1.1
	idleMost   = 2.0
	// raiseOpen is that factor after the intervals in which a move shows; from
	// then on the level rises by it and by leastRaise priorities at least.
	raiseOpen  = 1.4
	leastRaise = 1
	// levelFall and levelRise bound the share of its rate that a busy upstream
	// is offered after one move.
	levelFall = 0.6
	levelRise = 1.2
	// classStep is the part of a class that is opened at first.
	classStep = Priorities / 8
)

// leveller finds the highest rank that the upstream still has room for: the one
// up to which the calls offered per second are what it completes per second.
// Offers above the level are not counted, so each class's demand is worked out
// from the part of it that is let through.
type leveller struct {
	level Rank
	// classes is the number of classes there are.
	classes int
	// rate is the completions per second, smoothed.
	rate float64
	// seen is the calls offered per second of each class and shares the part of
	// it that was let through, both smoothed; demand is what would be offered,
	// were all let through.
	seen, shares, demand [MaxClasses]float64
	// past holds the levels of the last intervals, the oldest first.
	past [newsIntervals]Rank

	movedAt time.Duration
	offers  [MaxClasses]int
	done    int
	// busy tells that the upstream had no room at some time since the last move.
	busy bool
	// waited tells that calls waited at the last move.
	waited bool
	// open is the factor by which the next interval with room opens it.
	open float64
}

func newLeveller() leveller {
	l := leveller{level: RankAll, classes: MaxClasses, open: idleOpen}
	for i := range l.past {
		l.past[i] = RankAll
	}
	for i := range l.shares {
		l.shares[i] = 1
	}
	return l
}

func (l *leveller) offered(r Rank) {
	l.offers[r.class()]++
}

// tick moves the level when it is time to.
func (l *leveller) tick(now time.Duration, queued int) {
	elapsed := now - l.movedAt
	if elapsed < levelInterval {
		return
	}
	l.movedAt = now
	l.learnRate(float64(l.done)/elapsed.Seconds(), queued > 0)
	offered := l.learnDemand(elapsed)
	busy := l.busy || queued > 0
	l.done, l.busy, l.offers = 0, false, [MaxClasses]int{}
	if l.level == RankAll && float64(queued) <= l.rate*queueTarget.Seconds() {
		return
	}
	before := l.level
	l.move(l.wanted(busy, offered, queued))
	if !busy && l.open > raiseOpen {
		l.raise(before)
	}
}

// raise lifts the level above the one before in any case: an upstream with room
// opens even when the demand was last seen through a share too small to tell it.
func (l *leveller) raise(before Rank) {
	step := max(leastRaise, float64(before.priority())*(l.open-1))
	lifted := int(before) + int(step)
	if lifted >= int(RankOf(uint8(l.classes-1), Priorities-1)) {
		l.level = RankAll
		return
	}
	l.level = max(l.level, Rank(lifted))
}

// learnRate takes in the completions per second of one interval. Only one that
// had calls waiting throughout shows the most that the upstream can do.
func (l *leveller) learnRate(rate float64, waits bool) {
	if (l.waited && waits) || rate > l.rate {
		l.rate += demandWeight * (rate - l.rate)
	}
	l.waited = waits
}

// learnDemand returns the calls offered per second up to the level. What is
// offered now was let through by the level of some intervals ago.
func (l *leveller) learnDemand(elapsed time.Duration) float64 {
	total := 0.0
	for class := range l.classes {
		offered := float64(l.offers[class]) / elapsed.Seconds()
		l.seen[class] += weightOf(offered, l.seen[class]) * (offered - l.seen[class])
		l.shares[class] += demandWeight * (shareOf(class, l.past[0]) - l.shares[class])
		if l.shares[class] > leastShare {
			l.demand[class] = l.seen[class] / l.shares[class]
		}
		total += l.seen[class]
	}
	copy(l.past[:], l.past[1:])
	l.past[len(l.past)-1] = l.level
	return total
}

// weightOf returns the weight of the newest interval: a jump in demand counts at
// once, for what is let in meanwhile is wasted.
func weightOf(offered, seen float64) float64 {
	if offered > jump*seen {
		return jumpWeight
	}
	return demandWeight
}

// shareOf returns the part of a class that a level lets through.
func shareOf(class int, level Rank) float64 {
	switch {
	case class < level.class():
		return 1
	case class > level.class():
		return 0
	}
	return float64(level.priority()+1) / Priorities
}

// wanted returns the calls per second that the upstream should be offered.
func (l *leveller) wanted(busy bool, offered float64, queued int) float64 {
	if !busy {
		l.open = min(l.open*idleGrowth, idleMost)
		return max(offered, l.rate) * l.open
	}
	l.open = idleOpen
	if l.rate == 0 {
		return offered
	}
	wait := float64(queued) / l.rate
	correction := 1 + (queueTarget.Seconds()-wait)/queueSettle.Seconds()
	return l.rate * min(max(correction, levelFall), levelRise)
}

// move sets the level to where rate calls per second are offered. A class that
// the upstream can serve whole is not cut to make up for a queue: its calls pass
// those of the classes below.
func (l *leveller) move(rate float64) {
	top, room, able := l.level.class(), rate, l.rate
	for class := 0; class < l.classes; class++ {
		if class > top {
			l.level = RankOf(uint8(class), min(classStep, uint16(share(room, l.demand[class]))))
			return
		}
		if room < l.demand[class] && able < l.demand[class] {
			l.level = RankOf(uint8(class), uint16(share(room, l.demand[class])))
			return
		}
		room = max(0, room-l.demand[class])
		able -= l.demand[class]
	}
	l.level = RankAll
}

// share returns the priority up to which a class of the given demand offers
// rate calls per second.
func share(rate, demand float64) float64 {
	if demand <= rate {
		return Priorities - 1
	}
	return max(0, rate/demand*Priorities-1)
}
