package ledger_test

import (
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/coord/ledger"
)

var (
	start = time.UnixMilli(1_800_000_000_000)
	vm    = ledger.Owner{VM: "a", Boot: 1}
	other = ledger.Owner{VM: "b", Boot: 1}
)

const day = 24 * time.Hour

func key(name string) ledger.Key { return ledger.Key{Account: "baths", Path: "/slots", Key: name} }

// keyAt returns a UUIDv7 key with the given timestamp.
func keyAt(at time.Time, n byte) ledger.Key {
	id := uuid.UUID{6: 0x70, 8: 0x80, 15: n}
	for i, ms := 5, at.UnixMilli(); i >= 0; i, ms = i-1, ms>>8 {
		id[i] = byte(ms)
	}
	return key(id.String())
}

var _ = Describe("ledger", func() {
	var (
		machine  *ledger.Machine
		now      time.Time
		checkErr error
	)

	BeforeEach(func() {
		now, checkErr = start, nil
		machine = ledger.New(ledger.WithLimits(6, 3), ledger.WithAnswerLimit(8), ledger.WithClaimCheck(func(ledger.Claim) error { return checkErr }))
	})

	claim := func(k ledger.Key, attempt byte, owner ledger.Owner) ledger.Reply {
		return machine.Apply(now, ledger.Command{Claim: &ledger.Claim{Key: k, Digest: ledger.Digest{1}, Attempt: ledger.Attempt{attempt}, Owner: owner}})
	}
	complete := func(k ledger.Key, attempt byte, answer string) ledger.Reply {
		return machine.Apply(now, ledger.Command{Complete: &ledger.Complete{Key: k, Attempt: ledger.Attempt{attempt}, Answer: []byte(answer)}})
	}
	uncertain := func(k ledger.Key, attempt byte) ledger.Reply {
		return machine.Apply(now, ledger.Command{Complete: &ledger.Complete{Key: k, Attempt: ledger.Attempt{attempt}, Uncertain: true}})
	}
	release := func(k ledger.Key, attempt byte) ledger.Reply {
		return machine.Apply(now, ledger.Command{Release: &ledger.Release{Key: k, Attempt: ledger.Attempt{attempt}}})
	}
	lose := func(owner ledger.Owner) { machine.Apply(now, ledger.Command{LostOwner: &owner}) }
	expect := func(reply ledger.Reply, verdict ledger.Verdict) {
		GinkgoHelper()
		Expect(reply.Verdict).To(Equal(verdict), "%s", reply.Verdict)
	}

	It("grants one attempt and answers a resent key with running, and after the end of the call with its answer", func() {
		expect(claim(key("k"), 1, vm), ledger.Granted)
		expect(claim(key("k"), 1, vm), ledger.Granted)
		expect(claim(key("k"), 2, other), ledger.Running)
		expect(complete(key("k"), 1, "yes"), ledger.Ran)
		reply := claim(key("k"), 3, other)
		expect(reply, ledger.Ran)
		Expect(string(reply.Answer)).To(Equal("yes"))
		Expect(reply.Attempt).To(Equal(ledger.Attempt{3}))
	})

	It("refuses a key with another body, so that its caller does not get the first call's answer", func() {
		claim(key("k"), 1, vm)
		other := ledger.Claim{Key: key("k"), Digest: ledger.Digest{2}, Attempt: ledger.Attempt{2}, Owner: vm}
		expect(machine.Apply(now, ledger.Command{Claim: &other}), ledger.KeyReused)
	})

	It("separates equal keys of different accounts and paths", func() {
		claim(ledger.Key{Account: "a", Path: "/p", Key: "q"}, 1, vm)
		expect(claim(ledger.Key{Account: "b", Path: "/p", Key: "q"}, 2, vm), ledger.Granted)
		expect(claim(ledger.Key{Account: "a", Path: "/pq", Key: ""}, 3, vm), ledger.Invalid)
		expect(claim(ledger.Key{Account: "a", Path: "/", Key: "pq"}, 4, vm), ledger.Granted)
	})

	It("grants a new attempt after a release, and never the released attempt again", func() {
		claim(key("k"), 1, vm)
		expect(release(key("k"), 1), ledger.Released)
		expect(claim(key("k"), 1, vm), ledger.Released)
		expect(claim(key("k"), 2, other), ledger.Granted)
		expect(release(key("k"), 1), ledger.Running)
	})

	It("never grants a refused attempt later, since its VM has given it up and the key would stay claimed for ever", func() {
		claim(key("k"), 1, vm)
		expect(claim(key("k"), 2, other), ledger.Running)
		release(key("k"), 1)
		expect(claim(key("k"), 2, other), ledger.Released)
		checkErr = errors.New("account baths does not exist")
		expect(claim(key("k"), 3, other), ledger.Denied)
		checkErr = nil
		expect(claim(key("k"), 3, other), ledger.Released)
	})

	It("refuses earlier claims of a key once a caller that resent it was answered not run", func() {
		retry := ledger.Claim{Key: key("k"), Attempt: ledger.Attempt{2}, Owner: vm, Resent: true}
		expect(machine.Apply(now, ledger.Command{Claim: &retry}), ledger.Granted)
		released := machine.Apply(now, ledger.Command{Release: &ledger.Release{Key: retry.Key, Attempt: retry.Attempt, Resent: true}})
		expect(released, ledger.Released)
		late := ledger.Claim{Key: key("k"), Attempt: ledger.Attempt{1}, Owner: other, KnownSequence: released.Sequence - 1}
		expect(machine.Apply(now, ledger.Command{Claim: &late}), ledger.Released)
		next := ledger.Claim{Key: key("k"), Attempt: ledger.Attempt{3}, Owner: other, KnownSequence: released.Sequence}
		expect(machine.Apply(now, ledger.Command{Claim: &next}), ledger.Granted)
		now = now.Add(time.Minute)
		machine.Apply(now, ledger.Command{LostOwner: &vm})
		Expect(machine.Encode().GetBarriers()).To(BeEmpty())
	})

	It("refuses a claim past its deadline, at which its tombstone expires", func() {
		late := ledger.Claim{Key: key("k"), Attempt: ledger.Attempt{1}, Owner: vm, Deadline: start.Add(time.Second)}
		machine.Apply(now, ledger.Command{Release: &ledger.Release{Key: key("k"), Attempt: ledger.Attempt{1}, Deadline: late.Deadline}})
		expect(machine.Apply(now.Add(999*time.Millisecond), ledger.Command{Claim: &late}), ledger.Released)
		expect(machine.Apply(now.Add(time.Second), ledger.Command{Claim: &late}), ledger.Released)
		Expect(machine.Encode().GetTombstones()).To(BeEmpty())
	})

	It("refuses a claim that arrives after its release, since it would block the key for ever", func() {
		expect(release(key("k"), 1), ledger.Released)
		expect(claim(key("k"), 1, vm), ledger.Released)
		Expect(machine.Owners()).To(BeEmpty())
	})

	It("does not release a call that has ended, or a key that another attempt holds", func() {
		claim(key("k"), 1, vm)
		expect(release(key("k"), 2), ledger.Running)
		complete(key("k"), 1, "yes")
		expect(release(key("k"), 1), ledger.Ran)
		expect(claim(key("k"), 3, vm), ledger.Ran)
	})

	It("marks only the open claims of a lost VM as may have run", func() {
		claim(key("k"), 1, vm)
		claim(key("l"), 2, other)
		lose(vm)
		expect(claim(key("k"), 3, other), ledger.MayHaveRun)
		expect(claim(key("l"), 4, vm), ledger.Running)
		Expect(machine.Owners()).To(Equal([]ledger.Owner{other}))
	})

	It("accepts the completion or release of a lost claim from its own attempt only", func() {
		claim(key("k"), 1, vm)
		claim(key("l"), 2, vm)
		lose(vm)
		expect(complete(key("k"), 9, "no"), ledger.MayHaveRun)
		expect(complete(key("k"), 1, "yes"), ledger.Ran)
		expect(release(key("l"), 2), ledger.Released)
		expect(claim(key("l"), 3, other), ledger.Granted)
	})

	It("keeps an uncertain end when a release and a new claim follow", func() {
		claim(key("k"), 1, vm)
		expect(uncertain(key("k"), 1), ledger.MayHaveRun)
		expect(release(key("k"), 1), ledger.MayHaveRun)
		expect(claim(key("k"), 2, vm), ledger.MayHaveRun)
	})

	It("looks up the key before the claim check, so that a call that ran is never refused as not run", func() {
		claim(key("k"), 1, vm)
		complete(key("k"), 1, "yes")
		checkErr = errors.New("account baths does not exist")
		expect(claim(key("k"), 2, vm), ledger.Ran)
		expect(claim(key("l"), 3, vm), ledger.Denied)
	})

	It("drops an answer after 48 h but still reports that the call ran or may have run", func() {
		claim(key("k"), 10, vm)
		complete(key("k"), 10, "yes")
		claim(key("u"), 11, vm)
		uncertain(key("u"), 11)
		now = now.Add(2 * day)
		reply := claim(key("k"), 12, vm)
		expect(reply, ledger.Ran)
		Expect(reply.AnswerDropped).To(BeTrue())
		expect(claim(key("u"), 13, vm), ledger.MayHaveRun)
	})

	It("drops an answer above the size limit but still reports that the call ran", func() {
		claim(key("k"), 1, vm)
		complete(key("k"), 1, "far too long")
		reply := claim(key("k"), 2, vm)
		expect(reply, ledger.Ran)
		Expect(reply.AnswerDropped).To(BeTrue())
	})

	It("refuses new claims of an account at its limit when no fingerprint may be dropped", func() {
		for i := range byte(3) {
			claim(key(fmt.Sprint(i)), i+1, vm)
			complete(key(fmt.Sprint(i)), i+1, "yes")
		}
		now = now.Add(90 * day)
		expect(claim(key("new"), 9, vm), ledger.Full)
		expect(claim(key("0"), 10, vm), ledger.Ran)
		expect(claim(ledger.Key{Account: "other", Key: "k"}, 11, vm), ledger.Granted)
	})

	It("drops old fingerprints of UUIDv7 keys at the limit, and refuses those keys by their timestamp", func() {
		old, recent := keyAt(start, 1), keyAt(start.Add(20*day), 2)
		for i, k := range []ledger.Key{old, recent, key("2")} {
			claim(k, byte(i+1), vm)
			complete(k, byte(i+1), "yes")
		}
		now = now.Add(40 * day)
		expect(claim(old, 7, vm), ledger.Ran)
		expect(claim(key("new"), 8, vm), ledger.Granted)
		expect(claim(old, 9, vm), ledger.KeyExpired)
		expect(claim(recent, 10, vm), ledger.Ran)
		expect(claim(keyAt(start.Add(5*day), 3), 11, vm), ledger.KeyExpired)
	})

	It("drops the fingerprints of a removed account but none of its recent calls", func() {
		claim(key("k"), 1, vm)
		complete(key("k"), 1, "yes")
		now = now.Add(3 * day)
		claim(key("l"), 2, vm)
		machine.DropAccount("baths")
		Expect(machine.Len()).To(Equal(1))
		expect(machine.Lookup(key("l")), ledger.Running)
		expect(machine.Lookup(key("k")), ledger.Acknowledged)
	})

	It("counts tombstones towards the limit, since calls that fail before their first byte could exhaust memory", func() {
		for i := range byte(6) {
			release(key("k"), i+1)
		}
		expect(claim(key("k"), 9, vm), ledger.Full)
		now = now.Add(2 * day)
		expect(claim(key("k"), 9, vm), ledger.Granted)
	})
})

// A voter applies committed commands; the VM dispatches an attempt only after its claim is granted.
func Example() {
	machine := ledger.New()
	k := ledger.Key{Account: "baths", Path: "/slots", Key: "order-17"}
	first, second := ledger.Attempt{1}, ledger.Attempt{2}
	fmt.Println(machine.Apply(start, ledger.Command{Claim: &ledger.Claim{Key: k, Attempt: first, Owner: vm}}).Verdict)
	fmt.Println(machine.Apply(start, ledger.Command{Claim: &ledger.Claim{Key: k, Attempt: second, Owner: other}}).Verdict)
	machine.Apply(start, ledger.Command{Complete: &ledger.Complete{Key: k, Attempt: first, Answer: []byte("slot 9")}})
	reply := machine.Apply(start, ledger.Command{Claim: &ledger.Claim{Key: k, Attempt: second, Owner: other}})
	fmt.Println(reply.Verdict, string(reply.Answer))
	// Output:
	// granted
	// running
	// ran slot 9
}
