package forwarder

import "time"

const (
	// defaultStopTime and defaultConfigurationTime apply to a node that has had no usable value since its start.
	defaultStopTime          = 5 * time.Second
	defaultConfigurationTime = 3 * time.Second
)

// fallBack replaces values that no node can work with by those of other settings, and returns the names of what it
// has replaced.
func (s *ReloadableSettings) fallBack(to ReloadableSettings) []string {
	var replaced []string
	if s.StopTime <= 0 {
		s.StopTime = to.StopTime
		replaced = append(replaced, "stop_time")
	}
	if s.ConfigurationTime <= 0 {
		s.ConfigurationTime = to.ConfigurationTime
		replaced = append(replaced, "configuration_time")
	}
	if s.RetryShare < 0 || s.RetrySlack < 0 {
		s.RetryShare, s.RetrySlack = to.RetryShare, to.RetrySlack
		replaced = append(replaced, "retry_share", "retry_slack")
	}
	return replaced
}

// defaultSettings returns what applies in place of unusable settings at the start.
func defaultSettings() ReloadableSettings {
	return ReloadableSettings{StopTime: defaultStopTime, ConfigurationTime: defaultConfigurationTime}
}

// setSettings puts settings in force, with the values of others in place of those that are not usable.
func (n *Node) setSettings(s, fallback ReloadableSettings) ReloadableSettings {
	if replaced := s.fallBack(fallback); len(replaced) > 0 {
		n.config.Logger.Warn("settings have unusable values; others are in force", "replaced", replaced,
			"stop_time", s.StopTime, "configuration_time", s.ConfigurationTime, "retry_share", s.RetryShare,
			"retry_slack", s.RetrySlack)
	}
	n.settings.Store(&s)
	return s
}
