// Package loader parses and validates the settings file of an entry instance.
// The caller reads the file.
package loader

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/node/decoder"
	"pomelomoor/internal/work/descriptor"
)

// MaxDocumentBytes is the maximum size of a settings file.
const MaxDocumentBytes = 256 << 10

// Settings holds what an entry instance reads from its settings file at its start. The operators' policies are
// not part of it.
type Settings struct {
	// ID names the instance among its peers. Empty means SITE-HOST-PORT of the peer address.
	ID     string
	Region string
	Site   string
	// HTTP is the listen address for callers and operators. Port 0 means any free port.
	HTTP netip.AddrPort
	// Peer is the listen address for other entry instances. They connect to it, so it must be the address of
	// one interface.
	Peer netip.AddrPort
	// Advertise is the address announced to peers instead of the bound Peer address, for an instance that
	// is reached through a proxy. Empty means the bound address.
	Advertise netip.AddrPort
	// Store lists the addresses of the key-value service.
	Store []netip.AddrPort
	// List is the address of the platform's list of instances.
	List netip.AddrPort
	// Shards is the number of shards of each site. Empty means one shard for the instance's own site.
	Shards    []SiteShards
	Limits    Limits
	Timeouts  Timeouts
	Intervals Intervals
}

// SiteShards is the number of shards into which the workers of a site are divided.
type SiteShards struct {
	Region string
	Site   string
	Count  int
}

// Limits bound the load and the memory of one instance. All are at least 1.
type Limits struct {
	// BodyBytes bounds the body of an interactive request.
	BodyBytes int
	// HeaderBytes bounds the sum of all header names and values of one HTTP request.
	HeaderBytes int
	// Headers bounds the number of header values of one HTTP request.
	Headers int
	// Calls bounds the number of submissions and requests in progress.
	Calls int
	// Connections bounds the number of callers' connections.
	Connections int
	// BufferBytes bounds the total size of the bodies of all HTTP requests in progress.
	BufferBytes int
	// QueuedRequests bounds the number of interactive requests that wait.
	QueuedRequests int
	// StoreWrites is the budget of store writes per second for the whole cell.
	StoreWrites int
	// RingSize is the number of slots in a shard's journal.
	RingSize int
	// Spans bounds the number of trace spans kept in memory.
	Spans int
}

// Timeouts bound how long an instance waits.
type Timeouts struct {
	// StoreLease is how long the store keeps an unrenewed lease.
	StoreLease descriptor.Duration
	// LeaseMargin is how long before the end of StoreLease the holder itself regards the lease as expired.
	LeaseMargin descriptor.Duration
	// StoreCall bounds one call to the store, except for watches.
	StoreCall descriptor.Duration
	// WorkerCall bounds one call to a worker.
	WorkerCall descriptor.Duration
	// PeerSilence is the time without messages after which a peer of the same region is suspected.
	PeerSilence descriptor.Duration
	// RegionSilence is the time without messages after which a peer of another region is suspected.
	RegionSilence descriptor.Duration
	// Header bounds the time to receive the header of an HTTP request, Body the time to receive its body.
	Header descriptor.Duration
	Body   descriptor.Duration
	// Answer bounds the time to send a response.
	Answer descriptor.Duration
	// Idle is how long an unused connection of a caller is kept open.
	Idle descriptor.Duration
	// Drain bounds the duration of a planned stop.
	Drain descriptor.Duration
}

// Intervals are the periods of repeated work.
type Intervals struct {
	// LeaseRenewal is the interval between renewals of the store lease.
	LeaseRenewal descriptor.Duration
	// Exchange is the interval of the exchange with peers of the region, RegionExchange that of the exchange
	// between regions.
	Exchange       descriptor.Duration
	RegionExchange descriptor.Duration
	// List is the interval between polls of the list of instances.
	List descriptor.Duration
	// Metrics is the interval between collections of metrics.
	Metrics descriptor.Duration
}

func duration(value time.Duration) descriptor.Duration {
	return descriptor.Duration{
		Duration: value,
	}
}

// Defaults returns the default settings. Region, Site, Store and List have no default.
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
			Connections: 4096,
			// A quarter of the memory that a node may use.
			BufferBytes:    32 << 20,
			QueuedRequests: 4096,
			// A quarter of the store's write capacity; the rest is left to its other users.
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

// FileError is one validation error of a settings file.
type FileError struct {
	File string
	// FieldError is a *descriptor.FieldError.
	FieldError error
}

func (fileError *FileError) Error() string {
	return fmt.Sprintf("%s: %s", fileError.File, fileError.FieldError)
}

func (fileError *FileError) Unwrap() error {
	return fileError.FieldError
}

// Parse applies document, the content of file, to the defaults and validates the result. The error joins all
// validation errors, each a *FileError.
func Parse(file string, document []byte) (Settings, error) {
	settings := Defaults()
	var errs []error
	if len(document) > MaxDocumentBytes {
		errs = append(errs, fieldError(decoder.Document, "is larger than %d bytes", MaxDocumentBytes))
	} else {
		errs = decoder.Decode(document, &settings)
	}
	if len(errs) == 0 || !isDocumentError(errs[0]) {
		errs = append(errs, settings.validate(undecodedFields(errs))...)
	}
	if len(errs) > 0 {
		for i, err := range errs {
			errs[i] = &FileError{
				File:       file,
				FieldError: err,
			}
		}
		return Settings{}, errors.Join(errs...)
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

// isDocumentError reports whether err concerns the document as a whole, so that its fields were not decoded.
func isDocumentError(err error) bool {
	var fieldError *descriptor.FieldError
	return errors.As(err, &fieldError) && fieldError.Field == decoder.Document
}

// undecodedFields returns the fields that have an error in errs. They are not validated again.
func undecodedFields(errs []error) map[string]bool {
	fields := map[string]bool{}
	for _, err := range errs {
		var fieldError *descriptor.FieldError
		if errors.As(err, &fieldError) {
			fields[fieldError.Field] = true
		}
	}
	return fields
}

// InstanceID returns settings.ID, or an ID derived from the bound peer address if it is empty.
func (settings *Settings) InstanceID(peer netip.AddrPort) string {
	if settings.ID != "" {
		return settings.ID
	}
	return fmt.Sprintf("%s-%s-%d", settings.Site, peer.Addr(), peer.Port())
}
