package origin

// Answer is what a VM knows of a stream.
type Answer struct {
	Knowledge Knowledge
	// Origin is valid if Knowledge is Known.
	Origin Origin
	// Sole is the only software version that the stream's service was listed with for longer than a stream lasts; it is valid if HasSole.
	Sole    string
	HasSole bool
}

// Lookup combines what several VMs know of the origin of one stream.
type Lookup struct {
	service string
	// listed are the versions that the service is listed with now.
	listed  []string
	waiting map[string]bool
	found   Answer
	// answers counts those of control VMs, and sole those among them whose sole version is software.
	answers, sole int
	software      string
}

// NewLookup returns a lookup for a stream of a service, with what this VM knows itself and the versions that the service is listed with.
func NewLookup(service string, own Answer, listed []string) *Lookup {
	return &Lookup{service: service, listed: listed, waiting: map[string]bool{}, found: own}
}

// Ask adds VMs whose answer is due.
func (l *Lookup) Ask(names []string) {
	for _, name := range names {
		l.waiting[name] = true
	}
}

// Waiting returns whether the answer of a VM is due.
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
	if !control {
		return
	}
	l.answers++
	if a.HasSole && (l.sole == 0 || a.Sole == l.software) {
		l.sole++
		l.software = a.Sole
	}
}

// Found reports whether a VM has a record of the stream.
func (l *Lookup) Found() bool { return l.found.Knowledge != Unknown }

// Done reports whether nothing more is to be waited for.
func (l *Lookup) Done() bool { return l.Found() || len(l.waiting) == 0 }

// Answered reports whether a control VM has answered.
func (l *Lookup) Answered() bool { return l.answers > 0 }

// Result returns the origin of the stream and from where it is known: a record, or that one version alone has served by all control VMs
// that have answered.
func (l *Lookup) Result() (origin Origin, knowledge Knowledge, isRecord bool) {
	if l.found.Knowledge != Unknown {
		return l.found.Origin, l.found.Knowledge, true
	}
	// The list of a VM that reaches no control VM may be older than the first streams of a new version.
	software := l.software
	if l.answers == 0 || l.sole < l.answers {
		return Origin{}, Unknown, false
	}
	for _, listed := range l.listed {
		if listed != software {
			return Origin{}, Unknown, false
		}
	}
	return Origin{Service: l.service, Software: software}, Known, false
}
