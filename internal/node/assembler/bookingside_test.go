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

// A leaf's VM can never be seen as a node; as a listed witness it would keep fresh nodes from being ready.
func TestVMsOfLeavesAreNoWitnesses(t *testing.T) {
	is := is.New(t)
	var observed [][]*pb.Member
	k := keeper.New(keeper.Config{})
	l := &listTee{
		store: vmStore{}, source: k, port: "7300",
		observe: func(vms []*pb.Member) { observed = append(observed, vms) },
	}
	_, err := l.VMs(t.Context())
	is.NoErr(err)
	is.Equal(len(observed), 0) // nothing is known of leaves yet
	k.Apply([]*pb.ConfigObject{{Version: 1, Spec: &pb.ConfigObject_Service{Service: &pb.Service{
		Name: "service", Leaves: []*pb.Leaf{{Name: "leaf", Address: "10.0.0.2:8000"}},
	}}}}, 0)
	l.pass()
	is.Equal(len(observed), 1) // the list that came before the configuration
	vms, err := l.VMs(t.Context())
	is.NoErr(err)
	is.Equal(len(vms), 2) // the list itself is passed on whole
	is.Equal(len(observed), 2)
	is.Equal(len(observed[1]), 1)
	is.Equal(observed[1][0].GetPeerAddress(), "10.0.0.1:7300")
}
