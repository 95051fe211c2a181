package vm

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/dispatch"
	"github.com/chicoryrelay/chicoryrelay/relay/forward"
	"github.com/chicoryrelay/chicoryrelay/relay/pause"
	"github.com/chicoryrelay/chicoryrelay/relay/route"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
	"github.com/chicoryrelay/chicoryrelay/relay/settings"
)

var _ = Describe("older weights", func() {
	var (
		st           *state
		p            *placer
		registryTime time.Time
	)
	named := time.Date(2026, 12, 5, 10, 0, 0, 0, time.UTC)

	BeforeEach(func() {
		registryTime = time.Time{}
		s := settings.Settings{Name: "vm", Centre: "a"}
		s.Times.Weights, s.Routing.Policy = 8*time.Second, string(routing.Reuse)
		st = newState(Adapter{}, &log.Logger{Handler: discard.Default})
		st.registryTime = func() time.Time { return registryTime }
		d := newDispatcher(s, log.Log)
		d.Run()
		DeferCleanup(d.Stop)
		p = newPlacer(s, st, d, pause.New(), st.log)
		d.Configure(&catalogue.Catalogue{Upstreams: []catalogue.Upstream{{Name: "e", Kind: catalogue.Engine, Model: modelKey("llm", "m"), Weights: "1", Slots: 8, Cache: 90_000}}})
	})
	install := func(services []string, weights catalogue.Weights) {
		desired := &route.State{}
		for _, name := range services {
			desired.Services = append(desired.Services, route.Service{Name: name, Engine: &route.Engine{Slots: 8, Models: []string{"m"}}})
		}
		st.table.Store(route.NewTable(desired))
		st.weights.Store(&map[string]catalogue.Weights{"m": weights})
		p.notifyWeights()
	}
	// served returns whether a request for the model is sent to the engine, which serves version 1.
	served := func() bool {
		GinkgoHelper()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		ticket, err := p.dispatch.Acquire(ctx, dispatch.Request{ID: time.Now().String(), Assistant: catalogue.Assistant{Model: modelKey("llm", "m")}, PromptTokens: 10, AnswerTokens: 1, Arrived: time.Now()})
		if err == nil {
			ticket.Cancel()
		}
		return err == nil
	}

	It("are used for the rest of their time by a VM that learns of newer ones late", func() {
		registryTime = named.Add(7 * time.Second)
		install([]string{"llm"}, catalogue.Weights{}.WithNaming(2, named))
		Expect(served()).To(BeTrue())
		Eventually(served, "2s", "20ms").Should(BeFalse())
	})

	// Guards against a VM that has just started, or was cut off, and takes weights for new that the others have known for long.
	It("are not used by a VM that learns of newer ones when their time is over", func() {
		registryTime = named.Add(7200 * time.Millisecond)
		install([]string{"llm"}, catalogue.Weights{}.WithNaming(2, named))
		Expect(served()).To(BeFalse())
	})

	// Guards against a machine whose clock stood still while it was suspended.
	It("are not used once the replicated log's time shows that this VM's clock has missed some", func() {
		registryTime = named
		install([]string{"llm"}, catalogue.Weights{}.WithNaming(2, named))
		Expect(served()).To(BeTrue())
		registryTime = named.Add(7200 * time.Millisecond)
		p.notifyWeights()
		Expect(served()).To(BeFalse())
	})

	// Guards against a service that is added later with engines of a model whose weights were named before.
	It("are not used by a service that was added after newer ones were named", func() {
		registryTime = named.Add(7200 * time.Millisecond)
		install(nil, catalogue.Weights{}.WithNaming(2, named))
		Expect(served()).To(BeTrue())
		install([]string{"llm"}, catalogue.Weights{}.WithNaming(2, named))
		Expect(served()).To(BeFalse())
	})

	It("are used when their naming has no time, as from an earlier release, or while the log's time is unknown", func() {
		install([]string{"llm"}, catalogue.Weights{}.WithNaming(2, named))
		Expect(served()).To(BeTrue())
		registryTime = named.Add(time.Hour)
		install([]string{"llm"}, catalogue.Weights{Version: 2})
		Expect(served()).To(BeTrue())
	})

	It("cause one message for each version, and none for what the routing core knows", func() {
		n := namings{}
		Expect(n.update("m", map[uint64]time.Duration{2: time.Second, 3: 2 * time.Second})).To(Equal([]uint64{2, 3}))
		Expect(n.update("m", map[uint64]time.Duration{2: time.Second, 3: 5 * time.Second})).To(BeEmpty())
		Expect(n.update("m", map[uint64]time.Duration{3: time.Second, 4: 3 * time.Second})).To(Equal([]uint64{3, 4}))
		Expect(n["m"]).To(HaveLen(2))
	})
})

var _ = Describe("an engine on older weights", func() {
	named := time.Date(2026, 12, 5, 10, 0, 0, 0, time.UTC)
	o := &orderSender{}
	o.settings.Times.Weights = 10 * time.Second

	It("is overdue when most of the time since the next version was named is over", func() {
		wanted := catalogue.Weights{}.WithNaming(3, named).WithNaming(4, named.Add(5*time.Second))
		Expect(o.overdue(2, wanted, named.Add(7900*time.Millisecond))).To(BeFalse())
		Expect(o.overdue(2, wanted, named.Add(8*time.Second))).To(BeTrue())
		Expect(o.overdue(3, wanted, named.Add(8*time.Second))).To(BeFalse())
		Expect(o.overdue(2, catalogue.Weights{Version: 4}, named)).To(BeTrue())
	})
})

var _ = Describe("the retries that a VM tells its leader", func() {
	It("are the least of its services with engines, and none before the first desired state", func() {
		st, budget := newState(Adapter{}, &log.Logger{Handler: discard.Default}), forward.NewBudget()
		budget.SetLimits(0, 100)
		budget.SetVMs(1)
		Expect(leftRetries(st, budget)).To(BeZero())
		engine := &route.Engine{}
		st.table.Store(route.NewTable(&route.State{Services: []route.Service{{Name: "plain"}, {Name: "a", Engine: engine}, {Name: "b", Engine: engine}}}))
		left := leftRetries(st, budget)
		Expect(left).To(BeNumerically(">", 3))
		for _, service := range []string{"plain", "plain", "plain", "b"} {
			Expect(budget.Withdraw(service)).To(BeTrue())
		}
		Expect(leftRetries(st, budget)).To(Equal(left - 1))
	})
})
