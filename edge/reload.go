package edge

import (
	"bytes"
	"context"
	"os"
	"time"

	"bergamotpin.example/bergamotpin/platform"
)

// settingsPoll is the time between two looks at the settings file: it may
// change without a signal.
const settingsPoll = time.Second

// watchSettings reads the settings again when told to, and when the file
// changed.
func (i *Instance) watchSettings(ctx context.Context, reload <-chan struct{}) {
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	last, _ := os.ReadFile(i.options.SettingsPath)
	for {
		told := false
		select {
		case <-ctx.Done():
			return
		case <-reload:
			told = true
		case <-ticker.C:
		}
		raw, err := os.ReadFile(i.options.SettingsPath)
		if err != nil {
			i.log.StateChanges.Warn("settings kept", "error", err.Error())
			continue
		}
		if bytes.Equal(raw, last) && !told {
			continue
		}
		last = raw
		i.apply(raw)
	}
}

// apply takes new settings into use. Addresses stay those of the start.
func (i *Instance) apply(raw []byte) {
	s, err := platform.ParseSettings(raw)
	if err != nil {
		i.log.StateChanges.Warn("settings kept", "error", err.Error())
		return
	}
	i.settings.Store(&s)
	i.beacon.AddSeeds(s.Seeds)
	i.log.StateChanges.Info("reload", "seeds", len(s.Seeds))
}
