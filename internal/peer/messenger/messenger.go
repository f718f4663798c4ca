// Package messenger sends and receives frames between nodes. Frames are length-delimited protobuf over two
// long-lived yamux streams for each peer, one for data and one for control, so that a large answer does not
// delay a probe. Replies are matched to calls by id; a reply that matches no pending call is counted and dropped.
//
// A call whose frame could not be queued fails with ErrNotSent: the peer cannot have acted on it. A call whose
// peer was lost after the frame was queued fails with ErrPeerLost: its outcome is unknown.
package messenger

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

const (
	dialTimeout          = time.Second
	redialPause          = 100 * time.Millisecond
	streamWindowBytes    = 1 << 20  // 1 MiB
	defaultMaxFrameBytes = 16 << 20 // 16 MiB
	writeQueueFrames     = 512
	maxHandlersPerStream = 4096

	// Up to defaultIdleLinkThreshold links stay open even if idle; beyond that, links idle for idleLinkTimeout are closed.
	defaultIdleLinkThreshold = 64
	idleLinkTimeout          = 15 * time.Second

	// frameBodyOneof is the name of the oneof in the schema that holds the body of a frame.
	frameBodyOneof = "body"
)

const (
	// PlaneData carries queries and answers.
	PlaneData Plane = 1
	// PlaneControl carries probes and configuration.
	PlaneControl Plane = 2
)

var (
	// ErrNotSent means that the peer cannot have received the frame.
	ErrNotSent = errors.New("peer: not sent")
	// ErrPeerLost means that the peer was lost before it replied.
	ErrPeerLost = errors.New("peer: lost before the reply")
)

type (
	// Plane selects the stream that carries a frame.
	Plane byte

	// Handler handles frames that are not replies. It is called on a separate goroutine for each frame; reply may
	// be called any number of times and from any goroutine.
	Handler interface {
		HandleFrame(ctx context.Context, frame *pb.Frame, reply func(*pb.Frame))
	}

	// Config holds what a Messenger needs.
	Config struct {
		NodeName string
		Handler  Handler
		// ConfigDigest returns the digest of the configuration in force, which is sent with every frame.
		ConfigDigest func() uint64
		// OnConfigDigest is called with the sender and digest of every frame received. It must not block.
		OnConfigDigest func(from string, digest uint64)
		// Dial connects to a peer address; nil means TCP.
		Dial func(ctx context.Context, address string) (net.Conn, error)
		// IdleLinkThreshold is the number of links up to which idle links are not closed; zero means 64.
		IdleLinkThreshold int
		// MaxFrameBytes is the largest frame that is read; zero means 16 MiB. A larger one ends its link.
		MaxFrameBytes int64
		// OnFrameSent is called for each frame that was written, with the schema's name of its body and the address of the
		// other end of its connection; it may be nil.
		OnFrameSent func(kind string, to net.Addr, bytes int)
		// Logger may be nil.
		Logger *slog.Logger
	}

	// Messenger holds the links to all peers. It is safe for concurrent use.
	Messenger struct {
		config Config
		lastID atomic.Uint64
		// unmatched counts replies that matched no pending call.
		unmatched atomic.Uint64
		sentBytes atomic.Uint64
		// buffers is the pool of write buffers that no writer is using.
		buffers sync.Pool
		mutex   sync.Mutex
		// links holds at most one link for each address.
		links map[string]*link
		// accepted holds the sessions that peers opened.
		accepted map[*yamux.Session]struct{}
		closed   bool
	}

	// ReplyFunc is called with the reply to a call, or with the error that ended the call.
	ReplyFunc func(id uint64, reply *pb.Frame, err error)
)

// New returns a Messenger without links.
func New(c Config) *Messenger {
	if c.Dial == nil {
		c.Dial = dialTCP
	}
	if c.IdleLinkThreshold == 0 {
		c.IdleLinkThreshold = defaultIdleLinkThreshold
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	if c.MaxFrameBytes == 0 {
		c.MaxFrameBytes = defaultMaxFrameBytes
	}
	return &Messenger{
		config:   c,
		links:    map[string]*link{},
		accepted: map[*yamux.Session]struct{}{},
		buffers:  sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }},
	}
}

// NextID returns a call id that is unique in this process.
func (m *Messenger) NextID() uint64 {
	return m.lastID.Add(1)
}

// UnmatchedReplies returns how many replies matched no pending call.
func (m *Messenger) UnmatchedReplies() uint64 {
	return m.unmatched.Load()
}

// SentBytes returns how many bytes of frames have been written to peers.
func (m *Messenger) SentBytes() uint64 {
	return m.sentBytes.Load()
}

// countSent counts a frame that was written.
func (m *Messenger) countSent(f *pb.Frame, to net.Addr, bytes int) {
	m.sentBytes.Add(uint64(bytes))
	if m.config.OnFrameSent == nil {
		return
	}
	message := f.ProtoReflect()
	kind := "none"
	if field := message.WhichOneof(message.Descriptor().Oneofs().ByName(frameBodyOneof)); field != nil {
		kind = string(field.Name())
	}
	m.config.OnFrameSent(kind, to, bytes)
}

// Call sends a frame and waits for its single reply.
func (m *Messenger) Call(ctx context.Context, address string, plane Plane, frame *pb.Frame) (*pb.Frame, error) {
	type outcome struct {
		reply *pb.Frame
		err   error
	}
	outcomes := make(chan outcome, 1)
	frame.Id = m.NextID()
	deliver := func(_ uint64, reply *pb.Frame, err error) { outcomes <- outcome{reply, err} }
	if err := m.StartCalls(ctx, address, plane, frame, []uint64{frame.GetId()}, deliver); err != nil {
		return nil, err
	}
	select {
	case o := <-outcomes:
		return o.reply, o.err
	case <-ctx.Done():
		m.ForgetCalls(address, frame.GetId())
		return nil, errors.CombineErrors(ErrPeerLost, ctx.Err())
	}
}

// StartCalls sends a frame that is answered by one reply for each id. deliver is called exactly once for each id that
// is not passed to ForgetCalls. If StartCalls returns an error, nothing was sent and deliver is not called.
func (m *Messenger) StartCalls(
	ctx context.Context, address string, plane Plane, frame *pb.Frame, ids []uint64, deliver ReplyFunc,
) error {
	l, err := m.link(ctx, address)
	if err != nil {
		return err
	}
	l.addPendingCalls(ids, deliver)
	if err := l.write(plane, m.setHeader(frame)); err != nil {
		l.forgetCalls(ids)
		return err
	}
	return nil
}

// Send sends a frame that has no reply.
func (m *Messenger) Send(ctx context.Context, address string, plane Plane, frame *pb.Frame) error {
	l, err := m.link(ctx, address)
	if err != nil {
		return err
	}
	return l.write(plane, m.setHeader(frame))
}

// ForgetCalls drops the pending calls; later replies to them are counted as unmatched.
func (m *Messenger) ForgetCalls(address string, ids ...uint64) {
	m.mutex.Lock()
	l := m.links[address]
	m.mutex.Unlock()
	if l != nil {
		l.forgetCalls(ids)
	}
}

// Close closes all links and all sessions that peers opened.
func (m *Messenger) Close() {
	m.mutex.Lock()
	m.closed = true
	links := m.links
	m.links = map[string]*link{}
	sessions := m.accepted
	m.accepted = map[*yamux.Session]struct{}{}
	m.mutex.Unlock()
	for _, l := range links {
		l.closeWhenReady()
	}
	for s := range sessions {
		_ = s.Close()
	}
}

func (m *Messenger) setHeader(frame *pb.Frame) *pb.Frame {
	frame.From = m.config.NodeName
	frame.ConfigDigest = m.config.ConfigDigest()
	return frame
}

// link returns the open link to the address, or connects first if there is none.
func (m *Messenger) link(ctx context.Context, address string) (*link, error) {
	m.mutex.Lock()
	if m.closed {
		m.mutex.Unlock()
		return nil, errors.Wrap(ErrNotSent, "messenger is closed")
	}
	l := m.links[address]
	if l == nil || l.isClosed() {
		m.closeIdleLocked()
		l = newLink(m, address)
		m.links[address] = l
		go l.connect()
	}
	l.lastUsedAt.Store(time.Now().UnixNano())
	m.mutex.Unlock()
	return l, l.waitConnected(ctx)
}

// CloseLink closes the link to the address, so that calls pending at a dead peer fail at once.
func (m *Messenger) CloseLink(address string) {
	m.mutex.Lock()
	l := m.links[address]
	delete(m.links, address)
	m.mutex.Unlock()
	if l != nil {
		l.closeWhenReady()
	}
}

// LinkCount returns how many links to peers are open.
func (m *Messenger) LinkCount() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return len(m.links)
}

// closeIdleLocked bounds the number of open links: in a large fleet, probing opens a link to each member in turn.
func (m *Messenger) closeIdleLocked() {
	if len(m.links) < m.config.IdleLinkThreshold {
		return
	}
	idleSince := time.Now().Add(-idleLinkTimeout).UnixNano()
	for address, l := range m.links {
		if l.isClosed() || (l.lastUsedAt.Load() < idleSince && l.isIdle()) {
			delete(m.links, address)
			go l.close()
		}
	}
}

func (m *Messenger) serveConnection(connection net.Conn) {
	session, err := yamux.Server(connection, sessionConfig())
	if err != nil {
		_ = connection.Close()
		return
	}
	if !m.addSession(session) {
		return
	}
	defer m.removeSession(session)
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		go m.serveStream(stream)
	}
}

func (m *Messenger) addSession(session *yamux.Session) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.closed {
		_ = session.Close()
		return false
	}
	m.accepted[session] = struct{}{}
	return true
}

func (m *Messenger) removeSession(session *yamux.Session) {
	m.mutex.Lock()
	delete(m.accepted, session)
	m.mutex.Unlock()
	_ = session.Close()
}

// serveStream handles the frames of one stream that a peer opened. The context of the handlers is cancelled when
// the stream ends, so that work for a lost peer stops.
func (m *Messenger) serveStream(stream net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w := newWriter(stream, m)
	defer w.close()
	reply := func(f *pb.Frame) { _ = w.enqueueBlocking(m.setHeader(f)) }
	handlers := make(chan struct{}, maxHandlersPerStream)
	readFrames(stream, m.config.MaxFrameBytes, func(f *pb.Frame) {
		m.config.OnConfigDigest(f.GetFrom(), f.GetConfigDigest())
		handlers <- struct{}{}
		go func() {
			defer func() { <-handlers }()
			m.config.Handler.HandleFrame(ctx, f, reply)
		}()
	})
}

func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.MaxStreamWindowSize = streamWindowBytes
	c.LogOutput = nil
	c.Logger = discardLogger{}
	return c
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", address)
}
