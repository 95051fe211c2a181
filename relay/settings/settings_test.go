package settings_test

import (
	"bytes"
	"errors"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/settings"
)

func expectRefused(text string, line int, field, remedy string) {
	GinkgoHelper()
	_, err := settings.Parse("vm.json", []byte(text))
	var fault *settings.Error
	Expect(errors.As(err, &fault)).To(BeTrue(), "error %v", err)
	Expect(fault.Line).To(Equal(line), fault.Error())
	Expect(fault.Column).To(BeNumerically(">", 0))
	Expect(fault.Field).To(Equal(field))
	Expect(fault.Remedy).To(ContainSubstring(remedy))
	Expect(fault.Error()).To(And(ContainSubstring("vm.json:"), ContainSubstring(fault.Remedy)))
}

var _ = Describe("the settings parser", func() {
	It("reads the printed defaults back unchanged, so that operators can start from the printed file", func() {
		var out bytes.Buffer
		Expect(settings.Print(&out)).To(Succeed())
		parsed, err := settings.Parse("printed", out.Bytes())
		Expect(err).NotTo(HaveOccurred())
		Expect(parsed.Control).To(BeEmpty())
		Expect(parsed).To(Equal(settings.Default()))
	})

	// Guards against a process that ignores the memory of its machine, or a fault in what overrides its file.
	It("reads settings that override those of the file from the environment", func() {
		path := filepath.Join(GinkgoT().TempDir(), "vm.json")
		Expect(os.WriteFile(path, []byte(`{"name": "vm9", "limits": {"queue": 7}}`), 0o600)).To(Succeed())
		GinkgoT().Setenv(settings.OverridesVariable, `{"limits": {"memory": "112000000B", "queue": 8}}`)
		loaded, err := settings.Load(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded.Name).To(Equal("vm9"))
		Expect(loaded.Limits.Queue).To(Equal(8))
		Expect(loaded.Limits.Memory).To(BeEquivalentTo(112_000_000))
		GinkgoT().Setenv(settings.OverridesVariable, `{"limits": {"memories": 1}}`)
		_, err = settings.Load(path)
		Expect(err).To(MatchError(And(ContainSubstring(settings.OverridesVariable), ContainSubstring("limits.memories"))))
	})

	It("overrides the default of each field that the file sets", func() {
		s, err := settings.Parse("vm.json", []byte(`{"name": "a", "data": "d", "listeners": {"peers": "10.0.0.1:7300"}, "platform": "10.0.0.9:80",
			"control": [{"name": "a", "address": "10.0.0.1:7300"}], // this VM
			"neighbours": [{"name": "b", "address": "[fd00::2]:7300"},], "times": {"gap": "1500ms"}, "limits": {"body": "1500B", "queue": 7, "loads": 3, "memory": "16000000000B", "descriptors": 1024}}`))
		Expect(err).NotTo(HaveOccurred())
		want := settings.Default()
		want.Name, want.Data = "a", "d"
		want.Listeners.Peers = netip.MustParseAddrPort("10.0.0.1:7300")
		want.Platform = netip.MustParseAddrPort("10.0.0.9:80")
		want.Control = []settings.Peer{{Name: "a", Address: want.Listeners.Peers}}
		want.Neighbours = []settings.Peer{{Name: "b", Address: netip.MustParseAddrPort("[fd00::2]:7300")}}
		want.Times.Gap, want.Limits.Body, want.Limits.Queue, want.Limits.Loads = 1500*time.Millisecond, 1500, 7, 3
		want.Limits.Memory, want.Limits.Descriptors = 16_000_000_000, 1024
		Expect(s).To(Equal(want))
	})

	// Guards against a default that takes the place of an explicit value.
	DescribeTable("reads the bound of descriptors", func(text string, want int) {
		s, err := settings.Parse("vm.json", []byte(text))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Limits.Descriptors).To(Equal(want))
		Expect(s.Limits.Memory).To(BeZero())
	},
		Entry("the process's limit without a value", `{}`, -1),
		Entry("no bound", `{"limits": {"descriptors": 0}}`, 0),
		Entry("a number", `{"limits": {"descriptors": 1024}}`, 1024),
	)

	It("agrees with the manual on the fields and their defaults, on the examples and on the quoted error", func() {
		page, err := os.ReadFile("../../docs/operate/settings.md")
		Expect(err).NotTo(HaveOccurred())
		for _, f := range settings.Fields() {
			Expect(string(page)).To(ContainSubstring("\n| `" + f.Path + "` | `" + f.Default + "` | " + f.Comment + " |\n"))
		}
		examples := regexp.MustCompile("(?s)```json\n(.*?)```").FindAllSubmatch(page, -1)
		Expect(examples).To(HaveLen(2))
		for _, example := range examples {
			_, err := settings.Parse("settings.md", example[1])
			Expect(err).NotTo(HaveOccurred())
		}
		fault := regexp.MustCompile(`vm\.json:4:5: (.*)`).FindSubmatch(page)
		_, err = settings.Parse("vm.json", []byte("{\n  \"times\": {\n    \"lease\": \"6s\",\n    \"renew\": 2}}"))
		Expect(err).To(MatchError(ContainSubstring(string(fault[1]))))
	})

	It("names the file that it cannot read", func() {
		_, err := settings.Load("missing.json")
		Expect(err).To(MatchError(ContainSubstring("missing.json: the settings file cannot be read")))
	})

	DescribeTable("gives line, field and remedy when it refuses", expectRefused,
		Entry("broken JSON", "{\n\"name\": }", 2, "", "correct the JSON"),
		Entry("an unclosed comment", "{\n/* open", 2, "", "correct the JSON"),
		Entry("an empty file", "", 1, "", "correct the JSON"),
		Entry("a file without an object", "// list\n[]", 2, "", "between { and }"),
		Entry("an unknown field", "{\n\n\"nam\": \"a\"}", 3, "nam", "one of name, centre"),
		Entry("an unknown nested field", "{\"times\": {\n\"leese\": \"6s\"}}", 2, "times.leese", "one of lease, renew"),
		Entry("a field name in upper case", "{\n\"Name\": \"a\"}", 2, "Name", "one of name"),
		Entry("a dotted path as a field name", "{\n\"times.renew\": \"1s\"}", 2, "times.renew", "one of name"),
		Entry("an empty field name", "{\n\"\": {}}", 2, "", "one of name"),
		Entry("a field given twice", "{\"name\": \"a\",\n\"name\": \"a\"}", 2, "name", "remove one of them; the first is in line 1"),
		Entry("a group given twice", "{\"times\": {},\n\"times\": {}}", 2, "times", "remove one"),
		Entry("a group of the wrong type", "{\n\"times\": \"6s\"}", 2, "times", "write an object with lease, renew"),
		Entry("a time without unit", "{\"times\": {\n\"lease\": 6}}", 2, "times.lease", "with its unit"),
		Entry("a time as text without unit", "{\"times\": {\n\"lease\": \"6\"}}", 2, "times.lease", "with its unit"),
		Entry("a bare zero", "{\"times\": {\n\"balancer\": \"0\"}}", 2, "times.balancer", "with its unit"),
		Entry("a negative time", "{\"times\": {\n\"gap\": \"-1s\"}}", 2, "times.gap", "from 1ms to 1h"),
		Entry("a time of the wrong type", "{\"times\": {\n\"gap\": null}}", 2, "times.gap", "with its unit"),
		Entry("a size without unit", "{\"limits\": {\n\"body\": 8388608}}", 2, "limits.body", "with its unit"),
		Entry("a size with an unsupported unit", "{\"limits\": {\n\"body\": \"8MB\"}}", 2, "limits.body", "with its unit"),
		Entry("a size out of range", "{\"limits\": {\n\"answer\": \"2MiB\"}}", 2, "limits.answer", "from 1KiB to 1MiB"),
		Entry("a size whose number of bytes is too large to count", "{\"limits\": {\n\"memory\": \"99999999999GiB\"}}", 2, "limits.memory", "with its unit"),
		Entry("a negative size", "{\"limits\": {\n\"memory\": \"-1MiB\"}}", 2, "limits.memory", "with its unit"),
		Entry("a count as text", "{\"limits\": {\n\"queue\": \"9\"}}", 2, "limits.queue", "without quotes"),
		Entry("a limit of 0 loads, with which engines would never load a new weights version", "{\"limits\": {\n\"loads\": 0}}", 2, "limits.loads", "from 1 to 65536"),
		Entry("a negative number of descriptors", "{\"limits\": {\n\"descriptors\": -2}}", 2, "limits.descriptors", "from -1 to 16777216"),
		Entry("a count with a fraction", "{\"limits\": {\n\"queue\": 1.5}}", 2, "limits.queue", "whole number"),
		Entry("a number instead of a name", "{\n\"name\": 7}", 2, "name", "between quotes"),
		Entry("a name with a space", "{\n\"name\": \"a b\"}", 2, "name", "a-z, 0-9"),
		Entry("an unknown log level", "{\n\"log\": \"loud\"}", 2, "log", "debug, info, warn, error"),
		Entry("an unknown routing policy", "{\"routing\": {\n\"policy\": \"random\"}}", 2, "routing.policy", "cost, reuse, robin, least, hash"),
		Entry("a host name instead of an IP address", "{\"listeners\": {\n\"callers\": \"localhost:7100\"}}", 2, "listeners.callers", "host names are not looked up"),
		Entry("an address without port", "{\n\"store\": \"10.0.0.1\"}", 2, "store", "IP address and port"),
		Entry("port 0", "{\"listeners\": {\n\"callers\": \"10.0.0.1:0\"}}", 2, "listeners.callers", "from 1 to 65535"),
		Entry("a list of names instead of peers", "{\"control\": [\n\"a\"]}", 2, "control[0]", "write {"),
		Entry("an object instead of a list", "{\n\"control\": {}}", 2, "control", "write a list"),
		Entry("a peer without address", "{\"control\": [\n{\"name\": \"a\"}]}", 2, "control[0]", "write {"),
		Entry("an unknown field of a peer", "{\"control\": [{\"name\": \"a\",\n\"port\": 1}]}", 2, "control[0].port", "one of name, address"),
		Entry("a field of a peer given twice", "{\"control\": [{\"name\": \"a\",\n\"name\": \"a\"}]}", 2, "control[0].name", "remove one"),
		Entry("a peer with an unspecified address", "{\"neighbours\": [{\"name\": \"a\",\n\"address\": \"0.0.0.0:1\"}]}", 2, "neighbours[0].address", "other VMs reach it"),
		Entry("a renewal interval as long as the lease", "{\"times\": {\"lease\": \"6s\",\n\"renew\": \"6s\"}}", 2, "times.renew", "a third of lease"),
		Entry("a lease shorter than the default renewal interval", "{\"times\": {\n\"lease\": \"1s\"}}", 2, "times.lease", "a third of lease"),
		Entry("a heartbeat interval as long as the permitted silence", "{\"times\": {\n\"heartbeat\": \"3s\"}}", 2, "times.heartbeat", "a third of silence"),
		Entry("two listeners with the same address", "{\"listeners\": {\n\"peers\": \"127.0.0.1:7100\"}}", 2, "listeners.peers", "its own port"),
		Entry("a wildcard listener on the port of another listener", "{\"listeners\": {\n\"peers\": \"0.0.0.0:7100\"}}", 2, "listeners.peers", "its own port"),
		Entry("a data folder on a VM that control does not list", "{\n\"data\": \"d\"}", 2, "data", "add the VM to control"),
		Entry("a control VM without a data folder", "{\n\"control\": [{\"name\": \"vm1\", \"address\": \"127.0.0.1:7300\"}]}", 2, "control", "set data"),
		Entry("a control VM listed twice", "{\"control\": [{\"name\": \"a\", \"address\": \"10.0.0.1:1\"},\n{\"name\": \"a\", \"address\": \"10.0.0.1:1\"}]}", 2, "control[1].name", "a name of its own"),
		Entry("two VMs with one address", "{\"control\": [{\"name\": \"a\", \"address\": \"10.0.0.1:1\"},\n{\"name\": \"b\", \"address\": \"10.0.0.1:1\"}]}", 2, "control[1].address", "its own address"),
		Entry("one VM with two addresses", "{\"control\": [{\"name\": \"a\", \"address\": \"10.0.0.1:1\"}],\n\"neighbours\": [{\"name\": \"a\", \"address\": \"10.0.0.1:2\"}]}", 2, "neighbours[0].address", "both lists"),
		Entry("the VM itself as a neighbour", "{\"neighbours\": [\n{\"name\": \"vm1\", \"address\": \"10.0.0.1:1\"}]}", 2, "neighbours[0].name", "only the other VMs"),
		Entry("an entry of the VM itself that differs from its peer listener", "{\"data\": \"d\", \"control\": [\n{\"name\": \"vm1\", \"address\": \"10.0.0.1:7300\"}]}", 2, "control[0].address", "the same"),
		Entry("another VM with the address of this VM", "{\"neighbours\": [\n{\"name\": \"b\", \"address\": \"127.0.0.1:7300\"}]}", 2, "neighbours[0].address", "its own address"),
		Entry("too many control VMs", "{\"control\": [{\"name\": \"a\", \"address\": \"10.0.0.1:1\"}, {\"name\": \"b\", \"address\": \"10.0.0.2:1\"}, {\"name\": \"c\", \"address\": \"10.0.0.3:1\"}, {\"name\": \"d\", \"address\": \"10.0.0.4:1\"}, {\"name\": \"e\", \"address\": \"10.0.0.5:1\"}, {\"name\": \"f\", \"address\": \"10.0.0.6:1\"}, {\"name\": \"g\", \"address\": \"10.0.0.7:1\"},\n{\"name\": \"h\", \"address\": \"10.0.0.8:1\"}]}", 2, "control[7]", "at most 7"),
	)
})

// FuzzParse guards against settings files that make the parser panic, and against refusals without a position and a remedy.
func FuzzParse(f *testing.F) {
	var out bytes.Buffer
	if err := settings.Print(&out); err != nil {
		f.Fatal(err)
	}
	for _, seed := range []string{out.String(), "{", `{"times": {"lease": "1s"}}`, `{"control": [{"name": "a", "address": "10.0.0.1:1"}]}`, `{"a\u0000": 1}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := settings.Parse("vm.json", text)
		var fault *settings.Error
		if errors.As(err, &fault) && (fault.Line < 1 || fault.Column < 1 || fault.Remedy == "") || err != nil && fault == nil {
			t.Fatalf("incomplete error %#v", err)
		}
		if err == nil && (s.Times.Renew >= s.Times.Lease || s.Limits.Queue < 1 || !s.Listeners.Callers.IsValid()) {
			t.Fatalf("accepted %+v", s)
		}
	})
}
