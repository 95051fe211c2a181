package configuration

import (
	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"

	"github.com/chicoryrelay/chicoryrelay/coord/wire"
)

// marshal returns equal bytes for equal messages, provided that they have no map fields.
func marshal(message proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		panic("configuration: " + err.Error())
	}
	return data
}

// Marshal returns the update as protobuf.
func (u Update) Marshal() []byte { return marshal(encodeUpdate(u)) }

// UnmarshalUpdate decodes the output of Update.Marshal.
func UnmarshalUpdate(data []byte) (Update, error) {
	var message wire.RegistryUpdate
	if err := proto.Unmarshal(data, &message); err != nil {
		return Update{}, oops.Code("update_damaged").Wrapf(err, "the update is damaged: request it again")
	}
	return decodeUpdate(&message), nil
}

// Encode returns the command in its wire form.
func (c Command) Encode() *wire.RegistryPropose {
	return &wire.RegistryPropose{Id: c.ID, Actor: c.Actor, Expected: c.Expected, Edits: encodeChanges(c.Changes), Numbered: c.Numbered}
}

// DecodeCommand converts a command from its wire form.
func DecodeCommand(m *wire.RegistryPropose) Command {
	return Command{ID: m.GetId(), Actor: m.GetActor(), Expected: m.GetExpected(), Changes: decodeChanges(m.GetEdits()), Numbered: m.GetNumbered()}
}

func encodeObjects(objects []Object) []*wire.RegistryObject {
	messages := make([]*wire.RegistryObject, 0, len(objects))
	for _, object := range objects {
		messages = append(messages, &wire.RegistryObject{Kind: object.Kind, Name: object.Name, Value: object.Value})
	}
	return messages
}

func decodeObject(m *wire.RegistryObject) Object {
	return Object{Kind: m.GetKind(), Name: m.GetName(), Value: m.GetValue()}
}

func decodeObjects(messages []*wire.RegistryObject) []Object {
	objects := make([]Object, 0, len(messages))
	for _, m := range messages {
		objects = append(objects, decodeObject(m))
	}
	return objects
}

func encodeChanges(changes []Change) []*wire.RegistryEdit {
	messages := make([]*wire.RegistryEdit, 0, len(changes))
	for _, change := range changes {
		object := encodeObjects([]Object{change.Object})[0]
		messages = append(messages, &wire.RegistryEdit{Remove: change.Remove, Object: object})
	}
	return messages
}

func decodeChanges(messages []*wire.RegistryEdit) []Change {
	changes := make([]Change, 0, len(messages))
	for _, m := range messages {
		changes = append(changes, Change{Remove: m.GetRemove(), Object: decodeObject(m.GetObject())})
	}
	return changes
}

func encodeUpdate(u Update) *wire.RegistryUpdate {
	return &wire.RegistryUpdate{From: u.From, To: u.To, Whole: u.Full, Objects: encodeObjects(u.Objects), Edits: encodeChanges(u.Changes)}
}

func decodeUpdate(m *wire.RegistryUpdate) Update {
	return Update{From: m.GetFrom(), To: m.GetTo(), Full: m.GetWhole(), Objects: decodeObjects(m.GetObjects()), Changes: decodeChanges(m.GetEdits())}
}

// Encode returns the machine's state in its wire form; equal states have equal wire forms.
func (m *Machine) Encode() *wire.RegistryConfiguration {
	state := &wire.RegistryConfiguration{InForce: m.inForce, Newest: m.newest, Objects: encodeObjects(m.objects.All())}
	for _, v := range m.versions {
		state.History = append(state.History, &wire.RegistryVersion{Number: v.Number, Command: v.Command, Actor: v.Actor, Edits: encodeChanges(v.Changes)})
	}
	for _, id := range m.outcomeOrder {
		record := m.outcomes[id]
		state.Outcomes = append(state.Outcomes, &wire.RegistryOutcome{
			Id: id, Status: uint32(record.outcome.Status), Reason: uint32(record.outcome.Reason), Version: record.outcome.Version,
			WinnerId: record.outcome.Winner.ID, WinnerActor: record.outcome.Winner.Actor, WinnerVersion: record.outcome.Winner.Version,
			Detail: record.outcome.Detail, Digest: record.digest,
		})
	}
	return state
}

// Decode replaces the machine's state; on an error the state is unchanged.
func (m *Machine) Decode(state *wire.RegistryConfiguration) error {
	damaged := oops.Code("snapshot_damaged")
	next := *m
	next.inForce, next.newest = state.GetInForce(), state.GetNewest()
	next.objects = newObjects(decodeObjects(state.GetObjects()))
	next.versions, next.outcomes, next.outcomeOrder = nil, map[string]*recordedOutcome{}, nil
	if next.newest < next.inForce {
		return damaged.Errorf("the snapshot has version %d in force but newest version %d: take the snapshot of another control VM", next.inForce, next.newest)
	}
	first := next.newest - uint64(len(state.GetHistory())) + 1
	for i, v := range state.GetHistory() {
		if v.GetNumber() != first+uint64(i) || v.GetNumber() == 0 {
			return damaged.Errorf("the snapshot's history has a gap at version %d: take the snapshot of another control VM", v.GetNumber())
		}
		next.versions = append(next.versions, Version{Number: v.GetNumber(), Command: v.GetCommand(), Actor: v.GetActor(), Changes: decodeChanges(v.GetEdits())})
	}
	if next.newest > 0 && len(next.versions) == 0 {
		return damaged.Errorf("the snapshot has version %d without its history: take the snapshot of another control VM", next.newest)
	}
	for _, o := range state.GetOutcomes() {
		if _, ok := next.outcomes[o.GetId()]; ok || o.GetId() == "" || o.GetStatus() > uint32(Refused) || o.GetReason() > uint32(IDReused) {
			return damaged.Errorf("the snapshot has a duplicate or invalid outcome of command %q: take the snapshot of another control VM", o.GetId())
		}
		next.outcomeOrder = append(next.outcomeOrder, o.GetId())
		next.outcomes[o.GetId()] = &recordedOutcome{digest: o.GetDigest(), outcome: Outcome{
			ID: o.GetId(), Status: Status(o.GetStatus()), Reason: Reason(o.GetReason()), Version: o.GetVersion(), Detail: o.GetDetail(),
			Winner: Winner{ID: o.GetWinnerId(), Actor: o.GetWinnerActor(), Version: o.GetWinnerVersion()},
		}}
	}
	*m = next
	return nil
}
