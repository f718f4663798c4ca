package server

import (
	"context"
	"strings"

	"github.com/magnoliastep/magnoliastep/internal/config/checker"
	"github.com/magnoliastep/magnoliastep/internal/config/keyer"
	"github.com/magnoliastep/magnoliastep/internal/config/watcher"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/result/coder"
)

// checkObject returns the outcome of an object that is not valid, or nil.
func (s *Server) checkObject(ctx context.Context, changeID string, o *pb.ConfigObject) *pb.ChangeOutcome {
	if err := checkApplicable(o); err != nil {
		return failed(changeID, err)
	}
	if wrong := s.checker().Fields(o); len(wrong) > 0 {
		return invalid(changeID, keyer.Of(o)+" is not valid", wrong)
	}
	wrong := s.checkFresh(ctx, func(k *checker.Checker) []string { return k.References(o) })
	if len(wrong) == 0 || s.madeBefore(ctx, keyer.Of(o), changeID) {
		return nil
	}
	return invalid(changeID, keyer.Of(o)+" does not fit the other objects", wrong)
}

// checkDeletion returns the outcome of the deletion of a referenced object, or nil.
func (s *Server) checkDeletion(ctx context.Context, changeID, key string) *pb.ChangeOutcome {
	if !isDeletable(key) {
		return failed(changeID, coder.New(pb.ResultCode_RESULT_CODE_INVALID_OBJECT,
			"%q is no key of an object that may be deleted", key))
	}
	referrers := s.checkFresh(ctx, func(k *checker.Checker) []string { return k.Referrers(key) })
	if len(referrers) == 0 || s.madeBefore(ctx, key, changeID) {
		return nil
	}
	return invalid(changeID, key+" is referred to by "+strings.Join(referrers, ", "), referrers)
}

// checkFresh checks against the objects in force; where they do not do, it reads the platform first,
// because a change that was accepted at another node a moment ago may not have come here yet.
func (s *Server) checkFresh(ctx context.Context, check func(*checker.Checker) []string) []string {
	if len(check(s.checker())) == 0 {
		return nil
	}
	s.refresh(ctx)
	return check(s.checker())
}

func (s *Server) checker() *checker.Checker {
	return checker.New(checker.Config{Objects: s.config.Keeper.Objects()})
}

func (s *Server) refresh(ctx context.Context) {
	listing, err := s.config.Store.List(ctx, "")
	if err != nil {
		return
	}
	objects := make([]*pb.ConfigObject, 0, len(listing.Objects))
	for _, o := range listing.Objects {
		if decoded, err := watcher.Decode(o); err == nil {
			objects = append(objects, decoded)
		}
	}
	s.config.Keeper.Apply(objects, 0)
}

// madeBefore tells whether the change is a repeat of one that was accepted, which must be answered so
// even when its object would not be accepted any more.
func (s *Server) madeBefore(ctx context.Context, key, changeID string) bool {
	done, err := s.config.Applier.Find(ctx, key, changeID)
	return err == nil && done != nil
}

// checkApplicable rejects the kinds that only the system itself writes.
func checkApplicable(o *pb.ConfigObject) error {
	switch o.GetSpec().(type) {
	case *pb.ConfigObject_Grant, *pb.ConfigObject_Page, *pb.ConfigObject_ChangeArchive:
		return coder.New(pb.ResultCode_RESULT_CODE_INVALID_OBJECT, "%s is written by the system alone", keyer.Of(o))
	}
	return nil
}

func isDeletable(key string) bool {
	kind, name, ok := strings.Cut(key, "/")
	if !ok || name == "" {
		return false
	}
	switch keyer.Kind(kind) {
	case keyer.KindAvailabilityZone, keyer.KindService, keyer.KindClass, keyer.KindCaller, keyer.KindOperator:
		return true
	}
	return false
}

func invalid(changeID, message string, wrong []string) *pb.ChangeOutcome {
	return &pb.ChangeOutcome{
		Code: pb.ResultCode_RESULT_CODE_INVALID_OBJECT, Message: message, ChangeId: changeID, FieldErrors: wrong,
	}
}
