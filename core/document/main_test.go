package document_test

import (
	"testing"

	"github.com/shallotspool/shallotspool/core/fixedseed"
)

// TestMain fixes the seed of the property tests, so that every run draws the same
// inputs.
func TestMain(m *testing.M) { fixedseed.Run(m) }
