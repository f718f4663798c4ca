package assembler

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/config/keeper"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/platform/client"
)

type vmStore struct {
	Store
}

func (vmStore) VMs(context.Context) ([]client.VM, error) {
	return []client.VM{{Name: "node", IP: "10.0.0.1"}, {Name: "leaf-vm", IP: "10.0.0.2"}}, nil
}

// Guards against counting the VM of a leaf as a witness: no node ever runs there, so a node that has just
// started would wait for it and never become ready.
func TestVMListHidesLeafVMsFromWitnesses(t *testing.T) {
	is := is.New(t)
	var observed [][]*pb.Member
	k := keeper.New(keeper.Config{})
	l := &observedVMLister{
		store: vmStore{}, keeper: k, peerPort: "7300",
		observe: func(vms []*pb.Member) { observed = append(observed, vms) },
	}
	_, err := l.VMs(t.Context())
	is.NoErr(err)
	is.Equal(len(observed), 0) // without a configuration it is not known which VMs run leaves
	k.Apply([]*pb.ConfigObject{{Version: 1, Spec: &pb.ConfigObject_Service{Service: &pb.Service{
		Name: "service", Leaves: []*pb.Leaf{{Name: "leaf", Address: "10.0.0.2:8000"}},
	}}}}, 0)
	l.deliverPending()
	is.Equal(len(observed), 1) // the list that was read before the configuration came
	vms, err := l.VMs(t.Context())
	is.NoErr(err)
	is.Equal(len(vms), 2) // the returned list still has the VM of the leaf
	is.Equal(len(observed), 2)
	is.Equal(len(observed[1]), 1)
	is.Equal(observed[1][0].GetPeerAddress(), "10.0.0.1:7300")
}
