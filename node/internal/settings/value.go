package settings

import (
	"net/netip"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// settingValue is the value of a setting, which Set validates. It implements
// flag.Value.
type settingValue interface {
	String() string
	Set(text string) error
}

// maxNameBytes is the maximum length of a name.
const maxNameBytes = 64

// nameValue is the name of a target, service or data centre.
type nameValue struct{ dest *string }

// String implements flag.Value.
func (v *nameValue) String() string { return derefString(v.dest) }

// Set implements flag.Value.
func (v *nameValue) Set(text string) error {
	if text == "" || len(text) > maxNameBytes {
		return errors.Newf("must have 1 to %d characters", maxNameBytes)
	}
	for _, c := range []byte(text) {
		if !(c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.') {
			return errors.Newf("%q has a character that is not a lower-case letter, digit, '-', '_' or '.'", text)
		}
	}
	*v.dest = text
	return nil
}

// addressValue is an IP address with a port.
type addressValue struct{ dest *netip.AddrPort }

// String implements flag.Value.
func (v *addressValue) String() string {
	if v.dest == nil || !v.dest.IsValid() {
		return ""
	}
	return v.dest.String()
}

// Set implements flag.Value.
func (v *addressValue) Set(text string) error {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return errors.Newf("%q is not an IP:port; host names are not supported", text)
	}
	*v.dest = address
	return nil
}

// intValue is an integer within a range.
type intValue struct {
	dest     *int
	min, max int
}

// String implements flag.Value.
func (v *intValue) String() string {
	if v.dest == nil {
		return ""
	}
	return strconv.Itoa(*v.dest)
}

// Set implements flag.Value.
func (v *intValue) Set(text string) error {
	n, err := strconv.Atoi(text)
	if err != nil {
		return errors.Newf("%q is not an integer", text)
	}
	if n < v.min || n > v.max {
		return errors.Newf("%d is not between %d and %d", n, v.min, v.max)
	}
	*v.dest = n
	return nil
}

// pathValue is a URL path.
type pathValue struct{ dest *string }

// String implements flag.Value.
func (v *pathValue) String() string { return derefString(v.dest) }

// Set implements flag.Value.
func (v *pathValue) Set(text string) error {
	if text == "" || text[0] != '/' {
		return errors.Newf("%q is not a path that begins with /", text)
	}
	for _, c := range []byte(text) {
		if c <= ' ' || c > '~' {
			return errors.Newf("%q has a character that is not visible ASCII", text)
		}
	}
	*v.dest = text
	return nil
}

// levelValue is a log level.
type levelValue struct{ dest *logrus.Level }

// String implements flag.Value.
func (v *levelValue) String() string {
	if v.dest == nil {
		return ""
	}
	return v.dest.String()
}

// Set implements flag.Value.
func (v *levelValue) Set(text string) error {
	switch text {
	case "debug", "info", "warning", "error":
		level, err := logrus.ParseLevel(text)
		*v.dest = level
		return errors.Wrap(err, "log level")
	}
	return errors.Newf("%q is not one of debug, info, warning, error", text)
}

// derefString returns *s, or "" if s is nil.
func derefString(s *string) string {
	if s == nil {
		return ""
	}
	return *s
}
