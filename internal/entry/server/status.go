package server

import (
	"net/http"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

// statusOf returns the HTTP status for a result code.
func statusOf(code pb.ResultCode) int {
	switch code {
	case pb.ResultCode_RESULT_CODE_OK, pb.ResultCode_RESULT_CODE_PARTIAL:
		return http.StatusOK
	case pb.ResultCode_RESULT_CODE_UNKNOWN_CALLER:
		return http.StatusUnauthorized
	case pb.ResultCode_RESULT_CODE_CLASS_NOT_ALLOWED:
		return http.StatusForbidden
	case pb.ResultCode_RESULT_CODE_UNKNOWN_SERVICE, pb.ResultCode_RESULT_CODE_UNKNOWN_CLASS:
		return http.StatusNotFound
	case pb.ResultCode_RESULT_CODE_REQUEST_TOO_LARGE:
		return http.StatusRequestEntityTooLarge
	case pb.ResultCode_RESULT_CODE_DUPLICATE_REQUEST_ID, pb.ResultCode_RESULT_CODE_IN_PROGRESS:
		return http.StatusConflict
	case pb.ResultCode_RESULT_CODE_REFUSED_NOT_RUN:
		return http.StatusTooManyRequests
	case pb.ResultCode_RESULT_CODE_NOT_RUN, pb.ResultCode_RESULT_CODE_NO_CONFIG:
		return http.StatusServiceUnavailable
	case pb.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN:
		return http.StatusGatewayTimeout
	case pb.ResultCode_RESULT_CODE_INTERNAL:
		return http.StatusInternalServerError
	default:
		return http.StatusBadRequest
	}
}
