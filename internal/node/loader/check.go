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

// MaxShardsPerSite is the largest allowed number of shards of one site.
const MaxShardsPerSite = 64

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,63}$`)

// checker collects the validation errors of a settings file.
type checker struct {
	// undecoded holds the paths of fields that already have an error from decoding.
	undecoded map[string]bool
	errs      []error
}

// addError records an error of field, unless the field or a value that contains it could not be decoded.
func (checker *checker) addError(field, format string, args ...any) {
	for path := field; ; path = path[:strings.LastIndexAny(path, ".[")] {
		if checker.undecoded[path] {
			return
		}
		if !strings.ContainsAny(path, ".[") {
			break
		}
	}
	checker.errs = append(checker.errs, fieldError(field, format, args...))
}

func (checker *checker) checkName(field, value string) {
	switch {
	case value == "":
		checker.addError(field, "is missing")
	case !namePattern.MatchString(value):
		checker.addError(field, "must be 1 to 64 letters, digits, dots, underscores, colons or hyphens")
	}
}

// checkUpstream checks an address to which connections are made.
func (checker *checker) checkUpstream(field string, address netip.AddrPort) {
	switch {
	case !address.IsValid():
		checker.addError(field, "is missing")
	case address.Port() == 0:
		checker.addError(field, "has port 0")
	case address.Addr().IsUnspecified():
		checker.addError(field, "must not be an unspecified address")
	}
}

// check returns the validation errors of settings, without those of undecoded fields.
func (settings *Settings) check(undecoded map[string]bool) []error {
	checker := &checker{
		undecoded: undecoded,
	}
	if settings.ID != "" {
		checker.checkName("ID", settings.ID)
	}
	checker.checkName("Region", settings.Region)
	checker.checkName("Site", settings.Site)
	settings.checkAddresses(checker)
	settings.checkShards(checker)
	checker.checkPositive("Limits", reflect.ValueOf(settings.Limits))
	checker.checkPositive("Timeouts", reflect.ValueOf(settings.Timeouts))
	checker.checkPositive("Intervals", reflect.ValueOf(settings.Intervals))
	settings.checkLeases(checker)
	return checker.errs
}

func (settings *Settings) checkAddresses(checker *checker) {
	if !settings.HTTP.IsValid() {
		checker.addError("HTTP", "is empty")
	}
	if !settings.Peer.IsValid() {
		checker.addError("Peer", "is empty")
	} else if settings.Peer.Addr().IsUnspecified() {
		checker.addError("Peer", "must be the address of one interface, because peers connect to it")
	}
	if settings.HTTP == settings.Peer && settings.HTTP.Port() != 0 {
		checker.addError("Peer", "is the same as HTTP")
	}
	if settings.Advertise.IsValid() {
		checker.checkUpstream("Advertise", settings.Advertise)
	}
	if len(settings.Store) == 0 {
		checker.addError("Store", "is missing")
	}
	for i, address := range settings.Store {
		checker.checkUpstream(fmt.Sprintf("Store[%d]", i), address)
	}
	checker.checkUpstream("List", settings.List)
}

func (settings *Settings) checkShards(checker *checker) {
	sites := map[string]bool{}
	for i, shards := range settings.Shards {
		path := fmt.Sprintf("Shards[%d]", i)
		checker.checkName(path+".Region", shards.Region)
		checker.checkName(path+".Site", shards.Site)
		if shards.Count < 1 || shards.Count > MaxShardsPerSite {
			checker.addError(path+".Count", "must be between 1 and %d", MaxShardsPerSite)
		}
		if sites[shards.Site] {
			checker.addError(path+".Site", "is listed twice")
		}
		sites[shards.Site] = true
	}
}

// checkPositive checks that all numbers and durations in the struct group are greater than zero.
func (checker *checker) checkPositive(path string, group reflect.Value) {
	for i := range group.NumField() {
		field := path + "." + group.Type().Field(i).Name
		switch value := group.Field(i).Interface().(type) {
		case int:
			if value < 1 {
				checker.addError(field, "must be at least 1")
			}
		case descriptor.Duration:
			if value.Duration <= 0 {
				checker.addError(field, "must be longer than 0s")
			}
		}
	}
}

// maxStoreLease is the largest allowed Timeouts.StoreLease. It is shorter than the 15 s lease of a running
// task, so that a new owner has time to renew the task leases after the former owner's store lease has expired.
const maxStoreLease = 10 * time.Second

// checkLeases checks the relations between lease, renewal and exchange times. Exclusive ownership of shards
// depends on them.
func (settings *Settings) checkLeases(checker *checker) {
	timeouts, intervals := settings.Timeouts, settings.Intervals
	validity := timeouts.StoreLease.Duration - timeouts.LeaseMargin.Duration
	if validity <= 0 {
		checker.addError("Timeouts.LeaseMargin", "must be shorter than Timeouts.StoreLease")
	} else if 2*intervals.LeaseRenewal.Duration > validity {
		checker.addError("Intervals.LeaseRenewal",
			"must be at most half of Timeouts.StoreLease minus Timeouts.LeaseMargin, so that one renewal may fail")
	}
	if timeouts.StoreLease.Duration > maxStoreLease {
		checker.addError("Timeouts.StoreLease", "must be at most %s", maxStoreLease)
	}
	if timeouts.PeerSilence.Duration <= intervals.Exchange.Duration {
		checker.addError("Timeouts.PeerSilence", "must be longer than Intervals.Exchange")
	}
	if timeouts.RegionSilence.Duration <= intervals.RegionExchange.Duration {
		checker.addError("Timeouts.RegionSilence", "must be longer than Intervals.RegionExchange")
	}
}
