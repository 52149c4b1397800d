package templates

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
	_ "time/tzdata" // hosts of instances may lack the system's time zone files

	"github.com/redwingstall/redwingstall/pkg/tomlfile"
)

// QuietHours is a window in which a failure domain must not receive requests. If
// the end is not after the start, the window ends on the next day. If a change of
// daylight-saving time skips the start or the end, that edge is at the instant of
// the change. If the change repeats it, the window is the longer one: it starts at
// the first occurrence and ends at the second.
type QuietHours struct {
	FailureDomain string `toml:"failureDomain" json:"failureDomain"`
	// Days on which the window starts, mon to sun; none means every day.
	Days []string `toml:"days" json:"days,omitempty"`
	// From and To are local wall-clock times like 22:00.
	From string `toml:"from" json:"from"`
	To   string `toml:"to" json:"to"`
	// Zone is an IANA time zone like Europe/Amsterdam.
	Zone string `toml:"zone" json:"zone"`
}

const hoursPerDay = 24

var dayNames = map[string]time.Weekday{
	"sun": time.Sunday, "mon": time.Monday, "tue": time.Tuesday, "wed": time.Wednesday,
	"thu": time.Thursday, "fri": time.Friday, "sat": time.Saturday,
}

func (q *QuietHours) check(file *tomlfile.File, key string, domains []string) {
	if !contains(domains, q.FailureDomain) {
		file.AddError(key+".failureDomain", "unknown failure domain %q, the services have %q", q.FailureDomain, domains)
	}
	if _, err := time.Parse("15:04", q.From); err != nil {
		file.AddError(key+".from", "%q is not a time like 22:00", q.From)
	}
	if _, err := time.Parse("15:04", q.To); err != nil {
		file.AddError(key+".to", "%q is not a time like 06:00", q.To)
	}
	if q.Zone == "" || q.Zone == "Local" {
		file.AddError(key+".zone", "must be an IANA zone like Europe/Amsterdam")
	} else if _, err := time.LoadLocation(q.Zone); err != nil {
		file.AddError(key+".zone", "unknown zone %q", q.Zone)
	}
	for _, day := range q.Days {
		if _, known := dayNames[strings.ToLower(day)]; !known {
			file.AddError(key+".days", "%q is none of mon to sun", day)
		}
	}
}

// Covers reports whether the window contains the instant. The window starts
// earlier by lead and is extended by skew on both sides.
func (q *QuietHours) Covers(at time.Time, lead, skew time.Duration) bool {
	zone, err := time.LoadLocation(q.Zone)
	if err != nil {
		return true // check rejects unknown zones; sending no requests is the safe choice
	}
	day := at.In(zone)
	for daysBack := -1; daysBack <= 2; daysBack++ {
		start, end, found := q.window(day.AddDate(0, 0, -daysBack), zone)
		if !found {
			continue
		}
		if !at.Before(start.Add(-lead-skew)) && at.Before(end.Add(skew)) {
			return true
		}
	}
	return false
}

// window returns the window that starts on the date of day, if there is one.
func (q *QuietHours) window(day time.Time, zone *time.Location) (start, end time.Time, found bool) {
	noon := time.Date(day.Year(), day.Month(), day.Day(), hoursPerDay/2, 0, 0, 0, zone)
	if !q.startsOn(noon.Weekday()) {
		return start, end, false
	}
	from, errFrom := time.Parse("15:04", q.From)
	to, errTo := time.Parse("15:04", q.To)
	if errFrom != nil || errTo != nil {
		return start, end, false
	}
	start, _ = wallTime(noon, from, zone)
	endDay := noon
	if !to.After(from) {
		endDay = noon.AddDate(0, 0, 1)
	}
	_, end = wallTime(endDay, to, zone)
	return start, end, true
}

func (q *QuietHours) startsOn(weekday time.Weekday) bool {
	if len(q.Days) == 0 {
		return true
	}
	for _, day := range q.Days {
		if dayNames[strings.ToLower(day)] == weekday {
			return true
		}
	}
	return false
}

// wallTime returns the earliest and the latest instant of a wall-clock time on a
// day. They differ if the clocks are set back across that time. If the clocks are
// set forward across it, both are the instant of the change.
func wallTime(day, clock time.Time, zone *time.Location) (earliest, latest time.Time) {
	midnight := time.Date(day.Year(), day.Month(), day.Day(), 0, 0, 0, 0, zone)
	_, offsetBefore := midnight.Add(-hoursPerDay * time.Hour).Zone()
	_, offsetAfter := midnight.Add(2 * hoursPerDay * time.Hour).Zone()
	instant := time.Date(day.Year(), day.Month(), day.Day(), clock.Hour(), clock.Minute(), 0, 0, zone)
	isSkipped := instant.Hour() != clock.Hour() || instant.Minute() != clock.Minute()
	switch {
	case isSkipped:
		change, _ := withOffset(day, clock, offsetBefore).In(zone).ZoneBounds()
		return change, change
	case isUnique(instant, zone):
		return instant, instant
	}
	return withOffset(day, clock, offsetBefore), withOffset(day, clock, offsetAfter)
}

func withOffset(day, clock time.Time, offsetSeconds int) time.Time {
	zone := time.FixedZone("", offsetSeconds)
	return time.Date(day.Year(), day.Month(), day.Day(), clock.Hour(), clock.Minute(), 0, 0, zone)
}

// isUnique reports whether the wall-clock time of an instant occurs only once
// around it. It occurs twice where the clocks are set back.
func isUnique(instant time.Time, zone *time.Location) bool {
	const maxClockChange = 2 * time.Hour
	for shift := -maxClockChange; shift <= maxClockChange; shift += 30 * time.Minute {
		other := instant.Add(shift).In(zone)
		if shift != 0 && other.Hour() == instant.Hour() && other.Minute() == instant.Minute() {
			return false
		}
	}
	return true
}

// QuietDomains returns the failure domains whose quiet hours cover the instant,
// extended by lead and skew as in [QuietHours.Covers].
func (d *Deployment) QuietDomains(at time.Time, lead, skew time.Duration) map[string]bool {
	quiet := map[string]bool{}
	for i := range d.QuietHours {
		if d.QuietHours[i].Covers(at, lead, skew) {
			quiet[d.QuietHours[i].FailureDomain] = true
		}
	}
	return quiet
}

const lookaheadDays = 400

// CheckQuietHours returns a [QuietHoursError] if quiet hours cover every failure
// domain of a service at the same time within the next 400 days. The lead is the
// time that requests need to move to another failure domain.
func (d *Deployment) CheckQuietHours(from time.Time, lead, skew time.Duration) error {
	for _, instant := range d.windowStarts(from, lead+skew) {
		quiet := d.QuietDomains(instant, lead, skew)
		for _, service := range d.Services {
			if service.isQuiet(quiet) {
				return &QuietHoursError{Account: d.Account, Service: service.Name, At: instant}
			}
		}
	}
	return nil
}

// windowStarts returns from and the starts of all windows of the next lookaheadDays
// days, each earlier by lead. A service can lose its last failure domain only at one
// of these instants.
func (d *Deployment) windowStarts(from time.Time, lead time.Duration) []time.Time {
	instants := []time.Time{from}
	for i := range d.QuietHours {
		zone, err := time.LoadLocation(d.QuietHours[i].Zone)
		if err != nil {
			continue
		}
		for day := range lookaheadDays {
			start, _, found := d.QuietHours[i].window(from.In(zone).AddDate(0, 0, day), zone)
			if found {
				instants = append(instants, start.Add(-lead))
			}
		}
	}
	return instants
}

// isQuiet reports whether all servers of the service are in quiet failure domains.
func (s *Service) isQuiet(quietDomains map[string]bool) bool {
	for _, server := range s.Servers {
		if !quietDomains[server.FailureDomain] {
			return false
		}
	}
	return len(s.Servers) > 0
}

// QuietHoursError reports that quiet hours cover every failure domain of a service
// at the same time.
type QuietHoursError struct {
	Account string
	Service string
	At      time.Time
}

// Error names the service and the first instant found.
func (e *QuietHoursError) Error() string {
	return fmt.Sprintf("account %s: quiet hours cover every failure domain of service %s at %s",
		e.Account, e.Service, e.At.Format(time.RFC3339))
}

func isAddressPort(address string) bool {
	_, err := netip.ParseAddrPort(address)
	return err == nil
}

func contains(list []string, wanted string) bool {
	for _, item := range list {
		if item == wanted {
			return true
		}
	}
	return false
}
