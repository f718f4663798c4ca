package patcher_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/records/patcher"
	"github.com/magnoliastep/magnoliastep/internal/records/replicator"
)

func document(revision int64, data []byte) replicator.Document {
	return replicator.Document{Kind: "config", Name: "main", Revision: revision, Data: data}
}

// at returns a point of a store that states no era.
func at(revision int64) replicator.Point {
	return replicator.Point{Revision: revision}
}

func records(first, count int) []byte {
	var b bytes.Buffer
	for i := first; i < first+count; i++ {
		fmt.Fprintf(&b, `{"Name":"r-%x","PathPrefix":"/%x/","TimeoutMs":%d},`, i*7919, i*104729, i%9000)
	}
	return b.Bytes()
}

// Guards against patched documents that differ from the original, for any edits of any content.
func TestPatchedDocumentEqualsOriginal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sender, receiver := patcher.New(), patcher.New()
		data := records(0, rapid.IntRange(200, 600).Draw(t, "records"))
		sender.Record(document(1, data))
		receiver.Record(document(1, data))
		held := int64(1)
		for revision := int64(2); revision < 12; revision++ {
			from := rapid.IntRange(0, len(data)).Draw(t, "from")
			to := min(len(data), from+rapid.IntRange(0, 600).Draw(t, "removed"))
			inserted := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "inserted")
			data = bytes.Join([][]byte{data[:from], inserted, data[to:]}, nil)
			d := document(revision, data)
			sender.Record(d)
			if rapid.Bool().Draw(t, "missed") {
				continue
			}
			patch := sender.Patch(d, at(held))
			if patch == nil {
				t.Fatalf("no patch from %d to %d", held, revision)
			}
			patched, err := receiver.Apply("config", "main", patch)
			if err != nil || !bytes.Equal(patched, data) {
				t.Fatalf("patched document differs: %v", err)
			}
			receiver.Record(document(revision, patched))
			held = revision
		}
	})
}

// Guards against a patch that costs as much as the document when a record is inserted at its head.
func TestPatchOfOneRecordIsSmall(t *testing.T) {
	is := is.New(t)
	p := patcher.New()
	old := records(1, 2000)
	p.Record(document(1, old))
	changed := document(2, append([]byte(`{"Version":2,"Name":"new"},`), old...))
	p.Record(changed)
	is.True(proto.Size(p.Patch(changed, at(1))) < 4096)
}

// Guards against patches applied to another revision than the one from which they were made, or that were damaged.
func TestPatchIsRefusedUnlessItFits(t *testing.T) {
	is := is.New(t)
	sender, receiver := patcher.New(), patcher.New()
	sender.Record(document(1, records(0, 300)))
	changed := document(2, records(1, 300))
	sender.Record(changed)
	patch := sender.Patch(changed, at(1))
	_, err := receiver.Apply("config", "main", patch)
	is.True(errors.Is(err, patcher.ErrBaseMissing)) // no revision is held
	receiver.Record(document(5, records(9, 300)))
	_, err = receiver.Apply("config", "main", patch)
	is.True(errors.Is(err, patcher.ErrBaseMissing)) // another revision is held
	receiver = patcher.New()
	receiver.Record(document(1, records(2, 300)))
	_, err = receiver.Apply("config", "main", patch)
	is.True(err != nil) // other content
	_, err = receiver.Apply("config", "main", &pb.DocumentPatch{
		BaseRevision: 1, Segments: []*pb.PatchSegment{{Offset: ^uint64(0), Length: 2}},
	})
	is.True(err != nil) // the end of the range overflows
	is.True(sender.Patch(document(3, records(1, 300)), at(1)) == nil)
	is.True(sender.Patch(changed, at(4)) == nil)
}

// Guards against memory for small documents, deleted documents and all revisions ever seen.
func TestPatcherHoldsRecentLargeDocumentsOnly(t *testing.T) {
	is := is.New(t)
	p := patcher.New()
	p.Record(replicator.Document{Kind: "leaves", Name: "small", Revision: 1, Data: []byte("{}")})
	for revision := int64(1); revision <= 100; revision++ {
		p.Record(document(revision, records(int(revision), 200)))
	}
	is.Equal(len(p.Held()), 1)
	is.Equal(p.Held()[0].GetRevision(), int64(100))
	last := document(100, records(100, 200))
	is.True(p.Patch(last, at(1)) == nil)
	is.True(p.Patch(last, at(99)) != nil)
	p.Record(replicator.Document{Kind: "config", Name: "main", Revision: 101, Deleted: true})
	is.Equal(len(p.Held()), 0)
}

// Guards against a patch made from a revision that a store restored from a copy has given out again with other content.
func TestRevisionOfAnotherEraIsNoBase(t *testing.T) {
	is := is.New(t)
	inEra := func(era, revision int64, data []byte) replicator.Document {
		d := document(revision, data)
		d.Era = era
		return d
	}
	p := patcher.New()
	p.Record(inEra(3, 5, records(0, 300)))
	p.Record(inEra(4, 5, records(1, 300)))
	last := inEra(4, 6, records(2, 300))
	p.Record(last)
	is.Equal(p.Held()[0].GetEra(), int64(4))
	patch := p.Patch(last, replicator.Point{Era: 4, Revision: 5})
	is.True(patch != nil)
	is.True(p.Patch(last, replicator.Point{Era: 2, Revision: 5}) == nil)
	receiver := patcher.New()
	receiver.Record(inEra(3, 5, records(0, 300)))
	_, err := receiver.Apply("config", "main", patch)
	is.True(errors.Is(err, patcher.ErrBaseMissing))
	receiver.Record(inEra(4, 5, records(1, 300)))
	patched, err := receiver.Apply("config", "main", patch)
	is.NoErr(err)
	is.True(bytes.Equal(patched, last.Data))
}
