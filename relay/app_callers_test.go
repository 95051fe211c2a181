package main

import (
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/settings"
)

var _ = Describe("the guard of the daemon's listeners", func() {
	// Guards against a daemon without settings of limits that accepts connections until its descriptors are used up.
	DescribeTable("bounds callers' connections", func(limits settings.Limits, bounded bool) {
		guard := newGuard(settings.Settings{Limits: limits}, &log.Logger{Handler: discard.Default})
		Expect(guard.Counters().MaxConnections > 0).To(Equal(bounded))
	},
		Entry("by default", settings.Default().Limits, true),
		Entry("by a number", settings.Limits{Descriptors: 1024}, true),
		Entry("not with an explicit 0", settings.Limits{}, false),
	)
})
