package fleet

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func launch(restart time.Duration, script string) *process {
	GinkgoHelper()
	p := &process{name: "script", path: "/bin/sh", args: []string{"-c", script}, folder: GinkgoT().TempDir(), restart: restart, stopTimeout: time.Minute}
	Expect(p.start()).To(Succeed())
	return p
}

func output(p *process) string {
	raw, err := os.ReadFile(filepath.Join(p.folder, p.name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(raw)
}

var _ = Describe("process", func() {
	It("exits when it is stopped, even if it was suspended by SIGSTOP", func() {
		p := launch(0, "exec sleep 600")
		Expect(p.current().Process.Signal(syscall.SIGSTOP)).To(Succeed())
		p.stop()
		Expect(p.ended).To(BeClosed())
	})

	It("is restarted after it exits by itself, until it is stopped", func() {
		p := launch(time.Millisecond, "echo began; sleep 0.01")
		Eventually(func() int { return strings.Count(output(p), "began") }).WithTimeout(time.Minute).Should(BeNumerically(">", 2))
		p.stop()
		Expect(p.ended).To(BeClosed())
	})
})
