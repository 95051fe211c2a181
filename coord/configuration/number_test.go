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

func expectStored(machine *configuration.Machine, number uint64, content string) {
	GinkgoHelper()
	value, _ := machine.Objects().Get("state", "desired")
	storedNumber, storedContent := configuration.DecodeNumbered(value)
	Expect(storedNumber).To(Equal(number))
	Expect(string(storedContent)).To(Equal(content))
}

var _ = Describe("numbered commands", func() {
	var machine *configuration.Machine

	BeforeEach(func() { machine = configuration.New(configuration.WithHistory(3)) })

	It("store the object with the highest number in whatever order they are applied", func() {
		expectOutcome(machine.Apply(numbered(7, "new")), configuration.NotInForce, configuration.NoReason, 1)
		expectOutcome(machine.Apply(numbered(3, "old")), configuration.NotInForce, configuration.NoReason, 1)
		expectStored(machine, 7, "new")
	})

	It("are accepted without a change if their number is already stored, so that a retry is never refused", func() {
		machine.Apply(numbered(7, "first"))
		machine.SetInForce(1)
		expectOutcome(machine.Apply(numbered(7, "second")), configuration.Accepted, configuration.NoReason, 1)
		expectStored(machine, 7, "first")
	})

	It("make versions while others are pending, and one SetInForce brings all versions up to the given one into force", func() {
		for number := uint64(1); number <= 5; number++ {
			expectOutcome(machine.Apply(numbered(number, "x")), configuration.NotInForce, configuration.NoReason, number)
		}
		outcome, changed := machine.SetInForce(4)
		Expect(changed).To(BeTrue())
		expectOutcome(outcome, configuration.Accepted, configuration.NoReason, 4)
		version, pending := machine.PendingVersion()
		Expect(pending).To(BeTrue())
		Expect(version).To(Equal(uint64(5)))
	})

	It("leave several pending versions that a snapshot restores, as after a power loss of a control VM during many changes", func() {
		for number := uint64(1); number <= 5; number++ {
			machine.Apply(numbered(number, "x"))
		}
		machine.SetInForce(2)
		restored := configuration.New(configuration.WithHistory(3))
		Expect(restored.Decode(machine.Encode())).To(Succeed())
		Expect(restored.InForce()).To(Equal(uint64(2)))
		expectStored(restored, 5, "x")
	})

	It("are refused unless they store exactly one object", func() {
		command := numbered(1, "x")
		command.Changes = append(command.Changes, configuration.Remove("state", "desired"))
		expectOutcome(machine.Apply(command), configuration.Refused, configuration.Invalid, 0)
	})
})
