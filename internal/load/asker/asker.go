// Package asker is a caller of the system: it asks for entries, keeps the answer for as long as it was
// told, and sends searches and submits to the entries by their weights. Messages of the schema flow in
// and out; an answer that is no message of the schema is an error.
package asker

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
	maxAnswerBytes   = 64 << 20 // 64 MiB
	connectionsAHost = 1024
	shortestKeep     = time.Second
)

type (
	// Config holds what an Asker needs.
	Config struct {
		// Addresses are asked for entries, in turn until one answers.
		Addresses []string
		Clock     quartz.Clock
		// Seed chooses the entries repeatably.
		Seed uint64
	}

	// Asker sends requests to entries. It is safe for concurrent use.
	Asker struct {
		config Config
		http   *http.Client
		mutex  sync.Mutex
		random *rand.Rand
		// entries is the last answer; it may be used until keepUntil and longer while no newer can be had.
		entries   *pb.EntriesAnswer
		keepUntil time.Time
		asking    bool
	}
)

// New returns an Asker without entries.
func New(c Config) *Asker {
	transport := &http.Transport{MaxIdleConnsPerHost: connectionsAHost, DisableCompression: true}
	return &Asker{
		config: c,
		http:   &http.Client{Transport: transport},
		random: rand.New(rand.NewPCG(c.Seed, c.Seed)), //nolint:gosec // repeatable choice
	}
}

// Entries asks the addresses, in turn, for the entries to use.
func (a *Asker) Entries(ctx context.Context) (*pb.EntriesAnswer, error) {
	err := errors.New("no address to ask for entries")
	for _, address := range a.config.Addresses {
		answer := &pb.EntriesAnswer{}
		if err = a.do(ctx, http.MethodGet, "http://"+address+"/v1/entries", "", nil, answer); err == nil {
			return answer, nil
		}
	}
	return nil, errors.Wrap(err, "ask for entries")
}

// Search sends the request to the address; an empty address means one of the entries.
func (a *Asker) Search(
	ctx context.Context, address, credential string, r *pb.SearchRequest,
) (*pb.SearchAnswer, error) {
	answer := &pb.SearchAnswer{}
	return answer, a.post(ctx, address, "/v1/search", credential, r, answer)
}

// Submit sends the request to the address; an empty address means one of the entries.
func (a *Asker) Submit(
	ctx context.Context, address, credential string, r *pb.SubmitRequest,
) (*pb.SubmitAnswer, error) {
	answer := &pb.SubmitAnswer{}
	return answer, a.post(ctx, address, "/v1/submit", credential, r, answer)
}

func (a *Asker) post(ctx context.Context, address, path, credential string, r, answer proto.Message) error {
	if address == "" {
		chosen, err := a.choose(ctx)
		if err != nil {
			return err
		}
		address = chosen
	}
	body, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	return a.do(ctx, http.MethodPost, "http://"+address+path, credential, body, answer)
}

func (a *Asker) do(ctx context.Context, method, url, credential string, body []byte, answer proto.Message) error {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	if credential != "" {
		request.Header.Set("Authorization", "Bearer "+credential)
	}
	response, err := a.http.Do(request)
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

// choose returns the address of one entry, drawn by weight.
func (a *Asker) choose(ctx context.Context) (string, error) {
	if a.mustAsk() {
		answer, err := a.Entries(ctx)
		a.keep(answer)
		if err != nil && a.current() == nil {
			return "", err
		}
	}
	return a.draw()
}

// mustAsk tells one of the concurrent requests to ask again when the answer may not be kept longer.
func (a *Asker) mustAsk() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.entries == nil {
		return true
	}
	if a.asking || a.config.Clock.Now().Before(a.keepUntil) {
		return false
	}
	a.asking = true
	return true
}

func (a *Asker) keep(answer *pb.EntriesAnswer) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.asking = false
	if len(answer.GetEntries()) == 0 {
		return
	}
	a.entries = answer
	a.keepUntil = a.config.Clock.Now().Add(max(shortestKeep, answer.GetKeepFor().AsDuration()))
}

func (a *Asker) current() *pb.EntriesAnswer {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.entries
}

func (a *Asker) draw() (string, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var total uint32
	for _, e := range a.entries.GetEntries() {
		total += max(1, e.GetWeight())
	}
	if total == 0 {
		return "", errors.New("no entry was named")
	}
	left := a.random.Uint32N(total)
	for _, e := range a.entries.GetEntries() {
		w := max(1, e.GetWeight())
		if left < w {
			return e.GetAddress(), nil
		}
		left -= w
	}
	return "", errors.New("no entry was drawn")
}
