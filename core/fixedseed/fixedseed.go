// Package fixedseed makes property tests deterministic.
package fixedseed

import (
	"flag"
	"testing"
)

// Run runs the tests of a package that uses rapid, with a fixed seed unless the flag
// -rapid.seed sets one. Such a package calls it in its TestMain. It panics if the
// test binary does not include rapid.
func Run(m *testing.M) {
	f := flag.Lookup("rapid.seed")
	if f == nil {
		panic("fixedseed: the test binary does not include rapid")
	}
	// The flags are parsed in m.Run, unless TestMain did so before: a seed on the
	// command line replaces the 1 there, and one that is already parsed stays.
	if f.Value.String() == f.DefValue {
		if err := f.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	m.Run() // the test binary exits with its result
}
