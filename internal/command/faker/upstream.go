package faker

import (
	"context"
	"io"
	"net/http"
	"path"

	"github.com/coder/quartz"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/magnoliastep/magnoliastep/internal/fake/leaffaker"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/settings/decoder"
)

const (
	maxControlBytes = 1 << 20 // 1 MiB
)

type (
	upstreamCommand struct {
		Config         string `required:"" type:"existingfile" help:"Configuration file whose leaves are served."`
		Zone           string `help:"Serve only the leaves of this availability zone."`
		Leaf           string `default:"*" help:"Serve only the leaves whose name matches the pattern."`
		ControlAddress string `required:"" help:"IP and port of the control port."`
		Behaviour      string `type:"existingfile" optional:"" help:"Behaviour file (JSON) of all leaves at the start."`
		Seed           uint64 `default:"1" help:"Seed of the random service times and faults."`
	}

	// leafSet holds the fake leaves of one process.
	leafSet struct {
		leaves []*leaffaker.FakeLeaf
	}
)

// Help returns the detailed help text, with examples.
func (v *upstreamCommand) Help() string {
	return "Example:\n  stepfake upstream --config demo.json --zone zone-a --control-address 127.0.0.1:7011"
}

// Run executes the command.
func (v *upstreamCommand) Run(ctx context.Context) error {
	file := &pb.ConfigFile{}
	if err := decoder.DecodeFile(v.Config, file); err != nil {
		return err
	}
	behaviour := &pb.LeafBehaviour{}
	if v.Behaviour != "" {
		if err := decoder.DecodeFile(v.Behaviour, behaviour); err != nil {
			return err
		}
	}
	set := v.newLeafSet(file, behaviour)
	for _, l := range set.leaves {
		if err := l.Start(); err != nil {
			return err
		}
		defer l.Stop()
	}
	return serve(ctx, map[string]http.Handler{v.ControlAddress: set.controlHandler()})
}

func (v *upstreamCommand) newLeafSet(file *pb.ConfigFile, behaviour *pb.LeafBehaviour) *leafSet {
	set := &leafSet{}
	for _, s := range file.GetServices() {
		for _, l := range s.GetLeaves() {
			matched, _ := path.Match(v.Leaf, l.GetName())
			if !matched || (v.Zone != "" && l.GetAvailabilityZone() != v.Zone) {
				continue
			}
			set.leaves = append(set.leaves, leaffaker.New(leaffaker.Config{
				Leaf: l, PartitionCount: s.GetPartitionCount(), Behaviour: behaviour,
				Clock: quartz.NewReal(), Seed: v.Seed + uint64(len(set.leaves)),
			}))
		}
	}
	return set
}

func (s *leafSet) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /behaviour", s.setBehaviour)
	mux.HandleFunc("GET /counters", s.getCounters)
	return mux
}

// setBehaviour sets the behaviour of the leaves whose name matches the pattern in the query parameter leaf.
func (s *leafSet) setBehaviour(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxControlBytes))
	if err != nil {
		return
	}
	b := &pb.LeafBehaviour{}
	if err := decoder.Decode(body, b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, l := range s.matchingLeaves(r) {
		if err := l.SetBehaviour(proto.CloneOf(b)); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
	}
}

func (s *leafSet) getCounters(w http.ResponseWriter, r *http.Request) {
	list := &pb.LeafCountersList{}
	for _, l := range s.matchingLeaves(r) {
		list.Leaves = append(list.Leaves, l.Counters())
	}
	body, _ := protojson.MarshalOptions{UseProtoNames: true}.Marshal(list)
	_, _ = w.Write(body)
}

// matchingLeaves returns the leaves whose name matches the query parameter leaf, or all when it is empty.
func (s *leafSet) matchingLeaves(r *http.Request) []*leaffaker.FakeLeaf {
	pattern := r.URL.Query().Get("leaf")
	if pattern == "" {
		return s.leaves
	}
	var matching []*leaffaker.FakeLeaf
	for _, l := range s.leaves {
		if matched, _ := path.Match(pattern, l.Name()); matched {
			matching = append(matching, l)
		}
	}
	return matching
}
