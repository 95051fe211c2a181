package origin

import "time"

// maxGap is the longest time between two readings of the list of upstreams between which no version is missed: an upstream is listed for
// longer, also if it ends at once.
const maxGap = 5 * time.Second

// History has the software versions that each service was listed with.
type History struct {
	// since is the first of the readings without a longer gap, readAt the last one.
	since, readAt time.Duration
	read          bool
	// seenAt is when each version of each service was last listed.
	seenAt map[string]map[string]time.Duration
}

// NewHistory returns a history without readings.
func NewHistory() *History { return &History{seenAt: map[string]map[string]time.Duration{}} }

// Observe adds the versions of each service by a list that was read at a time.
func (h *History) Observe(readAt time.Duration, origins []Origin) {
	switch {
	case !h.read || readAt-h.readAt > maxGap:
		h.since, h.readAt, h.read = readAt, readAt, true
	default:
		h.readAt = max(h.readAt, readAt)
	}
	for _, o := range origins {
		versions := h.seenAt[o.Service]
		if versions == nil {
			versions = map[string]time.Duration{}
			h.seenAt[o.Service] = versions
		}
		versions[o.Software] = max(versions[o.Software], readAt)
	}
	for service, versions := range h.seenAt {
		for software, at := range versions {
			if readAt-at > 2*maxRemaining {
				delete(versions, software)
			}
		}
		if len(versions) == 0 {
			delete(h.seenAt, service)
		}
	}
}

// Sole returns the only version that a service was listed with in the given time until now; false if there were several, or if the list
// was not read often enough in that time to tell.
func (h *History) Sole(now time.Duration, service string, window time.Duration) (software string, ok bool) {
	if !h.read || now-h.readAt > maxGap || h.since > now-window {
		return "", false
	}
	for version, at := range h.seenAt[service] {
		if at < now-window {
			continue
		}
		if ok {
			return "", false
		}
		software, ok = version, true
	}
	return software, ok
}
