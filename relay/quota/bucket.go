package quota

import (
	"time"
)

const (
	// headroomSlots and headroomInterval are the length and the resolution of a bucket's memory of its headroom, which bounds refunds.
	headroomSlots    = 64
	headroomInterval = 250 * time.Millisecond
	// minWait is the shortest wait that a denial names: messages take about as long.
	minWait = 10 * time.Millisecond
	// maxWait limits the wait that a denial names; limits may be raised meanwhile.
	maxWait = time.Minute
)

// bucket is the leader's token bucket of one account.
type bucket struct {
	limit Limit
	level float64
	// held is the sum of what VMs hold and have not spent.
	held float64
	// excess is the part of what is held beyond a capacity that was lowered.
	excess float64
	at     time.Duration
	// inheritedUntil is when the tokens of earlier leaders have expired.
	inheritedUntil time.Duration
	// headroom has the least headroom of each of the last intervals, slot the number of the newest one.
	headroom [headroomSlots]float64
	slot     int64
	// deniedAt is when a need was last denied.
	deniedAt time.Duration
}

// capacity is the capacity for the level and the tokens granted by this leader.
func (b *bucket) capacity(rules Rules) float64 {
	if b.at < b.inheritedUntil {
		return rules.interim(b.limit)
	}
	return rules.capacity(b.limit)
}

// advance lets the level grow until now.
func (b *bucket) advance(now time.Duration, rules Rules) {
	if b.at < b.inheritedUntil && now >= b.inheritedUntil {
		// What grew until then stays within the smaller capacity.
		b.grow(b.inheritedUntil-1, rules)
	}
	b.grow(now, rules)
}

func (b *bucket) grow(now time.Duration, rules Rules) {
	elapsed := max(0, now-b.at)
	b.at = max(b.at, now)
	// What is held may exceed the capacity by a debt, of which the level must not recover before it is spent. Only what a lowered limit
	// makes excessive does not count, since VMs drop it.
	over := max(0, b.held-b.capacity(rules))
	b.excess = min(b.excess, over)
	b.level = min(b.level+b.limit.Rate*elapsed.Seconds(), b.capacity(rules)-b.held+b.excess)
	b.recordHeadroom(rules)
}

// recordHeadroom remembers how much the level could have grown without reaching the capacity. Between two calls it only shrinks, so
// that the newest value holds for the intervals without one too.
func (b *bucket) recordHeadroom(rules Rules) {
	headroom := max(0, b.capacity(rules)-b.held+b.excess-b.level)
	slot := int64(b.at / headroomInterval)
	i := slot % headroomSlots
	if slot == b.slot {
		b.headroom[i] = min(b.headroom[i], headroom)
		return
	}
	for n := max(b.slot+1, slot-headroomSlots+1); n <= slot; n++ {
		b.headroom[n%headroomSlots] = headroom
	}
	b.slot = slot
}

// refund returns tokens of requests that were charged up to age ago and have not run. The level is never higher than if they had not
// been charged: that level would have been cut at the capacity where there was less headroom than tokens.
func (b *bucket) refund(tokens float64, age time.Duration) {
	first := int64((b.at - age) / headroomInterval)
	if first <= b.slot-headroomSlots || b.at < age {
		return
	}
	for n := first; n <= b.slot; n++ {
		tokens = min(tokens, b.headroom[n%headroomSlots])
	}
	b.level += tokens
	for n := first; n <= b.slot; n++ {
		b.headroom[n%headroomSlots] -= tokens
	}
}

// reserve is the level below which needs of an urgency get nothing.
func (b *bucket) reserve(rules Rules, urgency uint32) float64 {
	return urgencyReserve * float64(min(urgency, maxReserves)) * min(b.limit.Burst, b.capacity(rules))
}

// target returns the level from which on a need is granted.
func (b *bucket) target(rules Rules, age time.Duration, cost float64, urgency uint32) float64 {
	partial, full := rules.debt(b.limit, age)
	reserve := b.reserve(rules, urgency)
	fromFull := max(reserve+min(cost, max(0, b.capacity(rules)-reserve)), cost-full)
	overdrawn := max(reserve, cost-partial)
	return min(fromFull, overdrawn)
}

// grant takes the tokens of a need from the bucket, or returns the time until there are enough.
func (b *bucket) grant(rules Rules, age time.Duration, cost uint64, urgency uint32) (wait time.Duration, ok bool) {
	target := b.target(rules, age, float64(cost), urgency)
	if b.level >= target {
		b.take(float64(cost))
		return 0, true
	}
	b.deniedAt = b.at
	seconds := (target - b.level) / b.limit.Rate
	if seconds >= maxWait.Seconds() {
		return maxWait, false
	}
	return max(minWait, time.Duration(seconds*float64(time.Second))), false
}

// take moves tokens from the bucket to a VM.
func (b *bucket) take(tokens float64) {
	b.level -= tokens
	b.held += tokens
}

// spare is what VMs may hold beyond their needs: the level above half of the capacity, and nothing of the smaller capacity of a new
// leader.
func (b *bucket) spare(rules Rules) uint64 {
	if b.at < b.inheritedUntil {
		return 0
	}
	return whole(b.level - b.capacity(rules)/2)
}

// setLimit changes the limit. The level is lowered at least in proportion to the limit.
func (b *bucket) setLimit(limit Limit, rules Rules) {
	if b.level > 0 {
		b.level *= kept(b.limit, limit)
	}
	debt := max(0, b.held-b.capacity(rules)) - b.excess
	b.limit = limit
	b.excess = max(0, b.held-b.capacity(rules)-debt)
	b.advance(b.at, rules)
}
