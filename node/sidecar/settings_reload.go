package sidecar

import (
	"os"
	"time"
)

// settingsPollInterval is how often the settings file is checked for changes. Changes
// need no signal and must take effect within two seconds.
const settingsPollInterval = time.Second

// watchSettings reloads the settings whenever the file's modification time changes,
// until the node stops.
func (s *Sidecar) watchSettings() {
	if s.settingsPath == "" {
		return
	}
	lastModified := modTime(s.settingsPath)
	s.runEvery(settingsPollInterval, func() {
		if modified := modTime(s.settingsPath); !modified.Equal(lastModified) {
			lastModified = modified
			s.Reload()
		}
	})
}

// modTime returns the modification time of a file, or the zero time if it cannot be
// read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// Reload reads the settings file again. New retry bounds, a new grace period and, in the
// CallerService header only, a new service take effect at once; all other settings need
// a restart. An invalid file changes nothing.
func (s *Sidecar) Reload() {
	settings, err := LoadSettings(s.settingsPath)
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
	s.node.SetRetryBounds(retryBounds(settings))
	s.mu.Unlock()
	s.log.Info("settings reloaded", field("grace_seconds", settings.Bounds.GraceSeconds),
		field("retry_ratio", settings.Bounds.RetryRatio), field("retry_slack", settings.Bounds.RetrySlack))
}
