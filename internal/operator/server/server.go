// Package server implements the operators' Connect service, OperatorService. It authorizes each call by its bearer
// token, validates requested changes and applies them, and answers with a result code.
package server

import (
	"context"
	"log/slog"
	"net/http"

	"connectrpc.com/connect"
	"github.com/coder/quartz"

	"github.com/magnoliastep/magnoliastep/internal/config/indexer"
	"github.com/magnoliastep/magnoliastep/internal/config/watcher"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1/magnoliastepv1connect"
	"github.com/magnoliastep/magnoliastep/internal/operator/applier"
	"github.com/magnoliastep/magnoliastep/internal/platform/client"
	"github.com/magnoliastep/magnoliastep/internal/result/coder"
)

type (
	// Authorizer authenticates operators and checks their roles.
	Authorizer interface {
		Authorize(header string, roles ...pb.Role) (string, error)
		AuthorizeCreateOperator(header string) (string, error)
	}

	// Applier applies changes and reads the audit trail.
	Applier interface {
		Apply(ctx context.Context, c applier.Change) *pb.ChangeOutcome
		Find(ctx context.Context, key, changeID string) (*pb.Change, error)
		Trail(ctx context.Context, key string) ([]*pb.KeyedChange, error)
	}

	// Store reads the platform's objects.
	Store interface {
		Get(ctx context.Context, key string) (client.Object, error)
		List(ctx context.Context, prefix string) (client.Listing, error)
	}

	// Keeper holds the configuration in force.
	Keeper interface {
		Index() *indexer.Index
		Objects() []*pb.ConfigObject
		Apply(objects []*pb.ConfigObject, completeTo int64) []*pb.ConfigObject
	}

	// StatusSource returns the status of this node.
	StatusSource interface {
		Status() *pb.GetStatusResponse
	}

	// Config holds what a Server needs.
	Config struct {
		Authorizer Authorizer
		Applier    Applier
		Store      Store
		Keeper     Keeper
		Status     StatusSource
		Clock      quartz.Clock
		Logger     *slog.Logger
	}

	// Server handles the calls of operators. It is safe for concurrent use.
	Server struct {
		magnoliastepv1connect.UnimplementedOperatorServiceHandler

		config Config
	}
)

// New returns a Server.
func New(c Config) *Server {
	return &Server{config: c}
}

// Handler returns the HTTP handler of the operator service.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	path, handler := magnoliastepv1connect.NewOperatorServiceHandler(s)
	mux.Handle(path, handler)
	return mux
}

// ApplyObject creates or updates an object.
func (s *Server) ApplyObject(
	ctx context.Context, r *connect.Request[pb.ApplyObjectRequest],
) (*connect.Response[pb.ApplyObjectResponse], error) {
	outcome := s.applyObject(ctx, r.Header().Get("Authorization"), r.Msg)
	return connect.NewResponse(&pb.ApplyObjectResponse{Outcome: outcome}), nil
}

// DeleteObject deletes an object and leaves a tombstone.
func (s *Server) DeleteObject(
	ctx context.Context, r *connect.Request[pb.DeleteObjectRequest],
) (*connect.Response[pb.DeleteObjectResponse], error) {
	outcome := s.deleteObject(ctx, r.Header().Get("Authorization"), r.Msg)
	return connect.NewResponse(&pb.DeleteObjectResponse{Outcome: outcome}), nil
}

// GetObject returns one object from the platform.
func (s *Server) GetObject(
	ctx context.Context, r *connect.Request[pb.GetObjectRequest],
) (*connect.Response[pb.GetObjectResponse], error) {
	if err := s.authorizeReader(r.Header()); err != nil {
		return connect.NewResponse(&pb.GetObjectResponse{Code: coder.CodeOf(err), Message: err.Error()}), nil
	}
	object, err := s.read(ctx, r.Msg.GetKey())
	if err != nil {
		return connect.NewResponse(&pb.GetObjectResponse{Code: coder.CodeOf(err), Message: err.Error()}), nil
	}
	return connect.NewResponse(&pb.GetObjectResponse{Code: pb.ResultCode_RESULT_CODE_OK, Object: object}), nil
}

// ListObjects returns the objects of one kind, or of all kinds, from the platform.
func (s *Server) ListObjects(
	ctx context.Context, r *connect.Request[pb.ListObjectsRequest],
) (*connect.Response[pb.ListObjectsResponse], error) {
	if err := s.authorizeReader(r.Header()); err != nil {
		return connect.NewResponse(&pb.ListObjectsResponse{Code: coder.CodeOf(err), Message: err.Error()}), nil
	}
	objects, err := s.list(ctx, r.Msg.GetKind(), r.Msg.GetIncludeDeleted())
	if err != nil {
		return connect.NewResponse(&pb.ListObjectsResponse{Code: coder.CodeOf(err), Message: err.Error()}), nil
	}
	return connect.NewResponse(&pb.ListObjectsResponse{Code: pb.ResultCode_RESULT_CODE_OK, Objects: objects}), nil
}

// GetChange returns one change from an object's audit trail.
func (s *Server) GetChange(
	ctx context.Context, r *connect.Request[pb.GetChangeRequest],
) (*connect.Response[pb.GetChangeResponse], error) {
	if err := s.authorizeReader(r.Header()); err != nil {
		return connect.NewResponse(&pb.GetChangeResponse{Code: coder.CodeOf(err), Message: err.Error()}), nil
	}
	change, err := s.config.Applier.Find(ctx, r.Msg.GetKey(), r.Msg.GetChangeId())
	response := &pb.GetChangeResponse{Code: pb.ResultCode_RESULT_CODE_OK, Change: change}
	switch {
	case err != nil:
		response.Code = pb.ResultCode_RESULT_CODE_PLATFORM_UNAVAILABLE
		response.Message = err.Error()
	case change == nil:
		response.Code = pb.ResultCode_RESULT_CODE_NOT_FOUND
		response.Message = "the change is not in the audit trail now"
	}
	return connect.NewResponse(response), nil
}

// ListChanges returns the audit trail of one object, or of all objects.
func (s *Server) ListChanges(
	ctx context.Context, r *connect.Request[pb.ListChangesRequest],
) (*connect.Response[pb.ListChangesResponse], error) {
	if err := s.authorizeReader(r.Header()); err != nil {
		return connect.NewResponse(&pb.ListChangesResponse{Code: coder.CodeOf(err), Message: err.Error()}), nil
	}
	changes, err := s.config.Applier.Trail(ctx, r.Msg.GetKey())
	if err != nil {
		err = storeError(err)
		return connect.NewResponse(&pb.ListChangesResponse{Code: coder.CodeOf(err), Message: err.Error()}), nil
	}
	return connect.NewResponse(&pb.ListChangesResponse{Code: pb.ResultCode_RESULT_CODE_OK, Changes: changes}), nil
}

// GetStatus returns the status of this node.
func (s *Server) GetStatus(
	_ context.Context, r *connect.Request[pb.GetStatusRequest],
) (*connect.Response[pb.GetStatusResponse], error) {
	if err := s.authorizeReader(r.Header()); err != nil {
		return connect.NewResponse(&pb.GetStatusResponse{Code: coder.CodeOf(err)}), nil
	}
	return connect.NewResponse(s.config.Status.Status()), nil
}

// authorizeReader checks that the operator has any role: every role may read.
func (s *Server) authorizeReader(header http.Header) error {
	_, err := s.config.Authorizer.Authorize(header.Get("Authorization"),
		pb.Role_ROLE_OPERATOR, pb.Role_ROLE_DIRECTOR, pb.Role_ROLE_VIEWER)
	return err
}

func (s *Server) read(ctx context.Context, key string) (*pb.ConfigObject, error) {
	o, err := s.config.Store.Get(ctx, key)
	if err != nil {
		return nil, storeError(err)
	}
	return watcher.Decode(o)
}

func (s *Server) list(ctx context.Context, kind string, includeDeleted bool) ([]*pb.ConfigObject, error) {
	prefix := kind
	if kind != "" {
		prefix += "/"
	}
	listing, err := s.config.Store.List(ctx, prefix)
	if err != nil {
		return nil, storeError(err)
	}
	var objects []*pb.ConfigObject
	for _, o := range listing.Objects {
		decoded, err := watcher.Decode(o)
		if err != nil {
			return nil, err
		}
		if includeDeleted || !decoded.GetDeleted() {
			objects = append(objects, decoded)
		}
	}
	return objects, nil
}
