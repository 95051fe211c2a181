package control

import (
	"time"

	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"

	"github.com/chicoryrelay/chicoryrelay/coord/configuration"
	"github.com/chicoryrelay/chicoryrelay/coord/lease"
	"github.com/chicoryrelay/chicoryrelay/coord/ledger"
	"github.com/chicoryrelay/chicoryrelay/coord/registry"
	"github.com/chicoryrelay/chicoryrelay/coord/wire"
	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/peer"
)

// Result is the state machine's reply to a command; exactly one field is set.
type Result struct {
	Change *configuration.Outcome
	Ledger *ledger.Reply
	Fence  *lease.Fence
	Read   *registry.ReadResult
}

// stamp sets a command's time to the leader's clock, so that a submitter's wrong clock doesn't shift retention deadlines, and records
// the time in a command that names weights. It is part of the command so that control VMs of all releases store the same value.
func stamp(command []byte, now time.Time, objects configuration.Objects) ([]byte, *wire.RegistryCommand, error) {
	message := &wire.RegistryCommand{}
	if err := proto.Unmarshal(command, message); err != nil {
		return nil, nil, oops.Hint("run the same release on all VMs").Wrapf(err, "decode submitted command")
	}
	message.Time = now.UnixMilli()
	if object := namedWeights(message); object != nil {
		stored, _ := objects.Get(object.GetKind(), object.GetName())
		version := catalogue.DecodeWeights(object.GetValue()).Version
		object.Value = catalogue.DecodeWeights(stored).WithNaming(version, now).Encode()
	}
	stamped, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	return stamped, message, err
}

// namedWeights returns the object of a command that names weights, or nil.
func namedWeights(message *wire.RegistryCommand) *wire.RegistryObject {
	change := message.GetPropose()
	if !change.GetNumbered() || len(change.GetEdits()) != 1 {
		return nil
	}
	if object := change.GetEdits()[0].GetObject(); object.GetKind() == catalogue.KindWeights {
		return object
	}
	return nil
}

func encodeResult(id, boot uint64, reply registry.Reply) *peer.Submitted {
	m := &peer.Submitted{Id: id, Boot: boot}
	switch {
	case reply.Outcome != nil:
		o := reply.Outcome
		m.Reply = &peer.Submitted_Change{Change: &peer.ChangeReply{
			Id: o.ID, Status: uint32(o.Status), Reason: uint32(o.Reason), Version: o.Version,
			Winner: o.Winner.ID, Actor: o.Winner.Actor, Won: o.Winner.Version, Detail: o.Detail,
		}}
	case reply.Ledger != nil:
		b := reply.Ledger
		m.Reply = &peer.Submitted_Booking{Booking: &peer.BookingReply{
			Verdict: uint32(b.Verdict), Attempt: b.Attempt[:], Answer: b.Answer, Gone: b.AnswerDropped, Detail: b.Detail, Ledger: b.Sequence,
		}}
	case reply.Read != nil:
		m.Reply = &peer.Submitted_Read{Read: &peer.ReadReply{Version: reply.Read.Version, Value: reply.Read.Value}}
	case reply.Fence != nil:
		m.Reply = &peer.Submitted_Fence{Fence: &peer.FenceReply{Number: reply.Fence.Number, Vm: reply.Fence.Holder.VM, Boot: reply.Fence.Holder.Boot}}
	}
	return m
}

func decodeResult(m *peer.Submitted) (Result, bool) {
	switch r := m.GetReply().(type) {
	case *peer.Submitted_Change:
		c := r.Change
		return Result{Change: &configuration.Outcome{
			ID: c.GetId(), Status: configuration.Status(c.GetStatus()), Reason: configuration.Reason(c.GetReason()), Version: c.GetVersion(),
			Winner: configuration.Winner{ID: c.GetWinner(), Actor: c.GetActor(), Version: c.GetWon()}, Detail: c.GetDetail(),
		}}, true
	case *peer.Submitted_Booking:
		b := r.Booking
		reply := ledger.Reply{Verdict: ledger.Verdict(b.GetVerdict()), Answer: b.GetAnswer(), AnswerDropped: b.GetGone(), Detail: b.GetDetail(), Sequence: b.GetLedger()}
		copy(reply.Attempt[:], b.GetAttempt())
		return Result{Ledger: &reply}, true
	case *peer.Submitted_Read:
		return Result{Read: &registry.ReadResult{Version: r.Read.GetVersion(), Value: r.Read.GetValue()}}, true
	case *peer.Submitted_Fence:
		f := r.Fence
		return Result{Fence: &lease.Fence{Number: f.GetNumber(), Holder: lease.Incarnation{VM: f.GetVm(), Boot: f.GetBoot()}}}, true
	default:
		return Result{}, false
	}
}
