package templates

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
	_ "time/tzdata" // instances may lack the system's zone files

	"github.com/redwingstall/redwingstall/pkg/tomlfile"
)

// QuietHours is a window in which a failure domain must be silent. A window
// whose end is not after its start ends on the next day. An edge that a change
// of daylight-saving time skips is at the change; of one that it doubles, the
// longer window holds.
type QuietHours struct {
	FailureDomain string `toml:"failureDomain" json:"failureDomain"`
	// Days on which the window starts, mon to sun; none means every day.
	Days []string `toml:"days" json:"days,omitempty"`
	// From and To are wall times like 22:00.
	From string `toml:"from" json:"from"`
	To   string `toml:"to" json:"to"`
	// Zone is an IANA name like Europe/Amsterdam.
	Zone string `toml:"zone" json:"zone"`
}

const hoursOfDay = 24

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

// Covers reports whether the window, made longer by the lead before its start
// and by the skew on both sides, covers the instant.
func (q *QuietHours) Covers(at time.Time, lead, skew time.Duration) bool {
	zone, err := time.LoadLocation(q.Zone)
	if err != nil {
		return true // an unknown zone cannot pass the check; silence is the safe side
	}
	day := at.In(zone)
	for back := -1; back <= 2; back++ {
		start, end, found := q.window(day.AddDate(0, 0, -back), zone)
		if !found {
			continue
		}
		if !at.Before(start.Add(-lead-skew)) && at.Before(end.Add(skew)) {
			return true
		}
	}
	return false
}

// window returns the window that starts on the date of the day given.
func (q *QuietHours) window(day time.Time, zone *time.Location) (start, end time.Time, found bool) {
	noon := time.Date(day.Year(), day.Month(), day.Day(), hoursOfDay/2, 0, 0, 0, zone)
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

// wallTime returns the earliest and the latest instant that a wall time of the
// day may mean: two where the clocks are set back over it, the instant of the
// change where they are set forward over it, and else one.
func wallTime(day, clock time.Time, zone *time.Location) (earliest, latest time.Time) {
	midnight := time.Date(day.Year(), day.Month(), day.Day(), 0, 0, 0, 0, zone)
	_, before := midnight.Add(-hoursOfDay * time.Hour).Zone()
	_, after := midnight.Add(2 * hoursOfDay * time.Hour).Zone()
	exact := time.Date(day.Year(), day.Month(), day.Day(), clock.Hour(), clock.Minute(), 0, 0, zone)
	isSkipped := exact.Hour() != clock.Hour() || exact.Minute() != clock.Minute()
	switch {
	case isSkipped:
		change, _ := withOffset(day, clock, before).In(zone).ZoneBounds()
		return change, change
	case isUnique(exact, zone):
		return exact, exact
	}
	return withOffset(day, clock, before), withOffset(day, clock, after)
}

func withOffset(day, clock time.Time, offsetSeconds int) time.Time {
	fixed := time.FixedZone("", offsetSeconds)
	return time.Date(day.Year(), day.Month(), day.Day(), clock.Hour(), clock.Minute(), 0, 0, fixed)
}

// isUnique reports whether the wall time of an instant comes once around it.
func isUnique(instant time.Time, zone *time.Location) bool {
	const widestChange = 2 * time.Hour
	for shift := -widestChange; shift <= widestChange; shift += 30 * time.Minute {
		other := instant.Add(shift).In(zone)
		if shift != 0 && other.Hour() == instant.Hour() && other.Minute() == instant.Minute() {
			return false
		}
	}
	return true
}

// QuietDomains returns the domains that the quiet hours silence at an instant.
func (d *Deployment) QuietDomains(at time.Time, lead, skew time.Duration) map[string]bool {
	silent := map[string]bool{}
	for i := range d.QuietHours {
		if d.QuietHours[i].Covers(at, lead, skew) {
			silent[d.QuietHours[i].FailureDomain] = true
		}
	}
	return silent
}

const daysOfLookout = 400

// CheckQuietHours refuses quiet hours that silence every domain of a service at
// one time within the next 400 days. The lead is the time work needs to leave.
func (d *Deployment) CheckQuietHours(from time.Time, lead, skew time.Duration) error {
	for _, instant := range d.starts(from, lead+skew) {
		silent := d.QuietDomains(instant, lead, skew)
		for _, service := range d.Services {
			if service.allSilent(silent) {
				return &QuietHoursError{Account: d.Account, Service: service.Name, At: instant}
			}
		}
	}
	return nil
}

// starts returns the instants, ahead of the windows' own by the time given, at
// which a window begins within the lookout.
func (d *Deployment) starts(from time.Time, ahead time.Duration) []time.Time {
	instants := []time.Time{from}
	for i := range d.QuietHours {
		zone, err := time.LoadLocation(d.QuietHours[i].Zone)
		if err != nil {
			continue
		}
		for day := range daysOfLookout {
			start, _, found := d.QuietHours[i].window(from.In(zone).AddDate(0, 0, day), zone)
			if found {
				instants = append(instants, start.Add(-ahead))
			}
		}
	}
	return instants
}

func (s *Service) allSilent(silent map[string]bool) bool {
	for _, server := range s.Servers {
		if !silent[server.FailureDomain] {
			return false
		}
	}
	return len(s.Servers) > 0
}

// QuietHoursError is a time at which no failure domain of a service may work.
type QuietHoursError struct {
	Account string
	Service string
	At      time.Time
}

// Error names the service and the first such time.
func (e *QuietHoursError) Error() string {
	return fmt.Sprintf("account %s: quiet hours silence every failure domain of service %s at %s",
		e.Account, e.Service, e.At.Format(time.RFC3339))
}

func addressOK(address string) bool {
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
