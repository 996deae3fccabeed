package observer

import (
	"strings"
	"sync"
	"time"
)

const (
	// entryLogInterval is the time between two log lines about one entry that cannot be read. Its writer may repeat it
	// several times a second.
	entryLogInterval = time.Minute
	// maxLoggedEntries limits the entries that are logged in one interval, and with it the memory for their keys.
	maxLoggedEntries = 200
	// maxLoggedPath is the length in bytes of the longest host name or path of a call that is logged.
	maxLoggedPath = 120
	// maxEntryError is the length in bytes of the longest error that is logged for an entry, since an error may quote it.
	maxEntryError = 300
)

// shorten returns the beginning of text, at most maxBytes long.
func shorten(text string, maxBytes int) string {
	if len(text) <= maxBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxBytes], "")
}

// entryLimiter decides which unreadable entries are logged. The zero value logs each entry first.
type entryLimiter struct {
	mutex sync.Mutex
	// began is when the interval of logged began.
	began  time.Time
	logged map[string]bool
}

// allow reports whether the entry with a name may be logged now.
func (entryLimiter *entryLimiter) allow(now time.Time, name string) bool {
	entryLimiter.mutex.Lock()
	defer entryLimiter.mutex.Unlock()
	if entryLimiter.logged == nil || now.Sub(entryLimiter.began) >= entryLogInterval {
		entryLimiter.began = now
		entryLimiter.logged = map[string]bool{}
	}
	if entryLimiter.logged[name] || len(entryLimiter.logged) >= maxLoggedEntries {
		return false
	}
	entryLimiter.logged[name] = true
	return true
}
