package daemon

import (
	"io"

	"github.com/shallotspool/shallotspool/node/internal/settings"
)

// ErrVersion asks for the version instead of a run.
var ErrVersion = settings.ErrVersion

// LoadSettings reads the settings from the command line, the environment and
// the settings file. It returns flag.ErrHelp after it printed the help to help,
// ErrVersion, or an error that tells what is wrong and where.
func LoadSettings(args []string, help io.Writer) (*Settings, error) {
	return settings.Load(args, help)
}
