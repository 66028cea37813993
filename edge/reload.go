package edge

import (
	"bytes"
	"context"
	"os"
	"time"

	"bergamotpin.example/bergamotpin/platform"
)

// settingsPollInterval is how often the settings file is checked for changes. The
// file may change without a signal to reload it.
const settingsPollInterval = time.Second

// watchSettings reloads the settings when reload receives a value or when the content
// of the settings file has changed.
func (i *Instance) watchSettings(ctx context.Context, reload <-chan struct{}) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastContent, _ := os.ReadFile(i.options.SettingsPath)
	for {
		requested := false
		select {
		case <-ctx.Done():
			return
		case <-reload:
			requested = true
		case <-ticker.C:
		}
		content, err := os.ReadFile(i.options.SettingsPath)
		if err != nil {
			i.log.StateChanges.Warn("settings not reloaded; keeping the current ones", "error", err.Error())
			continue
		}
		if bytes.Equal(content, lastContent) && !requested {
			continue
		}
		lastContent = content
		i.applySettings(content)
	}
}

// applySettings replaces the settings with those in the content of a settings file.
// Only the grace period and the seeds take effect at once. Other settings, such as the
// addresses to listen on, take effect at the next start.
func (i *Instance) applySettings(content []byte) {
	s, err := platform.ParseSettings(content)
	if err != nil {
		i.log.StateChanges.Warn("settings not reloaded; keeping the current ones", "error", err.Error())
		return
	}
	i.settings.Store(&s)
	i.gossip.AddSeeds(s.Seeds)
	i.log.StateChanges.Info("reload", "seeds", len(s.Seeds))
}
