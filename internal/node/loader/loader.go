// Package loader reads the settings file of an entry instance.
// It only parses; the program reads the file.
package loader

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/node/decoder"
	"pomelomoor/internal/work/descriptor"
)

// MaxDocument is the largest settings file in bytes.
const MaxDocument = 256 << 10

// Settings are what an entry instance is told at its start. Operators' policy is not among them.
type Settings struct {
	// ID names the instance among its peers. Empty means SITE-HOST-PORT of the peer address.
	ID     string
	Region string
	Site   string
	// HTTP is where callers and operators are answered. Port 0 takes any free port.
	HTTP netip.AddrPort
	// Peer is where other entry instances are answered. They call it, so it names one interface.
	Peer netip.AddrPort
	// Advertise is the address that peers are told instead of the bound Peer address, for an instance
	// that is reached through a forwarder. Empty means the bound one.
	Advertise netip.AddrPort
	// Store lists the addresses of the key-value service.
	Store []netip.AddrPort
	// List is the address of the platform's list of instances.
	List netip.AddrPort
	// Shards tells how many shards each site has. Empty means one for the instance's own site.
	Shards    []SiteShards
	Limits    Limits
	Timeouts  Timeouts
	Intervals Intervals
}

// SiteShards tells how many shards the workers of a site form.
type SiteShards struct {
	Region string
	Site   string
	Count  int
}

// Limits bound what one instance takes on. All counts are at least 1.
type Limits struct {
	// BodyBytes bounds the body of an interactive request.
	BodyBytes int
	// HeaderBytes bounds the sum of all header names and values of one call.
	HeaderBytes int
	// Headers bounds the number of header values of one call.
	Headers int
	// Calls bounds the submissions and requests in progress.
	Calls int
	// BufferBytes bounds the bodies of all calls in progress together.
	BufferBytes int
	// QueuedRequests bounds the interactive requests that wait.
	QueuedRequests int
	// StoreWrites is the whole cell's budget of store writes a second.
	StoreWrites int
	// RingSize is the number of slots in a shard's journal.
	RingSize int
	// Spans bounds the trace spans kept in memory.
	Spans int
}

// Timeouts end waits.
type Timeouts struct {
	// StoreLease is how long the store keeps an unrenewed lease.
	StoreLease descriptor.Duration
	// LeaseMargin is subtracted from StoreLease for the holder's own deadline.
	LeaseMargin descriptor.Duration
	// StoreCall bounds one call to the store, except for watches.
	StoreCall descriptor.Duration
	// WorkerCall bounds one call to a worker.
	WorkerCall descriptor.Duration
	// PeerSilence makes a peer of the same region suspected.
	PeerSilence descriptor.Duration
	// RegionSilence makes a peer of another region suspected.
	RegionSilence descriptor.Duration
	// Header bounds the receipt of a call's header, and Body that of its body.
	Header descriptor.Duration
	Body   descriptor.Duration
	// Answer bounds the sending of an answer.
	Answer descriptor.Duration
	// Idle closes unused connections of callers.
	Idle descriptor.Duration
	// Drain bounds a planned stop.
	Drain descriptor.Duration
}

// Intervals pace repeated work.
type Intervals struct {
	// LeaseRenewal paces renewals of the store lease.
	LeaseRenewal descriptor.Duration
	// Exchange paces the exchange with peers of the region, RegionExchange that between regions.
	Exchange       descriptor.Duration
	RegionExchange descriptor.Duration
	// List paces polls of the list of instances.
	List descriptor.Duration
	// Metrics paces the collection of metrics.
	Metrics descriptor.Duration
}

func duration(value time.Duration) descriptor.Duration {
	return descriptor.Duration{
		Duration: value,
	}
}

// Defaults returns the settings that a file changes. They lack Region, Site, Store and List.
func Defaults() Settings {
	loopback := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	return Settings{
		HTTP: netip.AddrPortFrom(loopback, 8080),
		Peer: netip.AddrPortFrom(loopback, 8081),
		Limits: Limits{
			BodyBytes:   1 << 20,
			HeaderBytes: 16 << 10,
			Headers:     64,
			Calls:       4096,
			// A quarter of the memory that a node may use.
			BufferBytes:    32 << 20,
			QueuedRequests: 4096,
			// A quarter of what the store handles; its other users have the rest.
			StoreWrites: 75,
			RingSize:    256,
			Spans:       4096,
		},
		Timeouts: Timeouts{
			StoreLease:    duration(4 * time.Second),
			LeaseMargin:   duration(500 * time.Millisecond),
			StoreCall:     duration(time.Second),
			WorkerCall:    duration(2 * time.Second),
			PeerSilence:   duration(3 * time.Second),
			RegionSilence: duration(8 * time.Second),
			Header:        duration(5 * time.Second),
			Body:          duration(10 * time.Second),
			Answer:        duration(10 * time.Second),
			Idle:          duration(time.Minute),
			Drain:         duration(30 * time.Second),
		},
		Intervals: Intervals{
			LeaseRenewal:   duration(time.Second),
			Exchange:       duration(time.Second),
			RegionExchange: duration(2 * time.Second),
			List:           duration(2 * time.Second),
			Metrics:        duration(time.Second),
		},
	}
}

// Fault is one fault of a settings file.
type Fault struct {
	File string
	// FieldError is a *descriptor.FieldError.
	FieldError error
}

func (fault *Fault) Error() string {
	return fmt.Sprintf("%s: %s", fault.File, fault.FieldError)
}

func (fault *Fault) Unwrap() error {
	return fault.FieldError
}

// Parse reads the document of file over the defaults and returns all its faults joined, each a *Fault.
func Parse(file string, document []byte) (Settings, error) {
	settings := Defaults()
	var faults []error
	if len(document) > MaxDocument {
		faults = append(faults, fieldError(decoder.Document, "is larger than %d bytes", MaxDocument))
	} else {
		faults = decoder.Decode(document, &settings)
	}
	if len(faults) == 0 || !wholeDocument(faults[0]) {
		faults = append(faults, settings.check(faulty(faults))...)
	}
	if len(faults) > 0 {
		for i, err := range faults {
			faults[i] = &Fault{
				File:       file,
				FieldError: err,
			}
		}
		return Settings{}, errors.Join(faults...)
	}
	if len(settings.Shards) == 0 {
		settings.Shards = []SiteShards{
			{
				Region: settings.Region,
				Site:   settings.Site,
				Count:  1,
			},
		}
	}
	return settings, nil
}

func fieldError(field, format string, args ...any) error {
	return &descriptor.FieldError{
		Field:  field,
		Reason: fmt.Sprintf(format, args...),
	}
}

func wholeDocument(err error) bool {
	var fieldError *descriptor.FieldError
	return errors.As(err, &fieldError) && fieldError.Field == decoder.Document
}

// faulty returns the fields that could not be decoded, which are not checked again.
func faulty(faults []error) map[string]bool {
	fields := map[string]bool{}
	for _, err := range faults {
		var fieldError *descriptor.FieldError
		if errors.As(err, &fieldError) {
			fields[fieldError.Field] = true
		}
	}
	return fields
}

// InstanceID returns ID, or the name derived from the bound peer address.
func (settings *Settings) InstanceID(peer netip.AddrPort) string {
	if settings.ID != "" {
		return settings.ID
	}
	return fmt.Sprintf("%s-%s-%d", settings.Site, peer.Addr(), peer.Port())
}
