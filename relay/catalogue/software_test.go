package catalogue_test

import (
	"encoding/json"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
)

// Guards against a configured software version that no header or event ID can bear.
var _ = DescribeTable("the software version of an upstream", func(software string, accepted bool) {
	value, err := json.Marshal(map[string]any{"address": "10.0.0.7:8000", "centre": "c", "region": "r", "kind": "engine", "model": "m", "weights": "1", "software": software})
	Expect(err).NotTo(HaveOccurred())
	_, err = catalogue.Decode(catalogue.Object{Kind: catalogue.KindUpstream, Name: "e7", Value: value})
	if accepted {
		Expect(err).NotTo(HaveOccurred())
		return
	}
	Expect(err).To(MatchError(ContainSubstring("software")))
},
	Entry("may be missing", "", true),
	Entry("may have any printable character", "2:0 %~", true),
	Entry("may have 128 characters", strings.Repeat("s", 128), true),
	Entry("has no more than 128 characters", strings.Repeat("s", 129), false),
	Entry("has no line feed", "2\n0", false),
	Entry("has no other letters", "é", false),
)
