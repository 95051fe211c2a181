package vm

import "time"

const (
	// boardTimePerEngine is the time between two boards per engine: every VM merges and compares the whole board when any engine of it
	// changes, and in a large rollout some engine changes at each tick.
	boardTimePerEngine = time.Millisecond
	// maxBoardInterval bounds the time between two boards, since requests go to draining engines meanwhile.
	maxBoardInterval = 300 * time.Millisecond
)

// boardPacer decides when a changed board is published. The zero value has nothing to publish.
type boardPacer struct {
	changed     bool
	published   bool
	publishedAt time.Duration
}

// change records whether the board has changed.
func (p *boardPacer) change(changed bool) { p.changed = p.changed || changed }

// due reports whether a changed board is to be published now, and then counts it as published.
func (p *boardPacer) due(now time.Duration, engines int) bool {
	interval := min(maxBoardInterval, time.Duration(engines)*boardTimePerEngine)
	if !p.changed || p.published && now-p.publishedAt < interval {
		return false
	}
	p.changed, p.published, p.publishedAt = false, true, now
	return true
}
