package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os/signal"
	"strconv"
	"syscall"

	"github.com/spf13/cobra"
)

// The program's exit codes.
const (
	exitAccepted = 0
	exitRefused  = 1
	exitUsage    = 2
	// exitUnknown is used for unknown and pending outcomes: the change may still come into force.
	exitUnknown = 3
)

// exitError is an error with the program's exit code. A nil err means that the cause has already been printed.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string {
	if e.err == nil {
		return "exit code " + strconv.Itoa(e.code)
	}
	return e.err.Error()
}

// Unwrap returns the cause, which is nil if it has already been printed.
func (e *exitError) Unwrap() error { return e.err }

func exitErrorf(code int, format string, args ...any) error {
	return &exitError{code: code, err: fmt.Errorf(format, args...)}
}

// program has the values of the global flags and the standard streams, which all commands use.
type program struct {
	address netip.AddrPort
	key     string
	json    bool
	in      io.Reader
	out     io.Writer
	err     io.Writer
}

func run(args []string, key string, in io.Reader, out, errors io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	p := &program{in: in, out: out, err: errors}
	root := p.root(key)
	root.SetArgs(args)
	return p.report(root.ExecuteContext(ctx))
}

func (p *program) root(key string) *cobra.Command {
	root := &cobra.Command{
		Use: "chicoryctl", Short: "send operators' statements to the relay",
		Long: "chicoryctl sends operators' statements to a VM of the relay and prints the responses.\n\n" +
			"The exit code is 0 if the change was accepted or the query answered, 1 if it was refused or the VM cannot be reached,\n2 if chicoryctl was used wrongly, and 3 if the outcome is pending or unknown or the response is incomplete.",
		SilenceUsage: true, SilenceErrors: true,
		PersistentPreRunE: func(command *cobra.Command, _ []string) error {
			if p.key == "" {
				p.key = key
			}
			if p.key == "" && command.Name() != "key" {
				return exitErrorf(exitUsage, "operator's key missing: give --key or set the environment variable CHICORY_KEY")
			}
			return nil
		},
	}
	root.CompletionOptions.DisableDefaultCmd = true
	root.SetOut(p.out)
	root.SetErr(p.err)
	flags := root.PersistentFlags()
	flags.TextVar(&p.address, "address", netip.MustParseAddrPort("127.0.0.1:7200"), "IP address and port of a VM's listener for operators (listeners.operators in its settings)")
	flags.StringVar(&p.key, "key", "", "operator's key (default: environment variable CHICORY_KEY)")
	flags.BoolVar(&p.json, "json", false, "print the VM's JSON response to a statement unchanged")
	root.AddCommand(p.showCommand(), p.doCommand(), p.auditCommand(), p.metricsCommand(), p.shellCommand(), p.keyCommand())
	return root
}

// report prints err, unless it is nil or already printed, and returns the program's exit code.
func (p *program) report(err error) int {
	if err == nil {
		return exitAccepted
	}
	var exitErr *exitError
	if !errors.As(err, &exitErr) || exitErr.err != nil {
		p.printError(err)
	}
	return exitCode(err)
}

// exitCode returns the exit code of a non-nil error; an error without one comes from cobra's checks of flags and arguments.
func exitCode(err error) int {
	var exitErr *exitError
	if errors.As(err, &exitErr) {
		return exitErr.code
	}
	return exitUsage
}

func (p *program) printError(err error) {
	_, _ = fmt.Fprintln(p.err, "chicoryctl:", err) // A failure to write to standard error cannot be reported anywhere.
}
