package registry_test

import (
	"errors"
	"fmt"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/coord/configuration"
	"github.com/chicoryrelay/chicoryrelay/coord/lease"
	"github.com/chicoryrelay/chicoryrelay/coord/ledger"
	"github.com/chicoryrelay/chicoryrelay/coord/registry"
)

var start = time.UnixMilli(1_800_000_000_000)

func accountExists(objects configuration.Objects, claim ledger.Claim) error {
	if _, ok := objects.Get("account", claim.Key.Account); !ok {
		return errors.New("the account does not exist")
	}
	return nil
}

func change(id string, expected uint64, changes ...configuration.Change) []byte {
	return registry.ChangeEntry(start, configuration.Command{ID: id, Actor: "ann", Expected: expected, Changes: changes})
}

func claim(at time.Time, key string, attempt uint16) []byte {
	return registry.LedgerEntry(at, ledger.Command{Claim: &ledger.Claim{
		Key: ledger.Key{Account: "baths", Path: "/slots", Key: key}, Attempt: ledger.Attempt{byte(attempt), byte(attempt >> 8), 1},
		Owner: ledger.Owner{VM: "a", Boot: 1},
	}})
}

func complete(at time.Time, key string, attempt uint16) []byte {
	return registry.LedgerEntry(at, ledger.Command{Complete: &ledger.Complete{
		Key: ledger.Key{Account: "baths", Path: "/slots", Key: key}, Attempt: ledger.Attempt{byte(attempt), byte(attempt >> 8), 1}, Answer: []byte("slot 9"),
	}})
}

var _ = Describe("registry", func() {
	var (
		machine *registry.Machine
		index   uint64
	)

	BeforeEach(func() { machine, index = registry.New(registry.WithClaimCheck(accountExists)), 0 })

	apply := func(data []byte) registry.Reply {
		index++
		return machine.Apply(index, data)
	}
	expectVerdict := func(data []byte, verdict ledger.Verdict) {
		GinkgoHelper()
		Expect(apply(data).Ledger.Verdict).To(Equal(verdict))
	}

	It("checks a claim against the pending version, whose rules are already committed", func() {
		expectVerdict(claim(start, "k", 1), ledger.Denied)
		apply(change("add", 0, configuration.Put("account", "baths", nil)))
		expectVerdict(claim(start, "k", 2), ledger.Granted)
		apply(registry.InForceEntry(start, 1))
		apply(change("remove", 1, configuration.Remove("account", "baths")))
		expectVerdict(claim(start, "l", 3), ledger.Denied)
	})

	It("reports a change as accepted once, with the entry that declares its version in force", func() {
		apply(change("add", 0, configuration.Put("account", "baths", nil)))
		Expect(apply(registry.InForceEntry(start, 1)).Outcome.Status).To(Equal(configuration.Accepted))
		Expect(apply(registry.InForceEntry(start, 1)).Outcome).To(BeNil())
	})

	It("drops the fingerprints of an account only when its removal is in force", func() {
		apply(change("add", 0, configuration.Put("account", "baths", nil)))
		apply(registry.InForceEntry(start, 1))
		apply(claim(start, "k", 1))
		apply(complete(start, "k", 1))
		apply(claim(start.Add(49*time.Hour), "l", 2))
		apply(change("remove", 1, configuration.Remove("account", "baths")))
		Expect(machine.Ledger().Len()).To(Equal(2))
		apply(registry.InForceEntry(start, 2))
		Expect(machine.Ledger().Len()).To(Equal(1))
	})

	It("keeps its time when a leader's clock is behind, since a time that goes back would change the retention of records", func() {
		apply(claim(start.Add(time.Hour), "k", 1))
		apply(claim(start, "k", 2))
		Expect(machine.Time()).To(Equal(start.Add(time.Hour)))
	})

	It("ignores an entry that was already applied, and rejects an unreadable entry without a change of state", func() {
		apply(registry.AcquireOrderLeaseEntry(start, lease.Incarnation{VM: "a", Boot: 1}))
		Expect(machine.Apply(1, registry.AcquireOrderLeaseEntry(start, lease.Incarnation{VM: "b", Boot: 1})).Err).To(MatchError(registry.ErrAlreadyApplied))
		Expect(apply([]byte{0xff}).Err).To(MatchError(ContainSubstring("same release")))
		Expect(apply(nil)).To(Equal(registry.Reply{Index: 3}))
		Expect(machine.Fence()).To(Equal(lease.Fence{Number: 1, Holder: lease.Incarnation{VM: "a", Boot: 1}}))
	})

	It("has an identical snapshot after each restore and can be restored without the claim check", func() {
		apply(change("add", 0, configuration.Put("account", "baths", nil)))
		for i := range uint16(60) {
			at := start.Add(time.Duration(i) * time.Hour)
			apply(claim(at, fmt.Sprint("k", i), i))
			if i%3 != 0 {
				apply(complete(at, fmt.Sprint("k", i), i))
			}
			apply(registry.LedgerEntry(at, ledger.Command{Release: &ledger.Release{Key: ledger.Key{Account: "baths", Path: "/slots", Key: fmt.Sprint("k", i/2)}, Attempt: ledger.Attempt{byte(i / 2), 0, 1}}}))
			restored := registry.New(registry.WithClaimCheck(accountExists))
			Expect(restored.Restore(machine.Snapshot())).To(Succeed())
			Expect(restored.Snapshot()).To(Equal(machine.Snapshot()))
			machine = restored
		}
		withoutCheck := registry.New()
		Expect(withoutCheck.Restore(machine.Snapshot())).To(Succeed())
	})

	It("keeps its state if the snapshot to restore is damaged", func() {
		apply(change("add", 0, configuration.Put("account", "baths", nil)))
		before := machine.Snapshot()
		Expect(machine.Restore(before[:len(before)-1])).NotTo(Succeed())
		Expect(machine.Snapshot()).To(Equal(before))
	})

	It("uses less than 400 bytes of heap per open claim and less than 80 per fingerprint", func() {
		machine = registry.New()
		open, old := bytesPerClaim(machine, 60_000)
		GinkgoWriter.Printf("open claim %d bytes, fingerprint %d bytes\n", open, old)
		Expect(open).To(BeNumerically("<", 400))
		Expect(old).To(BeNumerically("<", 80))
	})
})

// bytesPerClaim returns the heap bytes per open claim and per fingerprint. Fingerprints are measured after a restore, so that
// spare map capacity of earlier claims does not count.
func bytesPerClaim(machine *registry.Machine, n int) (open, old int) {
	heap := func() int {
		var stats runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return int(stats.HeapAlloc)
	}
	empty := heap()
	for i := range n {
		machine.Apply(uint64(i+1), claim(start, fmt.Sprint(i), uint16(i)))
	}
	open = (heap() - empty) / n
	for i := range n {
		machine.Apply(uint64(n+i+1), complete(start, fmt.Sprint(i), uint16(i)))
	}
	machine.Apply(uint64(2*n+1), complete(start.Add(49*time.Hour), "", 0))
	snapshot := machine.Snapshot()
	empty = heap()
	restored := registry.New()
	Expect(restored.Restore(snapshot)).To(Succeed())
	Expect(restored.Ledger().Len()).To(Equal(n))
	old = (heap() - empty) / n
	runtime.KeepAlive(machine)
	runtime.KeepAlive(restored)
	runtime.KeepAlive(snapshot)
	return open, old
}

func BenchmarkClaim(b *testing.B) {
	machine := registry.New(registry.WithLedger(ledger.WithLimits(b.N+2, b.N+2)))
	for i := range b.N {
		machine.Apply(uint64(i+1), claim(start, fmt.Sprint(i), uint16(i)))
	}
	b.ReportMetric(float64(len(machine.Snapshot()))/float64(b.N), "snapshot-B/op")
}

func FuzzApply(f *testing.F) {
	f.Add(change("a", 0, configuration.Put("account", "baths", nil)), claim(start, "k", 1))
	f.Add(claim(start, "k", 1), complete(start, "k", 1))
	f.Add(registry.InForceEntry(start, 1), registry.AcquireOrderLeaseEntry(start, lease.Incarnation{VM: "a"}))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		machine := registry.New()
		machine.Apply(1, change("x", 0, configuration.Put("account", "baths", nil)))
		machine.Apply(2, first)
		machine.Apply(3, second)
		restored := registry.New()
		if err := restored.Restore(machine.Snapshot()); err != nil {
			t.Fatal(err)
		}
		if string(restored.Snapshot()) != string(machine.Snapshot()) {
			t.Fatal("snapshot differs after a restore")
		}
	})
}

func FuzzRestore(f *testing.F) {
	machine := registry.New()
	for i, data := range [][]byte{
		change("a", 0, configuration.Put("account", "baths", nil)), claim(start, "k", 1), complete(start, "k", 1), claim(start.Add(49*time.Hour), "l", 2),
	} {
		machine.Apply(uint64(i+1), data)
		f.Add(machine.Snapshot())
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		restored := registry.New()
		if restored.Restore(data) != nil {
			return
		}
		restored.Apply(restored.Index()+1, claim(start, "k", 7))
		second := registry.New()
		if err := second.Restore(restored.Snapshot()); err != nil {
			t.Fatal(err)
		}
	})
}

// The leader proposes the bytes and each voter applies the committed entries.
func Example() {
	machine := registry.New(registry.WithClaimCheck(accountExists))
	machine.Apply(1, change("add", 0, configuration.Put("account", "baths", nil)))
	fmt.Println(machine.Apply(2, registry.InForceEntry(start, 1)).Outcome.Status)
	fmt.Println(machine.Apply(3, claim(start, "order-17", 1)).Ledger.Verdict)
	fmt.Println(machine.Apply(4, registry.AcquireOrderLeaseEntry(start, lease.Incarnation{VM: "vm1", Boot: 1})).Fence.Number)
	// Output:
	// accepted
	// granted
	// 1
}
