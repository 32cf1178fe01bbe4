package node

import "time"

// routeTransferTime is how long the transfer of a route of about 70 bytes takes
// to an entry with a link of 2 Mbit/s that carries other traffic as well.
const routeTransferTime = 500 * time.Microsecond

// isSettingsInFlight reports whether settings were sent to the entry that can't
// have arrived yet. Without this check, each answer to a report would send a
// configuration of thousands of routes again, and the link would be so full
// that no answer arrives.
func (c *Control) isSettingsInFlight(v *entryView) bool {
	return c.options.DistributesUpstreams && v.sentFromVersion == v.settingsVersion && c.now.Before(v.sentArrivesAt)
}

// maxSettingsRepeats bounds the doublings of the time for which settings count as on
// their way.
const maxSettingsRepeats = 3

// recordSettingsSent records that settings are on their way to the entry. A long
// configuration that was not confirmed in time is repeated after twice the time: the
// link may carry more than expected, and a configuration of 300 kB repeated each 1.6 s
// together with lists of upstreams is more than a link of 2 Mbit/s carries. What
// waits for the link then gets so old that the entry drops all answers.
func (c *Control) recordSettingsSent(v *entryView, transfer time.Duration) {
	isRepeated := v.settingsTransfer > c.options.Timings.ReportInterval && v.sentFromVersion == v.settingsVersion
	if isRepeated {
		v.settingsRepeats = min(v.settingsRepeats+1, maxSettingsRepeats)
	} else {
		v.settingsRepeats = 0
	}
	v.settingsTransfer, v.sentFromVersion = transfer, v.settingsVersion
	v.sentArrivesAt = c.now.Add(transfer << v.settingsRepeats)
	if transfer > c.options.Timings.ReportInterval {
		// The entry confirms them with its next report.
		v.sentArrivesAt = v.sentArrivesAt.Add(2 * c.options.Timings.ReportInterval)
	}
}

// areLongSettingsInFlight reports whether the entry's link is busy with settings for
// longer than a report interval. Upstreams are not sent meanwhile: they would delay
// the settings, without which the entry can't use them.
func (c *Control) areLongSettingsInFlight(v *entryView) bool {
	return v.settingsTransfer > c.options.Timings.ReportInterval && c.isSettingsInFlight(v)
}

// isConfigurationLong reports whether the whole configuration takes an entry's link
// longer than a report interval.
func (c *Control) isConfigurationLong() bool {
	items := len(c.state.Routes) + len(c.state.Organisations)
	return time.Duration(items)*routeTransferTime > c.options.Timings.ReportInterval
}
