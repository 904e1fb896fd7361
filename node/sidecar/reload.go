package sidecar

import (
	"os"
	"time"
)

// reloadInterval is how often the settings file is looked at: changes come with
// or without a signal and count within two seconds.
const reloadInterval = time.Second

// watchSettings takes changed settings in until the node stops.
func (s *Sidecar) watchSettings() {
	if s.path == "" {
		return
	}
	seen := changedAt(s.path)
	s.every(reloadInterval, func() {
		if at := changedAt(s.path); !at.Equal(seen) {
			seen = at
			s.Reload()
		}
	})
}

func changedAt(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// Reload reads the settings file again. Bounds take effect at once; a file that
// cannot be used changes nothing. Addresses hold until the next start.
func (s *Sidecar) Reload() {
	settings, err := LoadSettings(s.path)
	if err != nil {
		s.log.Warn("settings not reloaded", field("error", err))
		return
	}
	old := s.settings.Load()
	if settings.Listen != old.Listen || settings.Upstream != old.Upstream || settings.Store != old.Store {
		s.log.Warn("changed addresses take effect at the next start")
		settings.Listen, settings.Upstream, settings.Store = old.Listen, old.Upstream, old.Store
	}
	s.settings.Store(settings)
	s.mu.Lock()
	s.node.SetRetries(retryBounds(settings))
	s.mu.Unlock()
	s.log.Info("settings reloaded", field("grace_seconds", settings.Bounds.GraceSeconds),
		field("retry_ratio", settings.Bounds.RetryRatio), field("retry_slack", settings.Bounds.RetrySlack))
}
