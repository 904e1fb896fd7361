package daemon

import (
	"io"

	"github.com/shallotspool/shallotspool/node/internal/settings"
)

// ErrVersionRequested is returned by LoadSettings when the command line has the
// -version flag.
var ErrVersionRequested = settings.ErrVersionRequested

// LoadSettings reads the settings from the command line, the environment and
// the settings file. It returns flag.ErrHelp after writing the help text to
// help, ErrVersionRequested if the version was requested, or an error that
// describes the invalid setting and where it was found.
func LoadSettings(args []string, help io.Writer) (*Settings, error) {
	return settings.Load(args, help)
}
