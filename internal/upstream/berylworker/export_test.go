package berylworker

// WithAssumeNotSent reports every failed exchange as not sent.
func WithAssumeNotSent() Option { return func(s *settings) { s.assumeNotSent = true } }

// WithAcceptTruncated treats truncated answers as complete.
func WithAcceptTruncated() Option { return func(s *settings) { s.acceptTruncated = true } }

// WithSkipAnswerCheck switches off the check that an answer belongs to the execution.
func WithSkipAnswerCheck() Option { return func(s *settings) { s.skipAnswerCheck = true } }
