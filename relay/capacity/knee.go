package capacity

import (
	"math"
	"time"
)

const (
	// kneeDecay is the time constant of the observations by level.
	kneeDecay = 30 * time.Second
	// maxKneeCount bounds the observations of a level, so that a knee is tried again soon after the last ones above it.
	maxKneeCount = 100
	// minKneeCount is the least number of observations above and below a knee.
	minKneeCount = 24
	// kneeFactor is the least factor by which a server is slower above its knee.
	kneeFactor = 1.2
	// kneeDuration is the time for which a lower knee must be found: a server in a moment of neighbours is both slow and loaded.
	kneeDuration = 2 * time.Second
	// kneeZ is the number of standard errors within which a lower throughput counts as chance.
	kneeZ = 3.0
	// kneeTrial is the time after which a knee without evidence is raised by a level.
	kneeTrial = 10 * time.Second
)

// knee finds the load from which a server slows down more than its group.
type knee struct {
	// level is the number of levels below the knee, Levels if there is none.
	level     int
	changedAt time.Duration
	// foundSince is the time from which a lower knee has been found, 0 if none is.
	foundSince time.Duration
	levels     [Levels]struct {
		sum
		weight float64
		at     time.Duration
	}
}

func newKnee() knee { return knee{level: Levels} }

// below reports whether observations of a level show the speed: they are below the knee, or none is known.
func (k *knee) below(level int) bool { return level < k.level || k.level == Levels }

// add records observations, relative to the server's own factor.
func (k *knee) add(now time.Duration, level int, observed sum) {
	if level == overfull {
		return
	}
	l := &k.levels[level]
	weight := l.weight * math.Exp(-float64(now-l.at)/float64(kneeDecay))
	if weight < l.weight {
		l.total *= weight / l.weight
	}
	l.weight, l.at = weight+float64(observed.count), now
	l.total += observed.total
	if l.weight > maxKneeCount {
		l.total *= maxKneeCount / l.weight
		l.weight = maxKneeCount
	}
}

// clear forgets the observations by level, which an unknown change of speed has biased: a server that turns slow is loaded more.
func (k *knee) clear() { k.levels = newKnee().levels }

// update computes the knee anew and reports whether it changed. The curve is that of the group, deviation the standard deviation of
// an observation, of which z standard errors count as chance.
func (k *knee) update(now time.Duration, curve []runningMean, deviation, z float64) bool {
	found := k.find(now, curve, deviation, z)
	if found >= k.level {
		k.foundSince = 0
	}
	switch {
	case found < k.level:
		if k.foundSince == 0 {
			k.foundSince = now
		}
		if now-k.foundSince < kneeDuration {
			return false
		}
		k.level, k.changedAt, k.foundSince = found, now, 0
		return true
	case found > k.level && now-k.changedAt >= kneeTrial:
		k.level, k.changedAt = k.level+1, now
		return true
	case found == k.level:
		k.changedAt = now
	}
	return false
}

// find returns the number of levels up to the one of the highest throughput, the load over the time, if that is lower at higher
// loads by more than chance, and Levels otherwise.
func (k *knee) find(now time.Duration, curve []runningMean, deviation, z float64) int {
	var weights, throughput [Levels]float64
	best := -1
	for i := range k.levels {
		l := &k.levels[i]
		weights[i] = l.weight * math.Exp(-float64(now-l.at)/float64(kneeDecay))
		if weights[i] < minKneeCount || curve[i].count < minCurve {
			weights[i] = 0
			continue
		}
		throughput[i] = math.Log(float64(i+1)) - curve[i].value - l.total/l.weight
		if best < 0 || throughput[i] > throughput[best] {
			best = i
		}
	}
	if best < 0 {
		return Levels
	}
	weight, total := 0.0, 0.0
	for i := best + 1; i < Levels; i++ {
		weight += weights[i]
		total += weights[i] * throughput[i]
	}
	if weight == 0 {
		return Levels
	}
	loss := throughput[best] - total/weight
	if loss > max(math.Log(kneeFactor), z*deviation*math.Sqrt(1/weights[best]+1/weight)) {
		return best + 1
	}
	return Levels
}
