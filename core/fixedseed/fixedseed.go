// Package fixedseed makes property tests give the same verdict on every run.
package fixedseed

import (
	"flag"
	"testing"
)

// Run is the TestMain of a package whose property tests use rapid: it fixes their
// seed unless one was given. It panics if rapid is not linked in.
func Run(m *testing.M) {
	f := flag.Lookup("rapid.seed")
	if f == nil {
		panic("fixedseed: the package has no rapid tests")
	}
	if f.Value.String() == f.DefValue {
		if err := f.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	m.Run()
}
