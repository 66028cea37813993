package edge

import (
	"bytes"
	"context"
	"net/netip"
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

// applySettings replaces the settings with those in the content of a settings file. It logs
// which of the changed ones take effect only at the next start.
func (i *Instance) applySettings(content []byte) {
	s, err := platform.ParseSettings(content)
	if err != nil {
		i.log.StateChanges.Warn("settings not reloaded; keeping the current ones", "error", err.Error())
		return
	}
	previous := i.settings.Swap(&s)
	i.gossip.AddSeeds(s.Seeds)
	if s.StoreAddress != previous.StoreAddress {
		i.moveStore(s.StoreAddress)
	}
	needRestart := i.started.NeedRestart(s)
	i.needRestart.Store(int64(len(needRestart)))
	i.log.StateChanges.Info("reload", "seeds", len(s.Seeds), "store", s.StoreAddress, "need_restart", needRestart)
}

// moveStore has all calls go to another address of the metadata store, and all records listed
// there.
func (i *Instance) moveStore(to netip.AddrPort) {
	for _, store := range i.stores {
		store.Move(storeURL(to))
	}
	i.gossip.SetCluster(to.String())
	i.gossip.SendNow()
}
