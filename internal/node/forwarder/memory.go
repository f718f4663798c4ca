package forwarder

import "github.com/magnoliastep/magnoliastep/internal/memory/reserver"

const (
	// maxAnswerBytes bounds the body of one leaf's answer, and maxAnswerShare too, as a share of the VM's memory.
	maxAnswerBytes = 8 << 20
	maxAnswerShare = 1.0 / 64
	// answerMemoryShare and bodyMemoryShare are the shares of the VM's memory for the large answers of leaves and the
	// large bodies of requests that are held at once. With all else they stay below the garbage collector's limit.
	answerMemoryShare = 0.25
	bodyMemoryShare   = 0.125
	// maxFrameBytes bounds a frame of another node. The largest have a view of all nodes or a chunk of documents.
	maxFrameBytes = 2 << 20
	// defaultMemoryBytes is the memory that is assumed if the settings name none.
	defaultMemoryBytes = 256 << 20
)

// assembleMemory sets how much memory messages of leaves and callers may take.
func (n *Node) assembleMemory() {
	m := n.config.Metrics
	memory := float64(memoryBytes(n.config.MemoryBytes))
	n.answerMemory = reserver.New(reserver.Config{
		Bytes:  int64(answerMemoryShare * memory),
		OnWait: m.NewCounter("stepfront_answer_memory_waits_total").Inc,
	})
	n.bodyMemory = reserver.New(reserver.Config{Bytes: int64(bodyMemoryShare * memory)})
	m.NewGauge(`stepfront_memory_reserved_bytes{for="answers"}`, func() float64 {
		return float64(n.answerMemory.Reserved())
	})
	m.NewGauge(`stepfront_memory_reserved_bytes{for="request_bodies"}`, func() float64 {
		return float64(n.bodyMemory.Reserved())
	})
}

// maxAnswerBytesOf returns the largest body of an answer that a VM of the given memory accepts.
func maxAnswerBytesOf(memory int64) int64 {
	return min(maxAnswerBytes, int64(maxAnswerShare*float64(memoryBytes(memory))))
}

func memoryBytes(memory int64) int64 {
	if memory <= 0 {
		return defaultMemoryBytes
	}
	return memory
}
