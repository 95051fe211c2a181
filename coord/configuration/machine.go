package configuration

import (
	"fmt"
	"slices"
)

// Check returns an error if a change must not be applied to the objects; it must be deterministic, since every replica
// calls it.
type Check func(objects Objects, change Change) error

// Version is one version of the configuration with the command and the changes that made it.
type Version struct {
	Number  uint64
	Command string
	Actor   string
	Changes []Change
}

// recordedOutcome is the outcome of a command, with the digest by which a reused command ID is detected.
type recordedOutcome struct {
	outcome Outcome
	digest  uint64
}

// Machine is the replicated state machine of the configuration.
type Machine struct {
	check        Check
	historyLimit int
	outcomeLimit int

	inForce  uint64
	newest   uint64
	objects  Objects
	versions []Version
	outcomes map[string]*recordedOutcome
	// outcomeOrder contains the command IDs of outcomes, oldest first.
	outcomeOrder []string
}

// Option changes a setting of a Machine; all replicas must have equal settings.
type Option func(*Machine)

// WithCheck sets the function that checks each change before it is applied; the default accepts every change.
func WithCheck(check Check) Option { return func(m *Machine) { m.check = check } }

// WithHistory sets the number of versions kept for deltas; the default of 1,000 covers nine hours at 2,700 changes a day.
func WithHistory(versions int) Option { return func(m *Machine) { m.historyLimit = max(versions, 1) } }

// WithOutcomes sets the number of commands whose outcomes are kept; the default is 10,000.
func WithOutcomes(commands int) Option { return func(m *Machine) { m.outcomeLimit = max(commands, 1) } }

// New returns a machine at version 0 without objects.
func New(opts ...Option) *Machine {
	m := &Machine{historyLimit: 1000, outcomeLimit: 10_000, objects: newObjects(nil), outcomes: map[string]*recordedOutcome{}}
	m.check = func(Objects, Change) error { return nil }
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// InForce returns the newest version that is in force; 0 means none.
func (m *Machine) InForce() uint64 { return m.inForce }

// Newest returns the newest pending version, or the version in force if none is pending.
func (m *Machine) Newest() uint64 { return m.newest }

// PendingVersion returns the newest version and whether it is pending.
func (m *Machine) PendingVersion() (uint64, bool) { return m.newest, m.newest != m.inForce }

// Objects returns the objects of the newest version.
func (m *Machine) Objects() Objects { return m.objects }

// History returns the kept versions, oldest first; callers must not change them.
func (m *Machine) History() []Version { return m.versions }

// Outcome returns the outcome of a command; its status is Unknown if no outcome is kept.
func (m *Machine) Outcome(id string) Outcome {
	if record, ok := m.outcomes[id]; ok {
		return record.outcome
	}
	return Outcome{ID: id, Version: m.newest}
}

// Apply applies a command that is already committed to the log and returns its outcome; a retried command gets the outcome
// of its first application.
func (m *Machine) Apply(command Command) Outcome {
	if command.Numbered {
		return m.applyNumbered(command)
	}
	digest := command.digest()
	if record, ok := m.outcomes[command.ID]; ok {
		if record.digest != digest {
			return Outcome{ID: command.ID, Status: Refused, Reason: IDReused, Version: m.newest}
		}
		return record.outcome
	}
	outcome := m.decide(command)
	m.recordOutcome(outcome, digest)
	return outcome
}

func (m *Machine) decide(command Command) Outcome {
	outcome := Outcome{ID: command.ID, Status: Refused, Version: m.newest}
	if command.ID == "" {
		outcome.Reason, outcome.Detail = Invalid, "the command has no ID"
		return outcome
	}
	if command.Expected > m.newest {
		outcome.Reason = VersionUnknown
		return outcome
	}
	if command.Expected < m.newest || m.newest != m.inForce {
		return m.refuseConflict(command, outcome)
	}
	if err := m.addVersion(command); err != nil {
		outcome.Reason, outcome.Detail = Invalid, err.Error()
		return outcome
	}
	return Outcome{ID: command.ID, Status: NotInForce, Version: m.newest}
}

// applyNumbered applies a numbered command even while another version is pending, since only the number decides. Its
// outcome is not recorded, because the stored number is enough to recognise a retry.
func (m *Machine) applyNumbered(command Command) Outcome {
	if len(command.Changes) != 1 || command.Changes[0].Remove {
		return Outcome{ID: command.ID, Status: Refused, Reason: Invalid, Version: m.newest, Detail: "a numbered command puts one object"}
	}
	object := command.Changes[0].Object
	stored, _ := m.objects.Get(object.Kind, object.Name)
	storedNumber, _ := DecodeNumbered(stored)
	if number, _ := DecodeNumbered(object.Value); number <= storedNumber {
		status := Accepted
		if m.newest != m.inForce {
			status = NotInForce
		}
		return Outcome{ID: command.ID, Status: status, Version: m.newest}
	}
	if err := m.addVersion(command); err != nil {
		return Outcome{ID: command.ID, Status: Refused, Reason: Invalid, Version: m.newest, Detail: err.Error()}
	}
	return Outcome{ID: command.ID, Status: NotInForce, Version: m.newest}
}

// addVersion makes the next version from the command's changes; on an error the machine is unchanged.
func (m *Machine) addVersion(command Command) error {
	objects, err := m.applyChanges(command.Changes)
	if err != nil {
		return err
	}
	m.objects = objects
	m.newest++
	m.versions = append(m.versions, Version{Number: m.newest, Command: command.ID, Actor: command.Actor, Changes: command.Changes})
	m.versions = m.versions[max(0, len(m.versions)-m.historyLimit):]
	m.checkInvariants()
	return nil
}

// refuseConflict refuses a command whose expected version is not the newest or is pending, and names the command that won.
// A command that conflicts with itself is a retry whose outcome was evicted: it gets the status of its version.
func (m *Machine) refuseConflict(command Command, outcome Outcome) Outcome {
	winner, _ := m.version(command.Expected + 1)
	if winner.Number == 0 {
		winner = m.versions[len(m.versions)-1]
	}
	if winner.Command == command.ID {
		status := Accepted
		if winner.Number > m.inForce {
			status = NotInForce
		}
		return Outcome{ID: command.ID, Status: status, Version: winner.Number}
	}
	outcome.Reason = Conflict
	outcome.Winner = Winner{ID: winner.Command, Actor: winner.Actor, Version: winner.Number}
	return outcome
}

func (m *Machine) applyChanges(changes []Change) (Objects, error) {
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

func (m *Machine) recordOutcome(outcome Outcome, digest uint64) {
	if outcome.ID == "" {
		return
	}
	m.outcomes[outcome.ID] = &recordedOutcome{outcome: outcome, digest: digest}
	m.outcomeOrder = append(m.outcomeOrder, outcome.ID)
	for len(m.outcomeOrder) > m.outcomeLimit {
		delete(m.outcomes, m.outcomeOrder[0])
		m.outcomeOrder = m.outcomeOrder[1:]
	}
}

// SetInForce applies the committed declaration that a version and all versions before it are in force. It returns the
// outcome of the command that made the version and whether the version in force has changed.
func (m *Machine) SetInForce(version uint64) (Outcome, bool) {
	if version > m.newest || version <= m.inForce {
		return Outcome{}, false
	}
	var outcome Outcome
	for number := m.inForce + 1; number <= version; number++ {
		entry, _ := m.version(number)
		outcome = Outcome{ID: entry.Command, Status: Accepted, Version: number}
		if record, ok := m.outcomes[entry.Command]; ok {
			record.outcome = outcome
		}
	}
	m.inForce = version
	m.checkInvariants()
	return outcome, true
}

// Update returns the update from a holder's version to the newest one: a delta if the history reaches back far enough,
// otherwise all objects.
func (m *Machine) Update(from uint64) Update {
	if from > m.newest {
		from = m.newest
	}
	if from == m.newest {
		return Update{From: from, To: m.newest}
	}
	if _, ok := m.version(from + 1); !ok || from == 0 {
		return Update{To: m.newest, Full: true, Objects: m.objects.All()}
	}
	update := Update{From: from, To: m.newest}
	for number := from + 1; number <= m.newest; number++ {
		entry, _ := m.version(number)
		update.Changes = slices.Concat(update.Changes, entry.Changes)
	}
	return update
}

// checkInvariants panics if a version that does not exist is in force or if the history does not end with the newest
// version.
func (m *Machine) checkInvariants() {
	if m.newest < m.inForce {
		panic(fmt.Sprintf("configuration: version %d is in force but version %d is the newest", m.inForce, m.newest))
	}
	if len(m.versions) > 0 && m.versions[len(m.versions)-1].Number != m.newest {
		panic(fmt.Sprintf("configuration: the history ends with version %d, not with the newest version %d", m.versions[len(m.versions)-1].Number, m.newest))
	}
}
