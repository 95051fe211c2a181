package origin

import "time"

// maxGap is the longest time between two readings of the list of upstreams between which no version is missed: an upstream is listed for
// longer, also if it ends at once.
const maxGap = 5 * time.Second

// MaxWait is the longest time after a question within which the list must be read again for its answer to count: with the time before
// the answer it makes no longer gap than maxGap.
const MaxWait = 3 * time.Second

// MaxWindow is the longest time for which Listed may be asked; versions that were last listed before are forgotten.
const MaxWindow = time.Hour

// History has the software versions that each service was listed with.
type History struct {
	// since is the first of the readings without a longer gap, readAt the last one.
	since, readAt time.Duration
	read          bool
	// isNew is set until the first gap if no stream began before the first reading.
	isNew bool
	// seenAt is when each version of each service was last listed.
	seenAt map[string]map[string]time.Duration
}

// HistoryOption configures a History.
type HistoryOption func(*History)

// WithNewSystem tells that no stream began before the first reading, as when the system starts for the first time.
func WithNewSystem() HistoryOption { return func(h *History) { h.isNew = true } }

// SavedHistory is a History as it is kept for a restart of its VM; all times are ages when it was saved.
type SavedHistory struct {
	// Covered is how long the list had been read without a gap, IsNew whether no stream began before.
	Covered time.Duration
	IsNew   bool
	// Ages are the times since each version was last listed.
	Ages map[Origin]time.Duration
}

// WithSaved continues a saved history. Its caller makes sure that the VM was down for so short a time that no version came and went
// meanwhile.
func WithSaved(s SavedHistory) HistoryOption {
	return func(h *History) {
		h.read, h.since, h.isNew = true, -s.Covered, s.IsNew
		for o, age := range s.Ages {
			h.see(o, -age)
		}
	}
}

// NewHistory returns a history without readings.
func NewHistory(options ...HistoryOption) *History {
	h := &History{seenAt: map[string]map[string]time.Duration{}}
	for _, option := range options {
		option(h)
	}
	return h
}

// Observe adds the versions of each service by a list that was read at a time, or later.
func (h *History) Observe(readAt time.Duration, origins []Origin) {
	switch {
	case !h.read || readAt-h.readAt > maxGap:
		h.isNew = h.isNew && !h.read
		h.since, h.readAt, h.read = readAt, readAt, true
	default:
		h.readAt = max(h.readAt, readAt)
	}
	h.See(readAt, origins)
	for service, versions := range h.seenAt {
		for software, at := range versions {
			if readAt-at > MaxWindow+maxGap {
				delete(versions, software)
			}
		}
		if len(versions) == 0 {
			delete(h.seenAt, service)
		}
	}
}

// See adds versions that were listed at a time, or before, without an end to the time since the last reading.
func (h *History) See(at time.Duration, origins []Origin) {
	for _, o := range origins {
		h.see(o, at)
	}
}

// see enters that a version was listed at a time.
func (h *History) see(o Origin, at time.Duration) {
	versions := h.seenAt[o.Service]
	if versions == nil {
		versions = map[string]time.Duration{}
		h.seenAt[o.Service] = versions
	}
	if before, ok := versions[o.Software]; !ok || at > before {
		versions[o.Software] = at
	}
}

// Save returns the history for a restart; false if the list was not read lately.
func (h *History) Save(now time.Duration) (s SavedHistory, ok bool) {
	if !h.read || now-h.readAt > maxGap {
		return SavedHistory{}, false
	}
	s = SavedHistory{Covered: now - h.since, IsNew: h.isNew, Ages: map[Origin]time.Duration{}}
	for service, versions := range h.seenAt {
		for software, at := range versions {
			s.Ages[Origin{service, software}] = now - at
		}
	}
	return s, true
}

// Coverage says how far a History can tell which versions a service was listed with.
type Coverage uint8

const (
	// Blind means that the list was not read within maxGap less MaxWait.
	Blind Coverage = iota
	// Partial means that the list was read often enough, but not for the whole time.
	Partial
	// Full means that no version was missed in the whole time.
	Full
)

// Listed is what a History knows of the versions that a service was listed with in a time.
type Listed struct {
	Coverage Coverage
	// Count is the number of versions, Software the only one if it is 1.
	Count    int
	Software string
}

// Listed returns the versions that a service was listed with in the given time until now, MaxWindow at most.
func (h *History) Listed(now time.Duration, service string, window time.Duration) (l Listed) {
	for version, at := range h.seenAt[service] {
		if at >= now-window {
			l.Count++
			l.Software = version
		}
	}
	if l.Count != 1 {
		l.Software = ""
	}
	switch {
	case !h.read || now-h.readAt > maxGap-MaxWait:
	case h.isNew || h.since <= now-window:
		l.Coverage = Full
	default:
		l.Coverage = Partial
	}
	return l
}
