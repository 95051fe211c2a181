package quorum_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/coord/quorum"
)

var (
	a = quorum.Identity{Name: "a", Incarnation: 1}
	b = quorum.Identity{Name: "b", Incarnation: 1}
	c = quorum.Identity{Name: "c", Incarnation: 1}
	// newIncarnation is b with a new disk, which the group does not know.
	newIncarnation = quorum.Identity{Name: "b", Incarnation: 99}
)

// testTime is a clock reading after the first election deadline.
const testTime = time.Hour

func newCore(state quorum.State, opts ...quorum.Option) *quorum.Core {
	return quorum.New(append([]quorum.Option{
		quorum.WithIdentity(a), quorum.WithState(state), quorum.WithRandom(rand.New(rand.NewPCG(1, 0))),
	}, opts...)...)
}

func foundingState(names ...string) quorum.State { return quorum.FoundingState(names) }

func messagesOfKind(messages []quorum.Message, kind quorum.MessageKind) (found []quorum.Message) {
	for _, m := range messages {
		if m.Kind == kind {
			found = append(found, m)
		}
	}
	return found
}

// elect makes the core the leader, with the votes of b.
func elect(core *quorum.Core, now time.Duration) quorum.Effects {
	GinkgoHelper()
	core.Tick(now)
	core.Step(now, quorum.Message{Kind: quorum.PreVoteReply, From: b, To: a, Term: core.Term() + 1})
	effects := core.Step(now, quorum.Message{Kind: quorum.VoteReply, From: b, To: a, Term: core.Term()})
	Expect(core.Role()).To(Equal(quorum.Leader))
	return effects
}

func acknowledge(core *quorum.Core, from quorum.Identity, index uint64) quorum.Effects {
	return core.Step(testTime, quorum.Message{Kind: quorum.AppendReply, From: from, To: a, Term: core.Term(), Index: index, SentAt: testTime})
}

// leaderEntries returns entries as a leader of the term sends them after the founding state.
func leaderEntries(term uint64, count int) []quorum.Entry {
	leader := newCore(quorum.State{HardState: quorum.HardState{Term: term - 1}, Snapshot: foundingState("a").Snapshot})
	entries := leader.Tick(testTime).Save.Entries
	for len(entries) < count {
		effects, err := leader.Propose(testTime, fmt.Append(nil, len(entries)))
		Expect(err).NotTo(HaveOccurred())
		entries = append(entries, effects.Save.Entries...)
	}
	return entries
}

func appendMessage(from quorum.Identity, term uint64, entries []quorum.Entry, commit uint64) quorum.Message {
	return quorum.Message{
		Kind: quorum.Append, From: from, To: a, Term: term, Index: entries[0].Index - 1, LogTerm: 1, Entries: entries, Commit: commit,
	}
}

var _ = Describe("core", func() {
	It("does not count votes and acknowledgements of a VM that lost its disk", func() {
		core := newCore(foundingState("a", "b", "c"))
		core.Tick(testTime)
		core.Step(testTime, quorum.Message{Kind: quorum.PreVoteReply, From: newIncarnation, To: a, Term: 2})
		Expect(core.Role()).To(Equal(quorum.PreCandidate))
		core.Step(testTime, quorum.Message{Kind: quorum.PreVoteReply, From: b, To: a, Term: 2})
		core.Step(testTime, quorum.Message{Kind: quorum.VoteReply, From: newIncarnation, To: a, Term: 2})
		Expect(core.Role()).To(Equal(quorum.Candidate))
		core.Step(testTime, quorum.Message{Kind: quorum.VoteReply, From: b, To: a, Term: 2})
		Expect(core.Role()).To(Equal(quorum.Leader))
		acknowledge(core, newIncarnation, 2)
		Expect(core.CommitIndex()).To(BeEquivalentTo(1))
		acknowledge(core, c, 2)
		Expect(core.CommitIndex()).To(BeEquivalentTo(2))
	})

	It("ignores messages and terms of non-members and other groups, and messages of unknown kinds or to another incarnation", func() {
		core := newCore(foundingState("a", "b", "c"))
		for _, m := range []quorum.Message{
			{Kind: quorum.Vote, From: newIncarnation, To: a, Term: 50, Index: 1, LogTerm: 1},
			{Kind: quorum.AppendReply, From: newIncarnation, To: a, Term: 50},
			{Kind: quorum.Vote, From: b, To: quorum.Identity{Name: "a", Incarnation: 7}, Term: 50, Index: 9, LogTerm: 9},
			{Kind: quorum.Vote, From: b, To: a, Term: 50, Index: 9, LogTerm: 9, Cluster: "other"},
			{Kind: 99, From: b, To: a, Term: 50},
		} {
			Expect(core.Step(testTime, m)).To(Equal(quorum.Effects{}))
		}
		Expect(core.Term()).To(BeEquivalentTo(1))
	})

	It("saves a vote with the effects that send it, and grants no second one in the same term after a restart", func() {
		vote := quorum.Message{Kind: quorum.Vote, From: b, To: a, Term: 2, Index: 1, LogTerm: 1}
		effects := newCore(foundingState("a", "b", "c")).Step(testTime, vote)
		Expect(messagesOfKind(effects.Send, quorum.VoteReply)[0].Reject).To(BeFalse())
		Expect(*effects.Save.HardState).To(Equal(quorum.HardState{Term: 2, Vote: b}))
		state := foundingState("a", "b", "c")
		state.HardState = *effects.Save.HardState
		vote.From = c
		Expect(messagesOfKind(newCore(state).Step(testTime, vote).Send, quorum.VoteReply)[0].Reject).To(BeTrue())
	})

	It("grants no vote to an outdated log or while it is in contact with a leader", func() {
		core := newCore(foundingState("a", "b", "c"))
		core.Step(testTime, appendMessage(b, 2, leaderEntries(2, 2), 0))
		vote := quorum.Message{Kind: quorum.Vote, From: c, To: a, Term: 3, Index: 9, LogTerm: 2}
		Expect(core.Step(testTime, vote).Send).To(BeEmpty())
		Expect(core.Term()).To(BeEquivalentTo(2))
		vote.Index = 2
		reply := messagesOfKind(core.Step(2*testTime, vote).Send, quorum.VoteReply)
		Expect(reply[0].Reject).To(BeTrue())
	})

	It("commits entries of an older term only together with one of its own term", func() {
		state := foundingState("a", "b", "c")
		state.Entries, state.HardState.Term = leaderEntries(2, 2), 3
		core := newCore(state)
		elect(core, testTime)
		acknowledge(core, b, 3)
		Expect(core.CommitIndex()).To(BeEquivalentTo(1))
		effects := acknowledge(core, b, 4)
		Expect(core.CommitIndex()).To(BeEquivalentTo(4))
		Expect(effects.Committed).To(HaveLen(3))
	})

	It("limits uncommitted entries, and the messages in flight to a follower that does not acknowledge them", func() {
		core := newCore(foundingState("a", "b", "c"), quorum.WithReplicationLimits(1000, 3), quorum.WithProposalLimits(600, 20_000))
		elect(core, testTime)
		acknowledge(core, b, 2)
		_, err := core.Propose(testTime, make([]byte, 600))
		var large *quorum.TooLarge
		Expect(errors.As(err, &large)).To(BeTrue())
		sent, size := 0, 0
		for err = nil; err == nil; size += 500 {
			var effects quorum.Effects
			effects, err = core.Propose(testTime, make([]byte, 500))
			for _, m := range messagesOfKind(effects.Send, quorum.Append) {
				if m.To == b {
					sent++
				}
			}
		}
		var busy *quorum.Busy
		Expect(errors.As(err, &busy)).To(BeTrue())
		Expect(size).To(BeNumerically("<=", 20_500))
		Expect(sent).To(Equal(3))
	})

	It("does not count a late reply as recent contact, since a frozen leader reads old replies when it resumes", func() {
		core := newCore(foundingState("a", "b", "c"))
		elect(core, testTime)
		reply := quorum.Message{Kind: quorum.HeartbeatReply, From: b, To: a, Term: core.Term(), SentAt: testTime}
		core.Step(testTime+time.Second, reply)
		core.Step(testTime+1400*time.Millisecond, reply)
		core.Tick(testTime + 1600*time.Millisecond)
		Expect(core.Role()).To(Equal(quorum.Follower))
	})

	It("returns to the old membership when a membership change is replaced, and leaves messages in transit unchanged", func() {
		core := newCore(foundingState("a", "b", "c"))
		first := elect(core, testTime).Save.Entries[0]
		acknowledge(core, b, 2)
		effects, err := core.AddMember(testTime, quorum.Identity{Name: "d", Incarnation: 4}, true)
		Expect(err).NotTo(HaveOccurred())
		sent := messagesOfKind(effects.Send, quorum.Append)[0].Entries
		Expect(core.Members()).To(HaveLen(4))
		term, sum := core.Term()+1, first.ChainSum
		other := newCore(quorum.State{
			HardState: quorum.HardState{Term: term - 1}, Snapshot: quorum.Snapshot{Index: 2, Term: term - 1, Members: foundingState("a").Snapshot.Members, ChainSum: sum},
		}).Tick(testTime).Save.Entries
		core.Step(testTime, quorum.Message{Kind: quorum.Append, From: b, To: a, Term: term, Index: 2, LogTerm: term - 1, ChainSum: sum, Entries: other})
		Expect(core.Members()).To(Equal(foundingState("a", "b", "c").Snapshot.Members))
		Expect(sent[0].Kind).To(Equal(quorum.MembershipChange))
	})

	It("leads alone as the only voter", func() {
		core := newCore(foundingState("a"))
		effects := core.Tick(testTime)
		Expect(effects.Committed).To(Equal(effects.Save.Entries))
		effects, err := core.Propose(testTime, []byte("x"))
		Expect(err).NotTo(HaveOccurred())
		Expect(effects.Committed[0].Index).To(Equal(effects.Index))
	})

	It("refuses membership changes before it has committed an entry of its own term", func() {
		core := newCore(foundingState("a", "b", "c"))
		elect(core, testTime)
		_, err := core.AddMember(testTime, quorum.Identity{Name: "d", Incarnation: 4}, true)
		Expect(err).To(MatchError(ContainSubstring("own term")))
		acknowledge(core, b, 2)
		_, err = core.AddMember(testTime, newIncarnation, true)
		Expect(err).To(MatchError(ContainSubstring("remove it first")))
		_, err = core.AddMember(testTime, quorum.Identity{Name: "d", Incarnation: 4}, true)
		Expect(err).NotTo(HaveOccurred())
	})

	It("returns a next deadline that is never in the past and follows the election timeout and heartbeat interval", func() {
		core := newCore(foundingState("a", "b", "c"))
		// The first election comes early, since a group that starts as a whole has no leader. Contact with a leader defers it by
		// one to two election timeouts.
		Expect(core.NextDeadline(0)).To(And(BeNumerically(">=", 1500*time.Millisecond/4), BeNumerically("<", 1500*time.Millisecond)))
		follower := newCore(foundingState("a", "b", "c"))
		follower.Step(0, appendMessage(b, 2, leaderEntries(2, 3), 2))
		Expect(follower.NextDeadline(0)).To(And(BeNumerically(">=", 1500*time.Millisecond), BeNumerically("<", 3*time.Second)))
		Expect(core.NextDeadline(testTime)).To(Equal(testTime))
		elect(core, testTime)
		Expect(core.NextDeadline(testTime)).To(Equal(testTime + 300*time.Millisecond))
	})
})

var _ = Describe("core that checks its invariants", func() {
	var core *quorum.Core
	entries := func() []quorum.Entry { return leaderEntries(2, 3) }

	BeforeEach(func() {
		core = newCore(foundingState("a", "b", "c"))
		core.Step(testTime, appendMessage(b, 2, entries(), 4))
		Expect(core.CommitIndex()).To(BeEquivalentTo(4))
	})

	expectPanic := func(text string, m quorum.Message) {
		GinkgoHelper()
		Expect(func() { core.Step(testTime, m) }).To(PanicWith(ContainSubstring(text)))
	}

	It("panics when entries, a log position or a snapshot of a leader contradict a committed entry", func() {
		expectPanic("contradicts the committed entry 2", appendMessage(c, 3, leaderEntries(3, 2), 0))
		expectPanic("contradicts the committed entry 4", quorum.Message{Kind: quorum.Append, From: c, To: a, Term: 3, Index: 4, LogTerm: 3})
		expectPanic("contradicts the committed entry 3", quorum.Message{Kind: quorum.SnapshotChunk, From: c, To: a, Term: 3, Index: 3, LogTerm: 3})
	})

	It("does not install a snapshot that is older than its commit index", func() {
		effects := core.Step(testTime, quorum.Message{Kind: quorum.SnapshotChunk, From: b, To: a, Term: 2, Index: 3, LogTerm: 2})
		Expect(effects.Restore).To(BeNil())
		Expect(messagesOfKind(effects.Send, quorum.AppendReply)[0].Index).To(BeEquivalentTo(4))
	})

	It("panics when a term has two leaders", func() {
		expectPanic("two leaders", quorum.Message{Kind: quorum.Heartbeat, From: c, To: a, Term: 2})
	})

	It("panics when its disk lost acknowledged entries", func() {
		expectPanic("the disk lost synced data", quorum.Message{Kind: quorum.Heartbeat, From: b, To: a, Term: 2, Commit: 9})
	})

	It("panics when its log differs from the leader's at the same index and term", func() {
		expectPanic("differ at or before entry 4", quorum.Message{Kind: quorum.Heartbeat, From: b, To: a, Term: 2, Commit: 4, ChainSum: 1})
	})

	It("panics as leader when a follower has committed entries that the leader lacks", func() {
		elect(core, 2*testTime)
		expectPanic("a quorum of disks was lost", quorum.Message{Kind: quorum.HeartbeatReply, From: b, To: a, Term: core.Term(), Commit: 99})
	})

	It("panics when a membership change affects two voters at once", func() {
		state := foundingState("a", "b", "c")
		state.Entries = []quorum.Entry{{Index: 2, Term: 1, Kind: quorum.MembershipChange, Members: []quorum.Member{{Identity: a}}}}
		Expect(func() { newCore(state) }).To(PanicWith(ContainSubstring("changes 2 voters")))
	})

	It("drops entries that were corrupted in transit", func() {
		corrupted := leaderEntries(2, 4)[3:]
		corrupted[0].Data = []byte("other")
		m := appendMessage(b, 2, corrupted, 0)
		m.LogTerm, m.ChainSum = 2, entries()[2].ChainSum
		Expect(core.Step(testTime, m)).To(Equal(quorum.Effects{}))
	})
})
