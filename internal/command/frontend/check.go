package frontend

import (
	"fmt"

	"github.com/magnoliastep/magnoliastep/platform"
)

// checkCommand checks the settings file.
type checkCommand struct {
	Settings string `help:"Path of the settings file; by default the one that the platform names." placeholder:"FILE"`
}

// Run prints the main settings.
func (v *checkCommand) Run(c *Config) error {
	c.Signals.Release()
	s, err := platform.ReadSettings(settingsPath(v.Settings, c))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Output, "node %s in zone %s: callers %s, directory %s, store %s\n",
		s.NodeName, s.AvailabilityZone, s.CallerAddress, s.DirectoryAddress, s.StoreAddress)
	return err
}

// settingsPath returns the path from the flag, or else from the environment variable of the platform.
func settingsPath(flag string, c *Config) string {
	if flag != "" {
		return flag
	}
	return c.Getenv(platform.SettingsVariable)
}
