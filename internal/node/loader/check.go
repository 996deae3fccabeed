package loader

import (
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"strings"
	"time"

	"pomelomoor/internal/work/descriptor"
)

// MaxShards is the largest number of shards of one site.
const MaxShards = 64

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,63}$`)

// checker collects the faults of fields that could be decoded.
type checker struct {
	skip   map[string]bool
	faults []error
}

func (checker *checker) fault(field, format string, args ...any) {
	for path := field; ; path = path[:strings.LastIndexAny(path, ".[")] {
		if checker.skip[path] {
			return
		}
		if !strings.ContainsAny(path, ".[") {
			break
		}
	}
	checker.faults = append(checker.faults, fieldError(field, format, args...))
}

func (checker *checker) name(field, value string) {
	switch {
	case value == "":
		checker.fault(field, "is missing")
	case !namePattern.MatchString(value):
		checker.fault(field, "must be 1 to 64 letters, digits, dots, underscores, colons or hyphens")
	}
}

// upstream checks the address of a service that the instance calls.
func (checker *checker) upstream(field string, address netip.AddrPort) {
	switch {
	case !address.IsValid():
		checker.fault(field, "is missing")
	case address.Port() == 0:
		checker.fault(field, "has port 0")
	case address.Addr().IsUnspecified():
		checker.fault(field, "names no host")
	}
}

func (settings *Settings) check(skip map[string]bool) []error {
	checker := &checker{
		skip: skip,
	}
	if settings.ID != "" {
		checker.name("ID", settings.ID)
	}
	checker.name("Region", settings.Region)
	checker.name("Site", settings.Site)
	settings.checkAddresses(checker)
	settings.checkShards(checker)
	checker.positive("Limits", reflect.ValueOf(settings.Limits))
	checker.positive("Timeouts", reflect.ValueOf(settings.Timeouts))
	checker.positive("Intervals", reflect.ValueOf(settings.Intervals))
	settings.checkLeases(checker)
	return checker.faults
}

func (settings *Settings) checkAddresses(checker *checker) {
	if !settings.HTTP.IsValid() {
		checker.fault("HTTP", "is empty")
	}
	if !settings.Peer.IsValid() {
		checker.fault("Peer", "is empty")
	} else if settings.Peer.Addr().IsUnspecified() {
		checker.fault("Peer", "must name one interface, because peers call this address")
	}
	if settings.HTTP == settings.Peer && settings.HTTP.Port() != 0 {
		checker.fault("Peer", "is the same as HTTP")
	}
	if settings.Advertise.IsValid() {
		checker.upstream("Advertise", settings.Advertise)
	}
	if len(settings.Store) == 0 {
		checker.fault("Store", "is missing")
	}
	for i, address := range settings.Store {
		checker.upstream(fmt.Sprintf("Store[%d]", i), address)
	}
	checker.upstream("List", settings.List)
}

func (settings *Settings) checkShards(checker *checker) {
	sites := map[string]bool{}
	for i, shards := range settings.Shards {
		path := fmt.Sprintf("Shards[%d]", i)
		checker.name(path+".Region", shards.Region)
		checker.name(path+".Site", shards.Site)
		if shards.Count < 1 || shards.Count > MaxShards {
			checker.fault(path+".Count", "must be between 1 and %d", MaxShards)
		}
		if sites[shards.Site] {
			checker.fault(path+".Site", "is listed twice")
		}
		sites[shards.Site] = true
	}
}

// positive checks that all numbers and durations of a group are above zero.
func (checker *checker) positive(path string, group reflect.Value) {
	for i := range group.NumField() {
		field := path + "." + group.Type().Field(i).Name
		switch value := group.Field(i).Interface().(type) {
		case int:
			if value < 1 {
				checker.fault(field, "must be at least 1")
			}
		case descriptor.Duration:
			if value.Duration <= 0 {
				checker.fault(field, "must be longer than 0s")
			}
		}
	}
}

// maxStoreLease leaves a new owner time to renew the leases of running tasks, which last 15 s, after
// the former owner's lease has run out.
const maxStoreLease = 10 * time.Second

// checkLeases checks the relations between times on which exclusive ownership depends.
func (settings *Settings) checkLeases(checker *checker) {
	timeouts, intervals := settings.Timeouts, settings.Intervals
	usable := timeouts.StoreLease.Duration - timeouts.LeaseMargin.Duration
	if usable <= 0 {
		checker.fault("Timeouts.LeaseMargin", "must be shorter than Timeouts.StoreLease")
	} else if 2*intervals.LeaseRenewal.Duration > usable {
		checker.fault("Intervals.LeaseRenewal",
			"must be at most half of Timeouts.StoreLease less Timeouts.LeaseMargin, so that one renewal may fail")
	}
	if timeouts.StoreLease.Duration > maxStoreLease {
		checker.fault("Timeouts.StoreLease", "must be at most %s", maxStoreLease)
	}
	if timeouts.PeerSilence.Duration <= intervals.Exchange.Duration {
		checker.fault("Timeouts.PeerSilence", "must be longer than Intervals.Exchange")
	}
	if timeouts.RegionSilence.Duration <= intervals.RegionExchange.Duration {
		checker.fault("Timeouts.RegionSilence", "must be longer than Intervals.RegionExchange")
	}
}
