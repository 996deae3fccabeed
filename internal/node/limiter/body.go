package limiter

import (
	"bytes"
	"io"
	"net/http"
	"sync"

	"github.com/go-faster/errors"
)

const (
	// FirstBufferBytes is the first buffer for a body. ConnectionBytes covers it.
	FirstBufferBytes = 16 << 10
	// decodedObjectBytes, decodedElementBytes and decodedCopies are the memory that decoding a JSON document takes for each
	// object and each other element in it, and how often its text is copied until the call has ended.
	decodedObjectBytes  = 512
	decodedElementBytes = 40
	decodedCopies       = 2
	// maxDecodedShare is the part of the budget that one document can take, so that each can be served in calm.
	maxDecodedShare = 2
)

// firstBuffers holds first buffers of bodies that turned out to be longer.
var firstBuffers = sync.Pool{
	New: func() any {
		return new([FirstBufferBytes]byte)
	},
}

// ErrTooLarge means that a body is larger than its limit.
var ErrTooLarge = errors.New("body is too large")

// ReadBody returns the body of a request, at most maxBytes, and reserves the memory for it and for what it is decoded to
// in the budget of its port. The memory is released when the handler returns. Nothing is reserved for a request that did
// not come through a port. The error is ErrTooLarge, ErrNoRoom, or the one of a body that did not arrive.
func ReadBody(request *http.Request, maxBytes int64) ([]byte, error) {
	conn, limited := request.Context().Value(connKey{}).(*conn)
	if !limited {
		return ReadReserved(request, maxBytes, func(int64) error {
			return nil
		})
	}
	first := true
	body, err := ReadReserved(request, maxBytes, func(bytes int64) error {
		if first {
			// ConnectionBytes covers the first buffer.
			first = false
			return nil
		}
		return conn.await(request.Context(), bytes, ReasonBody)
	})
	if err != nil {
		return nil, err
	}
	if decoded := DecodedBytes(body); decoded > ConnectionBytes {
		if err := conn.await(request.Context(), min(decoded, conn.limiter.maxBytes/maxDecodedShare), ReasonBody); err != nil {
			return nil, err
		}
	}
	return body, nil
}

// complete notes that a request is complete, so that its connection does not give way any more.
func complete(request *http.Request) error {
	conn, limited := request.Context().Value(connKey{}).(*conn)
	if !limited {
		return nil
	}
	return conn.limiter.complete(conn.account)
}

// growReceiveBuffer makes room for the rest of a body that is longer than its first buffer.
func growReceiveBuffer(request *http.Request) {
	if conn, limited := request.Context().Value(connKey{}).(*conn); limited {
		conn.growReceiveBuffer()
	}
}

// DecodedBytes returns a bound on the memory of a decoded JSON document.
func DecodedBytes(document []byte) int64 {
	return int64(decodedCopies*len(document) +
		decodedObjectBytes*bytes.Count(document, []byte{'{'}) +
		decodedElementBytes*(bytes.Count(document, []byte{','})+bytes.Count(document, []byte{'['})))
}

// ReadReserved returns the body of a request, at most maxBytes, without a reservation in a port. It calls reserve with the
// number of bytes by which its buffer grows, before it does.
func ReadReserved(request *http.Request, maxBytes int64, reserve func(bytes int64) error) ([]byte, error) {
	length := request.ContentLength
	if length > maxBytes {
		return nil, ErrTooLarge
	}
	size := min(FirstBufferBytes, maxBytes+1)
	if length >= 0 {
		// One byte more lets the last read see the end of the body.
		size = min(size, length+1)
	}
	if err := reserve(size); err != nil {
		return nil, err
	}
	var first *[FirstBufferBytes]byte
	var body []byte
	if size == FirstBufferBytes {
		first = firstBuffers.Get().(*[FirstBufferBytes]byte)
		body = first[:0]
	} else {
		body = make([]byte, 0, size)
	}
	for {
		if len(body) == cap(body) {
			size = min(2*int64(cap(body)), maxBytes+1)
			if length >= 0 {
				size = length + 1
			}
			if err := reserve(size - int64(cap(body))); err != nil {
				return nil, err
			}
			if cap(body) == FirstBufferBytes {
				growReceiveBuffer(request)
			}
			body = append(make([]byte, 0, size), body...)
			if first != nil {
				firstBuffers.Put(first)
				first = nil
			}
		}
		count, err := request.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		switch {
		case int64(len(body)) > maxBytes:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return body, complete(request)
		case err != nil:
			return nil, errors.Wrap(err, "read body")
		}
	}
}
