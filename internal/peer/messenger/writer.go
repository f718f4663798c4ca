package messenger

import (
	"bufio"
	"io"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

const (
	writeBufferBytes = 64 << 10 // 64 KiB
	readBufferBytes  = 4 << 10  // 4 KiB; larger frames bypass the buffer
)

type (
	// writer writes queued frames to one stream and flushes when the queue is empty, so that frames that are
	// queued together are sent in one packet. It takes a buffer from the pool only while it writes, because most
	// links are idle most of the time.
	writer struct {
		stream    net.Conn
		queue     chan *pb.Frame
		done      chan struct{}
		closeOnce sync.Once
		messenger *Messenger
	}
)

func newWriter(stream net.Conn, m *Messenger) *writer {
	w := &writer{
		stream:    stream,
		queue:     make(chan *pb.Frame, writeQueueFrames),
		done:      make(chan struct{}),
		messenger: m,
	}
	go w.run()
	return w
}

// enqueue queues the frame, or returns false when the queue is full.
func (w *writer) enqueue(f *pb.Frame) bool {
	select {
	case w.queue <- f:
		return true
	default:
		return false
	}
}

// enqueueBlocking queues the frame; while the queue is full it waits, until the writer is closed.
func (w *writer) enqueueBlocking(f *pb.Frame) error {
	select {
	case w.queue <- f:
		return nil
	case <-w.done:
		return errors.Wrap(ErrNotSent, "stream is closed")
	}
}

func (w *writer) run() {
	defer w.close()
	for {
		select {
		case <-w.done:
			return
		case f := <-w.queue:
			if w.writeQueued(f) != nil {
				return
			}
		}
	}
}

// writeQueued writes the frame and all frames queued behind it, then flushes.
func (w *writer) writeQueued(f *pb.Frame) error {
	buffer, _ := w.messenger.buffers.Get().(*bufio.Writer)
	buffer.Reset(w.stream)
	defer func() {
		buffer.Reset(nil)
		w.messenger.buffers.Put(buffer)
	}()
	for {
		n, err := protodelim.MarshalTo(buffer, f)
		if err != nil {
			return errors.Wrap(err, "write frame")
		}
		w.messenger.countSent(f, w.stream.RemoteAddr(), n)
		select {
		case f = <-w.queue:
		default:
			return errors.Wrap(buffer.Flush(), "flush frames")
		}
	}
}

func (w *writer) close() {
	w.closeOnce.Do(func() {
		close(w.done)
		_ = w.stream.Close()
	})
}

// readFrames passes each frame of the stream to receive until the stream ends or is malformed.
func readFrames(stream io.Reader, maxBytes int64, receive func(*pb.Frame)) {
	reader := bufio.NewReaderSize(stream, readBufferBytes)
	options := protodelim.UnmarshalOptions{MaxSize: maxBytes}
	for {
		f := &pb.Frame{}
		if options.UnmarshalFrom(reader, f) != nil {
			return
		}
		receive(f)
	}
}
