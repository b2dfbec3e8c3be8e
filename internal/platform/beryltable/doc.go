// Package beryltable implements beryllatch.Table over the DynamoDB JSON protocol.
package beryltable
