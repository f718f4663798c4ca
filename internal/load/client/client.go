// Package client implements a client of the caller API. It gets the list of entries, caches it for as long as
// the answer says, and sends searches and submits to entries drawn by weight. An answer that does not decode
// as the expected protobuf message is an error.
package client

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/quartz"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

const (
	maxAnswerBytes            = 64 << 20 // 64 MiB
	maxIdleConnectionsPerHost = 1024
	minKeepFor                = time.Second
)

type (
	// Config holds what a Client needs.
	Config struct {
		// Addresses are the nodes to get the entries from; they are tried in turn until one answers.
		Addresses []string
		Clock     quartz.Clock
		// Seed makes the draw of entries repeatable.
		Seed uint64
	}

	// Client sends requests to entries. It is safe for concurrent use.
	Client struct {
		config Config
		http   *http.Client
		mutex  sync.Mutex
		random *rand.Rand
		// entries is the last answer. It is used until keepUntil, and longer while no newer one can be fetched.
		entries    *pb.EntriesAnswer
		keepUntil  time.Time
		refreshing bool
	}
)

// New returns a Client that has no entries yet.
func New(c Config) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnectionsPerHost, DisableCompression: true}
	return &Client{
		config: c,
		http:   &http.Client{Transport: transport},
		random: rand.New(rand.NewPCG(c.Seed, c.Seed)), //nolint:gosec // repeatable draw
	}
}

// Entries gets the entries from the first address that answers.
func (c *Client) Entries(ctx context.Context) (*pb.EntriesAnswer, error) {
	err := errors.New("no address is given to get entries from")
	for _, address := range c.config.Addresses {
		answer := &pb.EntriesAnswer{}
		if err = c.do(ctx, http.MethodGet, "http://"+address+"/v1/entries", "", nil, answer); err == nil {
			return answer, nil
		}
	}
	return nil, errors.Wrap(err, "get entries")
}

// Search sends the request to the address; an empty address means one of the entries.
func (c *Client) Search(
	ctx context.Context, address, credential string, r *pb.SearchRequest,
) (*pb.SearchAnswer, error) {
	answer := &pb.SearchAnswer{}
	return answer, c.post(ctx, address, "/v1/search", credential, r, answer)
}

// Submit sends the request to the address; an empty address means one of the entries.
func (c *Client) Submit(
	ctx context.Context, address, credential string, r *pb.SubmitRequest,
) (*pb.SubmitAnswer, error) {
	answer := &pb.SubmitAnswer{}
	return answer, c.post(ctx, address, "/v1/submit", credential, r, answer)
}

func (c *Client) post(ctx context.Context, address, path, credential string, r, answer proto.Message) error {
	if address == "" {
		chosen, err := c.chooseEntry(ctx)
		if err != nil {
			return err
		}
		address = chosen
	}
	body, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	return c.do(ctx, http.MethodPost, "http://"+address+path, credential, body, answer)
}

func (c *Client) do(ctx context.Context, method, url, credential string, body []byte, answer proto.Message) error {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	if credential != "" {
		request.Header.Set("Authorization", "Bearer "+credential)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Wrap(err, "send request")
	}
	defer func() { _ = response.Body.Close() }()
	received, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	return errors.Wrap(protojson.Unmarshal(received, answer), "decode answer")
}

// chooseEntry returns the address of an entry drawn by weight. It first gets the entries if none are cached or the
// cached ones have expired.
func (c *Client) chooseEntry(ctx context.Context) (string, error) {
	if c.claimRefresh() {
		answer, err := c.Entries(ctx)
		c.storeEntries(answer)
		if err != nil && c.cachedEntries() == nil {
			return "", err
		}
	}
	return c.drawEntry()
}

// claimRefresh reports whether the request must get the entries. When the cached ones have expired, it returns
// true to one of the concurrent requests and the others go on with the old entries.
func (c *Client) claimRefresh() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.entries == nil {
		return true
	}
	if c.refreshing || c.config.Clock.Now().Before(c.keepUntil) {
		return false
	}
	c.refreshing = true
	return true
}

func (c *Client) storeEntries(answer *pb.EntriesAnswer) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.refreshing = false
	if len(answer.GetEntries()) == 0 {
		return
	}
	c.entries = answer
	c.keepUntil = c.config.Clock.Now().Add(max(minKeepFor, answer.GetKeepFor().AsDuration()))
}

func (c *Client) cachedEntries() *pb.EntriesAnswer {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.entries
}

func (c *Client) drawEntry() (string, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var total uint32
	for _, e := range c.entries.GetEntries() {
		total += max(1, e.GetWeight())
	}
	if total == 0 {
		return "", errors.New("the answer lists no entries")
	}
	remaining := c.random.Uint32N(total)
	for _, e := range c.entries.GetEntries() {
		w := max(1, e.GetWeight())
		if remaining < w {
			return e.GetAddress(), nil
		}
		remaining -= w
	}
	return "", errors.New("no entry was selected")
}
