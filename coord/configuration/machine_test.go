package configuration_test

import (
	"errors"
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/coord/configuration"
)

func put(id, actor string, expected uint64, value string) configuration.Command {
	return configuration.Command{ID: id, Actor: actor, Expected: expected, Changes: []configuration.Change{
		configuration.Put("account", "baths", []byte(value)),
	}}
}

func expectOutcome(outcome configuration.Outcome, status configuration.Status, reason configuration.Reason, version uint64) {
	GinkgoHelper()
	Expect(outcome.Status).To(Equal(status))
	Expect(outcome.Reason).To(Equal(reason))
	Expect(outcome.Version).To(Equal(version))
}

var _ = Describe("configuration machine", func() {
	var machine *configuration.Machine

	BeforeEach(func() {
		machine = configuration.New(configuration.WithHistory(3), configuration.WithOutcomes(3),
			configuration.WithCheck(func(objects configuration.Objects, change configuration.Change) error {
				if string(change.Object.Value) == "needs model" {
					if _, ok := objects.Get("model", "m"); !ok {
						return errors.New("model m does not exist")
					}
				}
				return nil
			}))
	})

	accept := func(id string, expected uint64) {
		GinkgoHelper()
		expectOutcome(machine.Apply(put(id, "ann", expected, id)), configuration.NotInForce, configuration.NoReason, expected+1)
		machine.SetInForce(expected + 1)
	}

	It("refuses the second of two commands for one version and names the first, whose change it would overwrite", func() {
		machine.Apply(put("a", "ann", 0, "1"))
		outcome := machine.Apply(put("b", "bob", 0, "2"))
		expectOutcome(outcome, configuration.Refused, configuration.Conflict, 1)
		Expect(outcome.Winner).To(Equal(configuration.Winner{ID: "a", Actor: "ann", Version: 1}))
		Expect(outcome.Err()).To(MatchError(ContainSubstring("version 1 was made by command a of ann")))
	})

	It("refuses a second command while a version is pending, since it could revert that version", func() {
		machine.Apply(put("a", "ann", 0, "1"))
		expectOutcome(machine.Apply(put("b", "bob", 1, "2")), configuration.Refused, configuration.Conflict, 1)
	})

	It("returns the outcome of the first application for a retried command", func() {
		expectOutcome(machine.Apply(put("a", "ann", 0, "1")), configuration.NotInForce, configuration.NoReason, 1)
		expectOutcome(machine.Apply(put("a", "ann", 0, "1")), configuration.NotInForce, configuration.NoReason, 1)
		machine.SetInForce(1)
		expectOutcome(machine.Apply(put("a", "ann", 0, "1")), configuration.Accepted, configuration.NoReason, 1)
		Expect(machine.Newest()).To(Equal(uint64(1)))
	})

	It("recognises the retry of a pending command whose outcome was evicted", func() {
		machine.Apply(put("a", "ann", 0, "1"))
		for i := range 5 {
			machine.Apply(put(fmt.Sprint("other", i), "bob", 0, "2"))
		}
		Expect(machine.Outcome("a").Status).To(Equal(configuration.Unknown))
		expectOutcome(machine.Apply(put("a", "ann", 0, "1")), configuration.NotInForce, configuration.NoReason, 1)
	})

	It("refuses a reused command ID with different content, whose author would otherwise get the first command's outcome", func() {
		accept("a", 0)
		expectOutcome(machine.Apply(put("a", "ann", 1, "other")), configuration.Refused, configuration.IDReused, 1)
	})

	It("refuses an expected version that does not exist", func() {
		expectOutcome(machine.Apply(put("a", "ann", 7, "1")), configuration.Refused, configuration.VersionUnknown, 0)
	})

	It("checks each change against the objects as changed by the command's earlier changes", func() {
		assistant := configuration.Put("assistant", "x", []byte("needs model"))
		model := configuration.Put("model", "m", nil)
		command := configuration.Command{ID: "a", Changes: []configuration.Change{model, assistant}}
		command.Changes = []configuration.Change{assistant, model}
		expectOutcome(machine.Apply(command), configuration.Refused, configuration.Invalid, 0)
		Expect(machine.Objects().Len()).To(BeZero())
		command = configuration.Command{ID: "b", Changes: []configuration.Change{model, assistant}}
		expectOutcome(machine.Apply(command), configuration.NotInForce, configuration.NoReason, 1)
	})

	DescribeTable("refuses a command that cannot be applied", func(command configuration.Command) {
		expectOutcome(machine.Apply(command), configuration.Refused, configuration.Invalid, 0)
	},
		Entry("without an ID", configuration.Command{Changes: []configuration.Change{configuration.Put("a", "b", nil)}}),
		Entry("without changes", configuration.Command{ID: "a"}),
		Entry("without an object name", configuration.Command{ID: "a", Changes: []configuration.Change{configuration.Put("a", "", nil)}}),
		Entry("that removes an object that does not exist", configuration.Command{ID: "a", Changes: []configuration.Change{configuration.Remove("a", "b")}}),
	)

	It("keeps the version in force when SetInForce is called for it again or for an older or unknown version", func() {
		accept("a", 0)
		machine.Apply(put("b", "ann", 1, "2"))
		for _, version := range []uint64{0, 1, 3} {
			_, changed := machine.SetInForce(version)
			Expect(changed).To(BeFalse())
		}
		Expect(machine.InForce()).To(Equal(uint64(1)))
	})

	It("returns a delta if the history reaches back far enough and all objects otherwise", func() {
		holder := configuration.NewHolder()
		for version := range uint64(6) {
			accept(fmt.Sprint("c", version), version)
			update := machine.Update(holder.Version())
			Expect(update.Full).To(Equal(version == 0))
			Expect(holder.Install(update)).To(BeTrue())
			Expect(holder.Objects().All()).To(Equal(machine.Objects().All()))
		}
		Expect(machine.Update(2).Full).To(BeTrue())
		Expect(machine.Update(3).Full).To(BeFalse())
		Expect(machine.Update(99).Changes).To(BeEmpty())
	})
})

var _ = Describe("configuration holder", func() {
	var holder *configuration.Holder
	update := configuration.Update{To: 5, Full: true, Objects: []configuration.Object{{Kind: "account", Name: "baths", Value: []byte("1")}}}

	BeforeEach(func() {
		holder = configuration.NewHolder()
		Expect(holder.Install(update)).To(BeTrue())
	})

	It("ignores an older version, which a delayed message or a lagging peer may send", func() {
		Expect(holder.Install(configuration.Update{To: 4, Full: true})).To(BeFalse())
		Expect(holder.Version()).To(Equal(uint64(5)))
	})

	It("refuses a delta that starts from another version, which would skip changes", func() {
		_, err := holder.Install(configuration.Update{From: 6, To: 7})
		Expect(err).To(MatchError(ContainSubstring("request an update from version 5")))
	})

	It("restores its configuration from the data that Save returned, as after a restart", func() {
		restored := configuration.NewHolder()
		Expect(restored.Load(holder.Save())).To(Succeed())
		Expect(restored).To(Equal(holder))
	})

	It("refuses damaged or truncated data, as a torn write leaves it", func() {
		saved := holder.Save()
		for i := range saved {
			damaged := append([]byte(nil), saved...)
			damaged[i] ^= 1
			Expect(configuration.NewHolder().Load(damaged)).NotTo(Succeed(), "byte %d", i)
			Expect(configuration.NewHolder().Load(saved[:i])).NotTo(Succeed(), "%d bytes", i)
		}
	})
})
