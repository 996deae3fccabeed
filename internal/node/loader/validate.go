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

// validator collects the validation errors of a settings file.
type validator struct {
	// undecoded holds the paths of fields that already have an error from decoding.
	undecoded map[string]bool
	errs      []error
}

// addError records an error of field, unless the field or a value that contains it could not be decoded.
func (validator *validator) addError(field, format string, args ...any) {
	for path := field; ; path = path[:strings.LastIndexAny(path, ".[")] {
		if validator.undecoded[path] {
			return
		}
		if !strings.ContainsAny(path, ".[") {
			break
		}
	}
	validator.errs = append(validator.errs, fieldError(field, format, args...))
}

func (validator *validator) validateName(field, value string) {
	switch {
	case value == "":
		validator.addError(field, "is missing")
	case !namePattern.MatchString(value):
		validator.addError(field, "must be 1 to 64 letters, digits, dots, underscores, colons or hyphens")
	}
}

// validateUpstream validates an address to which connections are made.
func (validator *validator) validateUpstream(field string, address netip.AddrPort) {
	switch {
	case !address.IsValid():
		validator.addError(field, "is missing")
	case address.Port() == 0:
		validator.addError(field, "has port 0")
	case address.Addr().IsUnspecified():
		validator.addError(field, "must not be an unspecified address")
	}
}

// validate returns the validation errors of settings, without those of undecoded fields.
func (settings *Settings) validate(undecoded map[string]bool) []error {
	validator := &validator{
		undecoded: undecoded,
	}
	if settings.ID != "" {
		validator.validateName("ID", settings.ID)
	}
	validator.validateName("Region", settings.Region)
	validator.validateName("Site", settings.Site)
	settings.validateAddresses(validator)
	settings.validateShards(validator)
	validator.validatePositive("Limits", reflect.ValueOf(settings.Limits))
	validator.validatePositive("Timeouts", reflect.ValueOf(settings.Timeouts))
	validator.validatePositive("Intervals", reflect.ValueOf(settings.Intervals))
	settings.validateLeases(validator)
	return validator.errs
}

func (settings *Settings) validateAddresses(validator *validator) {
	if !settings.HTTP.IsValid() {
		validator.addError("HTTP", "is empty")
	}
	if !settings.Peer.IsValid() {
		validator.addError("Peer", "is empty")
	} else if settings.Peer.Addr().IsUnspecified() {
		validator.addError("Peer", "must be the address of one interface, because peers connect to it")
	}
	if settings.HTTP == settings.Peer && settings.HTTP.Port() != 0 {
		validator.addError("Peer", "is the same as HTTP")
	}
	if settings.Advertise.IsValid() {
		validator.validateUpstream("Advertise", settings.Advertise)
	}
	if len(settings.Store) == 0 {
		validator.addError("Store", "is missing")
	}
	for i, address := range settings.Store {
		validator.validateUpstream(fmt.Sprintf("Store[%d]", i), address)
	}
	validator.validateUpstream("List", settings.List)
}

func (settings *Settings) validateShards(validator *validator) {
	sites := map[string]bool{}
	for i, shards := range settings.Shards {
		path := fmt.Sprintf("Shards[%d]", i)
		validator.validateName(path+".Region", shards.Region)
		validator.validateName(path+".Site", shards.Site)
		if shards.Count < 1 || shards.Count > MaxShardsPerSite {
			validator.addError(path+".Count", "must be between 1 and %d", MaxShardsPerSite)
		}
		if sites[shards.Site] {
			validator.addError(path+".Site", "is listed twice")
		}
		sites[shards.Site] = true
	}
}

// validatePositive validates that all numbers and durations in the struct group are greater than zero.
func (validator *validator) validatePositive(path string, group reflect.Value) {
	for i := range group.NumField() {
		field := path + "." + group.Type().Field(i).Name
		switch value := group.Field(i).Interface().(type) {
		case int:
			if value < 1 {
				validator.addError(field, "must be at least 1")
			}
		case descriptor.Duration:
			if value.Duration <= 0 {
				validator.addError(field, "must be longer than 0s")
			}
		}
	}
}

// maxStoreLease is the largest allowed Timeouts.StoreLease. It is shorter than the 15 s lease of a running
// task, so that a new owner has time to renew the task leases after the former owner's store lease has expired.
const maxStoreLease = 10 * time.Second

// validateLeases validates the relations between lease, renewal and exchange times. Exclusive ownership of shards
// depends on them.
func (settings *Settings) validateLeases(validator *validator) {
	timeouts, intervals := settings.Timeouts, settings.Intervals
	validity := timeouts.StoreLease.Duration - timeouts.LeaseMargin.Duration
	if validity <= 0 {
		validator.addError("Timeouts.LeaseMargin", "must be shorter than Timeouts.StoreLease")
	} else if 2*intervals.LeaseRenewal.Duration > validity {
		validator.addError("Intervals.LeaseRenewal",
			"must be at most half of Timeouts.StoreLease minus Timeouts.LeaseMargin, so that one renewal may fail")
	}
	if timeouts.StoreLease.Duration > maxStoreLease {
		validator.addError("Timeouts.StoreLease", "must be at most %s", maxStoreLease)
	}
	if timeouts.PeerSilence.Duration <= intervals.Exchange.Duration {
		validator.addError("Timeouts.PeerSilence", "must be longer than Intervals.Exchange")
	}
	if timeouts.RegionSilence.Duration <= intervals.RegionExchange.Duration {
		validator.addError("Timeouts.RegionSilence", "must be longer than Intervals.RegionExchange")
	}
}
