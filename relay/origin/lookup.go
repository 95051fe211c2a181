package origin

// Answer is what a VM knows of a stream.
type Answer struct {
	Knowledge Knowledge
	// Origin is valid if Knowledge is Known.
	Origin Origin
	// Listed has the versions that the stream's service was listed with for as long as a stream lasts.
	Listed Listed
}

// Lookup combines what several VMs know of the origin of one stream.
type Lookup struct {
	service string
	// listed are the versions that the service is listed with now.
	listed []string
	// confirmed is set once this VM has read the list after the lookup began.
	confirmed bool
	waiting   map[string]bool
	found     Answer
	// answers are those of this VM and of others; answered counts those of control VMs.
	answers  []Listed
	answered int
}

// NewLookup returns a lookup for a stream of a service, with what this VM knows itself and the versions that the service is listed with.
func NewLookup(service string, own Answer, listed []string) *Lookup {
	return &Lookup{service: service, listed: listed, waiting: map[string]bool{}, found: own, answers: []Listed{own.Listed}}
}

// Ask adds VMs whose answer is due.
func (l *Lookup) Ask(names []string) {
	for _, name := range names {
		l.waiting[name] = true
	}
}

// Waiting reports whether the answer of a VM is due.
func (l *Lookup) Waiting(name string) bool { return l.waiting[name] }

// Add adds the answer of a VM; control is set for one of a control VM.
func (l *Lookup) Add(from string, control bool, a Answer) {
	if !l.waiting[from] {
		return
	}
	delete(l.waiting, from)
	switch {
	case a.Knowledge == Unknown:
	case l.found.Knowledge == Unknown:
		l.found = a
	case a.Knowledge == Several || a.Origin != l.found.Origin:
		l.found = Answer{Knowledge: Several}
	}
	l.answers = append(l.answers, a.Listed)
	if control {
		l.answered++
	}
}

// Confirm adds what this VM knows after the list has been read again, so that the list has each version at which a stream may have begun
// before the lookup.
func (l *Lookup) Confirm(own Listed, listed []string) {
	l.answers, l.listed, l.confirmed = append(l.answers, own), listed, true
}

// Unconfirmed reports whether the origin is known once Confirm adds no other version.
func (l *Lookup) Unconfirmed() bool {
	if l.Found() || l.confirmed {
		return false
	}
	_, ok := l.sole()
	return ok
}

// Found reports whether a VM has a record of the stream.
func (l *Lookup) Found() bool { return l.found.Knowledge != Unknown }

// Done reports whether nothing more is to be waited for.
func (l *Lookup) Done() bool { return l.Found() || len(l.waiting) == 0 }

// Answered reports whether a control VM has answered.
func (l *Lookup) Answered() bool { return l.answered > 0 }

// Result returns the origin of the stream and from where it is known: a record, or that one version alone has been listed.
func (l *Lookup) Result() (origin Origin, knowledge Knowledge, isRecord bool) {
	if l.Found() {
		return l.found.Origin, l.found.Knowledge, true
	}
	if software, ok := l.sole(); ok && l.confirmed {
		return Origin{Service: l.service, Software: software}, Known, false
	}
	return Origin{}, Unknown, false
}

// sole returns the only version that the service was listed with for as long as a stream lasts: one VM must have read the list for the
// whole time, and none may know of another version. Each list may be older than the first streams of a new version, also that of a control
// VM, which may be cut off together with this VM; Confirm has to follow.
func (l *Lookup) sole() (software string, ok bool) {
	if len(l.listed) == 0 || l.answered == 0 {
		return "", false
	}
	software = l.listed[0]
	for _, listed := range l.listed {
		if listed != software {
			return "", false
		}
	}
	for _, a := range l.answers {
		if a.Count > 1 || a.Count == 1 && a.Software != software {
			return "", false
		}
		ok = ok || a.Coverage == Full && a.Count == 1
	}
	return software, ok
}
