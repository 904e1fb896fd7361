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

// EnvPrefix begins the names of the environment variables.
const EnvPrefix = "SHALLOTD"

// ErrUsage marks settings that a node cannot start with.
var ErrUsage = errors.New("wrong settings")

// ErrVersion asks for the version instead of a run.
var ErrVersion = errors.New("version asked for")

// Load reads the settings from the command line, the environment and the file
// that -config names. It returns flag.ErrHelp after it printed the help to
// help, ErrVersion, or an error marked ErrUsage.
func Load(args []string, help io.Writer) (*Settings, error) {
	s := New()
	known := options(s)
	flags := flag.NewFlagSet("shallotd", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	config := flags.String("config", "", "the YAML file with the settings")
	version := flags.Bool("version", false, "print the version and exit")
	for _, o := range known {
		flags.Var(o.value, flagName(o.path), o.usage)
	}
	err := ff.Parse(flags, args, ff.WithEnvVarPrefix(EnvPrefix))
	switch {
	case errors.Is(err, flag.ErrHelp):
		printHelp(help, known)
		return nil, flag.ErrHelp
	case err != nil:
		return nil, errors.Mark(err, ErrUsage)
	case *version:
		return nil, ErrVersion
	case flags.NArg() > 0:
		return nil, errors.Mark(errors.Newf("unexpected argument %q", flags.Arg(0)), ErrUsage)
	}
	if err := applyFile(flags, *config, known); err != nil {
		return nil, errors.Mark(err, ErrUsage)
	}
	return s, errors.Mark(s.check(known), ErrUsage)
}

// applyFile sets from the file what neither the command line nor the
// environment set.
func applyFile(flags *flag.FlagSet, path string, known []option) error {
	if path == "" {
		return nil
	}
	file, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "settings file")
	}
	defer func() { _ = file.Close() }()
	given := map[string]bool{}
	flags.Visit(func(f *flag.Flag) { given[f.Name] = true })
	err = readFile(file, known, func(name, value string) error {
		if given[name] {
			return checkOnly(name, value)
		}
		return flags.Set(name, value)
	})
	return errors.Wrap(err, path)
}

// checkOnly checks a value that another one overrides.
func checkOnly(name, value string) error {
	for _, o := range options(New()) {
		if flagName(o.path) == name {
			return o.value.Set(value)
		}
	}
	return nil
}

// check looks at what the single values cannot show.
func (s *Settings) check(known []option) error {
	for _, o := range known {
		if o.required && o.value.String() == "" {
			return errors.Newf("%s is not set: give it in the file, as -%s or as %s", o.path, flagName(o.path), envName(o.path))
		}
	}
	if !strings.HasPrefix(s.Target, s.Service+"-") {
		return errors.Newf("target %q is not a target of service %q: they are named %s-1, %s-2 and so on", s.Target, s.Service, s.Service, s.Service)
	}
	if s.ListenPeers.Addr().IsUnspecified() {
		return errors.Newf("listen.peers is %s: other nodes must know the IP they see this node by", s.ListenPeers)
	}
	if s.HeldBytes < s.BodyBytes {
		return errors.Newf("limits.held_bytes is %d, less than limits.body_bytes %d", s.HeldBytes, s.BodyBytes)
	}
	return nil
}

func envName(path string) string {
	return EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(flagName(path), "-", "_"))
}

const helpHead = `shallotd runs one node of shallotspool beside one upstream.

Usage:
  shallotd -config FILE [flags]

Each setting can stand in the YAML file, in the environment or on the command
line; the command line goes first, then the environment, then the file.

Settings (file path, flag, environment variable):
`

const helpTail = `
Signals:
  SIGTERM, SIGINT  stop gracefully: take no new work, finish what is in flight;
                   a second one stops at once

Exit codes:
  0  stopped gracefully, or printed the help or version
  1  failed, or was stopped at once with calls in flight
  2  wrong usage or settings
`

func printHelp(w io.Writer, known []option) {
	_, _ = fmt.Fprint(w, helpHead)
	for _, o := range known {
		_, _ = fmt.Fprintf(w, "  %s\n      -%s  %s\n      %s%s\n", o.path, flagName(o.path), envName(o.path), o.usage, defaultOf(o))
	}
	_, _ = fmt.Fprint(w, "\nOther flags:\n  -config FILE  the settings file (SHALLOTD_CONFIG)\n  -version      print the version and exit\n  -help         print this and exit\n")
	_, _ = fmt.Fprint(w, helpTail)
}

func defaultOf(o option) string {
	switch {
	case o.required:
		return " (required)"
	case o.value.String() == "":
		return ""
	}
	return " (default " + o.value.String() + ")"
}
