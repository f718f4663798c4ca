// Package client calls the platform's object API over HTTP. It reads, writes, lists and watches versioned
// objects. Its errors distinguish four results: the object does not exist, the object has another version
// than expected, nothing was changed, or the outcome is unknown. In the last case, the calling code must
// read the object back.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	maxBodyBytes   = 64 << 20 // 64 MiB, enough for a list of many objects
	requestTimeout = 2 * time.Second
	watchGrace     = 2 * time.Second
)

var (
	// ErrNotFound means that no object has the key.
	ErrNotFound = errors.New("platform: object not found")
	// ErrConflict means that the object has another version than expected.
	ErrConflict = errors.New("platform: version conflict")
	// ErrUnavailable means that the platform did not carry out the request.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrOutcomeUnknown means that a change may or may not have been made.
	ErrOutcomeUnknown = errors.New("platform: outcome unknown")
)

type (
	// Config configures a Client.
	Config struct {
		// URLs are the base URLs of the object API. The client switches to the next one when a call gets no response.
		URLs []string
	}

	// Client calls the platform. It is safe for concurrent use.
	Client struct {
		urls []string
		http *http.Client
		// urlCounter modulo the number of URLs is the index of the URL in use.
		urlCounter atomic.Uint64
		calls      atomic.Uint64
	}

	// Object is one versioned value.
	Object struct {
		Key     string          `json:"key"`
		Version int64           `json:"version"`
		Value   json.RawMessage `json:"value"`
	}

	// Listing is a consistent list of objects at one revision.
	Listing struct {
		Objects  []Object `json:"objects"`
		Revision int64    `json:"revision"`
	}

	// VM is an entry in the platform's list of VMs, which lags behind the actual state.
	VM struct {
		Name             string `json:"name"`
		IP               string `json:"ip"`
		AvailabilityZone string `json:"availability_zone"`
		// State is live or leaving.
		State string `json:"state"`
	}

	vmList struct {
		VMs []VM `json:"vms"`
	}
)

// New returns a Client.
func New(c Config) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: requestTimeout}).DialContext,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     time.Minute,
	}
	return &Client{urls: c.URLs, http: &http.Client{Transport: transport}}
}

// Calls returns the number of calls made so far. A watch counts as one call, however long it waits.
func (c *Client) Calls() uint64 {
	return c.calls.Load()
}

// Get reads one object.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	body, version, err := c.do(ctx, http.MethodGet, "/v1/objects/"+key, nil, nil, requestTimeout)
	if err != nil {
		return Object{}, errors.Wrapf(err, "get %s", key)
	}
	return Object{Key: key, Version: version, Value: body}, nil
}

// List reads all objects whose key has the prefix.
func (c *Client) List(ctx context.Context, prefix string) (Listing, error) {
	path := "/v1/objects?prefix=" + url.QueryEscape(prefix)
	return c.fetchListing(ctx, path, requestTimeout)
}

// Watch waits until objects have versions above the revision or the wait ends, and returns these objects.
// An empty listing is not an error.
func (c *Client) Watch(ctx context.Context, after int64, wait time.Duration) (Listing, error) {
	path := fmt.Sprintf("/v1/watch?after=%d&wait_ms=%d", after, wait.Milliseconds())
	return c.fetchListing(ctx, path, wait+watchGrace)
}

// Create stores a new object and returns its version. It fails with ErrConflict if the key exists.
func (c *Client) Create(ctx context.Context, key string, value []byte) (int64, error) {
	return c.put(ctx, key, value, "If-None-Match", "*")
}

// Update replaces the object if it has the given version, and returns the new version.
func (c *Client) Update(ctx context.Context, key string, value []byte, version int64) (int64, error) {
	return c.put(ctx, key, value, "If-Match", formatETag(version))
}

// Delete removes the object if it has the given version.
func (c *Client) Delete(ctx context.Context, key string, version int64) error {
	header := http.Header{"If-Match": {formatETag(version)}}
	_, _, err := c.do(ctx, http.MethodDelete, "/v1/objects/"+key, nil, header, requestTimeout)
	return errors.Wrapf(err, "delete %s", key)
}

// VMs reads the list of VMs, which lags behind the actual state.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	body, _, err := c.do(ctx, http.MethodGet, "/v1/vms", nil, nil, requestTimeout)
	if err != nil {
		return nil, errors.Wrap(err, "list VMs")
	}
	var list vmList
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, errors.Wrap(err, "decode VM list")
	}
	return list.VMs, nil
}

func (c *Client) put(ctx context.Context, key string, value []byte, conditionHeader, etag string) (int64, error) {
	header := http.Header{}
	header.Set(conditionHeader, etag)
	_, version, err := c.do(ctx, http.MethodPut, "/v1/objects/"+key, value, header, requestTimeout)
	if err != nil {
		return 0, errors.Wrapf(err, "write %s", key)
	}
	return version, nil
}

func (c *Client) fetchListing(ctx context.Context, path string, timeout time.Duration) (Listing, error) {
	body, _, err := c.do(ctx, http.MethodGet, path, nil, nil, timeout)
	if err != nil {
		return Listing{}, errors.Wrap(err, "list objects")
	}
	var listing Listing
	if err := json.Unmarshal(body, &listing); err != nil {
		return Listing{}, errors.Wrap(err, "decode listing")
	}
	return listing, nil
}

// do makes one call. It returns the body of the answer and the version in its ETag.
func (c *Client) do(
	ctx context.Context, method, path string, body []byte, header http.Header, timeout time.Duration,
) ([]byte, int64, error) {
	if len(c.urls) == 0 {
		return nil, 0, errors.Wrap(ErrUnavailable, "no platform URL in the settings")
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	baseURL := c.urls[c.urlCounter.Load()%uint64(len(c.urls))]
	request, err := http.NewRequestWithContext(ctx, method, baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, 0, errors.Wrap(err, "make request")
	}
	for k, v := range header {
		request.Header[k] = v
	}
	c.calls.Add(1)
	response, err := c.http.Do(request)
	if err != nil {
		c.urlCounter.Add(1)
		return nil, 0, transportError(method, err)
	}
	defer func() { _ = response.Body.Close() }()
	return readResponse(method, response)
}

func readResponse(method string, response *http.Response) ([]byte, int64, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return nil, 0, transportError(method, err)
	}
	switch {
	case response.StatusCode == http.StatusNotFound:
		return nil, 0, ErrNotFound
	case response.StatusCode == http.StatusPreconditionFailed:
		return nil, 0, ErrConflict
	case response.StatusCode >= http.StatusInternalServerError && method != http.MethodGet &&
		response.StatusCode != http.StatusServiceUnavailable:
		return nil, 0, errors.Wrapf(ErrOutcomeUnknown, "status %d", response.StatusCode)
	case response.StatusCode >= http.StatusBadRequest:
		return nil, 0, errors.Wrapf(ErrUnavailable, "status %d", response.StatusCode)
	}
	version, _ := strconv.ParseInt(strings.Trim(response.Header.Get("Etag"), `"`), 10, 64)
	return body, version, nil
}

// transportError returns ErrUnavailable for a read or for a request that failed while connecting, and
// ErrOutcomeUnknown for a write whose answer was lost.
func transportError(method string, err error) error {
	var opError *net.OpError
	if method == http.MethodGet || (errors.As(err, &opError) && opError.Op == "dial") {
		return errors.Wrapf(ErrUnavailable, "%v", err)
	}
	return errors.Wrapf(ErrOutcomeUnknown, "%v", err)
}

func formatETag(version int64) string {
	return `"` + strconv.FormatInt(version, 10) + `"`
}
