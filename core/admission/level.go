package admission

import "time"

const (
	// levelInterval is the least time between two updates of the level.
	levelInterval = 50 * time.Millisecond
	// feedbackIntervals is the number of intervals until a change of the level
	// shows in the calls offered.
	feedbackIntervals = 2
	// minKnownShare is the admitted share of a class above which its demand can be
	// estimated.
	minKnownShare = 1.0 / 512
	// newestWeight is the weight of the newest interval in the moving averages.
	newestWeight = 0.3
	// jumpWeight is its weight when the offered rate is more than jumpRatio times
	// its average.
	jumpRatio  = 1.5
	jumpWeight = 0.8
	// targetQueueTime is the queueing time that keeps the upstream busy through
	// short lulls, and correctionTime the time in which the level removes a
	// deviation from it.
	targetQueueTime = 30 * time.Millisecond
	correctionTime  = 400 * time.Millisecond
	// While the upstream has spare capacity, the rate that it is to be offered is
	// increased by a factor. The factor starts from firstIncrease and is multiplied
	// by increaseGrowth in each interval up to maxIncrease, because a change of the
	// level takes some intervals to show.
	firstIncrease  = 1.05
	increaseGrowth = 1.1
	maxIncrease    = 2.0
	// When that factor exceeds forcedIncrease, enough intervals have passed for a
	// change of the level to show. From then on, each interval raises the priority
	// of the level by the factor, and by at least minRise priorities.
	forcedIncrease = 1.4
	minRise        = 1
	// minOfferRatio and maxOfferRatio bound the rate that a saturated upstream is
	// offered, as a share of its completion rate.
	minOfferRatio = 0.6
	maxOfferRatio = 1.2
	// initialHighestPriority is the highest priority number that is admitted of a
	// class when its calls begin to be admitted.
	initialHighestPriority = Priorities / 8
)

// levelController finds the admission level: the highest rank for which the
// calls offered per second do not exceed those that the upstream completes. The
// level is reported to other nodes, which refuse the calls above it at the entry.
// These calls are not offered here, so the demand of each class is estimated from
// the share of it that the level admits.
type levelController struct {
	level Rank
	// classes is the number of classes in use.
	classes int
	// completionRate is the moving average of the completions per second while
	// calls wait: an estimate of the capacity of the upstream.
	completionRate float64
	// offeredRate is the calls offered per second of each class and admittedShare
	// the share of the class that was admitted, both as moving averages; demand is
	// the calls per second that would be offered if all were admitted.
	offeredRate, admittedShare, demand [MaxClasses]float64
	// pastLevels holds the levels of the last intervals, the oldest first.
	pastLevels [feedbackIntervals]Rank

	intervalStartedAt time.Duration
	// offers and completed count the calls of this interval.
	offers    [MaxClasses]int
	completed int
	// saturated is true if a call could not run at once in this interval.
	saturated bool
	// hadQueue is true if calls were waiting when this interval started.
	hadQueue bool
	// increase is the factor by which the last interval with spare capacity raised
	// the rate to be offered, firstIncrease if the upstream was saturated since.
	increase float64
}

func newLevelController() levelController {
	l := levelController{level: RankAll, classes: MaxClasses, increase: firstIncrease}
	for i := range l.pastLevels {
		l.pastLevels[i] = RankAll
	}
	for i := range l.admittedShare {
		l.admittedShare[i] = 1
	}
	return l
}

func (l *levelController) countOffer(r Rank) {
	l.offers[r.class()]++
}

// tick updates the level once in each interval; queued is the number of waiting
// calls.
func (l *levelController) tick(now time.Duration, queued int) {
	elapsed := now - l.intervalStartedAt
	if elapsed < levelInterval {
		return
	}
	l.intervalStartedAt = now
	l.updateCompletionRate(float64(l.completed)/elapsed.Seconds(), queued > 0)
	offered := l.updateDemand(elapsed)
	saturated := l.saturated || queued > 0
	l.completed, l.saturated, l.offers = 0, false, [MaxClasses]int{}
	if l.level == RankAll && float64(queued) <= l.completionRate*targetQueueTime.Seconds() {
		return
	}
	previous := l.level
	l.setLevel(l.targetRate(saturated, offered, queued))
	if !saturated && l.increase > forcedIncrease {
		l.forceRise(previous)
	}
}

// forceRise raises the level above the previous one. Otherwise an upstream with
// spare capacity could keep a low level, because the demand of a class cannot be
// estimated while the admitted share of the class is too small.
func (l *levelController) forceRise(previous Rank) {
	step := max(minRise, float64(previous.priority())*(l.increase-1))
	raised := int(previous) + int(step)
	if raised >= int(RankOf(uint8(l.classes-1), Priorities-1)) {
		l.level = RankAll
		return
	}
	l.level = max(l.level, Rank(raised))
}

// updateCompletionRate adds the completions per second of one interval to the
// moving average. An interval counts if calls waited at its start and its end, as
// only a busy upstream shows its highest rate, or if its rate is above the average.
func (l *levelController) updateCompletionRate(rate float64, hasQueue bool) {
	if (l.hadQueue && hasQueue) || rate > l.completionRate {
		l.completionRate += newestWeight * (rate - l.completionRate)
	}
	l.hadQueue = hasQueue
}

// updateDemand adds the offers of one interval to the moving averages and returns
// the average calls offered per second, all classes together. The calls offered
// now were admitted under the level of feedbackIntervals ago.
func (l *levelController) updateDemand(elapsed time.Duration) float64 {
	total := 0.0
	for class := range l.classes {
		offered := float64(l.offers[class]) / elapsed.Seconds()
		l.offeredRate[class] += weightOf(offered, l.offeredRate[class]) * (offered - l.offeredRate[class])
		l.admittedShare[class] += newestWeight * (shareOf(class, l.pastLevels[0]) - l.admittedShare[class])
		if l.admittedShare[class] > minKnownShare {
			l.demand[class] = l.offeredRate[class] / l.admittedShare[class]
		}
		total += l.offeredRate[class]
	}
	copy(l.pastLevels[:], l.pastLevels[1:])
	l.pastLevels[len(l.pastLevels)-1] = l.level
	return total
}

// weightOf returns the weight of the newest interval in the offered rate. A jump
// of the rate has a higher weight, because work that is admitted until the level
// falls is wasted.
func weightOf(offered, average float64) float64 {
	if offered > jumpRatio*average {
		return jumpWeight
	}
	return newestWeight
}

// shareOf returns the share of a class that a level admits.
func shareOf(class int, level Rank) float64 {
	switch {
	case class < level.class():
		return 1
	case class > level.class():
		return 0
	}
	return float64(level.priority()+1) / Priorities
}

// targetRate returns the calls per second that the upstream should be offered.
func (l *levelController) targetRate(saturated bool, offered float64, queued int) float64 {
	if !saturated {
		l.increase = min(l.increase*increaseGrowth, maxIncrease)
		return max(offered, l.completionRate) * l.increase
	}
	l.increase = firstIncrease
	if l.completionRate == 0 {
		return offered
	}
	queueTime := float64(queued) / l.completionRate
	correction := 1 + (targetQueueTime.Seconds()-queueTime)/correctionTime.Seconds()
	return l.completionRate * min(max(correction, minOfferRatio), maxOfferRatio)
}

// setLevel sets the level at which targetRate calls per second are offered. A
// class that the upstream has the capacity to serve completely is not cut to
// shorten the queue, because its calls overtake those of the less important
// classes there. The class after that of the present level starts with few
// priorities.
func (l *levelController) setLevel(targetRate float64) {
	currentClass, remaining, capacity := l.level.class(), targetRate, l.completionRate
	for class := 0; class < l.classes; class++ {
		if class > currentClass {
			l.level = RankOf(uint8(class), min(initialHighestPriority, uint16(highestPriority(remaining, l.demand[class]))))
			return
		}
		if remaining < l.demand[class] && capacity < l.demand[class] {
			l.level = RankOf(uint8(class), uint16(highestPriority(remaining, l.demand[class])))
			return
		}
		remaining = max(0, remaining-l.demand[class])
		capacity -= l.demand[class]
	}
	l.level = RankAll
}

// highestPriority returns the highest priority number to admit of a class with
// the given demand so that it offers at most rate calls per second.
func highestPriority(rate, demand float64) float64 {
	if demand <= rate {
		return Priorities - 1
	}
	return max(0, rate/demand*Priorities-1)
}
