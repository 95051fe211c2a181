package configuration_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/coord/configuration"
)

func numbered(number uint64, content string) configuration.Command {
	return configuration.PutNumbered(fmt.Sprint(number), "operator", "state", "desired", number, []byte(content))
}

func expectHeld(machine *configuration.Machine, number uint64, content string) {
	GinkgoHelper()
	value, _ := machine.Objects().Get("state", "desired")
	heldNumber, held := configuration.Numbered(value)
	Expect(heldNumber).To(Equal(number))
	Expect(string(held)).To(Equal(content))
}

var _ = Describe("numbered commands", func() {
	var machine *configuration.Machine

	BeforeEach(func() { machine = configuration.New(configuration.WithHistory(3)) })

	It("lets the highest number win, in whatever order the commands come", func() {
		expectOutcome(machine.Propose(numbered(7, "new")), configuration.Committed, configuration.NoReason, 1)
		expectOutcome(machine.Propose(numbered(3, "old")), configuration.Committed, configuration.NoReason, 1)
		expectHeld(machine, 7, "new")
	})

	It("accepts the number that it holds with other content and changes nothing, so that a repetition is never refused", func() {
		machine.Propose(numbered(7, "first"))
		machine.SetInForce(1)
		expectOutcome(machine.Propose(numbered(7, "second")), configuration.Accepted, configuration.NoReason, 1)
		expectHeld(machine, 7, "first")
	})

	It("makes versions while others are pending, and one declaration brings all up to it into force", func() {
		for number := uint64(1); number <= 5; number++ {
			expectOutcome(machine.Propose(numbered(number, "x")), configuration.Committed, configuration.NoReason, number)
		}
		outcome, changed := machine.SetInForce(4)
		Expect(changed).To(BeTrue())
		expectOutcome(outcome, configuration.Accepted, configuration.NoReason, 4)
		version, pending := machine.PendingVersion()
		Expect(pending).To(BeTrue())
		Expect(version).To(Equal(uint64(5)))
	})

	It("restores a snapshot with several pending versions, which a control VM that lost power during a storm of changes holds", func() {
		for number := uint64(1); number <= 5; number++ {
			machine.Propose(numbered(number, "x"))
		}
		machine.SetInForce(2)
		restored := configuration.New(configuration.WithHistory(3))
		Expect(restored.Decode(machine.Encode())).To(Succeed())
		Expect(restored.InForce()).To(Equal(uint64(2)))
		expectHeld(restored, 5, "x")
	})

	It("refuses a numbered command that does not put one object", func() {
		command := numbered(1, "x")
		command.Changes = append(command.Changes, configuration.Remove("state", "desired"))
		expectOutcome(machine.Propose(command), configuration.Refused, configuration.Invalid, 0)
	})
})
