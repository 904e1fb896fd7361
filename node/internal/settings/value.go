package settings

import (
	"net/netip"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// value is a checked setting; it is a flag.Value.
type value interface {
	String() string
	Set(text string) error
}

const maxName = 64

type nameValue struct{ to *string }

// String implements flag.Value.
func (v *nameValue) String() string { return stringOf(v.to) }

// Set implements flag.Value.
func (v *nameValue) Set(text string) error {
	if text == "" || len(text) > maxName {
		return errors.Newf("must have 1 to %d characters", maxName)
	}
	for _, c := range []byte(text) {
		if !(c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.') {
			return errors.Newf("%q has a character that is not a small letter, digit, '-', '_' or '.'", text)
		}
	}
	*v.to = text
	return nil
}

type addressValue struct{ to *netip.AddrPort }

// String implements flag.Value.
func (v *addressValue) String() string {
	if v.to == nil || !v.to.IsValid() {
		return ""
	}
	return v.to.String()
}

// Set implements flag.Value.
func (v *addressValue) Set(text string) error {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return errors.Newf("%q is not IP:port; host names are not taken", text)
	}
	*v.to = address
	return nil
}

type intValue struct {
	to              *int
	lowest, highest int
}

// String implements flag.Value.
func (v *intValue) String() string {
	if v.to == nil {
		return ""
	}
	return strconv.Itoa(*v.to)
}

// Set implements flag.Value.
func (v *intValue) Set(text string) error {
	n, err := strconv.Atoi(text)
	if err != nil {
		return errors.Newf("%q is not a whole number", text)
	}
	if n < v.lowest || n > v.highest {
		return errors.Newf("%d is not in %d to %d", n, v.lowest, v.highest)
	}
	*v.to = n
	return nil
}

type pathValue struct{ to *string }

// String implements flag.Value.
func (v *pathValue) String() string { return stringOf(v.to) }

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
	*v.to = text
	return nil
}

type levelValue struct{ to *logrus.Level }

// String implements flag.Value.
func (v *levelValue) String() string {
	if v.to == nil {
		return ""
	}
	return v.to.String()
}

// Set implements flag.Value.
func (v *levelValue) Set(text string) error {
	switch text {
	case "debug", "info", "warning", "error":
		level, err := logrus.ParseLevel(text)
		*v.to = level
		return errors.Wrap(err, "log level")
	}
	return errors.Newf("%q is not one of debug, info, warning, error", text)
}

func stringOf(s *string) string {
	if s == nil {
		return ""
	}
	return *s
}
