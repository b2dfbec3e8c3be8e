package berylworker

import "time"

// ClockSkew is the largest difference between the clocks of a daemon and a worker that the protocol tolerates.
const ClockSkew = 500 * time.Millisecond

// The headers of the worker protocol.
const (
	HeaderExecutionID = "Beryllatch-Execution-Id"
	HeaderStartBy     = "Beryllatch-Start-By"
	HeaderLeaseExpiry = "Beryllatch-Lease-Expiry"
	HeaderTeam        = "Beryllatch-Team"
	HeaderQueue       = "Beryllatch-Queue"
	HeaderFence       = "Beryllatch-Fence"
	HeaderRequestID   = "Beryllatch-Request-Id"
	HeaderRunState    = "Beryllatch-Run-State"
	HeaderBootID      = "Beryllatch-Boot-Id"
	HeaderSentAt      = "Beryllatch-Sent-At"
)

// The paths of the worker protocol.
const (
	PathExecutions = "/v1/executions"
	PathTasks      = "/v1/tasks/"
	PathStatus     = "/v1/status"
	PathReboot     = "/v1/reboot"
)
