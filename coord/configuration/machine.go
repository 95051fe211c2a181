package configuration

import (
	"fmt"
	"slices"
)

// Check returns an error when a change must not be applied to the objects; it must be deterministic.
type Check func(objects Objects, change Change) error

// Version is one applied change.
type Version struct {
	Number  uint64
	Command string
	Actor   string
	Changes []Change
}

type kept struct {
	outcome Outcome
	digest  uint64
}

// Machine is the replicated state of the configuration.
type Machine struct {
	check    Check
	history  int
	outcomes int

	inForce  uint64
	newest   uint64
	objects  Objects
	versions []Version
	kept     map[string]*kept
	order    []string
}

// Option changes a setting of a Machine; all replicas must have equal settings.
type Option func(*Machine)

// WithCheck sets the check of each change.
func WithCheck(check Check) Option { return func(m *Machine) { m.check = check } }

// WithHistory sets the number of versions kept for deltas; the default 1,000 covers nine hours at 2,700 changes a day.
func WithHistory(versions int) Option { return func(m *Machine) { m.history = max(versions, 1) } }

// WithOutcomes sets the number of commands whose outcome is kept; the default is 10,000.
func WithOutcomes(commands int) Option { return func(m *Machine) { m.outcomes = max(commands, 1) } }

// New returns a machine at version 0 without objects.
func New(opts ...Option) *Machine {
	m := &Machine{history: 1000, outcomes: 10_000, objects: newObjects(nil), kept: map[string]*kept{}}
	m.check = func(Objects, Change) error { return nil }
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// InForce returns the version that is in force everywhere.
func (m *Machine) InForce() uint64 { return m.inForce }

// Newest returns the pending version, or the one in force when none is pending.
func (m *Machine) Newest() uint64 { return m.newest }

// PendingVersion returns the pending version and whether there is one.
func (m *Machine) PendingVersion() (uint64, bool) { return m.newest, m.newest != m.inForce }

// Objects returns the objects of the newest version.
func (m *Machine) Objects() Objects { return m.objects }

// History returns the kept versions, oldest first; callers must not change them.
func (m *Machine) History() []Version { return m.versions }

// Outcome returns the outcome of a command; its status is Unknown when none is kept.
func (m *Machine) Outcome(id string) Outcome {
	if k, ok := m.kept[id]; ok {
		return k.outcome
	}
	return Outcome{ID: id, Version: m.newest}
}

// Propose applies a committed command; a command sent again gets its first outcome.
func (m *Machine) Propose(command Command) Outcome {
	if command.Numbered {
		return m.replace(command)
	}
	digest := command.digest()
	if k, ok := m.kept[command.ID]; ok {
		if k.digest != digest {
			return Outcome{ID: command.ID, Status: Refused, Reason: Reused, Version: m.newest}
		}
		return k.outcome
	}
	outcome := m.decide(command)
	m.keep(outcome, digest)
	return outcome
}

func (m *Machine) decide(command Command) Outcome {
	outcome := Outcome{ID: command.ID, Status: Refused, Version: m.newest}
	if command.ID == "" {
		outcome.Reason, outcome.Detail = Invalid, "the command has no ID"
		return outcome
	}
	if command.Expected > m.newest {
		outcome.Reason = Ahead
		return outcome
	}
	if command.Expected < m.newest || m.newest != m.inForce {
		return m.lose(command, outcome)
	}
	if err := m.make(command); err != nil {
		outcome.Reason, outcome.Detail = Invalid, err.Error()
		return outcome
	}
	return Outcome{ID: command.ID, Status: Committed, Version: m.newest}
}

// replace applies a numbered command, also while another version is pending: the number alone decides. Its outcome is not
// kept, since the stored number answers a command that is sent again.
func (m *Machine) replace(command Command) Outcome {
	if len(command.Changes) != 1 || command.Changes[0].Remove {
		return Outcome{ID: command.ID, Status: Refused, Reason: Invalid, Version: m.newest, Detail: "a numbered command puts one object"}
	}
	object := command.Changes[0].Object
	held, _ := m.objects.Get(object.Kind, object.Name)
	heldNumber, _ := Numbered(held)
	if number, _ := Numbered(object.Value); number <= heldNumber {
		status := Accepted
		if m.newest != m.inForce {
			status = Committed
		}
		return Outcome{ID: command.ID, Status: status, Version: m.newest}
	}
	if err := m.make(command); err != nil {
		return Outcome{ID: command.ID, Status: Refused, Reason: Invalid, Version: m.newest, Detail: err.Error()}
	}
	return Outcome{ID: command.ID, Status: Committed, Version: m.newest}
}

// make makes the next version.
func (m *Machine) make(command Command) error {
	objects, err := m.applied(command.Changes)
	if err != nil {
		return err
	}
	m.objects = objects
	m.newest++
	m.versions = append(m.versions, Version{Number: m.newest, Command: command.ID, Actor: command.Actor, Changes: command.Changes})
	m.versions = m.versions[max(0, len(m.versions)-m.history):]
	m.assert()
	return nil
}

// lose names the command that won; a command that lost to itself was applied before and its outcome was dropped since.
func (m *Machine) lose(command Command, outcome Outcome) Outcome {
	winner, _ := m.version(command.Expected + 1)
	if winner.Number == 0 {
		winner = m.versions[len(m.versions)-1]
	}
	if winner.Command == command.ID {
		status := Accepted
		if winner.Number > m.inForce {
			status = Committed
		}
		return Outcome{ID: command.ID, Status: status, Version: winner.Number}
	}
	outcome.Reason = Lost
	outcome.Winner = Winner{ID: winner.Command, Actor: winner.Actor, Version: winner.Number}
	return outcome
}

func (m *Machine) applied(changes []Change) (Objects, error) {
	if len(changes) == 0 {
		return m.objects, fmt.Errorf("the command has no changes")
	}
	objects := m.objects.clone()
	for _, change := range changes {
		object := change.Object
		if object.Kind == "" || object.Name == "" {
			return m.objects, fmt.Errorf("an object needs a kind and a name")
		}
		if _, ok := objects.Get(object.Kind, object.Name); change.Remove && !ok {
			return m.objects, fmt.Errorf("%s %s does not exist", object.Kind, object.Name)
		}
		if err := m.check(objects, change); err != nil {
			return m.objects, err
		}
		objects.apply(change)
	}
	return objects, nil
}

func (m *Machine) version(number uint64) (Version, bool) {
	if len(m.versions) == 0 || number < m.versions[0].Number || number > m.newest {
		return Version{}, false
	}
	return m.versions[number-m.versions[0].Number], true
}

func (m *Machine) keep(outcome Outcome, digest uint64) {
	if outcome.ID == "" {
		return
	}
	m.kept[outcome.ID] = &kept{outcome: outcome, digest: digest}
	m.order = append(m.order, outcome.ID)
	for len(m.order) > m.outcomes {
		delete(m.kept, m.order[0])
		m.order = m.order[1:]
	}
}

// SetInForce applies a committed InForce; it returns the outcome of the command that made the version and
// whether the version came into force by this call.
func (m *Machine) SetInForce(version uint64) (Outcome, bool) {
	if version > m.newest || version <= m.inForce {
		return Outcome{}, false
	}
	var outcome Outcome
	for number := m.inForce + 1; number <= version; number++ {
		made, _ := m.version(number)
		outcome = Outcome{ID: made.Command, Status: Accepted, Version: number}
		if k, ok := m.kept[made.Command]; ok {
			k.outcome = outcome
		}
	}
	m.inForce = version
	m.assert()
	return outcome, true
}

// Update returns what brings a holder from a version to the newest one: a delta while the history has it, else all objects.
func (m *Machine) Update(from uint64) Update {
	if from > m.newest {
		from = m.newest
	}
	if from == m.newest {
		return Update{From: from, To: m.newest}
	}
	if _, ok := m.version(from + 1); !ok || from == 0 {
		return Update{To: m.newest, Whole: true, Objects: m.objects.All()}
	}
	update := Update{From: from, To: m.newest}
	for number := from + 1; number <= m.newest; number++ {
		made, _ := m.version(number)
		update.Changes = slices.Concat(update.Changes, made.Changes)
	}
	return update
}

// assert holds the invariant that no version is in force before it is made and that the history ends in the newest version.
func (m *Machine) assert() {
	if m.newest < m.inForce {
		panic(fmt.Sprintf("configuration: version %d is in force and %d is the newest", m.inForce, m.newest))
	}
	if len(m.versions) > 0 && m.versions[len(m.versions)-1].Number != m.newest {
		panic(fmt.Sprintf("configuration: the history ends in version %d, not in %d", m.versions[len(m.versions)-1].Number, m.newest))
	}
}
