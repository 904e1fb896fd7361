package settings

import (
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"
)

// EnvPrefix is the prefix of the environment variables, without the underscore
// that follows it.
const EnvPrefix = "SHALLOTD"

// ErrUsage marks errors about invalid arguments or settings.
var ErrUsage = errors.New("invalid arguments or settings")

// ErrVersionRequested is returned when the command line has the -version flag.
var ErrVersionRequested = errors.New("version requested")

// Load reads the settings from the command line, the environment and the file
// given by -config. It returns flag.ErrHelp after writing the help text to help,
// ErrVersionRequested if the version was requested, or an error marked ErrUsage.
func Load(args []string, help io.Writer) (*Settings, error) {
	s := Default()
	opts := options(s)
	flags := flag.NewFlagSet("shallotd", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	config := flags.String("config", "", "the YAML file with the settings")
	version := flags.Bool("version", false, "print the version and exit")
	for _, o := range opts {
		flags.Var(o.value, flagName(o.path), o.usage)
	}
	err := ff.Parse(flags, args, ff.WithEnvVarPrefix(EnvPrefix))
	switch {
	case errors.Is(err, flag.ErrHelp):
		printHelp(help, opts)
		return nil, flag.ErrHelp
	case err != nil:
		return nil, errors.Mark(err, ErrUsage)
	case *version:
		return nil, ErrVersionRequested
	case flags.NArg() > 0:
		return nil, errors.Mark(errors.Newf("unexpected argument %q", flags.Arg(0)), ErrUsage)
	}
	if err := loadFile(flags, *config, opts); err != nil {
		return nil, errors.Mark(err, ErrUsage)
	}
	return s, errors.Mark(s.validate(opts), ErrUsage)
}

// loadFile applies the settings of the file that are set neither on the command
// line nor in the environment. The overridden ones are validated as well.
func loadFile(flags *flag.FlagSet, path string, opts []option) error {
	if path == "" {
		return nil
	}
	file, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open settings file")
	}
	defer func() { _ = file.Close() }()
	alreadySet := map[string]bool{}
	flags.Visit(func(f *flag.Flag) { alreadySet[f.Name] = true })
	err = readFile(file, opts, func(name, value string) error {
		if alreadySet[name] {
			return validateValue(name, value)
		}
		return flags.Set(name, value)
	})
	return errors.Wrap(err, path)
}

// validateValue checks a value without applying it.
func validateValue(name, value string) error {
	for _, o := range options(Default()) {
		if flagName(o.path) == name {
			return o.value.Set(value)
		}
	}
	return nil
}

// validate checks that all required settings are set and that settings which
// depend on each other are consistent.
func (s *Settings) validate(opts []option) error {
	for _, o := range opts {
		if o.required && o.value.String() == "" {
			return errors.Newf("%s is required: set it in the settings file, with -%s or with %s", o.path, flagName(o.path), envName(o.path))
		}
	}
	if !strings.HasPrefix(s.Target, s.Service+"-") {
		return errors.Newf("target %q does not belong to service %q, whose targets are named %s-1, %s-2 and so on", s.Target, s.Service, s.Service, s.Service)
	}
	if s.ListenPeers.Addr().IsUnspecified() {
		return errors.Newf("listen.peers is %s: it must be the specific IP address that other nodes see this node connect from", s.ListenPeers)
	}
	if s.MaxHeldBodyBytes < s.MaxBodyBytes {
		return errors.Newf("limits.held_bytes (%d) is less than limits.body_bytes (%d)", s.MaxHeldBodyBytes, s.MaxBodyBytes)
	}
	return nil
}

// envName returns the name of the environment variable for a setting's path.
func envName(path string) string {
	return EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(flagName(path), "-", "_"))
}

const helpHeader = `shallotd runs one node of shallotspool beside one upstream.

Usage:
  shallotd -config FILE [flags]

Each setting can be given in the YAML file, in the environment or on the
command line. The command line overrides the environment, which overrides the
file.

Settings (file path, flag, environment variable):
`

const helpFooter = `
Signals:
  SIGTERM, SIGINT  stop gracefully: accept no new calls and complete open ones;
                   a second signal stops at once

Exit codes:
  0  stopped gracefully, or printed the help or version
  1  failed, or was stopped at once with calls in flight
  2  invalid arguments or settings
`

// printHelp writes the help text with all options to w.
func printHelp(w io.Writer, opts []option) {
	_, _ = fmt.Fprint(w, helpHeader)
	for _, o := range opts {
		_, _ = fmt.Fprintf(w, "  %s\n      -%s  %s\n      %s%s\n", o.path, flagName(o.path), envName(o.path), o.usage, formatDefault(o))
	}
	_, _ = fmt.Fprint(w, "\nOther flags:\n  -config FILE  the settings file (SHALLOTD_CONFIG)\n  -version      print the version and exit\n  -help         print this help and exit\n")
	_, _ = fmt.Fprint(w, helpFooter)
}

// formatDefault returns the note on an option's default value in the help text.
func formatDefault(o option) string {
	switch {
	case o.required:
		return " (required)"
	case o.value.String() == "":
		return ""
	}
	return " (default " + o.value.String() + ")"
}
